//! Whether a version of the configuration is behind one that is known elsewhere, and for how long.
//!
//! A store that has come back from an older copy holds older versions until the operators have written again, so that
//! reading it proves nothing of the newer ones. Not for ever: a version that was never acknowledged is not written again.

use crate::Millis;
use crate::era::REWRITE_MS;

/// How long a gateway may hold an older version than another one tells before it asks that one, in ms: many times what a
/// version takes to reach all of them through the store.
const CATCH_UP_MS: u64 = 500;

/// Since when one version is behind another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    since: Option<Millis>,
}

impl Lag {
    /// For how long a version has been behind, in ms; none if it is not.
    pub fn behind_ms(&self, now: Millis) -> Option<u64> {
        self.since.map(|since| now.saturating_sub(since))
    }

    /// Notes whether the version is behind, and tells for how long it has been; none if it is not.
    fn note(&mut self, now: Millis, is_behind: bool) -> Option<u64> {
        if !is_behind {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        Some(now.saturating_sub(since))
    }

    /// Whether a read of the store proves that nothing is newer, given the newest version that the store holds and the
    /// newest that any gateway knows. `is_deaf` is whether the others were not heard since the store came back.
    pub fn proves(
        &mut self,
        now: Millis,
        stored: Option<u64>,
        known: Option<u64>,
        is_deaf: bool,
    ) -> bool {
        let behind_ms = self.note(now, stored < known || is_deaf);
        behind_ms.is_none_or(|behind_ms| behind_ms >= REWRITE_MS)
    }

    /// Whether to ask another gateway for the version that it tells, given the one held here. One that holds none asks at once.
    pub fn asks(&mut self, now: Millis, held: Option<u64>, told: Option<u64>) -> bool {
        let behind_ms = self.note(now, held < told);
        behind_ms.is_some_and(|behind_ms| held.is_none() || behind_ms >= CATCH_UP_MS)
    }
}
