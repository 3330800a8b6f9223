//! Which free hosts form which new groups, and what the others load.
//!
//! How many groups of each model every domain should hold is in [`quota`](crate::quota). A part of
//! each domain is kept as spares. Spares hold the largest model, whose groups lose a member most
//! often and of which there are fewest, and keep a smaller one staged. Rejected: spares that hold the
//! smallest model, which loads soonest (groups of the largest waited for a second and a half more at
//! every repair).

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, Warmth, domains, quota, warmth};
use super::group::Phase;
use super::host::Host;
use crate::Millis;
use crate::configuration::Model;
use crate::quota::per_weight;
use crate::workers::WorkerId;

/// A group to be formed.
pub(super) struct NewGroup {
    pub(super) model: String,
    pub(super) members: Vec<WorkerId>,
}

fn new_group(model: &Model, hosts: &[&Host]) -> NewGroup {
    NewGroup {
        model: model.name.clone(),
        members: hosts.iter().map(|host| host.worker.id.clone()).collect(),
    }
}

/// The groups to form now.
pub(super) fn allot(now: Millis, planner: &Planner) -> Vec<NewGroup> {
    let mut domains = domains(now, planner);
    let mut plans = form(planner, &mut domains);
    load_spares(planner, &domains, &mut plans);
    plans
}

/// Forms groups up to the quotas, the neediest model first, where there are fewest of it.
fn form<'a>(planner: &'a Planner, domains: &mut BTreeMap<&str, Domain<'a>>) -> Vec<NewGroup> {
    let mut plans = Vec::new();
    // Hosts are still being listed: what they make room for is not known yet, but for the largest
    // model, whose groups take longest to form.
    let listing = !planner.traffic && domains.values().any(|domain| !domain.steady);
    let largest = planner.engine.models.iter().map(|model| model.size).max();
    let mut open: Vec<&Model> = planner.engine.models.iter().collect();
    open.retain(|model| !listing || Some(model.size) == largest);
    while let Some(model) = neediest(&open, domains) {
        let mut names: Vec<&str> = domains.keys().copied().collect();
        names.retain(|name| !listing || domains[name].count(model) == 0);
        names.sort_by_key(|name| domains[name].count(model));
        let formed = names.into_iter().find_map(|name| {
            let domain = domains.get_mut(name)?;
            let hosts = take(planner, domain, model)?;
            domain.used += model.size;
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

fn neediest<'a>(open: &[&'a Model], domains: &BTreeMap<&str, Domain<'_>>) -> Option<&'a Model> {
    let need = |model: &Model| {
        let groups: usize = domains.values().map(|domain| domain.count(model)).sum();
        per_weight(groups * model.size, model)
    };
    open.iter().copied().min_by(|a, b| need(a).total_cmp(&need(b)))
}

/// Takes the free hosts of a domain that serve the model soonest, if it should have another group.
fn take<'a>(planner: &Planner, domain: &mut Domain<'a>, model: &Model) -> Option<Vec<&'a Host>> {
    if domain.kept_for.is_some_and(|kept| kept != model.name) {
        return None;
    }
    let mut order: Vec<&Host> = domain.free.clone();
    order.sort_by_key(|host| warmth(host, model));
    order.truncate(model.size);
    if order.len() < model.size {
        return None;
    }
    let coldest = order.iter().map(|host| warmth(host, model)).max()?;
    let warmest = order.iter().map(|host| warmth(host, model)).min()?;
    let may = match coldest {
        Warmth::Hot => domain.lacks(planner, model) > 0 || planner.is_busy(model),
        Warmth::Staged => domain.lacks(planner, model) > 0,
        // Hosts that hold the model do not wait for one that loads it: that one loads as a spare.
        Warmth::Cold => {
            let unused =
                |host: &&Host| is_unused(planner, host) || warmth(host, model) < Warmth::Cold;
            domain.lacks(planner, model) > 0
                && warmest == Warmth::Cold
                && domain.steady_or_listing(planner)
                && order.iter().all(unused)
        }
    };
    if !may {
        return None;
    }
    domain.free.retain(|host| !order.iter().any(|taken| taken.worker.id == host.worker.id));
    Some(order)
}

impl Domain<'_> {
    /// Whether cold hosts may be dealt out: in traffic only once new ones have stopped coming.
    fn steady_or_listing(&self, planner: &Planner) -> bool {
        self.steady || !planner.traffic
    }
}

/// Whether a host holds no model at all.
fn is_unused(planner: &Planner, host: &Host) -> bool {
    !planner.engine.models.iter().any(|model| host.has(&model.name))
}

/// Free hosts that hold nothing load a model, and those that only keep one staged take it up.
fn load_spares(planner: &Planner, domains: &BTreeMap<&str, Domain<'_>>, plans: &mut Vec<NewGroup>) {
    let grouped: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    let Some(largest) = grouped.iter().max_by_key(|model| model.size) else { return };
    // Before traffic the weight store is the bottleneck, and groups go first.
    if !planner.traffic && (!plans.is_empty() || planner.waits_for_joins()) {
        return;
    }
    for domain in domains.values().filter(|domain| domain.steady) {
        let mut loading: BTreeMap<&str, usize> =
            grouped.iter().map(|model| (model.name.as_str(), domain.loads(model))).collect();
        for host in domain.free.iter().filter(|host| host.group.is_none()) {
            if grouped.iter().any(|model| host.held_last(&model.name)) {
                continue;
            }
            let short = grouped.iter().copied().find(|model| {
                let comes = domain.warm(model) + loading[model.name.as_str()];
                domain.lacks(planner, model) > 0 && comes < model.size
            });
            let staged = grouped.iter().copied().find(|model| host.has(&model.name));
            let model = staged.or(short).unwrap_or(largest);
            *loading.entry(&model.name).or_default() += 1;
            plans.push(new_group(model, &[host]));
        }
    }
}

/// Groups that end so that a needier model gets their hosts.
pub(super) struct Yield {
    pub(super) epochs: Vec<u64>,
    pub(super) model: String,
}

/// Groups to be ended, where the domain should hold a larger one instead and has all that this one
/// needs but for their hosts.
pub(super) fn yielding(now: Millis, planner: &Planner) -> Option<Yield> {
    let domains = domains(now, planner);
    let mut models: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    models.sort_by_key(|model| std::cmp::Reverse(model.size));
    let mut still = domains.values().filter(|domain| !domain.moving);
    still.find_map(|domain| {
        let needy = models.iter().find(|model| domain.lacks(planner, model) > 0)?;
        let epochs = givers(planner, domain, needy)?;
        Some(Yield { epochs, model: needy.name.clone() })
    })
}

/// The groups of smaller models, beyond what the domain should hold, whose hosts complete a group.
fn givers(planner: &Planner, domain: &Domain<'_>, needy: &Model) -> Option<Vec<u64>> {
    let mut held = domain.warm(needy);
    let mut given: BTreeMap<&str, usize> = BTreeMap::new();
    let mut epochs = Vec::new();
    for group in planner.groups.values() {
        let members = || group.members.iter().filter_map(|id| planner.hosts.get(id));
        let here = members().all(|host| host.worker.domain == domain.name);
        if held >= needy.size || !here || !matches!(group.phase, Phase::Open { .. }) {
            continue;
        }
        let Some(model) = planner.model(&group.model).filter(|m| m.size < needy.size) else {
            continue;
        };
        let able = members().filter(|host| warmth(host, needy) < Warmth::Cold).count();
        let given = given.entry(&group.model).or_default();
        let quota = quota(planner, domain.name, model);
        if able == 0 || domain.count(model) - *given <= quota {
            continue;
        }
        *given += 1;
        held += able;
        epochs.push(group.epoch);
    }
    (held >= needy.size && !epochs.is_empty()).then_some(epochs)
}
