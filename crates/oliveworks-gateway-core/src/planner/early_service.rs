//! Groups that free hosts can form sooner than those of their domain's quota.
//!
//! Motivating case: hosts return under twice the usual traffic and have one model in memory, while
//! the quota of their domain asks for groups of another. A load takes 12 s and more, and longer if
//! many run. A group of the model in memory serves after 2 s. Hosts that can form a whole group of
//! a model that refuses requests therefore form it, whatever the quota, and a join that loads is
//! abandoned for it while most of the load is still ahead. If several groups lack hosts, the one
//! that lacks the fewest gets its loads first, and hosts that wait for it load nothing else.
//! Rejected: quotas first, because thirteen hosts then loaded for 20 s although there were requests
//! for the model that they had in memory.

use std::collections::BTreeMap;

use super::Planner;
use super::domain::{Domain, Warmth, warmth};
use super::group::Phase;
use super::host::Host;
use super::shortage::Shortage;
use crate::Millis;
use crate::configuration::Model;

/// Minimum gain for which a load is abandoned, in ms: the time between the moment at which another
/// group could serve and the end of the load. The loaded part is lost, so the gain has to be a
/// multiple of the 2 s that the change itself takes.
const MIN_GAIN_MS: u64 = 5_000;

/// A host that loads a model for a group that does not serve yet.
#[derive(Clone, Copy)]
pub(super) struct Loader<'a> {
    pub(super) host: &'a Host,
    /// Remaining time of the load, in ms.
    left_ms: u64,
}

/// Returns the hosts of each domain whose loads may be abandoned.
pub(super) fn loaders(now: Millis, planner: &Planner) -> BTreeMap<&str, Vec<Loader<'_>>> {
    let mut found: BTreeMap<&str, Vec<Loader<'_>>> = BTreeMap::new();
    let mut joining = planner.groups.values().filter(|group| group.phase == Phase::Joining);
    if !planner.traffic || joining.next().is_none() {
        return found;
    }
    let at_once = f64::from(planner.engine.loads_at_once.max(1));
    let queue = (planner.loading() as f64 / at_once).max(1.0);
    for group in planner.groups.values().filter(|group| group.phase == Phase::Joining) {
        let Some(model) = planner.model(&group.model) else { continue };
        // An earlier leader may have ordered the head of a whole group to open.
        let may_open = group.adopted && group.members.len() == model.size;
        if may_open || !planner.serves_anywhere(model) {
            continue;
        }
        let load_ms = (model.load_ms as f64 * queue) as u64;
        let hosts = group.members.iter().filter_map(|id| planner.hosts.get(id));
        for host in
            hosts.filter(|host| host.is_assignable() && host.loads_for(group.epoch, &model.name))
        {
            let begun_at = if host.joined == Some(group.epoch) { host.joined_at } else { now };
            let left_ms = (begun_at + load_ms).saturating_sub(now);
            let here = found.entry(&host.server.domain).or_default();
            here.push(Loader { host, left_ms });
        }
    }
    found
}

/// Whether the free hosts of a domain can serve a model that refuses requests before they could
/// serve any model that is below its quota in the domain.
pub(super) fn serves_first(short: &Shortage<'_>, domain: &Domain<'_>, model: &Model) -> bool {
    let planner = short.planner;
    let others = planner.engine.models.iter().filter(|other| other.name != model.name);
    let mut lacking = others.filter(|other| domain.missing_groups(planner, other) > 0);
    planner.traffic
        && short.refuses(model)
        && lacking.all(|other| domain.warm_hosts(other) < other.size)
}

/// Returns hosts that form a group of a model that refuses requests, if some of them abandon their
/// loads of another model.
pub(super) fn hosts_abandoning_loads<'a>(
    short: &Shortage<'a>,
    domain: &Domain<'a>,
    loaders: &[Loader<'a>],
    model: &Model,
) -> Option<Vec<&'a Host>> {
    if !short.refuses(model) {
        return None;
    }
    let warm = |host: &&Host| warmth(host, model) != Warmth::Cold;
    let mut hosts: Vec<&Host> = domain.free.iter().copied().filter(warm).collect();
    hosts.retain(|host| host.is_assignable() && !short.is_reserved(domain, host, model));
    if hosts.len() >= model.size {
        return None;
    }
    let change_ms = model.warm_ms + short.planner.engine.form_ms + MIN_GAIN_MS;
    let worth = loaders.iter().filter(|loader| loader.left_ms > change_ms);
    let able = worth.filter(|loader| loader.host.has_in_memory(&model.name));
    hosts.extend(able.map(|loader| loader.host).take(model.size - hosts.len()));
    (hosts.len() == model.size).then_some(hosts)
}

/// A possible group of a model that refuses requests and of whose hosts more than half are
/// available.
#[derive(Clone, Copy)]
pub(super) struct FormableGroup<'a> {
    pub(super) model: &'a Model,
    /// Number of hosts that must load the model, in addition to those that already do.
    pub(super) missing: usize,
}

impl<'a> FormableGroup<'a> {
    /// Returns the model if a free host that belongs to no group should become a spare of it for
    /// this group: the host has a copy of the model, or the group still lacks a host that loads the
    /// model. In the second case the host counts as one of the missing hosts.
    pub(super) fn model_for(&mut self, host: &Host) -> Option<&'a Model> {
        if host.has_copy(&self.model.name) {
            return Some(self.model);
        }
        let missing = self.missing > 0;
        self.missing = self.missing.saturating_sub(1);
        missing.then_some(self.model)
    }
}

/// Returns the group that the free hosts of a domain can form with the fewest loads.
pub(super) fn formable_group<'a>(
    short: &Shortage<'a>,
    domain: &Domain<'_>,
) -> Option<FormableGroup<'a>> {
    let planner = short.planner;
    if !planner.traffic {
        return None;
    }
    let models = planner.engine.models.iter().filter(|model| model.size > 1);
    let refusing = models.filter(|model| short.refuses(model));
    let candidates = refusing.filter_map(|model| {
        let warm = domain.warm_hosts(model);
        let staging =
            domain.free.iter().filter(|host| host.is_loading_to_memory(&model.name)).count();
        let missing = model.size.saturating_sub(warm + staging + domain.loading_spares(model));
        let most_are_there = warm < model.size && warm * 2 > model.size;
        let enough = domain.free.len() >= warm + staging + missing;
        (most_are_there && enough).then_some(FormableGroup { model, missing })
    });
    candidates.min_by_key(|candidate| candidate.missing)
}
