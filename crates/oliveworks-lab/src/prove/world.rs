//! The world of a proof run: processes, engines, callers and time.

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

/// Model hosts, half in each of two fabric domains.
pub const MODEL_HOSTS: u32 = 16;
/// Hosts with a plain service, one in each domain.
pub const SERVICE_HOSTS: u32 = 3;
/// Entries.
pub const ENTRIES: usize = 3;
/// Between two ticks of a process, in milliseconds.
pub const TICK_MS: u64 = 100;
/// The clocks' rates are off by at most this.
const DRIFT_PPM: i64 = 1000;
/// Records that an entry keeps to pass on.
pub const TAIL: usize = 64;

/// What every process keeps of the log.
pub struct Reader {
    /// The pool.
    pub pool: Pool,
    /// Where records come from.
    pub feed: Feed,
    /// Recent records, to pass on.
    pub tail: VecDeque<(Offset, Rc<Record>)>,
}

/// A request that an agent runs.
pub struct Running {
    /// The entry that waits.
    pub entry: Node,
    /// What was handed over.
    pub handed: Handover,
    /// The view that began it.
    pub permit: RunPermit,
}

/// An agent process.
pub struct AgentProc {
    /// The decisions.
    pub agent: Agent,
    /// The log as known here.
    pub reader: Reader,
    /// What runs.
    pub runs: BTreeMap<AttemptId, Running>,
    /// When to report again.
    pub report_at: u64,
}

/// An engine or a plain service.
pub struct Engine {
    /// Which life of the engine this is; zero while it is dead.
    pub life: u64,
    /// The highest fence seen.
    pub fence: Fence,
    /// Whether it refuses orders and requests with a lower fence.
    pub checks: bool,
    /// What runs: the next piece and the total.
    pub runs: BTreeMap<AttemptId, (u64, u64)>,
    /// Requests on their way to it.
    pub coming: BTreeMap<AttemptId, (Fence, u64, u64, bool)>,
}

/// A request at its entry.
pub struct Open {
    /// The decisions.
    pub relay: Relay,
    /// What it asks for.
    pub kind: Kind,
    /// Pieces of the whole answer.
    pub total: u64,
    /// Latest end by the entry's clock.
    pub deadline: Millis,
    /// The caller's key.
    pub key: Option<oliveworks_core::ledger::Key>,
    /// When the request, or its key, was first used, in real time.
    pub first: u64,
    /// The present try.
    pub current: Option<(AttemptId, HostId, Handover)>,
    /// When the present try, or its revocation, counts as lost.
    pub lost_at: Millis,
    /// Waiting for the answer to a revocation.
    pub revoking: bool,
}

/// A key whose caller may ask again.
#[derive(Clone, Copy, Debug)]
pub struct Again {
    /// The request.
    pub id: RequestId,
    /// The key.
    pub key: oliveworks_core::ledger::Key,
    /// When it was first used, in real time.
    pub first: u64,
}

/// Callers may use a key again until this long after its first use, in milliseconds.
pub const KEY_REUSE_MS: u64 = KEY_WINDOW_MS - KEY_FRESH_MS;
/// How long keys are remembered.
const KEY_WINDOW_MS: u64 = 60_000;
/// How current a configuration must be to decide on keys.
const KEY_FRESH_MS: u64 = 10_000;

/// An entry process.
pub struct EntryProc {
    /// The log as known here.
    pub reader: Reader,
    /// The deciding role.
    pub decider: Decider,
    /// Agents as last heard: incarnation, clock and when.
    pub agents: BTreeMap<HostId, (Incarnation, Millis, Millis)>,
    /// Leaders of groups as last heard.
    pub leaders: BTreeMap<Epoch, HostId>,
    /// Requests.
    pub open: BTreeMap<RequestId, Open>,
    /// Snapshot taken at.
    pub kept_at: Offset,
}

/// Everything.
pub struct World {
    /// Real time in milliseconds.
    pub now: u64,
    /// What is to happen.
    pub queue: Queue,
    /// The seed's stream.
    pub rng: ChaCha8Rng,
    /// The network.
    pub net: Network,
    /// The log.
    pub log: Log,
    /// Clocks of processes.
    pub clocks: BTreeMap<Node, Clock>,
    /// Running agents.
    pub agents: BTreeMap<HostId, AgentProc>,
    /// Engines.
    pub engines: BTreeMap<HostId, Engine>,
    /// Running entries.
    pub entries: BTreeMap<usize, EntryProc>,
    /// Paused processes with what waits for them.
    pub paused: BTreeMap<Node, Vec<Event>>,
    /// What hosts truly promised.
    pub promises: BTreeMap<HostId, TruePromise>,
    /// The platform's list, as it will be shown.
    pub list: Vec<ListedHost>,
    /// The platform's list is stuck.
    pub list_stuck: bool,
    /// Hosts that the platform wrongly leaves out.
    pub list_wrong: BTreeSet<HostId>,
    /// The judge.
    pub check: Checker,
    /// Faults in progress and counts.
    pub faults: Faults,
    /// The deliberate defect of this run.
    pub broken: Broken,
    /// Only planned changes, no faults.
    pub calm: bool,
    /// A running digest of all that happened.
    pub digest: u64,
    /// Keys whose callers do not know the outcome and will ask again.
    pub again: Vec<Again>,
    /// Numbers engines' lives.
    pub lives: u64,
}

/// A name that is known to be good.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("a constant name")
}

impl World {
    /// A world at rest, with both partners' templates in the log.
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
            list: Vec::new(),
            list_stuck: false,
            list_wrong: BTreeSet::new(),
            check: Checker::default(),
            faults: Faults::default(),
            broken,
            calm,
            digest: 0,
            again: Vec::new(),
            lives: 0,
        };
        world.publish_first();
        for host in (0..MODEL_HOSTS + SERVICE_HOSTS).map(HostId) {
            world.start_engine(host);
            world.start(Node::Agent(host));
        }
        for entry in 0..ENTRIES {
            world.start(Node::Entry(entry));
        }
        world.queue.push(world.now, Event::List);
        world.queue.push(world.now + 5_000, Event::Arrive);
        world.queue.push(world.now + 8_000, Event::Fault);
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

    /// A partner's operators publish a template straight to the log.
    pub fn publish(&mut self, template: Template) {
        let author = Author::Partner(template.partner.clone());
        self.operator(author, Body::PublishTemplate { template, edits: None });
    }

    /// An operator's record, straight to the log unless that is down.
    pub fn operator(&mut self, author: Author, body: Body) {
        if self.log.down {
            return;
        }
        let id = RecordId(self.draw());
        self.log.append(self.now, Rc::new(Record { id, author, body }));
    }

    /// A random number of 128 bits.
    pub fn draw(&mut self) -> u128 {
        (u128::from(self.rng.next_u64()) << 64) | u128::from(self.rng.next_u64())
    }

    /// A process's clock.
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

    /// Starts a process that knows nothing.
    pub fn start(&mut self, node: Node) {
        let drift_ppm = self.rng.random_range(-DRIFT_PPM..=DRIFT_PPM);
        let offset = self.rng.random_range(0..1_000_000);
        self.clocks.insert(node, Clock { drift_ppm, offset });
        let now = self.clock(node);
        let reader = self.reader(node, now);
        match node {
            Node::Agent(host) => {
                let incarnation = Incarnation(self.rng.next_u64());
                let checks = self.engines.get(&host).is_some_and(|e| e.checks);
                let config = AgentConfig {
                    host,
                    lease: LeaseConfig::default(),
                    ledger: LedgerConfig {
                        key_window_ms: KEY_WINDOW_MS,
                        key_fresh_ms: KEY_FRESH_MS,
                        ..LedgerConfig::default()
                    },
                    order_max_ms: if checks { 0 } else { ENGINE_ORDER_MAX_MS },
                };
                // The broken variant believes that it has been quiet for long enough already.
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
                    open: BTreeMap::new(),
                    kept_at: Offset(0),
                };
                self.entries.insert(entry, proc);
            }
            Node::Log => {}
        }
        let jitter = self.rng.random_range(0..TICK_MS);
        self.queue.push(self.now + jitter, Event::Tick(node));
    }

    /// Starts a host's backend server afresh.
    pub fn start_engine(&mut self, host: HostId) {
        self.lives += 1;
        let engine = Engine {
            life: self.lives,
            fence: Fence::default(),
            checks: !host.0.is_multiple_of(3),
            runs: BTreeMap::new(),
            coming: BTreeMap::new(),
        };
        self.engines.insert(host, engine);
    }

    /// The fabric domain of a host.
    pub fn domain(host: HostId) -> DomainId {
        DomainId((host.0 % 2) as u16)
    }

    /// Sends a message through the network as it is now.
    pub fn send(&mut self, from: Node, to: Node, msg: Msg) {
        if !self.net.connects(from, to) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.net.double);
        for _ in 0..copies {
            if self.rng.random_range(0..1000) < self.net.loss {
                continue;
            }
            let slow = if from == Node::Log { self.log.slow_ms } else { 0 };
            let delay = self.rng.random_range(1..=self.net.delay_ms) + slow;
            let event = Event::Deliver { from, to, msg: msg.clone() };
            self.queue.push(self.now + delay, event);
        }
    }

    /// One step. Returns false when nothing is left to do.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(at);
        self.check.step += 1;
        self.mix(at, &event);
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

    fn mix(&mut self, at: u64, event: &Event) {
        let tag = match event {
            Event::Tick(_) => 1,
            Event::Deliver { msg, .. } => 100 + msg.tag(),
            Event::OrderDone { number, .. } => 1000 + number,
            Event::EngineStart { .. } => 3,
            Event::EngineStep { .. } => 4,
            Event::Arrive => 5,
            Event::List => 6,
            Event::Fault => 7,
            Event::Heal(n) => 2000 + n,
            Event::Return(_) => 8,
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
            Event::OrderDone { host, life, number, done } => {
                self.order_done(host, life, number, done)
            }
            Event::EngineStart { host, life, id } => self.engine_start(host, life, id),
            Event::EngineStep { host, life, id } => self.engine_step(host, life, id),
            Event::Arrive => self.arrive(),
            Event::List => self.read_list(),
            Event::Fault => self.begin_fault(),
            Event::Heal(number) => self.heal(number),
            Event::Return(node) => self.come_back(node),
        }
    }

    fn deliver(&mut self, from: Node, to: Node, msg: Msg) {
        match to {
            Node::Log => self.log_receive(from, msg),
            Node::Agent(host) => self.agent_receive(host, from, msg),
            Node::Entry(entry) => self.entry_receive(entry, from, msg),
        }
    }

    /// Carries an agent's commands out.
    pub fn obey(&mut self, host: HostId, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(to, msg) => {
                    self.send(Node::Agent(host), Node::Agent(to), Msg::Lease(self.bend(msg)))
                }
                Command::Order(number, order) => self.engine_order(host, number, order.fence()),
                Command::CancelRequests => self.cut_requests(host),
                Command::RecordEvent(..) => {}
            }
        }
        self.note_promise(host);
    }

    /// Tracks what a host has truly promised.
    fn note_promise(&mut self, host: HostId) {
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
                // A promise of an earlier run of the agent must have ended by now.
                let forgotten = self.faults.restarted.remove(&host);
                if let Some(old) = old
                    && forgotten
                    && old.until > self.now
                    && (old.epoch, old.leader) != (p.epoch, p.leader)
                {
                    let what = format!("{host} joins {} while bound to {}", p.epoch, old.epoch);
                    self.check.breach("two groups", what);
                }
                let until = clock.real_at(p.until).saturating_sub(1);
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

/// The longest that an order takes at an engine, in milliseconds.
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
            Msg::FeedAsk { from, .. } => 1000 + from.0,
            Msg::FeedAnswer { next, .. } => 100_000 + next.0,
            Msg::Append(_) => 12,
            Msg::Keep(_) => 13,
        }
    }
}

/// A model's template for the run.
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

/// The plain service's template for the run.
pub fn service_template(replicas: u16) -> Template {
    let mut template = model_template("saffah", "booking", 0, replicas, 5);
    template.kind = Kind::Service;
    template.hosts = 1;
    template.repeatable = false;
    template
}
