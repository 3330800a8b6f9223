//! Treatment of requests during which backend servers ended.

use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::crashers::SETTLED_MS;
use tokio::time::sleep;

use super::rejecting::RETRY_AFTER_MS;
use super::{End, Job};
use crate::connection::Connection;
use crate::crashers::FailedRun;

impl Job<'_> {
    /// Returns whether the run failed because its backend server ended, and this is the first end
    /// under the request. Such a run need not count against the request. The result is false after
    /// the deadline of the request, and also if the backend server ended but the request is then a
    /// strong suspect (see [`crate::crashers`]).
    pub(super) async fn has_ended(&self, run: &FailedRun<'_>) -> bool {
        if self.gateway.now() >= self.deadline {
            return false;
        }
        let gateway = self.gateway;
        let ended = gateway.server_ended_during(&self.features, run).await;
        if !ended || !gateway.standing(&self.features).is_strong_suspect() {
            return ended;
        }
        // The pause leaves time for two kinds of reports before the request is sent again: ends
        // under requests that ran beside it, and further ends at other gateways.
        sleep(Duration::from_millis(SETTLED_MS)).await;
        false
    }

    /// Rejects a copy of a request that may crash its backend server while another copy is being
    /// tried.
    pub(super) async fn reject_copy(&mut self, connection: &mut Connection) -> (End, String) {
        self.log.push("backend servers ended under the same request, which is being tried".into());
        self.gateway.count("refused_copies");
        let verdict = self.attempts.verdict(self.gateway.now());
        self.give_up(connection, verdict, RETRY_AFTER_MS).await
    }

    /// Rejects a request during which several backend servers ended in a row. The answer states
    /// that this attempt has not run and when the caller may retry.
    ///
    /// Rejected alternative: a status for requests that can never succeed. The request may succeed
    /// once the server is fixed, and another server may handle the same request.
    pub(super) async fn reject_crasher(
        &mut self,
        connection: &mut Connection,
        until: Millis,
    ) -> (End, String) {
        self.log.push("backend servers ended under the same request".into());
        let now = self.gateway.now();
        let for_ms = until.saturating_sub(now);
        self.gateway.log_crasher_refusal(&self.features, &self.asked.id, for_ms);
        let verdict = self.attempts.verdict(now);
        self.give_up(connection, verdict, for_ms).await
    }
}
