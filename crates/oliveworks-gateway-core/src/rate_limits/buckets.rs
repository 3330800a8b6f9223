//! Token buckets of the backend servers whose limiter this gateway is.
//!
//! A bucket begins empty: what another gateway granted before this one became the limiter is not known here. It saves
//! up little, since what is saved up comes on top of the rate in the next seconds.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::Target;

/// The time in which a bucket fills up, in ms.
const FILL_MS: f64 = 250.0;
/// The least that a full bucket holds, in requests: one of them is kept for requests that have no other place.
const FULL_MIN: f64 = 2.0;
/// What is kept for requests that have no other place, in requests.
const RESERVED: f64 = 1.0;
/// The least rate, in requests a second: a backend server that takes none is tried now and then, since only its answers tell
/// that it takes some again.
const PER_S_MIN: f64 = 0.25;
/// The longest time after which a gateway asks again, in ms, if a permit comes free before.
const RETRY_MAX_MS: f64 = 4_000.0;
/// The time in which refused questions are counted, in ms.
const COUNTED_MS: Millis = 1_000;

/// What a permit is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Need {
    /// A request could go elsewhere as well.
    Optional,
    /// A request has no other place.
    Only,
}

impl Need {
    /// What the bucket must hold.
    fn level(self) -> f64 {
        match self {
            Need::Optional => 1.0 + RESERVED,
            Need::Only => 1.0,
        }
    }
}

/// What a limiter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// One request may be sent.
    Permit,
    /// None now; there may be one after so many ms.
    After(u32),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Requests that may be granted now; below zero after sends that did not ask.
    level: f64,
    filled_at: Millis,
    /// Questions that were refused in the second that began then, and in the one before.
    counted_from: Millis,
    refused: u32,
    refused_before: u32,
}

impl Bucket {
    fn new(now: Millis) -> Bucket {
        Bucket { level: 0.0, filled_at: now, counted_from: now, refused: 0, refused_before: 0 }
    }

    fn fill(&mut self, now: Millis, per_s: f64) {
        let full = FULL_MIN.max(per_s * FILL_MS / 1_000.0);
        let gained = per_s * (now - self.filled_at) as f64 / 1_000.0;
        self.level = (self.level + gained).min(full);
        self.filled_at = now;
    }

    /// Counts a refused question; tells how many gateways wait for a permit, roughly.
    fn refuse(&mut self, now: Millis) -> u32 {
        let seconds = (now - self.counted_from) / COUNTED_MS;
        if seconds > 0 {
            self.refused_before = if seconds == 1 { self.refused } else { 0 };
            self.refused = 0;
            self.counted_from = now;
        }
        self.refused += 1;
        self.refused.max(self.refused_before)
    }
}

/// The buckets that this gateway keeps.
#[derive(Clone, Debug, Default)]
pub struct Buckets(HashMap<Target, Bucket>);

impl Buckets {
    fn filled(&mut self, now: Millis, target: Target, per_s: f64) -> &mut Bucket {
        let bucket = self.0.entry(target).or_insert_with(|| Bucket::new(now));
        bucket.fill(now, per_s);
        bucket
    }

    /// A gateway asks for a permit at a backend server that takes so many requests a second.
    ///
    /// The more gateways were refused lately, the later each is to ask again: together they ask a few times as often as
    /// permits come free.
    pub fn ask(&mut self, now: Millis, target: Target, per_s: f64, need: Need) -> Grant {
        let per_s = per_s.max(PER_S_MIN);
        let bucket = self.filled(now, target, per_s);
        if bucket.level >= need.level() {
            bucket.level -= 1.0;
            return Grant::Permit;
        }
        let filled_ms = (need.level() - bucket.level) / per_s * 1_000.0;
        let turn_ms = f64::from(bucket.refuse(now)) / per_s * 1_000.0;
        Grant::After(filled_ms.max(turn_ms.min(RETRY_MAX_MS)).ceil() as u32)
    }

    /// A request was sent without a permit.
    pub fn spend(&mut self, now: Millis, target: Target, per_s: f64) {
        let per_s = per_s.max(PER_S_MIN);
        let bucket = self.filled(now, target, per_s);
        let full = FULL_MIN.max(per_s * FILL_MS / 1_000.0);
        bucket.level = (bucket.level - 1.0).max(-full);
    }

    /// Another gateway is the limiter of a backend server.
    pub fn hand_over(&mut self, target: Target) {
        self.0.remove(&target);
    }

    /// Forgets backend servers.
    pub fn retain(&mut self, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, _| keep(*target));
    }
}
