//! Features of requests that completed recently.

use std::collections::HashMap;

use super::Feature;
use crate::Millis;

/// Time for which a completed run shows that a shared feature does not crash backend servers, in
/// ms. During a series of crashes, few requests complete.
pub(super) const KNOWN_SOUND_MS: Millis = 60_000;
/// Maximum number of features remembered. Features that many requests share are never dropped,
/// because they complete again and again.
const FEATURES_MAX: usize = 8_192;

/// The last completed run of each shared feature.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundFeatures {
    completed_at: HashMap<Feature, Millis>,
}

impl SoundFeatures {
    /// Records a completed run.
    pub fn completed(&mut self, now: Millis, feature: Feature) {
        self.completed_at.insert(feature, now);
        if self.completed_at.len() > FEATURES_MAX {
            self.forget();
        }
    }

    /// Returns the time of the last completed run.
    pub fn completed_at(&self, feature: Feature) -> Option<Millis> {
        self.completed_at.get(&feature).copied()
    }

    /// Drops the older half.
    fn forget(&mut self) {
        let mut times: Vec<Millis> = self.completed_at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, oldest_kept, _) = times.select_nth_unstable(middle);
        let oldest_kept = *oldest_kept;
        self.completed_at.retain(|_, at| *at > oldest_kept);
    }
}
