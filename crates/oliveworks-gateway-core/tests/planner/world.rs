//! Simulated pool of hosts that crash, fall silent, lose answers and carry out orders late, with
//! several leaders, some of which do not know that they were replaced. The checked rules are the
//! rules of the engines: a host joins no other group while the head of its own group serves, a
//! group opens only when it is complete, and loads stay below the rate of the weight store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use oliveworks_gateway_core::backend_servers::{
    BackendServer, BackendServerId, Born, Holding, MemberState, Membership,
};
use oliveworks_gateway_core::configuration::{Engine, Model};
use oliveworks_gateway_core::planner::{ModelLoad, Order, Outcome, PlannerConfig, ProbeFailure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use crate::leader::{Leader, record_failed_probe};

pub const TICK_MS: u64 = 20;
pub const FORM_MS: u64 = 300;
/// Time in which a host joins with the model that it held last, in ms.
pub const HOT_JOIN_MS: u64 = 200;
pub const LOADS_PER_S: f64 = 3.0;
/// Time for which a head that is ordered to close works on the requests it has accepted, in ms.
const CLOSING_MS: u64 = 400;
/// Interval between two recorded lists, and the time for which they are kept, in ms.
const LIST_EVERY_MS: u64 = 100;
const LISTS_KEPT_MS: u64 = 8_000;

pub fn engine() -> Engine {
    let model = |name: &str, size, load_ms, warm_ms| Model {
        name: name.into(),
        size,
        share: 0.5,
        pace: 1.0,
        load_ms,
        warm_ms,
    };
    Engine {
        models: vec![model("large", 4, 16_000, 1_600), model("small", 2, 12_000, 1_100)],
        slots: 34,
        memory_tokens: 1_860_000,
        step_ms: 7.8,
        per_sequence_ms: 0.1,
        read_per_ms: 46.0,
        chunk: 2_048,
        stride: 5,
        loads_per_s: LOADS_PER_S,
        loads_at_once: 6,
        form_ms: FORM_MS,
        report_lag_ms: 0,
    }
}

/// Returns an engine for domains of 27 hosts, where a group of the larger model takes 12 hosts and
/// a group of the smaller model 6.
pub fn wide_engine() -> Engine {
    let mut engine = engine();
    engine.models[0].size = 12;
    engine.models[1].size = 6;
    engine.loads_per_s = 6.8;
    engine.loads_at_once = 10;
    engine
}

/// Faults of all hosts of a run, used to verify that the checks can fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostFaults {
    /// Whether hosts accept orders with any fence and any epoch.
    pub ignore_fences: bool,
    /// Whether hosts report that they are ready as soon as they join.
    pub ready_at_once: bool,
}

pub struct SimHost {
    pub server: BackendServer,
    pub alive: bool,
    pub pace: f64,
    /// Time until which the host is cut off: no connection to it can be opened.
    pub silent_until: u64,
    /// Time until which the host accepts connections and answers nothing, although it is sound.
    pub unresponsive_until: u64,
    pub fence: u64,
    pub epoch: u64,
    pub last_model: Option<String>,
    /// Models that the memory of the host keeps.
    pub staging: Vec<String>,
    /// Running load by an order to stage a model: time at which the load ends, and the model.
    pub staged_at: Option<(u64, String)>,
    /// Model that a join loads. It replaces the staged model once the load ends.
    pub join_loads: Option<String>,
    pub group: Option<(Membership, Vec<BackendServerId>, String)>,
    pub ready_at: u64,
    pub open_at: Option<u64>,
    /// Number of orders that the host has begun.
    pub orders: u64,
    /// Time at which the host started, in ms. Identifies its incarnation.
    pub born: u64,
}

impl SimHost {
    /// Returns a host that starts now and holds only the models that its memory keeps.
    fn started(server: BackendServer, staging: Vec<String>, now: u64) -> SimHost {
        SimHost {
            server,
            alive: true,
            pace: 1.0,
            silent_until: 0,
            unresponsive_until: 0,
            fence: 0,
            epoch: 0,
            last_model: None,
            staging,
            staged_at: None,
            join_loads: None,
            group: None,
            ready_at: 0,
            open_at: None,
            orders: 0,
            born: now,
        }
    }
}

pub struct World {
    pub engine: Engine,
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub host_faults: HostFaults,
    pub hosts: BTreeMap<BackendServerId, SimHost>,
    /// Orders that are carried out late: time, fence, host, order, expected number of orders.
    pub late: Vec<(u64, u64, BackendServerId, Order, Option<u64>)>,
    pub late_share: f64,
    pub ready: BTreeSet<(u64, BackendServerId)>,
    pub loads: Vec<u64>,
    pub violations: Vec<String>,
    pub next_host: u32,
    /// Age of the state that hosts report when their answer arrives, in ms.
    pub report_lag_ms: u64,
    /// Past states of all hosts, with the times at which they were recorded.
    reports: VecDeque<(u64, BTreeMap<BackendServerId, Holding>)>,
    /// Age of the list when it is read, in ms.
    pub list_lag_ms: u64,
    /// Past lists, with the times at which they were recorded.
    lists: VecDeque<(u64, Vec<BackendServer>)>,
}

impl World {
    pub fn new(seed: u64, host_faults: HostFaults) -> World {
        World {
            engine: engine(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            host_faults,
            hosts: BTreeMap::new(),
            late: Vec::new(),
            late_share: 0.0,
            ready: BTreeSet::new(),
            loads: Vec::new(),
            violations: Vec::new(),
            next_host: 0,
            report_lag_ms: 0,
            reports: VecDeque::new(),
            list_lag_ms: 0,
            lists: VecDeque::new(),
        }
    }

    pub fn add_host(&mut self, domain: &str) {
        self.next_host += 1;
        let id: BackendServerId = Rc::from(format!("h{}", self.next_host));
        let server = BackendServer {
            id: id.clone(),
            service: "lm".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            failure_domain: domain.into(),
            domain: domain.into(),
            slots: 34,
            draining: false,
            cold_ms: 0,
            number: None,
            holding: Holding::default(),
        };
        let host = SimHost::started(server, vec![], self.now);
        self.hosts.insert(id, host);
    }

    /// Restarts a host under the same id. Only the models in its memory survive.
    pub fn restart(&mut self, id: &BackendServerId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        let server = BackendServer { draining: false, ..host.server.clone() };
        *host = SimHost::started(server, std::mem::take(&mut host.staging), now);
        self.late.retain(|(_, _, host, ..)| host != id);
    }

    /// Whether the head of a group serves, according to the state of the head itself.
    pub fn head_serves(&self, epoch: u64, members: &[BackendServerId]) -> bool {
        let head = self.hosts.get(&members[0]).filter(|head| head.alive);
        let group = head.and_then(|head| head.group.as_ref());
        group.is_some_and(|(member, _, _)| {
            member.epoch == epoch
                && matches!(member.state, MemberState::Open | MemberState::Closing)
        })
    }

    /// Carries out an order on a host, or rejects it.
    pub fn carry_out(
        &mut self,
        fence: u64,
        id: &BackendServerId,
        order: &Order,
        expects: Option<u64>,
    ) -> Outcome {
        let orders = self.hosts.get(id).map(|host| host.orders);
        if self.hosts.get(id).is_some_and(|host| host.alive && fence >= host.fence)
            && expects.is_some_and(|expected| Some(expected) != orders)
        {
            return Outcome::Unfit;
        }
        let outcome = self.carry_out_expected(fence, id, order);
        if outcome == Outcome::Begun
            && let Some(host) = self.hosts.get_mut(id)
        {
            host.orders += 1;
        }
        match order {
            // The order is counted, but completes at once.
            Order::Leave { .. } if outcome == Outcome::Begun => Outcome::Holds,
            _ => outcome,
        }
    }

    fn carry_out_expected(&mut self, fence: u64, id: &BackendServerId, order: &Order) -> Outcome {
        let (now, host_faults) = (self.now, self.host_faults);
        let Some(host) = self.hosts.get(id).filter(|host| host.alive) else {
            return Outcome::Unanswered;
        };
        if !host_faults.ignore_fences && fence < host.fence {
            return Outcome::Fenced;
        }
        if let Order::Join { epoch, .. } = order {
            let held = host.group.as_ref().map(|(member, members, _)| (member.epoch, members));
            if !host_faults.ignore_fences && *epoch < host.epoch {
                return Outcome::Fenced;
            }
            if let Some((old, members)) = held
                && old != *epoch
                && self.head_serves(old, members)
            {
                // TWO: a host must not join a group while the head of its previous group serves.
                self.violations.push(format!("{now}: TWO: {id} joins {epoch} while {old} serves"));
            }
        }
        let engine = self.engine.clone();
        let Some(host) = self.hosts.get_mut(id) else { return Outcome::Unanswered };
        host.fence = host.fence.max(fence);
        match order {
            Order::Join { group, epoch, model, members } => {
                if host.group.as_ref().is_some_and(|(member, _, _)| member.epoch == *epoch) {
                    return Outcome::Holds;
                }
                let figures = engine.model(model).expect("a model of the engine");
                let hot = host.last_model.as_deref() == Some(model);
                let warm = host.staging.contains(model);
                let loads_on = host.join_loads.as_deref() == Some(model);
                let time_ms = match (hot, warm) {
                    _ if loads_on => host.ready_at.saturating_sub(now),
                    (true, _) => HOT_JOIN_MS,
                    (false, true) => figures.warm_ms,
                    (false, false) => figures.load_ms,
                };
                if !hot && !warm {
                    self.loads.push(now);
                    host.staged_at = None;
                }
                // A host keeps one model in memory: the model of its last join, once it is loaded.
                host.join_loads = (loads_on || (!hot && !warm)).then(|| model.clone());
                if host.join_loads.is_none() {
                    host.staging = vec![model.clone()];
                }
                let rank = members.iter().position(|member| member == id).expect("a member");
                host.epoch = *epoch;
                host.last_model = Some(model.clone());
                host.open_at = None;
                host.ready_at = if host_faults.ready_at_once { now } else { now + time_ms };
                let state = MemberState::Joining;
                let member = Membership { name: group.clone(), epoch: *epoch, rank, state };
                host.group = Some((member, members.clone(), model.clone()));
                Outcome::Begun
            }
            Order::Open { epoch, .. } => match &host.group {
                Some((member, _, _)) if member.epoch == *epoch && member.rank == 0 => {
                    match member.state {
                        MemberState::Ready => {
                            host.open_at.get_or_insert(now + FORM_MS);
                            Outcome::Begun
                        }
                        MemberState::Open => Outcome::Holds,
                        _ => Outcome::Unfit,
                    }
                }
                _ => Outcome::Unfit,
            },
            Order::Close { epoch, .. } => match &mut host.group {
                Some((member, _, _)) if member.epoch == *epoch => {
                    // A head that is still forming opens nevertheless, as observed in the
                    // acceptance tests.
                    if member.state == MemberState::Open {
                        member.state = MemberState::Closing;
                        host.ready_at = now + CLOSING_MS;
                    }
                    Outcome::Begun
                }
                _ => Outcome::Unfit,
            },
            Order::Leave { epoch, .. } => {
                if host.group.as_ref().is_some_and(|(member, _, _)| member.epoch == *epoch) {
                    host.group = None;
                    host.open_at = None;
                    return Outcome::Begun;
                }
                Outcome::Holds
            }
            Order::Stage { model } if host.staging.contains(model) => Outcome::Holds,
            Order::Stage { model } => {
                let figures = engine.model(model).expect("a model of the engine");
                self.loads.push(now);
                host.staged_at = Some((now + figures.load_ms, model.clone()));
                Outcome::Begun
            }
        }
    }

    pub fn step(&mut self) {
        if self.now.is_multiple_of(LIST_EVERY_MS) {
            self.lists.push_back((self.now, self.newest_list()));
            let kept_from = self.now.saturating_sub(LISTS_KEPT_MS);
            self.lists.retain(|(at, _)| *at >= kept_from);
        }
        if self.report_lag_ms > 0 {
            let ids: Vec<BackendServerId> = self.hosts.keys().cloned().collect();
            let recorded =
                ids.into_iter().filter_map(|id| Some((id.clone(), self.newest_holding(&id)?)));
            self.reports.push_back((self.now, recorded.collect()));
            let kept_from = self.now.saturating_sub(self.report_lag_ms + TICK_MS);
            self.reports.retain(|(at, _)| *at >= kept_from);
        }
        self.now += TICK_MS;
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, fence, host, order, expects) in due {
            self.carry_out(fence, &host, &order, expects);
        }
        let mut opened = Vec::new();
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.alive) {
            if let Some((_, model)) = host.staged_at.take_if(|(at, _)| *at <= now) {
                host.staging = vec![model];
            }
            let Some((member, members, model)) = &mut host.group else { continue };
            if member.state == MemberState::Closing && now >= host.ready_at {
                member.state = MemberState::Ready;
            }
            if member.state == MemberState::Joining && now >= host.ready_at {
                member.state = MemberState::Ready;
                if let Some(loaded) = host.join_loads.take() {
                    host.staging = vec![loaded];
                }
            }
            if member.state == MemberState::Ready {
                self.ready.insert((member.epoch, id.clone()));
            }
            if host.open_at.take_if(|at| *at <= now).is_some() {
                member.state = MemberState::Open;
                opened.push((member.epoch, members.clone(), model.clone()));
            }
        }
        for (epoch, members, model) in opened {
            let size = self.engine.model(&model).expect("a model").size;
            let never = members.iter().find(|id| !self.ready.contains(&(epoch, (*id).clone())));
            // PARTIAL: a group must not open before all its members have been ready in its epoch.
            if members.len() != size || never.is_some() {
                self.violations.push(format!("{now}: PARTIAL: {epoch} opens without {never:?}"));
            }
        }
    }

    /// Returns the state that a host reports now: an earlier state if its reports lag.
    pub fn holding(&self, id: &BackendServerId) -> Option<Holding> {
        let newest = self.newest_holding(id)?;
        let as_of = self.now.saturating_sub(self.report_lag_ms);
        let recorded = self.reports.iter().rev().find(|(at, _)| *at <= as_of);
        match recorded.and_then(|(_, recorded)| recorded.get(id)) {
            Some(old) if self.report_lag_ms > 0 && old.born == newest.born => Some(old.clone()),
            _ => Some(newest),
        }
    }

    /// Whether a host receives and answers calls now.
    pub fn answers(&self, id: &BackendServerId) -> bool {
        self.hosts.get(id).is_some_and(|host| {
            host.alive && self.now >= host.silent_until && self.now >= host.unresponsive_until
        })
    }

    /// Returns what a probe of a host that does not answer shows.
    pub fn probe_failure(&self, id: &BackendServerId) -> ProbeFailure {
        let host = self.hosts.get(id).filter(|host| host.alive && self.now >= host.silent_until);
        match host {
            Some(_) => ProbeFailure::Unanswered,
            None => ProbeFailure::Unreachable,
        }
    }

    fn newest_holding(&self, id: &BackendServerId) -> Option<Holding> {
        let host = self.hosts.get(id).filter(|_| self.answers(id))?;
        Some(Holding {
            models: host.last_model.iter().cloned().collect(),
            staging: host.staging.clone(),
            group: host.group.as_ref().map(|(member, _, _)| member.clone()),
            pace: Some(host.pace),
            loads: Some(host.staged_at.is_some() || self.now < host.ready_at),
            orders: Some(host.orders),
            born: Some(Born(host.born)),
        })
    }

    /// Returns the list that the store returns now: an earlier list if the store is behind.
    pub fn listed(&self) -> Vec<BackendServer> {
        let as_of = self.now.saturating_sub(self.list_lag_ms);
        match self.lists.iter().rev().find(|(at, _)| *at <= as_of) {
            Some((_, list)) if self.list_lag_ms > 0 => list.clone(),
            _ => self.newest_list(),
        }
    }

    fn newest_list(&self) -> Vec<BackendServer> {
        let alive = self.hosts.values().filter(|host| host.alive);
        let each = alive.map(|host| BackendServer {
            holding: Holding {
                models: host.last_model.iter().cloned().collect(),
                staging: host.staging.clone(),
                group: host.group.as_ref().map(|(member, _, _)| member.clone()),
                pace: None,
                loads: None,
                orders: None,
                born: Some(Born(host.born)),
            },
            ..host.server.clone()
        });
        each.collect()
    }

    pub fn random_host(&mut self) -> Option<BackendServerId> {
        let alive: Vec<BackendServerId> =
            self.hosts.iter().filter(|(_, h)| h.alive).map(|(id, _)| id.clone()).collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())].clone())
    }

    /// Checks the number of loads within any 5 s against the rate, with 10 % and 3 loads of
    /// tolerance. A violation of this ceiling is recorded as `CEILING`.
    pub fn check_loads(&mut self, from: u64) {
        let bound = LOADS_PER_S * 5.0 * 1.1 + 3.0;
        for (index, start) in self.loads.iter().enumerate().filter(|(_, at)| **at >= from) {
            let within = self.loads[index..].iter().filter(|at| **at < start + 5_000).count();
            if within as f64 > bound {
                self.violations.push(format!("{start}: CEILING: {within} loads in 5 s"));
                return;
            }
        }
    }
}

/// Fabric domains of a pool. Each is also a failure domain of the same name.
pub const DOMAINS: [&str; 3] = ["ruwi", "qurum", "seeb"];

/// Number of hosts of a domain with few small groups, and of a domain with many.
pub const FEW: usize = 10;
pub const MANY: usize = 16;

/// Returns a pool that has formed its groups and spares before traffic, with its leader.
pub fn formed(hosts: usize) -> (World, Leader) {
    formed_with(hosts, PlannerConfig::default())
}

/// Like [`formed`], with another planner configuration.
pub fn formed_with(hosts: usize, config: PlannerConfig) -> (World, Leader) {
    formed_of(World::new(1, HostFaults::default()), hosts, config)
}

/// Like [`formed_with`], for a given world.
pub fn formed_of(mut world: World, hosts: usize, config: PlannerConfig) -> (World, Leader) {
    for _ in 0..hosts {
        DOMAINS.iter().for_each(|domain| world.add_host(domain));
    }
    let mut leader = Leader::with_config(&world, 1, vec![], config);
    run_for(&mut world, &mut leader, 90_000, false);
    (world, leader)
}

pub fn run_for(world: &mut World, leader: &mut Leader, time_ms: u64, traffic: bool) {
    let until = world.now + time_ms;
    while world.now < until {
        world.step();
        if world.now.is_multiple_of(1_000) {
            leader.read_list(world);
        }
        leader.tick(world, traffic);
    }
}

/// Kills a member of a group of the model in a domain. Gateways observe that the group has stalled.
pub fn kill_member(world: &mut World, leader: &mut Leader, model: &str, domain: &str) {
    let serving = leader.planner.serving(world.now);
    let mut groups = serving.iter().filter(|group| {
        group.model == model && world.hosts[&group.members[0]].server.domain == domain
    });
    let lost = groups.next().expect("a group").members.last().expect("a member").clone();
    world.hosts.get_mut(&lost).expect("a host").alive = false;
    suspect(world, std::slice::from_mut(leader), &lost);
}

pub fn serving(world: &World, leader: &Leader, model: &str, domain: &str) -> usize {
    let serving = leader.planner.serving(world.now);
    let here = serving.iter().filter(|group| {
        group.model == model && world.hosts[&group.members[0]].server.domain == domain
    });
    here.count()
}

/// Kills the hosts of a domain that belong to no serving group, so that the domain has no spares.
pub fn kill_spares(world: &mut World, leader: &Leader, domain: &str) {
    let serving: Vec<BackendServerId> =
        leader.planner.serving(world.now).into_iter().flat_map(|group| group.members).collect();
    let hosts = world.hosts.iter_mut();
    let spares = hosts.filter(|(id, host)| host.server.domain == domain && !serving.contains(id));
    spares.for_each(|(_, host)| host.alive = false);
}

/// Reports the group of a host as stalled to the leaders, as gateways do.
pub fn suspect(world: &World, leaders: &mut [Leader], id: &BackendServerId) {
    let host = world.hosts.get(id);
    let epoch = host.and_then(|host| host.group.as_ref()).map(|(member, _, _)| member.epoch);
    for leader in leaders {
        epoch.iter().for_each(|epoch| leader.planner.suspect_group(*epoch));
    }
}

/// Time in which a group is repaired by a spare that holds its model, and by a spare that has the
/// model staged, in ms.
pub const HOT_REPAIR_MS: u64 = 1_000;
pub const STAGED_REPAIR_MS: u64 = 3_000;

/// Returns the load of a model: in-flight requests per slot, and fraction of refused requests.
pub fn load(open_per_slot: f64, refused_part: f64) -> ModelLoad {
    ModelLoad { open_per_slot, refused_part }
}

/// Continues the run with constant loads of the models.
pub fn run_under(
    world: &mut World,
    leader: &mut Leader,
    time_ms: u64,
    loads: &[(&str, ModelLoad)],
) {
    let until = world.now + time_ms;
    while world.now < until {
        loads.iter().for_each(|(model, load)| leader.set_load(world, model, *load));
        run_for(world, leader, TICK_MS, true);
    }
}

/// Continues the run with the given demand for each model, as a number of full groups. Serving
/// groups share the demand, and the rest is refused.
pub fn run_with_demand(
    world: &mut World,
    leader: &mut Leader,
    time_ms: u64,
    demand: &[(&str, f64)],
) {
    let until = world.now + time_ms;
    while world.now < until {
        for (model, groups) in demand {
            let serving = serving_everywhere(world, leader, model).max(1) as f64;
            let refused = (1.0 - serving / groups).max(0.0);
            leader.set_load(world, model, load((groups / serving).min(1.0), refused));
        }
        run_for(world, leader, TICK_MS, true);
    }
}

/// Returns the number of groups of a model that serve in all domains.
pub fn serving_everywhere(world: &World, leader: &Leader, model: &str) -> usize {
    let serving = leader.planner.serving(world.now);
    serving.iter().filter(|group| group.model == model).count()
}
