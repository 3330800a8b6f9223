//! The open connections of callers, and the ends of connections without a complete answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use oliveworks_gateway_core::Millis;

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
        }
    }
}

/// State of a connection, which outlives the tasks that serve it.
#[derive(Debug, Default)]
pub struct ConnectionState {
    phase: Cell<Phase>,
    /// Time at which the phase began.
    since: Cell<Millis>,
    /// Id of the request that is being answered; empty if it has none or is not read yet.
    request: RefCell<String>,
}

impl ConnectionState {
    /// Enters a phase.
    pub fn enter(&self, now: Millis, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(now);
        }
        if phase != Phase::Answer {
            self.request.borrow_mut().clear();
        }
    }

    /// Enters the phase in which a request is answered.
    pub fn enter_answer(&self, now: Millis, request: &str) {
        self.enter(now, Phase::Answer);
        request.clone_into(&mut self.request.borrow_mut());
    }

    /// Logs and counts the end of the connection, unless no request lacked its answer.
    pub fn record_end(&self, gateway: &Gateway, reason: EndReason) {
        let phase = self.phase.get();
        if !phase.has_request() {
            return;
        }
        let (phase, reason) = (phase.name(), reason.name());
        gateway.count(&format!("connections_ended_in_{phase}_{reason}"));
        Event::new("connection_ended")
            .with("reason", reason)
            .with("during", phase)
            .with("request", self.request.borrow().as_str())
            .with("after_ms", gateway.now().saturating_sub(self.since.get()))
            .write();
    }
}

/// The connections that callers have open.
#[derive(Debug, Default)]
pub struct OpenConnections {
    last_id: Cell<u64>,
    states: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
}

impl OpenConnections {
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
