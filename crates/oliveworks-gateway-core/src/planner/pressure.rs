//! Demand per group of each model.

use super::group::Phase;
use super::{ModelLoad, Planner};
use crate::Millis;
use crate::configuration::Model;

/// Half-life of a model's demand, in ms: longer than a pass of a group (the batch of engine steps
/// between two outputs), and short compared with the second in which a group is repaired.
const DEMAND_HALF_LIFE_MS: f64 = 350.0;
/// Upper bound on the fraction of refused requests that is used. Retried requests are counted
/// again.
const REFUSED_PART_MAX: f64 = 0.8;

/// Demand per group above which requests are refused.
pub(super) const FULL: f64 = 1.0;

/// Demand for a model, as the number of groups that its requests would fill.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    groups: f64,
    at: Millis,
}

impl Planner {
    /// Records the load of a model's groups, of which `serving` serve. Callers leave out models
    /// without a serving group, so that their demand keeps its last value.
    pub fn record_load(&mut self, now: Millis, model: &str, load: ModelLoad, serving: usize) {
        let found = 1.0 - load.refused_part.clamp(0.0, REFUSED_PART_MAX);
        let groups = load.open_per_slot / found * serving as f64;
        let demand = self.demand.entry(model.to_owned()).or_insert(Demand { groups, at: now });
        let old = 0.5f64.powf(now.saturating_sub(demand.at) as f64 / DEMAND_HALF_LIFE_MS);
        *demand = Demand { groups: demand.groups * old + groups * (1.0 - old), at: now };
        let groups = demand.groups;
        let load_ms = self.load_ms();
        self.share_adjuster.record_demand(now, model, groups, load_ms);
    }

    /// Returns the number of groups that a model's requests would fill, including the refused
    /// requests.
    pub fn demand(&self, model: &str) -> f64 {
        self.demand.get(model).map_or(0.0, |demand| demand.groups)
    }

    /// Returns the demand per group if a model has `groups` groups. Above 1, requests are refused.
    ///
    /// Rejected: the fraction of occupied slots. This fraction is 1 for a model that refuses one
    /// request of ten and for one that refuses nine, and does not count groups that are being
    /// formed.
    pub(super) fn pressure(&self, model: &Model, groups: usize) -> f64 {
        match groups {
            0 => f64::INFINITY,
            groups => self.demand(&model.name) / groups as f64,
        }
    }

    /// Returns the demand per group once the groups that are being formed serve.
    fn pressure_after_forming(&self, model: &Model) -> f64 {
        self.pressure(model, self.groups_of(model))
    }

    /// Whether a model's groups are so busy that spares should serve.
    pub(super) fn is_busy(&self, model: &Model) -> bool {
        self.pressure_after_forming(model) > self.config.busy_load
    }

    /// Returns the number of groups of a model that serve or are being formed.
    pub(super) fn groups_of(&self, model: &Model) -> usize {
        let of_model = self.groups.values().filter(|group| group.model == model.name);
        of_model.filter(|group| group.counts() && group.members.len() == model.size).count()
    }

    /// Whether any model will still refuse requests when the groups that are being formed serve.
    pub(super) fn any_refuses(&self) -> bool {
        self.engine.models.iter().any(|model| self.pressure_after_forming(model) > FULL)
    }

    /// Whether any group of a model serves.
    pub(super) fn serves_anywhere(&self, model: &Model) -> bool {
        let mut of_model = self.groups.values().filter(|group| group.model == model.name);
        of_model.any(|group| matches!(group.phase, Phase::Open { .. }))
    }

    /// Whether more requests are served once `ended` groups of the model `preempted` have made room
    /// for one group of the model `beneficiary`. This holds if `beneficiary` has no group, or if the
    /// demand for each group of `beneficiary` exceeds the demand for each remaining group of
    /// `preempted` by the configured margin. The last group of a model is never preempted.
    pub(super) fn is_worth_preempting(
        &self,
        beneficiary: &Model,
        preempted: &Model,
        ended: usize,
    ) -> bool {
        let groups = self.groups_of(preempted);
        if !self.config.yields_by_load || !self.traffic || groups <= ended {
            return false;
        }
        let after = self.pressure(preempted, groups - ended);
        self.pressure_after_forming(beneficiary) > after + self.config.yield_margin
    }
}
