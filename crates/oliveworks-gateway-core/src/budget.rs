//! How often this gateway may send requests again.
//!
//! All gateways share one bound for each service: within any window, arrivals beyond the first of
//! each request stay under a ratio of the requests plus a constant. Each gateway keeps to its part
//! of it, so that no call is needed to ask the others: the ratio holds for its own requests, and
//! the constant is divided by the number of gateways.

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// The part of the bound that is used, in hundredths: the windows of the rule slide differently.
const USED_PERCENT: u64 = 75;
/// Buckets of a window.
const BUCKETS: u64 = 10;

/// The bound that all gateways share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in a window, over all gateways.
    pub extra: f64,
    /// The window.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u64,
    repeats: u64,
}

/// This gateway's part of the budget, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    config: BudgetConfig,
    buckets: HashMap<String, VecDeque<Bucket>>,
}

impl Budget {
    /// An unused budget.
    pub fn new(config: BudgetConfig) -> Budget {
        Budget { config, buckets: HashMap::new() }
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

    /// Takes a repeat, if one is left. `gateways` is how many share the bound.
    pub fn take(&mut self, now: Millis, service: &str, gateways: usize) -> bool {
        let config = self.config;
        let buckets = self.bucket(now, service);
        let requests: u64 = buckets.iter().map(|b| b.requests).sum();
        let repeats: u64 = buckets.iter().map(|b| b.repeats).sum();
        let bound = config.ratio * requests as f64 + config.extra / gateways.max(1) as f64;
        let allowed = (repeats + 1) as f64 <= bound * USED_PERCENT as f64 / 100.0;
        if allowed && let Some(bucket) = buckets.back_mut() {
            bucket.repeats += 1;
        }
        allowed
    }
}
