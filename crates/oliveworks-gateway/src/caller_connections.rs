//! The open connections of callers, and the ends of connections without a complete answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::evictions::{self, Activity};
use tokio::sync::Notify;

use crate::events::Event;
use crate::state::Gateway;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a request has been read.
    #[default]
    Idle,
    /// The head of a request is being read.
    Head,
    /// The body of a request is being read.
    Body,
    /// A request that was read completely has no complete answer yet.
    Answer,
    /// The last answer has been written, and the connection is being closed.
    Closing,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Head => "head",
            Phase::Body => "body",
            Phase::Answer => "answer",
            Phase::Closing => "closing",
        }
    }

    /// Whether bytes of a request have been read that has no complete answer yet.
    fn has_request(self) -> bool {
        matches!(self, Phase::Head | Phase::Body | Phase::Answer)
    }
}

/// Reason for which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The caller closed the connection, or only its sending side: both arrive as the same signal.
    CallerClosed,
    /// The connection was reset.
    CallerReset,
    /// The connection was closed after it had been idle for too long.
    IdleTimeout,
    /// The connection was closed because the process stops.
    Stop,
    /// The process ended while the connection was open.
    ProcessEnd,
    /// The relay broke the answer off.
    Torn,
    /// The connection was closed in favour of others.
    Evicted,
}

impl EndReason {
    fn name(self) -> &'static str {
        match self {
            EndReason::CallerClosed => "caller_closed",
            EndReason::CallerReset => "caller_reset",
            EndReason::IdleTimeout => "idle_timeout",
            EndReason::Stop => "stop",
            EndReason::ProcessEnd => "process_end",
            EndReason::Torn => "torn",
            EndReason::Evicted => "evicted",
        }
    }
}

/// How far the answer to a request that was read completely has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerProgress {
    /// The request has not been sent to a backend server.
    #[default]
    NotSent,
    /// A backend server has the request and may be working on it.
    ServerAtWork {
        /// Time of the last data from there, or of the send.
        last_data: Millis,
    },
    /// Each backend server that the request was sent to has failed.
    ServerFailed,
    /// The answer is complete here, and the caller has not received all of it.
    Undelivered,
}

impl AnswerProgress {
    fn name(self) -> &'static str {
        match self {
            AnswerProgress::NotSent => "not_sent",
            AnswerProgress::ServerAtWork { .. } => "server_at_work",
            AnswerProgress::ServerFailed => "server_failed",
            AnswerProgress::Undelivered => "undelivered",
        }
    }
}

/// State of a connection, which outlives the tasks that serve it.
#[derive(Debug, Default)]
pub struct ConnectionState {
    phase: Cell<Phase>,
    /// Time at which the phase began.
    since: Cell<Millis>,
    /// Whether a request has been read on the connection.
    is_used: Cell<bool>,
    /// Number of bytes of a body that have arrived.
    body_bytes: Cell<u64>,
    /// Time since which the caller has not taken what was written; `None` while nothing is written.
    blocked_since: Cell<Option<Millis>>,
    /// Notifies the tasks of the connection that it is to be closed in favour of others.
    eviction: Notify,
    /// Progress of the answer, in the phase in which a request is answered.
    progress: Cell<AnswerProgress>,
    /// Id of the request that is being answered; empty if it has none or is not read yet.
    request: RefCell<String>,
}

impl ConnectionState {
    /// Enters a phase.
    pub fn enter(&self, now: Millis, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(now);
            self.body_bytes.set(0);
        }
        if phase != Phase::Answer {
            self.request.borrow_mut().clear();
        }
    }

    /// Enters the phase in which a request is answered.
    pub fn enter_answer(&self, now: Millis, request: &str) {
        self.enter(now, Phase::Answer);
        self.is_used.set(true);
        self.progress.set(AnswerProgress::NotSent);
        request.clone_into(&mut self.request.borrow_mut());
    }

    /// Records the arrival of a part of a body.
    pub fn record_body_part(&self, bytes: usize) {
        self.body_bytes.update(|arrived| arrived + bytes as u64);
    }

    /// Records since when the caller has not taken what was written; `None` once it has.
    pub fn set_blocked_since(&self, since: Option<Millis>) {
        self.blocked_since.set(since);
    }

    /// Waits until the connection is to be closed in favour of others.
    pub async fn wait_for_eviction(&self) {
        self.eviction.notified().await;
    }

    /// Returns what the connection is doing, and since when.
    fn activity(&self) -> (Activity, Millis) {
        if let Some(since) = self.blocked_since.get() {
            return (Activity::Blocked, since);
        }
        let activity = match self.phase.get() {
            Phase::Idle => Activity::Idle { is_used: self.is_used.get() },
            Phase::Head => Activity::Head,
            Phase::Body => Activity::Body { bytes: self.body_bytes.get() },
            Phase::Answer => Activity::Busy,
            Phase::Closing => Activity::Closing,
        };
        (activity, self.since.get())
    }

    /// Records the progress of the answer.
    pub fn set_progress(&self, progress: AnswerProgress) {
        self.progress.set(progress);
    }

    /// Logs and counts the end of the connection, unless no request lacked its answer.
    pub fn record_end(&self, gateway: &Gateway, reason: EndReason) {
        let phase = self.phase.get();
        if !phase.has_request() {
            return;
        }
        let (phase_name, reason) = (phase.name(), reason.name());
        gateway.count(&format!("connections_ended_in_{phase_name}_{reason}"));
        let now = gateway.now();
        let progress = (phase == Phase::Answer).then(|| self.progress.get());
        let progress_name = progress.map(AnswerProgress::name);
        let stop_ms = gateway.stop.get().map(|stop| now.saturating_sub(stop.began));
        if stop_ms.is_some() {
            let what = format!("{}_{reason}", progress_name.unwrap_or(phase_name));
            gateway.caller_connections.count_end_in_stop(what);
        }
        let silent_ms = match progress {
            Some(AnswerProgress::ServerAtWork { last_data }) => Some(now.saturating_sub(last_data)),
            _ => None,
        };
        Event::new("connection_ended")
            .with("reason", reason)
            .with("during", phase_name)
            .with("progress", progress_name)
            .with("server_silent_ms", silent_ms)
            .with("request", self.request.borrow().as_str())
            .with("after_ms", now.saturating_sub(self.since.get()))
            .with("stop_ms", stop_ms)
            .write();
    }
}

/// The connections that callers have open at one listening address.
#[derive(Debug)]
pub struct OpenConnections {
    /// Largest number of connections.
    max: usize,
    last_id: Cell<u64>,
    states: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Number of connections that ended without a complete answer since the stop of this process
    /// began, by the progress of the answer, or the phase if the request was not read, and the reason.
    ended_in_stop: RefCell<BTreeMap<String, u64>>,
}

impl OpenConnections {
    /// Creates a set of at most `max` connections.
    pub fn new(max: usize) -> OpenConnections {
        OpenConnections {
            max,
            last_id: Cell::default(),
            states: RefCell::default(),
            ended_in_stop: RefCell::default(),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.states.borrow().len()
    }

    /// Closes connections in favour of another one if there are too many, and returns whether there
    /// is room for it.
    pub fn make_room(&self, now: Millis) -> bool {
        while self.len() >= self.max {
            let Some(id) = evictions::choose(now, self.activities()) else { return false };
            self.evict(id);
        }
        true
    }

    /// Closes the connection that has been stalled for longest, if there is one, so that others get
    /// what it holds.
    pub fn evict_stalled(&self, now: Millis) {
        if let Some(id) = evictions::choose_stalled(now, self.activities()) {
            self.evict(id);
        }
    }

    fn activities(&self) -> Vec<evictions::OpenConnection> {
        let states = self.states.borrow();
        let activity = |(id, state): (&u64, &Rc<ConnectionState>)| {
            let (activity, since) = state.activity();
            evictions::OpenConnection { id: *id, activity, since }
        };
        states.iter().map(activity).collect()
    }

    /// The connection counts no longer; its task ends it.
    fn evict(&self, id: u64) {
        if let Some(state) = self.states.borrow_mut().remove(&id) {
            state.eviction.notify_one();
        }
    }

    /// Adds a connection, until the returned value is dropped.
    pub fn add(&self, state: Rc<ConnectionState>) -> OpenConnection<'_> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.states.borrow_mut().insert(id, state);
        OpenConnection { open: self, id }
    }

    /// Returns whether a connection has a request, or an answer that may still be in transit.
    pub fn is_any_busy(&self) -> bool {
        self.states.borrow().values().any(|state| state.phase.get() != Phase::Idle)
    }

    fn count_end_in_stop(&self, what: String) {
        *self.ended_in_stop.borrow_mut().entry(what).or_default() += 1;
    }

    /// Returns the numbers of connections that ended without a complete answer since the stop of
    /// this process began, by the progress of the answer and the reason, as in
    /// `server_at_work_torn`.
    pub fn ended_in_stop(&self) -> BTreeMap<String, u64> {
        self.ended_in_stop.borrow().clone()
    }

    /// Logs and counts the connections that the end of the process cuts off.
    pub fn record_process_end(&self, gateway: &Gateway) {
        for state in self.states.borrow().values() {
            state.record_end(gateway, EndReason::ProcessEnd);
        }
    }
}

/// Membership of a connection in [`OpenConnections`].
#[derive(Debug)]
pub struct OpenConnection<'a> {
    open: &'a OpenConnections,
    id: u64,
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.open.states.borrow_mut().remove(&self.id);
    }
}
