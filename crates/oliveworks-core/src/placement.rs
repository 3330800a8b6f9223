//! Placement: assigns hosts to replica groups.
//!
//! [`plan`] reads the pool and the fleet and proposes records. The pool and the fleet may be out of
//! date: a proposal that is not valid at its position in the log is ignored by every process.
//!
//! The steps of a plan, in order: free drained groups; drain unwanted groups; form successors for
//! groups with a leaving host or an outdated shape; repair broken groups by priority; form missing
//! groups, first for the partner with the lowest use relative to its share and then by priority.
//!
//! Hosts come from the domain with the most hosts that already hold the weights, then from a domain
//! with room for spares, then from the domain that would be left with the fewest free hosts, which
//! keeps large blocks of free hosts together. Within a domain, hosts that hold the weights are
//! preferred.

mod hosts;
mod partners;
mod preemption;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::id::{DomainId, Epoch, HostId, Name};
use crate::pool::{Group, GroupState, Pool, Published};
use crate::record::{Basis, Body};
use crate::template::SlotId;

/// Options for repairing and packing groups. Measurements compare two baselines with the default:
/// [`PlacementConfig::first_fit`] and [`PlacementConfig::no_spares`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementConfig {
    /// Whether spares are assigned in advance, as many as the template requests.
    pub spares: bool,
    /// Whether a repair replaces only the lost members. If unset, a broken group is freed and
    /// formed again from scratch.
    pub keep_survivors: bool,
    /// Whether the planner picks the domain with the least surplus and prefers hosts that hold the
    /// weights. If unset, the first hosts that fit are used.
    pub best_fit: bool,
    /// Whether a group of lower priority may be preempted to repair or form a group of higher
    /// priority of the same partner.
    pub reclaim: bool,
    /// Maximum number of records in one plan.
    pub batch: usize,
}

impl Default for PlacementConfig {
    fn default() -> PlacementConfig {
        PlacementConfig {
            spares: true,
            keep_survivors: true,
            best_fit: true,
            reclaim: true,
            batch: 64,
        }
    }
}

impl PlacementConfig {
    /// Returns the baseline that uses the first hosts that fit and rebuilds a broken group as a
    /// whole.
    pub fn first_fit() -> PlacementConfig {
        PlacementConfig {
            spares: false,
            keep_survivors: false,
            best_fit: false,
            reclaim: false,
            ..PlacementConfig::default()
        }
    }

    /// Returns the baseline that equals the default except for the missing spares.
    pub fn no_spares() -> PlacementConfig {
        PlacementConfig { spares: false, ..PlacementConfig::default() }
    }
}

/// Shortage of hosts for a replica that has no group, or whose broken group cannot be rebuilt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Slot of the replica.
    pub slot: SlotId,
    /// Number of hosts of a whole group, which are needed free in one domain to form a new one. A
    /// repair in place needs only as many as the broken group lacks.
    pub wants: u16,
    /// Largest number of suitable free hosts in any one domain.
    pub largest: u16,
}

/// Result of one planning pass.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Records to append, in order.
    pub records: Vec<Body>,
    /// Replicas that cannot be formed now.
    pub missing: Vec<Missing>,
}

/// Returns the records that move the pool towards its desired state.
pub fn plan(pool: &Pool, fleet: &Fleet, config: &PlacementConfig) -> Plan {
    let mut draft = Draft::new(pool, fleet, config);
    draft.free_drained();
    draft.drain_unwanted();
    draft.evacuate();
    draft.repair();
    draft.form_missing();
    draft.plan.records.truncate(config.batch);
    draft.plan
}

fn priority(pool: &Pool, slot: &SlotId) -> u8 {
    pool.template(&slot.template).map_or(0, |p| p.template.priority)
}

struct Draft<'a> {
    pool: &'a Pool,
    fleet: &'a Fleet,
    config: &'a PlacementConfig,
    free: BTreeMap<DomainId, BTreeSet<HostId>>,
    /// Groups that this plan already acts on.
    handled: BTreeSet<Epoch>,
    /// Slots for which this plan forms a group.
    filled_slots: BTreeSet<SlotId>,
    plan: Plan,
}

impl<'a> Draft<'a> {
    fn new(pool: &'a Pool, fleet: &'a Fleet, config: &'a PlacementConfig) -> Draft<'a> {
        let mut free: BTreeMap<DomainId, BTreeSet<HostId>> = BTreeMap::new();
        for (host, view) in fleet.hosts() {
            let usable = fleet.is_usable(host) && !pool.drained().contains(&host);
            if usable && pool.group_of(host).is_none() {
                free.entry(view.domain).or_default().insert(host);
            }
        }
        Draft {
            pool,
            fleet,
            config,
            free,
            handled: BTreeSet::new(),
            filled_slots: BTreeSet::new(),
            plan: Plan::default(),
        }
    }

    fn is_lost(&self, group: &Group, host: HostId) -> bool {
        let reported = self.fleet.report_of(group.epoch).is_some_and(|r| r.lost.contains(&host));
        reported || self.fleet.host(host).is_none_or(|v| v.is_lost())
    }

    fn must_leave(&self, host: HostId) -> bool {
        let leaving = self.fleet.host(host).is_some_and(|v| v.is_leaving());
        leaving || self.pool.drained().contains(&host)
    }

    fn live_hosts(&self, group: &Group) -> Vec<HostId> {
        group.ranked.iter().copied().filter(|h| !self.is_lost(group, *h)).collect()
    }

    fn drain(&mut self, epoch: Epoch) {
        if self.handled.insert(epoch) {
            self.plan.records.push(Body::DrainGroup { epoch });
        }
    }

    /// Frees groups that are fully drained, and draining groups that cannot finish because members
    /// are lost.
    fn free_drained(&mut self) {
        for group in self.pool.groups().filter(|g| g.state == GroupState::Draining) {
            let drained = self.fleet.report_of(group.epoch).is_some_and(|r| r.drained);
            if drained || self.live_hosts(group).len() < group.width() {
                self.handled.insert(group.epoch);
                self.plan.records.push(Body::FreeGroup { epoch: group.epoch });
            }
        }
    }

    /// Drains groups of withdrawn templates, groups of replicas that are no longer wanted, and
    /// groups whose successor is serving.
    fn drain_unwanted(&mut self) {
        for group in self.pool.groups().filter(|g| g.state == GroupState::Active) {
            let published = self.pool.template(&group.slot.template);
            let wanted = published.is_some_and(|p| group.slot.index < p.template.replicas);
            let replaced = self.pool.groups_in(&group.slot).any(|g| {
                let serves = self.fleet.report_of(g.epoch).is_some_and(|r| r.serving);
                g.alongside == Some(group.epoch) && serves
            });
            if !wanted || replaced {
                self.drain(group.epoch);
            }
        }
    }

    /// Forms successors for groups with a leaving host and for groups of an outdated shape, where
    /// hosts allow it. A leaving host gets no new work after a few seconds, so its group drains in
    /// any case. A group of an outdated shape continues until its successor is formed, and drains
    /// only if no domain has room for both groups.
    fn evacuate(&mut self) {
        let groups: Vec<&Group> =
            self.pool.groups().filter(|g| g.state == GroupState::Active).collect();
        for group in groups {
            if self.handled.contains(&group.epoch) || self.has_successor(group) {
                continue;
            }
            let Some(published) = self.pool.template(&group.slot.template) else {
                continue;
            };
            let reported = self.fleet.report_of(group.epoch).is_some_and(|r| r.leaving);
            let leaves = reported || group.ranked.iter().any(|h| self.must_leave(*h));
            let outdated = group.shape != published.template.shape();
            if !leaves && !outdated {
                continue;
            }
            let formed = self.form(&group.slot, published, Basis::Alongside(group.epoch));
            if leaves || (!formed && self.lacks_room_for_successor(group)) {
                self.handled.insert(group.epoch);
                self.plan.records.push(Body::DrainGroup { epoch: group.epoch });
            }
        }
    }

    fn has_successor(&self, group: &Group) -> bool {
        self.pool.groups_in(&group.slot).any(|g| g.alongside == Some(group.epoch))
    }

    /// Returns whether no domain has enough live hosts without a group to form a successor beside
    /// the group.
    fn lacks_room_for_successor(&self, group: &Group) -> bool {
        let needed = group.width();
        let mut usable: BTreeMap<DomainId, usize> = BTreeMap::new();
        for (host, view) in self.fleet.hosts() {
            let busy = self.pool.group_of(host).is_some();
            if view.is_usable() && !busy {
                *usable.entry(view.domain).or_default() += 1;
            }
        }
        usable.values().all(|n| *n < needed)
    }

    /// Repairs groups with too few remaining hosts, in descending order of priority.
    fn repair(&mut self) {
        let mut broken: Vec<&Group> = Vec::new();
        for group in self.pool.groups().filter(|g| g.state == GroupState::Active) {
            let is_broken = self.live_hosts(group).len() < group.width();
            if is_broken && !self.handled.contains(&group.epoch) {
                broken.push(group);
            }
        }
        broken.sort_by_key(|g| (std::cmp::Reverse(priority(self.pool, &g.slot)), g.epoch));
        for group in broken {
            let Some(published) = self.pool.template(&group.slot.template) else {
                continue;
            };
            if self.has_successor(group) {
                self.drain(group.epoch);
                continue;
            }
            let replaced = self.config.keep_survivors && self.replace_lost(group, published);
            let rebuilt =
                replaced || self.form(&group.slot, published, Basis::Supersedes(group.epoch));
            if !rebuilt {
                let reclaimed = self.reclaim(&group.slot, Some(group.domain));
                self.record_missing(&group.slot, published);
                if !reclaimed || !self.config.keep_survivors {
                    // Draining releases the survivors for use by other groups.
                    self.drain(group.epoch);
                }
            }
        }
    }

    /// Rebuilds the group from its survivors and free hosts of the same domain.
    fn replace_lost(&mut self, group: &Group, published: &Published) -> bool {
        if group.shape != published.template.shape() {
            return false;
        }
        let stays = |h: &HostId| !self.must_leave(*h) && self.fleet.is_usable(*h);
        let survivors: BTreeSet<HostId> =
            self.live_hosts(group).into_iter().filter(|h| stays(h)).collect();
        let width = group.width();
        let missing_count = width.saturating_sub(survivors.len());
        if missing_count > width / 2 && self.other_domain_has_room(group.domain, width) {
            return false;
        }
        let Some(new_hosts) = self.pick(group.domain, missing_count, published) else {
            return false;
        };
        // Survivors keep their ranks, and therefore their weights. New hosts take the ranks of the
        // lost members.
        let mut new_hosts = new_hosts.into_iter();
        let mut unplaced = survivors.clone();
        let mut hosts = Vec::new();
        for host in &group.ranked[..width] {
            if unplaced.remove(host) {
                hosts.push(Some(*host));
            } else {
                hosts.push(None);
            }
        }
        let mut former_spares = unplaced.into_iter();
        let hosts: Vec<HostId> = hosts
            .into_iter()
            .filter_map(|h| h.or_else(|| former_spares.next()).or_else(|| new_hosts.next()))
            .collect();
        let mut spares: Vec<HostId> = former_spares.collect();
        spares.extend(self.pick_spares(group.domain, published, spares.len()));
        spares.truncate(usize::from(published.template.spares));
        self.push_form(
            &group.slot,
            published,
            group.domain,
            hosts,
            spares,
            Basis::Supersedes(group.epoch),
        );
        true
    }

    fn other_domain_has_room(&self, domain: DomainId, width: usize) -> bool {
        self.free.iter().any(|(d, hosts)| *d != domain && hosts.len() >= width)
    }

    /// Forms a group in the best domain that has room. Returns whether a domain was found.
    fn form(&mut self, slot: &SlotId, published: &Published, basis: Basis) -> bool {
        let width = usize::from(published.template.hosts);
        let Some(domain) = self.choose_domain(published, width) else {
            return false;
        };
        let Some(hosts) = self.pick(domain, width, published) else {
            return false;
        };
        let spares = self.pick_spares(domain, published, 0);
        self.push_form(slot, published, domain, hosts, spares, basis);
        true
    }

    fn push_form(
        &mut self,
        slot: &SlotId,
        published: &Published,
        domain: DomainId,
        hosts: Vec<HostId>,
        spares: Vec<HostId>,
        basis: Basis,
    ) {
        if let Basis::Supersedes(old) | Basis::Alongside(old) = basis {
            self.handled.insert(old);
        }
        self.filled_slots.insert(slot.clone());
        let address = |h: &HostId| self.fleet.host(*h).map(|v| v.address);
        let addresses = hosts.iter().chain(&spares).filter_map(address).collect();
        self.plan.records.push(Body::FormGroup {
            slot: slot.clone(),
            template_at: published.at,
            domain,
            hosts,
            spares,
            addresses,
            basis,
        });
    }

    fn are_all_groups_formed(&self) -> bool {
        self.wanted_slots().iter().all(|(slot, _)| !self.lacks_group(slot))
    }

    fn lacks_group(&self, slot: &SlotId) -> bool {
        let active = |g: &Group| g.state == GroupState::Active && !self.is_drained_by_plan(g.epoch);
        !self.filled_slots.contains(slot) && !self.pool.groups_in(slot).any(active)
    }

    fn is_drained_by_plan(&self, epoch: Epoch) -> bool {
        let drains_epoch = |b: &Body| matches!(b, Body::DrainGroup { epoch: e } if *e == epoch);
        self.handled.contains(&epoch) && self.plan.records.iter().any(drains_epoch)
    }

    fn wanted_slots(&self) -> Vec<(SlotId, &'a Published)> {
        let mut slots = Vec::new();
        for published in self.pool.templates() {
            for index in 0..published.template.replicas {
                slots.push((SlotId { template: published.template.key(), index }, published));
            }
        }
        slots
    }

    /// Forms missing groups, first for the partner with the lowest use relative to its share, then
    /// by priority. Priority never ranks one partner's work above another partner's.
    fn form_missing(&mut self) {
        let mut queues: BTreeMap<Name, Vec<(SlotId, &'a Published)>> = BTreeMap::new();
        for (slot, published) in self.wanted_slots() {
            let without_group = !self.pool.groups_in(&slot).any(|g| g.state == GroupState::Active);
            if without_group && !self.filled_slots.contains(&slot) {
                queues.entry(slot.template.partner.clone()).or_default().push((slot, published));
            }
        }
        for queue in queues.values_mut() {
            // The queue is popped from the end.
            queue.sort_by_key(|(slot, p)| (p.template.priority, std::cmp::Reverse(slot.clone())));
        }
        let mut usage = self.usage();
        while let Some(partner) = self.partner_with_lowest_use(&queues, &usage) {
            if self.plan.records.len() >= self.config.batch {
                return; // The rest is planned after these records were applied.
            }
            let Some((slot, published)) = queues.get_mut(&partner).and_then(Vec::pop) else {
                return;
            };
            if self.form(&slot, published, Basis::Fresh) {
                *usage.entry(partner).or_default() += usize::from(published.template.hosts);
                continue;
            }
            if !self.reclaim(&slot, None) {
                self.preempt_over_share(&slot, &usage);
            }
            self.record_missing(&slot, published);
        }
    }

    fn record_missing(&mut self, slot: &SlotId, published: &Published) {
        let largest = self.free.keys().map(|d| self.suitable(*d, published).len()).max();
        self.plan.missing.push(Missing {
            slot: slot.clone(),
            wants: published.template.hosts,
            largest: largest.unwrap_or(0) as u16,
        });
    }
}
