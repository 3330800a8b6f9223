//! Faults and planned changes of a proof run. They occur in any combination, and the same one may
//! overlap with itself.

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_core::id::HostId;
use oliveworks_core::record::{Author, Body};
use rand::RngExt;

use super::agents::is_service;
use super::net::{Event, Node};
use super::world::{
    ENTRIES, MODEL_HOSTS, RetryableKey, SERVICE_HOSTS, World, name, service_template,
};

/// Kind of a fault or a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A host dies with its agent and backend server.
    KillHost,
    /// An agent process restarts with an empty state.
    RestartAgent,
    /// An entry process restarts with an empty state.
    RestartEntry,
    /// An agent process pauses and resumes.
    PauseAgent,
    /// An entry process pauses and resumes.
    PauseEntry,
    /// All messages between a pair of nodes are lost in one direction.
    CutOneWay,
    /// A node is cut off from all others.
    Isolate,
    /// The nodes are split into two random parts that are cut off from each other. The log is in
    /// one of them.
    Split,
    /// The log is down.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// Half of the log's answers to reads are lost.
    LoseAnswers,
    /// The log drops old records.
    Expire,
    /// The platform's host list is stuck at its last state.
    ListStuck,
    /// The platform's host list omits a live host.
    ListWrong,
    /// Messages are lost, duplicated, delayed and reordered.
    Storm,
    /// Every entry acts as the first decider.
    TwoDeciders,
    /// Both partners publish at once, and each tries to change the other's template.
    Operators,
    /// A backend server dies and restarts at once.
    KillEngine,
    /// Planned: a host is told to leave.
    Leave,
    /// Planned: an operator drains a host.
    DrainHost,
    /// Planned: the plain service gets a different number of replicas.
    Rehome,
}

/// All faults and planned changes.
pub const ALL: [Fault; 21] = [
    Fault::KillHost,
    Fault::RestartAgent,
    Fault::RestartEntry,
    Fault::PauseAgent,
    Fault::PauseEntry,
    Fault::CutOneWay,
    Fault::Isolate,
    Fault::Split,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LoseAnswers,
    Fault::Expire,
    Fault::ListStuck,
    Fault::ListWrong,
    Fault::Storm,
    Fault::TwoDeciders,
    Fault::Operators,
    Fault::KillEngine,
    Fault::Leave,
    Fault::DrainHost,
    Fault::Rehome,
];

/// Planned changes only.
const PLANNED: [Fault; 4] = [Fault::Operators, Fault::Leave, Fault::DrainHost, Fault::Rehome];

/// Number of records that the log keeps when it drops old ones, or more if no snapshot covers them
/// yet.
const RETAINED_RECORDS: u64 = 40;

/// Faults in progress, and their statistics.
#[derive(Default)]
pub struct Faults {
    active: BTreeMap<u64, (Fault, Vec<Node>)>,
    next: u64,
    /// Number of occurrences of each fault.
    pub counts: BTreeMap<Fault, u64>,
    /// Number of times that each pair of faults overlapped.
    pub pairs: BTreeMap<(Fault, Fault), u64>,
    /// Hosts whose agent ended and has made no promise since.
    pub restarted: BTreeSet<HostId>,
    /// Every entry acts as the first decider.
    pub two_deciders: bool,
    /// Whether random faults are disabled. The caller of the run then causes all faults.
    pub disabled: bool,
}

impl World {
    pub(super) fn begin_fault(&mut self) {
        if self.faults.disabled {
            return;
        }
        let gap = self.rng.random_range(200..6_000);
        self.queue.push(self.now + gap, Event::BeginFault);
        let kinds: &[Fault] = if self.calm { &PLANNED } else { &ALL };
        let fault = kinds[self.rng.random_range(0..kinds.len())];
        let Some((nodes, duration_ms)) = self.start_fault(fault) else {
            return;
        };
        *self.faults.counts.entry(fault).or_default() += 1;
        let others: BTreeSet<Fault> = self.faults.active.values().map(|(f, _)| *f).collect();
        for other in others {
            let pair = (fault.min(other), fault.max(other));
            *self.faults.pairs.entry(pair).or_default() += 1;
        }
        self.faults.next += 1;
        let number = self.faults.next;
        self.faults.active.insert(number, (fault, nodes));
        self.queue.push(self.now + duration_ms, Event::EndFault(number));
    }

    fn any_host(&mut self) -> HostId {
        HostId(self.rng.random_range(0..MODEL_HOSTS + SERVICE_HOSTS))
    }

    fn any_node(&mut self) -> Node {
        match self.rng.random_range(0..6) {
            0 => Node::Entry(self.rng.random_range(0..ENTRIES)),
            _ => Node::Agent(self.any_host()),
        }
    }

    /// Starts a fault. Returns the affected nodes and the duration in milliseconds, or `None` if
    /// the fault does not apply.
    fn start_fault(&mut self, fault: Fault) -> Option<(Vec<Node>, u64)> {
        let short = self.rng.random_range(100..3_000);
        let long = self.rng.random_range(1_000..20_000);
        let host = self.any_host();
        let entry = Node::Entry(self.rng.random_range(0..ENTRIES));
        match fault {
            Fault::KillHost => {
                self.kill_host(host);
                self.queue.push(self.now + long, Event::Restart(Node::Agent(host)));
                Some((vec![], long))
            }
            Fault::RestartAgent => {
                self.kill(Node::Agent(host));
                self.queue.push(self.now + short / 4, Event::Restart(Node::Agent(host)));
                Some((vec![], short))
            }
            Fault::RestartEntry => {
                self.kill(entry);
                self.queue.push(self.now + short, Event::Restart(entry));
                Some((vec![], short))
            }
            Fault::PauseAgent => self.pause(Node::Agent(host), short.max(long / 3)),
            Fault::PauseEntry => self.pause(entry, short.max(long / 3)),
            Fault::CutOneWay => {
                let (a, b) = (self.any_node(), self.any_node());
                self.net.cut.insert((a, b));
                Some((vec![a, b], long))
            }
            Fault::Isolate => {
                let node = self.any_node();
                self.net.isolated.insert(node);
                Some((vec![node], long))
            }
            Fault::Split => {
                let nodes = self.partition_network();
                Some((nodes, long))
            }
            Fault::LogDown => {
                self.log.down = true;
                Some((vec![], long * 2))
            }
            Fault::LogSlow => {
                self.log.slow_ms = self.rng.random_range(100..3_000);
                Some((vec![], long))
            }
            Fault::LoseAnswers => {
                self.log.loses_answers = true;
                Some((vec![], long))
            }
            Fault::Expire => {
                let kept = self.log.snapshot.as_ref().map_or(0, |s| s.pool.next().0);
                let wanted = self.log.next().0.saturating_sub(RETAINED_RECORDS);
                self.log.start = self.log.start.max(wanted.min(kept));
                Some((vec![], short))
            }
            Fault::ListStuck => {
                self.list_stuck = true;
                Some((vec![], long))
            }
            Fault::ListWrong => {
                self.omitted_hosts.insert(host);
                Some((vec![], long))
            }
            Fault::Storm => {
                self.net.loss_per_mille = self.rng.random_range(10..200);
                self.net.duplication_per_mille = self.rng.random_range(10..300);
                self.net.delay_ms = self.rng.random_range(20..1_500);
                Some((vec![], long))
            }
            Fault::TwoDeciders => {
                self.faults.two_deciders = true;
                Some((vec![], long))
            }
            Fault::Operators => {
                self.publish_concurrently();
                Some((vec![], short))
            }
            Fault::KillEngine => {
                let proc = self.agents.get_mut(&host)?;
                let mut commands = proc.agent.engine_health(false);
                commands.extend(proc.agent.engine_health(true));
                self.start_engine(host);
                self.cut_requests(host);
                self.execute_commands(host, commands);
                Some((vec![], short))
            }
            Fault::Leave => self.start_leaving(host, long),
            Fault::DrainHost => {
                let partner = if is_service(host) { "saffah" } else { "sahel" };
                let author = Author::Partner(name(partner));
                self.operator(author, Body::DrainHost { host });
                Some((vec![Node::Agent(host)], long))
            }
            Fault::Rehome => {
                let replicas = self.rng.random_range(1..=3);
                self.publish(service_template(replicas));
                Some((vec![], short))
            }
        }
    }

    fn start_leaving(&mut self, host: HostId, duration_ms: u64) -> Option<(Vec<Node>, u64)> {
        if self.check.leaving.contains_key(&host) || self.paused.contains_key(&Node::Agent(host)) {
            return None;
        }
        self.agents.get(&host)?;
        self.announce_leaving(host);
        // A planned stop waits until the agent is idle; see `end_fault`.
        Some((vec![Node::Agent(host)], duration_ms + 5_000))
    }

    fn pause(&mut self, node: Node, duration_ms: u64) -> Option<(Vec<Node>, u64)> {
        if self.paused.contains_key(&node) {
            return None;
        }
        self.paused.insert(node, Vec::new());
        Some((vec![node], duration_ms))
    }

    fn partition_network(&mut self) -> Vec<Node> {
        let hosts = (0..MODEL_HOSTS + SERVICE_HOSTS).map(|h| Node::Agent(HostId(h)));
        let all: Vec<Node> =
            hosts.chain((0..ENTRIES).map(Node::Entry)).chain([Node::Log]).collect();
        let (left, right): (Vec<Node>, Vec<Node>) =
            all.into_iter().partition(|_| self.rng.random_range(0..2) == 0);
        for a in &left {
            for b in &right {
                self.net.cut.insert((*a, *b));
                self.net.cut.insert((*b, *a));
            }
        }
        left
    }

    /// A host dies with its agent and backend server.
    pub(super) fn kill_host(&mut self, host: HostId) {
        self.kill(Node::Agent(host));
        if let Some(engine) = self.engines.get_mut(&host) {
            engine.incarnation = 0;
            engine.runs.clear();
            engine.in_transit.clear();
        }
    }

    pub(super) fn kill(&mut self, node: Node) {
        self.paused.remove(&node);
        match node {
            Node::Agent(host) => {
                if self.agents.remove(&host).is_some() {
                    self.faults.restarted.insert(host);
                }
                self.check.leaving.remove(&host);
            }
            Node::Entry(entry) => {
                if let Some(proc) = self.entries.remove(&entry) {
                    for (id, request) in proc.outstanding {
                        // The callers see a broken connection and do not know the outcome.
                        self.check.delivered.remove(&id);
                        self.check.unknown += 1;
                        self.retryable_keys.extend(request.key.map(|key| RetryableKey {
                            id,
                            key,
                            first_used: request.first_used,
                        }));
                    }
                }
            }
            Node::Log => {}
        }
    }

    pub(super) fn restart_node(&mut self, node: Node) {
        match node {
            Node::Agent(host) if !self.agents.contains_key(&host) => {
                if self.engines.get(&host).is_none_or(|e| e.incarnation == 0) {
                    self.start_engine(host);
                }
                self.start(node);
            }
            Node::Entry(entry) if !self.entries.contains_key(&entry) => self.start(node),
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, number: u64) {
        let Some((fault, nodes)) = self.faults.active.remove(&number) else {
            return;
        };
        let still_active = self.faults.active.values().any(|(f, _)| *f == fault);
        match fault {
            Fault::PauseAgent | Fault::PauseEntry => {
                for node in nodes {
                    for event in self.paused.remove(&node).unwrap_or_default() {
                        self.queue.push(self.now, event);
                    }
                }
            }
            Fault::CutOneWay | Fault::Split if !still_active => self.net.cut.clear(),
            Fault::Isolate => {
                for node in nodes {
                    self.net.isolated.remove(&node);
                }
            }
            Fault::LogDown if !still_active => self.log.down = false,
            Fault::LogSlow if !still_active => self.log.slow_ms = 0,
            Fault::LoseAnswers if !still_active => self.log.loses_answers = false,
            Fault::ListStuck if !still_active => self.list_stuck = false,
            Fault::ListWrong if !still_active => self.omitted_hosts.clear(),
            Fault::Storm if !still_active => {
                self.net.loss_per_mille = 0;
                self.net.duplication_per_mille = 0;
                self.net.delay_ms = 4;
            }
            Fault::TwoDeciders if !still_active => self.faults.two_deciders = false,
            Fault::Leave => self.finish_leaving(nodes),
            Fault::DrainHost => self.restore_hosts(nodes),
            _ => {}
        }
    }

    /// Stops the hosts that were told to leave, and schedules their return. In a calm run, waits
    /// until the host's agent is idle and the host belongs to no group. In other runs, stops the
    /// host regardless.
    fn finish_leaving(&mut self, nodes: Vec<Node>) {
        for node in nodes {
            let Node::Agent(host) = node else { continue };
            let busy = self
                .agents
                .get(&host)
                .is_some_and(|a| !a.agent.is_idle() || a.reader.pool.group_of(host).is_some());
            if busy && self.calm {
                self.faults.next += 1;
                self.faults.active.insert(self.faults.next, (Fault::Leave, vec![node]));
                self.queue.push(self.now + 1_000, Event::EndFault(self.faults.next));
                continue;
            }
            self.kill(node);
            if let Some(engine) = self.engines.get_mut(&host) {
                engine.incarnation = 0;
            }
            let return_delay_ms = self.rng.random_range(500..5_000);
            self.queue.push(self.now + return_delay_ms, Event::Restart(node));
        }
    }

    fn restore_hosts(&mut self, nodes: Vec<Node>) {
        for node in nodes {
            let Node::Agent(host) = node else { continue };
            for partner in ["saffah", "sahel"] {
                self.operator(Author::Partner(name(partner)), Body::RestoreHost { host });
            }
        }
    }
}
