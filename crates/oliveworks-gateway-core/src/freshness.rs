//! Whether the configuration that this gateway holds is young enough to honour keys.
//!
//! A key that was taken away must not serve for longer than a bound. A gateway therefore keeps the
//! latest time at which the store is proved to have held nothing newer, and honours keys only while
//! that time is near. The proof's time is when the call was sent, or, if the store held the call
//! back because it had nothing new, when it could first have answered.
//!
//! Another gateway may pass its proof on. It says how old the proof was when it answered; that moment is
//! no earlier than the one at which it was asked, by the asker's own clock, so that no two clocks are
//! compared. Rejected: taking the proof to be as old as it was told when the answer arrives (an answer
//! that was long on its way would make an old proof young).

use crate::Millis;

/// The part of the bound, in hundredths, after which keys are no longer honoured. The rest is for
/// the time between this check and the moment at which a backend server begins.
const SAFE_PERCENT: u64 = 80;

/// How young the configuration is known to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// On this process's clock; below 0 where the proof is older than the process.
    proved_at: Option<i64>,
}

impl Freshness {
    /// The store answered a call sent at `sent` that it held back for at least `held_ms`, and what
    /// it answered has been taken in.
    pub fn proved(&mut self, sent: Millis, held_ms: u64) {
        self.prove((sent + held_ms) as i64);
    }

    /// Another gateway answered a question sent at `sent` after holding it back for `held_ms`: its own
    /// proof was `age_ms` old then, and what it knows has been taken in.
    pub fn passed_on(&mut self, sent: Millis, held_ms: u64, age_ms: u64) {
        self.prove((sent + held_ms) as i64 - age_ms as i64);
    }

    fn prove(&mut self, at: i64) {
        self.proved_at = Some(self.proved_at.map_or(at, |old| old.max(at)));
    }

    /// How long ago the store was proved to have nothing newer.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proved_at.map(|at| (now as i64 - at).max(0) as u64)
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
