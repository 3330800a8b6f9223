//! Which backend servers are cold, and what this gateway may send them.
//!
//! A backend server that has just started, or whose failure domain comes back from a drain, bears few
//! requests for some seconds. Callers that were refused meanwhile come to it all at once, from all gateways,
//! and none of these sees what the others send within that second. So a part of what the backend server may
//! be sent is each gateway's own (see [`parts`]); who has taken its part sends elsewhere or refuses.
//!
//! | module | decides |
//! |---|---|
//! | [`cold`] | until when a backend server counts as cold |
//! | [`parts`] | which part of the bound is this gateway's |
//! | [`sends`] | how much of it is taken |
//!
//! Rejected: waiting at the gateway until the part is free again (callers who cannot be served are told so
//! at once), and one gateway that deals out credits (it may be lost or cut off just when a failure domain
//! comes back).

pub mod cold;
pub mod parts;
pub mod sends;

use crate::Millis;
use crate::balance::{Candidate, Target};
use crate::configuration::SlowStart;
use cold::{ColdHosts, Evidence, Known, Listed};
use parts::Members;
use sends::Sends;

/// What all gateways together may send to a cold backend server, and how old its records may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// The factor on the requests a second that it bears.
    pub excess: f64,
    /// Requests a second beyond that.
    pub extra: f64,
    /// How long before it is taken in a record may have been written, in ms.
    pub record_lag_ms: u64,
}

impl SlowStartConfig {
    /// The requests that all gateways together may send to a cold backend server in any second.
    pub fn bound(&self, terms: SlowStart) -> f64 {
        terms.requests_per_s * self.excess + self.extra
    }
}

/// The silence of the store, here and by what others tell, after which this gateway may have missed
/// something, in ms: longer than the time between two reads.
const STORE_SILENT_MS: u64 = 3_000;
/// The longest pause of this process, in ms, after which it still goes by what it knew: shorter than the
/// time between two records of a backend server.
const PAUSE_MS: u64 = 1_000;

/// What this gateway knows of cold backend servers and sends them.
#[derive(Clone, Debug)]
pub struct SlowStarts {
    config: SlowStartConfig,
    cold: ColdHosts,
    members: Members,
    sends: Sends,
    /// When this process woke from a pause, until records were read after it.
    woke_at: Option<Millis>,
    store_heard_at: Millis,
}

impl SlowStarts {
    /// Nothing is known yet. `own` is this gateway's name, hashed; `alone` says that there is no other.
    pub fn new(config: SlowStartConfig, own: u64, alone: bool, now: Millis) -> SlowStarts {
        SlowStarts {
            config,
            cold: ColdHosts::new(config.record_lag_ms),
            members: Members::new(own, alone, now),
            sends: Sends::default(),
            woke_at: None,
            store_heard_at: now,
        }
    }

    /// Takes a record in, of a backend server that is cold for `lasts_ms` from its start; tells what is known
    /// now if that makes a warm one cold.
    pub fn record(
        &mut self,
        now: Millis,
        target: Target,
        lasts_ms: u64,
        cold_ms: u64,
        listed: Listed,
    ) -> Option<Known> {
        self.cold.record(now, target, lasts_ms, cold_ms, listed)
    }

    /// A backend server may have come back cold: its failure domain's drain has ended.
    pub fn drain_ended(&mut self, now: Millis, target: Target, terms: SlowStart) -> Option<Known> {
        let until = now + terms.lasts_ms;
        self.cold.doubt(now, target, Some(until), Evidence::DrainEnded)
    }

    /// A backend server is not reached: once it is, it may have come back cold.
    pub fn lost(&mut self, now: Millis, target: Target) -> Option<Known> {
        self.cold.doubt(now, target, None, Evidence::Lost)
    }

    /// How much longer a backend server counts as cold, in ms, as a gateway is told that takes the list over.
    pub fn told_ms(&self, now: Millis, target: Target, lasts_ms: u64) -> u64 {
        self.cold.told_ms(now, target, lasts_ms)
    }

    /// Whether a backend server is doubted, so that a younger record of it would tell more.
    pub fn doubts_any(&self, now: Millis) -> bool {
        self.cold.doubts_any(now)
    }

    /// Something came from a backend server.
    pub fn heard(&mut self, now: Millis, target: Target, terms: SlowStart) {
        self.cold.heard(now, target, terms);
    }

    /// This process was paused for so long: backend servers may have turned cold meanwhile.
    pub fn paused(&mut self, now: Millis, paused_ms: u64) {
        self.members.paused(now, paused_ms);
        if paused_ms > PAUSE_MS {
            self.woke_at = Some(now);
        }
    }

    /// Records were read by a call that was sent at a time.
    pub fn records_read(&mut self, sent: Millis) {
        if self.woke_at.is_some_and(|woke_at| sent >= woke_at) {
            self.woke_at = None;
        }
    }

    /// The store answered, this gateway or one that was asked.
    pub fn store_heard(&mut self, at: Millis) {
        self.store_heard_at = self.store_heard_at.max(at);
    }

    /// Another gateway was heard at a time, here or by one that tells so.
    pub fn gateway_heard(&mut self, gateway: u64, at: Millis) {
        self.members.heard(gateway, at);
    }

    /// Gateways that share the bound, this one among them.
    pub fn gateways(&self) -> usize {
        self.members.count()
    }

    /// Gateways that have fallen silent and may still send, to be told to new ones.
    pub fn silent_gateways(&self, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
        self.members.silent(now)
    }

    /// Whether a backend server counts as cold. One that no record was read of does, and each one does while
    /// this gateway may have missed what the others know.
    pub fn is_cold(&self, now: Millis, target: Target, terms: SlowStart) -> bool {
        self.cold.is_cold(now, target) || self.misses_news(now, terms)
    }

    fn misses_news(&self, now: Millis, terms: SlowStart) -> bool {
        let missed_ms = terms.lasts_ms + self.config.record_lag_ms;
        let paused = self.woke_at.is_some_and(|woke_at| now < woke_at + missed_ms);
        let store_is_silent = now > self.store_heard_at + STORE_SILENT_MS;
        paused || store_is_silent && self.members.is_cut_off(now)
    }

    /// How many requests this gateway may send to a cold backend server in any second.
    pub fn part(&self, now: Millis, target: Target, terms: SlowStart) -> u32 {
        self.members.part(now, self.config.bound(terms), target)
    }

    /// When this gateway may send to a backend server: at once if that is not cold, or its part is not
    /// taken; never is none.
    pub fn free_at(&self, now: Millis, target: Target, terms: SlowStart) -> Option<Millis> {
        if !self.is_cold(now, target, terms) {
            return Some(now);
        }
        self.sends.free_at(now, target, self.part(now, target, terms))
    }

    /// A cold backend server as it is compared with others: its load counts as if it had as many slots as it
    /// bears requests in a second, about as long as answers take. What it may have open stays: its rate
    /// alone is bound.
    pub fn compared(candidate: Candidate, terms: SlowStart) -> Candidate {
        let slots = f64::from(candidate.slots.max(1));
        let bears = terms.requests_per_s.clamp(1.0, slots);
        Candidate { open_ms: candidate.open_ms * slots / bears, ..candidate }
    }

    /// A request was given to a backend server, and will be sent soon.
    pub fn chosen(&mut self, target: Target) {
        self.sends.chosen(target);
    }

    /// A request that was given to it is sent.
    pub fn sent(&mut self, now: Millis, target: Target) {
        self.sends.sent(now, target);
    }

    /// A request that was given to it will not be sent.
    pub fn not_sent(&mut self, target: Target) {
        self.sends.not_sent(target);
    }

    /// Forgets backend servers that are gone, gateways that are no longer heard, and old sends.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.cold.retain(keep);
        self.members.retain(now);
        self.sends.retain(now);
    }
}
