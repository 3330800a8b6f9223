//! Which gateway gives orders.
//!
//! The leader is whoever wrote the newest record of a topic of the store; the record's place is its
//! fence. A gateway writes one, on the condition that nobody wrote meanwhile, when the leader has
//! been silent for a while. Backend servers refuse orders with a fence below the highest they have
//! seen, so a leader that was paused and comes back can do no harm. Rejected: a lease renewed in
//! the store, a priced call each second that would say no more than the leader's heartbeats do.

use crate::Millis;

/// Times of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionConfig {
    /// Silence of a leader after which another may take its place.
    pub silence_ms: u64,
    /// What a candidate waits longer for each candidate before it.
    pub step_ms: u64,
    /// The time after which an unanswered claim may be made anew.
    pub claim_ms: u64,
}

impl Default for ElectionConfig {
    fn default() -> ElectionConfig {
        ElectionConfig { silence_ms: 700, step_ms: 150, claim_ms: 1_500 }
    }
}

/// A record of the leaders' topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The fence that it gives.
    pub fence: u64,
    /// Who wrote it: drawn anew in each life of a process.
    pub claimant: u64,
}

/// One gateway's view of who leads.
#[derive(Clone, Debug)]
pub struct Election {
    config: ElectionConfig,
    claimant: u64,
    newest: Option<Claim>,
    read_to: Option<u64>,
    heard_at: Millis,
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
            heard_at: now,
            claimed_at: None,
            deposed: 0,
        }
    }

    /// The topic was read up to `end`; `newest` is its last record, if this part held one.
    pub fn read(&mut self, now: Millis, newest: Option<Claim>, end: u64) {
        self.read_to = Some(self.read_to.map_or(end, |old| old.max(end)));
        let Some(claim) = newest else { return };
        if self.newest.as_ref().is_none_or(|old| claim.fence > old.fence) {
            self.heard_at = now;
            self.claimed_at = None;
            self.newest = Some(claim);
        }
    }

    /// A heartbeat of the leader with this fence has come, and it says that it reaches the store.
    pub fn heartbeat(&mut self, now: Millis, fence: u64) {
        if self.newest.as_ref().is_none_or(|newest| fence >= newest.fence) {
            self.heard_at = now;
        }
        if fence > self.deposed && self.leads().is_some_and(|own| own < fence) {
            self.deposed = fence;
        }
    }

    /// A backend server has seen a higher fence than ours: this leadership is over.
    pub fn fenced(&mut self, own: u64) {
        self.deposed = self.deposed.max(own);
    }

    /// The fence under which this gateway leads.
    pub fn leads(&self) -> Option<u64> {
        let newest = self.newest.as_ref()?;
        (newest.claimant == self.claimant && newest.fence > self.deposed).then_some(newest.fence)
    }

    /// The fence of the newest leader.
    pub fn fence(&self) -> Option<u64> {
        self.newest.as_ref().map(|claim| claim.fence)
    }

    /// Whether to write a claim now, and the end of the topic that it depends on. `rank` is how many
    /// gateways come before this one.
    pub fn claim(&mut self, now: Millis, rank: u64) -> Option<u64> {
        let end = self.read_to?;
        if self.leads().is_some() {
            return None;
        }
        // Records go after a while, so an empty end of a topic that was written to is no first start.
        let silence_ms = if end == 0 { 0 } else { self.config.silence_ms };
        let patience = silence_ms + self.config.step_ms * rank;
        let waiting = self.claimed_at.is_some_and(|at| now < at + self.config.claim_ms);
        if waiting || now < self.heard_at + patience {
            return None;
        }
        self.claimed_at = Some(now);
        Some(end)
    }

    /// A claim was refused because the topic had grown; the next one follows a new read.
    pub fn refused(&mut self, now: Millis) {
        self.claimed_at = None;
        self.heard_at = now;
    }
}
