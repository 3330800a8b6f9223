//! The timeline of a stop: what a stopping gateway does with requests, by the time since the stop
//! began.
//!
//! All times follow from the grace period, after which the platform ends the process. A request that
//! was accepted may be cut off only in the last part of that period, and only if its backend server
//! is still at work. Rejected alternative: margins of a fixed length before the end of the period. A
//! margin that is short for one period is longer than the last part of another.

use crate::Millis;

/// Shortest grace period, in ms. A shorter one leaves no time to send the last answers.
pub const GRACE_MIN_MS: u64 = 1_000;
/// Longest grace period, in ms.
pub const GRACE_MAX_MS: u64 = 86_400_000;

/// Time after the start of a stop during which new connections may still arrive, in ms. The
/// platform checks the readiness of a process once a second and removes it after two failed checks.
const NOTICE_MS: u64 = 2_300;
/// Part of the grace period in which new requests are accepted at most, as its divisor: what is
/// accepted gets twice as long to be answered.
const ACCEPT_DIVISOR: u64 = 3;
/// Part of the grace period, at its end, in which requests may be cut off while a backend server is
/// at work on them, as its divisor.
const LAST_PART_DIVISOR: u64 = 6;
/// Part of the grace period that is left unused, as its divisor: half of the last part. It covers
/// timers that fire late and the end of the process itself.
const MARGIN_DIVISOR: u64 = 2 * LAST_PART_DIVISOR;
/// Longest time that is left unused, in ms.
const MARGIN_MAX_MS: u64 = 700;
/// Part of the grace period in which the last answers are sent, as its divisor.
const LAST_ANSWERS_DIVISOR: u64 = 8 * LAST_PART_DIVISOR;
/// Longest time in which the last answers are sent, in ms.
const LAST_ANSWERS_MAX_MS: u64 = 100;
/// Time after the notice of a stop in which the last new connections are accepted, in ms.
const LAST_CONNECTIONS_MS: u64 = 200;

/// Part of the grace period between two checks whether a stop has begun, as its divisor.
const CHECK_DIVISOR: u64 = 8;
/// Longest time between two checks whether a stop has begun, in ms.
const CHECK_INTERVAL_MAX_MS: u64 = 1_000;

/// Returns the time between two checks whether a stop has begun, in ms: far shorter than a stop.
pub fn check_interval_ms(grace_ms: u64) -> u64 {
    (grace_ms / CHECK_DIVISOR).min(CHECK_INTERVAL_MAX_MS)
}

/// The times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimeline {
    /// Start of the stop.
    pub began: Millis,
    /// Time until which new requests are accepted. Later ones are rejected, and idle connections
    /// are closed.
    pub accepts_until: Millis,
    /// Time from which the process ends as soon as no request is open.
    pub may_end_at: Millis,
    /// Time until which requests are sent to backend servers. A request that awaits no answer then,
    /// and whose caller has received nothing, is rejected: the last answers of all other requests
    /// have the rest of the time to themselves.
    pub sends_until: Millis,
    /// Time until which answers are awaited and forwarded. Requests that are open then get their
    /// last answer.
    pub awaits_until: Millis,
    /// Time at which the process ends, with or without open requests.
    pub ends_at: Millis,
}

impl StopTimeline {
    /// Computes the times of a stop that begins at `began`, from the grace period.
    pub fn new(began: Millis, grace_ms: u64) -> StopTimeline {
        let margin_ms = (grace_ms / MARGIN_DIVISOR).min(MARGIN_MAX_MS);
        let ends_at = began + grace_ms - margin_ms;
        let last_answers_ms = (grace_ms / LAST_ANSWERS_DIVISOR).min(LAST_ANSWERS_MAX_MS);
        let notice_ms = NOTICE_MS + LAST_CONNECTIONS_MS;
        StopTimeline {
            began,
            accepts_until: began + (grace_ms / ACCEPT_DIVISOR).min(NOTICE_MS),
            may_end_at: ends_at.min(began + notice_ms),
            sends_until: began + grace_ms - grace_ms / LAST_PART_DIVISOR,
            awaits_until: ends_at - last_answers_ms,
            ends_at,
        }
    }

    /// Returns whether new requests are still accepted.
    pub fn accepts(&self, now: Millis) -> bool {
        now < self.accepts_until
    }

    /// Returns whether the process ends; `is_busy` is whether a request is open.
    pub fn has_ended(&self, now: Millis, is_busy: bool) -> bool {
        now >= self.ends_at || (now >= self.may_end_at && !is_busy)
    }

    /// Returns the time until which an answer is awaited whose request expires at `expires_at`.
    pub fn awaits_answer_until(&self, expires_at: Millis) -> Millis {
        expires_at.min(self.awaits_until)
    }
}
