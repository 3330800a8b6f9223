//! Determines which model lacks groups the most, and which hosts are reserved for it.

use std::collections::BTreeMap;

use super::Planner;
use super::allocation::group_hosts_per_share;
use super::domain::Domain;
use super::host::Host;
use super::pressure::FULL;
use crate::configuration::Model;
use crate::quota::hosts_per_share;

/// Ratio of hosts per share between a larger and a smaller model, below which the spares of the
/// larger one are reserved for it. A small group that lost a member is a small fraction of its
/// model, while the next large group takes long to form.
pub(super) const SPARE_RATIO: f64 = 1.3;

/// Shortage of each model, with the groups counted that are already planned.
pub(super) struct Shortage<'a> {
    pub(super) planner: &'a Planner,
    /// Number of groups of each model.
    groups: BTreeMap<&'a str, usize>,
    /// Demand per group of each model.
    pressures: BTreeMap<&'a str, f64>,
    /// Hosts of each model relative to its share.
    share_ratios: BTreeMap<&'a str, f64>,
}

impl<'a> Shortage<'a> {
    pub(super) fn of(planner: &'a Planner, domains: &BTreeMap<&str, Domain<'_>>) -> Shortage<'a> {
        let models = || planner.engine.models.iter();
        let count = |model: &Model| domains.values().map(|domain| domain.group_count(model)).sum();
        let groups: BTreeMap<&str, usize> =
            models().map(|model| (model.name.as_str(), count(model))).collect();
        let pressure =
            |model: &'a Model| (model.name.as_str(), planner.pressure(model, count(model)));
        Shortage {
            planner,
            groups,
            pressures: models().map(pressure).collect(),
            share_ratios: models()
                .map(|model| (model.name.as_str(), group_hosts_per_share(model, domains)))
                .collect(),
        }
    }

    pub(super) fn pressure(&self, model: &Model) -> f64 {
        self.pressures.get(model.name.as_str()).copied().unwrap_or(0.0)
    }

    /// Whether a model refuses requests even once the groups that are being formed serve.
    pub(super) fn refuses(&self, model: &Model) -> bool {
        self.pressure(model) > FULL
    }

    /// Whether a model is about to refuse requests and lacks groups more than another.
    fn outranks(&self, model: &Model, other: &Model) -> bool {
        self.outranks_pressure(model, self.pressure(other))
    }

    /// Whether a model is about to refuse requests, and its demand per group exceeds `other`.
    fn outranks_pressure(&self, model: &Model, other: f64) -> bool {
        let config = &self.planner.config;
        let pressure = self.pressure(model);
        pressure > config.crowded_load && pressure > other + config.yield_margin
    }

    fn hosts_per_share(&self, model: &Model) -> f64 {
        self.share_ratios.get(model.name.as_str()).copied().unwrap_or(0.0)
    }

    /// Whether a model takes precedence over all models that are below their quota in the domain,
    /// although its own quota there is filled.
    pub(super) fn takes_precedence(&self, domain: &Domain<'_>, model: &Model) -> bool {
        let others = self.planner.engine.models.iter().filter(|other| other.name != model.name);
        let mut lacking = others.filter(|other| domain.missing_groups(self.planner, other) > 0);
        self.pressure(model) > self.planner.config.crowded_load
            && lacking.all(|other| self.outranks(model, other))
    }

    /// Whether a host is withheld from a group of a model because it is reserved for a group of a
    /// larger model. The host has a copy of that model, so it could serve in that group without a
    /// load, or repair one. Joining any other group drops the larger model from the host's memory,
    /// and the next repair would take a load.
    pub(super) fn is_reserved(&self, domain: &Domain<'_>, host: &Host, model: &Model) -> bool {
        let models = self.planner.engine.models.iter();
        let mut larger =
            models.filter(|other| other.size > model.size && host.has_copy(&other.name));
        larger.any(|other| {
            !self.outranks(model, other) && self.is_reserved_for(domain, host, model, other)
        })
    }

    fn is_reserved_for(
        &self,
        domain: &Domain<'_>,
        host: &Host,
        model: &Model,
        larger: &Model,
    ) -> bool {
        if host.held_last(&larger.name) {
            return self.hosts_per_share(larger) < self.hosts_per_share(model) * SPARE_RATIO;
        }
        let extra = domain.missing_groups(self.planner, model) == 0;
        extra || self.can_complete(domain, larger)
    }

    /// Whether the hosts of `ended` groups of a model would form the same groups again if those were
    /// preempted for `beneficiary`: because they stay reserved for their model, which is the larger
    /// one, or because that model is busy and is served first.
    pub(super) fn are_formed_again(
        &self,
        model: &Model,
        ended: usize,
        beneficiary: &Model,
    ) -> bool {
        let groups = self.groups.get(model.name.as_str()).copied().unwrap_or(0);
        let left = groups.saturating_sub(ended);
        let pressure = self.planner.pressure(model, left);
        let left_per_share = hosts_per_share(left * model.size, model);
        let per_share = self.hosts_per_share(beneficiary);
        let is_reserved = model.size > beneficiary.size
            && !self.outranks_pressure(beneficiary, pressure)
            && left_per_share < per_share * SPARE_RATIO;
        let is_served_first =
            pressure > self.planner.config.busy_load && left_per_share <= per_share;
        is_reserved || is_served_first
    }

    /// Whether a domain lacks a group of a model and has, or will soon have, the hosts for it.
    fn can_complete(&self, domain: &Domain<'_>, model: &Model) -> bool {
        let lacks = domain.missing_groups(self.planner, model) > 0;
        lacks
            && domain.warm_hosts(model) + self.planner.freed_soon(domain.name, model) >= model.size
    }
}
