//! Age of this gateway's configuration, which decides whether API keys may be accepted.
//!
//! A revoked key must not be accepted for longer than a bound. A gateway therefore keeps the latest
//! time at which the store provably held nothing newer, and accepts keys only while that time is
//! recent. The time of the proof is the time at which the call was sent or, if the store held the
//! call back because it had nothing new, the earliest time at which it could have answered.
//!
//! Another gateway may forward its proof together with the age that the proof had when that gateway
//! answered. The answer is no earlier than the question by the asker's own clock, so no two clocks
//! are compared. Rejected alternative: counting the reported age from the arrival of the answer. An
//! answer that was delayed in transit would make an old proof look recent.

use crate::Millis;

/// Percentage of the bound after which keys are no longer accepted. The rest covers the time
/// between this check and the moment at which a backend server begins.
const SAFE_PERCENT: u64 = 80;

/// Whether a read that shows the store as of `shown_at` proves that it holds nothing newer, although
/// the store may lack versions until `complete_from`. Without a bound on the use of revoked keys, it
/// counts as one, since callers would otherwise be rejected for nothing.
pub fn is_proof(shown_at: Millis, complete_from: Millis, revoke_ms: Option<u64>) -> bool {
    revoke_ms.is_none() || shown_at >= complete_from
}

/// Time at which the configuration is known to have been current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Time of the proof on this process's clock, in ms; negative if the proof is older than the
    /// process.
    proved_at: Option<i64>,
}

impl Freshness {
    /// Records that the store answered a call, sent at `sent` and held back for at least `held_ms`,
    /// and that the answer has been applied.
    pub fn proved(&mut self, sent: Millis, held_ms: u64) {
        self.prove((sent + held_ms) as i64);
    }

    /// Records that another gateway answered a question, sent at `sent`, after holding it back for
    /// `held_ms`: its proof was `age_ms` old at that time, and the configuration in the answer has
    /// been applied.
    pub fn proved_by_peer(&mut self, sent: Millis, held_ms: u64, age_ms: u64) {
        self.prove((sent + held_ms) as i64 - age_ms as i64);
    }

    fn prove(&mut self, at: i64) {
        self.proved_at = Some(self.proved_at.map_or(at, |old| old.max(at)));
    }

    /// Returns the age of the proof that the store held nothing newer, in ms; `None` without a
    /// proof.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proved_at.map(|at| (now as i64 - at).max(0) as u64)
    }

    /// Whether keys may be accepted, given the bound after which a revoked key must not be
    /// accepted.
    pub fn accepts_keys(&self, now: Millis, revoke_ms: Option<u64>) -> bool {
        match (revoke_ms, self.age_ms(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age * 100 < bound * SAFE_PERCENT,
        }
    }
}
