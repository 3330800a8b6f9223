//! Assignment of free hosts to new groups.
//!
//! The number of groups of each model that every domain should hold is computed in
//! [`quota`](crate::quota). The models that the remaining free hosts load are chosen in
//! [`spares`](super::spares).

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, Warmth, domains, warmth};
use super::early_service::{self, Loader, loaders};
use super::host::Host;
use super::shortage::Shortage;
use super::spares::load_spares;
use crate::Millis;
use crate::backend_servers::BackendServerId;
use crate::configuration::Model;
use crate::quota::hosts_per_share;

/// A group to be formed.
pub(super) struct NewGroup {
    pub(super) model: String,
    pub(super) members: Vec<BackendServerId>,
}

pub(super) fn new_group(model: &Model, hosts: &[&Host]) -> NewGroup {
    NewGroup {
        model: model.name.clone(),
        members: hosts.iter().map(|host| host.server.id.clone()).collect(),
    }
}

/// Returns the groups to form now.
pub(super) fn allocate(now: Millis, planner: &Planner) -> Vec<NewGroup> {
    let mut domains = domains(now, planner);
    // Hosts are still being listed, which takes longer in some domains than in others.
    let listing = !planner.traffic && domains.values().any(|domain| !domain.steady);
    let mut plans = form(planner, &mut domains, listing);
    if plans.is_empty()
        && let Some(plan) = abandon_loads(now, planner, &domains)
    {
        for domain in domains.values_mut() {
            domain.free.retain(|host| !plan.members.contains(&host.server.id));
        }
        plans.push(plan);
    }
    if !listing {
        load_spares(planner, &domains, &mut plans);
    }
    plans
}

/// Forms groups up to the quotas. The model with the fewest hosts for its share comes first, in the
/// domain with the fewest groups of it. While hosts are still being listed, the capacity of the
/// domains is not known yet. Only the largest model, whose groups take longest to form, gets groups
/// then.
fn form<'a>(
    planner: &'a Planner,
    domains: &mut BTreeMap<&str, Domain<'a>>,
    listing: bool,
) -> Vec<NewGroup> {
    let mut plans = Vec::new();
    let largest = planner.engine.models.iter().map(|model| model.size).max();
    let mut open: Vec<&Model> = planner.engine.models.iter().collect();
    open.retain(|model| !listing || Some(model.size) == largest);
    while let Some(model) = most_underserved(&open, domains) {
        let mut names: Vec<&str> = domains.keys().copied().collect();
        names.retain(|name| !listing || domains[name].group_count(model) == 0);
        names.sort_by_key(|name| domains[name].group_count(model));
        let short = Shortage::of(planner, domains);
        let formed = names.into_iter().find_map(|name| {
            let domain = domains.get_mut(name)?;
            let hosts = claim_hosts(&short, domain, model)?;
            *domain.groups.entry(&model.name).or_default() += 1;
            Some(hosts)
        });
        match formed {
            Some(hosts) => plans.push(new_group(model, &hosts)),
            None => open.retain(|other| other.name != model.name),
        }
    }
    plans
}

/// Returns a group for which some hosts abandon their loads of another model, if the group serves
/// much sooner than the loads would end.
fn abandon_loads(
    now: Millis,
    planner: &Planner,
    domains: &BTreeMap<&str, Domain<'_>>,
) -> Option<NewGroup> {
    let loaders = loaders(now, planner);
    if loaders.is_empty() {
        return None;
    }
    let short = Shortage::of(planner, domains);
    let mut models: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    models.sort_by(|a, b| short.pressure(b).total_cmp(&short.pressure(a)));
    let of = |name: &str| -> &[Loader<'_>] { loaders.get(name).map_or(&[], Vec::as_slice) };
    models.into_iter().find_map(|model| {
        let mut hosts_abandoning_loads = domains.values().filter_map(|domain| {
            early_service::hosts_abandoning_loads(&short, domain, of(domain.name), model)
        });
        hosts_abandoning_loads.next().map(|hosts| new_group(model, &hosts))
    })
}

/// Returns the number of hosts of a model relative to its share.
pub(super) fn group_hosts_per_share(model: &Model, domains: &BTreeMap<&str, Domain<'_>>) -> f64 {
    let groups: usize = domains.values().map(|domain| domain.group_count(model)).sum();
    hosts_per_share(groups * model.size, model)
}

fn most_underserved<'a>(
    open: &[&'a Model],
    domains: &BTreeMap<&str, Domain<'_>>,
) -> Option<&'a Model> {
    open.iter().copied().min_by(|a, b| {
        group_hosts_per_share(a, domains).total_cmp(&group_hosts_per_share(b, domains))
    })
}

/// Claims the free hosts of a domain that can serve the model soonest, if the domain should have
/// another group of it.
fn claim_hosts<'a>(
    short: &Shortage<'a>,
    domain: &mut Domain<'a>,
    model: &Model,
) -> Option<Vec<&'a Host>> {
    let planner = short.planner;
    if domain.reserved_for.is_some_and(|kept| kept != model.name) {
        return None;
    }
    let mut order: Vec<&Host> = domain.free.clone();
    order.retain(|host| host.is_assignable() && !short.is_reserved(domain, host, model));
    order.sort_by_key(|host| warmth(host, model));
    order.truncate(model.size);
    if order.len() < model.size {
        return None;
    }
    let coldest = order.iter().map(|host| warmth(host, model)).max()?;
    let warmest = order.iter().map(|host| warmth(host, model)).min()?;
    let lacks = domain.missing_groups(planner, model) > 0;
    let may = match coldest {
        Warmth::Hot => lacks || planner.is_busy(model),
        // Hosts that would wait for others serve a crowded model in the meantime. Their group is
        // preempted once the group that they wait for can be formed.
        Warmth::Staged => {
            lacks
                || (planner.config.waiting_serve
                    && (short.takes_precedence(domain, model)
                        || early_service::serves_first(short, domain, model)))
        }
        // Hosts that hold the model do not wait for a host that must load it. That host loads it as
        // a spare.
        Warmth::Cold => {
            let unused =
                |host: &&Host| holds_no_model(planner, host) || warmth(host, model) < Warmth::Cold;
            lacks
                && warmest == Warmth::Cold
                && domain.may_assign_cold(planner)
                && order.iter().all(unused)
        }
    };
    if !may {
        return None;
    }
    domain.free.retain(|host| !order.iter().any(|taken| taken.server.id == host.server.id));
    Some(order)
}

impl Domain<'_> {
    /// Whether hosts that must load the model may be assigned. During traffic they may be only once
    /// no new hosts arrive.
    fn may_assign_cold(&self, planner: &Planner) -> bool {
        self.steady || !planner.traffic
    }
}

/// Whether a host has no model at all.
fn holds_no_model(planner: &Planner, host: &Host) -> bool {
    !planner.engine.models.iter().any(|model| host.has_copy(&model.name))
}
