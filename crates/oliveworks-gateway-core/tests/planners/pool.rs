//! A simulated pool of hosts of several services, and its leader, which follows the configuration.
//! Hosts do not fail here; the tests of the planner simulate that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oliveworks_gateway_core::backend_servers::{
    BackendServer, BackendServerId, Holding, MemberState, Membership,
};
use oliveworks_gateway_core::configuration::{Configuration, Engine, Limits, Model, Service};
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::planner::{
    Command, ModelLoad, Order, Outcome, Planner, PlannerConfig,
};
use oliveworks_gateway_core::planners::{PlannerChange, Planners, Takeover};

pub const TICK_MS: u64 = 20;
/// Time from the request for a host's state to its answer, in ms.
const ANSWER_MS: u64 = 40;
/// Time in which a host joins if it must load the model, and if it has it in memory, in ms.
const LOAD_MS: u64 = 1_600;
const WARM_MS: u64 = 400;
/// Time in which a host joins with the model that it held last, in ms.
const HOT_JOIN_MS: u64 = 200;
/// Loads that may begin each second, at all hosts together.
pub const LOADS_PER_S: f64 = 3.0;
/// Window in which loads are counted, in ms, and what it may hold beyond the rate.
const LOADS_WINDOW_MS: u64 = 5_000;
const LOADS_EXCESS: f64 = 1.1;
const LOADS_EXTRA: f64 = 3.0;
const FORM_MS: u64 = 300;
/// Part of the hosts that the callers' requests fill.
const DEMANDED_PART: f64 = 0.5;
/// Time between two records of a host, in ms.
const LIST_EVERY_MS: u64 = 1_000;

pub fn model(name: &str, size: usize, share: f64) -> Model {
    Model { name: name.into(), size, share, pace: 1.0, load_ms: LOAD_MS, warm_ms: WARM_MS }
}

pub fn engine(models: Vec<Model>) -> Engine {
    Engine {
        models,
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

/// Returns a service with one model.
pub fn service(name: &str) -> Service {
    service_with(name, vec![model("m", 2, 1.0)])
}

pub fn service_with(name: &str, models: Vec<Model>) -> Service {
    let engine = (!models.is_empty()).then(|| engine(models));
    Service { name: name.into(), max_connections: 100, engine, slow_start: None }
}

pub fn configuration(services: &[Service]) -> Configuration {
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let services = services.to_vec();
    Configuration { version: 1, routes: vec![], services, limits, workspaces: None }
}

pub fn listed_host(id: &str, service: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: "z".into(),
        domain: format!("{service}-d0"),
        slots: 34,
        draining: false,
        cold_ms: 0,
        number: None,
        holding: Holding::default(),
    }
}

struct Host {
    server: BackendServer,
    last_model: Option<String>,
    staging: Vec<String>,
    /// Running load to the host's memory: the time at which it ends, and the model.
    staged_at: Option<(u64, String)>,
    group: Option<(Membership, Vec<BackendServerId>, String)>,
    ready_at: u64,
    open_at: Option<u64>,
    fence: u64,
    epoch: u64,
    orders: u64,
}

impl Host {
    fn update(&mut self, now: u64) {
        if let Some((_, model)) = self.staged_at.take_if(|(at, _)| now >= *at) {
            self.staging = vec![model];
        }
        let Some((member, ..)) = &mut self.group else { return };
        if member.state == MemberState::Joining && now >= self.ready_at {
            member.state = MemberState::Ready;
        }
        if member.state == MemberState::Ready && self.open_at.is_some_and(|at| now >= at) {
            member.state = MemberState::Open;
        }
    }

    fn holding(&self) -> Holding {
        Holding {
            models: self.last_model.iter().cloned().collect(),
            staging: self.staging.clone(),
            group: self.group.as_ref().map(|(member, ..)| member.clone()),
            pace: Some(1.0),
            loads: Some(self.staged_at.is_some()),
            orders: Some(self.orders),
            born: None,
        }
    }
}

/// Number of serving groups by service and model.
pub type Serving = BTreeMap<(String, String), usize>;

/// Number of groups that the requests for each model fill, by service and model.
pub type Demand = BTreeMap<(String, String), f64>;

/// The pool and its leader.
pub struct Pool {
    pub now: u64,
    pub configuration: Configuration,
    planners: Planners,
    fence: u64,
    hosts: BTreeMap<BackendServerId, Host>,
    /// Takeovers under way, with the time at which the hosts' answers arrive.
    takeovers: Vec<(u64, Takeover)>,
    /// Ended groups, as the table of the last leader holds them.
    ended: Vec<GroupId>,
    /// Times at which loads from the weight store began.
    loads: Vec<u64>,
    last_join_at: u64,
    pub violations: Vec<String>,
}

/// Reports the load of the callers of each model.
fn report_load(now: u64, service: &str, planner: &mut Planner, demand: &Demand) {
    let mut serving: BTreeMap<String, usize> = BTreeMap::new();
    for group in planner.serving(now) {
        *serving.entry(group.model).or_default() += 1;
    }
    for (model, groups) in serving {
        let wanted = demand.get(&(service.to_owned(), model.clone())).copied().unwrap_or(0.0);
        let load = ModelLoad {
            open_per_slot: (wanted / groups as f64).min(1.0),
            refused_part: (1.0 - groups as f64 / wanted.max(f64::MIN_POSITIVE)).max(0.0),
        };
        planner.record_load(now, &model, load, groups);
    }
}

impl Pool {
    pub fn new(configuration: Configuration) -> Pool {
        let mut pool = Pool {
            now: 0,
            configuration,
            planners: Planners::new(PlannerConfig::default(), 0),
            fence: 0,
            hosts: BTreeMap::new(),
            takeovers: Vec::new(),
            ended: Vec::new(),
            loads: Vec::new(),
            last_join_at: 0,
            violations: Vec::new(),
        };
        pool.change_leader();
        pool
    }

    /// Lists a host.
    pub fn add_host(&mut self, server: BackendServer) {
        self.planners.handle_listed_host(self.now, &server);
        let host = Host {
            server: server.clone(),
            last_model: None,
            staging: vec![],
            staged_at: None,
            group: None,
            ready_at: 0,
            open_at: None,
            fence: 0,
            epoch: 0,
            orders: 0,
        };
        self.hosts.insert(server.id, host);
    }

    /// Loses a host for good.
    pub fn lose_host(&mut self, id: &str) {
        self.hosts.remove(id);
        self.planners.all_mut().for_each(|planner| planner.mark_unlisted(id));
    }

    /// Returns the epochs and members of the groups that the table lists for a service.
    pub fn groups_of(&self, service: &str) -> BTreeMap<u64, Vec<BackendServerId>> {
        let planning = self.planners.planning().filter(|(name, _)| *name == service);
        let groups = planning.flat_map(|(_, planner)| planner.serving(self.now));
        groups.map(|group| (group.epoch, group.members)).collect()
    }

    /// Another gateway begins to lead.
    pub fn change_leader(&mut self) {
        self.fence += 1;
        self.takeovers.clear();
        self.planners.change_term(Some(self.fence));
    }

    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK_MS;
            self.tick();
        }
    }

    /// Lists all hosts with their current state.
    fn list(&mut self) {
        for host in self.hosts.values() {
            let server = BackendServer { holding: host.holding(), ..host.server.clone() };
            self.planners.handle_listed_host(self.now, &server);
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.hosts.values_mut().for_each(|host| host.update(now));
        if now.is_multiple_of(LIST_EVERY_MS) {
            self.list();
        }
        for change in self.planners.follow(now, &self.configuration) {
            if let PlannerChange::TakeOver(takeover) = change {
                self.takeovers.push((now + ANSWER_MS, takeover));
            }
        }
        self.complete_takeovers();
        if !self.planners.has_begun() {
            return;
        }
        let demand = self.demand();
        for (service, planner) in self.planners.planning_mut() {
            planner.set_traffic(true);
            report_load(now, service, planner, &demand);
        }
        for (service, command) in self.planners.tick(now) {
            self.carry_out(&service, command);
        }
        self.ended = self.planners.ended();
    }

    fn complete_takeovers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.takeovers).into_iter().partition(|(at, _)| now >= *at);
        self.takeovers = later;
        for (_, takeover) in due {
            let hosts = self.hosts.values();
            for host in hosts.filter(|host| host.server.service == takeover.service) {
                let Some(planner) = self.planners.taking_over(&takeover) else { break };
                planner.handle_listed_host(now, &host.server);
                planner.handle_report(now, &host.server.id, &host.holding());
            }
            let _ = self.planners.adopt(now, &takeover, &self.ended, None);
        }
    }

    fn carry_out(&mut self, service: &str, command: Command) {
        match command {
            Command::Probe { server, .. } => {
                let Some(host) = self.hosts.get(&server) else { return };
                let holding = host.holding();
                let Some(planner) = self.planners.get_mut(service) else { return };
                planner.handle_report(self.now, &server, &holding);
            }
            Command::Order { server, order, expects, .. } => {
                let outcome = self.order(&server, &order, expects);
                let Some(planner) = self.planners.get_mut(service) else { return };
                planner.handle_order_outcome(self.now, &server, &order, outcome);
            }
        }
    }

    /// Returns the number of groups that the callers of each model fill: a part of those that its
    /// share of the hosts can form.
    pub fn demand(&self) -> Demand {
        let mut demand = Demand::new();
        for service in &self.configuration.services {
            let hosts = self.hosts.values().filter(|host| host.server.service == service.name);
            let filled = hosts.count() as f64 * DEMANDED_PART;
            let models = || service.engine.iter().flat_map(|engine| &engine.models);
            let all: f64 = models().map(|model| model.share).sum();
            for model in models() {
                let groups = filled * model.share / all / model.size as f64;
                demand.insert((service.name.clone(), model.name.clone()), groups);
            }
        }
        demand
    }

    /// Returns the time at which a host last began an order to join.
    pub fn last_join_at(&self) -> u64 {
        self.last_join_at
    }

    /// Whether the head of a host's group serves.
    fn head_serves(&self, id: &BackendServerId) -> Option<u64> {
        let (member, members, _) = self.hosts.get(id)?.group.as_ref()?;
        let (head, ..) = self.hosts.get(&members[0])?.group.as_ref()?;
        let serves = head.epoch == member.epoch && head.state == MemberState::Open;
        serves.then_some(member.epoch)
    }

    fn order(&mut self, id: &BackendServerId, order: &Order, expects: Option<u64>) -> Outcome {
        let (now, fence) = (self.now, self.fence);
        if let Order::Join { epoch, .. } = order
            && let Some(old) = self.head_serves(id).filter(|old| old != epoch)
        {
            self.violations.push(format!("{now}: {id} joins {epoch} while {old} serves"));
        }
        let Some(host) = self.hosts.get_mut(id) else { return Outcome::Unanswered };
        if fence < host.fence {
            return Outcome::Fenced;
        }
        host.fence = fence;
        if expects.is_some_and(|expected| expected != host.orders) {
            return Outcome::Unfit;
        }
        let held = host.group.as_ref().map(|(member, ..)| member.epoch);
        let is_member = |epoch: u64| held == Some(epoch);
        let outcome = match order {
            Order::Join { epoch, .. } if is_member(*epoch) => Outcome::Holds,
            Order::Join { epoch, .. } if *epoch < host.epoch => Outcome::Fenced,
            Order::Join { group, epoch, model, members } => {
                let is_hot = host.last_model.as_deref() == Some(model);
                let is_staged = host.staging.contains(model);
                if !is_hot && !is_staged {
                    self.loads.push(now);
                }
                host.ready_at = now
                    + match (is_hot, is_staged) {
                        (true, _) => HOT_JOIN_MS,
                        (false, true) => WARM_MS,
                        (false, false) => LOAD_MS,
                    };
                let rank = members.iter().position(|member| member == id).unwrap_or(0);
                let state = MemberState::Joining;
                let member = Membership { name: group.clone(), epoch: *epoch, rank, state };
                host.group = Some((member, members.clone(), model.clone()));
                host.last_model = Some(model.clone());
                host.staging = vec![model.clone()];
                host.staged_at = None;
                host.open_at = None;
                host.epoch = *epoch;
                self.last_join_at = now;
                Outcome::Begun
            }
            Order::Open { epoch, .. } if is_member(*epoch) => {
                host.open_at.get_or_insert(now + FORM_MS);
                Outcome::Begun
            }
            Order::Open { .. } => Outcome::Unfit,
            Order::Close { epoch, .. } if is_member(*epoch) => {
                host.open_at = None;
                if let Some((member, ..)) = &mut host.group {
                    member.state = MemberState::Ready;
                }
                Outcome::Begun
            }
            Order::Close { .. } => Outcome::Unfit,
            Order::Leave { epoch, .. } => {
                if is_member(*epoch) {
                    host.group = None;
                    host.open_at = None;
                    host.orders += 1;
                }
                Outcome::Holds
            }
            Order::Stage { model } if host.staging.contains(model) => Outcome::Holds,
            Order::Stage { model } => {
                self.loads.push(now);
                host.staged_at = Some((now + LOAD_MS, model.clone()));
                Outcome::Begun
            }
        };
        host.orders += u64::from(outcome == Outcome::Begun);
        outcome
    }

    /// Returns the number of serving groups by service and model, as the table lists them.
    pub fn serving(&self) -> Serving {
        let mut serving = Serving::new();
        for (service, planner) in self.planners.planning() {
            for group in planner.serving(self.now) {
                *serving.entry((service.to_owned(), group.model)).or_default() += 1;
            }
        }
        serving
    }

    /// Returns the groups that the table lists although their hosts do not serve them.
    pub fn listed_in_vain(&self) -> BTreeSet<u64> {
        let mut groups = BTreeSet::new();
        for (_, planner) in self.planners.planning() {
            for group in planner.serving(self.now) {
                if self.head_serves(&group.members[0]) != Some(group.epoch) {
                    groups.insert(group.epoch);
                }
            }
        }
        groups
    }

    /// Returns the times at which more loads had begun than the weight store allows.
    pub fn loads_above_the_rate(&self) -> Vec<u64> {
        let most = LOADS_PER_S * LOADS_WINDOW_MS as f64 / 1_000.0 * LOADS_EXCESS + LOADS_EXTRA;
        let within = |at: u64| {
            let begun = self.loads.iter();
            begun.filter(|begun| **begun <= at && **begun + LOADS_WINDOW_MS > at).count() as f64
        };
        self.loads.iter().copied().filter(|at| within(*at) > most).collect()
    }
}
