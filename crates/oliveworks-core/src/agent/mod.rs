//! Agent: its host's membership in a replica group, the formation of the group, and the gate before
//! the backend server.
//!
//! Events and the current time are inputs, commands are outputs. The runtime sends the messages and
//! delivers the orders. It calls [`Agent::gate`] before a request is handed to the engine, and
//! [`Agent::may_pass`] before each piece of an answer is sent back.

mod binding;
mod gate;
mod leading;

use std::collections::BTreeSet;

use crate::chart::Machine;
use crate::charts;
use crate::id::{Epoch, HostId, Incarnation, Millis, Offset, View};
use crate::lease::{Grantor, Holder, LeaseConfig, Promise};
use crate::ledger::{EarlierHome, Ledger, LedgerConfig, Now};
use crate::message::{EngineOrder, Fence, GroupReport, LeaseMsg};
use crate::pool::{Group, GroupState, Pool};
use crate::template::SlotId;

pub use self::gate::RunPermit;

/// Group to which the log assigns this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assigned {
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Slot of the replica.
    pub slot: SlotId,
    /// Members and spares in rank order.
    pub ranked: Vec<HostId>,
    /// Number of members that serve at the same time.
    pub width: usize,
    /// Digest of the weights.
    pub weights: u64,
    /// Maximum number of requests that run at the same time.
    pub concurrent: usize,
    /// Whether the group finishes the requests that are running and takes no new ones.
    pub draining: bool,
    /// Offset at which the keys' homes were last reassigned.
    pub homes_at: Offset,
    /// Whether the slot is known to have had no group before. See [`Group::first_home`].
    pub first_home: bool,
}

impl Assigned {
    /// Returns the group that the pool assigns to a host.
    pub fn of(pool: &Pool, host: HostId) -> Option<Assigned> {
        let group: &Group = pool.group_of(host)?;
        let published = pool.template(&group.slot.template);
        // The group of a withdrawn template drains, so its weights do not matter any more.
        let weights = published.map_or(0, |p| p.template.weights());
        let concurrent = published.map_or(0, |p| p.template.limits.concurrent as usize);
        Some(Assigned {
            epoch: group.epoch,
            slot: group.slot.clone(),
            ranked: group.ranked.clone(),
            width: group.width(),
            weights,
            concurrent,
            draining: group.state == GroupState::Draining || published.is_none(),
            homes_at: published.map_or(Offset(0), |p| p.homes_at),
            first_home: group.first_home,
        })
    }
}

/// Action for the runtime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a lease message.
    Send(HostId, LeaseMsg),
    /// Send an order to the backend server. The runtime reports the result with
    /// [`Agent::order_done`] and the order's number.
    Order(u64, EngineOrder),
    /// End every running request, because the group cannot answer them.
    CancelRequests,
    /// Write an event to the timeline.
    RecordEvent(&'static str, String),
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// This host.
    pub host: HostId,
    /// Times of the lease protocol.
    pub lease: LeaseConfig,
    /// Times and limits of the request ledger.
    pub ledger: LedgerConfig,
    /// Maximum time for which an order from an earlier run of this agent can still take effect at a
    /// backend server that checks no fences, in milliseconds. Zero for a server that checks fences.
    pub order_max_ms: u64,
}

/// Rank of this host in one view of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RankInView {
    epoch: Epoch,
    view: View,
    rank: u16,
}

/// State of one agent.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    machine: Machine,
    assigned: Option<Assigned>,
    grantor: Grantor,
    holder: Option<Holder>,
    ledger: Ledger,
    /// Time before which no order is sent, because an order of an earlier run may still take
    /// effect.
    orders_allowed_from: Millis,
    order: Option<(u64, EngineOrder)>,
    /// Time from which an order may be sent, or the outstanding order may be sent again.
    order_due: Millis,
    next_order: u64,
    /// Highest fence that the backend server has seen or that an order carried.
    fence: Fence,
    /// Rank in the latest bind order.
    ordered: Option<RankInView>,
    /// Rank that the engine is bound to.
    bound: Option<RankInView>,
    /// Rank that the engine should be bound to.
    wanted: Option<RankInView>,
    /// Sequence number of the next ask for promises.
    next_seq: u64,
    /// Leader whose ask was granted or whose beat was received last.
    last_leader: Option<HostId>,
    engine_healthy: bool,
    leaving: bool,
    /// Start of the current wait for a leader: the time of the latest ask or beat, or of a later
    /// event that restarts the wait.
    leader_wait_start: Millis,
    last_tick: Millis,
    /// Time before which this host does not propose a view, after it abandoned one.
    backoff_until: Millis,
    /// Hosts that are chosen last as members of a view, because they did not answer as members or
    /// were the leader that this host replaces.
    suspected: BTreeSet<HostId>,
    reported_complete: bool,
    /// Whether this run of the agent held a configuration that was proved to be the latest at some
    /// time, before the log assigned the current group to the host. The host was then free or in
    /// another group, so no earlier run can have been the home of the group's keys. Cleared when
    /// the homes are reassigned.
    seen_unassigned: bool,
}

impl Agent {
    /// Returns an agent that has just started and does not know its host's earlier promises.
    pub fn new(now: Millis, incarnation: Incarnation, config: AgentConfig) -> Agent {
        Agent {
            machine: Machine::new(charts::group()),
            assigned: None,
            grantor: Grantor::new(now, &config.lease),
            holder: None,
            ledger: Ledger::new(incarnation, config.ledger),
            orders_allowed_from: now.plus(config.order_max_ms),
            order: None,
            order_due: now,
            next_order: 1,
            fence: Fence::default(),
            ordered: None,
            bound: None,
            wanted: None,
            next_seq: incarnation.0,
            last_leader: None,
            engine_healthy: true,
            leaving: false,
            leader_wait_start: now,
            last_tick: now,
            backoff_until: now,
            suspected: BTreeSet::new(),
            reported_complete: false,
            seen_unassigned: false,
            config,
        }
    }

    /// Returns the state of the group chart.
    pub fn state(&self) -> &'static str {
        self.machine.state()
    }

    /// Returns the group that the host belongs to.
    pub fn assigned(&self) -> Option<&Assigned> {
        self.assigned.as_ref()
    }

    /// Returns the epoch and view that this host leads, if any.
    pub fn led_view(&self) -> Option<(Epoch, View)> {
        self.holder.as_ref().map(|h| (h.epoch, h.view))
    }

    /// Returns the members of the view that this host leads.
    pub fn view_members(&self) -> Vec<HostId> {
        self.holder.as_ref().map_or(Vec::new(), |h| h.members().collect())
    }

    /// Returns the leader that holds this host's promise.
    pub fn leader(&self, now: Millis) -> Option<HostId> {
        self.grantor.promise(now).map(|p| p.leader)
    }

    /// Returns this host's promise if it is in force.
    pub fn promise(&self, now: Millis) -> Option<Promise> {
        self.grantor.promise(now)
    }

    /// Returns the request ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Sets the group that the log assigns to this host, after records were applied. `proved`
    /// states whether this run of the agent had a proof of its configuration before it applied
    /// these records: a source had proved at some time that there was no later record.
    pub fn assign(
        &mut self,
        now: Millis,
        assigned: Option<Assigned>,
        proved: bool,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let old = self.assigned.as_ref().map(|a| a.epoch);
        let new = assigned.as_ref().map(|a| a.epoch);
        if old != new {
            self.stop_leading(&mut out);
            if old.is_some() {
                out.push(Command::CancelRequests);
            }
            self.ledger.resign_home();
            self.seen_unassigned = proved;
            self.suspected.clear();
            self.order = None;
            self.leader_wait_start = now;
            self.last_leader = None;
            // Until a leader assigns a rank, the host prepares for its rank in the record.
            let rank = |a: &Assigned| a.ranked.iter().position(|h| *h == self.config.host);
            self.wanted = assigned.as_ref().map(|a| RankInView {
                epoch: a.epoch,
                view: View(0),
                rank: rank(a).unwrap_or(0) as u16,
            });
            self.machine.fire(if new.is_some() { "assigned" } else { "removed" });
            let text = new.map_or("none".to_owned(), |e| e.to_string());
            out.push(Command::RecordEvent("assigned", text));
        }
        let homes = |a: &Option<Assigned>| a.as_ref().map(|a| a.homes_at);
        let homes_changed = old == new && homes(&self.assigned) != homes(&assigned);
        self.assigned = assigned;
        if homes_changed {
            self.seen_unassigned = false;
            self.ledger.resign_home(); // The next tick makes this agent a home again.
        }
        if self.assigned.as_ref().is_some_and(|a| a.draining) && self.machine.fire("drain") {
            out.push(Command::RecordEvent("draining", String::new()));
        }
        out
    }

    /// Records that the host is about to leave, as reported by the platform's list, the operator or
    /// a signal.
    pub fn leave(&mut self) -> Vec<Command> {
        if std::mem::replace(&mut self.leaving, true) {
            return Vec::new();
        }
        vec![Command::RecordEvent("leaving", String::new())]
    }

    /// Returns whether the host is about to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Advances the time. The runtime calls it at least a few times per lease renewal interval.
    pub fn tick(&mut self, now: Millis) -> Vec<Command> {
        let mut out = Vec::new();
        let paused = now.since(self.last_tick) > self.config.lease.ttl_ms;
        self.last_tick = now;
        if let Some(holder) = self.holder.as_mut().filter(|_| paused) {
            holder.reset_silence(now);
        }
        self.tick_binding(now, &mut out);
        self.tick_leading(now, &mut out);
        self.tick_state(now, &mut out);
        out
    }

    /// Updates the group's state (serving, not serving, drained) from the state of the lease.
    fn tick_state(&mut self, now: Millis, out: &mut Vec<Command>) {
        let complete = self.holder.as_ref().is_some_and(|h| h.is_complete(now));
        if complete != self.reported_complete {
            self.reported_complete = complete;
            let members = self.view_members();
            let name = if complete { "serving" } else { "not_serving" };
            out.push(Command::RecordEvent(name, format!("{members:?}")));
            if !complete {
                // Pieces cannot be passed on any more, so the answers would only be thrown away.
                out.push(Command::CancelRequests);
                self.resign_home_if_shared();
            }
        }
        self.machine.fire(if complete { "all_granted" } else { "lease_lost" });
        if self.assigned.as_ref().is_some_and(|a| a.draining) {
            self.machine.fire("drain"); // The record may have arrived before the engine was bound.
        }
        let leaving = self.leaving || self.holder.as_ref().is_some_and(|h| h.any_leaving());
        if leaving && self.machine.fire("drain") {
            out.push(Command::RecordEvent("draining", "a member is leaving".into()));
        }
        if self.machine.is("draining") && self.ledger.running() == 0 && self.machine.fire("drained")
        {
            out.push(Command::RecordEvent("drained", String::new()));
        }
    }

    /// Resigns as a home of keys after the group stopped serving through this host, because another
    /// host that leads the group may become the home. A group of one host keeps its home until the
    /// log assigns another.
    fn resign_home_if_shared(&mut self) {
        if self.assigned.as_ref().is_none_or(|a| a.ranked.len() > 1) {
            self.ledger.resign_home();
        }
    }

    /// Makes a serving agent a home of keys. The runtime calls it with each tick.
    pub fn tick_home(&mut self, now: Now) {
        let complete = self.holder.as_ref().is_some_and(|h| h.is_complete(now.mono));
        if !complete || !self.machine.is("serving") || self.ledger.is_home() {
            return;
        }
        // These keys never had another home: the group has one host, is the first in its slot, and
        // the homes were not reassigned since it was formed.
        let is_only_home =
            |a: &Assigned| a.first_home && a.ranked.len() == 1 && a.homes_at.0 < a.epoch.0;
        let before = match self.assigned.as_ref().is_some_and(is_only_home) {
            true if self.seen_unassigned => EarlierHome::Nobody,
            true => EarlierHome::OwnRuns,
            false => EarlierHome::Others,
        };
        self.ledger.become_home(now, before);
    }

    /// Returns the group's report for the decider, if this host leads the group or tries to lead
    /// it.
    pub fn report(&self, now: Millis) -> Option<GroupReport> {
        let holder = self.holder.as_ref()?;
        // Only the leader of a complete view knows that no other host of the group runs requests.
        let drained = self.machine.is("drained") && holder.is_complete(now);
        Some(GroupReport {
            epoch: holder.epoch,
            from: self.config.host,
            view: holder.view,
            serving: self.is_serving(now),
            lost: holder.lost(now, &self.config.lease),
            leaving: self.leaving || holder.any_leaving(),
            drained,
        })
    }

    /// Returns whether no request is running, so that the process may end without harm. Promises
    /// are not considered.
    pub fn is_idle(&self) -> bool {
        self.ledger.running() == 0
    }
}
