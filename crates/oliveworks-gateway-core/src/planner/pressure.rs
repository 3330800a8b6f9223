//! How much each model's callers ask of its groups.

use super::group::Phase;
use super::{ModelLoad, Planner};
use crate::Millis;
use crate::configuration::Model;

/// The time in which half of a change in a model's demand is taken in, in ms: longer than a group's
/// passes, and short beside the second in which a group is repaired.
const DEMAND_HALF_MS: f64 = 350.0;
/// The largest part of refused requests that is believed: what comes back is counted again.
const REFUSED_MAX: f64 = 0.8;

/// The demand for each group above which callers are refused.
pub(super) const FULL: f64 = 1.0;

/// How many full groups a model's callers would fill.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    groups: f64,
    at: Millis,
}

impl Planner {
    /// How busy a model's groups are now, of which so many serve. Nothing is learned while none does.
    pub fn set_load(&mut self, now: Millis, model: &str, load: ModelLoad, serving: usize) {
        let found = 1.0 - load.refused_part.clamp(0.0, REFUSED_MAX);
        let groups = load.open_per_slot / found * serving as f64;
        let demand = self.demand.entry(model.to_owned()).or_insert(Demand { groups, at: now });
        let old = 0.5f64.powf(now.saturating_sub(demand.at) as f64 / DEMAND_HALF_MS);
        *demand = Demand { groups: demand.groups * old + groups * (1.0 - old), at: now };
        let groups = demand.groups;
        let load_ms = self.load_ms();
        self.parts.asked(now, model, groups, load_ms);
    }

    /// How many full groups a model's callers would fill, those among them that are refused.
    pub fn demand(&self, model: &str) -> f64 {
        self.demand.get(model).map_or(0.0, |demand| demand.groups)
    }

    /// The demand for each of so many groups of a model. Above 1, callers are refused.
    ///
    /// The share of slots that is taken would not do: it is 1 for a model that refuses one caller of
    /// ten and for one that refuses nine, and it does not count groups that are being formed.
    pub(super) fn pressure(&self, model: &Model, groups: usize) -> f64 {
        match groups {
            0 => f64::INFINITY,
            groups => self.demand(&model.name) / groups as f64,
        }
    }

    /// The same once the groups that are being formed serve.
    fn pressure_now(&self, model: &Model) -> f64 {
        self.pressure(model, self.groups_of(model))
    }

    /// Whether a model's groups are so busy that spares should serve.
    pub(super) fn is_busy(&self, model: &Model) -> bool {
        self.pressure_now(model) > self.config.busy_load
    }

    /// Groups of a model that serve or will.
    pub(super) fn groups_of(&self, model: &Model) -> usize {
        let of_model = self.groups.values().filter(|group| group.model == model.name);
        of_model.filter(|group| group.counts() && group.members.len() == model.size).count()
    }

    /// Whether any model refuses callers, also once the groups that are being formed serve.
    pub(super) fn any_refuses(&self) -> bool {
        self.engine.models.iter().any(|model| self.pressure_now(model) > FULL)
    }

    /// Whether any group of a model serves.
    pub(super) fn serves_anywhere(&self, model: &Model) -> bool {
        let mut of_model = self.groups.values().filter(|group| group.model == model.name);
        of_model.any(|group| matches!(group.phase, Phase::Open { .. }))
    }

    /// Whether ending so many groups of `giver` for one of `needy` serves more callers, beyond what
    /// the quotas say: always for a model without any group, else for one that stays busier. The last
    /// group of a model never ends for another's.
    pub(super) fn is_worth(&self, needy: &Model, giver: &Model, ended: usize) -> bool {
        let groups = self.groups_of(giver);
        if !self.config.yields_by_load || !self.traffic || groups <= ended {
            return false;
        }
        let after = self.pressure(giver, groups - ended);
        self.pressure_now(needy) > after + self.config.yield_margin
    }
}
