//! Token buckets of the backend servers for which this gateway is the limiter.
//!
//! A bucket starts empty, because permits that another gateway granted before are unknown here. Its
//! capacity is small, because saved permits are added to the rate in the following seconds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::Target;

/// Time in which a bucket fills up, in ms.
const FILL_TIME_MS: f64 = 250.0;
/// Minimum capacity of a bucket, in requests. One of these is reserved for requests without another
/// place.
const CAPACITY_MIN: f64 = 2.0;
/// Reserve for requests without another place, in requests.
const RESERVED: f64 = 1.0;
/// Minimum rate, in requests per second. A backend server with a rate of zero still receives
/// occasional requests, because only its answers show when the rate rises again.
const RATE_MIN_PER_S: f64 = 0.25;
/// Maximum time after which a gateway retries although a permit may be available earlier, in ms.
const WAIT_MAX_MS: f64 = 4_000.0;
/// Length of the window in which refused permit requests are counted, in ms.
const REFUSED_WINDOW_MS: Millis = 1_000;

/// The purpose of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Need {
    /// A request that could use another place.
    Optional,
    /// A request without another place.
    Only,
}

impl Need {
    /// Returns the bucket level required for a permit.
    fn level(self) -> f64 {
        match self {
            Need::Optional => 1.0 + RESERVED,
            Need::Only => 1.0,
        }
    }
}

/// A limiter's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// One request may be sent.
    Permit,
    /// No permit is available now. The value is the time until one may be available, in ms.
    After(u32),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of permits that may be granted now; negative after sends without a permit.
    level: f64,
    filled_at: Millis,
    /// Start of the current window for counting refused permit requests.
    counted_from: Millis,
    /// Number of permit requests refused in the current window.
    refused: u32,
    /// Number of permit requests refused in the window before.
    refused_before: u32,
}

impl Bucket {
    fn new(now: Millis) -> Bucket {
        Bucket { level: 0.0, filled_at: now, counted_from: now, refused: 0, refused_before: 0 }
    }

    fn fill(&mut self, now: Millis, per_s: f64) {
        let capacity = CAPACITY_MIN.max(per_s * FILL_TIME_MS / 1_000.0);
        let refill = per_s * (now - self.filled_at) as f64 / 1_000.0;
        self.level = (self.level + refill).min(capacity);
        self.filled_at = now;
    }

    /// Counts a refused permit request, and returns an estimate of the number of gateways that are
    /// waiting for a permit.
    fn refuse(&mut self, now: Millis) -> u32 {
        let windows = (now - self.counted_from) / REFUSED_WINDOW_MS;
        if windows > 0 {
            self.refused_before = if windows == 1 { self.refused } else { 0 };
            self.refused = 0;
            self.counted_from = now;
        }
        self.refused += 1;
        self.refused.max(self.refused_before)
    }
}

/// The token buckets of this gateway.
#[derive(Clone, Debug, Default)]
pub struct Buckets(HashMap<Target, Bucket>);

impl Buckets {
    fn filled(&mut self, now: Millis, target: Target, per_s: f64) -> &mut Bucket {
        let bucket = self.0.entry(target).or_insert_with(|| Bucket::new(now));
        bucket.fill(now, per_s);
        bucket
    }

    /// Grants or refuses a permit for a backend server with a limit of `per_s` requests per second.
    ///
    /// The more gateways were refused recently, the longer each of them has to wait. Together they
    /// retry only a few times as often as permits become available.
    pub fn ask(&mut self, now: Millis, target: Target, per_s: f64, need: Need) -> Grant {
        let per_s = per_s.max(RATE_MIN_PER_S);
        let bucket = self.filled(now, target, per_s);
        if bucket.level >= need.level() {
            bucket.level -= 1.0;
            return Grant::Permit;
        }
        let filled_ms = (need.level() - bucket.level) / per_s * 1_000.0;
        let queue_ms = f64::from(bucket.refuse(now)) / per_s * 1_000.0;
        Grant::After(filled_ms.max(queue_ms.min(WAIT_MAX_MS)).ceil() as u32)
    }

    /// Records that a request was sent without a permit.
    pub fn spend(&mut self, now: Millis, target: Target, per_s: f64) {
        let per_s = per_s.max(RATE_MIN_PER_S);
        let bucket = self.filled(now, target, per_s);
        let capacity = CAPACITY_MIN.max(per_s * FILL_TIME_MS / 1_000.0);
        bucket.level = (bucket.level - 1.0).max(-capacity);
    }

    /// Drops the bucket of a backend server because another gateway is now the limiter.
    pub fn drop_bucket(&mut self, target: Target) {
        self.0.remove(&target);
    }

    /// Drops the buckets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, _| keep(*target));
    }
}
