//! Execution of a request: the gate, the call to the backend server, and the return of the answer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::util::Bytes;
use oliveworks_core::agent::RunPermit;
use oliveworks_core::error::{ErrorKind, Ran, Refusal};
use oliveworks_core::ledger::{Begin, Kept};
use oliveworks_net::frame::{Reader, Writer};
use oliveworks_net::wire::{Call, Question, Reply, Run, Usage};
use oliveworks_platform::engine::{Completion, Delta, EngineStatus, ServiceCall};
use oliveworks_runtime::timeline::Event;
use tokio::sync::watch;

use crate::process::{Process, lock};

/// Interval of keep-alive frames to the entry while the request runs and nothing else is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of an answer that is kept for a repeated key, in bytes.
const KEPT_ANSWER_MAX: usize = 64 << 10;

/// Reason why a request ended without a complete answer.
enum RunError {
    /// The entry or its caller disconnected.
    Disconnected,
    /// The request failed. The refusal is sent to the entry.
    Refused(Refusal),
}

impl From<anyhow::Error> for RunError {
    fn from(error: anyhow::Error) -> RunError {
        if let Some(status) = error.downcast_ref::<EngineStatus>()
            && (400..500).contains(&status.status)
            && status.status != 409
        {
            let refusal = Refusal::new(ErrorKind::BadRequest, Ran::No, status.body.clone());
            return RunError::Refused(refusal);
        }
        let why = format!("{error:#}");
        RunError::Refused(Refusal::new(ErrorKind::BackendFailed, Ran::Unknown, why))
    }
}

fn group_ended() -> RunError {
    let why = "the replica group ended while the request ran";
    RunError::Refused(Refusal::new(ErrorKind::ContactLost, Ran::Unknown, why))
}

/// Request in progress.
struct Job<'a> {
    process: &'a Arc<Process>,
    run: &'a Run,
    permit: RunPermit,
    cancellations: watch::Receiver<u64>,
    writer: Writer,
    kept: Option<Kept>,
    pieces: u64,
}

/// Runs a request that an entry handed over, and sends the answer.
pub async fn run(
    process: &Arc<Process>,
    run: Run,
    mut writer: Writer,
    reader: Reader,
) -> anyhow::Result<()> {
    let now = process.ledger_now();
    let cancellations = process.cancellations();
    let (begin, permit) = process.with_agent(|agent| agent.gate(now, run.epoch, &run.handed));
    let permit = match (begin, permit) {
        (Begin::Run, Some(permit)) => permit,
        (Begin::Kept(kept), _) => {
            writer.send(&Reply::Kept(kept)).await?;
            writer.finish();
            return Ok(());
        }
        (Begin::Refuse(refusal), _) => {
            let leader = process.leader();
            writer.send(&Reply::Refused { id: run.id, refusal, leader }).await?;
            writer.finish();
            return Ok(());
        }
        (Begin::Run, None) => anyhow::bail!("the gate admitted a request without a permit"),
    };
    record_event(process, &run, "began");
    let mut job =
        Job { process, run: &run, permit, cancellations, writer, kept: None, pieces: run.from };
    let outcome = match &run.call {
        Call::Completion { chat, body } => job.complete(*chat, body).await,
        Call::Service { method, path, headers, has_body } => {
            let has_body = *has_body;
            job.call_service(method, path, headers, has_body, reader).await
        }
    };
    let now = process.clock.now();
    let kept = job.kept.take().filter(|_| outcome.is_ok());
    process.with_agent(|agent| agent.finish(now, &run.handed, kept));
    match outcome {
        Ok(()) => record_event(process, &run, "ended"),
        Err(RunError::Disconnected) => record_event(process, &run, "cancelled"),
        Err(RunError::Refused(refusal)) => {
            record_event(process, &run, "failed");
            let reply = Reply::Refused { id: run.id, refusal, leader: None };
            job.writer.send(&reply).await?;
        }
    }
    job.writer.finish();
    Ok(())
}

fn record_event(process: &Process, run: &Run, kind: &str) {
    let event = Event::new("gate", kind)
        .request(run.id.request)
        .group(run.epoch)
        .host(process.settings.host);
    process.timeline.note(event);
}

impl Job<'_> {
    /// Waits for a result of the backend server. Returns an error if the request has to end
    /// earlier: the group ended, the entry disconnected or the deadline passed.
    async fn wait<T>(&mut self, result: impl Future<Output = T>) -> Result<T, RunError> {
        tokio::pin!(result);
        let deadline = Duration::from_millis(u64::from(self.run.left_ms));
        let deadline = tokio::time::sleep(deadline);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                done = &mut result => return Ok(done),
                _ = self.cancellations.changed() => return Err(group_ended()),
                () = self.writer.stopped() => return Err(RunError::Disconnected),
                () = &mut deadline => {
                    let why = "the deadline passed while it ran";
                    let refusal = Refusal::new(ErrorKind::DeadlineExceeded, Ran::Unknown, why);
                    return Err(RunError::Refused(refusal));
                }
                () = tokio::time::sleep(KEEP_ALIVE_INTERVAL) => {
                    self.writer.send(&Reply::Alive).await.map_err(|_| RunError::Disconnected)?;
                }
            }
        }
    }

    /// Returns an error if the group is no longer complete. Output of the backend server may be
    /// returned only while the group is complete.
    fn check_may_pass(&self) -> Result<(), RunError> {
        let now = self.process.clock.now();
        match self.process.with_agent(|agent| agent.may_pass(now, &self.permit)) {
            true => Ok(()),
            false => Err(group_ended()),
        }
    }

    async fn send(&mut self, reply: &Reply) -> Result<(), RunError> {
        self.check_may_pass()?;
        self.writer.send(reply).await.map_err(|_| RunError::Disconnected)
    }

    async fn piece(&mut self, data: Vec<u8>) -> Result<(), RunError> {
        let reply = Reply::Piece { id: self.run.id, number: self.pieces, data };
        self.pieces += 1;
        self.send(&reply).await
    }

    async fn end(&mut self, finish_reason: String, usage: Usage) -> Result<(), RunError> {
        let backend = lock(&self.process.backend).clone();
        let load = self.process.with_agent(|agent| crate::peers::load(agent, &backend));
        let reply = Reply::End { id: self.run.id, pieces: self.pieces, finish_reason, usage, load };
        self.send(&reply).await
    }

    async fn complete(&mut self, chat: bool, body: &[u8]) -> Result<(), RunError> {
        let process = self.process.clone();
        let completion = Completion {
            request: self.run.id.request.to_string(),
            fence: self.permit.fence(),
            chat,
            from: self.run.from,
            priority: self.run.priority,
            left_ms: self.run.left_ms,
            body,
        };
        let started = process.clock.now();
        let mut deltas = self.wait(process.engine.complete(&completion)).await??;
        loop {
            match self.wait(deltas.next()).await?? {
                Some(Delta::Token(text)) => {
                    if self.pieces == self.run.from {
                        let micros = process.clock.now().since(started) * 1000;
                        process.metrics.latency("engine_first_token", micros);
                    }
                    self.piece(text.into_bytes()).await?;
                }
                Some(Delta::End { finish_reason, prompt, completion, cached }) => {
                    let usage = Usage { prompt, completion, cached };
                    return self.end(finish_reason, usage).await;
                }
                None => return Err(anyhow::anyhow!("the engine's stream ended early").into()),
            }
        }
    }

    async fn call_service(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(String, Vec<u8>)],
        has_body: bool,
        reader: Reader,
    ) -> Result<(), RunError> {
        let process = self.process.clone();
        let call = ServiceCall {
            request: self.run.id.request.to_string(),
            fence: self.permit.fence(),
            method,
            path,
            headers,
            has_body,
            left_ms: self.run.left_ms,
        };
        let mut response = self.wait(process.engine.call(&call, body_stream(reader))).await??;
        let status = response.status().as_u16();
        let headers: Vec<(String, Vec<u8>)> = response
            .headers()
            .iter()
            .filter(|(name, _)| oliveworks_net::wire::is_forwarded(name.as_str()))
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect();
        let content_type = headers.iter().find(|(n, _)| n == "content-type");
        let content_type = content_type.map(|(_, v)| String::from_utf8_lossy(v).into_owned());
        let mut kept = self.run.handed.key.map(|_| Kept {
            status,
            content_type: content_type.unwrap_or_default(),
            body: Vec::new(),
        });
        self.send(&Reply::Head { status, headers }).await?;
        while let Some(chunk) = self.wait(response.next()).await? {
            let chunk = chunk.map_err(|e| anyhow::anyhow!("service: {e}"))?;
            if let Some(answer) = &mut kept {
                answer.body.extend_from_slice(&chunk);
            }
            kept = kept.filter(|k| k.body.len() <= KEPT_ANSWER_MAX);
            self.piece(chunk.to_vec()).await?;
        }
        self.kept = kept;
        self.end("stop".to_owned(), Usage::default()).await
    }
}

/// Returns the body of a request as a stream of its frames. At most one frame is held in memory.
fn body_stream(
    reader: Reader,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> + Unpin + 'static {
    let frames = futures_util::stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        match reader.next::<Question>().await {
            Ok(Some(Question::Body(bytes))) => Some((Ok(Bytes::from(bytes)), Some(reader))),
            Ok(Some(Question::BodyEnd)) => None,
            // A truncated body must not look complete to the backend server.
            _ => Some((Err(std::io::Error::other("the body broke off")), None)),
        }
    });
    Box::pin(frames)
}
