//! Which free hosts form which new groups.
//!
//! How many groups each model should have follows its part of the work: the model with the fewest
//! hosts for its share comes first, in the domain that has the most hosts left. Groups that stand
//! are never taken apart for this. A part of each domain is kept as spares.

use std::collections::BTreeMap;

use super::Planner;
use super::group::Phase;
use super::host::Host;
use crate::Millis;
use crate::configuration::Model;
use crate::workers::WorkerId;

/// A group to be formed.
pub(super) struct NewGroup {
    pub(super) model: String,
    pub(super) members: Vec<WorkerId>,
}

/// A domain's hosts.
#[derive(Default)]
struct Domain<'a> {
    /// Hosts that live.
    living: usize,
    /// Hosts in groups that serve or will.
    used: usize,
    /// Hosts that may join something, among them spares.
    free: Vec<&'a Host>,
    /// Groups by model.
    groups: BTreeMap<&'a str, usize>,
    /// Whether it has had the same hosts for a while.
    steady: bool,
    /// Models that spares load.
    loading: Vec<&'a str>,
}

/// How soon a host can serve a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Warmth {
    /// It held the model last.
    Hot,
    /// Its host keeps the model.
    Staged,
    /// It holds nothing and must load the model.
    Cold,
    /// It holds another model, for whose groups it is kept.
    Taken,
}

fn warmth(planner: &Planner, host: &Host, model: &Model) -> Warmth {
    let others = planner.engine.models.iter().filter(|other| other.name != model.name);
    let holds_other = others.clone().any(|other| host.held_last(&other.name));
    let stages_other = others.clone().any(|other| host.has(&other.name));
    match (host.held_last(&model.name), host.has(&model.name)) {
        (true, _) => Warmth::Hot,
        _ if holds_other => Warmth::Taken,
        (false, true) => Warmth::Staged,
        (false, false) if stages_other => Warmth::Taken,
        (false, false) => Warmth::Cold,
    }
}

fn domains(planner: &Planner) -> BTreeMap<&str, Domain<'_>> {
    let mut domains: BTreeMap<&str, Domain<'_>> = BTreeMap::new();
    for host in planner.hosts.values().filter(|host| host.stays()) {
        let domain = domains.entry(&host.worker.domain).or_default();
        domain.living += 1;
        let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
        match group {
            Some(group) if group.phase == Phase::Spare => domain.free.push(host),
            Some(_) => domain.used += 1,
            None if host.is_free(&planner.ended) => domain.free.push(host),
            None => {}
        }
    }
    for group in planner.groups.values().filter(|group| group.counts()) {
        let size = planner.model(&group.model).map_or(0, |model| model.size);
        let head = planner.hosts.get(&group.members[0]);
        let domain = head.and_then(|head| domains.get_mut(head.worker.domain.as_str()));
        match domain {
            Some(domain) if group.members.len() == size => {
                *domain.groups.entry(&group.model).or_default() += 1;
            }
            Some(domain) => domain.loading.push(&group.model),
            None => {}
        }
    }
    domains
}

/// How many hosts of a domain are kept as spares.
fn reserve(planner: &Planner, domain: &Domain<'_>) -> usize {
    let models = planner.engine.models.iter().filter(|model| model.size > 1).count();
    models.min(domain.living * planner.config.spare_percent / 100)
}

/// Takes the hosts out of `free` that serve the model soonest.
fn take<'a>(
    planner: &Planner,
    free: &mut Vec<&'a Host>,
    model: &Model,
    cold: bool,
) -> Option<Vec<&'a Host>> {
    let mut order: Vec<&Host> = free.clone();
    order.retain(|host| warmth(planner, host, model) != Warmth::Taken);
    order.sort_by_key(|host| warmth(planner, host, model));
    order.truncate(model.size);
    if order.len() < model.size {
        return None;
    }
    let coldest = order.iter().map(|host| warmth(planner, host, model)).max()?;
    let warmest = order.iter().map(|host| warmth(planner, host, model)).min()?;
    // Hosts that hold the model do not wait for one that loads it: that one loads as a spare.
    let waits = coldest == Warmth::Cold && warmest != Warmth::Cold;
    if coldest == Warmth::Cold && (!cold || waits) {
        return None;
    }
    free.retain(|host| !order.iter().any(|taken| taken.worker.id == host.worker.id));
    Some(order)
}

fn new_group(model: &Model, hosts: &[&Host]) -> NewGroup {
    NewGroup {
        model: model.name.clone(),
        members: hosts.iter().map(|host| host.worker.id.clone()).collect(),
    }
}

/// The groups to form now.
pub(super) fn allot(now: Millis, planner: &Planner) -> Vec<NewGroup> {
    let mut domains = domains(planner);
    let mut plans = Vec::new();
    for (name, domain) in &mut domains {
        domain.steady = planner.is_settled(now, name);
    }
    form(planner, &mut domains, &mut plans);
    keep_spares(planner, &mut domains, &mut plans);
    plans
}

fn form<'a>(
    planner: &'a Planner,
    domains: &mut BTreeMap<&str, Domain<'a>>,
    plans: &mut Vec<NewGroup>,
) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for domain in domains.values() {
        for (model, count) in &domain.groups {
            *counts.entry(model).or_default() += count;
        }
    }
    let mut skipped: Vec<&str> = Vec::new();
    loop {
        let open = planner.engine.models.iter().filter(|m| !skipped.contains(&m.name.as_str()));
        let need = |model: &Model| {
            let hosts = counts.get(model.name.as_str()).copied().unwrap_or(0) * model.size;
            hosts as f64 / model.share.max(0.001)
        };
        let Some(model) = open.min_by(|a, b| need(a).total_cmp(&need(b))) else { return };
        let mut names: Vec<&str> = domains.keys().copied().collect();
        names.sort_by_key(|name| {
            let domain = &domains[name];
            let groups = domain.groups.get(model.name.as_str()).copied().unwrap_or(0);
            // Spread over domains, so that the loss of one leaves groups of every model.
            (groups, std::cmp::Reverse(room(planner, domain)))
        });
        let formed = names.into_iter().find_map(|name| {
            let domain = domains.get_mut(name)?;
            let fits = room(planner, domain) >= model.size as isize;
            let hosts = take(planner, &mut domain.free, model, fits)?;
            // What holds the model already may always serve it again; more takes room.
            let hot = hosts.iter().all(|host| warmth(planner, host, model) != Warmth::Cold);
            if !fits && !(hot && has_none(domain, model)) {
                domain.free.extend(hosts);
                return None;
            }
            domain.used += model.size;
            *domain.groups.entry(&model.name).or_default() += 1;
            Some(hosts)
        });
        match formed {
            Some(hosts) => {
                plans.push(new_group(model, &hosts));
                *counts.entry(model.name.as_str()).or_default() += 1;
            }
            // Before traffic the hosts that are listed next may make room for it.
            None if !planner.traffic && domains.values().any(|domain| !domain.steady) => return,
            None => skipped.push(&model.name),
        }
    }
}

/// Hosts of a domain that are neither used nor to be kept as spares.
fn room(planner: &Planner, domain: &Domain<'_>) -> isize {
    domain.living as isize - domain.used as isize - reserve(planner, domain) as isize
}

/// Whether a domain has no group of the model.
fn has_none(domain: &Domain<'_>, model: &Model) -> bool {
    domain.groups.get(model.name.as_str()).copied().unwrap_or(0) == 0
}

/// Hosts that hold no model of use load the one that most lacks spares.
fn keep_spares(
    planner: &Planner,
    domains: &mut BTreeMap<&str, Domain<'_>>,
    plans: &mut Vec<NewGroup>,
) {
    for domain in domains.values().filter(|domain| domain.steady) {
        let mut spares: BTreeMap<&str, usize> = BTreeMap::new();
        let mut cold: Vec<&Host> = Vec::new();
        for host in &domain.free {
            let models = &planner.engine.models;
            let held = models.iter().find(|m| host.held_last(&m.name));
            match held.or_else(|| models.iter().find(|m| host.has(&m.name))) {
                Some(model) => *spares.entry(&model.name).or_default() += 1,
                None => cold.push(host),
            }
        }
        for model in &domain.loading {
            *spares.entry(model).or_default() += 1;
        }
        let staged = domain.free.iter().filter(|host| host.group.is_none());
        for host in staged {
            let mut models = planner.engine.models.iter().filter(|model| model.size > 1);
            // A spare that only has the model on its host joins alone, so that a repair is short.
            let model = models.find(|model| warmth(planner, host, model) == Warmth::Staged);
            plans.extend(model.map(|model| new_group(model, &[host])));
        }
        for host in cold {
            let models = planner.engine.models.iter().filter(|model| model.size > 1);
            let lacking = models.min_by_key(|model| {
                let has = spares.get(model.name.as_str()).copied().unwrap_or(0);
                (urgency(has, model.size), std::cmp::Reverse(model.size))
            });
            let Some(model) = lacking else { return };
            *spares.entry(&model.name).or_default() += 1;
            plans.push(new_group(model, &[host]));
        }
    }
}

/// How urgently a model needs one more spare, 0 the most: what is left of a broken group waits for
/// the hosts that it lacks; then every model should have one spare; then the rest.
fn urgency(spares: usize, size: usize) -> usize {
    match spares {
        0 => 1,
        1 => 2,
        more if more < size => 0,
        _ => 3,
    }
}
