//! Which free hosts form which new groups.
//!
//! How many groups each model should have follows its part of the work: the model with the fewest
//! hosts for its share comes first, in the domain that has the fewest groups of it. A part of each
//! domain is kept as spares. Spares hold the smallest model, which loads soonest, and keep a larger
//! one staged on their host, so that one spare repairs groups of either. Rejected: spares for each
//! model (while one kind lay idle, groups of the other waited for a load).

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
    name: &'a str,
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
    /// The model for which groups here are being ended.
    kept_for: Option<&'a str>,
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
    /// It holds another model, and this one nowhere: it is kept for the other's groups.
    Taken,
}

fn warmth(planner: &Planner, host: &Host, model: &Model) -> Warmth {
    let mut others = planner.engine.models.iter().filter(|other| other.name != model.name);
    if host.held_last(&model.name) {
        return Warmth::Hot;
    }
    if host.has(&model.name) {
        return Warmth::Staged;
    }
    match others.any(|other| host.has(&other.name)) {
        true => Warmth::Taken,
        false => Warmth::Cold,
    }
}

fn domains(planner: &Planner) -> BTreeMap<&str, Domain<'_>> {
    let mut domains: BTreeMap<&str, Domain<'_>> = BTreeMap::new();
    for host in planner.hosts.values().filter(|host| host.stays()) {
        let domain = domains.entry(&host.worker.domain).or_default();
        domain.name = &host.worker.domain;
        domain.living += 1;
        let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
        match group {
            Some(group) if group.phase == Phase::Spare => domain.free.push(host),
            Some(_) => domain.used += 1,
            None if host.is_free(&planner.ended) => domain.free.push(host),
            None => {}
        }
    }
    for group in planner.groups.values() {
        let Some(model) = &group.yields_to else { continue };
        let head = planner.hosts.get(&group.members[0]);
        let domain = head.and_then(|head| domains.get_mut(head.worker.domain.as_str()));
        if let Some(domain) = domain {
            domain.kept_for = Some(model);
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

/// How many hosts of a domain are kept as spares: a part of the most that it had, less those that
/// it has lost since, for whose groups spares are.
fn reserve(planner: &Planner, domain: &Domain<'_>) -> usize {
    let models = planner.engine.models.iter().filter(|model| model.size > 1).count();
    let most = planner.most_hosts.get(domain.name).copied().unwrap_or(domain.living);
    let spares = models.min((most * planner.config.spare_percent).div_ceil(100));
    spares.saturating_sub(most.saturating_sub(domain.living))
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

/// Hosts of a model, measured by its weight: the least needs hosts the most.
///
/// The weight is the model's share times the root of its size: of larger groups there are fewer, so
/// that the loss of one takes a larger part of what the model can do.
fn per_weight(hosts: usize, model: &Model) -> f64 {
    let weight = model.share.max(SHARE_MIN) * (model.size as f64).sqrt();
    hosts as f64 / weight
}

/// The least share that a model is taken to have.
const SHARE_MIN: f64 = 0.001;

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
            per_weight(hosts, model)
        };
        let Some(model) = open.min_by(|a, b| need(a).total_cmp(&need(b))) else { return };
        let groups_in =
            |domain: &Domain<'_>| domain.groups.get(model.name.as_str()).copied().unwrap_or(0);
        let mut names: Vec<&str> = domains.keys().copied().collect();
        // Spread over domains, so that the loss of one leaves groups of every model.
        names.sort_by_key(|name| {
            let domain = &domains[name];
            (groups_in(domain), std::cmp::Reverse(room(planner, domain)))
        });
        let unsteady = domains.values().any(|domain| !domain.steady);
        if !planner.traffic && unsteady {
            // Hosts are still being listed: a domain that has no room yet will have.
            let fewest = domains.values().map(groups_in).min();
            names.retain(|name| Some(groups_in(&domains[name])) == fewest);
        }
        names.retain(|name| domains[name].kept_for.is_none_or(|kept| kept == model.name));
        // While another model lacks hosts much more, those that only stage this one load that.
        let others = planner.engine.models.iter().filter(|other| other.name != model.name);
        let least = others.map(&need).fold(f64::INFINITY, f64::min);
        let then = need(model) + per_weight(model.size, model);
        let only_hot = planner.traffic && then > least * RICH_RATIO;
        let formed = names.into_iter().find_map(|name| {
            let domain = domains.get_mut(name)?;
            let waiting = waiting_hosts(planner, domain, model) as isize;
            let fits = room(planner, domain) - waiting >= model.size as isize;
            let hosts = take(planner, &mut domain.free, model, fits)?;
            // What holds the model already may always serve it again; more takes room.
            let hot = hosts.iter().all(|host| warmth(planner, host, model) != Warmth::Cold);
            let staged = hosts.iter().any(|host| !host.held_last(&model.name));
            if only_hot && staged {
                domain.free.extend(hosts);
                return None;
            }
            if !fits && !(hot && (has_none(domain, model) || planner.is_busy(model))) {
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
            None if !planner.traffic && unsteady => return,
            None => skipped.push(&model.name),
        }
    }
}

/// How many times the hosts for its share a model may have, against the one that has the fewest,
/// before hosts that only stage it are used for that one.
const RICH_RATIO: f64 = 1.6;

/// Hosts of a domain that are neither used nor to be kept as spares.
fn room(planner: &Planner, domain: &Domain<'_>) -> isize {
    domain.living as isize - domain.used as isize - reserve(planner, domain) as isize
}

/// Hosts of a domain that wait for what their larger model's group lacks.
fn waiting_hosts(planner: &Planner, domain: &Domain<'_>, model: &Model) -> usize {
    let larger = planner.engine.models.iter().filter(|other| other.size > model.size);
    let hot = |other: &Model| domain.free.iter().filter(|h| h.held_last(&other.name)).count();
    larger.map(hot).filter(|count| *count > 1).sum()
}

/// Whether a domain has no group of the model.
fn has_none(domain: &Domain<'_>, model: &Model) -> bool {
    domain.groups.get(model.name.as_str()).copied().unwrap_or(0) == 0
}

/// Hosts that hold nothing become spares.
fn keep_spares(
    planner: &Planner,
    domains: &mut BTreeMap<&str, Domain<'_>>,
    plans: &mut Vec<NewGroup>,
) {
    let grouped: Vec<&Model> = planner.engine.models.iter().filter(|m| m.size > 1).collect();
    let Some(smallest) = grouped.iter().min_by_key(|model| model.size) else { return };
    for domain in domains.values().filter(|domain| domain.steady) {
        let mut spares: BTreeMap<&str, usize> = BTreeMap::new();
        for model in &domain.loading {
            *spares.entry(model).or_default() += 1;
        }
        for host in &domain.free {
            if let Some(model) = grouped.iter().find(|model| host.held_last(&model.name)) {
                *spares.entry(&model.name).or_default() += 1;
            }
        }
        for host in domain.free.iter().filter(|host| host.group.is_none()) {
            let held = grouped.iter().find(|model| host.held_last(&model.name));
            let staged = grouped.iter().find(|model| host.has(&model.name));
            if held.is_some() {
                continue;
            }
            // What is left of a group that lacks hosts waits for this one; otherwise it is a spare.
            let waiting = grouped.iter().find(|model| waits(planner, domain, model));
            let staged = staged.filter(|model| !spares.contains_key(model.name.as_str()));
            let model = waiting.or(staged).unwrap_or(smallest);
            *spares.entry(&model.name).or_default() += 1;
            plans.push(new_group(model, &[host]));
        }
    }
}

/// Whether most of a group of the model lies idle in a domain, and no host there could be staged
/// for it sooner than a new one loads it.
fn waits(planner: &Planner, domain: &Domain<'_>, model: &Model) -> bool {
    let hot = domain.free.iter().filter(|host| host.held_last(&model.name)).count();
    let loading = domain.loading.iter().filter(|name| **name == model.name).count();
    let held = hot + loading;
    held * 2 >= model.size && held < model.size && planner.flexible(domain.name, model) == 0
}

/// A host that should load a model to its memory, beside what it does.
pub(super) struct Staging {
    pub(super) host: WorkerId,
    pub(super) model: String,
}

/// Hosts that should keep another model staged than the one that they hold: the largest one, whose
/// groups are hardest to repair, or, if they hold that, the smallest.
pub(super) fn stage(planner: &Planner) -> Vec<Staging> {
    let grouped = || planner.engine.models.iter().filter(|model| model.size > 1);
    let (Some(largest), Some(smallest)) =
        (grouped().max_by_key(|model| model.size), grouped().min_by_key(|model| model.size))
    else {
        return Vec::new();
    };
    if largest.name == smallest.name {
        return Vec::new();
    }
    let mut staged: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut wanted: Vec<(usize, bool, &Host, &Model)> = Vec::new();
    for host in planner.hosts.values().filter(|host| host.stays()) {
        let holds = grouped().find(|model| host.held_last(&model.name));
        let Some(holds) = holds else { continue };
        let other = if holds.name == largest.name { smallest } else { largest };
        let group = host.group.and_then(|epoch| planner.groups.get(&epoch));
        let settled = group.is_none_or(|g| matches!(g.phase, Phase::Spare | Phase::Open { .. }));
        if host.has(&other.name) || host.is_staging(&other.name) {
            *staged.entry((&host.worker.domain, &other.name)).or_default() += 1;
        } else if settled {
            let serves = group.is_some_and(|group| group.phase != Phase::Spare);
            wanted.push((0, serves, host, other));
        }
    }
    // Hosts that serve nothing first, then one after the other in every domain.
    wanted.sort_by_key(|(_, serves, host, _)| (*serves, host.worker.id.clone()));
    for (count, _, host, other) in &mut wanted {
        let staged = staged.entry((&host.worker.domain, &other.name)).or_default();
        *count = *staged;
        *staged += 1;
    }
    let enough = if planner.traffic { STAGED_IN_TRAFFIC } else { usize::MAX };
    wanted.retain(|(count, ..)| *count < enough);
    wanted
        .sort_by_key(|(count, serves, _, other)| (*serves, std::cmp::Reverse(other.size), *count));
    wanted
        .into_iter()
        .map(|(_, _, host, other)| Staging {
            host: host.worker.id.clone(),
            model: other.name.clone(),
        })
        .collect()
}

/// Hosts of a domain that keep a larger model staged, beyond which none is staged once loads cost.
const STAGED_IN_TRAFFIC: usize = 4;

/// How many hosts for its share a model keeps when it yields, in parts of what the other then has.
const YIELD_RATIO: f64 = 0.8;

/// How much busier, in requests for each slot, a model must be than the one that yields.
const YIELD_LOAD: f64 = 0.1;

/// Groups that end so that a needier model gets their hosts.
pub(super) struct Yield {
    pub(super) epochs: Vec<u64>,
    pub(super) model: String,
}

/// Whether a group is on its way in or out, so that the picture is about to change.
fn is_moving(planner: &Planner) -> bool {
    planner.groups.values().any(|group| match group.phase {
        Phase::Finishing | Phase::Breaking => true,
        Phase::Joining | Phase::Opening => {
            planner.model(&group.model).is_some_and(|model| model.size == group.members.len())
        }
        Phase::Open { .. } | Phase::Spare => false,
    })
}

/// Groups to be ended so that a needier model gets their hosts.
pub(super) fn yielding(planner: &Planner) -> Option<Yield> {
    if is_moving(planner) {
        return None;
    }
    let domains = domains(planner);
    let hosts_of = |model: &Model| -> usize {
        let counts = domains.values().map(|d| d.groups.get(model.name.as_str()).unwrap_or(&0));
        counts.sum::<usize>() * model.size
    };
    let need = |model: &Model, hosts: usize| per_weight(hosts, model);
    let grouped = planner.engine.models.iter().filter(|model| model.size > 1);
    let needy = grouped.min_by(|a, b| need(a, hosts_of(a)).total_cmp(&need(b, hosts_of(b))))?;
    let able = |host: &Host| warmth(planner, host, needy) <= Warmth::Staged;
    let plans = domains.values().filter_map(|domain| {
        let mut held = domain.free.iter().filter(|host| able(host)).count();
        let mut epochs = Vec::new();
        let mut given: BTreeMap<&str, usize> = BTreeMap::new();
        for group in planner.groups.values().filter(|group| group.model != needy.name) {
            let members = || group.members.iter().filter_map(|id| planner.hosts.get(id));
            let here = members().all(|host| host.worker.domain == domain.name);
            if held >= needy.size || !here || !matches!(group.phase, Phase::Open { .. }) {
                continue;
            }
            // Only smaller groups yield: what a large one gives is seldom worth its end.
            let Some(model) = planner.model(&group.model).filter(|m| m.size < needy.size) else {
                continue;
            };
            let given = given.entry(&group.model).or_default();
            let left = hosts_of(model).saturating_sub(*given + model.size);
            // Measured load goes first: a model yields only to one that is busier.
            if hosts_of(needy) > 0 && planner.load(needy) < planner.load(model) + YIELD_LOAD {
                continue;
            }
            // Worth it only if the one that yields is not much the needier of the two afterwards.
            let gained = hosts_of(needy) + needy.size;
            if need(model, left) < need(needy, gained) * YIELD_RATIO {
                continue;
            }
            *given += model.size;
            held += members().filter(|host| able(host)).count();
            epochs.push(group.epoch);
        }
        let enough = held >= needy.size && !epochs.is_empty();
        enough.then(|| Yield { epochs, model: needy.name.clone() })
    });
    plans.min_by_key(|plan| plan.epochs.len())
}
