//! Features of requests that completed recently.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3;

use super::Feature;
use crate::Millis;

/// Time for which a completed run shows that a shared feature does not crash backend servers, in
/// ms. During a series of crashes, few requests complete.
pub(super) const KNOWN_SOUND_MS: Millis = 60_000;
/// Number of sets of the table. With four entries of 16 bytes a set, the table takes 4 MB once all
/// of them are used, and holds 100,000 parts, each in two workspaces or more.
const SETS: usize = 1 << 16;
/// Number of entries in a set.
const WAYS: usize = 4;

/// A feature, by its hash, and its last completed run. The hash 0 marks an unused entry.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    hash: u64,
    completed_at: Millis,
}

/// The last completed run of each shared feature.
///
/// The memory is bounded by the size of an entry, however many parts prompts have: a feature takes
/// the place of the one in its set that completed longest ago. Features that many requests share
/// stay, because they complete again and again.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundFeatures {
    /// The sets one after the other; empty until the first run completes.
    entries: Vec<Entry>,
}

impl SoundFeatures {
    /// Records a completed run.
    pub fn completed(&mut self, now: Millis, feature: Feature) {
        if self.entries.is_empty() {
            self.entries = vec![Entry::default(); SETS * WAYS];
        }
        let hash = hash(feature);
        let set = &mut self.entries[range(hash)];
        let index = match set.iter().position(|entry| entry.hash == hash) {
            Some(index) => index,
            None => oldest(set),
        };
        set[index] = Entry { hash, completed_at: now };
    }

    /// Returns the time of the last completed run.
    pub fn completed_at(&self, feature: Feature) -> Option<Millis> {
        let hash = hash(feature);
        let set = self.entries.get(range(hash))?;
        set.iter().find(|entry| entry.hash == hash).map(|entry| entry.completed_at)
    }
}

/// Returns the index of the entry that completed longest ago; unused entries come first.
fn oldest(set: &[Entry]) -> usize {
    let by_age = |index: &usize| set[*index].completed_at;
    (0..set.len()).min_by_key(by_age).unwrap_or(0)
}

/// Returns the range of the entries of a hash's set.
fn range(hash: u64) -> std::ops::Range<usize> {
    let set = (hash as usize) % SETS;
    set * WAYS..(set + 1) * WAYS
}

fn hash(feature: Feature) -> u64 {
    let mut hasher = Xxh3::new();
    feature.hash(&mut hasher);
    hasher.finish().max(1)
}
