//! Interface to the adapter of a platform: names and formats, without decisions or I/O.

use std::fmt;

use bytes::Bytes;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId, Holding};
use oliveworks_gateway_core::configuration::Configuration;
use oliveworks_gateway_core::crashers::PartId;
use oliveworks_gateway_core::election::Claim;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::planner::{Order, Outcome};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::rate_limits::Rate;
use serde::{Deserialize, Serialize};

/// Headers in order, with names in lower case.
pub type Headers = Vec<(String, Bytes)>;

/// Error for data that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed: {}", self.0)
    }
}

impl std::error::Error for Malformed {}

/// A topic of the store, which is a log of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Configuration set by the operators.
    Configuration,
    /// Backend servers.
    BackendServers,
    /// Claims to the leadership. This topic is written by gateways only.
    Leaders,
}

/// All topics.
pub const TOPICS: [Topic; 3] = [Topic::Configuration, Topic::BackendServers, Topic::Leaders];

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A version of the configuration.
    Configuration(Configuration),
    /// Start or end of the drain of a failure domain; part of the configuration's topic.
    Drain {
        /// Name of the failure domain.
        failure_domain: String,
        /// Whether the failure domain is drained from this record on.
        drained: bool,
    },
    /// A backend server.
    BackendServer(BackendServer),
    /// A backend server that is no longer listed.
    BackendServerGone(BackendServerId),
    /// A backend server whose record cannot be parsed. Its previous record is no longer valid.
    BackendServerUnusable {
        /// Id of the backend server.
        id: BackendServerId,
        /// Description of the fault.
        why: String,
    },
    /// A claim to the leadership.
    Leader(Claim),
    /// An unknown record, or one that cannot be parsed.
    Unknown(String),
}

/// A call to the store or a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method, `GET` or `POST`.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// One page of the newest records of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Records.
    pub records: Vec<Record>,
    /// Key after which the next page begins; none on the last page.
    pub after: Option<String>,
    /// Offset at which the topic ended.
    pub end: u64,
}

/// Result of reading a topic from an offset.
#[derive(Clone, Debug, PartialEq)]
pub enum Tail {
    /// All records up to the end of the topic, possibly none, and the offset at which to continue.
    Records(Vec<Record>, u64),
    /// The first ones of the records, because the store limits the size of its answers, and the
    /// offset at which to continue.
    Cut(Vec<Record>, u64),
    /// The offset is no longer kept. Contains the first kept offset, if the store names it.
    Expired(Option<u64>),
    /// The store rejected the call with this status.
    Refused(u16),
}

/// Result of a claim to the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is written at this offset.
    Written(u64),
    /// Another record was written meanwhile.
    Lost,
    /// The store rejected the call with this status.
    Refused(u16),
}

/// Parts of a prompt that other requests may contain as well, as named by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SharedParts {
    /// The caller names no parts.
    #[default]
    Absent,
    /// Ids of the parts, in the order of the prompt; possibly empty.
    Named(Vec<PartId>),
    /// The list cannot be parsed. Contains its beginning.
    Unreadable(String),
}

/// Properties of a request, read from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request.
    pub id: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time for which the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// Requested model.
    pub model: Option<String>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Last event received by the caller.
    pub last_event: Option<u64>,
}

/// Information that this system adds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardInfo<'a> {
    /// Time left for the backend server, in ms.
    pub deadline_ms: u64,
    /// Id of the intended backend server.
    pub server: &'a str,
    /// Workspace of the request.
    pub workspace: Option<&'a str>,
    /// Last event received by the caller.
    pub last_event: Option<u64>,
    /// Priority of the request; 0 is the highest.
    pub priority: Option<u8>,
}

/// Time after which a rejecting backend server may be asked again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The answer names no time.
    #[default]
    Absent,
    /// Number of ms to wait.
    Ms(u64),
    /// The value cannot be parsed.
    Unreadable(String),
}

/// Rate limit of a backend server for all gateways together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// Rate of accepted requests.
    Rate(Rate),
    /// The value cannot be parsed.
    Unreadable(String),
}

/// Era named in an answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NamedEra {
    /// The answer names no era.
    #[default]
    Absent,
    /// Era of the store.
    Era(Era),
    /// The value cannot be parsed.
    Unreadable(String),
}

/// Properties of an answer, read from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerInfo {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the answer carries the backend server's signature.
    pub signed: bool,
    /// Whether the answer states that the request did not run.
    pub not_run: bool,
    /// Whether the body is encoded, for which no caller asks.
    pub encoded: bool,
    /// Whether the backend server announces that it is leaving.
    pub leaving: bool,
    /// Time after which this gateway may send again, in a rejection.
    pub retry_after: RetryAfter,
    /// Rate limit named by the backend server.
    pub limit: NamedLimit,
    /// Names of headers about the backend server that this gateway does not read.
    pub unknown_headers: Vec<String>,
}

/// Message formats of a platform.
pub trait Dialect: 'static {
    /// Reads the relevant headers of a caller's request.
    ///
    /// # Errors
    /// Returns an error if the request has no id.
    fn parse_request(&self, headers: &Headers) -> Result<RequestInfo, Malformed>;
    /// Reads the parts of a request's prompt that other requests may contain as well. There may be
    /// thousands, so only requests with a route and a key are read for them.
    fn parse_shared_parts(&self, headers: &Headers) -> SharedParts;
    /// Returns the headers for a backend server: those of the caller, except for headers reserved
    /// for this system, and those with the information in `info`.
    fn outgoing_headers(&self, headers: &Headers, info: &ForwardInfo<'_>) -> Headers;
    /// Reads the relevant parts of an answer's head.
    fn parse_answer(&self, status: u16, headers: &Headers) -> AnswerInfo;
    /// Returns the header with the time after which a caller may retry.
    fn retry_after_header(&self, ms: u64) -> (String, String);
    /// Returns the header with the request id for an answer of this system itself.
    fn request_id_header(&self, id: &str) -> (String, String);
    /// Returns the path at which the platform checks the readiness of a process.
    fn ready_path(&self) -> &'static str;

    /// Reads the era named in an answer of the store.
    fn parse_store_era(&self, headers: &Headers) -> NamedEra;
    /// Builds the call for a page of a topic's newest records.
    fn newest_call(&self, topic: Topic, after: Option<&str>) -> Call;
    /// Parses the answer to that call.
    ///
    /// # Errors
    /// Returns an error if the answer cannot be parsed.
    fn parse_page(&self, topic: Topic, status: u16, body: &[u8]) -> Result<Page, Malformed>;
    /// Builds the call that reads a topic from an offset; the store may wait up to `wait_ms` for a
    /// record.
    fn tail_call(&self, topic: Topic, from: u64, wait_ms: u64) -> Call;
    /// Parses the answer to a read from offset `from`.
    ///
    /// # Errors
    /// Returns an error if the answer cannot be parsed.
    fn parse_tail(
        &self,
        topic: Topic,
        from: u64,
        status: u16,
        body: &[u8],
    ) -> Result<Tail, Malformed>;
    /// Builds the call that claims the leadership if the topic still ends at `end`.
    fn claim_call(&self, end: Position, claimant: u64) -> Call;
    /// Parses the answer to a claim.
    ///
    /// # Errors
    /// Returns an error if the answer cannot be parsed.
    fn parse_claim(&self, status: u16, body: &[u8]) -> Result<ClaimOutcome, Malformed>;

    /// Builds the call that sends an order to a backend server.
    ///
    /// The server rejects the order if `expects` is given and differs from the number of orders
    /// that the server has begun.
    fn order_call(&self, server: &str, fence: u64, order: &Order, expects: Option<u64>) -> Call;
    /// Interprets the status of the answer to an order.
    fn parse_order_status(&self, status: u16) -> Outcome;
    /// Builds the call that asks a backend server for its state.
    fn report_call(&self, server: &str) -> Call;
    /// Parses the state; none if another backend server answers at the address.
    ///
    /// # Errors
    /// Returns an error if the answer cannot be parsed.
    fn parse_report(&self, status: u16, body: &[u8]) -> Result<Option<Holding>, Malformed>;
}
