//! Which replica groups run much slower than others of their model.
//!
//! A group runs at the pace of its slowest member, and one slow host makes all of it slow. Gateways
//! see that from the pauses between the events of streams; the leader then asks the members for
//! their pace. Rejected: asking all hosts now and then (each question is priced, and nearly all
//! answers say nothing).

use std::collections::HashMap;

use crate::Millis;
use crate::balance::Target;

/// The weight of a new pause.
const WEIGHT: f64 = 0.15;
/// Pauses that must have been seen.
const SAMPLES: u32 = 8;
/// How long ago the last one may be.
const YOUNG_MS: u64 = 1_000;
/// How many times as long as at other groups of its model pauses must be.
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
    /// A stream at a target has paused for so long between two events.
    pub fn paused(&mut self, now: Millis, target: Target, pause_ms: u64) {
        let speed = self.0.entry(target).or_default();
        if now > speed.at + YOUNG_MS {
            *speed = Speed { pause_ms: pause_ms as f64, ..Speed::default() };
        }
        speed.pause_ms += (pause_ms as f64 - speed.pause_ms) * WEIGHT;
        speed.samples += 1;
        speed.at = now;
    }

    /// Those of a model's groups that are slow. `longest_pass_ms` is what no group should need; it
    /// tells where there is no other group to compare with.
    pub fn slow(&self, now: Millis, targets: &[Target], longest_pass_ms: u64) -> Vec<Target> {
        let known = |target: &Target| {
            let speed = self.0.get(target)?;
            (speed.samples >= SAMPLES && now <= speed.at + YOUNG_MS).then_some(speed.pause_ms)
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

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, _| keep(*target));
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
