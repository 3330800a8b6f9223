//! State of one request at its entry, across all attempts.
//!
//! The entry holds a [`Relay`] for each request, reports events to it, and performs the returned
//! [`Next`]. The relay decides whether another attempt is allowed, which attempt has to be revoked
//! first, and which outcome may be reported to the caller.
//!
//! "Not run" is reported only if every attempt was rejected before it began or was revoked. A
//! request with a caller's key is never reported as "not run": an earlier request with the same key
//! may have run, and only the key's home can know whether that request ran.

use crate::answer::{Assembly, AttemptId, PieceAction};
use crate::chart::Machine;
use crate::charts;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::id::{Epoch, Millis, RequestId};
use crate::ledger::Revoked;

/// Next action of the entry for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Choose a group that was not tried yet and hand the request over.
    Send,
    /// Wait for the answer.
    Wait,
    /// Ask the agent of the current attempt whether the request has begun, and stop it if not.
    Revoke,
    /// The answer is complete.
    Answered,
    /// Report this refusal to the caller at once.
    Refuse(Refusal),
}

/// Conditions under which a request may be attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTerms {
    /// Whether the request may run again after it may have run.
    pub repeatable: bool,
    /// Whether the request has a caller's key.
    pub has_key: bool,
    /// Latest time at which the request may end.
    pub deadline: Millis,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

/// State of one request. The `retry_allowed` argument of the methods states whether the entry can
/// make another attempt and its retry budget allows one.
#[derive(Clone, Debug)]
pub struct Relay {
    terms: RequestTerms,
    id: RequestId,
    machine: Machine,
    assembly: Assembly,
    /// Groups that the next attempt should avoid.
    tried: Vec<Epoch>,
    attempts: u32,
    may_have_run: bool,
    /// Refusal for the caller in case the current attempt, which is being revoked, may have run.
    lost: Option<Refusal>,
}

impl Relay {
    /// Returns the state of a request that was admitted.
    pub fn new(id: RequestId, terms: RequestTerms) -> Relay {
        let mut machine = Machine::new(charts::request());
        machine.fire("admit");
        Relay {
            terms,
            id,
            machine,
            assembly: Assembly::new(AttemptId { request: id, attempt: 0 }),
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            lost: None,
        }
    }

    /// Returns the state of the request chart.
    pub fn state(&self) -> &'static str {
        self.machine.state()
    }

    /// Returns the groups that the next attempt should avoid.
    pub fn tried(&self) -> &[Epoch] {
        &self.tried
    }

    /// Returns the number of pieces passed on to the caller.
    pub fn passed(&self) -> u64 {
        self.assembly.passed()
    }

    /// Returns the number of attempts made.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Records that the request was handed to a group.
    pub fn sent(&mut self, epoch: Epoch, attempt: u64) -> AttemptId {
        self.attempts += 1;
        self.tried.push(epoch);
        self.lost = None;
        self.assembly.retry(attempt);
        self.machine.fire("send");
        AttemptId { request: self.id, attempt }
    }

    /// Records a piece of the answer. The caller passes it on if the result is
    /// [`PieceAction::Pass`], and calls [`Relay::failed`] after [`PieceAction::Gap`].
    pub fn piece(&mut self, from: AttemptId, number: u64) -> PieceAction {
        let action = self.assembly.piece(from, number);
        if action == PieceAction::Pass {
            self.machine.fire("piece");
        }
        action
    }

    /// Records the end of the answer.
    pub fn end(&mut self, now: Millis, from: AttemptId, pieces: u64, retry_allowed: bool) -> Next {
        match self.assembly.end(from, pieces) {
            PieceAction::Pass => {
                self.machine.fire("end");
                Next::Answered
            }
            PieceAction::Drop => Next::Wait,
            PieceAction::Gap => self.failed(now, "the answer had a gap", retry_allowed),
        }
    }

    /// Records that the agent rejected the current attempt. `hinted` is set if the agent named the
    /// leader to ask instead, in which case the group is not at fault.
    pub fn refused(
        &mut self,
        now: Millis,
        refusal: Refusal,
        hinted: bool,
        retry_allowed: bool,
    ) -> Next {
        if hinted {
            self.tried.pop();
        }
        if refusal.ran != Ran::No {
            self.may_have_run = true;
        }
        let is_transient = matches!(
            refusal.kind,
            ErrorKind::Unavailable
                | ErrorKind::Overloaded
                | ErrorKind::ContactLost
                | ErrorKind::BackendFailed
        );
        let may_repeat = refusal.ran == Ran::No || self.terms.repeatable;
        if is_transient && may_repeat && self.may_retry(now, retry_allowed) {
            self.machine.fire("retry");
            return Next::Send;
        }
        self.give_up(refusal)
    }

    /// Records that contact with the agent was lost, or that its answer is invalid.
    pub fn failed(&mut self, now: Millis, why: &str, retry_allowed: bool) -> Next {
        let refusal = Refusal::new(ErrorKind::ContactLost, Ran::Unknown, why);
        if !self.terms.repeatable {
            self.lost = Some(refusal);
            return Next::Revoke;
        }
        self.may_have_run = true;
        if self.may_retry(now, retry_allowed) {
            self.machine.fire("retry");
            return Next::Send;
        }
        self.give_up(refusal)
    }

    /// Records the agent's answer to the revocation, or `None` if it did not answer.
    pub fn revoked(&mut self, now: Millis, outcome: Option<Revoked>, retry_allowed: bool) -> Next {
        let lost = self.lost.take();
        let refusal =
            lost.unwrap_or_else(|| Refusal::new(ErrorKind::ContactLost, Ran::Unknown, "lost"));
        if outcome != Some(Revoked::NotRun) {
            self.may_have_run = true;
            return self.give_up(refusal);
        }
        if self.may_retry(now, retry_allowed) {
            self.machine.fire("retry");
            return Next::Send;
        }
        let reason = "contact was lost before it began, and it was stopped from beginning";
        self.give_up(Refusal::new(ErrorKind::ContactLost, Ran::No, reason))
    }

    /// Records that no group can be chosen.
    pub fn no_group(&mut self) -> Next {
        let reason = "no replica group serves this now";
        self.give_up(Refusal::new(ErrorKind::Unavailable, Ran::No, reason))
    }

    /// Records that the deadline passed. `begun` is set if any attempt may have begun.
    pub fn deadline(&mut self, begun: bool) -> Next {
        self.may_have_run |= begun;
        self.give_up(Refusal::new(ErrorKind::DeadlineExceeded, Ran::No, "the deadline passed"))
    }

    /// Records that the caller disconnected.
    pub fn cancelled(&mut self) {
        self.machine.fire("cancel");
    }

    fn may_retry(&self, now: Millis, retry_allowed: bool) -> bool {
        retry_allowed && self.attempts < self.terms.max_attempts && now < self.terms.deadline
    }

    /// Returns the final refusal. Uncertainty about any attempt makes the whole request uncertain.
    fn give_up(&mut self, mut refusal: Refusal) -> Next {
        let uncertain = self.may_have_run || self.terms.has_key;
        if refusal.ran == Ran::No && uncertain {
            refusal.ran = Ran::Unknown;
        }
        if !self.machine.fire("refuse") {
            self.machine.fire("fail");
        }
        Next::Refuse(refusal)
    }
}
