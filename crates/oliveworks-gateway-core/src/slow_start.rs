//! Which backend servers are cold, and what this gateway may send them.
//!
//! A backend server that has just started, or whose failure domain comes back from a drain, bears few
//! requests for some seconds. Callers that were refused meanwhile come to it all at once, from all gateways,
//! and none of these sees what the others send within that second. So a part of what the backend server may
//! be sent is each gateway's own (see [`members`](crate::members)); who has taken its part sends elsewhere or refuses.
//!
//! | module | decides |
//! |---|---|
//! | [`cold`] | until when a backend server counts as cold |
//! | [`sends`] | how much of it is taken |
//!
//! Rejected: waiting at the gateway until the part is free again (callers who cannot be served are told so
//! at once), and one gateway that deals out credits (it may be lost or cut off just when a failure domain
//! comes back).

pub mod cold;
pub mod sends;

use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;
use crate::configuration::SlowStart;
use crate::members::Members;
use cold::{ColdHosts, Evidence, Known, Listed};
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
    sends: Sends,
    /// When this process woke from a pause, until records were read after it.
    woke_at: Option<Millis>,
    store_heard_at: Millis,
}

impl SlowStarts {
    /// Nothing is known yet.
    pub fn new(config: SlowStartConfig, now: Millis) -> SlowStarts {
        SlowStarts {
            config,
            cold: ColdHosts::new(config.record_lag_ms),
            sends: Sends::default(),
            woke_at: None,
            store_heard_at: now,
        }
    }

    /// Takes a record in, of a backend server that is cold for `lasts_ms` from its start, if that is known yet; tells what is
    /// known now if that makes a warm one cold.
    pub fn record(
        &mut self,
        now: Millis,
        target: Target,
        lasts_ms: Option<u64>,
        cold_ms: u64,
        listed: Listed,
    ) -> Option<Known> {
        self.cold.record(now, target, lasts_ms, cold_ms, listed)
    }

    /// A backend server may have come back cold: its failure domain's drain has ended. Where the terms are not known yet, it
    /// is cold until it is heard, and then for as long as they say.
    pub fn drain_ended(
        &mut self,
        now: Millis,
        target: Target,
        terms: Option<SlowStart>,
    ) -> Option<Known> {
        let until = terms.map(|terms| now + terms.lasts_ms);
        self.cold.doubt(now, target, until, Evidence::DrainEnded)
    }

    /// A backend server began a life of which its record does not tell.
    pub fn started_again(
        &mut self,
        now: Millis,
        target: Target,
        born: Born,
        terms: Option<SlowStart>,
    ) -> Option<Known> {
        self.cold.started_again(now, target, born, terms.map(|terms| terms.lasts_ms))
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

    /// Whether a backend server counts as cold. One that no record was read of does, and each one does while
    /// this gateway may have missed what the others know.
    pub fn is_cold(
        &self,
        now: Millis,
        target: Target,
        terms: SlowStart,
        members: &Members,
    ) -> bool {
        self.cold.is_cold(now, target) || self.misses_news(now, terms, members)
    }

    fn misses_news(&self, now: Millis, terms: SlowStart, members: &Members) -> bool {
        let missed_ms = terms.lasts_ms + self.config.record_lag_ms;
        let paused = self.woke_at.is_some_and(|woke_at| now < woke_at + missed_ms);
        let store_is_silent = now > self.store_heard_at + STORE_SILENT_MS;
        paused || store_is_silent && members.is_cut_off(now)
    }

    /// How many requests this gateway may send to a cold backend server in any second.
    pub fn part(&self, now: Millis, target: Target, terms: SlowStart, members: &Members) -> u32 {
        members.part(now, self.config.bound(terms), target)
    }

    /// When this gateway may send to a backend server: at once if that is not cold, or its part is not
    /// taken; never is none.
    pub fn free_at(
        &self,
        now: Millis,
        target: Target,
        terms: SlowStart,
        members: &Members,
    ) -> Option<Millis> {
        if !self.is_cold(now, target, terms, members) {
            return Some(now);
        }
        self.sends.free_at(now, target, self.part(now, target, terms, members))
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

    /// Forgets backend servers that are gone, and old sends.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.cold.retain(keep);
        self.sends.retain(now);
    }
}
