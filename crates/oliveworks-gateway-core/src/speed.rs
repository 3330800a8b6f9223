//! Detects replica groups that run much slower than others of their model.
//!
//! A group runs at the pace of its slowest member, so one slow host slows the whole group. Gateways
//! detect that from the pauses between the events of streams. The leader then probes the members
//! for their pace. Rejected: probing all hosts at intervals, because each probe has a cost and
//! nearly all answers contain nothing new.

use std::collections::HashMap;

use crate::Millis;
use crate::balance::Target;

/// Weight of a new pause in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Minimum number of observed pauses.
const SAMPLES_MIN: u32 = 8;
/// Maximum age of the last pause, in ms.
const SAMPLE_MAX_AGE_MS: u64 = 1_000;
/// Ratio to the median pause of the other groups of the model above which a group is slow.
const SLOW_RATIO: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    pause_ms: f64,
    samples: u32,
    at: Millis,
}

/// Pauses between the events of streams, by target.
#[derive(Clone, Debug, Default)]
pub struct Speeds(HashMap<Target, Speed>);

impl Speeds {
    /// Records a pause between two events of a stream at a target.
    pub fn record_pause(&mut self, now: Millis, target: Target, pause_ms: u64) {
        let speed = self.0.entry(target).or_default();
        if now > speed.at + SAMPLE_MAX_AGE_MS {
            *speed = Speed { pause_ms: pause_ms as f64, ..Speed::default() };
        }
        speed.pause_ms += (pause_ms as f64 - speed.pause_ms) * SAMPLE_WEIGHT;
        speed.samples += 1;
        speed.at = now;
    }

    /// Returns the slow groups among `targets`, the groups of one model. A pause longer than
    /// `longest_pass_ms`, the maximum that any group should need, marks a group as slow even
    /// without another group to compare with.
    pub fn slow(&self, now: Millis, targets: &[Target], longest_pass_ms: u64) -> Vec<Target> {
        let known = |target: &Target| {
            let speed = self.0.get(target)?;
            (speed.samples >= SAMPLES_MIN && now <= speed.at + SAMPLE_MAX_AGE_MS)
                .then_some(speed.pause_ms)
        };
        let pauses: Vec<(Target, f64)> =
            targets.iter().filter_map(|target| Some((*target, known(target)?))).collect();
        let is_slow = |target: Target, pause_ms: f64| {
            let others = pauses.iter().filter(|(other, _)| *other != target);
            let usual = median(others.map(|(_, pause_ms)| *pause_ms).collect());
            pause_ms > longest_pass_ms as f64
                || usual.is_some_and(|usual| pause_ms > usual * SLOW_RATIO)
        };
        let slow = pauses.iter().filter(|(target, pause_ms)| is_slow(*target, *pause_ms));
        slow.map(|(target, _)| *target).collect()
    }

    /// Removes targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, _| keep(*target));
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
