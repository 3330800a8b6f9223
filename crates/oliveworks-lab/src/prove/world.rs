//! State of a proof run: processes, engines, callers and simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use oliveworks_core::agent::{Agent, AgentConfig, Command, RunPermit};
use oliveworks_core::answer::AttemptId;
use oliveworks_core::decider::{Decider, DeciderConfig};
use oliveworks_core::feed::{self, EntryLocation, Feed, FeedConfig, Source};
use oliveworks_core::fleet::ListedHost;
use oliveworks_core::id::{
    DomainId, EntryId, Epoch, HostId, Incarnation, Millis, Name, Offset, RecordId, RequestId,
};
use oliveworks_core::lease::LeaseConfig;
use oliveworks_core::ledger::{Handover, LedgerConfig};
use oliveworks_core::message::Fence;
use oliveworks_core::pool::Pool;
use oliveworks_core::record::{Author, Body, Record};
use oliveworks_core::relay::Relay;
use oliveworks_core::template::{Kind, Limits, Role, Template};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Broken;
use super::check::{Checker, TruePromise};
use super::faults::Faults;
use super::net::{Clock, Event, Log, Msg, Network, Node, Queue};

/// Number of model hosts. Half of them are in each of two fabric domains.
pub const MODEL_HOSTS: u32 = 16;
/// Number of hosts with a plain service, spread over the two fabric domains.
pub const SERVICE_HOSTS: u32 = 3;
/// Number of entries.
pub const ENTRIES: usize = 3;
/// Time between two ticks of a process, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Maximum error of a clock's rate, in parts per million.
const DRIFT_PPM: i64 = 1000;
/// Number of recent records that a process keeps, to serve them to other processes.
pub const TAIL: usize = 64;

/// Copy of the log's state in a process.
pub struct Reader {
    /// Pool that results from the records applied so far.
    pub pool: Pool,
    /// Source of records.
    pub feed: Feed,
    /// Recent records, kept to serve them to other processes.
    pub tail: VecDeque<(Offset, Rc<Record>)>,
}

/// Request that an agent runs.
pub struct Running {
    /// Entry that waits for the answer.
    pub entry: Node,
    /// Request as the entry handed it over.
    pub handover: Handover,
    /// Permit of the view that started the request.
    pub permit: RunPermit,
}

/// Agent process.
pub struct AgentProc {
    /// Decision code under test.
    pub agent: Agent,
    /// Log as read by this process.
    pub reader: Reader,
    /// Requests that run at the engine.
    pub runs: BTreeMap<AttemptId, Running>,
    /// Real time from which the next periodic report is due, in milliseconds.
    pub report_at: u64,
}

/// Engine or plain service: the backend server of a host.
pub struct Engine {
    /// Incarnation of the engine. Zero while the engine is dead.
    pub incarnation: u64,
    /// Highest fence received.
    pub fence: Fence,
    /// Whether the engine refuses orders and requests with a lower fence.
    pub checks_fences: bool,
    /// Running requests: number of the next piece, and total number of pieces.
    pub runs: BTreeMap<AttemptId, (u64, u64)>,
    /// Requests in transit from the agent to the engine: fence, first piece, total number of
    /// pieces, and whether the request may be repeated.
    pub in_transit: BTreeMap<AttemptId, (Fence, u64, u64, bool)>,
}

/// Outstanding request at its entry.
pub struct OutstandingRequest {
    /// Decision code under test.
    pub relay: Relay,
    /// Kind of the requested template.
    pub kind: Kind,
    /// Number of pieces of the complete answer.
    pub total: u64,
    /// Deadline by the entry's clock.
    pub deadline: Millis,
    /// Idempotency key of the caller.
    pub key: Option<oliveworks_core::ledger::Key>,
    /// Real time of the first use of the request or its key, in milliseconds.
    pub first_used: u64,
    /// Current attempt.
    pub current: Option<(AttemptId, HostId, Handover)>,
    /// Time, by the entry's clock, from which the current attempt or its revocation counts as lost.
    pub lost_at: Millis,
    /// Whether the entry waits for the answer to a revocation.
    pub revoking: bool,
}

/// Key whose caller does not know the outcome and may retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryableKey {
    /// Request that the key belongs to.
    pub id: RequestId,
    /// Idempotency key.
    pub key: oliveworks_core::ledger::Key,
    /// Real time of the first use of the key, in milliseconds.
    pub first_used: u64,
}

/// Time after its first use during which callers may reuse a key, in milliseconds.
pub const KEY_REUSE_MS: u64 = KEY_WINDOW_MS - KEY_FRESH_MS;
/// Time for which agents keep a key, in milliseconds.
const KEY_WINDOW_MS: u64 = 60_000;
/// Maximum age of a configuration for decisions on keys, in milliseconds.
const KEY_FRESH_MS: u64 = 10_000;

/// Entry process.
pub struct EntryProc {
    /// Log as read by this process.
    pub reader: Reader,
    /// Decider of the entry.
    pub decider: Decider,
    /// Last `Hello` of each agent: incarnation, time by the agent's clock, and time of receipt by
    /// the entry's clock.
    pub agents: BTreeMap<HostId, (Incarnation, Millis, Millis)>,
    /// Last reported leader of each group.
    pub leaders: BTreeMap<Epoch, HostId>,
    /// Outstanding requests.
    pub outstanding: BTreeMap<RequestId, OutstandingRequest>,
    /// Offset that follows the last record in the last snapshot stored by this entry.
    pub snapshot_end: Offset,
}

/// State of the whole run.
pub struct World {
    /// Real time, in milliseconds.
    pub now: u64,
    /// Future events.
    pub queue: Queue,
    /// Random number generator, seeded with the seed of the run.
    pub rng: ChaCha8Rng,
    /// Network between the nodes.
    pub net: Network,
    /// The platform's append-only log.
    pub log: Log,
    /// Clocks of the processes.
    pub clocks: BTreeMap<Node, Clock>,
    /// Running agent processes.
    pub agents: BTreeMap<HostId, AgentProc>,
    /// Engines and plain services, including dead ones.
    pub engines: BTreeMap<HostId, Engine>,
    /// Running entry processes.
    pub entries: BTreeMap<usize, EntryProc>,
    /// Paused processes, with the events that are delivered to them when they resume.
    pub paused: BTreeMap<Node, Vec<Event>>,
    /// Promises that are in force at each host.
    pub promises: BTreeMap<HostId, TruePromise>,
    /// Host list that the platform currently serves.
    pub host_list: Vec<ListedHost>,
    /// Whether the platform's host list is stuck at its last state.
    pub list_stuck: bool,
    /// Hosts that the platform wrongly omits from its host list.
    pub omitted_hosts: BTreeSet<HostId>,
    /// Invariant checks.
    pub check: Checker,
    /// Faults in progress, and their statistics.
    pub faults: Faults,
    /// Deliberate defect of this run.
    pub broken: Broken,
    /// Whether the run makes planned changes only, without faults.
    pub calm: bool,
    /// Running digest of all events.
    pub digest: u64,
    /// Keys whose callers do not know the outcome and may retry.
    pub retryable_keys: Vec<RetryableKey>,
    /// Number of engine starts so far. The source of engine incarnations.
    pub engine_starts: u64,
}

/// Returns a name that is known to be valid.
///
/// # Panics
/// If the name is invalid.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("the name literal is valid")
}

impl World {
    /// Creates a run without faults in progress, with both partners' templates in the log.
    pub fn new(seed: u64, broken: Broken, calm: bool) -> World {
        let mut world = World {
            now: 10_000,
            queue: Queue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            net: Network::default(),
            log: Log::default(),
            clocks: BTreeMap::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            entries: BTreeMap::new(),
            paused: BTreeMap::new(),
            promises: BTreeMap::new(),
            host_list: Vec::new(),
            list_stuck: false,
            omitted_hosts: BTreeSet::new(),
            check: Checker::default(),
            faults: Faults::default(),
            broken,
            calm,
            digest: 0,
            retryable_keys: Vec::new(),
            engine_starts: 0,
        };
        world.publish_first();
        for host in (0..MODEL_HOSTS + SERVICE_HOSTS).map(HostId) {
            world.start_engine(host);
            world.start(Node::Agent(host));
        }
        for entry in 0..ENTRIES {
            world.start(Node::Entry(entry));
        }
        world.queue.push(world.now, Event::ReadHostList);
        world.queue.push(world.now + 5_000, Event::RequestArrival);
        world.queue.push(world.now + 8_000, Event::BeginFault);
        world
    }

    fn publish_first(&mut self) {
        for template in [
            model_template("saffah", "assistant", 1, 2, 5),
            model_template("sahel", "rehearsal", 0, 1, 3),
            service_template(2),
        ] {
            self.publish(template);
        }
    }

    /// Appends a template to the log on behalf of its partner's operators.
    pub fn publish(&mut self, template: Template) {
        let author = Author::Partner(template.partner.clone());
        self.operator(author, Body::PublishTemplate { template, edits: None });
    }

    /// Appends an operator's record to the log, without the network. Does nothing while the log is
    /// down.
    pub fn operator(&mut self, author: Author, body: Body) {
        if self.log.down {
            return;
        }
        let id = RecordId(self.random_u128());
        self.log.append(self.now, Rc::new(Record { id, author, body }));
    }

    /// Draws a random number of 128 bits.
    pub fn random_u128(&mut self) -> u128 {
        (u128::from(self.rng.next_u64()) << 64) | u128::from(self.rng.next_u64())
    }

    /// Returns the current time by the clock of a process.
    pub fn clock(&self, node: Node) -> Millis {
        self.clocks.get(&node).map_or(Millis(0), |c| c.read(self.now))
    }

    fn reader(&mut self, node: Node, now: Millis) -> Reader {
        let nonce = self.rng.next_u64();
        let all: Vec<EntryLocation> = (0..ENTRIES)
            .map(|e| EntryLocation { entry: EntryId(e as u32), region: "one".into() })
            .collect();
        let sources = match node {
            Node::Agent(host) => feed::agent_sources(host, "one", &all),
            Node::Entry(e) => feed::entry_sources(EntryId(e as u32), "one", &all, 2),
            Node::Log => vec![Source::Log],
        };
        let pool = Pool::new([name("saffah"), name("sahel")]);
        Reader {
            pool,
            feed: Feed::new(now, nonce, sources, FeedConfig::default()),
            tail: VecDeque::new(),
        }
    }

    /// Starts a process with an empty state and a new clock.
    pub fn start(&mut self, node: Node) {
        let drift_ppm = self.rng.random_range(-DRIFT_PPM..=DRIFT_PPM);
        let offset = self.rng.random_range(0..1_000_000);
        self.clocks.insert(node, Clock { drift_ppm, offset });
        let now = self.clock(node);
        let reader = self.reader(node, now);
        match node {
            Node::Agent(host) => {
                let incarnation = Incarnation(self.rng.next_u64());
                let checks_fences = self.engines.get(&host).is_some_and(|e| e.checks_fences);
                let config = AgentConfig {
                    host,
                    lease: LeaseConfig::default(),
                    ledger: LedgerConfig {
                        key_window_ms: KEY_WINDOW_MS,
                        key_fresh_ms: KEY_FRESH_MS,
                        ..LedgerConfig::default()
                    },
                    order_max_ms: if checks_fences { 0 } else { ENGINE_ORDER_MAX_MS },
                };
                // The broken variant starts as if it had already been quiet for 10 s.
                let quiet = if self.broken == Broken::NoQuiet { 10_000 } else { 0 };
                let began = Millis(now.0.saturating_sub(quiet));
                let mut agent = Agent::new(began, incarnation, config);
                if let Some(engine) = self.engines.get(&host) {
                    agent.engine_fence(engine.fence);
                }
                let proc = AgentProc { agent, reader, runs: BTreeMap::new(), report_at: 0 };
                self.agents.insert(host, proc);
            }
            Node::Entry(entry) => {
                let rank = feed::rank_entries("decider", (0..ENTRIES as u32).map(EntryId))
                    .iter()
                    .position(|e| e.0 as usize == entry)
                    .unwrap_or(0);
                let decider = Decider::new(now, rank as u64, DeciderConfig::default());
                let proc = EntryProc {
                    reader,
                    decider,
                    agents: BTreeMap::new(),
                    leaders: BTreeMap::new(),
                    outstanding: BTreeMap::new(),
                    snapshot_end: Offset(0),
                };
                self.entries.insert(entry, proc);
            }
            Node::Log => {}
        }
        let jitter = self.rng.random_range(0..TICK_MS);
        self.queue.push(self.now + jitter, Event::Tick(node));
    }

    /// Starts a host's backend server as a new incarnation with an empty state.
    pub fn start_engine(&mut self, host: HostId) {
        self.engine_starts += 1;
        let engine = Engine {
            incarnation: self.engine_starts,
            fence: Fence::default(),
            checks_fences: !host.0.is_multiple_of(3),
            runs: BTreeMap::new(),
            in_transit: BTreeMap::new(),
        };
        self.engines.insert(host, engine);
    }

    /// Returns the fabric domain of a host.
    pub fn domain(host: HostId) -> DomainId {
        DomainId((host.0 % 2) as u16)
    }

    /// Sends a message through the network, subject to the current network faults.
    pub fn send(&mut self, from: Node, to: Node, msg: Msg) {
        if !self.net.connects(from, to) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.net.duplication_per_mille);
        for _ in 0..copies {
            if self.rng.random_range(0..1000) < self.net.loss_per_mille {
                continue;
            }
            let slow = if from == Node::Log { self.log.slow_ms } else { 0 };
            let delay = self.rng.random_range(1..=self.net.delay_ms) + slow;
            let event = Event::Deliver { from, to, msg: msg.clone() };
            self.queue.push(self.now + delay, event);
        }
    }

    /// Processes the next event. Returns `false` if no event is left.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(at);
        self.check.step += 1;
        self.update_digest(at, &event);
        let node = match &event {
            Event::Tick(node) | Event::Deliver { to: node, .. } => Some(*node),
            Event::OrderDone { host, .. } => Some(Node::Agent(*host)),
            _ => None,
        };
        if let Some(waiting) = node.and_then(|n| self.paused.get_mut(&n)) {
            waiting.push(event);
            return true;
        }
        self.handle(event);
        true
    }

    fn update_digest(&mut self, at: u64, event: &Event) {
        let tag = match event {
            Event::Tick(_) => 1,
            Event::Deliver { msg, .. } => 100 + msg.tag(),
            Event::OrderDone { number, .. } => 1000 + number,
            Event::EngineStart { .. } => 3,
            Event::EngineStep { .. } => 4,
            Event::RequestArrival => 5,
            Event::ReadHostList => 6,
            Event::BeginFault => 7,
            Event::EndFault(n) => 2000 + n,
            Event::Restart(_) => 8,
        };
        let bytes = [at.to_be_bytes(), u64::to_be_bytes(tag)].concat();
        self.digest = xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, self.digest);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(Node::Agent(host)) => self.agent_tick(host),
            Event::Tick(Node::Entry(entry)) => self.entry_tick(entry),
            Event::Tick(Node::Log) => {}
            Event::Deliver { from, to, msg } => self.deliver(from, to, msg),
            Event::OrderDone { host, incarnation, number, done } => {
                self.order_done(host, incarnation, number, done)
            }
            Event::EngineStart { host, incarnation, id } => {
                self.engine_start(host, incarnation, id)
            }
            Event::EngineStep { host, incarnation, id } => self.engine_step(host, incarnation, id),
            Event::RequestArrival => self.start_caller_request(),
            Event::ReadHostList => self.update_host_list(),
            Event::BeginFault => self.begin_fault(),
            Event::EndFault(number) => self.end_fault(number),
            Event::Restart(node) => self.restart_node(node),
        }
    }

    fn deliver(&mut self, from: Node, to: Node, msg: Msg) {
        match to {
            Node::Log => self.log_receive(from, msg),
            Node::Agent(host) => self.agent_receive(host, from, msg),
            Node::Entry(entry) => self.entry_receive(entry, from, msg),
        }
    }

    /// Executes an agent's commands.
    pub fn execute_commands(&mut self, host: HostId, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(to, msg) => self.send(
                    Node::Agent(host),
                    Node::Agent(to),
                    Msg::Lease(self.apply_message_defect(msg)),
                ),
                Command::Order(number, order) => self.engine_order(host, number, order.fence()),
                Command::CancelRequests => self.cut_requests(host),
                Command::RecordEvent(..) => {}
            }
        }
        self.track_promise(host);
    }

    /// Records the promise that is in force at a host, and checks that a restarted agent does not
    /// make a different promise before the earlier one has ended.
    fn track_promise(&mut self, host: HostId) {
        let now = self.clock(Node::Agent(host));
        let Some(proc) = self.agents.get(&host) else {
            return;
        };
        let Some(clock) = self.clocks.get(&Node::Agent(host)) else {
            return;
        };
        match proc.agent.promise(now) {
            Some(p) => {
                let old = self.promises.get(&host).copied();
                // A promise made before the agent restarted must have ended by now.
                let forgotten = self.faults.restarted.remove(&host);
                if let Some(old) = old
                    && forgotten
                    && old.until > self.now
                    && (old.epoch, old.leader) != (p.epoch, p.leader)
                {
                    let detail = format!(
                        "{host} joins {} while its promise to {} is still in force",
                        p.epoch, old.epoch
                    );
                    self.check.breach("two groups", detail);
                }
                let until = clock.real_time_of(p.until).saturating_sub(1);
                let promise = TruePromise { epoch: p.epoch, leader: p.leader, until };
                self.promises.insert(host, promise);
            }
            None if !self.faults.restarted.contains(&host) => {
                self.promises.remove(&host);
            }
            None => {}
        }
    }
}

/// Maximum time that an order takes at an engine, in milliseconds.
pub const ENGINE_ORDER_MAX_MS: u64 = 900;

impl Msg {
    fn tag(&self) -> u64 {
        match self {
            Msg::Lease(_) => 0,
            Msg::Probe => 1,
            Msg::Hello { .. } => 2,
            Msg::Run { .. } => 3,
            Msg::Piece { number, .. } => 100 + number,
            Msg::End { .. } => 5,
            Msg::Refused { .. } => 6,
            Msg::Revoke { .. } => 7,
            Msg::Revoked { .. } => 8,
            Msg::Report(_) => 9,
            Msg::FeedRequest { from, .. } => 1000 + from.0,
            Msg::FeedResponse { next, .. } => 100_000 + next.0,
            Msg::Append(_) => 12,
            Msg::StoreSnapshot(_) => 13,
        }
    }
}

/// Returns a model template for the run.
pub fn model_template(
    partner: &str,
    model: &str,
    spares: u16,
    replicas: u16,
    priority: u8,
) -> Template {
    Template {
        partner: name(partner),
        workspace: name("main"),
        name: name(model),
        kind: Kind::Model,
        model: name(model),
        adapter: None,
        version: name("1"),
        role: Role::Combined,
        hosts: 4,
        spares,
        replicas,
        priority,
        repeatable: true,
        limits: Limits::default(),
    }
}

/// Returns the template of the plain service for the run.
pub fn service_template(replicas: u16) -> Template {
    let mut template = model_template("saffah", "booking", 0, replicas, 5);
    template.kind = Kind::Service;
    template.hosts = 1;
    template.repeatable = false;
    template
}
