//! Network, log and clocks of a proof run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::rc::Rc;

use oliveworks_core::answer::AttemptId;
use oliveworks_core::error::Refusal;
use oliveworks_core::id::{Epoch, HostId, Incarnation, Millis, Offset};
use oliveworks_core::ledger::{Handover, Revoked};
use oliveworks_core::message::{GroupReport, LeaseMsg};
use oliveworks_core::pool::Snapshot;
use oliveworks_core::record::Record;

/// Participant of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// Agent of a host.
    Agent(HostId),
    /// Entry with the given index.
    Entry(usize),
    /// Log of the platform.
    Log,
}

/// Message from one node to another.
#[derive(Clone, Debug)]
pub enum Msg {
    /// Message of the lease protocol.
    Lease(LeaseMsg),
    /// Request of an entry for an agent's `Hello`.
    Probe,
    /// Incarnation and clock of an agent, and the epoch of the group that it leads.
    Hello { incarnation: Incarnation, clock: Millis, leads: Option<Epoch> },
    /// Request that an entry sends to an agent.
    Run { id: AttemptId, epoch: Epoch, handover: Handover, from: u64, total: u64 },
    /// Piece of an answer.
    Piece { id: AttemptId, number: u64, content: u64 },
    /// End of an answer, with its number of pieces.
    End { id: AttemptId, pieces: u64 },
    /// Refusal of an attempt, with the leader to try instead if the agent knows one.
    Refused { id: AttemptId, refusal: Refusal, leader: Option<HostId> },
    /// Revocation of an attempt that may not have started.
    Revoke { id: AttemptId, handover: Handover },
    /// Outcome of a revocation.
    Revoked { id: AttemptId, outcome: Revoked },
    /// Report of a group to a decider.
    Report(GroupReport),
    /// Request for records from an offset on. The answer carries the same `number`.
    FeedRequest { from: Offset, number: u64 },
    /// Answer to a request for records.
    FeedResponse {
        number: u64,
        snapshot: Option<Rc<Snapshot>>,
        records: Vec<(Offset, Rc<Record>)>,
        next: Offset,
        age_ms: Option<u64>,
    },
    /// Record to append to the log.
    Append(Rc<Record>),
    /// Snapshot to store in the log.
    StoreSnapshot(Rc<Snapshot>),
}

/// Future event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Timer tick of a process.
    Tick(Node),
    /// Arrival of a message.
    Deliver { from: Node, to: Node, msg: Msg },
    /// End of an order at an engine. `done` is false if the engine refused the order.
    OrderDone { host: HostId, incarnation: u64, number: u64, done: bool },
    /// Arrival of a request at an engine, after the agent's gate.
    EngineStart { host: HostId, incarnation: u64, id: AttemptId },
    /// Production of the next piece by an engine.
    EngineStep { host: HostId, incarnation: u64, id: AttemptId },
    /// Arrival of a caller's request at an entry.
    RequestArrival,
    /// Periodic read of the platform's host list by the entries.
    ReadHostList,
    /// Start of a random fault.
    BeginFault,
    /// End of the fault with the given number.
    EndFault(u64),
    /// Restart of a killed process or host.
    Restart(Node),
}

/// Future events in order of time. Events of the same time keep the order in which they were added.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
}

impl Queue {
    /// Adds an event that happens at real time `at`, in milliseconds.
    pub fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    /// Removes the earliest event and returns its time and the event.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, number)) = self.heap.pop()?;
        self.events.remove(&number).map(|e| (at, e))
    }
}

/// Current faults of the network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Directed pairs of nodes between which all messages are lost.
    pub cut: HashSet<(Node, Node)>,
    /// Nodes whose messages are lost in both directions.
    pub isolated: HashSet<Node>,
    /// Share of messages that are lost, in thousandths.
    pub loss_per_mille: u32,
    /// Share of messages that are sent twice, in thousandths.
    pub duplication_per_mille: u32,
    /// Maximum delay of a message, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            cut: HashSet::new(),
            isolated: HashSet::new(),
            loss_per_mille: 0,
            duplication_per_mille: 0,
            delay_ms: 4,
        }
    }
}

impl Network {
    /// Returns whether messages from `from` can reach `to`.
    pub fn connects(&self, from: Node, to: Node) -> bool {
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        from == to || (!isolated && !self.cut.contains(&(from, to)))
    }
}

/// Log of the platform, with its faults.
#[derive(Default)]
pub struct Log {
    /// All records ever appended, by offset, including dropped ones.
    pub records: Vec<Rc<Record>>,
    /// Real time at which each record was appended, in milliseconds.
    pub times: Vec<u64>,
    /// First offset that the log still serves.
    pub start: u64,
    /// Latest stored snapshot.
    pub snapshot: Option<Rc<Snapshot>>,
    /// Whether the log is down: it accepts no records and answers no requests.
    pub down: bool,
    /// Whether half of the answers to reads are lost. Appends still take effect.
    pub loses_answers: bool,
    /// Additional delay of the log's answers, in milliseconds.
    pub slow_ms: u64,
}

impl Log {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: u64, record: Rc<Record>) -> Offset {
        self.records.push(record);
        self.times.push(now);
        Offset(self.records.len() as u64 - 1)
    }

    /// Returns the offset of the next record.
    pub fn next(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Returns the offset that was next at an earlier real time.
    pub fn next_at(&self, time: u64) -> u64 {
        self.times.partition_point(|t| *t <= time) as u64
    }
}

/// Clock of a process, with a rate error and an arbitrary start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Rate error, in parts per million.
    pub drift_ppm: i64,
    /// Reading at real time 0, in milliseconds.
    pub offset: u64,
}

impl Clock {
    /// Returns the reading of the clock at a real time in milliseconds.
    pub fn read(&self, real: u64) -> Millis {
        let drifted = real as i64 + real as i64 * self.drift_ppm / 1_000_000;
        Millis(drifted as u64 + self.offset)
    }

    /// Returns the approximate real time, in milliseconds, at which the clock shows `shown`.
    pub fn real_time_of(&self, shown: Millis) -> u64 {
        let since = shown.0.saturating_sub(self.offset) as i64;
        let real = since - since * self.drift_ppm / 1_000_000;
        real.max(0) as u64
    }
}
