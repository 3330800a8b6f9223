//! Forms the replica groups of a service from its hosts and issues the orders for that.
//!
//! A group is formed in steps. Every member joins under a new epoch. Once every member reports that
//! it is ready under the group's name and epoch, the head is ordered to open. A group that lost a
//! member is ended at its head first: the head is ordered to leave, so that no host joins a new
//! group while the head of its old group may still serve. If the head itself does not answer, every
//! member is ordered to leave before it joins another group. A head that still runs but cannot be
//! reached then makes no progress and breaks up its group by itself.
//!
//! Spares hold a model without serving, so that a repair takes the time of an order and not of a
//! load. Loads are spread over time and stay below the rate of the weight store.
//!
//! | module | decides |
//! |---|---|
//! | `adopt` | which groups of an earlier leader continue |
//! | `restart` | what happens to the group of a host that restarted |
//! | `advance` | the next step of each group |
//! | `allocation`, `shortage` | which free hosts form new groups, and which hosts are reserved |
//! | `early_service` | what free hosts can serve earlier than the groups of their domain's quota |
//! | `spares`, `stage`, `staging_orders` | what other hosts load, and keep in memory |
//! | `preemption` | which groups are preempted for others |
//! | `shares`, `pressure` | the target share of the hosts for each model |
//! | `spread` | over how many failure domains a model's groups are spread |
//! | `loads` | how many loads from the weight store may begin |
//! | `ending` | whether a group that ends has certainly stopped serving |
//! | `arrivals`, `outage` | whether a domain is returning, or stopped answering as a whole |
//! | `drain` | what happens to the hosts of a drained failure domain |
//! | `heads` | which member is the head of a group |
//! | `quotas` | how many groups of each model each domain should hold |
//! | `reports` | what is known about hosts from their records and answers |
//! | `observations` | what is known about hosts from other sources |
//! | `waiting`, `describe` | what is reported to operators |
//!
//! A domain without further qualification is a fabric domain: all members of a group are in the
//! same one. Failure domains are always named as such.

mod adopt;
mod advance;
mod allocation;
mod arrivals;
mod describe;
mod domain;
mod drain;
mod early_service;
mod ending;
mod group;
mod heads;
mod host;
mod loads;
mod observations;
mod order;
mod outage;
mod preemption;
mod pressure;
mod quotas;
mod reports;
mod restart;
mod shares;
mod shortage;
mod spares;
mod spread;
mod stage;
mod staging_orders;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::backend_servers::{BackendServerId, Holding};
use crate::configuration::{Engine, Model};
use crate::quota::{DomainCapacity, Quotas};
use arrivals::ArrivalBurst;
use ending::EndReason;
pub use ending::Ending;
use group::{Group, Phase};
use host::Host;
pub use loads::LoadBudget;
pub use order::{Command, ModelLoad, Order, Outcome, PlannerConfig, ProbeFailure, ServingGroup};
use outage::Outages;
use pressure::Demand;
use shares::ShareAdjuster;
pub use waiting::WaitingHosts;
use waiting::Waits;

/// Number of epochs per fence: epochs of one leader are above `fence * EPOCHS_PER_FENCE`.
const EPOCHS_PER_FENCE: u64 = 1_000_000;
/// Maximum number of ended groups that are reported to other gateways, the newest ones.
const ENDED_REPORTED_MAX: usize = 64;
/// Maximum percentage of all hosts that is excluded for being slow. Slow groups are better than
/// none.
const SLOW_PERCENT_MAX: usize = 30;
/// Time for which the capacities of the domains must have been unchanged before groups are
/// preempted, in ms.
const QUOTAS_STABLE_MS: u64 = 400;
/// Plans the replica groups of one service, on the gateway that leads.
#[derive(Clone, Debug)]
pub struct Planner {
    config: PlannerConfig,
    /// Engine as it is configured.
    configured_engine: Engine,
    /// Engine whose model shares are the current target shares of the hosts.
    engine: Engine,
    /// Recent demand, from which the target shares are computed.
    share_adjuster: ShareAdjuster,
    fence: u64,
    epochs: u64,
    hosts: BTreeMap<BackendServerId, Host>,
    groups: BTreeMap<u64, Group>,
    /// Epochs of groups that have certainly stopped serving. Their members are free.
    ended: BTreeSet<u64>,
    /// Groups that ended and have not been reported yet.
    endings: Vec<Ending>,
    /// Loads that may begin now.
    load_budget: LoadBudget,
    /// Number of loads that hosts of other services run.
    loading_elsewhere: usize,
    /// Largest number of hosts that each domain ever had.
    most_hosts: BTreeMap<String, usize>,
    /// Most recent burst of new hosts in each domain.
    arrival_bursts: BTreeMap<String, ArrivalBurst>,
    /// Hosts of each domain that stopped answering at about the same time.
    outages: Outages,
    /// Free hosts that wait while a model that they could serve refuses requests.
    waits: Waits,
    /// Demand for each model, as the number of groups that its requests would fill.
    demand: BTreeMap<String, Demand>,
    /// Capacity of each domain when the quotas were last computed.
    capacities: BTreeMap<String, DomainCapacity>,
    /// Number of groups of each model that each domain should hold.
    quotas: Quotas,
    /// Quotas of each domain when it last had its largest number of hosts.
    quotas_at_full_strength: Quotas,
    /// Time at which the quotas last changed.
    quotas_changed_at: Millis,
    /// Number of failure domains that may be lost at once.
    tolerance: usize,
    /// Whether requests have been served. From then on loads are slow and limited.
    traffic: bool,
}

impl Planner {
    /// Creates a planner that leads under `fence` and knows no hosts yet.
    pub fn new(config: PlannerConfig, engine: Engine, fence: u64, now: Millis) -> Planner {
        Planner {
            config,
            configured_engine: engine.clone(),
            engine,
            share_adjuster: ShareAdjuster::new(now),
            fence,
            epochs: 0,
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            ended: BTreeSet::new(),
            endings: Vec::new(),
            load_budget: LoadBudget::new(now),
            loading_elsewhere: 0,
            most_hosts: BTreeMap::new(),
            arrival_bursts: BTreeMap::new(),
            outages: Outages::default(),
            waits: Waits::default(),
            demand: BTreeMap::new(),
            capacities: BTreeMap::new(),
            quotas: Quotas::new(),
            quotas_at_full_strength: Quotas::new(),
            quotas_changed_at: now,
            tolerance: 0,
            traffic: true,
        }
    }

    /// Returns the models of the service, with their current target shares.
    pub fn models(&self) -> &[Model] {
        &self.engine.models
    }

    /// Returns the target share of the hosts for each model, from 0 to 1.
    pub fn target_shares(&self) -> BTreeMap<String, f64> {
        let all: f64 = self.engine.models.iter().map(|model| model.share).sum();
        let part = |model: &Model| model.share / all.max(f64::MIN_POSITIVE);
        let parts = self.engine.models.iter().map(|model| (model.name.clone(), part(model)));
        parts.collect()
    }

    /// Returns the last known models and membership of a host.
    pub fn holding(&self, id: &str) -> Option<&Holding> {
        self.hosts.get(id).map(|host| &host.holding)
    }

    /// Returns the number of eligible hosts of a domain that are members of groups of the model
    /// which are being dissolved.
    fn freed_soon(&self, domain: &str, model: &Model) -> usize {
        let groups = self.groups.values().filter(|group| group.model == model.name);
        let ending =
            groups.filter(|group| matches!(group.phase, Phase::Breaking | Phase::Finishing));
        let hosts = ending.flat_map(|group| &group.members).filter_map(|id| self.hosts.get(id));
        hosts.filter(|host| host.is_eligible() && host.server.domain == domain).count()
    }

    /// Sets whether requests have been served.
    pub fn set_traffic(&mut self, traffic: bool) {
        self.traffic = traffic;
    }

    /// Whether a domain has had the same hosts for a while, so that hosts that must load the model
    /// may be assigned.
    fn is_settled(&self, now: Millis, domain: &str) -> bool {
        let burst = self.arrival_bursts.get(domain);
        burst.is_none_or(|burst| burst.is_settled(now, self.config.settle_ms))
    }

    /// Whether a domain with `eligible` eligible hosts is returning from an outage and more of its
    /// hosts are still to be listed.
    fn is_returning(&self, now: Millis, domain: &str, eligible: usize) -> bool {
        let most = self.most_hosts.get(domain).copied().unwrap_or_default();
        eligible < most
            && self.arrival_bursts.get(domain).is_some_and(|burst| burst.is_returning(now))
    }

    /// Returns the fence under which orders are sent.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Applies the engine settings of a newer configuration.
    pub fn set_engine(&mut self, engine: &Engine) {
        if self.configured_engine != *engine {
            self.configured_engine = engine.clone();
            self.engine = engine.clone();
            self.capacities.clear();
        }
    }

    /// Returns the epochs of the groups that hosts report to be members of.
    pub fn reported_epochs(&self) -> BTreeSet<u64> {
        let members = self.hosts.values().filter_map(|host| host.holding.group.as_ref());
        members.map(|member| member.epoch).collect()
    }

    /// Returns the epochs of all groups that this leader manages.
    pub fn epochs(&self) -> impl Iterator<Item = u64> {
        self.groups.keys().copied()
    }

    /// Returns the newest epochs of groups that have certainly ended.
    pub fn ended(&self) -> impl Iterator<Item = u64> {
        self.ended.iter().rev().take(ENDED_REPORTED_MAX).copied()
    }

    /// Adds the epochs of ended groups that an earlier leader recorded.
    pub fn adopt_ended(&mut self, epochs: impl IntoIterator<Item = u64>) {
        self.ended.extend(epochs);
    }

    /// Returns the groups that serve. Groups with a lost, leaving or drained member are left out.
    pub fn serving(&self, now: Millis) -> Vec<ServingGroup> {
        let open = self.groups.values().filter(|group| group.serves(now));
        let whole =
            open.filter(|group| !self.has_unavailable_member(group) && !self.is_drained(group));
        whole
            .map(|group| ServingGroup {
                epoch: group.epoch,
                model: group.model.clone(),
                members: group.members.clone(),
                pace: self.pace(group),
                head_born: self.hosts.get(&group.members[0]).and_then(Host::born),
            })
            .collect()
    }

    /// Whether a member of a group is lost or leaving.
    fn has_unavailable_member(&self, group: &Group) -> bool {
        group.members.iter().any(|id| self.hosts.get(id).is_none_or(|host| !host.is_available()))
    }

    /// Whether a group has slow members and its domain has enough others to replace them. Without
    /// replacements the group continues to serve slowly.
    fn can_replace_slow_members(&self, group: &Group) -> bool {
        let members = group.members.iter().filter_map(|id| self.hosts.get(id));
        let slow: Vec<&Host> = members.filter(|host| host.is_slow()).collect();
        let Some(first) = slow.first() else { return false };
        let here = self.hosts.values().filter(|host| host.server.domain == first.server.domain);
        let able = here.filter(|host| host.is_assignable() && host.has_copy(&group.model));
        let spare =
            able.filter(|host| match host.group.and_then(|epoch| self.groups.get(&epoch)) {
                Some(group) => group.phase == Phase::Spare,
                None => host.is_free(&self.ended),
            });
        spare.count() >= slow.len()
    }

    /// Returns the pace of the slowest member of a group.
    fn pace(&self, group: &Group) -> f64 {
        let members = group.members.iter().filter_map(|id| self.hosts.get(id));
        members.map(Host::pace).fold(1.0, f64::max)
    }

    /// Handles the observation of gateways that a group runs much slower than others.
    pub fn probe_slow_group(&mut self, now: Millis, epoch: u64) {
        let Some(group) = self.groups.get(&epoch) else { return };
        for member in &group.members {
            if let Some(host) = self.hosts.get_mut(member) {
                host.request_slow_probe(now);
            }
        }
    }

    /// Whether one more host may be excluded for being slow.
    fn may_be_slow(&self) -> bool {
        let staying = self.hosts.values().filter(|host| host.is_available());
        let slow = staying.clone().filter(|host| host.is_slow()).count();
        (slow + 1) * 100 <= staying.count() * SLOW_PERCENT_MAX
    }

    /// Advances all groups, forms and preempts groups, and returns the commands to carry out now.
    pub fn tick(&mut self, now: Millis) -> Vec<Command> {
        self.refill_loads(now);
        let mut commands = Vec::new();
        let epochs: Vec<u64> = self.groups.keys().copied().collect();
        for epoch in epochs {
            self.advance(now, epoch, &mut commands);
        }
        self.announce_fence(now, &mut commands);
        self.release_stray_members(now, &mut commands);
        self.remove_unlisted_hosts();
        self.update_most_hosts();
        self.update_quotas(now);
        for group in allocation::allocate(now, self) {
            let epoch = self.create_group(now, group);
            self.advance(now, epoch, &mut commands);
        }
        // A domain that loses its power or network loses one host after the other. Groups in other
        // domains are not preempted for quotas that are computed midway.
        let quotas_stable = now >= self.quotas_changed_at + QUOTAS_STABLE_MS;
        if let Some(plan) = preemption::find_preemption(now, self).filter(|_| quotas_stable) {
            for epoch in plan.epochs {
                self.set_phase(now, epoch, Phase::Finishing);
                if let Some(group) = self.groups.get_mut(&epoch) {
                    group.preempted_for = Some(plan.model.clone());
                }
            }
        }
        self.stage(now, &mut commands);
        self.probe_silent_domains(now);
        self.probe(now, &mut commands);
        commands
    }

    /// Returns the number of epochs that are used up under this leader's fence.
    pub fn used_epochs(&self) -> u64 {
        self.epochs
    }

    /// Sets the number of epochs that are used up under this leader's fence, also by others.
    pub fn set_used_epochs(&mut self, used: u64) {
        self.epochs = self.epochs.max(used);
    }

    /// Creates a new group and returns its epoch.
    fn create_group(&mut self, now: Millis, plan: allocation::NewGroup) -> u64 {
        self.epochs += 1;
        let epoch = self.fence * EPOCHS_PER_FENCE + self.epochs;
        for member in &plan.members {
            let Some(host) = self.hosts.get_mut(member) else { continue };
            host.joined = None;
            // The host was a spare, or a member of a group whose loads are abandoned.
            if let Some(old) = host.group {
                self.dissolve(now, old, EndReason::HostsTaken);
            }
        }
        for member in &plan.members {
            if let Some(host) = self.hosts.get_mut(member) {
                host.group = Some(epoch);
            }
        }
        let phase = Phase::Joining;
        let (model, mut members) = (plan.model, plan.members);
        heads::put_warmest_first(now, self, &mut members);
        let whole = self.model(&model).is_some_and(|model| model.size == members.len());
        let name = group::name(epoch, whole);
        let group = Group {
            epoch,
            name,
            model,
            members,
            phase,
            since: now,
            adopted: false,
            preempted_for: None,
        };
        self.groups.insert(epoch, group);
        epoch
    }

    fn model(&self, name: &str) -> Option<&Model> {
        self.engine.model(name)
    }

    /// Makes this leader's fence known to every host to which an earlier leader may still send
    /// orders. The order changes nothing: it stages a model that the host already has in memory.
    fn announce_fence(&mut self, now: Millis, commands: &mut Vec<Command>) {
        for host in self.hosts.values_mut().filter(|host| !host.knows_fence && host.is_available())
        {
            let Some(model) = host.holding.staging.first().cloned() else { continue };
            if host.may_order(now) {
                commands.push(host.order(now, Order::Stage { model }));
            }
        }
    }

    /// Frees hosts that report membership in a group which this leader does not manage.
    ///
    /// Every member is ordered to leave by itself, whatever happens to its head. The head may still
    /// serve unobserved or open late, but then without this member. Rejected: waiting until the
    /// head has left, because a late join and a late order to open can undo that.
    fn release_stray_members(&mut self, now: Millis, commands: &mut Vec<Command>) {
        for host in self.hosts.values_mut() {
            let Some(member) = host.stray_membership(&self.ended) else { continue };
            if host.may_order(now) {
                let order = Order::Leave { group: member.name, epoch: member.epoch };
                commands.push(host.order(now, order));
            }
        }
    }

    fn remove_unlisted_hosts(&mut self) {
        self.hosts.retain(|_, host| host.group.is_some() || !host.unlisted);
    }

    fn probe(&mut self, now: Millis, commands: &mut Vec<Command>) {
        for host in self.hosts.values_mut() {
            commands.extend(host.probe(now, self.engine.report_lag_ms));
        }
    }

    /// Returns the hosts that belong to more than one group. The result is empty unless the planner
    /// has a fault; tests check that.
    pub fn shared_hosts(&self) -> BTreeSet<BackendServerId> {
        let mut seen = BTreeSet::new();
        let members = self.groups.values().flat_map(|group| &group.members);
        members.filter(|id| !seen.insert((*id).clone())).cloned().collect()
    }
}
