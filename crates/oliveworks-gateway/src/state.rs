//! State shared by the modules of a gateway.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::admission::Admission;
use oliveworks_gateway_core::backend_servers::Directory;
use oliveworks_gateway_core::backoff::Backoffs;
use oliveworks_gateway_core::balance::{Balance, Target};
use oliveworks_gateway_core::budget::{Budget, BudgetConfig};
use oliveworks_gateway_core::caller_limits::CallerLimits;
use oliveworks_gateway_core::configuration::{Limits, Lookup};
use oliveworks_gateway_core::crashers::Crashers;
use oliveworks_gateway_core::demand::ModelDemand;
use oliveworks_gateway_core::departures::Departures;
use oliveworks_gateway_core::drains::Drains;
use oliveworks_gateway_core::election::{Election, ElectionConfig};
use oliveworks_gateway_core::era::{Era, StoreEra};
use oliveworks_gateway_core::event_order::Numbering;
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::incarnations::Incarnations;
use oliveworks_gateway_core::introductions::Introductions;
use oliveworks_gateway_core::load_report::ReportIntervals;
use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::missing::Missing;
use oliveworks_gateway_core::planners::Planners;
use oliveworks_gateway_core::rate_limits::RateLimits;
use oliveworks_gateway_core::replay::ReplayBuffer;
use oliveworks_gateway_core::returning::Waits;
use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::speed::Speeds;
use oliveworks_gateway_core::stop::StopTimeline;
use oliveworks_gateway_core::suspensions::Suspensions;
use oliveworks_gateway_core::table::{Assembly, Change, Changes, Table};
use oliveworks_gateway_core::versions::Lag;
use oliveworks_runtime::clock::{Clock, processor_ms};
use oliveworks_runtime::latencies::Latencies;
use tokio::sync::{Notify, Semaphore, watch};

use crate::caller_connections::OpenConnections;
use crate::calls::Calls;
use crate::dialect::{Dialect, Record, TOPICS, Topic};
use crate::events::Event;
use crate::host_statements::Leaving;
use crate::memory_budget::MemoryBudget;
use crate::rate_limits::ToLimiter;
use crate::settings::Settings;
use crate::{members, peer_replay, slow_start};

/// A peer gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of its peer socket.
    pub address: SocketAddr,
    /// Failure domain of the peer.
    pub failure_domain: String,
    /// Time of the last message from the peer, received by this gateway or reported by a third one.
    pub last_seen_at: Millis,
    /// Whether other gateways may rely on the peer to read the store, as of its last heartbeat.
    pub store_answers: bool,
    /// Whether the peer read the store itself, as of its last heartbeat.
    pub reads_store: bool,
    /// Time of the peer's proof that the store held nothing newer; none without a proof.
    pub proved_at: Option<Millis>,
    /// Time of the read of the store that the peer's list of backend servers reflects; none if the
    /// peer has no list.
    pub list_read_at: Option<Millis>,
    /// Newest era of the store known to the peer, as of its last heartbeat.
    pub era: Era,
    /// Time from which the store is complete in that era, according to the peer; none if the peer
    /// knows no era.
    pub store_complete_from: Option<Millis>,
    /// Newest configuration version held by the peer; none if it holds no version or sent no
    /// heartbeat to this gateway.
    pub version: Option<u64>,
    /// Processor capacity of the peer, in percent of a core; none if it is not known.
    pub processor_percent: Option<u32>,
}

/// Gap between two ticks, in ms, after which the process counts as having been paused.
const PAUSE_MIN_MS: u64 = 150;
/// Gap between two ticks, in ms, after which waiting tasks check the clock again. For shorter gaps,
/// repeating their requests would cost more than waiting.
const RESUMED_MS: u64 = 1_000;

/// Time between two reads of the processor time, in ms. A read costs a system call.
const PROCESSOR_READ_INTERVAL_MS: u64 = 250;

/// Largest number of connections of clients that check the readiness or read metrics.
const PLATFORM_CONNECTIONS_MAX: usize = 256;

/// Shared state of a gateway; belongs to one thread.
pub struct Gateway {
    /// Settings of this gateway.
    pub settings: Settings,
    /// Format of the platform's messages.
    pub dialect: Rc<dyn Dialect>,
    /// Clock that also counts the time in which the host was suspended.
    pub clock: Clock,
    /// Newest configuration.
    pub lookup: RefCell<Option<Rc<Lookup>>>,
    /// Failure domains drained by the operators.
    pub drains: RefCell<Drains>,
    /// Age of the proof that the configuration is current.
    pub freshness: Cell<Freshness>,
    /// Backend servers listed by the platform.
    pub directory: RefCell<Directory>,
    /// Time as of which this gateway knows the store's list of backend servers.
    pub list_read_at: Cell<Millis>,
    /// Age of the list of backend servers. Unlike `list_read_at`, a list from another gateway counts
    /// from that gateway's read of the list, not from its last answer of the store.
    pub list_freshness: Cell<Freshness>,
    /// Whether the list of backend servers has been read at least once.
    pub directory_read: Cell<bool>,
    /// Backend servers that are missing from the list or gone. A leader that cannot reach the store
    /// may not know of them yet.
    pub missing: RefCell<Missing>,
    /// Last records of each topic, kept for gateways that read them through this one, and the
    /// notification of tasks that wait for new records.
    replay_buffers: HashMap<Topic, (RefCell<ReplayBuffer<Record>>, Notify)>,
    /// Slots for answers to other gateways with all newest records.
    pub snapshot_slots: Semaphore,
    /// Notifies the reader of the list of backend servers that another gateway knows more of it.
    pub servers_behind: Notify,
    /// Newest departure of a backend server known to any gateway.
    pub departures: Cell<Departures>,
    /// Gateways that were told the others of their failure domain.
    pub introductions: RefCell<Introductions>,
    /// Gateways that did not answer a question, with the time of the failure.
    pub unresponsive_peers: RefCell<HashMap<SocketAddr, Millis>>,
    /// Time of this gateway's last call to the store to follow a topic; before the first call, the
    /// time of its start.
    pub store_called_at: Cell<Millis>,
    /// Whether this gateway chose last to read the store for its failure domain.
    pub is_reader: Cell<bool>,
    /// Latest time as of which the store has answered this gateway.
    pub store_proved_at: Cell<Option<Millis>>,
    /// Time of the last failed call to the store, by this gateway or by a gateway that it asked.
    pub store_failed_at: Cell<Option<Millis>>,
    /// Time of the store's last answer to this gateway or to a gateway that it asked.
    pub store_answered_at: Cell<Millis>,
    /// Era of the store. An era begins when the store is restored from an older copy of its data.
    pub store_era: Cell<StoreEra>,
    /// Time of the last heartbeat received directly from another gateway.
    pub peer_heartbeat_at: Cell<Option<Millis>>,
    /// Newest configuration version that the store is known to hold in its current era.
    pub stored_version: Cell<Option<u64>>,
    /// Duration for which the store has been behind the newest version known to any gateway.
    pub store_lag: Cell<Lag>,
    /// Duration for which this gateway has been behind the newest version known to any gateway.
    pub own_lag: Cell<Lag>,
    /// Load of backend servers.
    pub balance: RefCell<Balance>,
    /// Targets that are stalled or could not be reached.
    pub suspensions: RefCell<Suspensions>,
    /// Requests during which backend servers ended, with their standing (see [`crate::crashers`]).
    pub crashers: RefCell<Crashers>,
    /// Notifies runs that a request was convicted of crashing its backend servers.
    pub convictions: Notify,
    /// Incarnations of backend servers, listed or not.
    pub incarnations: RefCell<Incarnations>,
    /// Backend servers in a backoff that they asked for.
    pub backoffs: RefCell<Backoffs>,
    /// Rate limits named by backend servers, and permits for them.
    pub rate_limits: RefCell<RateLimits>,
    /// Notifies waiting requests that a permit has arrived.
    pub permits_received: Notify,
    /// Outgoing messages to limiters, with their addresses.
    pub to_limiters: RefCell<Vec<(SocketAddr, ToLimiter)>>,
    /// Time of the last log line on the limit of each backend server.
    pub limit_logged_at: RefCell<HashMap<Target, Millis>>,
    /// Names of answer headers that this gateway does not read.
    pub unread_headers: RefCell<HashSet<String>>,
    /// Remaining wait of callers per route, used to recognize callers that retry.
    pub waits: RefCell<Waits>,
    /// Gateways that share the limits on the sends of all gateways together.
    pub members: RefCell<Members>,
    /// Cold backend servers; none if the load on cold backend servers is not limited.
    pub slow_starts: RefCell<Option<SlowStarts>>,
    /// Time of the last log line on a used-up share of a cold backend server.
    pub cold_logged_at: Cell<Millis>,
    /// Requests that this gateway sent to each group in the current window.
    pub admission: RefCell<Admission>,
    /// Demand per model, and the fraction of requests without a place.
    pub demand: RefCell<ModelDemand>,
    /// Speeds of replica groups.
    pub speeds: RefCell<Speeds>,
    /// How the ids of each service's streams rise, according to the last complete ones.
    pub numberings: RefCell<HashMap<String, Numbering>>,
    /// Budget of repeated sends.
    pub budget: RefCell<Budget>,
    /// Slots for the gateway's own calls to backend servers.
    pub calls: Calls,
    /// State of the leader election.
    pub election: RefCell<Election>,
    /// Planners of the services, while this gateway leads.
    pub planners: RefCell<Planners>,
    /// Serving groups.
    pub table: RefCell<Table>,
    /// Time of the last confirmation of the leader's table.
    pub table_confirmed_at: Cell<Millis>,
    /// Other gateways by name.
    pub peers: RefCell<BTreeMap<String, Peer>>,
    /// Stalled groups to report to the leader, with the time of detection. Suspect requests are in
    /// `crashers`.
    pub suspects: RefCell<HashMap<GroupId, Millis>>,
    /// Backend servers to report as leaving, with the time at which this gateway learned of it.
    pub leaving_reports: RefCell<Vec<(Millis, Leaving)>>,
    /// Peer address of the leader.
    pub leader_address: Cell<Option<SocketAddr>>,
    /// Earliest time at which another gateway may be asked for a newer table.
    pub ask_table_at: Cell<Millis>,
    /// Last changes of the table, kept for gateways that missed some of them.
    pub changes: RefCell<Changes>,
    /// Changes of the table to forward.
    pub changes_to_forward: RefCell<Vec<Change>>,
    /// Received parts of a newer table.
    pub table_parts: RefCell<Assembly>,
    /// Time of the last report, to each remote failure domain, of the requests that this failure
    /// domain has outstanding at targets outside the remote one.
    pub elsewhere_reports: RefCell<ReportIntervals>,
    /// Whether the next heartbeat is sent at once.
    pub heartbeat_is_urgent: Cell<bool>,
    /// Requests that pending messages to other gateways be sent at once.
    pub send_now: Notify,
    /// Requests a planning round of the leader.
    pub plan_now: Notify,
    /// Whether this process is stopping.
    pub stopping: watch::Sender<bool>,
    /// Timeline of the stop, once it has begun.
    pub stop: Cell<Option<StopTimeline>>,
    /// Memory for the bodies of requests.
    pub body_memory: Rc<MemoryBudget>,
    /// Memory for the heads of requests with many fields, and for prompts with many parts.
    pub head_memory: Rc<MemoryBudget>,
    /// Memory for answers that are delivered as a whole.
    pub answer_memory: Rc<MemoryBudget>,
    /// Limits on what callers may send.
    pub caller_limits: RefCell<CallerLimits>,
    /// Number of requests in flight.
    pub requests_in_flight: Cell<usize>,
    /// The connections that callers have open.
    pub caller_connections: OpenConnections,
    /// The connections of clients that check the readiness of this process or read its metrics.
    pub platform_connections: OpenConnections,
    /// Whether any gateway has received a request.
    pub traffic: Cell<bool>,
    /// Incarnation of this process, a random number.
    pub incarnation: u64,
    /// Counters by name.
    pub counters: RefCell<BTreeMap<String, u64>>,
    /// Latencies by kind.
    pub latencies: RefCell<Latencies>,
    /// Notifies waiting tasks that the process continues after a pause.
    pub resumed: Notify,
    ticked_at: Cell<Millis>,
    /// Time of the last read of the processor time.
    processor_read_at: Cell<Millis>,
    /// Processor time that the process had taken by then, in ms.
    processor_ms: Cell<u64>,
    resumed_at: Cell<Millis>,
}

impl Gateway {
    /// Creates the state of a gateway that has not learned anything yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Gateway {
        let now = clock.now().0;
        let incarnation = rand::random::<u64>() >> 1;
        let bounds = &settings.bounds;
        let budget_config = BudgetConfig {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            window_ms: bounds.repeat_window_ms(),
        };
        let budget = Budget::new(budget_config, now);
        let planner_config = settings.policy.planner.clone();
        let planners = Planners::new(planner_config, settings.tolerance.failure_domains);
        Gateway {
            dialect,
            lookup: RefCell::new(None),
            drains: RefCell::default(),
            freshness: Cell::default(),
            directory: RefCell::default(),
            list_read_at: Cell::new(0),
            list_freshness: Cell::default(),
            directory_read: Cell::new(false),
            missing: RefCell::default(),
            replay_buffers: TOPICS.into_iter().map(|topic| (topic, Default::default())).collect(),
            snapshot_slots: peer_replay::snapshot_slots(),
            servers_behind: Notify::new(),
            departures: Cell::default(),
            introductions: RefCell::default(),
            unresponsive_peers: RefCell::default(),
            store_called_at: Cell::new(now),
            is_reader: Cell::new(false),
            store_proved_at: Cell::new(None),
            store_failed_at: Cell::new(None),
            store_answered_at: Cell::new(now),
            store_era: Cell::default(),
            peer_heartbeat_at: Cell::new(None),
            stored_version: Cell::new(None),
            store_lag: Cell::default(),
            own_lag: Cell::default(),
            balance: RefCell::default(),
            suspensions: RefCell::default(),
            crashers: RefCell::default(),
            convictions: Notify::new(),
            incarnations: RefCell::default(),
            backoffs: RefCell::default(),
            rate_limits: RefCell::default(),
            permits_received: Notify::new(),
            to_limiters: RefCell::default(),
            limit_logged_at: RefCell::default(),
            unread_headers: RefCell::default(),
            waits: RefCell::default(),
            members: RefCell::new(members::members(&settings, now)),
            slow_starts: RefCell::new(slow_start::slow_starts(&settings, now)),
            cold_logged_at: Cell::new(0),
            admission: RefCell::new(Admission::new(settings.policy.admission, incarnation)),
            demand: RefCell::default(),
            speeds: RefCell::default(),
            numberings: RefCell::default(),
            budget: RefCell::new(budget),
            calls: Calls::default(),
            election: RefCell::new(Election::new(ElectionConfig::default(), incarnation, now)),
            planners: RefCell::new(planners),
            table: RefCell::default(),
            table_confirmed_at: Cell::new(0),
            peers: RefCell::default(),
            suspects: RefCell::default(),
            leaving_reports: RefCell::default(),
            leader_address: Cell::new(None),
            ask_table_at: Cell::new(0),
            changes: RefCell::default(),
            changes_to_forward: RefCell::default(),
            table_parts: RefCell::default(),
            elsewhere_reports: RefCell::default(),
            // The first heartbeat makes this gateway known to the seeds.
            heartbeat_is_urgent: Cell::new(true),
            send_now: Notify::new(),
            plan_now: Notify::new(),
            stopping: watch::channel(false).0,
            stop: Cell::new(None),
            body_memory: MemoryBudget::new(settings.bodies_max()),
            head_memory: MemoryBudget::new(settings.heads_max()),
            answer_memory: MemoryBudget::new(settings.answers_max()),
            caller_limits: RefCell::default(),
            requests_in_flight: Cell::new(0),
            caller_connections: OpenConnections::new(settings.connections_max()),
            platform_connections: OpenConnections::new(PLATFORM_CONNECTIONS_MAX),
            traffic: Cell::new(false),
            incarnation,
            counters: RefCell::default(),
            latencies: RefCell::default(),
            resumed: Notify::new(),
            ticked_at: Cell::new(now),
            processor_read_at: Cell::new(now),
            processor_ms: Cell::new(0),
            resumed_at: Cell::new(0),
            clock,
            settings,
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Millis {
        self.clock.now().0
    }

    /// Returns the most that callers may use; `None` before the first configuration.
    pub fn limits(&self) -> Option<Limits> {
        self.caller_limits.borrow().at(self.now())
    }

    /// Returns the age of this gateway's proof that the store holds nothing newer, in ms; none
    /// without a proof.
    pub fn proof_age_ms(&self) -> Option<u64> {
        self.freshness.get().age_ms(self.now())
    }

    /// Returns whether the proof that the configuration is current is recent enough to honour keys.
    pub fn honours_keys(&self) -> bool {
        self.freshness.get().accepts_keys(self.now(), self.settings.bounds.revoke_ms)
    }

    /// Returns the newest configuration.
    pub fn lookup(&self) -> Option<Rc<Lookup>> {
        self.lookup.borrow().clone()
    }

    /// Records that the process is running, how long after the tick before, and now and then the
    /// processor time that it has taken; called every few tens of ms by one task.
    pub fn tick_with_processor_time(&self) {
        let now = self.now();
        self.note_latency("tick_interval", now.saturating_sub(self.ticked_at.get()));
        self.tick();
        if now >= self.processor_read_at.get() + PROCESSOR_READ_INTERVAL_MS {
            self.processor_read_at.set(now);
            self.processor_ms.set(processor_ms());
        }
    }

    /// Records that the process is running.
    pub fn tick(&self) {
        let now = self.now();
        if now > self.ticked_at.get() + PAUSE_MIN_MS {
            let paused_ms = now - self.ticked_at.get();
            self.resumed_at.set(now);
            self.members.borrow_mut().record_pause(now, paused_ms);
            if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
                slow_starts.record_pause(now, paused_ms);
            }
            self.notify_resumed(paused_ms);
        }
        self.ticked_at.set(now);
    }

    /// Notifies waiting tasks that the process continues after a pause, caused by a suspended host
    /// or by the process being stopped or not scheduled.
    fn notify_resumed(&self, paused_ms: u64) {
        if paused_ms < RESUMED_MS {
            return;
        }
        self.count("pauses");
        let busy_ms = processor_ms().saturating_sub(self.processor_ms.get());
        Event::new("goes_on").with("after_ms", paused_ms).with("busy_ms", busy_ms).write();
        self.resumed.notify_waiters();
    }

    /// Returns the time since which the process has run without a pause. Silence of others before
    /// this time proves nothing.
    pub fn awake_since(&self) -> Millis {
        let now = self.now();
        match now > self.ticked_at.get() + PAUSE_MIN_MS {
            true => now,
            false => self.resumed_at.get(),
        }
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        self.count_by(name, 1);
    }

    /// Adds an amount, such as a number of bytes, to a counter.
    pub fn count_by(&self, name: &str, amount: u64) {
        let mut counters = self.counters.borrow_mut();
        match counters.get_mut(name) {
            Some(count) => *count += amount,
            None => {
                counters.insert(name.to_owned(), amount);
            }
        }
    }

    /// Records a latency in ms.
    pub fn note_latency(&self, kind: &'static str, ms: u64) {
        self.latencies.borrow_mut().note(kind, ms.saturating_mul(1_000));
    }

    /// Requests that a heartbeat be sent at once.
    pub fn send_heartbeat_now(&self) {
        self.heartbeat_is_urgent.set(true);
        self.send_now.notify_one();
    }

    /// Begins the stop of the process, and returns its timeline.
    pub fn begin_stop(&self) -> StopTimeline {
        let stop = StopTimeline::new(self.now(), self.settings.bounds.grace_ms());
        self.stop.set(Some(stop));
        self.stopping.send_replace(true);
        self.send_heartbeat_now();
        stop
    }

    /// Returns the time until which an answer is awaited whose request expires at `expires_at`.
    pub fn awaits_answer_until(&self, expires_at: Millis) -> Millis {
        self.stop.get().map_or(expires_at, |stop| stop.awaits_answer_until(expires_at))
    }

    /// Returns the time until which a request is sent that expires at `expires_at`.
    pub fn sends_until(&self, expires_at: Millis) -> Millis {
        self.stop.get().map_or(expires_at, |stop| expires_at.min(stop.sends_until))
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether new requests are rejected. A request accepted now might not finish, and it
    /// may still arrive, since the failure domain may have no other gateway.
    pub fn rejects_new(&self) -> bool {
        self.stop.get().is_some_and(|stop| !stop.accepts(self.now()))
    }

    /// Returns whether callers should be sent to this gateway.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.lookup.borrow().is_some() && self.directory_read.get()
    }

    /// Returns the fence and number of the newest table known to this gateway.
    pub fn table_version(&self) -> (u64, u64) {
        let table = self.table.borrow();
        (table.fence, table.number)
    }

    /// Records an answer of the store.
    pub fn store_answered(&self) {
        let silent_ms = self.now() - self.store_answered_at.get();
        if self.store_failed_at.get().is_some_and(|at| at > self.store_answered_at.get()) {
            Event::new("store_answers_again").with("after_ms", silent_ms).write();
        }
        self.store_answered_at.set(self.now());
        self.election.borrow_mut().store_answered(self.now());
    }

    /// Returns the last records of a topic.
    pub fn replay_buffer(&self, topic: Topic) -> &RefCell<ReplayBuffer<Record>> {
        &self.replay_buffers[&topic].0
    }

    /// Returns the notification of new records of a topic.
    pub fn new_records(&self, topic: Topic) -> &Notify {
        &self.replay_buffers[&topic].1
    }

    /// Records that the store answered a gateway that was asked.
    pub fn store_answered_peer(&self, at: Millis) {
        self.store_answered_at.set(self.store_answered_at.get().max(at));
    }

    /// Records that a call to the store failed at a gateway that was asked.
    pub fn store_failed_for_peer(&self, at: Millis) {
        let failed_at = self.store_failed_at.get();
        self.store_failed_at.set(Some(failed_at.map_or(at, |known| known.max(at))));
    }

    /// Records a failed call to the store.
    pub fn store_failed(&self, call: &str, why: &str) {
        let now = self.now();
        if self.store_failed_at.get().is_none_or(|at| now > at + 1_000) {
            Event::new("store_call_failed")
                .with("call", call)
                .with("why", why)
                .with("last_answer_ms_ago", now - self.store_answered_at.get())
                .write();
        }
        self.store_failed_at.set(Some(now));
        self.election.borrow_mut().store_failed();
    }

    /// Removes the state of backend servers that are no longer listed.
    ///
    /// What holds for an incarnation outlasts a lapse of its record. The rest is measured anew
    /// within a second or so, or read from the record that lists the server again.
    pub fn remove_unlisted(&self) {
        let now = self.now();
        let directory = self.directory.borrow();
        let listed: HashSet<Target> = directory.iter().map(|w| Target::of(&w.id)).collect();
        let is_listed = |target: Target| listed.contains(&target);
        self.remove_ended_incarnations(now, is_listed);
        self.suspensions.borrow_mut().retain(now, is_listed);
        self.limit_logged_at.borrow_mut().retain(|target, _| is_listed(*target));
        self.admission.borrow_mut().retain(is_listed);
        self.speeds.borrow_mut().retain(is_listed);
        self.members.borrow_mut().retain(now);
        if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
            slow_starts.retain(now, is_listed);
        }
    }

    /// Removes what backend servers asked for, and the failures there, if their incarnation is no
    /// longer known.
    fn remove_ended_incarnations(&self, now: Millis, is_listed: impl Fn(Target) -> bool) {
        let mut incarnations = self.incarnations.borrow_mut();
        incarnations.sweep(now, is_listed);
        let is_known = |target| incarnations.contains(target);
        self.balance.borrow_mut().retain(is_known);
        self.backoffs.borrow_mut().retain(now, is_known);
        self.rate_limits.borrow_mut().retain(now, is_known);
    }
}
