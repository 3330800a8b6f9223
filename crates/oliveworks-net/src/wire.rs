//! Messages between processes.

use std::net::SocketAddr;

use oliveworks_core::answer::AttemptId;
use oliveworks_core::error::Refusal;
use oliveworks_core::id::{Epoch, HostId, Incarnation, Millis, Offset};
use oliveworks_core::ledger::{Handover, Kept, Revoked};
use oliveworks_core::message::{GroupReport, LeaseMsg};
use oliveworks_core::route::Load;
use oliveworks_runtime::timeline::Filter;
use serde::{Deserialize, Serialize};

/// Message that is sent as a datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// Message of the lease protocol, with the host of the sender. The host must match the sender's
    /// certificate.
    Lease(HostId, LeaseMsg),
}

/// Message from the process that opens a stream. Each question except [`Question::Body`] and
/// [`Question::BodyEnd`] is the first frame of its stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Query by an entry for the status of an agent and for the agent's cache events, from the
    /// event with this number on.
    Hello(u64),
    /// Handover of a request from an entry. [`Question::Body`] frames follow, then
    /// [`Question::BodyEnd`].
    Run(Box<Run>),
    /// Part of the request's body.
    Body(Vec<u8>),
    /// End of the request's body.
    BodyEnd,
    /// Revocation by an entry that lost contact, to prevent an attempt from beginning.
    Revoke(Handover),
    /// Query for the records from an offset on. The answer may be held back for a while.
    Feed(FeedQuestion),
    /// Report of a group to a decider.
    Report(GroupReport),
    /// Query for timeline events, on behalf of operators.
    Timeline(Filter),
}

impl Question {
    /// Returns the kind of the message, used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Question::Hello(_) => "hello",
            Question::Run(_) => "run",
            Question::Body(_) | Question::BodyEnd => "body",
            Question::Revoke(_) => "revoke",
            Question::Feed(_) => "feed",
            Question::Report(_) => "report",
            Question::Timeline(_) => "timeline",
        }
    }
}

/// Attempt at a request, as sent to an agent. The run of an agent process is an `Incarnation`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Epoch of the group that the request is sent to.
    pub epoch: Epoch,
    /// Handover for the agent's ledger.
    pub handed: Handover,
    /// Number of the first wanted piece. The caller already has the pieces before it.
    pub from: u64,
    /// Time left until the request's deadline, in milliseconds.
    pub left_ms: u32,
    /// Priority of the request.
    pub priority: u8,
    /// Call to make at the backend server.
    pub call: Call,
}

/// Call to make at the backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Chat or plain completion of a model engine, with the body as JSON.
    Completion {
        /// Whether the request has chat messages rather than a plain prompt.
        chat: bool,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// Call of a plain service. Its body follows in frames.
    Service {
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Headers that are forwarded.
        headers: Vec<(String, Vec<u8>)>,
        /// Whether a body follows.
        has_body: bool,
    },
}

/// Query for records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedQuestion {
    /// Offset of the first wanted record.
    pub from: Offset,
    /// Number of the question, which is returned in the answer.
    pub number: u64,
    /// Maximum time that the answer may be held back while there are no new records, in
    /// milliseconds.
    pub hold_ms: u32,
}

/// Answer with records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// Number of the question.
    pub number: u64,
    /// Snapshot, if the record at the requested offset is no longer kept.
    pub snapshot: Option<Vec<u8>>,
    /// Signed records with their offsets.
    pub records: Vec<(Offset, String)>,
    /// Next offset of the sender: the sender knows no record at or after this offset.
    pub next: Offset,
    /// Time since `next` was last proved to be the end of the log, in milliseconds.
    pub age_ms: Option<u64>,
}

/// Status of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Time on the agent's clock.
    pub clock: Millis,
    /// Group that the agent currently serves as its leader, if any.
    pub serving: Option<Epoch>,
    /// Leader of the agent's group and the address of the leader's agent, if the leader is another
    /// host.
    pub leader: Option<(HostId, SocketAddr)>,
    /// Load of the backend server.
    pub load: Load,
    /// Prefix blocks that the engine stored: the latest ones, from the requested event number on.
    pub stored: Vec<u64>,
    /// Prefix blocks that the engine evicted.
    pub evicted: Vec<u64>,
    /// Event number to request next time.
    pub next_event: u64,
    /// Next offset of the agent's configuration.
    pub next: Offset,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Number of generated tokens.
    pub completion: u32,
    /// Number of tokens of the prompt that were cached.
    pub cached: u32,
}

/// Message in reply to a [`Question`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Question::Hello`].
    Hello(Hello),
    /// Status and headers of a service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that are forwarded.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// Keep-alive frame, sent while the request runs and there is nothing else to send.
    Alive,
    /// Piece of an answer: the text of a token, or bytes of a service's body.
    Piece {
        /// Id of the attempt.
        id: AttemptId,
        /// Number of the piece, counted from zero over all attempts.
        number: u64,
        /// Content of the piece.
        data: Vec<u8>,
    },
    /// End of the answer.
    End {
        /// Id of the attempt.
        id: AttemptId,
        /// Total number of pieces.
        pieces: u64,
        /// Reason why the model stopped.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
        /// Load of the backend server after the request.
        load: Load,
    },
    /// Kept answer of an earlier request with the same key.
    Kept(Kept),
    /// Refusal of the attempt.
    Refused {
        /// Id of the attempt.
        id: AttemptId,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Leader to ask instead and the address of its agent, if known.
        leader: Option<(HostId, SocketAddr)>,
    },
    /// Reply to [`Question::Revoke`].
    Revoked(Revoked),
    /// Reply to [`Question::Feed`].
    Feed(FeedAnswer),
    /// Reply to [`Question::Report`].
    Noted,
    /// Reply to [`Question::Timeline`]: events as JSON, because operators' tools read them.
    Events(Vec<u8>),
}

impl Reply {
    /// Returns the kind of the message, used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Reply::Hello(_) => "hello",
            Reply::Alive => "alive",
            Reply::Head { .. } | Reply::Piece { .. } | Reply::End { .. } | Reply::Kept(_) => {
                "answer"
            }
            Reply::Refused { .. } => "refused",
            Reply::Revoked(_) => "revoke",
            Reply::Feed(_) => "feed",
            Reply::Noted => "report",
            Reply::Events(_) => "timeline",
        }
    }
}

/// Headers that are not forwarded because they concern only one connection.
const NOT_FORWARDED: [&str; 12] = [
    "content-length",
    "transfer-encoding",
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
    "host",
    "authorization",
    "expect",
];

/// Returns whether a header is forwarded between the caller and a service.
pub fn is_forwarded(name: &str) -> bool {
    !NOT_FORWARDED.contains(&name)
}
