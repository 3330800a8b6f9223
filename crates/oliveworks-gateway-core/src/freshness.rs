//! Whether the configuration that this gateway holds is young enough to honour keys.
//!
//! A key that was taken away must not serve for longer than a bound. A gateway therefore keeps the
//! latest time at which the store is proved to have held nothing newer, and honours keys only while
//! that time is near. The proof's time is when the call was sent, or, if the store held the call
//! back because it had nothing new, when it could first have answered.

use crate::Millis;

/// The part of the bound, in hundredths, after which keys are no longer honoured. The rest is for
/// the time between this check and the moment at which a backend server begins.
const SAFE_PERCENT: u64 = 80;

/// How young the configuration is known to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Millis>,
}

impl Freshness {
    /// The store answered a call sent at `sent` that it held back for at least `held_ms`, and what
    /// it answered has been taken in.
    pub fn proved(&mut self, sent: Millis, held_ms: u64) {
        let at = sent + held_ms;
        self.proved_at = Some(self.proved_at.map_or(at, |old| old.max(at)));
    }

    /// How long ago the store was proved to have nothing newer.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// Whether keys may be honoured, given the bound after which a key must not serve.
    pub fn honours_keys(&self, now: Millis, revoke_ms: Option<u64>) -> bool {
        match (revoke_ms, self.age_ms(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age * 100 < bound * SAFE_PERCENT,
        }
    }
}
