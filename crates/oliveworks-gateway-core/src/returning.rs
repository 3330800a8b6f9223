//! Returning callers: detects whether a caller is retrying after a refusal or a failure.
//!
//! An answer is worth most within its goal, counted from the caller's first attempt. The goal of a
//! returning caller has already passed, so at full load the last slots are reserved for first
//! attempts. Each attempt has an id of its own and may reach any gateway, so neither the id nor a
//! gateway's memory identifies a retry. The remaining time named by the caller does: this time
//! shrinks with every attempt, and the first attempts of a route name similar times. Rejected:
//! remembering the prompts of refused requests, because every gateway would have to receive them.

use std::collections::{HashMap, VecDeque};

/// Number of recent attempts of a route from which the usual time is computed. A busy route has as
/// many in one to three seconds.
const SAMPLES_MAX: usize = 64;
/// Minimum number of attempts needed for a decision.
const SAMPLES_MIN: usize = 8;
/// Percentile of the named times that is used as the usual time. The value is above 50 because half
/// of the attempts may be retries under load, and below 100 so that a few callers with very long
/// times do not make all others look late.
const USUAL_PERCENT: usize = 90;
/// Share of the usual time, in percent, below which a caller counts as returning. The times named
/// by first attempts differ by up to 15 %.
const FIRST_ATTEMPT_PERCENT: u32 = 80;

/// The remaining times that callers named in recent attempts, by route, in ms.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    routes: HashMap<String, VecDeque<u32>>,
}

impl Waits {
    /// Records the remaining time named by a caller of a route, in ms, and returns whether the
    /// caller is returning.
    pub fn came_back(&mut self, route: &str, left_ms: u32) -> bool {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), VecDeque::with_capacity(SAMPLES_MAX));
        }
        let Some(samples) = self.routes.get_mut(route) else { return false };
        if samples.len() == SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back(left_ms);
        usual_wait_ms(samples)
            .is_some_and(|usual_ms| left_ms < usual_ms / 100 * FIRST_ATTEMPT_PERCENT)
    }

    /// Drops the routes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }
}

/// Returns the usual remaining time of first attempts, in ms, if enough attempts are known.
fn usual_wait_ms(samples: &VecDeque<u32>) -> Option<u32> {
    if samples.len() < SAMPLES_MIN {
        return None;
    }
    let mut sorted: Vec<u32> = samples.iter().copied().collect();
    let index = (sorted.len() - 1) * USUAL_PERCENT / 100;
    let (_, usual_ms, _) = sorted.select_nth_unstable(index);
    Some(*usual_ms)
}
