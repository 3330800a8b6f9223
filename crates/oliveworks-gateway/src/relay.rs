//! Relays a request to backend servers until its caller has an answer.

mod crashers;
mod forwarding;
mod job;
mod placing;
mod reception;
mod rejecting;
mod sending;
mod silence;

use std::future::pending;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::attempts::{Attempts, Failure, Next, Verdict};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::configuration::Route;
use oliveworks_gateway_core::crashers::Features;
use oliveworks_gateway_core::demand::ModelKey;
use oliveworks_gateway_core::event_order::Position;
use oliveworks_gateway_core::timeliness::{Goal, Served, Timeliness};

use forwarding::{Forwarded, WholeAnswer};
use job::new_job;
use reception::{Data, Reception, ReceptionEvent, next_event};
pub use rejecting::reject;
use rejecting::{RETRY_AFTER_MS, RETRY_AFTER_STOPPING_MS};
use sending::{NotSent, Rejection};
use tokio::time::sleep;

use crate::caller_connections::AnswerProgress;
use crate::connection::{Connection, Disconnected, ReceivedRequest};
use crate::crashers::FailedRun;
use crate::dialect::{RequestInfo, SharedParts};
use crate::events::Event;
use crate::memory_budget::MemoryShare;
use crate::state::Gateway;

/// Time before the deadline at which the final answer is sent, in ms, if no other answer has begun.
const DEADLINE_MARGIN_MS: u64 = 30;
/// Step of a request that the stop of this process ends.
const ENDED_BY_STOP: &str = "the gateway's stop ends";
/// Time after a search for another place without success until the next one, in ms, while an answer
/// of a silent place is awaited or a stream is to be resumed.
const SEARCH_INTERVAL_MS: u64 = 500;

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
    /// Parts of the prompt that other requests may contain as well.
    shared_parts: SharedParts,
    route: Route,
    service: String,
    /// Requested model, if the service serves models by replica groups.
    model: Option<String>,
    /// Whether the service offers the model.
    is_offered: bool,
    /// Duration of the longest pass of a replica group of the model, in ms; 0 if unknown.
    pass_ms: u64,
    workspace: Option<String>,
    /// Regions that may serve requests of the workspace; empty if there is no restriction.
    workspace_regions: Vec<String>,
    priority: Option<u8>,
    received: Millis,
    deadline: Millis,
    /// Whether the configuration in which the request's key was found was too old then to honour keys.
    has_stale_key: bool,
    /// Features of the request, by which requests that crash backend servers are detected.
    features: Rc<Features>,
    /// Memory of the features of a prompt with many parts.
    _parts_share: MemoryShare,
    attempts: Attempts,
    tried_targets: Vec<Target>,
    /// Number of searches for another place that failed since the last send.
    searches_failed: u32,
    /// Position of the caller in the event stream.
    position: Position,
    /// Whether the head of a streamed answer was sent to the caller.
    head_sent: bool,
    /// Facts about the answer's timeliness, such as delays and number of sends.
    served: Served,
    /// Fence and number of the leader's table that the last send was based on.
    table: (u64, u64),
    log: Vec<String>,
}

/// The next step of a request.
enum Step<'r> {
    /// The request was sent to a place.
    Sent(Box<Reception<'r>>),
    /// The request was not sent.
    NotSent(NotSent),
    /// Something happened at the receptions.
    Receptions(ReceptionEvent),
    /// The request has been convicted of crashing backend servers.
    Convicted { until: Millis },
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

impl<'a> Job<'a> {
    /// Returns whether the key of the request may be honoured: the configuration was proved recently
    /// both when the key was found in it, and now.
    ///
    /// Rejected alternative: a check at the time of the send alone. A newer configuration that has
    /// revoked the key may have brought the proof meanwhile.
    fn may_send(&self) -> bool {
        !self.has_stale_key && (self.route.public || self.gateway.honours_keys())
    }

    async fn run(&mut self, connection: &mut Connection) -> (End, String) {
        let features = self.features.clone();
        let mut conviction = pin!(self.gateway.wait_for_conviction(&features));
        let mut receptions = Vec::new();
        let mut search_at = Some(self.gateway.now());
        loop {
            connection.state().set_progress(self.answer_progress(&receptions));
            let step = self.step(&features, conviction.as_mut(), &mut receptions, search_at);
            match step.await {
                Step::Sent(reception) => {
                    receptions.push(*reception);
                    self.searches_failed = 0;
                    search_at = None;
                }
                // A stream that has begun ends with its connection, so nothing is lost by further
                // searches. Any other caller is served better by an early answer.
                Step::NotSent(NotSent::Rejected(rejection))
                    if receptions.is_empty() && !self.head_sent =>
                {
                    return self.reject_unsent(connection, rejection).await;
                }
                Step::NotSent(NotSent::Rejected(rejection)) => {
                    if self.searches_failed == 0 {
                        self.log.push(format!("not sent elsewhere: {rejection:?}"));
                    }
                    self.searches_failed += 1;
                    search_at = Some(self.gateway.now() + SEARCH_INTERVAL_MS);
                }
                Step::NotSent(NotSent::Failed { place, gone }) => {
                    let next = self.record_failure(&place.server, Failure::NotSent, gone);
                    if let Some(ended) = self.give_up_if_last(connection, &receptions, next).await {
                        return ended;
                    }
                    search_at = self.next_search(&receptions);
                }
                Step::Receptions(ReceptionEvent::Silent(index)) => {
                    self.record_silence(&mut receptions[index]);
                    search_at = self.next_search(&receptions);
                }
                Step::Receptions(ReceptionEvent::Received(index, received)) => {
                    let reception = receptions.swap_remove(index);
                    let ended = self.receive(connection, &mut receptions, reception, received);
                    if let Some(ended) = ended.await {
                        return ended;
                    }
                    search_at = self.next_search(&receptions);
                }
                Step::Receptions(ReceptionEvent::Expired) => {
                    return self.expire(connection, &mut receptions).await;
                }
                Step::Convicted { until } => {
                    if !receptions.is_empty() {
                        self.gateway.count("crashers_taken_back");
                    }
                    self.withdraw(&mut receptions);
                    return self.reject_crasher(connection, until).await;
                }
            }
        }
    }

    /// Processes data of an answer, or the failure to receive it. Returns the end of the request if
    /// this ends it. `others` are the other answers that are awaited.
    async fn receive<'r>(
        &mut self,
        connection: &mut Connection,
        others: &mut Vec<Reception<'r>>,
        mut reception: Reception<'r>,
        received: Result<Data, Failure>,
    ) -> Option<(End, String)> {
        let forwarded = match received {
            Ok(data) => self.forward_data(connection, &mut reception, data, others.len()).await,
            Err(failure) => Forwarded::Failed(failure),
        };
        match forwarded {
            Forwarded::Whole(answer) => {
                drop(reception);
                self.withdraw(others);
                let WholeAnswer { status, headers, body, share: _share } = answer;
                let delivered = connection.answer(status, &headers, body).await;
                Some(self.end_delivery(delivered))
            }
            Forwarded::StreamEnded => {
                drop(reception);
                self.withdraw(others);
                let delivered = connection.end().await;
                Some(self.end_delivery(delivered))
            }
            Forwarded::CallerGone => Some((End::Torn, "left".into())),
            Forwarded::Nothing => {
                others.push(reception);
                None
            }
            Forwarded::Part => {
                self.withdraw(others);
                others.push(reception);
                None
            }
            Forwarded::Failed(failure) => {
                let next = self.end_reception(reception, failure).await;
                self.give_up_if_last(connection, others, next).await
            }
        }
    }

    /// Returns the end of a request whose complete answer was delivered, or could not be.
    fn end_delivery(&mut self, delivered: Result<(), Disconnected>) -> (End, String) {
        match delivered {
            Ok(()) => (End::Whole, self.count_served().into()),
            Err(Disconnected) => (End::Torn, "left".into()),
        }
    }

    /// Returns how far the answer has come; `receptions` are the answers that are awaited.
    fn answer_progress(&self, receptions: &[Reception<'_>]) -> AnswerProgress {
        match receptions.iter().map(|reception| reception.since).max() {
            Some(last_data) => AnswerProgress::ServerAtWork { last_data },
            None if self.attempts.sent() == 0 => AnswerProgress::NotSent,
            None => AnswerProgress::ServerFailed,
        }
    }

    /// Ends a request whose time, or that of the process, is over.
    async fn expire(
        &mut self,
        connection: &mut Connection,
        receptions: &mut Vec<Reception<'_>>,
    ) -> (End, String) {
        self.withdraw(receptions);
        let now = self.gateway.now();
        let is_late = now + DEADLINE_MARGIN_MS >= self.deadline;
        if !is_late {
            self.log.push(format!("{ENDED_BY_STOP} at {} ms", now - self.received));
        }
        let verdict = self.attempts.verdict(if is_late { self.deadline } else { now });
        self.give_up(connection, verdict, RETRY_AFTER_MS).await
    }

    /// Waits for the next event: at the receptions, or at a search for another place, which begins
    /// at `search_at`.
    async fn step<'r>(
        &mut self,
        features: &'r Features,
        conviction: Pin<&mut impl Future<Output = Millis>>,
        receptions: &mut [Reception<'r>],
        search_at: Option<Millis>,
    ) -> Step<'r>
    where
        'a: 'r,
    {
        let gateway = self.gateway;
        // A stream that has begun can get no final answer, so it has all of its time.
        let margin_ms = if self.head_sent { 0 } else { DEADLINE_MARGIN_MS };
        let expires_at = self.deadline.saturating_sub(margin_ms);
        let awaits_nothing = receptions.is_empty() && !self.head_sent;
        let expires_at = if awaits_nothing { gateway.sends_until(expires_at) } else { expires_at };
        let event = next_event(gateway, self.silence_limit(), expires_at, receptions);
        let send = async {
            let Some(at) = search_at else { return pending().await };
            sleep(Duration::from_millis(at.saturating_sub(gateway.now()))).await;
            self.send(features).await
        };
        tokio::select! {
            biased;
            until = conviction => Step::Convicted { until },
            event = event => Step::Receptions(event),
            sent = send => match sent {
                Ok(reception) => Step::Sent(Box::new(reception)),
                Err(NotSent::Rejected(Rejection::Convicted { until })) => Step::Convicted { until },
                Err(not_sent) => Step::NotSent(not_sent),
            },
        }
    }

    /// Returns when to search for another place: at once if no answer is being received, or only
    /// from silent places, and the request may be sent once more.
    fn next_search(&self, receptions: &[Reception<'_>]) -> Option<Millis> {
        let now = self.gateway.now();
        let may_send = match receptions.is_empty() {
            true => true,
            false => self.attempts.may_send_beside(now),
        };
        let all_silent = receptions.iter().all(|reception| reception.is_silent);
        (may_send && all_silent).then_some(now)
    }

    /// Drops answers that are not awaited any longer. Silent places get a penalty in later choices.
    fn withdraw(&mut self, receptions: &mut Vec<Reception<'_>>) {
        let at = self.gateway.now() - self.received;
        for mut reception in receptions.drain(..) {
            reception.outstanding.failed = reception.is_silent;
            self.log.push(format!("taken back from {} at {at} ms", reception.place.server));
            self.attempts.abandoned();
        }
    }

    /// Records the failure of an attempt whose request was sent.
    async fn end_reception(&mut self, mut reception: Reception<'_>, failure: Failure) -> Next {
        reception.outstanding.failed = self.is_penalized(&reception, failure);
        if failure == Failure::Invalid {
            self.record_invalid_answer(&reception);
        }
        let (sent, first_event) = (reception.sent, reception.outstanding.first_event);
        let place = reception.place.clone();
        drop(reception);
        let (id, parts) = (&self.asked.id, &self.shared_parts);
        let run = FailedRun { place: &place, sent, first_event, failure, id, parts };
        let gone = self.has_ended(&run).await;
        self.record_failure(&place.server, failure, gone)
    }

    /// Records the position of the caller after a part of a stream was relayed.
    fn record_position(&mut self, position: Position) {
        self.position = position;
        self.attempts.set_may_continue(position.is_known());
    }

    fn record_failure(&mut self, server: &str, failure: Failure, gone: bool) -> Next {
        let now = self.gateway.now();
        self.log.push(format!("{server} {failure:?} at {} ms", now - self.received));
        if failure != Failure::Stalled {
            self.gateway.count(&format!("attempt_{failure:?}").to_lowercase());
        }
        self.attempts.failed(now, failure, gone)
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

    /// Counts a request that needs its first place, per model that is offered: callers may name any
    /// number of others.
    fn note_demand(&self, refused: bool) {
        let counts = self.is_offered && self.attempts.sent() == 0;
        let Some(model) = self.model.as_ref().filter(|_| counts) else { return };
        let key = ModelKey::of(&self.service, model);
        self.gateway.demand.borrow_mut().record_request(self.gateway.now(), key, refused);
    }
}
