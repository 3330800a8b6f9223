//! A single attempt of a request at one backend server or replica group.

use std::cell::Cell;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ntex::http::StatusCode;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::Failure;
use oliveworks_gateway_core::configuration::Repeat;
use oliveworks_gateway_core::events::{Pass, Splitter};
use oliveworks_gateway_core::group_id::GroupId;

use super::Job;
use crate::connection::{Connection, Disconnected};
use crate::dialect::{AnswerInfo, ForwardInfo, Headers};
use crate::events::Event;
use crate::exchange::{Exchange, MISDIRECTED, NoConnection, headers_of};
use crate::host_statements::Sender;
use crate::pending_send::PendingSend;
use crate::places::Place;

/// Silence, in ms, after which a repeatable request without a model is sent to another backend
/// server.
const PLAIN_SILENCE_MS: u64 = 400;
/// Factor on the goal of the route. The product is used in place of `PLAIN_SILENCE_MS` if it is
/// longer.
const PLAIN_SILENCE_GOALS: u64 = 2;
/// Time before the deadline at which the final answer is sent, in ms.
const DEADLINE_MARGIN_MS: u64 = 30;
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

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// The caller has received the complete answer.
    Completed,
    /// The attempt failed; `gone` is whether the backend server has ended.
    Failed { failure: Failure, gone: bool },
    /// The caller has disconnected.
    CallerGone,
}

impl Job<'_> {
    fn build_request(&self, place: &Place) -> Option<Request<Full<Bytes>>> {
        let now = self.gateway.now();
        let info = ForwardInfo {
            deadline_ms: self.deadline.saturating_sub(now).max(1),
            server: &place.server,
            workspace: self.workspace.as_deref(),
            last_event: self.progress.last(),
            priority: self.priority.filter(|_| self.model.is_some()),
        };
        let mut builder = Request::builder();
        builder = builder.method(self.request.method.as_str()).uri(&self.request.target);
        for (name, value) in self.gateway.dialect.outgoing_headers(&self.request.headers, &info) {
            if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
                builder = builder.header(name, value.as_ref());
            }
        }
        builder.body(Full::new(self.request.body.clone())).ok()
    }

    /// Sends the request to one place and forwards the answer.
    pub(super) async fn attempt(
        &mut self,
        connection: &mut Connection,
        place: &Place,
        mut pending_send: PendingSend<'_>,
        first_event: &Cell<Option<Millis>>,
    ) -> AttemptOutcome {
        self.attempts.connecting();
        let within_ms = self.gateway.settings.requests.connect_ms;
        let mut exchange = match Exchange::open(place.address, within_ms).await {
            Ok(exchange) => exchange,
            Err(why) => {
                self.record_connect_failure(place, why);
                return AttemptOutcome::Failed {
                    failure: Failure::NotSent,
                    gone: why == NoConnection::Refused,
                };
            }
        };
        // While the connection was being opened, keys may have been revoked, a drain may have
        // begun, or the host may have lowered its limit.
        let may_send = self.may_send()
            && self.gateway.may_still_send(place, self.allowed())
            && pending_send.may_be_sent();
        if !may_send {
            return AttemptOutcome::Failed { failure: Failure::NotSent, gone: false };
        }
        let Some(request) = self.build_request(place) else {
            return AttemptOutcome::Failed { failure: Failure::NotSent, gone: false };
        };
        self.attempts.sending();
        pending_send.sent();
        let incarnation = self.gateway.directory.borrow().born(&place.server);
        self.gateway.count_send(place.candidate.target);
        let sent = self.gateway.now();
        let response = match self.receive_head(&mut exchange, request, place, sent).await {
            Ok(response) => response,
            Err(failure) => return AttemptOutcome::Failed { failure, gone: false },
        };
        let status = response.status().as_u16();
        let headers = headers_of(&response);
        let answered = self.gateway.dialect.parse_answer(status, &headers);
        if self.is_from_target(status, &answered) {
            let server = &*place.server;
            let sender = Sender { server, incarnation, sent_at: sent, to_request: true };
            self.gateway.process_statements(sender, &answered, &self.asked.id);
        }
        if let Some(failed) = self.outcome_of_head(status, &answered) {
            if status == MISDIRECTED
                && let Some(epoch) = place.epoch
            {
                // The target is not the head of the group, or its address belongs to another
                // backend server. The leader finds out by a probe.
                self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
            }
            return failed;
        }
        if self.route.stream && (200..300).contains(&status) {
            return self
                .relay_stream(connection, exchange, response, headers, place, first_event)
                .await;
        }
        self.relay_whole(connection, exchange, response, headers, place).await
    }

    /// Returns whether an answer belongs to this request and comes from the intended backend
    /// server, so that its statements about the sender are valid.
    fn is_from_target(&self, status: u16, answered: &AnswerInfo) -> bool {
        status != MISDIRECTED && answered.id.as_deref().is_none_or(|id| id == self.asked.id)
    }

    fn record_connect_failure(&self, place: &Place, why: NoConnection) {
        let now = self.gateway.now();
        self.gateway.suspensions.borrow_mut().suspend(now, place.candidate.target);
        self.gateway.record_unreachable(&place.server);
        if let Some(epoch) = place.epoch {
            Event::new("head_unreachable")
                .with("host", &*place.server)
                .with("epoch", epoch)
                .debug("why", why)
                .with("request", self.asked.id.as_str())
                .write();
            self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
        }
    }

    /// Returns the outcome of the attempt if the head of the answer alone decides it.
    fn outcome_of_head(&self, status: u16, answered: &AnswerInfo) -> Option<AttemptOutcome> {
        let answers_this_request = answered.id.as_deref().is_none_or(|id| id == self.asked.id);
        let success = (200..300).contains(&status);
        if !answers_this_request || answered.encoded || (success && !answered.signed) {
            return Some(AttemptOutcome::Failed { failure: Failure::Lost, gone: false });
        }
        if answered.not_run || status == MISDIRECTED {
            return Some(AttemptOutcome::Failed { failure: Failure::Refused, gone: false });
        }
        let server_error = status >= 500 && self.route.repeat == Repeat::Idempotent;
        let has_attempt_left = self.attempts.sent() < self.route.max_attempts && !self.head_sent;
        if self.head_sent && !success || server_error && has_attempt_left {
            return Some(AttemptOutcome::Failed { failure: Failure::Failed, gone: false });
        }
        None
    }

    /// Sends the request and waits for the head of its answer.
    async fn receive_head(
        &self,
        exchange: &mut Exchange,
        request: Request<Full<Bytes>>,
        place: &Place,
        sent: Millis,
    ) -> Result<Response<Incoming>, Failure> {
        let answer = exchange.send(request);
        let answer = self.unless_stalled(place, sent, answer);
        answer.await?.map_err(|_| Failure::Lost)
    }

    /// Waits for data from a place until the place counts as stalled or the deadline is near.
    async fn unless_stalled<T>(
        &self,
        place: &Place,
        since: Millis,
        wait: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let mut wait = Box::pin(wait);
        loop {
            let now = self.gateway.now();
            let give_up = self.deadline.saturating_sub(DEADLINE_MARGIN_MS);
            if now >= give_up {
                return Err(Failure::Lost);
            }
            let stalled_at = self.stalled_at(place, since);
            if stalled_at.is_some_and(|at| now >= at) {
                self.record_stall(place, now);
                return Err(Failure::Stalled);
            }
            let until = stalled_at.map_or(give_up, |at| at.min(give_up));
            if let Ok(value) = self.gateway.within(until - now, &mut wait).await {
                return Ok(value);
            }
        }
    }

    /// Returns the time at which a place counts as stalled if nothing arrives from it.
    fn stalled_at(&self, place: &Place, since: Millis) -> Option<Millis> {
        if self.route.repeat != Repeat::Idempotent {
            return None;
        }
        let base = since.max(self.gateway.awake_since());
        if self.model.is_none() {
            // A request with no attempt left waits until its deadline.
            let has_attempt_left = self.attempts.sent() < self.route.max_attempts;
            let silence_ms = PLAIN_SILENCE_MS.max(self.route.goal_ms * PLAIN_SILENCE_GOALS);
            return has_attempt_left.then_some(base + silence_ms);
        }
        let balance = self.gateway.balance.borrow();
        Some(balance.stalled_at(place.candidate.target, base, self.pass_ms))
    }

    fn record_stall(&self, place: &Place, now: Millis) {
        if let Some(epoch) = place.epoch {
            let target = place.candidate.target;
            if !self.gateway.suspensions.borrow().is_suspended(now, target) {
                let last = self.gateway.balance.borrow().last_progress(target).unwrap_or(now);
                Event::new("group_stands_still")
                    .with("host", &*place.server)
                    .with("epoch", epoch)
                    .with("silent_ms", now - last)
                    .with("longest_pass_ms", self.pass_ms)
                    .with("request", self.asked.id.as_str())
                    .write();
                self.gateway.suspensions.borrow_mut().suspend(now, target);
            }
            self.gateway.record_unreachable(&place.server);
            self.gateway.report_stalled_group(GroupId::of(&self.service, epoch));
        }
    }

    fn record_progress(&self, place: &Place) -> Millis {
        let now = self.gateway.now();
        self.gateway.balance.borrow_mut().progress(now, place.candidate.target);
        self.gateway.suspensions.borrow_mut().record_data(place.candidate.target);
        self.gateway.record_reached(&self.service, place.candidate.target);
        now
    }

    fn without_hop_by_hop_headers(&self, headers: Headers) -> Headers {
        let kept = headers.into_iter().filter(|(n, _)| !HOP_BY_HOP_HEADERS.contains(&n.as_str()));
        kept.collect()
    }

    /// Forwards an answer that must be complete before the caller receives any of it.
    async fn relay_whole(
        &mut self,
        connection: &mut Connection,
        mut exchange: Exchange,
        mut response: Response<Incoming>,
        headers: Headers,
        place: &Place,
    ) -> AttemptOutcome {
        let since = self.record_progress(place);
        let max = self.gateway.settings.requests.answer_max;
        let read = exchange.read_body(response.body_mut(), max);
        let body = match self.unless_stalled(place, since, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return AttemptOutcome::Failed { failure: Failure::Lost, gone: false },
            Err(failure) => return AttemptOutcome::Failed { failure, gone: false },
        };
        if response.status().is_success() {
            self.gateway.record_completion(&self.features);
        }
        let status = StatusCode::from_u16(response.status().as_u16());
        let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
        match connection.answer(status, &self.without_hop_by_hop_headers(headers), body).await {
            Ok(()) => AttemptOutcome::Completed,
            Err(Disconnected) => AttemptOutcome::CallerGone,
        }
    }

    /// Forwards a stream event by event.
    async fn relay_stream(
        &mut self,
        connection: &mut Connection,
        mut exchange: Exchange,
        mut response: Response<Incoming>,
        headers: Headers,
        place: &Place,
        first_event: &Cell<Option<Millis>>,
    ) -> AttemptOutcome {
        let mut since = self.record_progress(place);
        let mut splitter = Splitter::default();
        loop {
            let next = exchange.next(response.body_mut());
            let part = match self.unless_stalled(place, since, next).await {
                Ok(Ok(part)) => part,
                Ok(Err(_)) => {
                    return AttemptOutcome::Failed { failure: Failure::Lost, gone: false };
                }
                Err(failure) => return AttemptOutcome::Failed { failure, gone: false },
            };
            let before = since;
            since = self.record_progress(place);
            if first_event.get().is_some() {
                self.served.longest_gap_ms = self.served.longest_gap_ms.max(since - before);
                let target = place.candidate.target;
                self.gateway.speeds.borrow_mut().record_pause(since, target, since - before);
            }
            let Some(part) = part else { break };
            let Ok(events) = splitter.push(&part) else {
                return AttemptOutcome::Failed { failure: Failure::Lost, gone: false };
            };
            if !events.is_empty() && first_event.get().is_none() {
                first_event.set(Some(since));
                self.gateway
                    .balance
                    .borrow_mut()
                    .began(place.candidate.target, self.asked.prompt_tokens);
            }
            let mut bytes = Vec::new();
            for event in events {
                match self.progress.next(event.id) {
                    Pass::On => bytes.extend_from_slice(&event.bytes),
                    Pass::Known => {}
                    Pass::Gap => {
                        return AttemptOutcome::Failed { failure: Failure::Lost, gone: false };
                    }
                }
            }
            if !bytes.is_empty() && self.forward(connection, &headers, &bytes).await.is_err() {
                return AttemptOutcome::CallerGone;
            }
        }
        if !splitter.rest().is_empty() {
            return AttemptOutcome::Failed { failure: Failure::Lost, gone: false };
        }
        self.gateway.record_completion(&self.features);
        if !self.head_sent && self.forward(connection, &headers, &[]).await.is_err() {
            return AttemptOutcome::CallerGone;
        }
        match connection.end().await {
            Ok(()) => AttemptOutcome::Completed,
            Err(Disconnected) => AttemptOutcome::CallerGone,
        }
    }

    async fn forward(
        &mut self,
        connection: &mut Connection,
        headers: &Headers,
        bytes: &[u8],
    ) -> Result<(), Disconnected> {
        if !self.head_sent {
            connection.begin(StatusCode::OK, &self.without_hop_by_hop_headers(headers.clone()))?;
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
