//! Choice of the hosts that load a second model to their memory while they serve.
//!
//! A host that has in memory a model other than its own can repair a group of either within
//! seconds. Loads are scarce once traffic has begun, so their order matters. Idle hosts for a group
//! that their domain lacks come first. Then comes the largest model, whose groups are hardest to
//! repair, unless far more hosts for its share can serve it already. Within a model, spares come
//! first and then the hosts of one group after the other. Rejected: the largest model first,
//! however many hosts can serve it; on 60 hosts all loads of the first 12 s went to a model for
//! which hosts for five times its demand were available, and the other refused up to 83 of 100
//! requests. Rejected: always the model that the fewest hosts can serve; on 57 hosts the larger
//! model achieved a value of 0.28 to 0.59 instead of 0.71 to 0.80 (see the [crate] for the value).

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, can_hold, domains, quota};
use super::early_service;
use super::group::Phase;
use super::host::Host;
use super::shortage::{SPARE_RATIO, Shortage};
use crate::Millis;
use crate::backend_servers::BackendServerId;
use crate::configuration::Model;
use crate::quota::hosts_per_share;

/// A host that should load a model to its memory.
pub(super) struct Staging {
    pub(super) host: BackendServerId,
    pub(super) model: String,
    /// Whether requests are being refused that could be served once the load is done. Otherwise the
    /// load helps only after the next failure.
    pub(super) urgent: bool,
}

/// A host that could stage a model, with the criteria for its priority.
struct Candidate<'a> {
    host: &'a Host,
    model: &'a Model,
    /// Epoch of the group in which the host serves; `None` for an idle host.
    epoch: Option<u64>,
    /// Number of hosts of the domain that have the model staged or come before this host.
    turn: usize,
    /// Whether the host would complete a group that its domain lacks.
    completes: bool,
    /// Whether the model of that group refuses requests.
    urgent: bool,
}

/// Returns the hosts that should stage a model that they do not hold, the most urgent first.
pub(super) fn stage(now: Millis, planner: &Planner) -> Vec<Staging> {
    let grouped = || planner.engine.models.iter().filter(|model| model.size > 1);
    let domains = domains(now, planner);
    let mut staged: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut candidates = Vec::new();
    for host in planner.hosts.values().filter(|host| host.is_eligible()) {
        let Some(held) = grouped().find(|model| host.held_last(&model.name)) else { continue };
        let Some(domain) = domains.get(host.server.domain.as_str()) else { continue };
        for model in grouped().filter(|model| model.name != held.name) {
            if host.has_copy(&model.name) || host.is_loading_to_memory(&model.name) {
                *staged.entry((&host.server.domain, &model.name)).or_default() += 1;
            } else if !host.is_loading_any_to_memory() && can_hold(planner, domain, model) {
                candidates.extend(candidate(planner, host, model));
            }
        }
    }
    assign_turns(&mut candidates, staged);
    mark_completing(planner, &domains, &mut candidates);
    let most = if planner.traffic { planner.config.staged_max } else { usize::MAX };
    candidates.retain(|candidate| candidate.completes || candidate.turn < most);
    let able: BTreeMap<&str, f64> = grouped()
        .map(|model| (model.name.as_str(), capable_hosts_per_share(planner, model)))
        .collect();
    let least = able.values().copied().fold(f64::INFINITY, f64::min);
    let has_enough = |candidate: &Candidate<'_>| {
        able.get(candidate.model.name.as_str()).is_some_and(|able| *able > least * SPARE_RATIO)
    };
    candidates.sort_by_key(|candidate| {
        let size = std::cmp::Reverse(candidate.model.size);
        (!candidate.completes, has_enough(candidate), size, candidate.turn)
    });
    let staging = candidates.into_iter().map(|candidate| Staging {
        host: candidate.host.server.id.clone(),
        model: candidate.model.name.clone(),
        urgent: candidate.urgent,
    });
    staging.collect()
}

fn candidate<'a>(planner: &Planner, host: &'a Host, model: &'a Model) -> Option<Candidate<'a>> {
    let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
    let still = group.is_none_or(|g| matches!(g.phase, Phase::Spare | Phase::Open { .. }));
    let serving = group.filter(|group| group.phase != Phase::Spare);
    let epoch = serving.map(|group| group.epoch);
    still.then_some(Candidate { host, model, epoch, turn: 0, completes: false, urgent: false })
}

/// Returns the number of hosts that can serve a model without a load, now or soon, relative to its
/// share.
fn capable_hosts_per_share(planner: &Planner, model: &Model) -> f64 {
    let hosts = planner.hosts.values().filter(|host| host.is_eligible());
    let able =
        hosts.filter(|host| host.has_copy(&model.name) || host.is_loading_to_memory(&model.name));
    hosts_per_share(able.count(), model)
}

/// Assigns the turns of the candidates: idle hosts first, then the hosts of one group after the
/// other.
fn assign_turns<'a>(
    candidates: &mut [Candidate<'a>],
    mut staged: BTreeMap<(&'a str, &'a str), usize>,
) {
    candidates.sort_by_key(|candidate| (candidate.epoch, candidate.host.server.id.clone()));
    for candidate in candidates {
        let key = (candidate.host.server.domain.as_str(), candidate.model.name.as_str());
        let count = staged.entry(key).or_default();
        candidate.turn = *count;
        *count += 1;
    }
}

/// Whether a domain has more groups of a group's model than it should.
fn is_surplus(planner: &Planner, domains: &BTreeMap<&str, Domain<'_>>, epoch: u64) -> bool {
    let Some(group) = planner.groups.get(&epoch) else { return false };
    let Some(model) = planner.model(&group.model) else { return false };
    let head = planner.hosts.get(&group.members[0]);
    let domain = head.and_then(|head| domains.get(head.server.domain.as_str()));
    domain.is_some_and(|domain| domain.group_count(model) > quota(planner, domain.name, model))
}

/// Marks the candidates that complete groups which their domain lacks, as many as are missing.
/// These are idle hosts, and hosts of groups that are preempted once all hosts for the new group
/// are ready.
fn mark_completing(
    planner: &Planner,
    domains: &BTreeMap<&str, Domain<'_>>,
    candidates: &mut [Candidate<'_>],
) {
    let short_of = Shortage::of(planner, domains);
    let mut missing: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for domain in domains.values() {
        let formable = early_service::formable_group(&short_of, domain);
        for model in planner.engine.models.iter().filter(|model| model.size > 1) {
            let staging =
                domain.free.iter().filter(|host| host.is_loading_to_memory(&model.name)).count();
            let expected = domain.warm_hosts(model) + staging + domain.loading_spares(model);
            let lacks =
                (model.size * domain.missing_groups(planner, model)).saturating_sub(expected);
            let of_formable =
                formable.filter(|group| group.model == model).map_or(0, |group| group.missing);
            let short = lacks.max(of_formable);
            missing.insert((domain.name, &model.name), short);
        }
    }
    // Idle hosts first, then those of one group after the other.
    candidates.sort_by_key(|candidate| candidate.epoch);
    let frees = |candidate: &Candidate<'_>| {
        candidate.epoch.is_none_or(|epoch| is_surplus(planner, domains, epoch))
    };
    for candidate in candidates.iter_mut().filter(|candidate| frees(candidate)) {
        let key = (candidate.host.server.domain.as_str(), candidate.model.name.as_str());
        if let Some(short) = missing.get_mut(&key).filter(|short| **short > 0) {
            *short -= 1;
            candidate.completes = true;
            candidate.urgent = candidate.epoch.is_none() && short_of.refuses(candidate.model);
        }
    }
}
