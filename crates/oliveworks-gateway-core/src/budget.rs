//! Retry budget: limits how often this gateway may send requests again.
//!
//! All gateways share one limit for each service: within any window, the sends beyond the first one
//! of each request stay below a ratio of the requests plus a constant. Each gateway uses only its
//! share of that limit, so no communication is needed: the ratio applies to the gateway's own
//! requests, and the constant is divided by the number of gateways (see
//! [`members`](crate::members)).
//!
//! A process that has just started does not know how many repeats it used in the window before, so
//! only a small part of its share of the constant is available until that window has passed. The
//! ratio applies at once because it depends on requests that arrive after the start. Rejected:
//! making nothing of the constant available (the first callers of a process whose backend server
//! fails are few, so the ratio allows them no repeat), and a part that grows with the time since
//! the start (the repeats used just before a restart are added to it).

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// Part of the limit that is used, in percent. The rest covers the difference between the sliding
/// windows of the rule and of this implementation.
const USED_PERCENT: u64 = 75;
/// Part of its share of the constant that is available to a process that has just started, in
/// percent. Together with the unused rest of the limit, this allows all gateways to restart three
/// times in a window.
const STARTUP_PERCENT: f64 = 10.0;
/// Number of buckets per window.
const BUCKETS: u64 = 10;

/// The limit shared by all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Allowed repeats per request.
    pub ratio: f64,
    /// Allowed repeats per window in addition to the ratio, for all gateways together.
    pub extra: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u64,
    repeats: u64,
}

/// This gateway's share of the retry budget, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    config: BudgetConfig,
    /// Time from which repeats before the start of this process no longer count.
    history_complete_at: Millis,
    buckets: HashMap<String, VecDeque<Bucket>>,
}

impl Budget {
    /// Creates the budget of a process that starts at `now`.
    pub fn new(config: BudgetConfig, now: Millis) -> Budget {
        // The oldest bucket counts in full, so the counts reach back one bucket beyond the window.
        let unknown_ms = config.window_ms + config.window_ms / BUCKETS;
        Budget { config, history_complete_at: now + unknown_ms, buckets: HashMap::new() }
    }

    fn bucket(&mut self, now: Millis, service: &str) -> &mut VecDeque<Bucket> {
        let index = now / (self.config.window_ms / BUCKETS).max(1);
        let buckets = match self.buckets.contains_key(service) {
            true => self.buckets.get_mut(service).unwrap_or_else(|| unreachable!()),
            false => self.buckets.entry(service.to_owned()).or_default(),
        };
        if buckets.back().is_none_or(|last| last.index != index) {
            buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        while buckets.front().is_some_and(|first| first.index + BUCKETS < index) {
            buckets.pop_front();
        }
        buckets
    }

    /// Counts a request for a service.
    pub fn request(&mut self, now: Millis, service: &str) {
        if let Some(bucket) = self.bucket(now, service).back_mut() {
            bucket.requests += 1;
        }
    }

    /// Uses one repeat if the budget allows it, and returns whether it does. `sharers` is the
    /// number of gateways that share the limit; `None` if this gateway has no share of the
    /// constant.
    pub fn take(&mut self, now: Millis, service: &str, sharers: Option<usize>) -> bool {
        let config = self.config;
        let available = if now < self.history_complete_at { STARTUP_PERCENT / 100.0 } else { 1.0 };
        let extra = sharers.map_or(0.0, |sharers| available * config.extra / sharers.max(1) as f64);
        let buckets = self.bucket(now, service);
        let requests: u64 = buckets.iter().map(|b| b.requests).sum();
        let repeats: u64 = buckets.iter().map(|b| b.repeats).sum();
        let bound = config.ratio * requests as f64 + extra;
        let allowed = (repeats + 1) as f64 <= bound * USED_PERCENT as f64 / 100.0;
        if allowed && let Some(bucket) = buckets.back_mut() {
            bucket.repeats += 1;
        }
        allowed
    }

    /// Returns a repeat that was taken and not used.
    pub fn give_back(&mut self, service: &str) {
        let buckets = self.buckets.get_mut(service);
        if let Some(bucket) = buckets.and_then(|buckets| buckets.back_mut()) {
            bucket.repeats = bucket.repeats.saturating_sub(1);
        }
    }
}
