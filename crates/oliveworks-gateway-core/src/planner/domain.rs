//! State of a fabric domain while hosts are assigned to groups.

use std::collections::BTreeMap;

use super::Planner;
use super::group::Phase;
use super::host::Host;
use crate::Millis;
use crate::configuration::Model;
use crate::quota::DomainCapacity;

/// How soon a host can serve a model. A host that has just started is also called cold elsewhere
/// (see [`Host::cold_until`]); that is independent of this state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Warmth {
    /// The host held the model last.
    Hot,
    /// The host has the model staged in memory.
    Staged,
    /// The host must load the model from the weight store.
    Cold,
}

/// Returns how soon a host can serve a model.
pub(super) fn warmth(host: &Host, model: &Model) -> Warmth {
    if host.held_last(&model.name) {
        return Warmth::Hot;
    }
    match host.has_copy(&model.name) {
        true => Warmth::Staged,
        false => Warmth::Cold,
    }
}

/// Hosts and groups of a fabric domain.
#[derive(Default)]
pub(super) struct Domain<'a> {
    pub(super) name: &'a str,
    /// Number of eligible hosts.
    pub(super) eligible: usize,
    /// Hosts that may join a group, including spares. Silent ones count, but are not chosen.
    pub(super) free: Vec<&'a Host>,
    /// Number of groups by model, including those that are being formed.
    pub(super) groups: BTreeMap<&'a str, usize>,
    /// Whether the domain has had the same hosts for
    /// [`PlannerConfig::settle_ms`](super::PlannerConfig) and is not returning. Groups may be in
    /// transition.
    pub(super) steady: bool,
    /// Whether the domain is returning from an outage, with more hosts to be listed.
    pub(super) returning: bool,
    /// Whether an eligible host is silent.
    pub(super) has_silent_host: bool,
    /// Whether a group of the domain is being formed or dissolved.
    pub(super) in_transition: bool,
    /// Model for which groups of this domain are being preempted.
    pub(super) reserved_for: Option<&'a str>,
    /// Models that spares are loading, one entry for each of these spares.
    pub(super) loading: Vec<&'a str>,
}

impl Domain<'_> {
    /// Returns the number of groups of a model.
    pub(super) fn group_count(&self, model: &Model) -> usize {
        self.groups.get(model.name.as_str()).copied().unwrap_or(0)
    }

    /// Returns by how many groups of a model the domain is below its quota.
    pub(super) fn missing_groups(&self, planner: &Planner, model: &Model) -> usize {
        quota(planner, self.name, model).saturating_sub(self.group_count(model))
    }

    /// Returns the number of free hosts that can serve a model without a load.
    pub(super) fn warm_hosts(&self, model: &Model) -> usize {
        self.free.iter().filter(|host| warmth(host, model) != Warmth::Cold).count()
    }

    /// Returns the number of spares that are loading a model.
    pub(super) fn loading_spares(&self, model: &Model) -> usize {
        self.loading.iter().filter(|name| **name == model.name).count()
    }
}

/// Returns the number of groups of a model that a domain should hold.
pub(super) fn quota(planner: &Planner, domain: &str, model: &Model) -> usize {
    planner.quotas.get(domain).and_then(|groups| groups.get(&model.name)).copied().unwrap_or(0)
}

/// Returns the number of hosts that the plan of a domain counts on: the largest number that it had,
/// while lost hosts are returning, and otherwise the eligible ones.
fn planned_hosts(planner: &Planner, domain: &Domain<'_>) -> usize {
    let most = planner.most_hosts.get(domain.name).copied().unwrap_or_default();
    if domain.returning { most.max(domain.eligible) } else { domain.eligible }
}

/// Returns how many of a domain's `hosts` are kept as spares: a percentage of the largest number of
/// hosts that the domain had, less the hosts that it has lost since, because spares exist to
/// replace those. No spares are kept where the remaining hosts could not form a group, since there
/// is nothing to repair.
fn spare_count(planner: &Planner, domain: &Domain<'_>, hosts: usize) -> usize {
    let sizes = planner.engine.models.iter().map(|model| model.size).filter(|size| *size > 1);
    let most = planner.most_hosts.get(domain.name).copied().unwrap_or(hosts);
    let spares = sizes.clone().count().min((most * planner.config.spare_percent).div_ceil(100));
    let spares = spares.saturating_sub(most.saturating_sub(hosts));
    let forms_one = sizes.min().is_some_and(|least| hosts >= least + spares);
    if forms_one { spares } else { 0 }
}

/// Whether a domain can hold a group of a model when it has its largest number of hosts.
pub(super) fn can_hold(planner: &Planner, domain: &Domain<'_>, model: &Model) -> bool {
    let most = planner.most_hosts.get(domain.name).copied().unwrap_or(0);
    model.size <= most.max(domain.eligible)
}

/// Collects the state of all domains with eligible hosts.
pub(super) fn domains(now: Millis, planner: &Planner) -> BTreeMap<&str, Domain<'_>> {
    let mut domains: BTreeMap<&str, Domain<'_>> = BTreeMap::new();
    for host in planner.hosts.values().filter(|host| host.is_eligible()) {
        let domain = domains.entry(&host.server.domain).or_default();
        domain.name = &host.server.domain;
        domain.eligible += 1;
        domain.has_silent_host |= host.is_silent();
        let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
        match group {
            Some(group) if group.phase == Phase::Spare => domain.free.push(host),
            Some(_) => {}
            None if host.is_free(&planner.ended) => domain.free.push(host),
            None => {}
        }
    }
    for (name, domain) in &mut domains {
        domain.returning = planner.is_returning(now, name, domain.eligible);
        domain.steady = !domain.returning && planner.is_settled(now, name);
    }
    for group in planner.groups.values() {
        let head = planner.hosts.get(&group.members[0]);
        let domain = head.and_then(|head| domains.get_mut(head.server.domain.as_str()));
        let Some(domain) = domain else { continue };
        let size = planner.model(&group.model).map_or(0, |model| model.size);
        let whole = group.members.len() == size;
        domain.in_transition |= whole && !matches!(group.phase, Phase::Open { .. } | Phase::Spare);
        if let Some(model) = &group.preempted_for {
            domain.reserved_for = Some(model);
        }
        if !group.counts() {
            continue;
        }
        match whole {
            true => *domain.groups.entry(&group.model).or_default() += 1,
            false => domain.loading.push(&group.model),
        }
    }
    domains
}

/// Returns the capacity and the current groups of each domain. A returning domain has its previous
/// capacity and counts as holding its previous quotas, so that the plan does not change with each
/// host that is listed.
pub(super) fn capacities(now: Millis, planner: &Planner) -> BTreeMap<String, DomainCapacity> {
    let domains = domains(now, planner);
    let capacities =
        domains.values().map(|domain| (domain.name.to_owned(), capacity(planner, domain)));
    capacities.collect()
}

fn capacity(planner: &Planner, domain: &Domain<'_>) -> DomainCapacity {
    let hosts = planned_hosts(planner, domain);
    let spares = spare_count(planner, domain, hosts).min(hosts);
    let mut groups: BTreeMap<String, usize> =
        domain.groups.iter().map(|(model, count)| ((*model).to_owned(), *count)).collect();
    if domain.returning {
        for (model, count) in planner.quotas_at_full_strength.get(domain.name).into_iter().flatten()
        {
            let held = groups.entry(model.clone()).or_default();
            *held = (*held).max(*count);
        }
    }
    let models = planner.engine.models.iter();
    let hot = models.map(|model| (model.name.clone(), domain.warm_hosts(model))).collect();
    DomainCapacity { hosts: hosts - spares, spares, groups, hot }
}
