//! Performs one request: hands the request over to an agent, reads the answer, and carries out the
//! decisions of the request's [`Relay`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use oliveworks_core::answer::{AttemptId, PieceAction};
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_core::id::{Epoch, HostId, Millis, RequestId};
use oliveworks_core::ledger::{Handover, Kept, Key};
use oliveworks_core::pool::GroupState;
use oliveworks_core::relay::{Next, Relay, RequestTerms};
use oliveworks_core::route::home_replica;
use oliveworks_core::template::{SlotId, TemplateKey};
use oliveworks_net::frame::{Reader, Writer};
use oliveworks_net::wire::{Call, Question, Reply, Run, Usage};
use oliveworks_runtime::timeline::Event;
use rand::RngExt;

use crate::process::Entry;
use crate::state::{AgentStatus, Prompt};

/// Maximum time between the handover of a request and its start at the agent, in milliseconds.
const START_WINDOW_MS: u64 = 30_000;
/// Age above which the status of an agent is refreshed before a handover, in milliseconds.
const AGENT_STATUS_MAX_AGE_MS: u64 = 10_000;
/// Timeout of a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Body of a request.
pub enum Body {
    /// No body besides the data in the [`Call`].
    None,
    /// Complete body in memory, which can be sent more than once.
    Whole(Vec<u8>),
    /// Body that is streamed from the caller and can be sent only once.
    Stream(ntex::http::Payload),
    /// Streamed body that was already sent.
    Spent,
}

/// Request to perform.
pub struct Job {
    /// Id of the request.
    pub id: RequestId,
    /// Template of the request.
    pub template: TemplateKey,
    /// Conditions under which the request may be attempted.
    pub terms: RequestTerms,
    /// Caller's idempotency key.
    pub key: Option<Key>,
    /// Priority of the template.
    pub priority: u8,
    /// Call to make at the backend server.
    pub call: Call,
    /// Body of a service call.
    pub body: Body,
    /// Prompt in the form that routing uses.
    pub prompt: Prompt,
}

/// Part of an answer.
#[derive(Debug)]
pub enum AnswerPart {
    /// Status and headers of a service's answer.
    Head(u16, Vec<(String, Vec<u8>)>),
    /// Piece of the answer's content.
    Piece(Vec<u8>),
    /// End of a complete answer: finish reason and token counts.
    End(String, Usage),
    /// Complete answer of an earlier request with the same key.
    Kept(Kept),
}

struct CurrentAttempt {
    id: AttemptId,
    epoch: Epoch,
    reader: Reader,
    // Open until the attempt ends; `None` if sending the body failed. The agent notices that the
    // answer is no longer wanted when `reader` is dropped, because it watches whether this side
    // still reads.
    _writer: Option<Writer>,
}

/// Request in progress. Dropping the driver cancels the request.
pub struct Driver {
    entry: Arc<Entry>,
    job: Job,
    relay: Relay,
    current: Option<CurrentAttempt>,
    /// Agent that the current attempt was handed to, which a revocation is sent to.
    handed_to: Option<(HostId, SocketAddr, Handover)>,
    /// Group whose router state counts this request as in flight.
    counted_at: Option<Epoch>,
    /// Whether an attempt was handed over, so that the request may have begun.
    begun: bool,
    /// Whether the head of a service's answer was passed on.
    head_passed: bool,
    /// Whether the outcome of the request was recorded.
    done: bool,
}

impl Driver {
    /// Returns the driver of a request. `admitted` is the group that admission chose and counted
    /// the request at; it is `None` for a request with a key.
    pub fn new(entry: Arc<Entry>, job: Job, admitted: Option<Epoch>) -> Driver {
        entry.in_flight.fetch_add(1, Ordering::Relaxed);
        entry.core().budget.record_request();
        let relay = Relay::new(job.id, job.terms);
        Driver {
            entry,
            job,
            relay,
            current: None,
            handed_to: None,
            counted_at: admitted,
            begun: false,
            head_passed: false,
            done: false,
        }
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.job.id
    }

    fn record_event(&self, kind: &str, epoch: Option<Epoch>, text: String) {
        let mut event = Event::new("entry", kind).request(self.job.id).text(text);
        if let Some(epoch) = epoch {
            event = event.group(epoch);
        }
        self.entry.record_event(event);
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    /// Returns the final refusal if no further attempt is allowed.
    pub async fn next(&mut self) -> Result<AnswerPart, Refusal> {
        let mut next = if self.current.is_some() { Next::Wait } else { Next::Send };
        loop {
            next = match next {
                Next::Send => self.send().await,
                Next::Wait => match self.read().await {
                    Ok(out) => return Ok(out),
                    Err(next) => next,
                },
                Next::Revoke => self.revoke().await,
                Next::Answered => unreachable!("the end of an answer is handled by `handle_reply`"),
                Next::Refuse(refusal) => return Err(self.refused(refusal)),
            };
        }
    }

    fn refused(&mut self, refusal: Refusal) -> Refusal {
        self.done = true;
        self.end_at_group(refusal.kind == ErrorKind::ContactLost);
        self.record_event("refused", None, refusal.to_string());
        self.entry.metrics.request(refusal.kind.answer().code);
        refusal
    }

    /// Ends the counting of the request at its group. `fault` is set if the group caused a failure.
    fn end_at_group(&mut self, fault: bool) {
        if let Some(epoch) = self.counted_at.take() {
            let now = self.entry.clock.now();
            let mut core = self.entry.core();
            core.ended(now, &self.job.template, epoch, fault);
            core.admit_waiting(now);
        }
    }

    /// Returns whether a further attempt is possible, and takes that attempt out of the retry
    /// budget. No further attempt is possible after the answer's head was passed on or a streamed
    /// body was sent.
    fn take_retry(&self) -> bool {
        !self.head_passed
            && !matches!(self.job.body, Body::Spent)
            && self.entry.core().budget.try_take()
    }

    fn failed(&mut self, why: &str) -> Next {
        log::info!("Attempt of request {} failed at its group: {why}.", self.job.id);
        self.end_at_group(true);
        if let Some(current) = &self.current {
            self.record_event("lost", Some(current.epoch), why.to_owned());
            if let Some((host, ..)) = self.handed_to {
                self.entry.guess_next_leader(current.epoch, host);
            }
        }
        let may_retry = self.take_retry();
        let now = self.entry.clock.now();
        let next = self.relay.failed(now, why, may_retry);
        if next != Next::Revoke {
            self.current = None;
        }
        next
    }

    /// Chooses the group of the next attempt. A request with a key always goes to the home of the
    /// key.
    fn choose(&mut self) -> Option<Epoch> {
        if let Some(key) = &mut self.job.key {
            let (template, id) = (&self.job.template, self.job.id);
            return self.entry.store.with_pool(|pool| {
                let published = pool.template(template)?;
                key.homes_at = published.homes_at;
                let index = home_replica(id.0, published.template.replicas);
                let slot = SlotId { template: template.clone(), index };
                let groups = pool.groups_in(&slot);
                groups.filter(|g| g.state == GroupState::Active).last().map(|g| g.epoch)
            });
        }
        if let Some(epoch) = self.counted_at {
            return Some(epoch);
        }
        let now = self.entry.clock.now();
        let mut core = self.entry.core();
        let mut excluded = self.relay.tried().to_vec();
        let chosen =
            core.choose(now, &self.job.template, &self.job.prompt, &excluded).or_else(|| {
                // All groups were tried. Groups that failed earlier may have recovered, so all
                // groups are candidates again.
                excluded.clear();
                core.choose(now, &self.job.template, &self.job.prompt, &excluded)
            });
        self.counted_at = chosen;
        chosen
    }

    /// Hands the request over to the leader of a group.
    async fn send(&mut self) -> Next {
        let Some(epoch) = self.choose() else { return self.relay.no_group() };
        let leader = match self.leader_status(epoch).await {
            Some(leader) => Some(leader),
            None => {
                // The first query failed and made the next member in rank order the presumed
                // leader.
                self.leader_status(epoch).await
            }
        };
        let Some((host, at, status)) = leader else {
            let why = "the group's leader was not reached";
            return self.not_sent(epoch, why);
        };
        if let Err(e) = self.entry.net.connect(&host.to_string(), at).await {
            log::debug!("Connecting to {host} failed: {e:#}.");
            self.entry.guess_next_leader(epoch, host);
            return self.not_sent(epoch, "the group's leader was not reached");
        }
        let now = self.entry.clock.now();
        let left = self.job.terms.deadline.since(now);
        let not_after =
            status.clock.plus(now.since(status.received_at) + left.min(START_WINDOW_MS));
        let attempt = rand::rng().random();
        let handed = Handover {
            id: self.job.id,
            attempt,
            incarnation: status.incarnation,
            not_after,
            key: self.job.key,
        };
        let id = self.relay.sent(epoch, attempt);
        let run = Run {
            id,
            epoch,
            handed,
            from: self.relay.passed(),
            left_ms: left as u32,
            priority: self.job.priority,
            call: self.job.call.clone(),
        };
        self.record_event("sent", Some(epoch), format!("{host}, try {}", self.relay.attempts()));
        self.handed_to = Some((host, at, handed));
        self.begun = true;
        let question = Question::Run(Box::new(run));
        match self.entry.net.send_question(&host.to_string(), at, &question).await {
            Err(e) => {
                // A part of the request may already have reached the agent.
                self.entry.net.discard_connection(&host.to_string());
                self.failed(&format!("{e:#}"))
            }
            Ok((mut writer, reader)) => {
                let writer = match self.send_body(&mut writer).await {
                    Ok(()) => Some(writer),
                    Err(e) => {
                        // The agent may have rejected the request already. Its reply is read next.
                        log::debug!("Sending the request body to {host} failed: {e:#}.");
                        None
                    }
                };
                self.current = Some(CurrentAttempt { id, epoch, reader, _writer: writer });
                Next::Wait
            }
        }
    }

    fn not_sent(&mut self, epoch: Epoch, why: &str) -> Next {
        self.end_at_group(true);
        self.relay.sent(epoch, 0);
        let refusal = Refusal::new(ErrorKind::Unavailable, Ran::No, why);
        let may_retry = self.take_retry();
        self.relay.refused(self.entry.clock.now(), refusal, false, may_retry)
    }

    /// Returns the group's leader and the status of its agent. Queries the agent first if the
    /// status is missing or too old.
    async fn leader_status(&self, epoch: Epoch) -> Option<(HostId, SocketAddr, AgentStatus)> {
        let fresh = || {
            let (host, at) = self.entry.leader(epoch)?;
            let status = *self.entry.core().agents.get(&host)?;
            let age = self.entry.clock.now().since(status.received_at);
            (age < AGENT_STATUS_MAX_AGE_MS).then_some((host, at, status))
        };
        if let Some(leader) = fresh() {
            return Some(leader);
        }
        self.entry.query_leader(&self.job.template, epoch).await;
        fresh()
    }

    async fn send_body(&mut self, writer: &mut Writer) -> anyhow::Result<()> {
        match std::mem::replace(&mut self.job.body, Body::Spent) {
            Body::None => {
                self.job.body = Body::None;
                writer.send(&Question::BodyEnd).await
            }
            Body::Whole(bytes) => {
                let sent = send_whole(writer, &bytes).await;
                self.job.body = Body::Whole(bytes);
                sent
            }
            Body::Stream(mut payload) => {
                while let Some(chunk) = payload.next().await {
                    let chunk = chunk.map_err(|e| anyhow::anyhow!("{e}"))?;
                    writer.send(&Question::Body(chunk.to_vec())).await?;
                }
                writer.send(&Question::BodyEnd).await
            }
            Body::Spent => anyhow::bail!("the body was sent before"),
        }
    }

    /// Reads frames until one yields a part of the answer or ends the attempt.
    async fn read(&mut self) -> Result<AnswerPart, Next> {
        loop {
            let now = self.entry.clock.now();
            let Some(current) = &mut self.current else { return Err(Next::Send) };
            let left = self.job.terms.deadline.since(now);
            if left == 0 {
                return Err(self.relay.deadline(self.begun));
            }
            let lost_ms = self.entry.settings.callers.lost_ms;
            let within = Duration::from_millis(left.min(lost_ms));
            let frame = tokio::time::timeout(within, current.reader.next::<Reply>()).await;
            let reply = match frame {
                Err(_) if left <= lost_ms => return Err(self.relay.deadline(self.begun)),
                Err(_) => return Err(self.failed("the agent says nothing")),
                Ok(Err(e)) => return Err(self.failed(&format!("{e:#}"))),
                Ok(Ok(None)) => return Err(self.failed("the answer broke off")),
                Ok(Ok(Some(reply))) => reply,
            };
            if let Some(read) = self.handle_reply(now, reply) {
                return read;
            }
        }
    }

    /// Handles a frame. Returns `None` if the frame has no effect on the answer.
    fn handle_reply(&mut self, now: Millis, reply: Reply) -> Option<Result<AnswerPart, Next>> {
        match reply {
            Reply::Alive => None,
            Reply::Head { status, headers } => {
                self.head_passed = true;
                Some(Ok(AnswerPart::Head(status, headers)))
            }
            Reply::Piece { id, number, data } => match self.relay.piece(id, number) {
                PieceAction::Pass => Some(Ok(AnswerPart::Piece(data))),
                PieceAction::Drop => None,
                PieceAction::Gap => Some(Err(self.failed("a piece is missing"))),
            },
            Reply::End { id, pieces, finish_reason, usage, load } => {
                match self.relay.end(now, id, pieces, false) {
                    Next::Answered => {
                        self.finish_answer(Some(load));
                        Some(Ok(AnswerPart::End(finish_reason, usage)))
                    }
                    Next::Wait => None,
                    _ => Some(Err(self.failed("the end does not fit"))),
                }
            }
            Reply::Kept(kept) => {
                self.finish_answer(None);
                Some(Ok(AnswerPart::Kept(kept)))
            }
            Reply::Refused { id, refusal, leader } => {
                let current = self.current.take()?;
                if id != current.id {
                    return Some(Err(self.failed("a refusal of another try")));
                }
                match (leader, self.handed_to) {
                    (Some(leader), _) => {
                        self.entry.core().leaders.insert(current.epoch, leader);
                    }
                    (None, Some((host, ..))) if refusal.kind == ErrorKind::Unavailable => {
                        self.entry.guess_next_leader(current.epoch, host);
                    }
                    _ => {}
                }
                let unavailable = refusal.kind == ErrorKind::Unavailable && refusal.ran == Ran::No;
                let hinted = leader.is_some() && unavailable;
                if !hinted {
                    let fault = matches!(
                        refusal.kind,
                        ErrorKind::ContactLost | ErrorKind::Unavailable | ErrorKind::BackendFailed
                    );
                    self.end_at_group(fault);
                }
                let may_retry = self.take_retry();
                Some(Err(self.relay.refused(now, refusal, hinted, may_retry)))
            }
            other => Some(Err(self.failed(&format!("an answer of kind {}", other.kind())))),
        }
    }

    fn finish_answer(&mut self, load: Option<oliveworks_core::route::Load>) {
        self.done = true;
        if let (Some(load), Some(epoch)) = (load, self.counted_at)
            && let Some(router) = self.entry.core().routers.get_mut(&self.job.template)
        {
            router.report(epoch, load);
        }
        self.end_at_group(false);
        self.entry.metrics.request("answered");
        self.record_event("answered", None, format!("{} pieces", self.relay.passed()));
    }

    /// Asks the agent of the current attempt to prevent the request from beginning.
    async fn revoke(&mut self) -> Next {
        self.current = None;
        let outcome = match self.handed_to.take() {
            None => None,
            Some((host, at, handed)) => {
                let (name, question) = (host.to_string(), Question::Revoke(handed));
                match self.entry.net.ask(&name, at, &question, REVOKE_TIMEOUT).await {
                    Ok(Reply::Revoked(outcome)) => Some(outcome),
                    _ => None,
                }
            }
        };
        self.record_event("revoked", None, format!("{outcome:?}"));
        let may_retry = self.take_retry();
        self.relay.revoked(self.entry.clock.now(), outcome, may_retry)
    }
}

/// Maximum size of the part of a body that one frame carries, in bytes.
const BODY_PART: usize = 64 << 10;

async fn send_whole(writer: &mut Writer, bytes: &[u8]) -> anyhow::Result<()> {
    for part in bytes.chunks(BODY_PART) {
        writer.send(&Question::Body(Bytes::copy_from_slice(part).to_vec())).await?;
    }
    writer.send(&Question::BodyEnd).await
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.entry.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            self.relay.cancelled();
            self.end_at_group(false);
            self.entry.metrics.request("cancelled");
            self.record_event("cancelled", None, String::new());
        }
    }
}
