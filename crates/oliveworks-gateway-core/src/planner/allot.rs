//! Assignment of free hosts to new groups.
//!
//! The number of groups of each model that every domain should hold is computed in
//! [`quota`](crate::quota). The models that the remaining free hosts load are chosen in
//! [`spares`](super::spares).

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, Warmth, domains, warmth};
use super::host::Host;
use super::shortage::Shortage;
use super::sooner::{self, Loader, loaders};
use super::spares::load_spares;
use crate::Millis;
use crate::backend_servers::BackendServerId;
use crate::configuration::Model;
use crate::quota::per_weight;

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
pub(super) fn allot(now: Millis, planner: &Planner) -> Vec<NewGroup> {
    let mut domains = domains(now, planner);
    // Hosts are still being listed, which takes longer in some domains than in others.
    let listing = !planner.traffic && domains.values().any(|domain| !domain.steady);
    let mut plans = form(planner, &mut domains, listing);
    if plans.is_empty()
        && let Some(plan) = give_up_loads(now, planner, &domains)
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
    while let Some(model) = neediest(&open, domains) {
        let mut names: Vec<&str> = domains.keys().copied().collect();
        names.retain(|name| !listing || domains[name].count(model) == 0);
        names.sort_by_key(|name| domains[name].count(model));
        let short = Shortage::of(planner, domains);
        let formed = names.into_iter().find_map(|name| {
            let domain = domains.get_mut(name)?;
            let hosts = take(&short, domain, model)?;
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
fn give_up_loads(
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
        let mut given_up = domains
            .values()
            .filter_map(|domain| sooner::given_up(&short, domain, of(domain.name), model));
        given_up.next().map(|hosts| new_group(model, &hosts))
    })
}

/// Returns the number of hosts of a model relative to its share.
pub(super) fn need(model: &Model, domains: &BTreeMap<&str, Domain<'_>>) -> f64 {
    let groups: usize = domains.values().map(|domain| domain.count(model)).sum();
    per_weight(groups * model.size, model)
}

fn neediest<'a>(open: &[&'a Model], domains: &BTreeMap<&str, Domain<'_>>) -> Option<&'a Model> {
    open.iter().copied().min_by(|a, b| need(a, domains).total_cmp(&need(b, domains)))
}

/// Claims the free hosts of a domain that can serve the model soonest, if the domain should have
/// another group of it.
fn take<'a>(short: &Shortage<'a>, domain: &mut Domain<'a>, model: &Model) -> Option<Vec<&'a Host>> {
    let planner = short.planner;
    if domain.kept_for.is_some_and(|kept| kept != model.name) {
        return None;
    }
    let mut order: Vec<&Host> = domain.free.clone();
    order.retain(|host| !short.is_kept(domain, host, model));
    order.sort_by_key(|host| warmth(host, model));
    order.truncate(model.size);
    if order.len() < model.size {
        return None;
    }
    let coldest = order.iter().map(|host| warmth(host, model)).max()?;
    let warmest = order.iter().map(|host| warmth(host, model)).min()?;
    let lacks = domain.lacks(planner, model) > 0;
    let may = match coldest {
        Warmth::Hot => lacks || planner.is_busy(model),
        // Hosts that would wait for others serve a crowded model in the meantime. Their group is
        // preempted once the group that they wait for can be formed.
        Warmth::Staged => {
            lacks
                || (planner.config.waiting_serve
                    && (short.comes_first(domain, model)
                        || sooner::serves_first(short, domain, model)))
        }
        // Hosts that hold the model do not wait for a host that must load it. That host loads it as
        // a spare.
        Warmth::Cold => {
            let unused =
                |host: &&Host| is_unused(planner, host) || warmth(host, model) < Warmth::Cold;
            lacks
                && warmest == Warmth::Cold
                && domain.steady_or_listing(planner)
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
    /// Whether cold hosts may be assigned. During traffic they may be only once no new hosts
    /// arrive.
    fn steady_or_listing(&self, planner: &Planner) -> bool {
        self.steady || !planner.traffic
    }
}

/// Whether a host has no model at all.
fn is_unused(planner: &Planner, host: &Host) -> bool {
    !planner.engine.models.iter().any(|model| host.has(&model.name))
}
