//! What follows a failed attempt, and what the caller is told.
//!
//! "Not run" is said only when nothing was sent or a backend server itself said that it did not
//! run the request. Whatever was sent and not answered may have run.

use crate::Millis;

/// How an attempt at a backend server ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection came up, so nothing was sent.
    NotSent,
    /// The backend server says that it did not run the request.
    Refused,
    /// The request was sent; no whole answer came.
    Lost,
    /// The backend server's own failure of a request that may be repeated.
    Failed,
    /// The replica group stands still.
    Stalled,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The most backend servers that it is sent to.
    pub max_attempts: u32,
    /// When it must have its final answer.
    pub deadline: Millis,
}

/// What a caller is told when there is no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// No route takes the request.
    NoRoute,
    /// It carries no key that somebody holds.
    NoKey,
    /// It is not a proper request.
    BadRequest,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// It did not come in time; it has not run.
    TooSlow,
    /// It has not run and will not; it may come back.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Its time is over, and it may have run.
    TimedOut,
}

/// A row of the table from verdicts to answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// A word for logs and bodies.
    pub code: &'static str,
    /// Whether the caller is told when to come back.
    pub come_back: bool,
}

impl Verdict {
    /// The answer to a verdict.
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

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another backend server, if the budget has a repeat left where it is needed.
    Again,
    /// Tell the caller.
    GiveUp(Verdict),
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    terms: Terms,
    sent: u32,
    connected: u32,
    excused: u32,
    may_have_run: bool,
}

/// The most connections that are tried for one request.
const CONNECTIONS_MAX: u32 = 4;

impl Attempts {
    /// A request that was sent nowhere yet.
    pub fn new(terms: Terms) -> Attempts {
        Attempts { terms, sent: 0, connected: 0, excused: 0, may_have_run: false }
    }

    /// A connection for the request is being opened.
    pub fn connecting(&mut self) {
        self.connected += 1;
    }

    /// The request goes out; tells whether that is a repeat.
    pub fn sending(&mut self) -> bool {
        self.sent += 1;
        self.sent > 1
    }

    /// How often it was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the next send is a repeat.
    pub fn next_is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// What to tell if it goes nowhere any more.
    pub fn verdict(&self, now: Millis) -> Verdict {
        match (self.may_have_run, now >= self.terms.deadline) {
            (false, _) => Verdict::NotRun,
            (true, false) => Verdict::MayHaveRun,
            (true, true) => Verdict::TimedOut,
        }
    }

    /// An attempt has failed. `gone` is whether its backend server is known to have ended.
    pub fn failed(&mut self, now: Millis, failure: Failure, gone: bool) -> Next {
        if matches!(failure, Failure::Lost | Failure::Failed | Failure::Stalled) {
            self.may_have_run = true;
        }
        if gone && failure != Failure::NotSent {
            self.excused += 1;
        }
        let sends_left = self.sent < self.terms.max_attempts + self.excused.min(1);
        let again = now < self.terms.deadline
            && self.connected < CONNECTIONS_MAX
            && sends_left
            && (self.terms.repeatable || !self.may_have_run);
        match again {
            true => Next::Again,
            false => Next::GiveUp(self.verdict(now)),
        }
    }
}
