//! Which gateway gives orders.
//!
//! The leader is whoever wrote the newest record of a topic of the store; the record's place is its
//! fence. A gateway writes one, on the condition that nobody wrote meanwhile, when the leader has
//! been silent for a while. Backend servers refuse orders with a fence below the highest they have
//! seen, so a leader that was paused and comes back can do no harm. Rejected: a lease renewed in
//! the store, a priced call each second that would say no more than the leader's heartbeats do.
//!
//! Heartbeats are numbered and passed on by every gateway, so that a leader counts as heard by all
//! whom it reaches over others. Rejected: counting only what the leader itself sent (with 53 gateways,
//! of which each heartbeat goes to some, leaders that lived were replaced up to five times in 16 s).
//!
//! A store that comes back from an older copy may have lost the leader's record. The leader leads on: backend servers know its
//! fence, and the fences of a later era are all higher. Rejected: that it claims anew (every host would be asked for its state
//! and every group looked at again, although nothing of that is in the store).
//!
//! A leader that does not reach the store is replaced only by a gateway that does: while nobody
//! reaches it, the leader goes on, since backend servers check its fence without the store.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::place::Place;

/// Times of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionConfig {
    /// Silence of a leader after which another may take its place.
    pub silence_ms: u64,
    /// What a candidate waits longer for each candidate before it.
    pub step_ms: u64,
    /// The time after which an unanswered claim may be made anew.
    pub claim_ms: u64,
    /// How long a leader may be without the store, while the candidate reaches it, before the
    /// candidate takes its place.
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
    /// Where it stands, in the era in which it was written.
    pub place: Place,
    /// Who wrote it: drawn anew in each life of a process.
    pub claimant: u64,
}

impl Claim {
    /// The fence that it gives.
    pub fn fence(&self) -> u64 {
        self.place.fence()
    }
}

/// A leader's heartbeat, as gateways pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The fence under which it leads.
    pub fence: u64,
    /// Counts its heartbeats under this fence: one that was delayed on its way is no news.
    pub number: u64,
    /// The number of its table of groups.
    pub table: u64,
    /// Whether it reaches the store.
    pub reaches_store: bool,
}

/// One gateway's view of who leads.
#[derive(Clone, Debug)]
pub struct Election {
    config: ElectionConfig,
    claimant: u64,
    newest: Option<Claim>,
    read_to: Option<Place>,
    heartbeat: Option<Heartbeat>,
    /// When the leader was last heard, by whatever way.
    heard_at: Millis,
    /// When a heartbeat last said that the leader reaches the store.
    reached_at: Millis,
    /// Since when the store has answered this gateway without a failure; none after a failure.
    answers_since: Option<Millis>,
    claimed_at: Option<Millis>,
    deposed: u64,
}

impl Election {
    /// A gateway that knows of no leader. `claimant` tells this life of this process from others.
    pub fn new(config: ElectionConfig, claimant: u64, now: Millis) -> Election {
        Election {
            config,
            claimant,
            newest: None,
            read_to: None,
            heartbeat: None,
            heard_at: now,
            reached_at: now,
            answers_since: Some(now),
            claimed_at: None,
            deposed: 0,
        }
    }

    /// The topic was read up to `end`; `newest` is its last record, if this part held one.
    pub fn read(&mut self, now: Millis, newest: Option<Claim>, end: Place) {
        self.read_to = Some(match self.read_to {
            Some(old) if old.era == end.era => old.max(end),
            _ => end,
        });
        let Some(claim) = newest else { return };
        // One of its own that it reads in another era may have arrived there late, at a place that the store had given to
        // another before: both would lead under one fence.
        if claim.claimant == self.claimant && claim.place.era != end.era {
            return;
        }
        if self.newest.as_ref().is_none_or(|old| claim.fence() > old.fence()) {
            self.heard_at = now;
            self.reached_at = now;
            self.claimed_at = None;
            self.newest = Some(claim);
        }
    }

    /// A heartbeat has come, from the leader or passed on; tells whether it is news.
    pub fn heard(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let Heartbeat { fence, number, .. } = heartbeat;
        let older_leader = self.newest.as_ref().is_some_and(|newest| fence < newest.fence());
        let known = self.heartbeat.is_some_and(|last| (fence, number) <= (last.fence, last.number));
        if older_leader || known {
            return false;
        }
        self.heartbeat = Some(heartbeat);
        self.heard_at = now;
        if heartbeat.reaches_store {
            self.reached_at = now;
        }
        if fence > self.deposed && self.leads().is_some_and(|own| own < fence) {
            self.deposed = fence;
        }
        true
    }

    /// The newest heartbeat, to be passed on.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        self.heartbeat
    }

    /// This gateway's next heartbeat, if it leads.
    pub fn beat(&mut self, table: u64, reaches_store: bool) -> Option<Heartbeat> {
        let fence = self.leads()?;
        let last = self.heartbeat.filter(|last| last.fence == fence);
        let number = last.map_or(0, |last| last.number + 1);
        self.heartbeat = Some(Heartbeat { fence, number, table, reaches_store });
        self.heartbeat
    }

    /// The store has answered this gateway.
    pub fn store_answered(&mut self, now: Millis) {
        self.answers_since.get_or_insert(now);
    }

    /// A call of this gateway's to the store failed.
    pub fn store_failed(&mut self) {
        self.answers_since = None;
    }

    /// Whether the store answers this gateway.
    pub fn store_answers(&self) -> bool {
        self.answers_since.is_some()
    }

    /// This process has run without a pause since `at`: silence before that proves nothing.
    pub fn awake_since(&mut self, at: Millis) {
        self.heard_at = self.heard_at.max(at);
        self.reached_at = self.reached_at.max(at);
    }

    /// A backend server has seen a higher fence than ours: this leadership is over.
    pub fn fenced(&mut self, own: u64) {
        self.deposed = self.deposed.max(own);
    }

    /// The fence under which this gateway leads.
    pub fn leads(&self) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        let fence = newest.fence();
        (newest.claimant == self.claimant && fence > self.deposed).then_some(fence)
    }

    /// The newest leader's claim.
    pub fn newest(&self) -> Option<Claim> {
        self.newest.clone()
    }

    /// The fence of the newest leader.
    pub fn fence(&self) -> Option<u64> {
        self.newest.as_ref().map(Claim::fence)
    }

    /// Whether to write a claim now, and the end of the topic that it depends on. `rank` is how many
    /// gateways come before this one.
    pub fn claim(&mut self, now: Millis, rank: u64) -> Option<Place> {
        let end = self.read_to?;
        if self.leads().is_some() {
            return None;
        }
        // A claim that the store does not answer is a priced call that helps nobody.
        let answers_since = self.answers_since?;
        // Records go after a while, so an empty end of a topic that was written to is no first start. One that the store has
        // lost is none either.
        let is_first = end.offset == 0 && self.newest.is_none() && self.heartbeat.is_none();
        let silence_ms = if is_first { 0 } else { self.config.silence_ms };
        let silent = self.heard_at + silence_ms;
        let cut_off = self.reached_at.max(answers_since) + self.config.cut_off_ms;
        let due = silent.min(cut_off) + self.config.step_ms * rank;
        let waiting = self.claimed_at.is_some_and(|at| now < at + self.config.claim_ms);
        if waiting || now < due {
            return None;
        }
        self.claimed_at = Some(now);
        Some(end)
    }

    /// A claim was refused because the topic had grown; the next one follows a new read.
    pub fn refused(&mut self, now: Millis) {
        self.claimed_at = None;
        self.heard_at = now;
        self.reached_at = now;
    }
}
