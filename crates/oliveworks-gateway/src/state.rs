//! What the parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::admission::Admission;
use oliveworks_gateway_core::backend_servers::{
    BackendServer, BackendServerId, Directory, MemberState,
};
use oliveworks_gateway_core::balance::{Balance, Candidate, Target};
use oliveworks_gateway_core::budget::{Budget, BudgetConfig};
use oliveworks_gateway_core::configuration::Lookup;
use oliveworks_gateway_core::demand::Demand;
use oliveworks_gateway_core::election::{Election, ElectionConfig};
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::passing::Passing;
use oliveworks_gateway_core::planner::Planner;
use oliveworks_gateway_core::returning::Waits;
use oliveworks_gateway_core::speed::Speeds;
use oliveworks_runtime::clock::Clock;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::dialect::{Dialect, Record, TOPICS, Topic};
use crate::events::Event;
use crate::missing::Missing;
use crate::relay::STOP_NOTICE_MS;
use crate::settings::Settings;

/// A replica group as the leader publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableGroup {
    /// Its service.
    pub service: String,
    /// Its model.
    pub model: String,
    /// Its epoch.
    pub epoch: u64,
    /// Its members, the head first.
    pub members: Vec<String>,
    /// Where its head listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The failure domain of its head.
    pub failure_domain: String,
    /// How much slower than usual it runs, in hundredths; 100 is usual.
    pub pace_percent: u32,
}

impl TableGroup {
    /// How much slower than usual it runs.
    fn pace(&self) -> f64 {
        f64::from(self.pace_percent.max(100)) / 100.0
    }
}

/// All groups that serve, as the leader published them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The fence of the leader.
    pub fence: u64,
    /// Counts the leader's changes.
    pub number: u64,
    /// The groups.
    pub groups: Vec<TableGroup>,
    /// Epochs of groups that have ended for certain, for the next leader.
    pub ended: Vec<u64>,
    /// The most hosts that each domain of each service had, for the next leader.
    pub most_hosts: BTreeMap<String, BTreeMap<String, usize>>,
}

/// Somewhere that a request can be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The backend server's id.
    pub server: BackendServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// How it is counted.
    pub candidate: Candidate,
    /// The group that it heads.
    pub epoch: Option<u64>,
}

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// When it was last heard, by this gateway or one that told so.
    pub heard_at: Millis,
    /// Whether the store answered it when it was last heard here.
    pub store_answers: bool,
    /// Until when it knew then that the store held nothing newer than it; none if it did not tell.
    pub proved_at: Option<Millis>,
}

/// How long a leader's table is believed without a heartbeat.
const TABLE_MS: u64 = 2_000;
/// What an open request costs the next one at a plain backend server, in ms.
const PLAIN_OPEN_MS: f64 = 5.0;
/// The same at a replica group, beside what its prompt costs.
const GROUP_OPEN_MS: f64 = 1.0;
/// A gap between two ticks after which this process has been asleep.
const ASLEEP_MS: u64 = 150;
/// How lately something must have come from a group for another's suspicion to be put aside.
const JUST_HEARD_MS: u64 = 150;
/// How long a gateway that is not heard still counts for the budget.
const BUDGET_PEER_MS: u64 = 20_000;

/// A gateway's shared state. Belongs to one thread.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// How the platform speaks.
    pub dialect: Rc<dyn Dialect>,
    /// The steady clock.
    pub clock: Clock,
    /// The newest configuration.
    pub lookup: RefCell<Option<Rc<Lookup>>>,
    /// How young it is.
    pub freshness: Cell<Freshness>,
    /// Backend servers that the platform lists.
    pub directory: RefCell<Directory>,
    /// Backend servers that were taken out of the directory, and when: a leader that cannot reach
    /// the store may not know yet.
    pub gone: RefCell<HashMap<BackendServerId, Millis>>,
    /// Whether the directory was read at all.
    pub directory_read: Cell<bool>,
    /// Backend servers that are missing from the list.
    pub missing: RefCell<Missing>,
    /// The last records of each topic, for gateways that ask this one, and who waits for news.
    passing: HashMap<Topic, (RefCell<Passing<Record>>, Notify)>,
    /// Gateways that did not answer a question, and when.
    pub avoided: RefCell<HashMap<SocketAddr, Millis>>,
    /// When this gateway last called the store to follow a topic.
    pub store_tried_at: Cell<Millis>,
    /// When the last call that the store answered to this gateway was sent.
    pub store_proved_at: Cell<Millis>,
    /// When a call to the store last failed, here or at a gateway that was asked.
    pub store_failed_at: Cell<Option<Millis>>,
    /// When the store last answered, this gateway or one that was asked.
    pub store_heard_at: Cell<Millis>,
    /// How busy backend servers are.
    pub balance: RefCell<Balance>,
    /// How long callers of each route still wait.
    pub waits: RefCell<Waits>,
    /// What this gateway took of each group lately.
    pub admission: RefCell<Admission>,
    /// How many requests for models find a place.
    pub demand: RefCell<Demand>,
    /// How fast replica groups run.
    pub speeds: RefCell<Speeds>,
    /// Repeats.
    pub budget: RefCell<Budget>,
    /// Who leads.
    pub election: RefCell<Election>,
    /// The plans of each service, while this gateway leads.
    pub planners: RefCell<BTreeMap<String, Planner>>,
    /// Groups that serve.
    pub table: RefCell<Table>,
    /// When the leader's table was last confirmed.
    pub table_heard_at: Cell<Millis>,
    /// Other gateways by name.
    pub peers: RefCell<BTreeMap<String, Peer>>,
    /// Groups that stand still, to be told to the leader.
    pub suspects: RefCell<HashMap<u64, Millis>>,
    /// Where the leader listens for other gateways.
    pub leader_address: Cell<Option<SocketAddr>>,
    /// When another gateway was last asked for a newer table.
    pub asked_table_at: Cell<Millis>,
    /// Whether the table is to be passed on.
    pub table_is_new: Cell<bool>,
    /// Whether the next heartbeat is not to wait for its time.
    pub beat_is_urgent: Cell<bool>,
    /// Asks for what is to be sent to other gateways to be sent at once.
    pub send_now: Notify,
    /// Asks the leader for a look at its plans.
    pub plan_now: Notify,
    /// Whether this process is stopping.
    pub stopping: watch::Sender<bool>,
    /// When it was told to.
    pub stop_began_at: Cell<Option<Millis>>,
    /// Requests under way.
    pub open_requests: Cell<usize>,
    /// Whether any gateway has had a request.
    pub traffic: Cell<bool>,
    /// Tells this life of this process from others.
    pub life: u64,
    /// Counters, by name.
    pub counters: RefCell<BTreeMap<String, u64>>,
    ticked_at: Cell<Millis>,
    woke_at: Cell<Millis>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>) -> Gateway {
        let clock = Clock::new();
        let now = clock.now().0;
        let life = rand::random::<u64>() >> 1;
        let bounds = &settings.bounds;
        let budget = Budget::new(BudgetConfig {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            window_ms: bounds.repeat_window_ms,
        });
        Gateway {
            dialect,
            lookup: RefCell::new(None),
            freshness: Cell::default(),
            directory: RefCell::default(),
            gone: RefCell::default(),
            directory_read: Cell::new(false),
            missing: RefCell::default(),
            passing: TOPICS.into_iter().map(|topic| (topic, Default::default())).collect(),
            avoided: RefCell::default(),
            store_tried_at: Cell::new(0),
            store_proved_at: Cell::new(0),
            store_failed_at: Cell::new(None),
            store_heard_at: Cell::new(now),
            balance: RefCell::default(),
            waits: RefCell::default(),
            admission: RefCell::new(Admission::new(settings.policy.admission, life)),
            demand: RefCell::default(),
            speeds: RefCell::default(),
            budget: RefCell::new(budget),
            election: RefCell::new(Election::new(ElectionConfig::default(), life, now)),
            planners: RefCell::default(),
            table: RefCell::default(),
            table_heard_at: Cell::new(0),
            peers: RefCell::default(),
            suspects: RefCell::default(),
            leader_address: Cell::new(None),
            asked_table_at: Cell::new(0),
            table_is_new: Cell::new(false),
            beat_is_urgent: Cell::new(false),
            send_now: Notify::new(),
            plan_now: Notify::new(),
            stopping: watch::channel(false).0,
            stop_began_at: Cell::new(None),
            open_requests: Cell::new(0),
            traffic: Cell::new(false),
            life,
            counters: RefCell::default(),
            ticked_at: Cell::new(now),
            woke_at: Cell::new(0),
            clock,
            settings,
        }
    }

    /// The time on the steady clock.
    pub fn now(&self) -> Millis {
        self.clock.now().0
    }

    /// The newest configuration.
    pub fn lookup(&self) -> Option<Rc<Lookup>> {
        self.lookup.borrow().clone()
    }

    /// Notes that this process runs; called every few tens of ms.
    pub fn tick(&self) {
        let now = self.now();
        if now > self.ticked_at.get() + ASLEEP_MS {
            self.woke_at.set(now);
        }
        self.ticked_at.set(now);
    }

    /// Since when this process has run without a pause: silence before that proves nothing.
    pub fn awake_since(&self) -> Millis {
        let now = self.now();
        match now > self.ticked_at.get() + ASLEEP_MS {
            true => now,
            false => self.woke_at.get(),
        }
    }

    /// Counts something.
    pub fn count(&self, what: &str) {
        let mut counters = self.counters.borrow_mut();
        match counters.get_mut(what) {
            Some(count) => *count += 1,
            None => {
                counters.insert(what.to_owned(), 1);
            }
        }
    }

    /// Whether this process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Whether new requests are refused: the platform had time to send its callers elsewhere, and
    /// what is taken now may not be finished. It may send them here all the same, if there is no
    /// other gateway in the failure domain.
    pub fn refuses_new(&self) -> bool {
        self.stop_began_at.get().is_some_and(|at| self.now() >= at + STOP_NOTICE_MS)
    }

    /// Whether it should be sent callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.lookup.borrow().is_some() && self.directory_read.get()
    }

    /// How many gateways share the retry budget.
    pub fn gateways(&self) -> usize {
        let now = self.now();
        let peers = self.peers.borrow();
        1 + peers.values().filter(|peer| now < peer.heard_at + BUDGET_PEER_MS).count()
    }

    /// The newest table that this gateway knows: fence and number.
    pub fn table_version(&self) -> (u64, u64) {
        let table = self.table.borrow();
        (table.fence, table.number)
    }

    /// The store has answered.
    pub fn store_answered(&self) {
        let silent_ms = self.now() - self.store_heard_at.get();
        if self.store_failed_at.get().is_some_and(|at| at > self.store_heard_at.get()) {
            Event::new("store_answers_again").with("after_ms", silent_ms).write();
        }
        self.store_heard_at.set(self.now());
        self.election.borrow_mut().store_answered(self.now());
    }

    /// The last records of a topic.
    pub fn passing(&self, topic: Topic) -> &RefCell<Passing<Record>> {
        &self.passing[&topic].0
    }

    /// Tells whoever waits for news of a topic.
    pub fn news(&self, topic: Topic) -> &Notify {
        &self.passing[&topic].1
    }

    /// The store answered a gateway that was asked.
    pub fn store_heard_elsewhere(&self, at: Millis) {
        self.store_heard_at.set(self.store_heard_at.get().max(at));
    }

    /// A call to the store failed at a gateway that was asked.
    pub fn store_failed_elsewhere(&self, at: Millis) {
        let failed_at = self.store_failed_at.get();
        self.store_failed_at.set(Some(failed_at.map_or(at, |known| known.max(at))));
    }

    /// A call to the store failed.
    pub fn store_failed(&self, what: &str, why: &str) {
        let now = self.now();
        if self.store_failed_at.get().is_none_or(|at| now > at + 1_000) {
            Event::new("store_call_failed")
                .with("call", what)
                .with("why", why)
                .with("last_answer_ms_ago", now - self.store_heard_at.get())
                .write();
        }
        self.store_failed_at.set(Some(now));
        self.election.borrow_mut().store_failed();
    }

    /// Whether the leader's table is young enough to be used. One that never came is not: a process
    /// that has just started goes by the list of backend servers until a leader is heard.
    fn table_is_young(&self) -> bool {
        let came = self.table.borrow().number > 0;
        let leads = self.election.borrow().leads().is_some();
        came && (leads || self.now() < self.table_heard_at.get() + TABLE_MS)
    }

    /// Backend servers that stand alone.
    pub fn plain_places(&self, service: &str) -> Vec<Place> {
        let directory = self.directory.borrow();
        let servers = directory.of_service(service).filter(|server| !server.draining);
        servers.map(|server| self.place(server, None)).collect()
    }

    fn place(&self, server: &BackendServer, epoch: Option<u64>) -> Place {
        let candidate = Candidate {
            target: Target::of(&server.id),
            slots: server.slots,
            near: server.failure_domain == self.settings.failure_domain,
            open_ms: PLAIN_OPEN_MS,
            token_ms: 0.0,
        };
        Place { server: server.id.clone(), address: server.address, candidate, epoch }
    }

    /// Heads of groups that serve a model.
    pub fn group_places(&self, service: &str, model: &str) -> Vec<Place> {
        if self.table_is_young() {
            return self.table_places(service, model);
        }
        let directory = self.directory.borrow();
        let mut places = Vec::new();
        for server in directory.of_service(service) {
            let Some(member) = &server.holding.group else { continue };
            let serves = member.rank == 0 && member.state == MemberState::Open;
            let has = server.holding.models.iter().any(|held| held == model);
            if serves && has && !server.draining {
                places.push(self.place(server, Some(member.epoch)));
            }
        }
        places
    }

    fn table_places(&self, service: &str, model: &str) -> Vec<Place> {
        let directory = self.directory.borrow();
        let lookup = self.lookup();
        let engine = lookup.as_ref().and_then(|l| l.service(service)?.engine.as_ref());
        let token_ms = engine.map_or(0.0, |engine| {
            let pace = engine.model(model).map_or(1.0, |model| model.pace);
            pace / engine.read_per_ms.max(0.001)
        });
        let table = self.table.borrow();
        let groups = table.groups.iter().filter(|g| g.service == service && g.model == model);
        let staying = groups.filter(|group| {
            let gone = self.gone.borrow();
            !group.members.iter().any(|id| {
                let draining = directory.get(id).is_some_and(|server| server.draining);
                draining || gone.contains_key(id.as_str())
            })
        });
        staying
            .map(|group| {
                let head = &group.members[0];
                let candidate = Candidate {
                    target: Target::of(head),
                    // A slow group writes as fast as usual only with fewer requests.
                    slots: (f64::from(group.slots) / group.pace()).ceil() as u32,
                    near: group.failure_domain == self.settings.failure_domain,
                    open_ms: GROUP_OPEN_MS * group.pace(),
                    token_ms: token_ms * group.pace(),
                };
                Place {
                    server: head.as_str().into(),
                    address: group.address,
                    candidate,
                    epoch: Some(group.epoch),
                }
            })
            .collect()
    }

    /// Groups that run much slower than others of their model, as this gateway sees them.
    pub fn slow_groups(&self) -> Vec<u64> {
        let Some(lookup) = self.lookup() else { return Vec::new() };
        let now = self.now();
        let table = self.table.borrow();
        let speeds = self.speeds.borrow();
        let mut slow = Vec::new();
        for service in &lookup.configuration.services {
            let Some(engine) = &service.engine else { continue };
            for model in &engine.models {
                let of_model = |g: &&TableGroup| g.service == service.name && g.model == model.name;
                let groups: Vec<&TableGroup> = table.groups.iter().filter(of_model).collect();
                let targets: Vec<Target> =
                    groups.iter().map(|group| Target::of(&group.members[0])).collect();
                let longest_ms = engine.longest_pass_ms(model).ceil() as u64;
                let found = speeds.slow(now, &targets, longest_ms);
                let is_slow = |group: &&&TableGroup| found.contains(&Target::of(&group.members[0]));
                slow.extend(groups.iter().filter(is_slow).map(|group| group.epoch));
            }
        }
        slow
    }

    /// A gateway sees a group running slowly.
    pub fn runs_slowly(&self, epoch: u64) {
        let now = self.now();
        for planner in self.planners.borrow_mut().values_mut() {
            planner.runs_slowly(now, epoch);
        }
    }

    /// Forgets backend servers that are no longer listed.
    pub fn forget_gone(&self) {
        let directory = self.directory.borrow();
        let listed: HashSet<Target> = directory.iter().map(|w| Target::of(&w.id)).collect();
        self.balance.borrow_mut().retain(|target| listed.contains(&target));
        self.admission.borrow_mut().retain(|target| listed.contains(&target));
        self.speeds.borrow_mut().retain(|target| listed.contains(&target));
    }

    /// A group stands still: others and the leader are told.
    pub fn suspect(&self, epoch: u64) {
        let now = self.now();
        if self.suspects.borrow_mut().insert(epoch, now).is_none() {
            self.beat_is_urgent.set(true);
            self.send_now.notify_one();
        }
        for planner in self.planners.borrow_mut().values_mut() {
            planner.suspected(epoch);
        }
    }

    /// Another gateway sees a group standing still: this one avoids it too, unless it just heard
    /// from there itself.
    pub fn suspected_by_another(&self, epoch: u64) {
        let now = self.now();
        let table = self.table.borrow();
        let head = table.groups.iter().find(|group| group.epoch == epoch);
        if let Some(group) = head {
            let target = Target::of(&group.members[0]);
            let mut balance = self.balance.borrow_mut();
            let silent = balance.last_progress(target).is_none_or(|at| now > at + JUST_HEARD_MS);
            if silent && !balance.suspended(now, target) {
                balance.suspend(now, target);
            }
        }
        drop(table);
        for planner in self.planners.borrow_mut().values_mut() {
            planner.suspected(epoch);
        }
    }
}
