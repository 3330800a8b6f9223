//! Target shares of the hosts for each model, by demand.
//!
//! Shares are configured before the demand is known. During traffic a model may refuse requests
//! while another one has hosts that it does not need. Target shares then follow the demand, in both
//! directions. In the simulated pool of 48 hosts, where the requests for the smaller model fill 16
//! groups and those for the larger model a single one, 20 and 2 groups serve after 50 s. By
//! configured shares alone it is 14 and 5.
//!
//! A host that changes its model needs a load, so shares change only for demand that has lasted
//! about as long as a load: a model was busy throughout that time, and others would not have been
//! as busy at any time in it. Rejected: shares by the current demand, and shares by its peaks
//! alone, because hosts then load for 12 to 16 s for a demand of one second.

use std::collections::BTreeMap;

use super::Planner;
use crate::Millis;
use crate::quota::{self, DomainCapacity, Quotas};

/// Time between two searches for better shares, in ms. Each search recomputes the quotas, which
/// takes 11 ms for 2,400 hosts.
const ADJUST_EVERY_MS: u64 = 500;
/// Number of groups that a model should have beyond those that its requests fill. A group may be
/// lost, and its replacement serves only after a load.
const EXTRA_GROUPS: f64 = 1.0;

/// Demand for a model during the last load time, in groups.
#[derive(Clone, Copy, Debug)]
struct RecentDemand {
    lowest: f64,
    highest: f64,
    at: Millis,
}

/// Recent demand and the times of the last change and search, from which the target shares are
/// computed.
#[derive(Clone, Debug)]
pub(super) struct ShareAdjuster {
    recent: BTreeMap<String, RecentDemand>,
    changed_at: Millis,
    checked_at: Millis,
}

impl ShareAdjuster {
    pub(super) fn new(now: Millis) -> ShareAdjuster {
        ShareAdjuster { recent: BTreeMap::new(), changed_at: now, checked_at: now }
    }

    /// Records the demand for a model, in groups. Past extremes decay by half within the time of a
    /// load.
    pub(super) fn record_demand(&mut self, now: Millis, model: &str, groups: f64, load_ms: u64) {
        let first = RecentDemand { lowest: 0.0, highest: groups, at: now };
        let recent = self.recent.entry(model.to_owned()).or_insert(first);
        let loads = now.saturating_sub(recent.at) as f64 / load_ms.max(1) as f64;
        let old = 0.5f64.powf(loads);
        let decayed = |past: f64| past * old + groups * (1.0 - old);
        *recent = RecentDemand {
            lowest: groups.min(decayed(recent.lowest)),
            highest: groups.max(decayed(recent.highest)),
            at: now,
        };
    }

    /// Whether the demand for a model is known.
    fn knows(&self, model: &str) -> bool {
        self.recent.contains_key(model)
    }

    /// Returns the highest demand for a model during the last load time, in groups.
    fn highest(&self, model: &str) -> f64 {
        self.recent.get(model).map_or(0.0, |recent| recent.highest)
    }

    /// Returns the lowest demand for a model during the last load time, in groups.
    fn lowest(&self, model: &str) -> f64 {
        self.recent.get(model).map_or(0.0, |recent| recent.lowest)
    }
}

/// Returns the number of groups of a model in all domains.
fn count(quotas: &Quotas, model: &str) -> f64 {
    let counts = quotas.values().filter_map(|groups| groups.get(model));
    counts.sum::<usize>() as f64
}

impl Planner {
    /// Returns the longest load time of all models, in ms.
    pub(super) fn load_ms(&self) -> u64 {
        self.engine.models.iter().map(|model| model.load_ms).max().unwrap_or_default()
    }

    /// Adjusts the target shares to the demand, if a change is worth its cost. The next change is
    /// considered only after the time of a load.
    pub(super) fn adjust_shares(&mut self, now: Millis) {
        let due = now >= self.share_adjuster.changed_at + self.load_ms()
            && now >= self.share_adjuster.checked_at + ADJUST_EVERY_MS;
        if !self.config.follows_callers || !self.traffic || !due || !self.any_model_stays_busy() {
            return;
        }
        if self.lacks_any_demand() {
            return;
        }
        self.share_adjuster.checked_at = now;
        let Some((shares, quotas)) = self.better_shares(&self.capacities) else { return };
        for (model, share) in self.engine.models.iter_mut().zip(shares) {
            model.share = share;
        }
        self.quotas = quotas;
        self.quotas_changed_at = now;
        self.share_adjuster.changed_at = now;
    }

    /// Whether the demand for a model that should have groups is not known, because no group has
    /// served it yet. It may have just been added to the engine.
    fn lacks_any_demand(&self) -> bool {
        self.engine.models.iter().any(|model| {
            count(&self.quotas, &model.name) > 0.0 && !self.share_adjuster.knows(&model.name)
        })
    }

    /// Whether a model was busy throughout the time of a load.
    fn any_model_stays_busy(&self) -> bool {
        self.engine.models.iter().any(|model| {
            let groups = count(&self.quotas, &model.name);
            self.share_adjuster.lowest(&model.name) > groups * self.config.crowded_load
        })
    }

    /// Returns the shares that match the demand and the quotas that result from them, if a model
    /// that stayed busy gains groups and no model that loses groups becomes as busy.
    fn better_shares(
        &self,
        capacities: &BTreeMap<String, DomainCapacity>,
    ) -> Option<(Vec<f64>, Quotas)> {
        let mut models = self.engine.models.clone();
        for model in &mut models {
            let groups = self.share_adjuster.highest(&model.name) + EXTRA_GROUPS;
            model.share = groups * model.size as f64;
        }
        let quotas = quota::quotas_spread_over_failure_domains(&models, capacities, &self.spread());
        let pressure = |demand: f64, quotas: &Quotas, name: &str| demand / count(quotas, name);
        // Highest sustained demand per group among the models that gain groups.
        let sustained_pressure =
            |name: &str| pressure(self.share_adjuster.lowest(name), &self.quotas, name);
        let names = || models.iter().map(|model| model.name.as_str());
        let gaining = names().filter(|name| count(&quotas, name) > count(&self.quotas, name));
        let before = gaining.map(sustained_pressure).fold(0.0, f64::max);
        // Highest demand per group that the models that lose groups would have had.
        let losing = names().filter(|name| count(&quotas, name) < count(&self.quotas, name));
        let peak_pressure = |name: &str| pressure(self.share_adjuster.highest(name), &quotas, name);
        let after = losing.map(peak_pressure).fold(0.0, f64::max);
        let config = &self.config;
        let better = before > config.crowded_load
            && (after <= config.crowded_load || after + config.yield_margin < before);
        better.then(|| (models.iter().map(|model| model.share).collect(), quotas))
    }
}
