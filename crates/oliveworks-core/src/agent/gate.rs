//! Gate: the checks before a request is handed to the backend server, and before a piece of its
//! answer is sent back.

use super::Agent;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::id::{Epoch, Millis, View};
use crate::lease::Holder;
use crate::ledger::{Begin, Handover, Kept, Now, Revoked};
use crate::message::Fence;

/// Permission to run a request, valid only in the view in which it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPermit {
    epoch: Epoch,
    view: View,
}

impl RunPermit {
    /// Returns the fence for the engine.
    pub fn fence(&self) -> Fence {
        Fence::new(self.epoch, self.view)
    }

    /// Returns the epoch in which the permission was given.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

impl Agent {
    /// Returns whether the group serves through this host at `now`.
    pub fn is_serving(&self, now: Millis) -> bool {
        self.machine.is("serving") && self.holder.as_ref().is_some_and(|h| h.is_complete(now))
    }

    /// Decides whether a request may be handed to the engine. [`Begin::Run`] comes with a permit,
    /// and the request counts as having run from then on.
    pub fn gate(
        &mut self,
        now: Now,
        epoch: Epoch,
        handover: &Handover,
    ) -> (Begin, Option<RunPermit>) {
        if let Some(known) = self.ledger.recall(now.mono, handover) {
            return (known, None);
        }
        let view = self.led_view().map(|(_, view)| view);
        let begin = match (self.refusal_unless_serving(now.mono, epoch, handover), view) {
            (None, Some(_)) => self.ledger.begin(now, handover),
            (None, None) => Begin::Refuse(unavailable("no view")),
            (Some(refusal), _) => Begin::Refuse(refusal),
        };
        match (begin, view) {
            (Begin::Run, Some(view)) => (Begin::Run, Some(RunPermit { epoch, view })),
            (Begin::Refuse(mut refusal), _) => {
                if refusal.ran == Ran::No && !self.ledger.stop(handover) {
                    refusal.ran = Ran::Unknown;
                }
                (Begin::Refuse(refusal), None)
            }
            (begin, _) => (begin, None),
        }
    }

    pub(super) fn refusal_unless_serving(
        &self,
        now: Millis,
        epoch: Epoch,
        handover: &Handover,
    ) -> Option<Refusal> {
        let assigned = match &self.assigned {
            Some(a) if a.epoch == epoch => a,
            _ => return Some(unavailable("the group has ended or is not known here yet")),
        };
        if self.machine.is("draining") || self.machine.is("drained") || self.leaving {
            return Some(unavailable("the group is draining"));
        }
        if !self.is_serving(now) {
            return Some(unavailable("the group is not whole or not led here"));
        }
        if handover.key.is_some_and(|key| key.homes_at != assigned.homes_at) {
            return Some(unavailable("the keys' homes were dealt out anew"));
        }
        if self.ledger.running() >= assigned.concurrent {
            let reason = "the replica runs as much as it may";
            return Some(Refusal::new(ErrorKind::Overloaded, Ran::No, reason));
        }
        None
    }

    /// Returns whether a piece of an answer may be sent back. The view that began the request must
    /// still be complete at `now`, which the caller reads after the piece arrived from the engine.
    pub fn may_pass(&self, now: Millis, permit: &RunPermit) -> bool {
        let same =
            |h: &Holder| h.epoch == permit.epoch && h.view == permit.view && h.is_complete(now);
        self.holder.as_ref().is_some_and(same)
    }

    /// Records the end of a request.
    pub fn finish(&mut self, now: Millis, handover: &Handover, kept: Option<Kept>) {
        self.ledger.finish(now, handover.id, kept);
    }

    /// Prevents a request from running if it has not begun. Called for an entry that lost contact
    /// after it handed the request over.
    pub fn revoke(&mut self, now: Millis, handover: &Handover) -> Revoked {
        self.ledger.revoke(now, handover)
    }
}

fn unavailable(reason: &str) -> Refusal {
    Refusal::new(ErrorKind::Unavailable, Ran::No, reason)
}
