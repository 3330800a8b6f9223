//! Leading a view: proposing it, renewing its promises, yielding to a later view, and granting
//! promises to other leaders.

use std::collections::BTreeSet;

use super::{Agent, Assigned, Command, RankInView};
use crate::id::{Epoch, HostId, Millis, View};
use crate::lease::{GrantRefusal, Holder};
use crate::message::LeaseMsg;

impl Agent {
    /// Proposes a view if this host should lead, renews its promises, or abandons it.
    pub(super) fn tick_leading(&mut self, now: Millis, out: &mut Vec<Command>) {
        let Some(assigned) = self.assigned.clone() else {
            return;
        };
        let states = ["bound", "serving", "draining", "drained"];
        if !states.contains(&self.machine.state()) {
            return;
        }
        match &self.holder {
            None => {
                if self.should_lead(now, &assigned) {
                    self.propose(now, &assigned, out);
                }
            }
            Some(holder) if !holder.is_complete(now) => {
                self.handle_lost_members(now, &assigned, out)
            }
            Some(_) => {}
        }
        self.ask_members(now, &assigned, out);
    }

    pub(super) fn should_lead(&self, now: Millis, assigned: &Assigned) -> bool {
        let promised = self.grantor.promise(now).is_some();
        if promised || self.grantor.is_quiet(now) || now < self.backoff_until || self.leaving {
            return false;
        }
        let rank = assigned.ranked.iter().position(|h| *h == self.config.host).unwrap_or(0) as u64;
        if rank == 0 && self.grantor.highest(assigned.epoch) == View(0) {
            return true;
        }
        let lease = &self.config.lease;
        now.since(self.leader_wait_start) > lease.ttl_ms + rank * lease.stagger_ms
    }

    pub(super) fn propose(&mut self, now: Millis, assigned: &Assigned, out: &mut Vec<Command>) {
        self.suspected.extend(self.last_leader.take());
        let view = View(self.grantor.highest(assigned.epoch).0 + 1);
        let members = self.choose_members(assigned);
        if self
            .grantor
            .grant(now, assigned.epoch, view, self.config.host, &self.config.lease)
            .is_err()
        {
            return;
        }
        self.holder = Some(Holder::new(now, assigned.epoch, view, &members));
        out.push(Command::RecordEvent("proposed", format!("{} view {}", assigned.epoch, view.0)));
    }

    /// Chooses the members of a view: this host and the other hosts of the lowest ranks. Suspected
    /// hosts are chosen last. As few ranks as possible change: a host keeps its rank from the
    /// record, and a spare takes a vacant rank.
    pub(super) fn choose_members(&self, assigned: &Assigned) -> Vec<HostId> {
        let others = assigned.ranked.iter().filter(|h| **h != self.config.host);
        let (responsive, unresponsive): (Vec<HostId>, Vec<HostId>) =
            others.partition(|h| !self.suspected.contains(h));
        let chosen: BTreeSet<HostId> = [self.config.host]
            .into_iter()
            .chain(responsive.into_iter().chain(unresponsive).take(assigned.width - 1))
            .collect();
        let (first, rest) = assigned.ranked.split_at(assigned.width);
        let mut spares = rest.iter().filter(|h| chosen.contains(h));
        let mut member_for_rank_of = |h: &HostId| match chosen.contains(h) {
            true => Some(*h),
            false => spares.next().copied(),
        };
        first.iter().filter_map(&mut member_for_rank_of).collect()
    }

    /// Replaces or abandons this host's view after members stopped answering.
    pub(super) fn handle_lost_members(
        &mut self,
        now: Millis,
        assigned: &Assigned,
        out: &mut Vec<Command>,
    ) {
        let Some(holder) = &self.holder else { return };
        let lost = holder.lost(now, &self.config.lease);
        if lost.is_empty() {
            return;
        }
        self.suspected.extend(lost.iter().copied());
        let candidates = assigned.ranked.iter().filter(|h| !self.suspected.contains(h)).count();
        let current: BTreeSet<HostId> = holder.members().collect();
        let waited_long =
            now.since(holder.started()) > self.config.lease.lost_ms + self.config.lease.stagger_ms;
        if candidates >= assigned.width {
            self.stop_leading(out);
            self.propose(now, assigned, out);
        } else if waited_long
            && current.iter().filter(|h| !lost.contains(h)).count() * 2 < assigned.width
        {
            // Most members do not answer, so this host itself may be cut off. Another host may
            // lead.
            self.stop_leading(out);
            self.suspected.clear();
            self.backoff_until = now.plus(self.config.lease.lost_ms);
            self.leader_wait_start = now;
        } else if waited_long {
            self.suspected.retain(|h| lost.contains(h));
        }
    }

    pub(super) fn stop_leading(&mut self, out: &mut Vec<Command>) {
        let Some(holder) = self.holder.take() else {
            return;
        };
        out.push(Command::CancelRequests);
        for host in holder.members().filter(|h| *h != self.config.host) {
            let msg = LeaseMsg::Release { epoch: holder.epoch, view: holder.view };
            out.push(Command::Send(host, msg));
        }
        self.grantor.release(holder.epoch, holder.view, self.config.host);
        self.resign_home_if_shared();
        self.machine.fire("lease_lost");
        self.reported_complete = false;
    }

    pub(super) fn ask_members(&mut self, now: Millis, assigned: &Assigned, out: &mut Vec<Command>) {
        let seq = self.next_seq;
        let Some(holder) = &mut self.holder else {
            return;
        };
        if !holder.ask(now, seq, &self.config.lease) {
            return;
        }
        self.next_seq = seq.wrapping_add(1);
        let (epoch, view) = (holder.epoch, holder.view);
        let ranks: Vec<(HostId, u16)> = holder.ranks().collect();
        for (host, rank) in ranks {
            if host != self.config.host {
                let msg = LeaseMsg::Ask { epoch, view, rank, seq };
                out.push(Command::Send(host, msg));
                continue;
            }
            let own = self.grantor.grant(now, epoch, view, host, &self.config.lease);
            self.wanted = Some(RankInView { epoch, view, rank });
            let ready = self.is_ready();
            if let (Ok(()), Some(holder)) = (own, &mut self.holder) {
                holder.granted(now, host, seq, ready, self.leaving, &self.config.lease);
            }
        }
        let in_view =
            |h: &HostId| self.holder.as_ref().is_some_and(|v| v.members().any(|m| m == *h));
        for host in assigned.ranked.iter().filter(|h| !in_view(h)) {
            out.push(Command::Send(*host, LeaseMsg::Beat { epoch, view }));
        }
        debug_assert_eq!(assigned.epoch, epoch, "a host leads only its own group");
    }

    /// Handles a lease message from another agent. The transport has authenticated the sender.
    pub fn receive(&mut self, now: Millis, from: HostId, msg: LeaseMsg) -> Vec<Command> {
        match msg {
            LeaseMsg::Ask { epoch, view, rank, seq } => {
                self.receive_ask(now, from, RankInView { epoch, view, rank }, seq)
            }
            LeaseMsg::Grant { epoch, view, seq, ready, leaving } => {
                let lease = self.config.lease;
                if let Some(holder) = self.holder_of(epoch, view) {
                    holder.granted(now, from, seq, ready, leaving, &lease);
                }
                self.suspected.remove(&from);
                Vec::new()
            }
            LeaseMsg::Refuse { epoch, view, highest, .. } => {
                if let Some(holder) = self.holder_of(epoch, view) {
                    holder.record_answer(now, from);
                }
                self.observe_later_view(now, epoch, highest)
            }
            LeaseMsg::Beat { epoch, view } => {
                if self.assigned.as_ref().is_some_and(|a| a.epoch == epoch) {
                    self.leader_wait_start = now;
                    self.last_leader = Some(from);
                }
                self.observe_later_view(now, epoch, view)
            }
            LeaseMsg::Release { epoch, view } => {
                self.grantor.release(epoch, view, from);
                Vec::new()
            }
        }
    }

    pub(super) fn holder_of(&mut self, epoch: Epoch, view: View) -> Option<&mut Holder> {
        self.holder.as_mut().filter(|h| h.epoch == epoch && h.view == view)
    }

    pub(super) fn receive_ask(
        &mut self,
        now: Millis,
        from: HostId,
        wanted: RankInView,
        seq: u64,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let RankInView { epoch, view, .. } = wanted;
        let refuse = |why, highest| {
            vec![Command::Send(from, LeaseMsg::Refuse { epoch, view, why, highest })]
        };
        let highest = self.grantor.highest(epoch);
        let Some(assigned) = &self.assigned else {
            return refuse(GrantRefusal::OtherEpoch, highest);
        };
        if assigned.epoch != epoch || !assigned.ranked.contains(&from) {
            return refuse(GrantRefusal::OtherEpoch, highest);
        }
        if self.machine.is("withdrawing") {
            return refuse(GrantRefusal::Promised, highest);
        }
        // A leader that does not serve yields to a later view.
        let yields = |h: &Holder| h.epoch == epoch && h.view < view && !h.is_complete(now);
        if self.holder.as_ref().is_some_and(yields) {
            self.stop_leading(&mut out);
        }
        match self.grantor.grant(now, epoch, view, from, &self.config.lease) {
            Ok(()) => {
                self.leader_wait_start = now;
                self.last_leader = Some(from);
                self.wanted = Some(wanted);
                let ready = self.is_ready();
                let msg = LeaseMsg::Grant { epoch, view, seq, ready, leaving: self.leaving };
                out.push(Command::Send(from, msg));
            }
            Err(why) => {
                let highest = self.grantor.highest(epoch);
                out.push(Command::Send(from, LeaseMsg::Refuse { epoch, view, why, highest }));
            }
        }
        out
    }

    /// Abandons this host's incomplete view if a member knows a later view.
    pub(super) fn observe_later_view(
        &mut self,
        now: Millis,
        epoch: Epoch,
        highest: View,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let outdated = |h: &Holder| h.epoch == epoch && h.view < highest && !h.is_complete(now);
        if self.holder.as_ref().is_some_and(outdated) {
            self.stop_leading(&mut out);
            self.grantor.observe(epoch, highest);
            self.leader_wait_start = now;
        }
        out
    }
}
