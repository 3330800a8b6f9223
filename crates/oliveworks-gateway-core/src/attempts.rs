//! Retry decisions after a failed attempt, and the error that the caller receives.
//!
//! The verdict "not run" is used only when nothing was sent, or when a backend server itself
//! reported that it did not run the request. A request that was sent and not answered may have run.

use crate::Millis;

/// The way in which an attempt at a backend server ended without an answer to relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The backend server reported that it did not run the request.
    Refused,
    /// The request was sent, but no complete answer arrived.
    Lost,
    /// The backend server itself failed on a request that may be repeated.
    Failed,
    /// The replica group is stalled.
    Stalled,
    /// The backend server answered with bytes that are no answer.
    Invalid,
}

/// The conditions under which a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of backend servers that the request is sent to.
    pub max_attempts: u32,
    /// Time by which the final answer is due.
    pub deadline: Millis,
}

/// The error reported to a caller when there is no answer to relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// No route matches the request.
    NoRoute,
    /// The request carries no valid key.
    NoKey,
    /// The request is malformed.
    BadRequest,
    /// The request's head is too large.
    HeadTooLarge,
    /// The request's body is too large.
    BodyTooLarge,
    /// The request was not received in time and has not run.
    TooSlow,
    /// The request has not run and will not run. The caller may retry.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

/// The HTTP answer for a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Error code for logs and bodies.
    pub code: &'static str,
    /// Whether the answer names a time for a retry.
    pub come_back: bool,
}

impl Verdict {
    /// Returns the HTTP answer for this verdict.
    pub fn answer(self) -> Answer {
        let (status, code, come_back) = match self {
            Verdict::NoRoute => (404, "no_route", false),
            Verdict::NoKey => (401, "no_key", false),
            Verdict::BadRequest => (400, "bad_request", false),
            Verdict::HeadTooLarge => (431, "head_too_large", false),
            Verdict::BodyTooLarge => (413, "body_too_large", false),
            Verdict::TooSlow => (408, "too_slow", false),
            Verdict::NotRun => (503, "not_run", true),
            Verdict::MayHaveRun => (502, "may_have_run", false),
            Verdict::TimedOut => (504, "timed_out", false),
        };
        Answer { status, code, come_back }
    }
}

/// The next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another backend server. If the retry is charged to the retry budget, the
    /// budget must allow it.
    Again,
    /// Report the verdict to the caller.
    GiveUp(Verdict),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    terms: Terms,
    sent: u32,
    connected: u32,
    excused_ends: u32,
    may_have_run: bool,
    /// Whether another run may continue the answer.
    may_continue: bool,
}

/// Maximum number of connections opened for one request.
const CONNECTIONS_MAX: u32 = 4;

impl Attempts {
    /// Creates the state of a request that has not been sent.
    pub fn new(terms: Terms) -> Attempts {
        Attempts {
            terms,
            sent: 0,
            connected: 0,
            excused_ends: 0,
            may_have_run: false,
            may_continue: true,
        }
    }

    /// Records that a connection for the request is being opened.
    pub fn connecting(&mut self) {
        self.connected += 1;
    }

    /// Records that the request is being sent, and returns whether this send is a repeat.
    pub fn sending(&mut self) -> bool {
        self.sent += 1;
        self.sent > 1
    }

    /// Sets whether another run may continue what the caller has of the answer.
    pub fn set_may_continue(&mut self, may_continue: bool) {
        self.may_continue = may_continue;
    }

    /// Returns how often the request was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the next send is a repeat.
    pub fn next_is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the verdict for a request that is not sent again.
    pub fn verdict(&self, now: Millis) -> Verdict {
        match (self.may_have_run, now >= self.terms.deadline) {
            (false, _) => Verdict::NotRun,
            (true, false) => Verdict::MayHaveRun,
            (true, true) => Verdict::TimedOut,
        }
    }

    /// Records a failed attempt and returns the next step. `gone` is whether the backend server is
    /// known to have ended; one such attempt per request does not count towards the maximum.
    pub fn failed(&mut self, now: Millis, failure: Failure, gone: bool) -> Next {
        if !matches!(failure, Failure::NotSent | Failure::Refused) {
            self.may_have_run = true;
        }
        if gone && failure != Failure::NotSent {
            self.excused_ends += 1;
        }
        let may_retry = self.has_send_left(now) && (self.terms.repeatable || !self.may_have_run);
        match may_retry {
            true => Next::Again,
            false => Next::GiveUp(self.verdict(now)),
        }
    }

    /// Returns whether the request may be sent to another backend server while the answer to an
    /// earlier send is still awaited. Both may run it.
    pub fn may_send_beside(&self, now: Millis) -> bool {
        self.terms.repeatable && self.has_send_left(now)
    }

    /// Records that the answer to a send is not awaited any longer, although the backend server may
    /// run the request.
    pub fn abandoned(&mut self) {
        self.may_have_run = true;
    }

    fn has_send_left(&self, now: Millis) -> bool {
        now < self.terms.deadline
            && self.may_continue
            && self.connected < CONNECTIONS_MAX
            && self.sent < self.terms.max_attempts + self.excused_ends.min(1)
    }
}
