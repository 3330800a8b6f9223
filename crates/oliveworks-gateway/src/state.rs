//! What the parts of a gateway share.

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
use oliveworks_gateway_core::configuration::Lookup;
use oliveworks_gateway_core::crashers::Crashers;
use oliveworks_gateway_core::demand::Demand;
use oliveworks_gateway_core::drains::Drains;
use oliveworks_gateway_core::election::{Election, ElectionConfig};
use oliveworks_gateway_core::era::{Era, StoreEra};
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::missing::Missing;
use oliveworks_gateway_core::passing::Passing;
use oliveworks_gateway_core::planner::Planner;
use oliveworks_gateway_core::rate_limits::RateLimits;
use oliveworks_gateway_core::returning::Waits;
use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::speed::Speeds;
use oliveworks_gateway_core::suspensions::Suspensions;
use oliveworks_gateway_core::table::{Assembly, Change, Changes, Table};
use oliveworks_gateway_core::telling::Pace;
use oliveworks_gateway_core::versions::Lag;
use oliveworks_runtime::clock::Clock;
use oliveworks_runtime::latencies::Latencies;
use tokio::sync::{Notify, watch};

use crate::calls::Calls;
use crate::dialect::{Dialect, Record, TOPICS, Topic};
use crate::events::Event;
use crate::host_says::Leaving;
use crate::rate_limits::ToLimiter;
use crate::settings::Settings;
use crate::{members, slow_start};

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// When it was last heard, by this gateway or one that told so.
    pub heard_at: Millis,
    /// Whether the store answered it when it was last heard here, and it went on reading it.
    pub store_answers: bool,
    /// Whether it read the store itself then.
    pub reads_store: bool,
    /// Until when it knew then that the store held nothing newer than it; none if it did not tell.
    pub proved_at: Option<Millis>,
    /// Which copy of itself the store answered from then, as far as it had heard.
    pub era: Era,
    /// The newest version of the configuration that it held then; none if it had none, or was not heard itself.
    pub version: Option<u64>,
}

/// How long after a stop begins new connections may still come: the platform asks once a second whether a
/// process is ready, and takes it out after two refusals.
pub const STOP_NOTICE_MS: u64 = 2_300;
/// A gap between two ticks after which this process has been asleep.
const ASLEEP_MS: u64 = 150;
/// A gap after which what waits looks at the clock again, in ms: shorter ones cost less than asking anew.
const RESUMED_MS: u64 = 1_000;

/// A gateway's shared state. Belongs to one thread.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// How the platform speaks.
    pub dialect: Rc<dyn Dialect>,
    /// The clock, which counts suspensions of the machine.
    pub clock: Clock,
    /// The newest configuration.
    pub lookup: RefCell<Option<Rc<Lookup>>>,
    /// Failure domains that the operators drain.
    pub drains: RefCell<Drains>,
    /// How young it is.
    pub freshness: Cell<Freshness>,
    /// Backend servers that the platform lists.
    pub directory: RefCell<Directory>,
    /// Up to when it is known what the store told of backend servers.
    pub list_read_at: Cell<Millis>,
    /// Whether the directory was read at all.
    pub directory_read: Cell<bool>,
    /// Backend servers that are missing from the list or gone: a leader that cannot reach the store may not know
    /// yet.
    pub missing: RefCell<Missing>,
    /// The last records of each topic, for gateways that ask this one, and who waits for news.
    passing: HashMap<Topic, (RefCell<Passing<Record>>, Notify)>,
    /// Gateways that did not answer a question, and when.
    pub avoided: RefCell<HashMap<SocketAddr, Millis>>,
    /// When this gateway last called the store to follow a topic.
    pub store_tried_at: Cell<Millis>,
    /// When the last call that the store answered to this gateway was sent.
    pub store_proved_at: Cell<Option<Millis>>,
    /// When a call to the store last failed, here or at a gateway that was asked.
    pub store_failed_at: Cell<Option<Millis>>,
    /// When the store last answered, this gateway or one that was asked.
    pub store_heard_at: Cell<Millis>,
    /// Which copy of itself the store answers from.
    pub store_era: Cell<StoreEra>,
    /// When another gateway was last heard itself.
    pub gateway_heard_at: Cell<Option<Millis>>,
    /// The newest version of the configuration that the store is known to hold since it answers from that copy.
    pub stored_version: Cell<Option<u64>>,
    /// How long the store has been behind the newest version that any gateway knows.
    pub store_lag: Cell<Lag>,
    /// How long this gateway has been behind it.
    pub own_lag: Cell<Lag>,
    /// How busy backend servers are.
    pub balance: RefCell<Balance>,
    /// Places that stand still or could not be reached.
    pub suspensions: RefCell<Suspensions>,
    /// Requests under which backend servers ended.
    pub crashers: RefCell<Crashers>,
    /// Tells runs that a request was convicted.
    pub convictions: Notify,
    /// Backend servers that asked to be left alone.
    pub backoffs: RefCell<Backoffs>,
    /// Backend servers that name a rate limit, and permits for them.
    pub rate_limits: RefCell<RateLimits>,
    /// Tells requests that wait that a permit has come.
    pub permits_came: Notify,
    /// What is to be said to limiters, and where these listen.
    pub to_limiters: RefCell<Vec<(SocketAddr, ToLimiter)>>,
    /// When a line was last written of a backend server's limit.
    pub limits_told_at: RefCell<HashMap<Target, Millis>>,
    /// Names of headers in answers that nothing here reads.
    pub unread_headers: RefCell<HashSet<String>>,
    /// How long callers of each route still wait.
    pub waits: RefCell<Waits>,
    /// Gateways that share what all of them together may send.
    pub members: RefCell<Members>,
    /// Cold backend servers, if what they are sent is bound.
    pub slow_starts: RefCell<Option<SlowStarts>>,
    /// When a line last said that this gateway's part of a cold backend server is taken.
    pub cold_told_at: Cell<Millis>,
    /// What this gateway took of each group lately.
    pub admission: RefCell<Admission>,
    /// How many requests for models find a place.
    pub demand: RefCell<Demand>,
    /// How fast replica groups run.
    pub speeds: RefCell<Speeds>,
    /// Repeats.
    pub budget: RefCell<Budget>,
    /// Places for calls to backend servers on this system's own behalf.
    pub calls: Calls,
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
    /// Backend servers that said they leave, to be told to others, and since when.
    pub leaving_told: RefCell<Vec<(Millis, Leaving)>>,
    /// Where the leader listens for other gateways.
    pub leader_address: Cell<Option<SocketAddr>>,
    /// From when on another gateway may be asked for a newer table.
    pub ask_table_at: Cell<Millis>,
    /// The last changes of the table, for gateways that missed some.
    pub changes: RefCell<Changes>,
    /// Changes of the table that are to be passed on.
    pub changes_to_pass: RefCell<Vec<Change>>,
    /// Parts of a newer table that have come.
    pub table_parts: RefCell<Assembly>,
    /// When other failure domains were last told what is open outside of them.
    pub sums: RefCell<Pace>,
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
    /// Latencies, by what they are of.
    pub latencies: RefCell<Latencies>,
    /// Tells what waits that the process goes on after a pause.
    pub resumed: Notify,
    ticked_at: Cell<Millis>,
    woke_at: Cell<Millis>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Gateway {
        let now = clock.now().0;
        let life = rand::random::<u64>() >> 1;
        let bounds = &settings.bounds;
        let terms = BudgetConfig {
            ratio: bounds.repeat_ratio,
            extra: bounds.repeat_extra,
            window_ms: bounds.repeat_window_ms,
        };
        let budget = Budget::new(terms, now);
        Gateway {
            dialect,
            lookup: RefCell::new(None),
            drains: RefCell::default(),
            freshness: Cell::default(),
            directory: RefCell::default(),
            list_read_at: Cell::new(0),
            directory_read: Cell::new(false),
            missing: RefCell::default(),
            passing: TOPICS.into_iter().map(|topic| (topic, Default::default())).collect(),
            avoided: RefCell::default(),
            store_tried_at: Cell::new(0),
            store_proved_at: Cell::new(None),
            store_failed_at: Cell::new(None),
            store_heard_at: Cell::new(now),
            store_era: Cell::default(),
            gateway_heard_at: Cell::new(None),
            stored_version: Cell::new(None),
            store_lag: Cell::default(),
            own_lag: Cell::default(),
            balance: RefCell::default(),
            suspensions: RefCell::default(),
            crashers: RefCell::default(),
            convictions: Notify::new(),
            backoffs: RefCell::default(),
            rate_limits: RefCell::default(),
            permits_came: Notify::new(),
            to_limiters: RefCell::default(),
            limits_told_at: RefCell::default(),
            unread_headers: RefCell::default(),
            waits: RefCell::default(),
            members: RefCell::new(members::members(&settings, now)),
            slow_starts: RefCell::new(slow_start::slow_starts(&settings, now)),
            cold_told_at: Cell::new(0),
            admission: RefCell::new(Admission::new(settings.policy.admission, life)),
            demand: RefCell::default(),
            speeds: RefCell::default(),
            budget: RefCell::new(budget),
            calls: Calls::default(),
            election: RefCell::new(Election::new(ElectionConfig::default(), life, now)),
            planners: RefCell::default(),
            table: RefCell::default(),
            table_heard_at: Cell::new(0),
            peers: RefCell::default(),
            suspects: RefCell::default(),
            leaving_told: RefCell::default(),
            leader_address: Cell::new(None),
            ask_table_at: Cell::new(0),
            changes: RefCell::default(),
            changes_to_pass: RefCell::default(),
            table_parts: RefCell::default(),
            sums: RefCell::default(),
            beat_is_urgent: Cell::new(false),
            send_now: Notify::new(),
            plan_now: Notify::new(),
            stopping: watch::channel(false).0,
            stop_began_at: Cell::new(None),
            open_requests: Cell::new(0),
            traffic: Cell::new(false),
            life,
            counters: RefCell::default(),
            latencies: RefCell::default(),
            resumed: Notify::new(),
            ticked_at: Cell::new(now),
            woke_at: Cell::new(0),
            clock,
            settings,
        }
    }

    /// The time since the process started.
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
            let paused_ms = now - self.ticked_at.get();
            self.woke_at.set(now);
            self.members.borrow_mut().paused(now, paused_ms);
            if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
                slow_starts.paused(now, paused_ms);
            }
            self.go_on(paused_ms);
        }
        self.ticked_at.set(now);
    }

    /// The process goes on after a pause: its machine was suspended, or it was stopped or kept from running.
    fn go_on(&self, paused_ms: u64) {
        if paused_ms < RESUMED_MS {
            return;
        }
        self.count("pauses");
        Event::new("goes_on").with("after_ms", paused_ms).write();
        self.resumed.notify_waiters();
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
        self.count_by(what, 1);
    }

    /// Counts so much of something, such as bytes.
    pub fn count_by(&self, what: &str, much: u64) {
        let mut counters = self.counters.borrow_mut();
        match counters.get_mut(what) {
            Some(count) => *count += much,
            None => {
                counters.insert(what.to_owned(), much);
            }
        }
    }

    /// Notes a latency in ms.
    pub fn note_latency(&self, what: &'static str, ms: u64) {
        self.latencies.borrow_mut().note(what, ms.saturating_mul(1_000));
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

    /// Forgets backend servers that are no longer listed.
    pub fn forget_gone(&self) {
        let directory = self.directory.borrow();
        let listed: HashSet<Target> = directory.iter().map(|w| Target::of(&w.id)).collect();
        self.balance.borrow_mut().retain(|target| listed.contains(&target));
        self.suspensions.borrow_mut().retain(|target| listed.contains(&target));
        self.backoffs.borrow_mut().retain(|target| listed.contains(&target));
        self.rate_limits.borrow_mut().retain(self.now(), |target| listed.contains(&target));
        self.limits_told_at.borrow_mut().retain(|target, _| listed.contains(target));
        self.admission.borrow_mut().retain(|target| listed.contains(&target));
        self.speeds.borrow_mut().retain(|target| listed.contains(&target));
        self.members.borrow_mut().retain(self.now());
        if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
            slow_starts.retain(self.now(), |target| listed.contains(&target));
        }
    }
}
