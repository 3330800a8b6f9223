//! Leader election among gateways.
//!
//! The leader is the gateway that wrote the newest record of a topic of the store. The position of
//! that record is the leader's fencing token. A gateway writes such a record, on the condition that
//! the topic has not grown meanwhile, after the leader has been silent for some time. Backend
//! servers refuse orders with a fence below the highest one they have seen, so a leader that was
//! paused and then resumes does no harm. Rejected alternative: a lease that is renewed in the
//! store. A lease costs a priced call per second and proves no more than the leader's heartbeats
//! do.
//!
//! Heartbeats are numbered and forwarded by every gateway, so a leader counts as alive for all
//! gateways that it reaches through others. Rejected alternative: counting only the heartbeats that
//! the leader itself sent. With 53 gateways, where each heartbeat goes to a few of them, live
//! leaders were replaced up to five times in 16 s.
//!
//! A store that is restored from an older copy may have lost the leader's record. The leader
//! continues: backend servers know its fence, and all fences of a later era are higher. Rejected
//! alternative: a new claim by the leader. Every host would be asked for its state and every group
//! examined again, although none of that state is in the store.
//!
//! A leader that cannot reach the store is replaced only by a gateway that can. While no gateway
//! reaches the store, the leader continues, since backend servers check its fence without the
//! store.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::position::Position;

/// Timeouts of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionConfig {
    /// Silence of a leader after which another gateway may replace it, in ms.
    pub silence_ms: u64,
    /// Additional delay of a candidate for each candidate ranked before it, in ms.
    pub step_ms: u64,
    /// Time after which an unanswered claim may be retried, in ms.
    pub claim_ms: u64,
    /// How long a leader may be without the store, while the candidate reaches the store, before
    /// the candidate replaces the leader, in ms.
    pub cut_off_ms: u64,
}

impl Default for ElectionConfig {
    fn default() -> ElectionConfig {
        ElectionConfig { silence_ms: 700, step_ms: 150, claim_ms: 1_500, cut_off_ms: 2_500 }
    }
}

/// A record of the leaders' topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Position of the record, in the era in which it was written.
    pub place: Position,
    /// Random id of the process that wrote the record; each incarnation of a process draws a new
    /// one.
    pub claimant: u64,
}

impl Claim {
    /// Returns the fence of this claim.
    pub fn fence(&self) -> u64 {
        self.place.fence()
    }
}

/// A leader's heartbeat, as gateways forward it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Fence of the leader.
    pub fence: u64,
    /// Sequence number of the heartbeat under this fence; a delayed heartbeat is ignored.
    pub number: u64,
    /// Number of the leader's table of groups.
    pub table: u64,
    /// Whether the leader reaches the store.
    pub reaches_store: bool,
}

/// One gateway's view of the leadership.
#[derive(Clone, Debug)]
pub struct Election {
    config: ElectionConfig,
    claimant: u64,
    newest: Option<Claim>,
    read_to: Option<Position>,
    heartbeat: Option<Heartbeat>,
    /// Time at which a heartbeat of the leader was last received, directly or through other
    /// gateways.
    last_heartbeat_at: Millis,
    /// Time at which a heartbeat last reported that the leader reaches the store.
    store_reached_at: Millis,
    /// Time since which the store has answered this gateway without a failure; `None` after a
    /// failure.
    answers_since: Option<Millis>,
    claimed_at: Option<Millis>,
    deposed_fence: u64,
}

impl Election {
    /// Creates the view of a gateway that knows of no leader. `claimant` distinguishes this
    /// incarnation of the process from others.
    pub fn new(config: ElectionConfig, claimant: u64, now: Millis) -> Election {
        Election {
            config,
            claimant,
            newest: None,
            read_to: None,
            heartbeat: None,
            last_heartbeat_at: now,
            store_reached_at: now,
            answers_since: Some(now),
            claimed_at: None,
            deposed_fence: 0,
        }
    }

    /// Records that the topic was read up to `end`; `newest` is the last record of the part that
    /// was read, if it held one.
    pub fn read(&mut self, now: Millis, newest: Option<Claim>, end: Position) {
        self.read_to = Some(match self.read_to {
            Some(old) if old.era == end.era => old.max(end),
            _ => end,
        });
        let Some(claim) = newest else { return };
        // A claim of this gateway that appears in another era may have arrived there late, at a
        // position that the store had given to another claimant before. This gateway and that
        // claimant would then lead under the same fence.
        if claim.claimant == self.claimant && claim.place.era != end.era {
            return;
        }
        if self.newest.as_ref().is_none_or(|old| claim.fence() > old.fence()) {
            self.last_heartbeat_at = now;
            self.store_reached_at = now;
            self.claimed_at = None;
            self.newest = Some(claim);
        }
    }

    /// Handles a heartbeat, from the leader itself or forwarded. Returns whether the heartbeat is
    /// new.
    pub fn observe_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let Heartbeat { fence, number, .. } = heartbeat;
        let older_leader = self.newest.as_ref().is_some_and(|newest| fence < newest.fence());
        let known = self.heartbeat.is_some_and(|last| (fence, number) <= (last.fence, last.number));
        if older_leader || known {
            return false;
        }
        self.heartbeat = Some(heartbeat);
        self.last_heartbeat_at = now;
        if heartbeat.reaches_store {
            self.store_reached_at = now;
        }
        if fence > self.deposed_fence && self.leading_fence().is_some_and(|own| own < fence) {
            self.deposed_fence = fence;
        }
        true
    }

    /// Returns the newest heartbeat, which is to be forwarded.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        self.heartbeat
    }

    /// Creates the next heartbeat of this gateway, if it leads.
    pub fn next_heartbeat(&mut self, table: u64, reaches_store: bool) -> Option<Heartbeat> {
        let fence = self.leading_fence()?;
        let last = self.heartbeat.filter(|last| last.fence == fence);
        let number = last.map_or(0, |last| last.number + 1);
        self.heartbeat = Some(Heartbeat { fence, number, table, reaches_store });
        self.heartbeat
    }

    /// Records that the store has answered this gateway.
    pub fn store_answered(&mut self, now: Millis) {
        self.answers_since.get_or_insert(now);
    }

    /// Records that a call of this gateway to the store has failed.
    pub fn store_failed(&mut self) {
        self.answers_since = None;
    }

    /// Whether the store answers this gateway.
    pub fn store_answers(&self) -> bool {
        self.answers_since.is_some()
    }

    /// Returns the time since which the store has answered this gateway without a failure.
    pub fn store_answers_since(&self) -> Option<Millis> {
        self.answers_since
    }

    /// Records that this process has run without a pause since `at`: silence before that time
    /// proves nothing.
    pub fn awake_since(&mut self, at: Millis) {
        self.last_heartbeat_at = self.last_heartbeat_at.max(at);
        self.store_reached_at = self.store_reached_at.max(at);
    }

    /// Records that a backend server has seen a fence higher than `own`: this leadership has ended.
    pub fn fenced(&mut self, own: u64) {
        self.deposed_fence = self.deposed_fence.max(own);
    }

    /// Returns the fence under which this gateway leads, if it leads.
    pub fn leading_fence(&self) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        let fence = newest.fence();
        (newest.claimant == self.claimant && fence > self.deposed_fence).then_some(fence)
    }

    /// Returns the claim of the newest leader.
    pub fn newest(&self) -> Option<Claim> {
        self.newest.clone()
    }

    /// Returns the fence of the newest leader.
    pub fn fence(&self) -> Option<u64> {
        self.newest.as_ref().map(Claim::fence)
    }

    /// Decides whether to write a claim now, and returns the end of the topic that the write is
    /// conditional on. `rank` is the number of gateways ranked before this one.
    pub fn claim(&mut self, now: Millis, rank: u64) -> Option<Position> {
        let end = self.read_to?;
        if self.leading_fence().is_some() {
            return None;
        }
        // A claim that the store does not answer is a priced call without a benefit.
        let answers_since = self.answers_since?;
        // Records expire after some time, so the empty end of a topic that was written to does not
        // indicate a first start. Neither does a record that the store has lost.
        let is_first = end.offset == 0 && self.newest.is_none() && self.heartbeat.is_none();
        let silence_ms = if is_first { 0 } else { self.config.silence_ms };
        let silent = self.last_heartbeat_at + silence_ms;
        let cut_off = self.store_reached_at.max(answers_since) + self.config.cut_off_ms;
        let due = silent.min(cut_off) + self.config.step_ms * rank;
        let waiting = self.claimed_at.is_some_and(|at| now < at + self.config.claim_ms);
        if waiting || now < due {
            return None;
        }
        self.claimed_at = Some(now);
        Some(end)
    }

    /// Records that a claim was refused because the topic had grown; the next claim follows a new
    /// read.
    pub fn claim_refused(&mut self, now: Millis) {
        self.claimed_at = None;
        self.last_heartbeat_at = now;
        self.store_reached_at = now;
    }
}
