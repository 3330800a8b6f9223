//! Which part of the hosts each model should have, by what callers ask for.
//!
//! Shares are configured before anyone knows the callers. Once these come, a model may refuse them
//! beside hosts that another one does not need. Parts then follow demand, in both directions: in the
//! simulated pool of 48 hosts, whose smaller model's callers fill 16 groups and the larger one's a single
//! one, 20 and 2 groups serve after 50 s, by shares alone 14 and 5.
//!
//! A host that changes over takes a load, so parts change only for what has lasted about as long as one: a
//! model that was busy through all that time, and others that would not have been as busy at any time in
//! it. Rejected: parts by the demand of the moment, and by its peaks alone (hosts load for 12 to 16 s
//! what is wanted for one).

use std::collections::BTreeMap;

use super::Planner;
use crate::Millis;
use crate::quota::{self, Quotas, Room};

/// The time between two looks for better parts, in ms: each works quotas out anew, 11 ms for 2,400 hosts.
const LOOK_EVERY_MS: u64 = 500;
/// How many groups more than its callers fill a model is meant to have: one may be lost, and comes back
/// after a load.
const GROUPS_BEYOND: f64 = 1.0;

/// The demand for a model in the time of a load, in groups.
#[derive(Clone, Copy, Debug)]
struct Lately {
    lowest: f64,
    highest: f64,
    at: Millis,
}

/// What the parts of the hosts that models should have follow.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    lately: BTreeMap<String, Lately>,
    changed_at: Millis,
    looked_at: Millis,
}

impl Parts {
    pub(super) fn new(now: Millis) -> Parts {
        Parts { lately: BTreeMap::new(), changed_at: now, looked_at: now }
    }

    /// Takes in the demand for a model, in groups; one that is over is forgotten by half in the time of a
    /// load.
    pub(super) fn asked(&mut self, now: Millis, model: &str, groups: f64, load_ms: u64) {
        let first = Lately { lowest: 0.0, highest: groups, at: now };
        let lately = self.lately.entry(model.to_owned()).or_insert(first);
        let loads = now.saturating_sub(lately.at) as f64 / load_ms.max(1) as f64;
        let old = 0.5f64.powf(loads);
        let faded = |past: f64| past * old + groups * (1.0 - old);
        *lately = Lately {
            lowest: groups.min(faded(lately.lowest)),
            highest: groups.max(faded(lately.highest)),
            at: now,
        };
    }

    /// The highest demand for a model in the time of a load, in groups.
    fn highest(&self, model: &str) -> f64 {
        self.lately.get(model).map_or(0.0, |lately| lately.highest)
    }

    /// The lowest one.
    fn lowest(&self, model: &str) -> f64 {
        self.lately.get(model).map_or(0.0, |lately| lately.lowest)
    }
}

/// Groups of a model in all domains.
fn count(quotas: &Quotas, model: &str) -> f64 {
    let counts = quotas.values().filter_map(|groups| groups.get(model));
    counts.sum::<usize>() as f64
}

impl Planner {
    /// The longest that a host loads one of the models.
    pub(super) fn load_ms(&self) -> u64 {
        self.engine.models.iter().map(|model| model.load_ms).max().unwrap_or_default()
    }

    /// Lets the parts of the hosts follow callers, if that is worth a change. One is seen through, for the
    /// time of a load, before the next.
    pub(super) fn follow_callers(&mut self, now: Millis) {
        let due = now >= self.parts.changed_at + self.load_ms()
            && now >= self.parts.looked_at + LOOK_EVERY_MS;
        if !self.config.follows_callers || !self.traffic || !due || !self.any_stays_busy() {
            return;
        }
        self.parts.looked_at = now;
        let Some((shares, quotas)) = self.better_parts(&self.rooms) else { return };
        for (model, share) in self.engine.models.iter_mut().zip(shares) {
            model.share = share;
        }
        self.quotas = quotas;
        self.quotas_at = now;
        self.parts.changed_at = now;
    }

    /// Whether a model was busy through the time of a load.
    fn any_stays_busy(&self) -> bool {
        self.engine.models.iter().any(|model| {
            let groups = count(&self.quotas, &model.name);
            self.parts.lowest(&model.name) > groups * self.config.crowded_load
        })
    }

    /// The parts that callers ask for and the groups that come of them, if a model that stayed busy gets
    /// more groups and none becomes as busy for it.
    fn better_parts(&self, rooms: &BTreeMap<String, Room>) -> Option<(Vec<f64>, Quotas)> {
        let mut models = self.engine.models.clone();
        for model in &mut models {
            let groups = self.parts.highest(&model.name) + GROUPS_BEYOND;
            model.share = groups * model.size as f64;
        }
        let quotas = quota::spread_out(&models, rooms, &self.spread());
        let pressure = |demand: f64, quotas: &Quotas, name: &str| demand / count(quotas, name);
        // What the busiest model that gets more groups had to bear all the time.
        let bears = |name: &str| pressure(self.parts.lowest(name), &self.quotas, name);
        let names = || models.iter().map(|model| model.name.as_str());
        let gains = names().filter(|name| count(&quotas, name) > count(&self.quotas, name));
        let before = gains.map(bears).fold(0.0, f64::max);
        // What any other one would have had to bear at the most.
        let gives = names().filter(|name| count(&quotas, name) < count(&self.quotas, name));
        let would = |name: &str| pressure(self.parts.highest(name), &quotas, name);
        let after = gives.map(would).fold(0.0, f64::max);
        let config = &self.config;
        let better = before > config.crowded_load
            && (after <= config.crowded_load || after + config.yield_margin < before);
        better.then(|| (models.iter().map(|model| model.share).collect(), quotas))
    }
}
