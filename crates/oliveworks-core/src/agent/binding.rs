//! Binding of the backend server: withdraws it from the old group and binds it to the new group.

use super::{Agent, Command};
use crate::id::{Epoch, Millis, View};
use crate::message::{EngineOrder, Fence};

/// Time after which an order without an answer is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 5_000;

impl Agent {
    /// Records the highest fence that the backend server has seen. A restarted agent learns from it
    /// which views already exist.
    pub fn engine_fence(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
        if fence.epoch > 0 {
            self.grantor.observe(Epoch(fence.epoch - 1), View(fence.view));
        }
    }

    /// Records whether the backend server answers its health checks.
    pub fn engine_health(&mut self, healthy: bool) -> Vec<Command> {
        if self.engine_healthy == healthy {
            return Vec::new();
        }
        self.engine_healthy = healthy;
        if !healthy {
            // A restarted server has lost its weights and its rank.
            self.bound = None;
            self.order = None;
        }
        vec![Command::RecordEvent("engine", if healthy { "healthy" } else { "failed" }.into())]
    }

    /// Records whether the backend server carried out an order.
    pub fn order_done(&mut self, now: Millis, number: u64, done: bool) -> Vec<Command> {
        let Some((waiting, order)) = self.order.take() else {
            return Vec::new();
        };
        if waiting != number {
            self.order = Some((waiting, order));
            return Vec::new();
        }
        if !done {
            self.order_due = now.plus(self.config.lease.renew_ms);
            return vec![Command::RecordEvent("order_failed", format!("{order:?}"))];
        }
        self.order_due = now;
        match order {
            EngineOrder::Withdraw { .. } => {
                self.machine.fire("withdrawn");
                Vec::new()
            }
            EngineOrder::Bind { rank, fence, .. } => {
                self.bound = self.ordered;
                if self.machine.fire("bound") {
                    self.leader_wait_start = now;
                }
                let text = format!("rank {rank} fence {}.{}", fence.epoch, fence.view);
                vec![Command::RecordEvent("bound", text)]
            }
        }
    }

    /// Withdraws the backend server from the old group, then binds it to the new group.
    pub(super) fn tick_binding(&mut self, now: Millis, out: &mut Vec<Command>) {
        if self.machine.is("leaving") && self.grantor.promise(now).is_none() {
            self.machine.fire("released");
        }
        if now < self.orders_allowed_from || !self.engine_healthy {
            return;
        }
        // An order without an answer is sent again after the retry time. An outdated order is
        // replaced at once.
        let current = self.machine.is("withdrawing") || self.ordered == self.wanted;
        if now < self.order_due && (self.order.is_none() || current) {
            return;
        }
        let Some(assigned) = &self.assigned else {
            return;
        };
        let other = self.grantor.promise(now).is_some_and(|p| p.epoch != assigned.epoch);
        let quiet = self.grantor.is_quiet(now);
        if self.machine.is("withdrawing") {
            if !other && !quiet {
                let fence = Fence::new(assigned.epoch, View(0)).max(self.fence);
                self.give_order(now, EngineOrder::Withdraw { fence }, out);
            }
            return;
        }
        if self.machine.is("idle") || self.machine.is("leaving") || self.bound == self.wanted {
            return;
        }
        let Some(wanted) = self.wanted else { return };
        let order = EngineOrder::Bind {
            fence: Fence::new(wanted.epoch, wanted.view).max(self.fence),
            weights: assigned.weights,
            rank: wanted.rank,
            width: assigned.width as u16,
        };
        self.ordered = self.wanted;
        self.give_order(now, order, out);
    }

    pub(super) fn give_order(&mut self, now: Millis, order: EngineOrder, out: &mut Vec<Command>) {
        debug_assert!(order.fence() >= self.fence, "fences never go back");
        self.fence = order.fence();
        let number = self.next_order;
        self.next_order += 1;
        self.order = Some((number, order.clone()));
        self.order_due = now.plus(ORDER_RETRY_MS);
        out.push(Command::Order(number, order));
    }

    /// Returns whether the engine is healthy and bound to the rank that it was last assigned.
    pub(super) fn is_ready(&self) -> bool {
        self.engine_healthy && self.bound.is_some() && self.bound == self.wanted
    }
}
