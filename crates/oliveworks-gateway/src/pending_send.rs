//! Requests for which a backend server was chosen but which have not been sent yet.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::rate_limits::permits::Permit;

use crate::state::Gateway;

/// A request for which a backend server was chosen but which has not been sent yet. The request
/// counts against the share that this gateway may send there. Dropping this value before the
/// request is sent releases that share.
pub struct PendingSend<'a> {
    gateway: &'a Gateway,
    target: Target,
    permit: Option<Permit>,
    sent: bool,
}

impl Gateway {
    /// Counts a request as about to be sent to a backend server.
    pub fn pending_send(&self, target: Target) -> PendingSend<'_> {
        if let Some(slow_starts) = self.slow_starts.borrow_mut().as_mut() {
            slow_starts.chosen(target);
        }
        let permit = self.rate_limits.borrow_mut().take(self.now(), target);
        PendingSend { gateway: self, target, permit, sent: false }
    }
}

impl PendingSend<'_> {
    /// Returns whether the request may be sent: the target may have named a rate limit since it was
    /// chosen, and a permit may have expired.
    pub fn may_be_sent(&mut self) -> bool {
        let now = self.gateway.now();
        let mut rate_limits = self.gateway.rate_limits.borrow_mut();
        if !rate_limits.may_send(now, self.target, self.permit) {
            self.permit = rate_limits.take(now, self.target);
        }
        rate_limits.may_send(now, self.target, self.permit)
    }

    /// Records that the request is sent now.
    pub fn sent(&mut self) {
        self.sent = true;
        if let Some(slow_starts) = self.gateway.slow_starts.borrow_mut().as_mut() {
            slow_starts.sent(self.gateway.now(), self.target);
        }
    }
}

impl Drop for PendingSend<'_> {
    fn drop(&mut self) {
        if self.sent {
            return;
        }
        if let Some(slow_starts) = self.gateway.slow_starts.borrow_mut().as_mut() {
            slow_starts.not_sent(self.target);
        }
        if let Some(permit) = self.permit {
            self.gateway.rate_limits.borrow_mut().give_back(self.target, permit);
        }
    }
}
