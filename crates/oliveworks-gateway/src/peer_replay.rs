//! Replay of the store's records between gateways, over TCP. A gateway can follow a topic through
//! another gateway instead of the store. The other gateway answers from its replay buffer.
//!
//! The transport is TCP, since a configuration may be far larger than a datagram. Framing and
//! encoding are those of libraries. The answering gateway uses only its own records and asks no
//! other gateway, so questions never form a cycle.
//!
//! Rejected alternative: QUIC, whose handshake costs more processor time than the few questions per
//! second that a gateway asks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use log::{debug, warn};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::ReplayAnswer;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::dialect::{Record, Topic};
use crate::state::Gateway;

/// Longest time for which a question is held back until there are new records, in ms. A gateway
/// that has stopped answering is detected within this time plus `ANSWER_TIMEOUT_MS`.
pub const HOLD_MAX_MS: u64 = 500;
/// Time allowed for an answer beyond `HOLD_MAX_MS`, and for opening a connection, in ms. The value
/// is many times the transmission time between failure domains, and short compared to the 1 s after
/// which a proof counts as missing.
const ANSWER_TIMEOUT_MS: u64 = 300;
/// Difference in age, in ms, at which a younger proof is news for the asking gateway: more than the
/// transmission of a question takes.
const YOUNGER_PROOF_MS: u64 = 100;
/// Number of answers with all newest records that are prepared and sent at a time. With 10,000
/// backend servers such an answer has megabytes, and all gateways of a failure domain may ask at
/// once.
const SNAPSHOTS_AT_ONCE: usize = 2;
/// Largest answer, in bytes.
const ANSWER_MAX: usize = 16 << 20;
/// Largest question, in bytes.
const QUESTION_MAX: usize = 1 << 10;
/// Pause after a failed attempt to accept a connection, in ms.
const ACCEPT_RETRY_MS: u64 = 20;

/// Question for records newer than those held by the asking gateway.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    topic: Topic,
    /// Position up to which the asking gateway holds all records; none if it holds no records.
    from: Option<Position>,
    /// Whether records that repeat what the asking gateway already holds are included.
    repeats: bool,
    /// Age of the asking gateway's proof that the store holds nothing newer, in ms; none without a
    /// proof.
    proof_age_ms: Option<u64>,
}

/// Answer of another gateway.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Records from the position of the question on, or the newest record of each key.
    pub records: Vec<Record>,
    /// Whether the records are a snapshot of all newest records, as opposed to the added ones.
    pub snapshot: bool,
    /// Position after the records.
    pub next: Position,
    /// Time for which the question was held back, in ms.
    pub held_ms: u64,
    /// Age, at the time of the answer, of the proof that the store held nothing newer, in ms; none
    /// without a proof.
    pub proof_age_ms: Option<u64>,
    /// Age of the answering gateway's list of backend servers, in ms; none if it has no list.
    pub list_age_ms: Option<u64>,
    /// Newest configuration version that the answering gateway knows the store to hold.
    pub stored_version: Option<u64>,
    /// Time since a call to the store last failed, at the answering gateway or at a gateway that it
    /// asked, in ms.
    pub store_failed_ms_ago: Option<u64>,
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn codec(frame_max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame_max).new_codec()
}

/// Client end of a connection to another gateway.
pub struct PeerClient {
    address: SocketAddr,
    frames: Frames,
}

impl PeerClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns a description of the failure if no connection can be opened in time.
    pub async fn open(address: SocketAddr) -> Result<PeerClient, String> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), connecting).await;
        let stream = stream.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
        if let Err(error) = stream.set_nodelay(true) {
            debug!("peer replay: cannot set TCP_NODELAY for {address}: {error}");
        }
        Ok(PeerClient { address, frames: Framed::new(stream, codec(ANSWER_MAX)) })
    }

    /// Returns the address of the asked gateway.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for newer records, with or without repeats of those held, and for a younger proof than
    /// the one held, of which `proof_age_ms` is the age. Returns nothing if the other gateway does
    /// not know what is newer.
    ///
    /// # Errors
    /// Returns a description of the failure if no readable answer arrives in time.
    pub async fn ask(
        &mut self,
        topic: Topic,
        from: Option<Position>,
        repeats: bool,
        proof_age_ms: Option<u64>,
    ) -> Result<Option<Answer>, String> {
        let question = Question { topic, from, repeats, proof_age_ms };
        let question = postcard::to_stdvec(&question).map_err(|e| e.to_string())?;
        let answer = async {
            self.frames.send(Bytes::from(question)).await.map_err(|error| error.to_string())?;
            self.frames.next().await.ok_or("the connection ended")?.map_err(|e| e.to_string())
        };
        let answer: Result<_, String> =
            timeout(Duration::from_millis(HOLD_MAX_MS + ANSWER_TIMEOUT_MS), answer)
                .await
                .map_err(|_| "no answer in time".to_owned())?;
        postcard::from_bytes(&answer?).map_err(|error| error.to_string())
    }
}

/// Accepts connections of other gateways and answers their questions.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                ntex::rt::spawn(serve(gateway.clone(), stream, from));
            }
            Err(error) => {
                warn!("peer replay: cannot accept a connection: {error}");
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Creates the slots for answers with all newest records.
pub fn snapshot_slots() -> Semaphore {
    Semaphore::new(SNAPSHOTS_AT_ONCE)
}

/// Waits until a topic has been read, for the longest time for which a question is held back.
async fn wait_until_read(gateway: &Gateway, topic: Topic) {
    let notified = gateway.new_records(topic).notified();
    if gateway.replay_buffer(topic).borrow().next().is_none() {
        // A timeout is handled like a notification: the answer holds what is known by then.
        let _ = timeout(Duration::from_millis(HOLD_MAX_MS), notified).await;
    }
}

/// Waits for a slot. Returns nothing if the asking gateway has given up meanwhile.
async fn wait_for_slot(gateway: &Gateway) -> Option<SemaphorePermit<'_>> {
    let slot = gateway.snapshot_slots.acquire();
    let within = Duration::from_millis(HOLD_MAX_MS + ANSWER_TIMEOUT_MS);
    timeout(within, slot).await.ok()?.ok()
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, from: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("peer replay: cannot set TCP_NODELAY for {from}: {error}");
    }
    let (reader, writer) = stream.into_split();
    let mut questions = FramedRead::new(reader, codec(QUESTION_MAX));
    let mut answers = FramedWrite::new(writer, codec(ANSWER_MAX));
    while let Some(Ok(frame)) = questions.next().await {
        let question = match postcard::from_bytes::<Question>(&frame) {
            Ok(question) => question,
            Err(error) => {
                warn!("peer replay: cannot decode a question from {from}: {error}");
                return;
            }
        };
        // Held until the answer is sent.
        let mut slot = None;
        if question.from.is_none() {
            wait_until_read(&gateway, question.topic).await;
            slot = wait_for_slot(&gateway).await;
            if slot.is_none() {
                gateway.count("questions_given_up");
                return;
            }
        }
        gateway.count("questions_answered");
        let answer = match slot {
            Some(_) => answer_now(&gateway, &question),
            None => answer_when_new(&gateway, &question).await,
        };
        let bytes = match postcard::to_stdvec(&answer) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("peer replay: cannot encode an answer to {from}: {error}");
                return;
            }
        };
        gateway.count_by("record_bytes", bytes.len() as u64);
        // The asking gateway has given up by then, and an answer that cannot be delivered must not
        // keep its slot.
        let within = Duration::from_millis(HOLD_MAX_MS + ANSWER_TIMEOUT_MS);
        if !matches!(timeout(within, answers.send(Bytes::from(bytes))).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Returns the answer as soon as there are new records or a younger proof, or after `HOLD_MAX_MS`
/// at the latest. `None` means that this gateway cannot answer the question.
async fn answer_when_new(gateway: &Gateway, question: &Question) -> Option<Answer> {
    let began = gateway.now();
    let notified = gateway.new_records(question.topic).notified();
    let mut answer = answer_now(gateway, question);
    if !answer.as_ref().is_some_and(|answer| has_news(question, answer)) {
        // A timeout is handled like a notification: the answer holds what is known by then.
        let _ = timeout(Duration::from_millis(HOLD_MAX_MS), notified).await;
        answer = answer_now(gateway, question);
    }
    let mut answer = answer?;
    answer.held_ms = gateway.now() - began;
    Some(answer)
}

/// Returns whether an answer has news for the asking gateway: records, or a younger proof.
fn has_news(question: &Question, answer: &Answer) -> bool {
    let has_younger_proof = answer.proof_age_ms.is_some_and(|age_ms| {
        question.proof_age_ms.is_none_or(|known_ms| age_ms + YOUNGER_PROOF_MS < known_ms)
    });
    !answer.records.is_empty() || answer.snapshot || has_younger_proof
}

fn answer_now(gateway: &Gateway, question: &Question) -> Option<Answer> {
    let topic = question.topic;
    let buffer = gateway.replay_buffer(topic).borrow();
    let kept = match question.repeats {
        true => buffer.since_with_repeats(question.from),
        false => buffer.since(question.from),
    };
    drop(buffer);
    let (records, snapshot, next) = match kept {
        ReplayAnswer::Records(records, next) => (records, false, next),
        ReplayAnswer::Newest(next) => (newest(gateway, topic), true, next),
        ReplayAnswer::Behind => {
            if topic == Topic::BackendServers {
                gateway.servers_behind.notify_one();
            }
            return None;
        }
        ReplayAnswer::Unread => return None,
    };
    let now = gateway.now();
    let proof_age_ms = match topic {
        // For backend servers, the age also shows whether the gateway receives answers of the
        // store: their records may be late by as much.
        Topic::Configuration | Topic::BackendServers => gateway.proof_age_ms(),
        Topic::Leaders => None,
    };
    let store_failed_ms_ago = gateway.store_failed_at.get().map(|at| now - at);
    Some(Answer {
        records,
        snapshot,
        next,
        held_ms: 0,
        proof_age_ms,
        list_age_ms: gateway.list_age_ms(),
        stored_version: gateway.stored_version.get(),
        store_failed_ms_ago,
    })
}

/// Returns the newest record of each key, as held by this gateway.
fn newest(gateway: &Gateway, topic: Topic) -> Vec<Record> {
    match topic {
        Topic::Configuration => {
            let lookup = gateway.lookup();
            let configuration = lookup.map(|l| Record::Configuration(l.configuration.clone()));
            let drained = gateway.drains.borrow().failure_domains().into_iter();
            let drains =
                drained.map(|failure_domain| Record::Drain { failure_domain, drained: true });
            configuration.into_iter().chain(drains).collect()
        }
        Topic::BackendServers => {
            let directory = gateway.directory.borrow();
            let missing = gateway.missing.borrow();
            let listed = directory.iter().filter(|server| !missing.contains(&server.id));
            let records = listed.map(|server| gateway.with_known_cold_time(server));
            records.map(Record::BackendServer).collect()
        }
        Topic::Leaders => {
            let claim = gateway.election.borrow().newest();
            claim.map(Record::Leader).into_iter().collect()
        }
    }
}
