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

use super::Job;
use crate::connection::{Connection, Gone};
use crate::dialect::{Answered, Headers, Said};
use crate::events::Event;
use crate::exchange::{Exchange, MISDIRECTED, NoConnection, headers_of};
use crate::host_says::Sender;
use crate::pending_send::PendingSend;
use crate::places::Place;

/// Silence, in ms, after which a repeatable request without a model is sent to another backend
/// server.
const PLAIN_SILENCE_MS: u64 = 400;
/// Factor on the goal of the route; the product replaces the silence above if it is longer.
const PLAIN_SILENCE_GOALS: u64 = 2;
/// Time before the deadline at which the final answer is sent, in ms.
const DEADLINE_MARGIN_MS: u64 = 30;
/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
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
pub(super) enum Tried {
    /// The caller has received the complete answer.
    Done,
    /// The attempt failed; `gone` is whether the backend server has ended.
    Failed { failure: Failure, gone: bool },
    /// The caller has disconnected.
    Left,
}

impl Job<'_> {
    fn outgoing(&self, place: &Place) -> Option<Request<Full<Bytes>>> {
        let now = self.gateway.now();
        let said = Said {
            deadline_ms: self.deadline.saturating_sub(now).max(1),
            server: &place.server,
            workspace: self.workspace.as_deref(),
            last_event: self.progress.last(),
            priority: self.priority.filter(|_| self.model.is_some()),
        };
        let mut builder = Request::builder();
        builder = builder.method(self.request.method.as_str()).uri(&self.request.target);
        for (name, value) in self.gateway.dialect.outgoing(&self.request.headers, &said) {
            if !CONNECTION_HEADERS.contains(&name.as_str()) {
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
        mut choice: PendingSend<'_>,
        first_event: &Cell<Option<Millis>>,
    ) -> Tried {
        self.attempts.connecting();
        let within_ms = self.gateway.settings.requests.connect_ms;
        let mut exchange = match Exchange::open(place.address, within_ms).await {
            Ok(exchange) => exchange,
            Err(why) => {
                self.no_connection(place, why);
                return Tried::Failed {
                    failure: Failure::NotSent,
                    gone: why == NoConnection::Refused,
                };
            }
        };
        // While the connection was being opened, keys may have been revoked, a drain may have
        // begun, or the host may have lowered its limit.
        let may_send = self.may_send()
            && self.gateway.may_still_send(place, self.allowed())
            && choice.may_be_sent();
        if !may_send {
            return Tried::Failed { failure: Failure::NotSent, gone: false };
        }
        let Some(request) = self.outgoing(place) else {
            return Tried::Failed { failure: Failure::NotSent, gone: false };
        };
        self.attempts.sending();
        choice.sent();
        let life = self.gateway.directory.borrow().born(&place.server);
        self.gateway.count_send(place.candidate.target);
        let sent = self.gateway.now();
        let response = match self.head(&mut exchange, request, place, sent).await {
            Ok(response) => response,
            Err(failure) => return Tried::Failed { failure, gone: false },
        };
        let status = response.status().as_u16();
        let headers = headers_of(&response);
        let answered = self.gateway.dialect.answered(status, &headers);
        if self.is_of_the_place(status, &answered) {
            let server = &*place.server;
            let sender = Sender { server, life, sent_at: sent, to_request: true };
            self.gateway.heed(sender, &answered, &self.asked.id);
        }
        if let Some(failed) = self.judge(status, &answered) {
            if status == MISDIRECTED
                && let Some(epoch) = place.epoch
            {
                // The target is not the head of the group, or its address belongs to another
                // backend server. The leader finds out by a probe.
                self.gateway.suspect(epoch);
            }
            return failed;
        }
        if self.route.stream && (200..300).contains(&status) {
            return self.stream(connection, exchange, response, headers, place, first_event).await;
        }
        self.whole(connection, exchange, response, headers, place).await
    }

    /// Returns whether an answer belongs to this request and comes from the intended backend
    /// server, so that its statements about the sender are valid.
    fn is_of_the_place(&self, status: u16, answered: &Answered) -> bool {
        status != MISDIRECTED && answered.id.as_deref().is_none_or(|id| id == self.asked.id)
    }

    fn no_connection(&self, place: &Place, why: NoConnection) {
        let now = self.gateway.now();
        self.gateway.suspensions.borrow_mut().suspend(now, place.candidate.target);
        self.gateway.lose(&place.server);
        if let Some(epoch) = place.epoch {
            Event::new("head_unreachable")
                .with("host", &*place.server)
                .with("epoch", epoch)
                .debug("why", why)
                .with("request", self.asked.id.as_str())
                .write();
            self.gateway.suspect(epoch);
        }
    }

    /// Returns the outcome of the attempt if the head of the answer alone decides it.
    fn judge(&self, status: u16, answered: &Answered) -> Option<Tried> {
        let mine = answered.id.as_deref().is_none_or(|id| id == self.asked.id);
        let success = (200..300).contains(&status);
        if !mine || answered.encoded || (success && !answered.signed) {
            return Some(Tried::Failed { failure: Failure::Lost, gone: false });
        }
        if answered.not_run || status == MISDIRECTED {
            return Some(Tried::Failed { failure: Failure::Refused, gone: false });
        }
        let own_failure = status >= 500 && self.route.repeat == Repeat::Idempotent;
        let another = self.attempts.sent() < self.route.max_attempts && !self.begun;
        if self.begun && !success || own_failure && another {
            return Some(Tried::Failed { failure: Failure::Failed, gone: false });
        }
        None
    }

    /// Sends the request and waits for the head of its answer.
    async fn head(
        &self,
        exchange: &mut Exchange,
        request: Request<Full<Bytes>>,
        place: &Place,
        sent: Millis,
    ) -> Result<Response<Incoming>, Failure> {
        let answer = exchange.send(request);
        let answer = self.unless_silent(place, sent, answer);
        answer.await?.map_err(|_| Failure::Lost)
    }

    /// Waits for data from a place until the place counts as stalled or the deadline is near.
    async fn unless_silent<T>(
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
            let silent_at = self.silent_at(place, since);
            if silent_at.is_some_and(|at| now >= at) {
                self.stands_still(place, now);
                return Err(Failure::Stalled);
            }
            let until = silent_at.map_or(give_up, |at| at.min(give_up));
            if let Ok(value) = self.gateway.within(until - now, &mut wait).await {
                return Ok(value);
            }
        }
    }

    /// Returns the time at which a place counts as stalled if nothing arrives from it.
    fn silent_at(&self, place: &Place, since: Millis) -> Option<Millis> {
        if self.route.repeat != Repeat::Idempotent {
            return None;
        }
        let base = since.max(self.gateway.awake_since());
        if self.model.is_none() {
            // A request with no attempt left waits until its deadline.
            let again = self.attempts.sent() < self.route.max_attempts;
            let silence_ms = PLAIN_SILENCE_MS.max(self.route.goal_ms * PLAIN_SILENCE_GOALS);
            return again.then_some(base + silence_ms);
        }
        let balance = self.gateway.balance.borrow();
        Some(balance.silent_at(place.candidate.target, base, self.pass_ms))
    }

    fn stands_still(&self, place: &Place, now: Millis) {
        if let Some(epoch) = place.epoch {
            let target = place.candidate.target;
            if !self.gateway.suspensions.borrow().holds(now, target) {
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
            self.gateway.lose(&place.server);
            self.gateway.suspect(epoch);
        }
    }

    fn heard(&self, place: &Place) -> Millis {
        let now = self.gateway.now();
        self.gateway.balance.borrow_mut().progress(now, place.candidate.target);
        self.gateway.suspensions.borrow_mut().heard(place.candidate.target);
        self.gateway.reached(&self.service, place.candidate.target);
        now
    }

    fn passed_on(&self, headers: Headers) -> Headers {
        let kept = headers.into_iter().filter(|(n, _)| !CONNECTION_HEADERS.contains(&n.as_str()));
        kept.collect()
    }

    /// Forwards an answer that must be complete before the caller receives any of it.
    async fn whole(
        &mut self,
        connection: &mut Connection,
        mut exchange: Exchange,
        mut response: Response<Incoming>,
        headers: Headers,
        place: &Place,
    ) -> Tried {
        let since = self.heard(place);
        let max = self.gateway.settings.requests.answer_max;
        let read = exchange.whole(response.body_mut(), max);
        let body = match self.unless_silent(place, since, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Tried::Failed { failure: Failure::Lost, gone: false },
            Err(failure) => return Tried::Failed { failure, gone: false },
        };
        if response.status().is_success() {
            self.gateway.survived(self.fingerprint);
        }
        let status = StatusCode::from_u16(response.status().as_u16());
        let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
        match connection.answer(status, &self.passed_on(headers), body).await {
            Ok(()) => Tried::Done,
            Err(Gone) => Tried::Left,
        }
    }

    /// Forwards a stream event by event.
    async fn stream(
        &mut self,
        connection: &mut Connection,
        mut exchange: Exchange,
        mut response: Response<Incoming>,
        headers: Headers,
        place: &Place,
        first_event: &Cell<Option<Millis>>,
    ) -> Tried {
        let mut since = self.heard(place);
        let mut splitter = Splitter::default();
        loop {
            let next = exchange.next(response.body_mut());
            let part = match self.unless_silent(place, since, next).await {
                Ok(Ok(part)) => part,
                Ok(Err(_)) => return Tried::Failed { failure: Failure::Lost, gone: false },
                Err(failure) => return Tried::Failed { failure, gone: false },
            };
            let before = since;
            since = self.heard(place);
            if first_event.get().is_some() {
                self.served.longest_gap_ms = self.served.longest_gap_ms.max(since - before);
                let target = place.candidate.target;
                self.gateway.speeds.borrow_mut().paused(since, target, since - before);
            }
            let Some(part) = part else { break };
            let Ok(events) = splitter.push(&part) else {
                return Tried::Failed { failure: Failure::Lost, gone: false };
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
                    Pass::Gap => return Tried::Failed { failure: Failure::Lost, gone: false },
                }
            }
            if !bytes.is_empty() && self.pass(connection, &headers, &bytes).await.is_err() {
                return Tried::Left;
            }
        }
        if !splitter.rest().is_empty() {
            return Tried::Failed { failure: Failure::Lost, gone: false };
        }
        self.gateway.survived(self.fingerprint);
        if !self.begun && self.pass(connection, &headers, &[]).await.is_err() {
            return Tried::Left;
        }
        match connection.end().await {
            Ok(()) => Tried::Done,
            Err(Gone) => Tried::Left,
        }
    }

    async fn pass(
        &mut self,
        connection: &mut Connection,
        headers: &Headers,
        bytes: &[u8],
    ) -> Result<(), Gone> {
        if !self.begun {
            connection.begin(StatusCode::OK, &self.passed_on(headers.clone()))?;
            self.begun = true;
            self.served.first_after_ms = self.gateway.now() - self.received;
            self.log.push(format!("first event at {} ms", self.served.first_after_ms));
        }
        match bytes.is_empty() {
            true => Ok(()),
            false => connection.part(bytes).await,
        }
    }
}
