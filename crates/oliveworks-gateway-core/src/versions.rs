//! Detection of a version of the configuration that lags behind a version known to other gateways,
//! and of the duration of the lag.
//!
//! A store that was restored from an older copy holds older versions until the operators have
//! written the newer ones again, so a read of it does not prove that there is nothing newer. The
//! lag is bounded, because a version that was never acknowledged is not written again.
//!
//! No gateway may know the newer versions: all of them have started since, or the store rejected all
//! of them before it was restored. So no read of a restored store proves anything before the
//! operators have had time to rewrite their records, not even to a gateway that knows of no newer
//! version. A gateway's proof from before the restore remains valid, and its age decides whether
//! keys are accepted meanwhile. Rejected alternative: ending that time with the first configuration
//! that is added to the copy. It may be an older one of several that are rewritten in order.

use crate::Millis;
use crate::era::REWRITE_MS;

/// How long a gateway may hold an older version than another gateway reports before it asks that
/// gateway, in ms: many times what a version takes to reach all gateways through the store.
const CATCH_UP_MS: u64 = 500;

/// Time since which one version lags behind another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    since: Option<Millis>,
}

impl Lag {
    /// Returns for how long the version has been behind, in ms; `None` if it is not behind.
    pub fn behind_ms(&self, now: Millis) -> Option<u64> {
        self.since.map(|since| now.saturating_sub(since))
    }

    /// Records whether the version is behind, and returns for how long it has been, in ms; `None`
    /// if it is not behind.
    fn note(&mut self, now: Millis, is_behind: bool) -> Option<u64> {
        if !is_behind {
            self.since = None;
            return None;
        }
        let since = *self.since.get_or_insert(now);
        Some(now.saturating_sub(since))
    }

    /// Whether a read of the store proves that there is nothing newer, given the newest version in
    /// the store and the newest version known to any gateway. `is_isolated` is whether the other
    /// gateways have not been observed since the store was restored.
    pub fn proves(
        &mut self,
        now: Millis,
        stored: Option<u64>,
        known: Option<u64>,
        is_isolated: bool,
    ) -> bool {
        let behind_ms = self.note(now, stored < known || is_isolated);
        behind_ms.is_none_or(|behind_ms| behind_ms >= REWRITE_MS)
    }

    /// Whether to ask another gateway for the version that it reports, given the version held here.
    /// A gateway that holds none asks at once.
    pub fn should_ask(&mut self, now: Millis, held: Option<u64>, reported: Option<u64>) -> bool {
        let behind_ms = self.note(now, held < reported);
        behind_ms.is_some_and(|behind_ms| held.is_none() || behind_ms >= CATCH_UP_MS)
    }
}
