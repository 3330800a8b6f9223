//! The network, the log and the clocks of a proof run.

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

/// A participant of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// The agent of a host.
    Agent(HostId),
    /// An entry, by index.
    Entry(usize),
    /// The platform's log.
    Log,
}

/// What one node tells another.
#[derive(Clone, Debug)]
pub enum Msg {
    /// The lease protocol.
    Lease(LeaseMsg),
    /// An entry asks who an agent is.
    Probe,
    /// An agent's incarnation, clock, and the epoch that it leads.
    Hello { incarnation: Incarnation, clock: Millis, leads: Option<Epoch> },
    /// An entry hands a request over.
    Run { id: AttemptId, epoch: Epoch, handed: Handover, from: u64, total: u64 },
    /// A piece of an answer.
    Piece { id: AttemptId, number: u64, content: u64 },
    /// An answer's end.
    End { id: AttemptId, pieces: u64 },
    /// A try is refused.
    Refused { id: AttemptId, refusal: Refusal, leader: Option<HostId> },
    /// A try is to be stopped before it begins.
    Revoke { id: AttemptId, handed: Handover },
    /// What became of it.
    Revoked { id: AttemptId, outcome: Revoked },
    /// A group's report to a decider.
    Report(GroupReport),
    /// A process asks for records from an offset on; `number` comes back.
    FeedAsk { from: Offset, number: u64 },
    /// The answer.
    FeedAnswer {
        number: u64,
        snapshot: Option<Rc<Snapshot>>,
        records: Vec<(Offset, Rc<Record>)>,
        next: Offset,
        age_ms: Option<u64>,
    },
    /// A record for the log.
    Append(Rc<Record>),
    /// A snapshot for the log.
    Keep(Rc<Snapshot>),
}

/// Something that is to happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process's timer.
    Tick(Node),
    /// A message arrives.
    Deliver { from: Node, to: Node, msg: Msg },
    /// An engine finished an order.
    OrderDone { host: HostId, life: u64, number: u64, done: bool },
    /// A request reaches an engine, after the gate.
    EngineStart { host: HostId, life: u64, id: AttemptId },
    /// An engine makes its next piece.
    EngineStep { host: HostId, life: u64, id: AttemptId },
    /// A caller asks.
    Arrive,
    /// The platform's list is read by the entries.
    List,
    /// A fault begins.
    Fault,
    /// A fault ends.
    Heal(u64),
    /// A killed process or host comes back.
    Return(Node),
}

/// Events in order of time.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, number)) = self.heap.pop()?;
        self.events.remove(&number).map(|e| (at, e))
    }
}

/// How the network treats messages at the moment.
#[derive(Clone, Debug)]
pub struct Network {
    /// Directed pairs that lose everything.
    pub cut: HashSet<(Node, Node)>,
    /// Nodes that neither send nor receive.
    pub isolated: HashSet<Node>,
    /// In thousandths.
    pub loss: u32,
    /// In thousandths.
    pub double: u32,
    /// The longest delay, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Network {
    fn default() -> Network {
        Network { cut: HashSet::new(), isolated: HashSet::new(), loss: 0, double: 0, delay_ms: 4 }
    }
}

impl Network {
    /// Whether a message gets through at all.
    pub fn connects(&self, from: Node, to: Node) -> bool {
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        from == to || (!isolated && !self.cut.contains(&(from, to)))
    }
}

/// The platform's log, with its faults.
#[derive(Default)]
pub struct Log {
    /// All records ever, by offset.
    pub records: Vec<Rc<Record>>,
    /// When each was appended.
    pub times: Vec<u64>,
    /// The first offset still kept.
    pub start: u64,
    /// The latest snapshot of our own stream.
    pub snapshot: Option<Rc<Snapshot>>,
    /// It answers nothing.
    pub down: bool,
    /// It appends, but the answers are lost.
    pub loses_answers: bool,
    /// Its answers take this much longer, in milliseconds.
    pub slow_ms: u64,
}

impl Log {
    /// Appends.
    pub fn append(&mut self, now: u64, record: Rc<Record>) -> Offset {
        self.records.push(record);
        self.times.push(now);
        Offset(self.records.len() as u64 - 1)
    }

    /// The next offset.
    pub fn next(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// The next offset at an earlier time.
    pub fn next_at(&self, time: u64) -> u64 {
        self.times.partition_point(|t| *t <= time) as u64
    }
}

/// A process's own clock: a rate that is off, and any starting point.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Millionths.
    pub drift_ppm: i64,
    /// Milliseconds.
    pub offset: u64,
}

impl Clock {
    /// What the clock shows at a real time.
    pub fn read(&self, real: u64) -> Millis {
        let drifted = real as i64 + real as i64 * self.drift_ppm / 1_000_000;
        Millis(drifted as u64 + self.offset)
    }

    /// The real time by which the clock surely shows at least `shown`.
    pub fn real_at(&self, shown: Millis) -> u64 {
        let since = shown.0.saturating_sub(self.offset) as i64;
        let real = since - since * self.drift_ppm / 1_000_000;
        real.max(0) as u64
    }
}
