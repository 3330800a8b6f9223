//! Leases: establish that all members of a group are present.
//!
//! Every host gives at most one *promise* at a time: to one leader, in one view of one epoch, until
//! a time on the host's own clock. A leader serves only while it holds the promises of all members
//! of its view; these promises together are its *lease*. To *grant* is to give a promise. The
//! leader counts each promise on its own clock from the time at which it *asked*, and shortens the
//! promise by the bound on the clocks' drift. On the leader, a promise therefore always ends before
//! it ends on the member.
//!
//! Two views of an epoch each choose `width` members out of `width + spares` hosts. There are fewer
//! spares than members, so the views share a host, and that host promises to only one of them. Two
//! epochs that share a host exclude each other in the same way. A spare can therefore take a lost
//! member's place without a record, clock agreement or vote.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, HostId, Millis, View};

/// Times of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseConfig {
    /// Duration of a promise on the member's clock, in milliseconds.
    pub ttl_ms: u64,
    /// Time between two asks of a leader, in milliseconds.
    pub renew_ms: u64,
    /// Maximum error of a clock's rate, in parts per million.
    pub drift_ppm: u64,
    /// Time after which a member without an answer is replaced by a spare, in milliseconds.
    pub lost_ms: u64,
    /// Additional time that each following rank waits before it tries to lead, in milliseconds.
    pub stagger_ms: u64,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig { ttl_ms: 1600, renew_ms: 500, drift_ppm: 1000, lost_ms: 2500, stagger_ms: 700 }
    }
}

const MILLION: u64 = 1_000_000;

impl LeaseConfig {
    /// Checks that the times are consistent with each other.
    ///
    /// # Errors
    /// Names the invalid setting.
    pub fn check(&self) -> Result<(), String> {
        if self.drift_ppm >= MILLION / 10 {
            return Err("lease.drift_ppm: must be less than 100000".into());
        }
        if self.renew_ms == 0 || self.renew_ms * 2 > self.ttl_ms {
            return Err(
                "lease.renew_ms: must be at least 1 and at most half of lease.ttl_ms".into()
            );
        }
        if self.lost_ms < self.ttl_ms {
            return Err("lease.lost_ms: must be at least lease.ttl_ms".into());
        }
        if self.stagger_ms == 0 {
            return Err("lease.stagger_ms: must be at least 1".into());
        }
        Ok(())
    }

    /// Returns how long the leader may rely on a promise, on its own clock from the time of the
    /// ask.
    ///
    /// A clock with a rate error of at most r shows between (1 - r) and (1 + r) times the real
    /// time. The member's promise lasts at least ttl / (1 + r) of real time. The leader may rely on
    /// it for at most that long: ttl (1 - r) / (1 + r) on its clock, for which ttl (1 - 2r) is a
    /// lower bound. One millisecond more is subtracted for the rounding of both clocks.
    pub fn leader_ttl_ms(&self) -> u64 {
        (self.ttl_ms * (MILLION - 2 * self.drift_ppm) / MILLION).saturating_sub(1)
    }

    /// Returns the time, on its own clock, after which a process without knowledge of its host's
    /// earlier promises can be sure that they have ended.
    pub fn quiet_ms(&self) -> u64 {
        self.ttl_ms * (MILLION + 2 * self.drift_ppm) / MILLION + 1
    }
}

/// Promise of a host to a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Epoch.
    pub epoch: Epoch,
    /// View.
    pub view: View,
    /// Leader that holds the promise.
    pub leader: HostId,
    /// End of the promise on this host's clock.
    pub until: Millis,
}

/// Member's side of the protocol: the single promise of this host.
#[derive(Clone, Debug)]
pub struct Grantor {
    quiet_until: Millis,
    promise: Option<Promise>,
    highest: Option<(Epoch, View)>,
}

/// Reason for refusing a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRefusal {
    /// The process has just started, and an earlier run may have given a promise.
    Quiet,
    /// Another promise is in force.
    Promised,
    /// A later view is known.
    OldView,
    /// The host does not belong to that epoch according to this host's configuration.
    OtherEpoch,
}

impl Grantor {
    /// Returns a grantor that does not know its host's promises from before `now`.
    pub fn new(now: Millis, config: &LeaseConfig) -> Grantor {
        Grantor { quiet_until: now.plus(config.quiet_ms()), promise: None, highest: None }
    }

    /// Returns the promise in force.
    pub fn promise(&self, now: Millis) -> Option<Promise> {
        self.promise.filter(|p| p.until > now)
    }

    /// Returns whether a promise from before the start may still be in force.
    pub fn is_quiet(&self, now: Millis) -> bool {
        now < self.quiet_until
    }

    /// Returns the highest view seen of an epoch.
    pub fn highest(&self, epoch: Epoch) -> View {
        match self.highest {
            Some((e, view)) if e == epoch => view,
            _ => View(0),
        }
    }

    /// Records a view of an epoch that another host reported.
    pub fn observe(&mut self, epoch: Epoch, view: View) {
        if view > self.highest(epoch) {
            self.highest = Some((epoch, view));
        }
    }

    /// Promises to `leader`, or returns the reason for refusing.
    ///
    /// The caller has checked that this host and `leader` belong to `epoch`.
    pub fn grant(
        &mut self,
        now: Millis,
        epoch: Epoch,
        view: View,
        leader: HostId,
        config: &LeaseConfig,
    ) -> Result<(), GrantRefusal> {
        if self.is_quiet(now) {
            return Err(GrantRefusal::Quiet);
        }
        if view < self.highest(epoch) {
            return Err(GrantRefusal::OldView);
        }
        if let Some(p) = self.promise(now) {
            // A leader abandons its earlier view before it asks for a later one.
            let same_holder = p.epoch == epoch && p.leader == leader && p.view <= view;
            if !same_holder {
                return Err(GrantRefusal::Promised);
            }
        }
        self.highest = Some((epoch, view));
        self.promise = Some(Promise { epoch, view, leader, until: now.plus(config.ttl_ms) });
        Ok(())
    }

    /// Ends the promise that its holder returned.
    pub fn release(&mut self, epoch: Epoch, view: View, leader: HostId) {
        let matches = |p: &Promise| p.epoch == epoch && p.leader == leader && p.view <= view;
        if self.promise.as_ref().is_some_and(matches) {
            self.promise = None;
        }
    }
}

/// Number of asks that a leader records for each member. A grant for an older ask does not count.
const ASKS_KEPT: usize = 8;

/// Factor by which a leader asks more often while its view is forming.
const FORMING_ASK_FACTOR: u64 = 4;

/// State of one member as known to the leader.
#[derive(Clone, Debug)]
struct MemberState {
    rank: u16,
    asks: [(u64, Millis); ASKS_KEPT],
    live_until: Millis,
    ready: bool,
    leaving: bool,
    last_answer: Millis,
}

/// Leader's side of the protocol: the promises that one view of one epoch holds.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Epoch that the host leads.
    pub epoch: Epoch,
    /// View that the host leads.
    pub view: View,
    members: BTreeMap<HostId, MemberState>,
    next_ask: Millis,
    started: Millis,
}

impl Holder {
    /// Returns a view without promises, with the given members in rank order.
    pub fn new(now: Millis, epoch: Epoch, view: View, members: &[HostId]) -> Holder {
        let member = |rank: usize| MemberState {
            rank: rank as u16,
            asks: [(0, Millis(0)); ASKS_KEPT],
            live_until: Millis(0),
            ready: false,
            leaving: false,
            last_answer: now,
        };
        let members = members.iter().enumerate().map(|(rank, h)| (*h, member(rank))).collect();
        Holder { epoch, view, members, next_ask: now, started: now }
    }

    /// Returns the time at which the view was proposed.
    pub fn started(&self) -> Millis {
        self.started
    }

    /// Returns the members of the view.
    pub fn members(&self) -> impl Iterator<Item = HostId> + '_ {
        self.members.keys().copied()
    }

    /// Returns the members of the view with their ranks.
    pub fn ranks(&self) -> impl Iterator<Item = (HostId, u16)> + '_ {
        self.members.iter().map(|(host, member)| (*host, member.rank))
    }

    /// Returns whether it is time to ask again, and if so records the ask. `seq` must be a number
    /// that no earlier ask of this host had, in this run of its agent or an earlier one.
    pub fn ask(&mut self, now: Millis, seq: u64, config: &LeaseConfig) -> bool {
        if now < self.next_ask {
            return false;
        }
        // A forming view asks more often, because its members may become ready at any time.
        let forming = !self.is_complete(now);
        let interval = if forming { config.renew_ms / FORMING_ASK_FACTOR } else { config.renew_ms };
        self.next_ask = now.plus(interval);
        let slot = (seq % ASKS_KEPT as u64) as usize;
        for member in self.members.values_mut() {
            member.asks[slot] = (seq, now);
        }
        true
    }

    /// Records that a member granted the ask with the number `seq`.
    pub fn granted(
        &mut self,
        now: Millis,
        host: HostId,
        seq: u64,
        ready: bool,
        leaving: bool,
        config: &LeaseConfig,
    ) {
        let Some(member) = self.members.get_mut(&host) else {
            return;
        };
        let (asked_seq, asked) = member.asks[(seq % ASKS_KEPT as u64) as usize];
        if asked_seq != seq {
            return; // The ask is too old, or was never sent.
        }
        member.live_until = member.live_until.max(asked.plus(config.leader_ttl_ms()));
        member.last_answer = now;
        member.ready = ready;
        member.leaving |= leaving;
    }

    /// Records that a member answered without granting.
    pub fn record_answer(&mut self, now: Millis, host: HostId) {
        if let Some(member) = self.members.get_mut(&host) {
            member.last_answer = now;
        }
    }

    /// Returns whether every member's promise is in force and its engine is ready. A leader serves
    /// under no other condition.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.members.values().all(|h| h.ready && h.live_until > now)
    }

    /// Returns whether any member is leaving.
    pub fn any_leaving(&self) -> bool {
        self.members.values().any(|h| h.leaving)
    }

    /// Resets the members' silence after a pause of this process, during which no answer could
    /// arrive. The next ask is due at once.
    pub fn reset_silence(&mut self, now: Millis) {
        for member in self.members.values_mut() {
            member.last_answer = now;
        }
        self.next_ask = now;
    }

    /// Returns the members that have not answered within the configured time.
    pub fn lost(&self, now: Millis, config: &LeaseConfig) -> Vec<HostId> {
        let silent = |h: &&MemberState| now.since(h.last_answer) > config.lost_ms;
        self.members.iter().filter(|(_, h)| silent(h)).map(|(id, _)| *id).collect()
    }
}
