//! Relays a request to backend servers until its caller has an answer.

mod attempt;
mod crashers;
mod placing;

use std::cell::Cell;
use std::rc::Rc;

use ntex::http::StatusCode;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::{Attempts, Failure, Next, Terms, Verdict};
use oliveworks_gateway_core::balance::{NoTarget, Target};
use oliveworks_gateway_core::configuration::{Lookup, Repeat, Route, Unmatched};
use oliveworks_gateway_core::crashers::Features;
use oliveworks_gateway_core::demand::ModelKey;
use oliveworks_gateway_core::events::Progress;
use oliveworks_gateway_core::obstacles::NoPlace;
use oliveworks_gateway_core::timeliness::{Goal, Served, Timeliness};

use attempt::AttemptOutcome;

use crate::connection::{Connection, Disconnected, ReceivedRequest};
use crate::crashers::{FailedRun, features};
use crate::dialect::{Headers, RequestInfo};
use crate::events::Event;
use crate::places::Place;
use crate::state::Gateway;

/// Deadline of a request whose caller names none, in ms, counted from its receipt.
const DEADLINE_MS: u64 = 30_000;
/// Shortest time after which a rejected caller may retry, in ms.
const RETRY_AFTER_MS: u64 = 1_300;
/// Upper limit of the random time, in ms, added to the retry time. The jitter keeps callers that
/// were rejected together from retrying together.
const RETRY_AFTER_JITTER_MS: u64 = 1_300;
/// Shortest retry time sent by a gateway that is stopping, in ms. The time is short because other
/// gateways accept callers or this gateway is back soon.
const RETRY_AFTER_STOPPING_MS: u64 = 200;
/// Shortest retry time sent while the configuration is too old to honour keys, in ms.
const RETRY_AFTER_STALE_MS: u64 = 1_000;

/// Outcome of writing an answer to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is complete, and another request may follow on the connection.
    Whole,
    /// The answer broke off. The connection must end without looking complete to the caller.
    Torn,
}

impl From<Disconnected> for End {
    fn from(_: Disconnected) -> End {
        End::Torn
    }
}

/// A request in flight.
struct Job<'a> {
    gateway: &'a Gateway,
    request: &'a ReceivedRequest,
    asked: RequestInfo,
    route: Route,
    service: String,
    /// Requested model, if the service serves models by replica groups.
    model: Option<String>,
    /// Duration of the longest pass of a replica group of the model, in ms; 0 if unknown.
    pass_ms: u64,
    workspace: Option<String>,
    /// Regions that may serve requests of the workspace; empty if there is no restriction.
    workspace_regions: Vec<String>,
    priority: Option<u8>,
    received: Millis,
    deadline: Millis,
    /// Features of the request, by which requests that crash backend servers are detected.
    features: Rc<Features>,
    attempts: Attempts,
    tried_targets: Vec<Target>,
    /// Position in the event stream up to which the caller has received events.
    progress: Progress,
    /// Whether the head of a streamed answer was sent to the caller.
    head_sent: bool,
    /// Facts about the answer's timeliness, such as delays and number of sends.
    served: Served,
    /// Fence and number of the leader's table that the last send was based on.
    table: (u64, u64),
    log: Vec<String>,
}

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

/// Relays a request to backend servers and returns how writing its answer ended.
pub async fn handle(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    request: ReceivedRequest,
) -> End {
    gateway.count("requests");
    gateway.traffic.set(true);
    let asked = match gateway.dialect.parse_request(&request.headers) {
        Ok(asked) => asked,
        Err(_) => return reject(gateway, connection, "", Verdict::BadRequest, 0).await,
    };
    let id = asked.id.clone();
    if gateway.rejects_new() {
        connection.close_after_next_answer();
        Event::new("request")
            .with("request", id.as_str())
            .with("outcome", "refused: stopping")
            .write();
        return reject(gateway, connection, &id, Verdict::NotRun, RETRY_AFTER_STOPPING_MS).await;
    }
    let Some(lookup) = gateway.lookup() else {
        return reject(gateway, connection, &id, Verdict::NotRun, RETRY_AFTER_MS).await;
    };
    let mut job = match new_job(gateway, &lookup, &request, asked) {
        Ok(job) => job,
        Err(verdict) => {
            Event::new("request")
                .with("request", id.as_str())
                .debug("outcome", verdict)
                .with("configuration", lookup.configuration.version)
                .write();
            return reject(gateway, connection, &id, verdict, RETRY_AFTER_MS).await;
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
        .with("came_back", job.served.came_back)
        .with("sent", job.attempts.sent())
        .with("longest_gap_ms", job.served.longest_gap_ms)
        .with("configuration", lookup.configuration.version)
        .with("proof_age_ms", gateway.proof_age_ms())
        .with("table", format!("{}.{}", job.table.0, job.table.1))
        .with("steps", job.log)
        .write();
    end
}

fn new_job<'a>(
    gateway: &'a Gateway,
    lookup: &Lookup,
    request: &'a ReceivedRequest,
    asked: RequestInfo,
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
    let workspace_rank = found.workspace.and_then(|workspace| workspace.priority);
    gateway.budget.borrow_mut().request(received, &service);
    let pass_ms = engine.and_then(|engine| {
        let model = engine.model(asked.model.as_deref()?)?;
        Some(engine.longest_pass_ms(model).ceil() as u64)
    });
    let came_back = asked.deadline_ms.is_some_and(|left_ms| {
        let mut waits = gateway.waits.borrow_mut();
        waits.came_back(&found.route.name, u32::try_from(left_ms).unwrap_or(u32::MAX))
    });
    let workspace = found.workspace.map(|workspace| workspace.name.clone());
    Ok(Job {
        features: Rc::new(features(request, &asked, workspace.as_deref())),
        pass_ms: pass_ms.unwrap_or(0),
        model: asked.model.clone().filter(|_| grouped),
        workspace,
        workspace_regions: found.workspace.map_or_else(Vec::new, |found| found.regions.clone()),
        priority: Some(workspace_rank.unwrap_or(found.route.priority)),
        progress: Progress::after(asked.last_event),
        attempts: Attempts::new(Terms { repeatable, max_attempts, deadline }),
        route: found.route.clone(),
        gateway,
        request,
        asked,
        service,
        received,
        deadline,
        tried_targets: Vec::new(),
        head_sent: false,
        served: Served { came_back, ..Served::default() },
        table: (0, 0),
        log: Vec::new(),
    })
}

impl Job<'_> {
    /// Returns whether the proof that the configuration is current is recent enough to honour keys.
    fn may_send(&self) -> bool {
        let gateway = self.gateway;
        let freshness = gateway.freshness.get();
        self.route.public
            || freshness.accepts_keys(gateway.now(), gateway.settings.bounds.revoke_ms)
    }

    async fn run(&mut self, connection: &mut Connection) -> (End, String) {
        loop {
            if !self.may_send() {
                self.log.push("configuration too old to honour keys".into());
                return self
                    .give_up(
                        connection,
                        self.attempts.verdict(self.gateway.now()),
                        RETRY_AFTER_STALE_MS,
                    )
                    .await;
            }
            let (gateway, features) = (self.gateway, self.features.clone());
            let standing = gateway.standing(&features);
            if gateway.must_wait_for_trial(&features) {
                return self.reject_copy(connection).await;
            }
            let found = match gateway.unless_convicted(&features, self.place(standing)).await {
                Ok(found) => found,
                Err(until) => return self.reject_crasher(connection, until).await,
            };
            // Backend servers in a backoff exist and are not idle, so more of them may not help: a
            // lack of places for this reason does not count as unmet demand.
            let lacks_place = found.as_ref().is_err_and(|none| none.reason != NoTarget::Backoff);
            self.note_demand(lacks_place);
            let place = match found {
                Ok(place) => place,
                Err(none) => return self.reject_without_place(connection, &none).await,
            };
            // A copy of the request may have been sent while this one waited for a place.
            if gateway.must_wait_for_trial(&features) {
                return self.reject_copy(connection).await;
            }
            let repeat = self.attempts.next_is_repeat();
            if repeat && !self.consume_repeat() {
                self.log.push("no repeat left".into());
                let verdict = self.attempts.verdict(self.gateway.now());
                return self.give_up(connection, verdict, RETRY_AFTER_MS).await;
            }
            let target = place.candidate.target;
            let tokens = self.asked.prompt_tokens;
            let now = self.begin_send(&place);
            let mut outstanding = OutstandingRequest {
                gateway: self.gateway,
                target,
                tokens,
                first_event: Cell::new(None),
                failed: false,
            };
            let suspect_run = gateway.suspect_run(&features, target);
            let pending_send = gateway.pending_send(target);
            let sent_before = self.attempts.sent();
            let attempt = self.attempt(connection, &place, pending_send, &outstanding.first_event);
            let tried = gateway.unless_convicted(&features, attempt).await;
            outstanding.failed = tried.as_ref().is_ok_and(|tried| self.is_penalized(target, tried));
            let first_event = outstanding.first_event.get();
            drop(outstanding);
            drop(suspect_run);
            let tried = match tried {
                Ok(tried) => tried,
                Err(until) => {
                    self.record_withdrawal(&place, sent_before);
                    return self.reject_crasher(connection, until).await;
                }
            };
            let (failure, gone) = match tried {
                AttemptOutcome::Completed => return (End::Whole, self.count_served().into()),
                AttemptOutcome::CallerGone => return (End::Torn, "left".into()),
                AttemptOutcome::Failed { failure, gone } => (failure, gone),
            };
            let id = &self.asked.id;
            let parts = &self.asked.shared_parts;
            let run = FailedRun { place: &place, sent: now, first_event, failure, id, parts };
            let gone = gone || self.has_ended(&run).await;
            let now = self.gateway.now();
            self.log.push(format!("{} {failure:?} at {} ms", place.server, now - self.received));
            self.gateway.count(&format!("attempt_{failure:?}").to_lowercase());
            if let Next::GiveUp(verdict) = self.attempts.failed(now, failure, gone) {
                return self.give_up(connection, verdict, RETRY_AFTER_MS).await;
            }
        }
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
        let retry_after_ms = match none.reason {
            NoTarget::Backoff | NoTarget::Limited => none.known_ms(now).unwrap_or(RETRY_AFTER_MS),
            _ => RETRY_AFTER_MS,
        };
        self.give_up(connection, self.attempts.verdict(now), retry_after_ms).await
    }

    /// Records the send in the load counts and in the log, and returns its time.
    fn begin_send(&mut self, place: &Place) -> Millis {
        self.table = self.gateway.table_version();
        let (target, tokens) = (place.candidate.target, self.asked.prompt_tokens);
        self.tried_targets.push(target);
        let now = self.gateway.now();
        if self.attempts.sent() == 0 {
            self.served.sent_after_ms = now - self.received;
        }
        let load = self.gateway.balance.borrow().load(now, target);
        self.log.push(format!(
            "to {}{} at {} ms: {} open, {} tokens unread",
            place.server,
            if place.candidate.is_local { "" } else { " elsewhere" },
            now - self.received,
            load.requests,
            load.tokens,
        ));
        self.gateway.balance.borrow_mut().started(now, target, tokens);
        self.gateway.admission.borrow_mut().started(now, target);
        now
    }

    /// Returns whether a target gets a penalty in later choices because an attempt there failed.
    ///
    /// A refusal counts as well: a host that rejects its requests at once has nothing outstanding
    /// and would attract the next ones. The penalty reduces refusals by 18 in 100 (4,726 instead of
    /// 5,759 in three runs of a day on which a third of the hosts refuse), and the number of served
    /// callers stays the same. A host that named a backoff time gets no penalty, since it is as
    /// good as any other afterwards.
    ///
    /// Rejected alternative: a backoff, doubled with each consecutive refusal, for hosts that name
    /// no time. The system then lacks the capacity of these hosts under load (0.79 of callers
    /// served instead of 0.81).
    fn is_penalized(&self, target: Target, tried: &AttemptOutcome) -> bool {
        let AttemptOutcome::Failed { failure, .. } = tried else { return false };
        let now = self.gateway.now();
        *failure != Failure::Refused || self.gateway.backoffs.borrow().until(now, target).is_none()
    }

    /// Counts an answer by its timeliness and returns the outcome for the log.
    fn count_served(&mut self) -> &'static str {
        let now = self.gateway.now();
        if self.served.first_after_ms == 0 {
            self.served.first_after_ms = now - self.received;
        }
        self.served.sends = self.attempts.sent();
        self.gateway.note_latency("first_event", self.served.first_after_ms);
        self.gateway.note_latency("wait_for_place", self.served.sent_after_ms);
        if self.route.stream {
            self.gateway.note_latency("longest_pause", self.served.longest_gap_ms);
        }
        let goal = Goal { first_ms: self.route.goal_ms, gap_ms: self.route.gap_goal_ms };
        let timeliness = Timeliness::of(&self.served, goal);
        self.gateway.count(timeliness.counter());
        timeliness.outcome()
    }

    /// Counts a request that needs its first place, per model.
    fn note_demand(&self, refused: bool) {
        let Some(model) = self.model.as_ref().filter(|_| self.attempts.sent() == 0) else { return };
        let key = ModelKey::of(&self.service, model);
        self.gateway.demand.borrow_mut().record_request(self.gateway.now(), key, refused);
    }

    fn consume_repeat(&self) -> bool {
        let now = self.gateway.now();
        let sharers = self.gateway.members.borrow().sharers(now);
        self.gateway.budget.borrow_mut().take(now, &self.service, sharers)
    }

    async fn give_up(
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

/// Counts a request as outstanding at its target until dropped, however the attempt ends.
struct OutstandingRequest<'a> {
    gateway: &'a Gateway,
    target: Target,
    /// Number of tokens in the prompt.
    tokens: u32,
    /// Time of the first event from the target, if any.
    first_event: Cell<Option<Millis>>,
    failed: bool,
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut balance = self.gateway.balance.borrow_mut();
        let began = self.first_event.get().is_some();
        balance.ended(now, self.target, self.tokens, began, self.failed);
    }
}
