//! Slow start: limits what this gateway sends to cold backend servers.
//!
//! A backend server that has just started, or whose failure domain returns from a drain, can handle
//! only few requests for some seconds. Callers that were rejected in the meantime all return at
//! once, through all gateways, and no gateway sees what the others send within that second. Each
//! gateway therefore has its own share of the requests that the backend server may receive (see
//! [`members`](crate::members)). A gateway that has used its share sends requests elsewhere or
//! rejects them.
//!
//! | module | decides |
//! |---|---|
//! | [`cold`] | until when a backend server counts as cold |
//! | [`sends`] | how much of this gateway's share is used |
//!
//! Rejected: queueing at the gateway until the share is available again (callers that cannot be
//! served are informed at once), and one gateway that grants credits to the others (that one may be
//! lost or cut off just when a failure domain returns).

pub mod cold;
pub mod sends;

use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;
use crate::configuration::SlowStart;
use crate::members::Members;
use cold::{ColdHosts, ColdState, Evidence, Listed};
use sends::Sends;

/// The limit on requests to a cold backend server, and the maximum age of its records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Factor applied to the rate that the cold backend server can handle.
    pub excess: f64,
    /// Requests per second allowed in addition to that product.
    pub extra: f64,
    /// Maximum age of a record when this gateway receives it, in ms.
    pub record_lag_ms: u64,
}

impl SlowStartConfig {
    /// Returns the number of requests that all gateways together may send to a cold backend server
    /// in any second.
    pub fn bound(&self, terms: SlowStart) -> f64 {
        terms.requests_per_s * self.excess + self.extra
    }
}

/// Time without an answer of the store, here and at other gateways as far as reported, after which
/// this gateway may have missed changes, in ms. This is longer than the time between two reads.
const STORE_SILENCE_MAX_MS: u64 = 3_000;
/// Maximum pause of this process after which its state still counts as current, in ms. This is
/// shorter than the time between two records of a backend server.
const PAUSE_MAX_MS: u64 = 1_000;

/// This gateway's knowledge of cold backend servers, and its sends to them.
#[derive(Clone, Debug)]
pub struct SlowStarts {
    config: SlowStartConfig,
    cold: ColdHosts,
    sends: Sends,
    /// Time at which this process resumed after a pause; `None` once records have been read after
    /// that time.
    resumed_at: Option<Millis>,
    store_answered_at: Millis,
}

impl SlowStarts {
    /// Creates an empty state.
    pub fn new(config: SlowStartConfig, now: Millis) -> SlowStarts {
        SlowStarts {
            config,
            cold: ColdHosts::new(config.record_lag_ms),
            sends: Sends::default(),
            resumed_at: None,
            store_answered_at: now,
        }
    }

    /// Applies a record of a backend server that is cold for `lasts_ms` after its start, if that
    /// time is known. Returns the new state if the record turns a warm backend server cold.
    pub fn record(
        &mut self,
        now: Millis,
        target: Target,
        lasts_ms: Option<u64>,
        cold_ms: u64,
        listed: Listed,
    ) -> Option<ColdState> {
        self.cold.record(now, target, lasts_ms, cold_ms, listed)
    }

    /// Records that the drain of a backend server's failure domain has ended, so the backend server
    /// may be cold. If the terms (the limits and the duration of its slow start) are not known yet,
    /// the backend server counts as cold until data is received from it, and then for the time in
    /// the terms.
    pub fn drain_ended(
        &mut self,
        now: Millis,
        target: Target,
        terms: Option<SlowStart>,
    ) -> Option<ColdState> {
        let until = terms.map(|terms| now + terms.lasts_ms);
        self.cold.doubt(now, target, until, Evidence::DrainEnded)
    }

    /// Records that a backend server has started an incarnation that its record does not show.
    pub fn started_again(
        &mut self,
        now: Millis,
        target: Target,
        born: Born,
        terms: Option<SlowStart>,
    ) -> Option<ColdState> {
        self.cold.started_again(now, target, born, terms.map(|terms| terms.lasts_ms))
    }

    /// Records that a backend server could not be reached, so it may be cold when it returns.
    pub fn lost(&mut self, now: Millis, target: Target) -> Option<ColdState> {
        self.cold.doubt(now, target, None, Evidence::Lost)
    }

    /// Returns the remaining time for which a backend server counts as cold, in ms, for a gateway
    /// that copies the list from this one.
    pub fn remaining_cold_ms(&self, now: Millis, target: Target, lasts_ms: u64) -> u64 {
        self.cold.remaining_cold_ms(now, target, lasts_ms)
    }

    /// Returns whether any backend server counts as cold for another reason than its record, in
    /// which case a newer record would settle its state.
    pub fn doubts_any(&self, now: Millis) -> bool {
        self.cold.doubts_any(now)
    }

    /// Records that data was received from a backend server.
    pub fn record_data(&mut self, now: Millis, target: Target, terms: SlowStart) {
        self.cold.record_data(now, target, terms);
    }

    /// Records that this process was paused for `paused_ms`. Backend servers may have turned cold
    /// in the meantime.
    pub fn record_pause(&mut self, now: Millis, paused_ms: u64) {
        if paused_ms > PAUSE_MAX_MS {
            self.resumed_at = Some(now);
        }
    }

    /// Records that records were read by a call that was sent at the given time.
    pub fn records_read(&mut self, sent: Millis) {
        if self.resumed_at.is_some_and(|resumed_at| sent >= resumed_at) {
            self.resumed_at = None;
        }
    }

    /// Records that the store answered this gateway, or a gateway that was asked.
    pub fn record_store_answer(&mut self, at: Millis) {
        self.store_answered_at = self.store_answered_at.max(at);
    }

    /// Returns whether a backend server counts as cold. A backend server without a record counts as
    /// cold, and so does every backend server while this gateway may have missed changes.
    pub fn is_cold(
        &self,
        now: Millis,
        target: Target,
        terms: SlowStart,
        members: &Members,
    ) -> bool {
        self.cold.is_cold(now, target) || self.may_lack_changes(now, terms, members)
    }

    fn may_lack_changes(&self, now: Millis, terms: SlowStart, members: &Members) -> bool {
        let stale_ms = terms.lasts_ms + self.config.record_lag_ms;
        let was_paused = self.resumed_at.is_some_and(|resumed_at| now < resumed_at + stale_ms);
        let store_is_silent = now > self.store_answered_at + STORE_SILENCE_MAX_MS;
        was_paused || store_is_silent && members.is_cut_off(now)
    }

    /// Returns the number of requests that this gateway may send to a cold backend server in any
    /// second.
    pub fn share(&self, now: Millis, target: Target, terms: SlowStart, members: &Members) -> u32 {
        members.share(now, self.config.bound(terms), target)
    }

    /// Returns the time from which this gateway may send to a backend server: `now` if the backend
    /// server is not cold or the share is not used up, `None` if never.
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
        self.sends.free_at(now, target, self.share(now, target, terms, members))
    }

    /// Records that a request is assigned to a backend server and will be sent soon.
    pub fn chosen(&mut self, target: Target) {
        self.sends.chosen(target);
    }

    /// Records that an assigned request is sent.
    pub fn sent(&mut self, now: Millis, target: Target) {
        self.sends.sent(now, target);
    }

    /// Records that an assigned request will not be sent.
    pub fn not_sent(&mut self, target: Target) {
        self.sends.not_sent(target);
    }

    /// Drops the backend servers for which `keep` returns false, and old sends.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.cold.retain(keep);
        self.sends.retain(now);
    }
}
