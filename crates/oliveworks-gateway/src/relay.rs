//! Sees a request to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ntex::http::StatusCode;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::{Attempts, Failure, Next, Terms, Verdict};
use oliveworks_gateway_core::balance::{NoTarget, Target};
use oliveworks_gateway_core::configuration::{Lookup, Repeat, Route, Unmatched};
use oliveworks_gateway_core::events::{Pass, Progress, Splitter};
use tokio::time::{sleep, timeout};

use crate::callers::{Connection, Gone, Whole};
use crate::dialect::{Answered, Asked, Headers, Said};
use crate::events::Event;
use crate::exchange::{Exchange, NoConnection, headers_of};
use crate::state::{Gateway, Place};

/// How long after a stop begins new connections may still come.
pub const STOP_NOTICE_MS: u64 = 2_300;
/// What a request's deadline is if its caller names none.
const DEADLINE_MS: u64 = 30_000;
/// The part of its goal that a request waits for a place, in hundredths.
const WAIT_PERCENT: u64 = 22;
/// How long a stream that has begun waits for a place to go on.
const RESUME_WAIT_MS: u64 = 1_800;
/// The time between two looks for a place.
const LOOK_MS: u64 = 15;
/// When a caller may come back.
const COME_BACK_MS: u64 = 1_300;
/// A random time on top, so that those who were refused together do not come back together.
const COME_BACK_SPREAD_MS: u64 = 1_300;
/// The same when keys are not honoured for a while.
const COME_BACK_STALE_MS: u64 = 1_000;
/// The silence after which a plain request that may be repeated goes elsewhere.
const PLAIN_SILENCE_MS: u64 = 400;
/// The same, in times of its route's goal, if that is longer.
const PLAIN_SILENCE_GOALS: u64 = 2;
/// What a replica group may be silent beyond its longest pass, while a stream of ours runs there.
const WRITING_SLACK_MS: u64 = 50;
/// The same while all our requests there wait for their first event.
const FIRST_SLACK_MS: u64 = 200;
/// The time before the deadline at which the final answer is given.
const DEADLINE_MARGIN_MS: u64 = 30;
/// The status of a backend server that is not the one meant.
const MISDIRECTED: u16 = 421;
/// Headers that concern one connection only.
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

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole: another request may follow.
    Whole,
    /// Broken off: the connection must end without looking whole.
    Torn,
}

impl From<Gone> for End {
    fn from(_: Gone) -> End {
        End::Torn
    }
}

/// A request that is seen to its answer.
struct Job<'a> {
    gateway: &'a Gateway,
    request: &'a Whole,
    asked: Asked,
    route: Route,
    service: String,
    /// The model, if replica groups serve it.
    model: Option<String>,
    /// The longest pass of a replica group of the model.
    pass_ms: u64,
    tenant: Option<String>,
    priority: Option<u8>,
    received: Millis,
    deadline: Millis,
    attempts: Attempts,
    tried: Vec<Target>,
    /// What the caller has of the stream.
    progress: Progress,
    /// Whether the caller has the head of a stream.
    begun: bool,
    /// The longest pause between two parts of its stream.
    longest_gap_ms: u64,
    /// The leader's table by which it was sent: fence and number.
    table: (u64, u64),
    log: Vec<String>,
}

/// What one attempt came to.
enum Tried {
    /// The caller has its whole answer.
    Done,
    /// It failed; `gone` is whether the backend server has ended.
    Failed { failure: Failure, gone: bool },
    /// The caller is gone.
    Left,
}

/// Answers with a verdict of this system's own.
pub async fn refuse(
    gateway: &Gateway,
    connection: &mut Connection,
    id: &str,
    verdict: Verdict,
    come_back_ms: u64,
) -> End {
    let answer = verdict.answer();
    gateway.count(answer.code);
    let mut headers: Headers = Vec::new();
    if !id.is_empty() {
        let (name, value) = gateway.dialect.request_id(id);
        headers.push((name, value.into()));
    }
    if answer.come_back {
        let (name, value) =
            gateway.dialect.come_back(come_back_ms + rand::random_range(0..COME_BACK_SPREAD_MS));
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

/// Sees a request to its answer.
pub async fn handle(gateway: &Rc<Gateway>, connection: &mut Connection, request: Whole) -> End {
    gateway.count("requests");
    gateway.traffic.set(true);
    let asked = match gateway.dialect.asked(&request.headers) {
        Ok(asked) => asked,
        Err(_) => return refuse(gateway, connection, "", Verdict::BadRequest, 0).await,
    };
    let id = asked.id.clone();
    let Some(lookup) = gateway.lookup() else {
        return refuse(gateway, connection, &id, Verdict::NotRun, COME_BACK_MS).await;
    };
    let mut job = match job(gateway, &lookup, &request, asked) {
        Ok(job) => job,
        Err(verdict) => {
            Event::new("request")
                .with("request", id.as_str())
                .debug("outcome", verdict)
                .with("configuration", lookup.configuration.version)
                .write();
            return refuse(gateway, connection, &id, verdict, COME_BACK_MS).await;
        }
    };
    let (end, outcome) = job.run(connection).await;
    let took = gateway.now() - job.received;
    Event::new("request")
        .with("request", id.as_str())
        .with("route", job.route.name.as_str())
        .with("model", job.model.clone())
        .with("outcome", outcome)
        .with("took_ms", took)
        .with("sent", job.attempts.sent())
        .with("longest_gap_ms", job.longest_gap_ms)
        .with("configuration", lookup.configuration.version)
        .with("proof_age_ms", gateway.freshness.get().age_ms(gateway.now()))
        .with("table", format!("{}.{}", job.table.0, job.table.1))
        .with("steps", job.log)
        .write();
    end
}

fn job<'a>(
    gateway: &'a Gateway,
    lookup: &Lookup,
    request: &'a Whole,
    asked: Asked,
) -> Result<Job<'a>, Verdict> {
    let host = request.header("host").ok_or(Verdict::BadRequest)?;
    let path = request.target.split('?').next().unwrap_or_default();
    let found = lookup.find(host, path, asked.key.as_deref());
    let found = found.map_err(|why| match why {
        Unmatched::NoRoute => Verdict::NoRoute,
        Unmatched::NoKey => Verdict::NoKey,
    })?;
    let service = found.route.service_for(&asked.id).ok_or(Verdict::NoRoute)?.to_owned();
    let engine = lookup.service(&service).and_then(|service| service.engine.as_ref());
    let grouped = engine.is_some_and(|engine| !engine.models.is_empty());
    let received = gateway.now();
    let time_ms = asked.deadline_ms.unwrap_or(DEADLINE_MS).min(found.route.timeout_ms);
    let deadline = received + time_ms;
    let repeatable = found.route.repeat == Repeat::Idempotent;
    let max_attempts = found.route.max_attempts.max(1);
    let tenant_rank = found.tenant.and_then(|tenant| tenant.priority);
    gateway.budget.borrow_mut().request(received, &service);
    let pass_ms = engine.and_then(|engine| {
        let model = engine.model(asked.model.as_deref()?)?;
        Some(engine.longest_pass_ms(model).ceil() as u64)
    });
    Ok(Job {
        pass_ms: pass_ms.unwrap_or(0),
        model: asked.model.clone().filter(|_| grouped),
        tenant: found.tenant.map(|tenant| tenant.name.clone()),
        priority: Some(tenant_rank.unwrap_or(found.route.priority)),
        progress: Progress::after(asked.last_event),
        attempts: Attempts::new(Terms { repeatable, max_attempts, deadline }),
        route: found.route.clone(),
        gateway,
        request,
        asked,
        service,
        received,
        deadline,
        tried: Vec::new(),
        begun: false,
        longest_gap_ms: 0,
        table: (0, 0),
        log: Vec::new(),
    })
}

impl Job<'_> {
    /// Whether what this gateway knows of keys is young enough.
    fn may_send(&self) -> bool {
        let gateway = self.gateway;
        let freshness = gateway.freshness.get();
        self.route.public
            || freshness.honours_keys(gateway.now(), gateway.settings.bounds.revoke_ms)
    }

    async fn run(&mut self, connection: &mut Connection) -> (End, String) {
        loop {
            if !self.may_send() {
                self.log.push("configuration too old to honour keys".into());
                return self
                    .give_up(
                        connection,
                        self.attempts.verdict(self.gateway.now()),
                        COME_BACK_STALE_MS,
                    )
                    .await;
            }
            let place = match self.place().await {
                Ok(place) => place,
                Err(none) => {
                    self.log.push(format!("no place: {none:?}"));
                    let verdict = self.attempts.verdict(self.gateway.now());
                    return self.give_up(connection, verdict, COME_BACK_MS).await;
                }
            };
            let repeat = self.attempts.next_is_repeat();
            if repeat && !self.take_repeat() {
                self.log.push("no repeat left".into());
                let verdict = self.attempts.verdict(self.gateway.now());
                return self.give_up(connection, verdict, COME_BACK_MS).await;
            }
            self.table = self.gateway.table_version();
            let target = place.candidate.target;
            let tokens = self.asked.prompt_tokens;
            self.tried.push(target);
            let now = self.gateway.now();
            self.gateway.balance.borrow_mut().started(now, target, tokens);
            let mut open = Open {
                gateway: self.gateway,
                target,
                tokens,
                began: Cell::new(false),
                failed: false,
            };
            let tried = self.attempt(connection, &place, &open.began).await;
            open.failed =
                matches!(tried, Tried::Failed { failure, .. } if failure != Failure::Refused);
            drop(open);
            let (failure, gone) = match tried {
                Tried::Done => return (End::Whole, "served".into()),
                Tried::Left => return (End::Torn, "left".into()),
                Tried::Failed { failure, gone } => (failure, gone),
            };
            let now = self.gateway.now();
            self.log.push(format!("{} {failure:?} at {} ms", place.worker, now - self.received));
            self.gateway.count(&format!("attempt_{failure:?}").to_lowercase());
            if let Next::GiveUp(verdict) = self.attempts.failed(now, failure, gone) {
                return self.give_up(connection, verdict, COME_BACK_MS).await;
            }
        }
    }

    fn take_repeat(&self) -> bool {
        let gateways = self.gateway.gateways();
        let now = self.gateway.now();
        self.gateway.budget.borrow_mut().take(now, &self.service, gateways)
    }

    async fn give_up(
        &mut self,
        connection: &mut Connection,
        verdict: Verdict,
        come_back_ms: u64,
    ) -> (End, String) {
        if self.begun {
            self.gateway.count("streams_torn");
            return (End::Torn, format!("torn: {verdict:?}"));
        }
        let id = self.asked.id.clone();
        let end = refuse(self.gateway, connection, &id, verdict, come_back_ms).await;
        (end, format!("refused: {verdict:?}"))
    }

    fn places(&self) -> Vec<Place> {
        match &self.model {
            Some(model) => self.gateway.group_places(&self.service, model),
            None => self.gateway.plain_places(&self.service),
        }
    }

    /// Chooses where to send it; waits a little if there is no place.
    async fn place(&mut self) -> Result<Place, NoTarget> {
        let patience_ms = match self.begun || self.attempts.sent() > 0 {
            true => RESUME_WAIT_MS,
            false => self.route.goal_ms * WAIT_PERCENT / 100,
        };
        let began = self.gateway.now();
        let until = (began + patience_ms).min(self.deadline);
        loop {
            let places = self.places();
            let candidates: Vec<_> = places.iter().map(|place| place.candidate).collect();
            let now = self.gateway.now();
            let full_at = self.gateway.settings.requests.full_at;
            let chosen = {
                let balance = self.gateway.balance.borrow();
                balance.choose(now, &candidates, &self.tried, full_at, rand::random())
            };
            let none = match chosen {
                Ok(target) => {
                    let found = places.into_iter().find(|place| place.candidate.target == target);
                    return found.ok_or(NoTarget::None);
                }
                Err(none) => none,
            };
            if now >= until {
                return Err(none);
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    fn outgoing(&self, place: &Place) -> Option<Request<Full<Bytes>>> {
        let now = self.gateway.now();
        let said = Said {
            deadline_ms: self.deadline.saturating_sub(now).max(1),
            worker: &place.worker,
            tenant: self.tenant.as_deref(),
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

    /// Sends the request to one place and passes on what comes.
    async fn attempt(
        &mut self,
        connection: &mut Connection,
        place: &Place,
        began: &Cell<bool>,
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
        if !self.may_send() {
            return Tried::Failed { failure: Failure::NotSent, gone: false };
        }
        let Some(request) = self.outgoing(place) else {
            return Tried::Failed { failure: Failure::NotSent, gone: false };
        };
        self.attempts.sending();
        let sent = self.gateway.now();
        let response = match self.head(&mut exchange, request, place, sent).await {
            Ok(response) => response,
            Err(failure) => return Tried::Failed { failure, gone: false },
        };
        let status = response.status().as_u16();
        let headers = headers_of(&response);
        let answered = self.gateway.dialect.answered(status, &headers);
        if let Some(failed) = self.judge(status, &answered) {
            if status == MISDIRECTED
                && let Some(epoch) = place.epoch
            {
                // It is no head, or another backend server has its address: the leader asks.
                self.gateway.suspect(epoch);
            }
            return failed;
        }
        if self.route.stream && (200..300).contains(&status) {
            return self.stream(connection, exchange, response, headers, place, began).await;
        }
        self.whole(connection, exchange, response, headers, place).await
    }

    fn no_connection(&self, place: &Place, why: NoConnection) {
        let now = self.gateway.now();
        self.gateway.balance.borrow_mut().suspend(now, place.candidate.target);
        if let Some(epoch) = place.epoch {
            Event::new("head_unreachable")
                .with("host", &*place.worker)
                .with("epoch", epoch)
                .debug("why", why)
                .with("request", self.asked.id.as_str())
                .write();
            self.gateway.suspect(epoch);
        }
    }

    /// What an answer's head alone decides.
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

    /// Waits for something from a place, unless it stands still or the time is over.
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
            let pause = Duration::from_millis(until - now);
            if let Ok(value) = timeout(pause, &mut wait).await {
                return Ok(value);
            }
        }
    }

    /// When a place counts as standing still, if nothing comes from it.
    fn silent_at(&self, place: &Place, since: Millis) -> Option<Millis> {
        if self.route.repeat != Repeat::Idempotent {
            return None;
        }
        let base = since.max(self.gateway.awake_since());
        if self.model.is_none() {
            // Where it cannot go elsewhere, it waits until its time is over.
            let again = self.attempts.sent() < self.route.max_attempts;
            let silence_ms = PLAIN_SILENCE_MS.max(self.route.goal_ms * PLAIN_SILENCE_GOALS);
            return again.then_some(base + silence_ms);
        }
        let balance = self.gateway.balance.borrow();
        let last = balance.last_progress(place.candidate.target).unwrap_or(0);
        let slack_ms = match balance.is_writing(place.candidate.target) {
            true => WRITING_SLACK_MS,
            false => FIRST_SLACK_MS,
        };
        Some(base.max(last) + self.pass_ms + slack_ms)
    }

    fn stands_still(&self, place: &Place, now: Millis) {
        if let Some(epoch) = place.epoch {
            let mut balance = self.gateway.balance.borrow_mut();
            if !balance.suspended(now, place.candidate.target) {
                let last = balance.last_progress(place.candidate.target).unwrap_or(now);
                Event::new("group_stands_still")
                    .with("host", &*place.worker)
                    .with("epoch", epoch)
                    .with("silent_ms", now - last)
                    .with("longest_pass_ms", self.pass_ms)
                    .with("request", self.asked.id.as_str())
                    .write();
                balance.suspend(now, place.candidate.target);
            }
            drop(balance);
            self.gateway.suspect(epoch);
        }
    }

    fn heard(&self, place: &Place) -> Millis {
        let now = self.gateway.now();
        self.gateway.balance.borrow_mut().progress(now, place.candidate.target);
        now
    }

    fn passed_on(&self, headers: Headers) -> Headers {
        let kept = headers.into_iter().filter(|(n, _)| !CONNECTION_HEADERS.contains(&n.as_str()));
        kept.collect()
    }

    /// Passes on an answer that must be whole before the caller sees any of it.
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
        let status = StatusCode::from_u16(response.status().as_u16());
        let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
        match connection.answer(status, &self.passed_on(headers), body).await {
            Ok(()) => Tried::Done,
            Err(Gone) => Tried::Left,
        }
    }

    /// Passes on a stream, event by event.
    async fn stream(
        &mut self,
        connection: &mut Connection,
        mut exchange: Exchange,
        mut response: Response<Incoming>,
        headers: Headers,
        place: &Place,
        began: &Cell<bool>,
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
            self.longest_gap_ms = self.longest_gap_ms.max(since - before);
            let Some(part) = part else { break };
            let Ok(events) = splitter.push(&part) else {
                return Tried::Failed { failure: Failure::Lost, gone: false };
            };
            if !events.is_empty() && !began.replace(true) {
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
            self.log.push(format!("first event at {} ms", self.gateway.now() - self.received));
        }
        match bytes.is_empty() {
            true => Ok(()),
            false => connection.part(bytes).await,
        }
    }
}

/// Counts a request at its target, however its attempt ends.
struct Open<'a> {
    gateway: &'a Gateway,
    target: Target,
    /// Tokens of its prompt.
    tokens: u32,
    began: Cell<bool>,
    failed: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut balance = self.gateway.balance.borrow_mut();
        balance.ended(now, self.target, self.tokens, self.began.get(), self.failed);
    }
}
