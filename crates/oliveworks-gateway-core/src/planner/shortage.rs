//! Which model lacks groups the most, and which hosts are kept for it.

use std::collections::BTreeMap;

use super::Planner;
use super::allot::need;
use super::domain::Domain;
use super::host::Host;
use super::pressure::FULL;
use crate::configuration::Model;

/// How many times the hosts for its share a larger model may have before its spares serve a smaller
/// one. A small group that lost a member is a small part of its model; the next large one waits long.
pub(super) const SPARE_RATIO: f64 = 1.3;

/// What each model lacks, counting the groups that are planned already.
pub(super) struct Shortage<'a> {
    pub(super) planner: &'a Planner,
    /// The demand for each group of a model.
    pressures: BTreeMap<&'a str, f64>,
    /// The hosts that a model has for its share.
    needs: BTreeMap<&'a str, f64>,
}

impl<'a> Shortage<'a> {
    pub(super) fn of(planner: &'a Planner, domains: &BTreeMap<&str, Domain<'_>>) -> Shortage<'a> {
        let models = || planner.engine.models.iter();
        let pressure = |model: &'a Model| {
            let groups = domains.values().map(|domain| domain.count(model)).sum();
            (model.name.as_str(), planner.pressure(model, groups))
        };
        Shortage {
            planner,
            pressures: models().map(pressure).collect(),
            needs: models().map(|model| (model.name.as_str(), need(model, domains))).collect(),
        }
    }

    pub(super) fn pressure(&self, model: &Model) -> f64 {
        self.pressures.get(model.name.as_str()).copied().unwrap_or(0.0)
    }

    /// Whether a model refuses callers, also once the groups that are being formed serve.
    pub(super) fn refuses(&self, model: &Model) -> bool {
        self.pressure(model) > FULL
    }

    /// Whether a model is about to refuse callers, and lacks groups more than another.
    fn outbids(&self, model: &Model, other: &Model) -> bool {
        let config = &self.planner.config;
        let pressure = self.pressure(model);
        pressure > config.crowded_load && pressure > self.pressure(other) + config.yield_margin
    }

    /// Whether a model goes before all that a domain lacks, though it should have no more groups there.
    pub(super) fn comes_first(&self, domain: &Domain<'_>, model: &Model) -> bool {
        let others = self.planner.engine.models.iter().filter(|other| other.name != model.name);
        let mut lacking = others.filter(|other| domain.lacks(self.planner, other) > 0);
        self.pressure(model) > self.planner.config.crowded_load
            && lacking.all(|other| self.outbids(model, other))
    }

    /// Whether a host is kept from a group of a model, for a larger one that it could serve sooner or
    /// repair: to join any other drops the larger model from its memory, and the next repair would
    /// take a load.
    pub(super) fn is_kept(&self, domain: &Domain<'_>, host: &Host, model: &Model) -> bool {
        let models = self.planner.engine.models.iter();
        let mut larger = models.filter(|other| other.size > model.size && host.has(&other.name));
        larger.any(|other| !self.outbids(model, other) && self.is_for(domain, host, model, other))
    }

    fn is_for(&self, domain: &Domain<'_>, host: &Host, model: &Model, larger: &Model) -> bool {
        if host.held_last(&larger.name) {
            let need = |model: &Model| self.needs.get(model.name.as_str()).copied().unwrap_or(0.0);
            return need(larger) < need(model) * SPARE_RATIO;
        }
        let extra = domain.lacks(self.planner, model) == 0;
        extra || self.can_complete(domain, larger)
    }

    /// Whether a domain lacks a group of a model and has the hosts for it, or is about to have them.
    fn can_complete(&self, domain: &Domain<'_>, model: &Model) -> bool {
        let lacks = domain.lacks(self.planner, model) > 0;
        lacks && domain.warm(model) + self.planner.freed_soon(domain.name, model) >= model.size
    }
}
