//! Which free hosts form which new groups, and what the others load.
//!
//! How many groups of each model every domain should hold is in [`quota`](crate::quota). A part of
//! each domain is kept as spares. Where there are many small groups, spares hold the largest model:
//! a small group is not missed, and a large one comes back in the time of an order. Where there are
//! few, the first spare of a domain holds the largest model, the others the smallest; they serve in
//! pairs while it is busy, and keep the largest staged. Rejected: one rule for all (spares of the
//! largest cost the pools of 30 hosts 0.14 and 0.2 of their score, spares of the smallest the pools of
//! 54 and 72 hosts 0.03 of worth).

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, Warmth, domains, quota, warmth};
use super::group::Phase;
use super::host::Host;
use super::shortage::Shortage;
use crate::Millis;
use crate::backend_servers::BackendServerId;
use crate::configuration::Model;
use crate::quota::per_weight;

/// A group to be formed.
pub(super) struct NewGroup {
    pub(super) model: String,
    pub(super) members: Vec<BackendServerId>,
}

fn new_group(model: &Model, hosts: &[&Host]) -> NewGroup {
    NewGroup {
        model: model.name.clone(),
        members: hosts.iter().map(|host| host.server.id.clone()).collect(),
    }
}

/// The groups to form now.
pub(super) fn allot(now: Millis, planner: &Planner) -> Vec<NewGroup> {
    let mut domains = domains(now, planner);
    // Hosts are still being listed, in one domain longer than in another.
    let listing = !planner.traffic && domains.values().any(|domain| !domain.steady);
    let mut plans = form(planner, &mut domains, listing);
    if !listing {
        load_spares(planner, &domains, &mut plans);
    }
    plans
}

/// Forms groups up to the quotas, the neediest model first, where there are fewest of it. While hosts
/// are still being listed, what they make room for is not known yet, but for the largest model, whose
/// groups take longest to form.
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

/// The hosts that a model has for its share.
pub(super) fn need(model: &Model, domains: &BTreeMap<&str, Domain<'_>>) -> f64 {
    let groups: usize = domains.values().map(|domain| domain.count(model)).sum();
    per_weight(groups * model.size, model)
}

fn neediest<'a>(open: &[&'a Model], domains: &BTreeMap<&str, Domain<'_>>) -> Option<&'a Model> {
    open.iter().copied().min_by(|a, b| need(a, domains).total_cmp(&need(b, domains)))
}

/// Takes the free hosts of a domain that serve the model soonest, if it should have another group.
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
        // Hosts that would wait for others serve a crowded model meanwhile; they yield when the group
        // that they wait for can be formed.
        Warmth::Staged => {
            lacks || (planner.config.waiting_serve && short.comes_first(domain, model))
        }
        // Hosts that hold the model do not wait for one that loads it: that one loads as a spare.
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
    /// Whether cold hosts may be dealt out: in traffic only once new ones have stopped coming.
    fn steady_or_listing(&self, planner: &Planner) -> bool {
        self.steady || !planner.traffic
    }
}

/// Whether a host holds no model at all.
fn is_unused(planner: &Planner, host: &Host) -> bool {
    !planner.engine.models.iter().any(|model| host.has(&model.name))
}

/// Groups of the smallest model of which one is not missed.
const MANY_GROUPS: usize = 9;

/// The model that spares hold.
fn model_of_spares<'a>(planner: &Planner, grouped: &[&'a Model]) -> Option<&'a Model> {
    let smallest = grouped.iter().copied().min_by_key(|model| model.size)?;
    let wanted = planner.quotas.values().filter_map(|groups| groups.get(&smallest.name));
    match wanted.sum::<usize>() >= MANY_GROUPS {
        true => grouped.iter().copied().max_by_key(|model| model.size),
        false => Some(smallest),
    }
}

/// Free hosts that hold nothing load a model, and those that only keep one staged take it up.
fn load_spares(planner: &Planner, domains: &BTreeMap<&str, Domain<'_>>, plans: &mut Vec<NewGroup>) {
    let grouped: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    let Some(held) = model_of_spares(planner, &grouped) else { return };
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
            let spare = first_spare(planner, domain, &loading, held);
            let model = to_load(planner, domain, &loading, host, spare);
            *loading.entry(&model.name).or_default() += 1;
            plans.push(new_group(model, &[host]));
        }
    }
}

/// The model that a free host without any takes up: one that its domain lacks, if the host keeps that in
/// memory; then the spare that the domain should have, if it keeps that; then whatever is lacking. Only
/// then what it keeps besides: seven of nine hosts that came back were spares of a model that their
/// domain did not lack, for 19 s and more (in the simulated pool).
fn to_load<'a>(
    planner: &'a Planner,
    domain: &Domain<'_>,
    loading: &BTreeMap<&str, usize>,
    host: &Host,
    spare: &'a Model,
) -> &'a Model {
    let grouped = || planner.engine.models.iter().filter(|model| model.size > 1);
    let short = |model: &&Model| {
        let comes = domain.warm(model) + loading.get(model.name.as_str()).copied().unwrap_or(0);
        comes < model.size * domain.lacks(planner, model)
    };
    let kept = |model: &&Model| host.has(&model.name);
    let kept_spare = Some(spare).filter(|model| kept(model) && is_first(domain, loading, model));
    let kept_short = grouped().find(|model| kept(model) && short(model));
    let any_short = || grouped().find(short);
    let any_kept = || grouped().find(kept);
    kept_short.or(kept_spare).or_else(any_short).or_else(any_kept).unwrap_or(spare)
}

/// Whether a domain has no spare of a model, and none that loads it.
fn is_first(domain: &Domain<'_>, loading: &BTreeMap<&str, usize>, model: &Model) -> bool {
    let held = domain.free.iter().any(|host| host.held_last(&model.name));
    let comes = loading.get(model.name.as_str()).is_some_and(|count| *count > 0);
    !held && !comes
}

/// The model that a further spare of a domain loads: the first one holds the largest model, whose
/// groups are missed most and load longest.
fn first_spare<'a>(
    planner: &'a Planner,
    domain: &Domain<'_>,
    loading: &BTreeMap<&str, usize>,
    others: &'a Model,
) -> &'a Model {
    let grouped = planner.engine.models.iter().filter(|model| model.size > 1);
    let Some(largest) = grouped.max_by_key(|model| model.size) else { return others };
    let largest_first = planner.config.first_spare_largest && is_first(domain, loading, largest);
    if largest_first { largest } else { others }
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

/// The groups of smaller models whose hosts complete a group, if the domain keeps as many of them as
/// it should hold: what is left over may form new ones at once.
fn givers(planner: &Planner, domain: &Domain<'_>, needy: &Model) -> Option<Vec<u64>> {
    let smaller = planner.engine.models.iter().filter(|m| m.size > 1 && m.size < needy.size);
    smaller.filter_map(|model| givers_of(planner, domain, needy, model)).next()
}

fn givers_of(
    planner: &Planner,
    domain: &Domain<'_>,
    needy: &Model,
    model: &Model,
) -> Option<Vec<u64>> {
    let mut lacking = needy.size.checked_sub(domain.warm(needy)).filter(|count| *count > 0)?;
    let unused = domain
        .free
        .iter()
        .filter(|host| host.held_last(&model.name) && warmth(host, needy) == Warmth::Cold);
    let mut left_over = unused.count();
    let mut epochs = Vec::new();
    for group in planner.groups.values().filter(|group| group.model == model.name) {
        let members: Vec<&Host> =
            group.members.iter().filter_map(|id| planner.hosts.get(id)).collect();
        let here = members.iter().all(|host| host.server.domain == domain.name);
        let able = members.iter().filter(|host| warmth(host, needy) < Warmth::Cold).count();
        if lacking == 0 || !here || able == 0 || !matches!(group.phase, Phase::Open { .. }) {
            continue;
        }
        let taken = able.min(lacking);
        lacking -= taken;
        left_over += members.len() - taken;
        epochs.push(group.epoch);
    }
    let keeps = domain.count(model) + left_over / model.size.max(1);
    let enough = keeps >= quota(planner, domain.name, model) + epochs.len()
        || planner.is_worth(needy, model, epochs.len());
    (lacking == 0 && enough).then_some(epochs)
}
