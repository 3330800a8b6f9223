//! What becomes of a request under which backend servers ended.

use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::crashers::SETTLED_MS;
use tokio::time::sleep;

use super::{COME_BACK_MS, End, Job};
use crate::connection::Connection;
use crate::crashers::FailedRun;
use crate::places::Place;

impl Job<'_> {
    /// Whether the backend server of a run that failed has ended, so that the run need not count against the request: not
    /// again if others had ended under it before.
    pub(super) async fn has_ended(&self, run: &FailedRun<'_>) -> bool {
        if self.gateway.now() >= self.deadline {
            return false;
        }
        let gateway = self.gateway;
        let ended = gateway.ended_under(self.fingerprint, run).await;
        if !ended || !gateway.standing(self.fingerprint).is_strong_suspect() {
            return ended;
        }
        // Before it is sent on, those that ran beside it are heard of, and more of them may have ended elsewhere.
        sleep(Duration::from_millis(SETTLED_MS)).await;
        false
    }

    /// Notes that an attempt was taken back.
    pub(super) fn take_back(&mut self, place: &Place, sent_before: u32) {
        let now = self.gateway.now();
        self.log.push(format!("taken back from {} at {} ms", place.server, now - self.received));
        self.gateway.count("crashers_taken_back");
        let was_sent = self.attempts.sent() > sent_before;
        let failure = if was_sent { Failure::Lost } else { Failure::NotSent };
        self.attempts.failed(now, failure, false);
    }

    /// Refuses a copy of a request that may crash its backend server, while another one is tried.
    pub(super) async fn refuse_copy(&mut self, connection: &mut Connection) -> (End, String) {
        self.log.push("backend servers ended under the same request, which is being tried".into());
        self.gateway.count("refused_copies");
        let verdict = self.attempts.verdict(self.gateway.now());
        self.give_up(connection, verdict, COME_BACK_MS).await
    }

    /// Refuses a request under which backend servers ended one after the other: this try has not run, and tells its
    /// caller when one may. Rejected: a status for a request that is never right (it may be once the server is mended, and
    /// it is the same request that another server may bear).
    pub(super) async fn refuse_crasher(
        &mut self,
        connection: &mut Connection,
        until: Millis,
    ) -> (End, String) {
        self.log.push("backend servers ended under the same request".into());
        let now = self.gateway.now();
        let for_ms = until.saturating_sub(now);
        self.gateway.crasher_refused(self.fingerprint, &self.asked.id, for_ms);
        let verdict = self.attempts.verdict(now);
        self.give_up(connection, verdict, for_ms).await
    }
}
