//! Answers of the gateway itself: requests that are rejected or given up.

use ntex::http::StatusCode;
use oliveworks_gateway_core::attempts::{Next, Verdict};
use oliveworks_gateway_core::balance::NoTarget;
use oliveworks_gateway_core::obstacles::NoPlace;

use super::reception::Reception;
use super::sending::Rejection;
use super::{End, Job};
use crate::connection::Connection;
use crate::dialect::Headers;
use crate::state::Gateway;

/// Shortest time after which a rejected caller may retry, in ms.
pub(super) const RETRY_AFTER_MS: u64 = 1_300;
/// Upper limit of the random time, in ms, added to the retry time. The jitter keeps callers that
/// were rejected together from retrying together.
const RETRY_AFTER_JITTER_MS: u64 = 1_300;
/// Shortest retry time sent by a gateway that is stopping, in ms. The time is short because other
/// gateways accept callers or this gateway is back soon.
pub(super) const RETRY_AFTER_STOPPING_MS: u64 = 200;
/// Shortest retry time sent while the configuration is too old to honour keys, in ms.
const RETRY_AFTER_STALE_MS: u64 = 1_000;

/// Answers with a verdict of the gateway itself.
pub async fn reject(
    gateway: &Gateway,
    connection: &mut Connection,
    id: &str,
    verdict: Verdict,
    retry_after_ms: u64,
) -> End {
    let answer = verdict.answer();
    gateway.count(answer.code);
    if answer.come_back && connection.has_unread_bytes() {
        // The caller has sent the next request without waiting for this refusal, and may go on so.
        gateway.count("refused_ahead");
        connection.close_after_next_answer();
    }
    let mut headers: Headers = Vec::new();
    if !id.is_empty() {
        let (name, value) = gateway.dialect.request_id_header(id);
        headers.push((name, value.into()));
    }
    if answer.come_back {
        let (name, value) = gateway
            .dialect
            .retry_after_header(retry_after_ms + rand::random_range(0..RETRY_AFTER_JITTER_MS));
        headers.push((name, value.into()));
    }
    headers.push(("content-type".into(), "application/json".into()));
    let body = format!("{{\"error\":\"{}\"}}", answer.code);
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    match connection.answer(status, &headers, body.into()).await {
        Ok(()) => End::Whole,
        Err(gone) => gone.into(),
    }
}

impl Job<'_> {
    /// Gives up after a failed attempt if the request is not sent again and no other answer is
    /// being received.
    pub(super) async fn give_up_if_last(
        &mut self,
        connection: &mut Connection,
        receptions: &[Reception<'_>],
        next: Next,
    ) -> Option<(End, String)> {
        match next {
            Next::GiveUp(verdict) if receptions.is_empty() => {
                connection.state().set_progress(self.answer_progress(receptions));
                Some(self.give_up(connection, verdict, RETRY_AFTER_MS).await)
            }
            Next::GiveUp(_) | Next::Again => None,
        }
    }

    /// Rejects a request that is not sent, and whose answer is not being received.
    pub(super) async fn reject_unsent(
        &mut self,
        connection: &mut Connection,
        rejection: Rejection,
    ) -> (End, String) {
        let (step, retry_after_ms) = match rejection {
            Rejection::Copy => return self.reject_copy(connection).await,
            Rejection::Convicted { until } => return self.reject_crasher(connection, until).await,
            Rejection::NoPlace(none) => return self.reject_without_place(connection, &none).await,
            Rejection::Stale => ("configuration too old to honour keys", RETRY_AFTER_STALE_MS),
            Rejection::NoRepeatLeft => ("no repeat left", RETRY_AFTER_MS),
        };
        self.log.push(step.into());
        let verdict = self.attempts.verdict(self.gateway.now());
        self.give_up(connection, verdict, retry_after_ms).await
    }

    /// Rejects a request for which there is no place.
    async fn reject_without_place(
        &mut self,
        connection: &mut Connection,
        none: &NoPlace,
    ) -> (End, String) {
        self.log.push(format!("no place: {:?}", none.reason));
        self.gateway.count(match none.reason {
            NoTarget::None => "refused_without_group",
            NoTarget::Full => "refused_full",
            NoTarget::Drained => "refused_drained",
            NoTarget::Cold => "refused_cold",
            NoTarget::Backoff => "refused_backoff",
            NoTarget::Limited => "refused_limited",
        });
        let now = self.gateway.now();
        if none.reason == NoTarget::Full {
            // A stream that its caller does not take keeps its backend server busy.
            self.gateway.caller_connections.evict_stalled(now);
        }
        let retry_after_ms = match none.reason {
            NoTarget::Backoff | NoTarget::Limited => none.known_ms(now).unwrap_or(RETRY_AFTER_MS),
            _ => RETRY_AFTER_MS,
        };
        self.give_up(connection, self.attempts.verdict(now), retry_after_ms).await
    }

    /// Answers that the request is given up. A stream that has begun can get no answer and is torn.
    pub(super) async fn give_up(
        &mut self,
        connection: &mut Connection,
        verdict: Verdict,
        retry_after_ms: u64,
    ) -> (End, String) {
        if self.head_sent {
            self.gateway.count("streams_torn");
            return (End::Torn, format!("torn: {verdict:?}"));
        }
        let id = self.asked.id.clone();
        let end = reject(self.gateway, connection, &id, verdict, retry_after_ms).await;
        (end, format!("refused: {verdict:?}"))
    }
}
