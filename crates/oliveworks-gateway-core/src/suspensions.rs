//! Suspensions: targets that receive no requests for a while because they are stalled or could not
//! be reached.

use std::collections::HashMap;

use crate::Millis;
use crate::balance::Target;

/// First suspension of a target, in ms. Each further suspension in a row doubles this time.
const SUSPEND_MS: u64 = 1_000;
/// Maximum suspension of a target that fails repeatedly, in ms.
const SUSPEND_MAX_MS: u64 = 4_000;
/// Number of consecutive suspensions, with no data received between them, after which a target
/// counts as lost.
const LOST_AFTER: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Suspension {
    until: Millis,
    /// Number of consecutive suspensions with no data received between them.
    in_a_row: u32,
}

/// The end of the suspension of each target.
#[derive(Clone, Debug, Default)]
pub struct Suspensions {
    targets: HashMap<Target, Suspension>,
}

impl Suspensions {
    /// Suspends a target that is stalled or could not be reached. Failures during a suspension do
    /// not extend that suspension, so calls that fail together count once.
    pub fn suspend(&mut self, now: Millis, target: Target) {
        let suspension = self.targets.entry(target).or_default();
        if now < suspension.until {
            return;
        }
        let duration_ms = (SUSPEND_MS << suspension.in_a_row.min(8)).min(SUSPEND_MAX_MS);
        suspension.in_a_row += 1;
        suspension.until = now + duration_ms;
    }

    /// Records that data was received from a target.
    pub fn record_data(&mut self, target: Target) {
        if let Some(suspension) = self.targets.get_mut(&target) {
            suspension.in_a_row = 0;
        }
    }

    /// Returns whether a target is suspended.
    pub fn is_suspended(&self, now: Millis, target: Target) -> bool {
        self.targets.get(&target).is_some_and(|suspension| now < suspension.until)
    }

    /// Returns whether a target is lost, that is, sent no data during a complete suspension. After
    /// a single suspension a target is not lost, because only one call may have failed.
    pub fn is_lost(&self, target: Target) -> bool {
        self.targets.get(&target).is_some_and(|suspension| suspension.in_a_row >= LOST_AFTER)
    }

    /// Drops the targets for which `keep` returns false and whose suspension has ended.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.targets.retain(|target, suspension| now < suspension.until || keep(*target));
    }
}
