//! What processes say to each other.

use std::net::SocketAddr;

use oliveworks_core::answer::AttemptId;
use oliveworks_core::error::Refusal;
use oliveworks_core::id::{Epoch, HostId, Incarnation, Millis, Offset};
use oliveworks_core::ledger::{Handover, Kept, Revoked};
use oliveworks_core::message::{GroupReport, LeaseMsg};
use oliveworks_core::route::Load;
use oliveworks_runtime::timeline::Filter;
use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The lease protocol, under the sender's host name, which must be its certificate's.
    Lease(HostId, LeaseMsg),
}

/// The first frame of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// An entry asks an agent how it stands, and for cache events from a number on.
    Hello(u64),
    /// An entry hands a request over. [`Question::Body`] frames follow, then [`Question::BodyEnd`].
    Run(Box<Run>),
    /// A part of the request's body.
    Body(Vec<u8>),
    /// The request's body is complete.
    BodyEnd,
    /// An entry lost contact and asks that a try not begin.
    Revoke(Handover),
    /// A process asks for what follows an offset; the answer may be held back for a while.
    Feed(FeedQuestion),
    /// A group's report to a decider.
    Report(GroupReport),
    /// For operators: events.
    Timeline(Filter),
}

impl Question {
    /// The kind, for metrics.
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

/// A request for an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The try.
    pub id: AttemptId,
    /// The group.
    pub epoch: Epoch,
    /// What the agent's ledger needs.
    pub handed: Handover,
    /// The first piece wanted; the caller has those before it.
    pub from: u64,
    /// The time left to the request, in milliseconds.
    pub left_ms: u32,
    /// The request's priority.
    pub priority: u8,
    /// What to call at the backend server.
    pub call: Call,
}

/// What to call at the backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A model engine's chat or plain completion, with the body as JSON.
    Completion {
        /// Chat messages rather than a plain prompt.
        chat: bool,
        /// The request's body.
        body: Vec<u8>,
    },
    /// A plain service's call; its body follows in frames.
    Service {
        /// The method.
        method: String,
        /// The path and query.
        path: String,
        /// The headers that are carried.
        headers: Vec<(String, Vec<u8>)>,
        /// Whether a body follows.
        has_body: bool,
    },
}

/// A question for records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedQuestion {
    /// The first offset wanted.
    pub from: Offset,
    /// Comes back in the answer.
    pub number: u64,
    /// How long the answer may be held back while nothing is new, in milliseconds.
    pub hold_ms: u32,
}

/// An answer with records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// The question's number.
    pub number: u64,
    /// A signed snapshot, if the offset asked for is no longer kept.
    pub snapshot: Option<Vec<u8>>,
    /// Signed records with their offsets.
    pub records: Vec<(Offset, String)>,
    /// Nothing at or after this was known.
    pub next: Offset,
    /// How long ago that was proved, in milliseconds.
    pub age_ms: Option<u64>,
}

/// How an agent stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Which run of the agent this is.
    pub incarnation: Incarnation,
    /// Its clock.
    pub clock: Millis,
    /// The group that it serves now, if it leads one.
    pub serving: Option<Epoch>,
    /// Who leads its group, if it is not itself.
    pub leader: Option<(HostId, SocketAddr)>,
    /// The load of its backend server.
    pub load: Load,
    /// Prefix blocks stored at the engine: the latest ones, from the number asked for on.
    pub stored: Vec<u64>,
    /// Prefix blocks evicted there.
    pub evicted: Vec<u64>,
    /// The number to ask for next time.
    pub next_event: u64,
    /// The next offset of its configuration.
    pub next: Offset,
}

/// Tokens of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens made.
    pub completion: u32,
    /// Tokens of the prompt that the cache held.
    pub cached: u32,
}

/// A frame of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Question::Hello`].
    Hello(Hello),
    /// A service's status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers that are carried.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// The request is in hand; sent while there is nothing else to say.
    Alive,
    /// A piece of an answer: a token's text, or bytes of a service's body.
    Piece {
        /// The try.
        id: AttemptId,
        /// Counted from zero over all tries.
        number: u64,
        /// What it says.
        data: Vec<u8>,
    },
    /// The answer's end.
    End {
        /// The try.
        id: AttemptId,
        /// Pieces in all.
        pieces: u64,
        /// Why the model stopped.
        finish_reason: String,
        /// Tokens counted.
        usage: Usage,
        /// The load after it.
        load: Load,
    },
    /// The answer to a key that ran before.
    Kept(Kept),
    /// The try is refused.
    Refused {
        /// The try.
        id: AttemptId,
        /// Why.
        refusal: Refusal,
        /// Whom to ask instead.
        leader: Option<(HostId, SocketAddr)>,
    },
    /// To [`Question::Revoke`].
    Revoked(Revoked),
    /// To [`Question::Feed`].
    Feed(FeedAnswer),
    /// To [`Question::Report`].
    Noted,
    /// To [`Question::Timeline`]: events as JSON, since operators' tools read them on.
    Events(Vec<u8>),
}

impl Reply {
    /// The kind, for metrics.
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

/// Headers that concern one connection only, and so are not carried.
const NOT_CARRIED: [&str; 12] = [
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

/// Whether a service's header is carried between caller and service.
pub fn is_carried(name: &str) -> bool {
    !NOT_CARRIED.contains(&name)
}
