//! Forwards answers to the caller.

use std::time::Duration;

use bytes::Bytes;
use ntex::http::StatusCode;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::configuration::Repeat;
use oliveworks_gateway_core::group_id::GroupId;
use tokio::time::sleep;

use super::Job;
use super::reception::{Data, Head, Reception};
use crate::connection::{Connection, Disconnected};
use crate::dialect::{AnswerInfo, Headers};
use crate::events::Event;
use crate::exchange::MISDIRECTED;
use crate::host_statements::Sender;
use crate::memory_budget::MemoryShare;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "proxy-authenticate",
];

/// Time between two attempts to get memory for an answer, in ms.
const MEMORY_RETRY_MS: u64 = 50;

/// Statuses that promise callers that their request has not run.
const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// Returns whether a header concerns a single connection.
pub(super) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// What follows from data of an answer.
pub(super) enum Forwarded {
    /// Nothing of the data was news for the caller.
    Nothing,
    /// The caller received a part of the answer, which thereby takes precedence over others.
    Part,
    /// The answer is complete here, and is to be delivered.
    Whole(WholeAnswer),
    /// The stream is complete here, and its end is to be delivered.
    StreamEnded,
    /// The caller has disconnected.
    CallerGone,
    /// The attempt has failed.
    Failed(Failure),
}

/// A complete answer.
pub(super) struct WholeAnswer {
    pub status: StatusCode,
    pub headers: Headers,
    pub body: Bytes,
    /// Memory that the body holds.
    pub share: MemoryShare,
}

impl From<Disconnected> for Forwarded {
    fn from(_: Disconnected) -> Forwarded {
        Forwarded::CallerGone
    }
}

impl Job<'_> {
    /// Processes data of an answer, and forwards what is news for the caller. `others` is the number
    /// of other answers that are awaited.
    pub(super) async fn forward_data(
        &mut self,
        connection: &mut Connection,
        reception: &mut Reception<'_>,
        data: Data,
        others: usize,
    ) -> Forwarded {
        match data {
            Data::Head(head) => self.process_head(reception, head, others),
            Data::Events(events) => self.forward_events(connection, reception, &events).await,
            Data::Part(part) => self.keep_part(reception, &part).await,
            Data::End if reception.is_stream() => self.end_stream(connection, reception).await,
            Data::End => self.take_whole(reception),
        }
    }

    fn process_head(
        &mut self,
        reception: &mut Reception<'_>,
        head: Head,
        others: usize,
    ) -> Forwarded {
        let status = head.status;
        let answered = self.gateway.dialect.parse_answer(status, &head.headers);
        if self.is_from_target(status, &answered) {
            let sender = Sender {
                server: &reception.place.server,
                incarnation: reception.incarnation,
                sent_at: reception.sent,
                to_request: true,
            };
            self.gateway.process_statements(sender, &answered, &self.asked.id);
        }
        if let Some(failure) = self.failure_of_head(status, &answered, others) {
            if status == MISDIRECTED
                && let Some(epoch) = reception.place.epoch
            {
                // The target is not the head of the group, or its address belongs to another
                // backend server. The leader finds out by a probe.
                self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
            }
            return Forwarded::Failed(failure);
        }
        reception.head = Some(head);
        match reception.is_stream() {
            // The host has accepted the request, which is no news for the caller yet.
            true => reception.since = self.gateway.now(),
            false => self.record_news(reception),
        }
        Forwarded::Nothing
    }

    /// Returns whether an answer belongs to this request and comes from the intended backend
    /// server, so that its statements about the sender are valid.
    fn is_from_target(&self, status: u16, answered: &AnswerInfo) -> bool {
        status != MISDIRECTED && answered.id.as_deref().is_none_or(|id| id == self.asked.id)
    }

    /// Returns the failure of the attempt if the head of the answer alone decides it.
    fn failure_of_head(
        &self,
        status: u16,
        answered: &AnswerInfo,
        others: usize,
    ) -> Option<Failure> {
        let answers_this_request = answered.id.as_deref().is_none_or(|id| id == self.asked.id);
        let success = (200..300).contains(&status);
        // No request asks for another protocol, and no other interim response ends an exchange.
        let is_final = status >= 200;
        let is_answer = answers_this_request && is_final && !answered.encoded;
        if !is_answer || (success && !answered.signed) {
            return Some(Failure::Lost);
        }
        if answered.not_run || status == MISDIRECTED {
            return Some(Failure::Refused);
        }
        if self.route.repeat == Repeat::Once && NOT_RUN_STATUSES.contains(&status) {
            // The host has not said so, and the caller may send the request again.
            return Some(Failure::Failed);
        }
        let server_error = status >= 500 && self.route.repeat == Repeat::Idempotent;
        let may_succeed = others > 0 || self.attempts.sent() < self.route.max_attempts;
        let is_failure = self.head_sent && !success || server_error && may_succeed;
        is_failure.then_some(Failure::Failed)
    }

    /// Records that a part of an answer arrived that is news for the caller. Other bytes are no
    /// sign that the host is sound.
    fn record_news(&mut self, reception: &mut Reception<'_>) {
        let (now, target) = (self.gateway.now(), reception.target());
        reception.since = now;
        self.record_end_of_silence(reception);
        self.gateway.balance.borrow_mut().progress(now, target);
        self.gateway.suspensions.borrow_mut().record_data(target);
        self.gateway.record_reached(&self.service, target);
    }

    /// Records the pause before the latest data of a stream that has begun.
    fn record_pause(&mut self, reception: &Reception<'_>, before: Millis) {
        if reception.outstanding.first_event.is_none() {
            return;
        }
        let pause_ms = reception.since - before;
        self.served.longest_gap_ms = self.served.longest_gap_ms.max(pause_ms);
        let mut speeds = self.gateway.speeds.borrow_mut();
        speeds.record_pause(reception.since, reception.target(), pause_ms);
    }

    async fn forward_events(
        &mut self,
        connection: &mut Connection,
        reception: &mut Reception<'_>,
        events: &[u8],
    ) -> Forwarded {
        let before = reception.since;
        self.record_news(reception);
        self.record_pause(reception, before);
        if reception.outstanding.first_event.is_none() {
            reception.outstanding.first_event = Some(reception.since);
            let mut balance = self.gateway.balance.borrow_mut();
            balance.began(reception.target(), self.asked.prompt_tokens);
        }
        self.record_position(reception.order.position());
        match self.forward(connection, reception, events).await {
            Ok(()) => Forwarded::Part,
            Err(gone) => gone.into(),
        }
    }

    async fn end_stream(
        &mut self,
        connection: &mut Connection,
        reception: &mut Reception<'_>,
    ) -> Forwarded {
        if reception.is_cut() {
            return Forwarded::Failed(Failure::Lost);
        }
        let before = reception.since;
        self.record_news(reception);
        self.record_pause(reception, before);
        let last = match reception.take_rest() {
            Ok(last) => last,
            Err(failure) => return Forwarded::Failed(failure),
        };
        self.gateway.record_completion(&self.features);
        self.record_numbering(reception);
        let is_complete = self.head_sent && last.is_empty();
        if !is_complete && self.forward(connection, reception, &last).await.is_err() {
            return Forwarded::CallerGone;
        }
        Forwarded::StreamEnded
    }

    /// Records how the ids of a complete stream rise.
    fn record_numbering(&self, reception: &Reception<'_>) {
        if let Some(shown) = reception.order.shown_numbering() {
            self.gateway.numberings.borrow_mut().insert(self.service.clone(), shown);
        }
        if reception.order.is_irregular() {
            self.gateway.count("streams_with_irregular_ids");
            Event::new("stream_has_irregular_ids")
                .with("host", &*reception.place.server)
                .with("request", self.asked.id.as_str())
                .write();
        }
    }

    /// Keeps a part of an answer that must be complete before the caller receives any of it. If the
    /// memory for answers is used up, the backend server waits until there is some.
    async fn keep_part(&mut self, reception: &mut Reception<'_>, part: &[u8]) -> Forwarded {
        if reception.whole.length_with(part.len()) > self.gateway.settings.requests.answer_max {
            return Forwarded::Failed(Failure::Lost);
        }
        self.record_news(reception);
        while reception.whole.append(part).is_err() {
            let now = self.gateway.now();
            self.gateway.caller_connections.evict_stalled(now);
            if now >= self.deadline {
                self.log.push("no memory for its answer".into());
                return Forwarded::Failed(Failure::Lost);
            }
            sleep(Duration::from_millis(MEMORY_RETRY_MS)).await;
        }
        Forwarded::Nothing
    }

    /// Returns a complete answer, so that the backend server is free while it is delivered.
    fn take_whole(&mut self, reception: &mut Reception<'_>) -> Forwarded {
        let Some(head) = reception.head.take() else {
            return Forwarded::Failed(Failure::Lost);
        };
        self.record_news(reception);
        if (200..300).contains(&head.status) {
            self.gateway.record_completion(&self.features);
        }
        let (body, share) = reception.take_whole();
        Forwarded::Whole(WholeAnswer {
            status: StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: end_to_end_headers(&head.headers),
            body,
            share,
        })
    }

    async fn forward(
        &mut self,
        connection: &mut Connection,
        reception: &Reception<'_>,
        bytes: &[u8],
    ) -> Result<(), Disconnected> {
        if !self.head_sent {
            let headers = reception.head.as_ref().map(|head| end_to_end_headers(&head.headers));
            connection.begin(StatusCode::OK, &headers.unwrap_or_default())?;
            self.head_sent = true;
            self.served.first_after_ms = self.gateway.now() - self.received;
            self.log.push(format!("first event at {} ms", self.served.first_after_ms));
        }
        match bytes.is_empty() {
            true => Ok(()),
            false => connection.part(bytes).await,
        }
    }
}

fn end_to_end_headers(headers: &Headers) -> Headers {
    headers.iter().filter(|(name, _)| !is_hop_by_hop(name)).cloned().collect()
}
