//! What a platform's adapter must say: names and formats, no decisions and no I/O.

use std::fmt;

use bytes::Bytes;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, Holding};
use oliveworks_gateway_core::configuration::Configuration;
use oliveworks_gateway_core::election::Claim;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::place::Place;
use oliveworks_gateway_core::planner::{Order, Outcome};
use oliveworks_gateway_core::rate_limits::Rate;
use serde::{Deserialize, Serialize};

/// Headers in order; names in lower case.
pub type Headers = Vec<(String, Bytes)>;

/// What could not be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed: {}", self.0)
    }
}

impl std::error::Error for Malformed {}

/// A stream of the store's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// Backend servers.
    BackendServers,
    /// Who gives orders: this system's own.
    Leaders,
}

/// All topics.
pub const TOPICS: [Topic; 3] = [Topic::Configuration, Topic::BackendServers, Topic::Leaders];

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A version of the configuration.
    Configuration(Configuration),
    /// The operators drain a failure domain, or do so no more. Stands in the configuration's topic.
    Drain {
        /// The failure domain.
        failure_domain: String,
        /// Whether it is drained from here on.
        drained: bool,
    },
    /// A backend server.
    BackendServer(BackendServer),
    /// A backend server that is no longer listed.
    BackendServerGone(BackendServerId),
    /// A backend server's record that cannot be understood: it is not to be used by the one before it.
    BackendServerUnusable {
        /// Its id.
        id: BackendServerId,
        /// What is wrong, in words.
        why: String,
    },
    /// Who leads from here on.
    Leader(Claim),
    /// Something else, or something that cannot be understood.
    Unknown(String),
}

/// A call to the store or a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// `GET` or `POST`.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// A part of a topic's newest records.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Records.
    pub records: Vec<Record>,
    /// The key to continue after, if there are more.
    pub after: Option<String>,
    /// The offset at which the topic ended.
    pub end: u64,
}

/// What a read of a topic found.
#[derive(Clone, Debug, PartialEq)]
pub enum Tail {
    /// Records, perhaps none, and the offset to go on from.
    Records(Vec<Record>, u64),
    /// The offset is not kept; the first that is, if the store says so.
    Expired(Option<u64>),
    /// The store turned the call away.
    Refused(u16),
}

/// How a claim to lead was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// It is written at this offset.
    Written(u64),
    /// Another was written meanwhile.
    Lost,
    /// The store turned the call away.
    Refused(u16),
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// The request's id.
    pub id: String,
    /// Its key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The model that it asks for.
    pub model: Option<String>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// What its prompt consists of, as the caller names it: the same for the same prompt.
    pub prompt: Option<String>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What this system says with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said<'a> {
    /// How long the backend server may work.
    pub deadline_ms: u64,
    /// Which backend server is meant.
    pub server: &'a str,
    /// The workspace that the request belongs to.
    pub workspace: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Its rank among others, 0 the highest.
    pub priority: Option<u8>,
}

/// When a backend server that refuses wants to be asked again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// It does not say.
    #[default]
    NotTold,
    /// After so many ms.
    Ms(u64),
    /// It says so in a way that cannot be understood.
    Unreadable(String),
}

/// The requests a second that a backend server takes from all gateways together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    NotTold,
    /// It takes so many.
    Rate(Rate),
    /// It says so in a way that cannot be understood.
    Unreadable(String),
}

/// The era that an answer of the store names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NamedEra {
    /// It names none.
    #[default]
    NotTold,
    /// Which copy of itself the store answers from.
    Era(Era),
    /// It says so in a way that cannot be understood.
    Unreadable(String),
}

/// What a backend server's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether it carries the backend server's signature.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Whether its body is encoded, which no caller asked for.
    pub encoded: bool,
    /// Whether the backend server says that it leaves.
    pub leaving: bool,
    /// When this gateway may send to it again, if it refuses.
    pub retry_after: RetryAfter,
    /// The limit that it names.
    pub limit: NamedLimit,
    /// Names of headers that speak of the backend server and that nothing here reads.
    pub unread: Vec<String>,
}

/// How a platform speaks.
pub trait Dialect: 'static {
    /// Reads what matters of a caller's headers.
    ///
    /// # Errors
    /// If the request has no id.
    fn asked(&self, headers: &Headers) -> Result<Asked, Malformed>;
    /// The headers that a backend server gets: the caller's, less those that are the system's to
    /// set, and what it says.
    fn outgoing(&self, headers: &Headers, said: &Said<'_>) -> Headers;
    /// Reads what matters of an answer's head.
    fn answered(&self, status: u16, headers: &Headers) -> Answered;
    /// The header that tells a caller when to come back.
    fn come_back(&self, ms: u64) -> (String, String);
    /// The header that names the request in an answer of this system's own.
    fn request_id(&self, id: &str) -> (String, String);
    /// Where the platform asks whether a process is ready.
    fn ready_path(&self) -> &'static str;

    /// Reads which era an answer of the store is of.
    fn store_era(&self, headers: &Headers) -> NamedEra;
    /// Asks for a topic's newest records.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Call;
    /// Reads them.
    ///
    /// # Errors
    /// If they cannot be understood.
    fn page(&self, topic: Topic, status: u16, body: &[u8]) -> Result<Page, Malformed>;
    /// Reads a topic on from an offset; the store may wait for a record.
    fn tail(&self, topic: Topic, from: u64, wait_ms: u64) -> Call;
    /// Reads what it answers to a read from `from`.
    ///
    /// # Errors
    /// If it cannot be understood.
    fn tailed(&self, topic: Topic, from: u64, status: u16, body: &[u8]) -> Result<Tail, Malformed>;
    /// Claims to lead if the topic still ends at `end`.
    fn claim(&self, end: Place, claimant: u64) -> Call;
    /// Reads what it answers.
    ///
    /// # Errors
    /// If it cannot be understood.
    fn claimed(&self, status: u16, body: &[u8]) -> Result<Claimed, Malformed>;

    /// Gives an order to a backend server.
    ///
    /// It is refused if `expects` is given and the backend server has begun more or fewer orders.
    fn order(&self, server: &str, fence: u64, order: &Order, expects: Option<u64>) -> Call;
    /// Reads how it was answered.
    fn ordered(&self, status: u16) -> Outcome;
    /// Asks a backend server for its state.
    fn report(&self, server: &str) -> Call;
    /// Reads it; nothing if another backend server answers at the address.
    ///
    /// # Errors
    /// If it cannot be understood.
    fn reported(&self, status: u16, body: &[u8]) -> Result<Option<Holding>, Malformed>;
}
