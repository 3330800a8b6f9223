//! A caller's connection: requests are read completely before they are handled, answers are written
//! piece by piece.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ntex::SharedCfg;
use ntex::codec::Decoder;
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadItem, PayloadType};
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HttpServiceConfig, Method, Request, Response, StatusCode};
use ntex::io::{Io, IoStatusUpdate};
use ntex::util::{BytesMut, Either};
use oliveworks_gateway_core::attempts::Verdict;
use tokio::time::{sleep, timeout};

use crate::body::ArrivingBody;
use crate::body_memory::{BodyShare, OutOfMemory};
use crate::caller_connections::{AnswerProgress, ConnectionState, EndReason, Phase};
use crate::dialect::Headers;
use crate::state::Gateway;

/// Limits on a connection before the first configuration has arrived, in bytes and ms.
const HEAD_MAX: usize = 16 << 10;
const BODY_MAX: usize = 4 << 20;
const IDLE_MS: u64 = 15_000;
const HEAD_MS: u64 = 3_000;
/// Time allowed for receiving a body, in ms.
const BODY_MS: u64 = 10_000;
/// Time beyond the configured timeouts, in ms, so that what callers begin in time does not meet the
/// end of the connection.
const RESERVE_MS: u64 = 2_000;
/// Time after the decision to close an idle connection in which its last bytes are read, in ms.
const LAST_READ_MS: u64 = 50;
/// Time allowed for sending the last bytes of a connection, in ms.
const CLOSE_MS: u64 = 500;
/// Time allowed to the caller for closing a connection after the last answer on it, in ms.
const LINGER_MS: u64 = 1_000;

/// A request, read completely.
pub struct ReceivedRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Headers of the request.
    pub headers: Headers,
    /// Body of the request.
    pub body: Bytes,
    /// Memory that the body holds.
    share: Option<BodyShare>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}

/// Data received on a connection.
pub enum Received {
    /// A request.
    Request(Box<ReceivedRequest>),
    /// An invalid request, which is answered with a verdict before the connection ends.
    Invalid(Verdict),
    /// A request that was rejected before its body was read. The connection ends with the answer.
    Rejected(Box<ReceivedRequest>, Rejected),
    /// End of the connection.
    End(EndReason),
}

/// Reason for rejecting a request before its body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The verdict on its head.
    Verdict(Verdict),
    /// The bodies of other requests use up the memory for them.
    LacksMemory,
}

/// Reason for a body that was not read.
enum Unread {
    Rejected(Rejected),
    Other(Received),
}

impl From<Rejected> for Unread {
    fn from(rejected: Rejected) -> Unread {
        Unread::Rejected(rejected)
    }
}

impl From<OutOfMemory> for Unread {
    fn from(_: OutOfMemory) -> Unread {
        Unread::Rejected(Rejected::LacksMemory)
    }
}

impl From<Received> for Unread {
    fn from(received: Received) -> Unread {
        Unread::Other(received)
    }
}

impl From<Verdict> for Unread {
    fn from(verdict: Verdict) -> Unread {
        Unread::Other(Received::Invalid(verdict))
    }
}

/// Judges a request by its head.
pub type Admit<'a> = &'a dyn Fn(&ReceivedRequest) -> Result<(), Rejected>;

/// Error for a connection that ended while an answer was written.
pub struct Disconnected;

/// A connection to a caller.
pub struct Connection {
    io: Io,
    codec: Codec,
    closes_after_answer: bool,
    /// Whether the caller may send more than what was read.
    may_send_more: bool,
    state: Rc<ConnectionState>,
}

/// Decodes the beginning of a request: discards empty lines before it, and leaves its bytes where they
/// are.
struct RequestStart;

impl Decoder for RequestStart {
    type Item = ();
    type Error = Infallible;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<()>, Infallible> {
        let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
        src.advance_to(src.iter().take_while(is_line_end).count());
        Ok((!src.is_empty()).then_some(()))
    }
}

/// Discards all bytes.
struct Discard;

impl Decoder for Discard {
    type Item = ();
    type Error = Infallible;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<()>, Infallible> {
        let has_bytes = !src.is_empty();
        src.clear();
        Ok(has_bytes.then_some(()))
    }
}

/// Decodes the head of a request up to the limit of the moment.
struct HeadDecoder<'a> {
    codec: &'a Codec,
    gateway: &'a Gateway,
    /// Number of bytes of the head that the codec has consumed.
    consumed: Cell<usize>,
}

impl Decoder for HeadDecoder<'_> {
    type Item = <Codec as Decoder>::Item;
    type Error = DecodeError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Self::Item>, DecodeError> {
        let arrived = self.consumed.get() + src.len();
        let decoded = self.codec.decode(src)?;
        self.consumed.set(arrived - src.len());
        // The bytes that follow a complete head belong to the body or to the next request.
        let length = if decoded.is_some() { self.consumed.get() } else { arrived };
        match length > self.gateway.limits().map_or(HEAD_MAX, |limits| limits.max_header_bytes) {
            true => Err(DecodeError::TooLarge(length)),
            false => Ok(decoded),
        }
    }
}

fn header(name: &str, value: &[u8]) -> Option<(HeaderName, HeaderValue)> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    Some((name, HeaderValue::from_bytes(value).ok()?))
}

fn headers_of(request: &Request) -> Headers {
    let pairs = request.headers().iter();
    pairs.map(|(n, v)| (n.as_str().to_owned(), Bytes::copy_from_slice(v.as_bytes()))).collect()
}

impl Connection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(io: Io) -> Connection {
        // The limit may change while the connection is open: `HeadDecoder` enforces it.
        let config = HttpServiceConfig::new().set_max_buf_size(usize::MAX);
        let shared: SharedCfg = SharedCfg::new("callers").add(config).into();
        let codec = Codec::new(0, shared.get());
        Connection {
            io,
            codec,
            closes_after_answer: false,
            may_send_more: true,
            state: Rc::default(),
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    /// Returns the reason for which the caller's side of the connection ended; `None` if it has not
    /// ended.
    pub async fn caller_end(&self) -> Option<EndReason> {
        if !self.io.is_closed() {
            return None;
        }
        match poll_fn(|cx| self.io.poll_status_update(cx)).await {
            IoStatusUpdate::PeerGone(Some(_)) => Some(EndReason::CallerReset),
            _ => Some(EndReason::CallerClosed),
        }
    }

    /// Returns the end of a connection that the caller has ended.
    async fn ended_by_caller(&self) -> Received {
        Received::End(self.caller_end().await.unwrap_or(EndReason::CallerClosed))
    }

    /// Waits for a request. Once its first byte has arrived, neither an idle timeout nor a stop closes
    /// the connection before the request has been read or rejected.
    ///
    /// A request with a long body is judged by `admit` before the body is read.
    pub async fn receive(&mut self, gateway: &Gateway, admit: Admit<'_>) -> Received {
        self.state.enter(gateway.now(), Phase::Idle);
        self.may_send_more = true;
        if let Err(ended) = self.wait_for_request(gateway).await {
            return ended;
        }
        self.state.enter(gateway.now(), Phase::Head);
        let (request, payload) = match self.read_head(gateway).await {
            Ok(head) => head,
            Err(received) => return received,
        };
        self.state.enter(gateway.now(), Phase::Body);
        let head = request.head();
        let mut received = ReceivedRequest {
            method: head.method.clone(),
            target: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: headers_of(&request),
            body: Bytes::new(),
            share: None,
        };
        match self.body(gateway, &request, payload, || admit(&received)).await {
            Ok(Some(body)) => {
                let (body, share) = body.into_parts();
                (received.body, received.share) = (body, Some(share));
            }
            Ok(None) => {}
            Err(Unread::Rejected(why)) => return Received::Rejected(Box::new(received), why),
            Err(Unread::Other(received)) => return received,
        }
        self.may_send_more = self.codec.keepalive();
        Received::Request(Box::new(received))
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(&self, gateway: &Gateway) -> Result<(), Received> {
        let reason = tokio::select! {
            biased;
            begun = self.wait_for_first_byte() => return begun,
            () = wait_until_requests_are_rejected(gateway) => EndReason::Stop,
            () = wait_until_idle_too_long(gateway) => EndReason::IdleTimeout,
        };
        // Bytes may have arrived during a pause of this process and still wait to be read.
        let last_read = timeout(Duration::from_millis(LAST_READ_MS), self.wait_for_first_byte());
        last_read.await.unwrap_or(Err(Received::End(reason)))
    }

    async fn wait_for_first_byte(&self) -> Result<(), Received> {
        match self.io.recv(&RequestStart).await {
            Ok(Some(())) => Ok(()),
            Ok(None) | Err(_) => Err(self.ended_by_caller().await),
        }
    }

    /// Reads the head of a request whose first byte has arrived.
    async fn read_head(&self, gateway: &Gateway) -> Result<(Request, PayloadType), Received> {
        let decoder = HeadDecoder { codec: &self.codec, gateway, consumed: Cell::new(0) };
        let head_ms =
            || gateway.limits().map_or(HEAD_MS, |limits| limits.header_timeout_ms) + RESERVE_MS;
        let message = tokio::select! {
            biased;
            message = self.io.recv(&decoder) => message,
            () = wait_until_exceeded(gateway, head_ms) => {
                return Err(Received::Invalid(Verdict::TooSlow));
            }
        };
        match message {
            Ok(Some(head)) => Ok(head),
            Ok(None) | Err(Either::Right(_)) => Err(self.ended_by_caller().await),
            Err(Either::Left(error)) => Err(Received::Invalid(verdict_of(&error))),
        }
    }

    /// Reads the body of a request; `None` if it has none.
    async fn body(
        &self,
        gateway: &Gateway,
        request: &Request,
        payload: PayloadType,
        admit: impl Fn() -> Result<(), Rejected>,
    ) -> Result<Option<ArrivingBody>, Unread> {
        let decoder = match payload {
            PayloadType::None => return Ok(None),
            PayloadType::Payload(decoder) => decoder,
            PayloadType::Stream(_) => return Err(Verdict::BadRequest.into()),
        };
        let mut body = ArrivingBody::new(&gateway.body_memory);
        if let Some(length) = content_length(request) {
            // The limit may be raised while the body arrives.
            let length = length.min(max_body_bytes(gateway));
            check_length(gateway, 0, length, &admit)?;
            body.reserve(length)?;
        }
        if request.head().expect() {
            let _ = self.io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let read = async {
            loop {
                match self.io.recv(&decoder).await {
                    Ok(Some(PayloadItem::Chunk(chunk))) => {
                        let length = body.length_with(chunk.len());
                        check_length(gateway, body.length_with(0), length, &admit)?;
                        body.append(&chunk)?;
                    }
                    Ok(Some(PayloadItem::Eof)) => return Ok(()),
                    Ok(None) | Err(Either::Right(_)) => {
                        return Err(self.ended_by_caller().await.into());
                    }
                    Err(Either::Left(_)) => return Err(Verdict::BadRequest.into()),
                }
            }
        };
        match timeout(Duration::from_millis(BODY_MS), read).await {
            Ok(Ok(())) => Ok(Some(body)),
            Ok(Err(unread)) => Err(unread),
            Err(_) => Err(Verdict::TooSlow.into()),
        }
    }

    /// Marks the next answer as the last one on the connection.
    pub fn close_after_next_answer(&mut self) {
        self.closes_after_answer = true;
    }

    /// Returns whether another request may follow.
    pub fn can_continue(&self) -> bool {
        !self.closes_after_answer && self.codec.keepalive()
    }

    fn head(
        &self,
        status: StatusCode,
        headers: &Headers,
        size: BodySize,
    ) -> Result<(), Disconnected> {
        let mut response = Response::build(status).finish().drop_body();
        for (name, value) in headers {
            if let Some((name, value)) = header(name, value) {
                response.headers_mut().append(name, value);
            }
        }
        if self.closes_after_answer {
            response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
        }
        self.io.encode(Message::Item((response, size)), &self.codec).map_err(|_| Disconnected)
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    /// Returns an error if the caller has disconnected.
    pub async fn answer(
        &mut self,
        status: StatusCode,
        headers: &[(String, Bytes)],
        body: Bytes,
    ) -> Result<(), Disconnected> {
        self.state.set_progress(AnswerProgress::Undelivered);
        let size = BodySize::Sized(body.len() as u64);
        self.head(status, &headers.to_vec(), size)?;
        if !body.is_empty() {
            let chunk = ntex::util::Bytes::copy_from_slice(&body);
            self.io.encode(Message::Chunk(Some(chunk)), &self.codec).map_err(|_| Disconnected)?;
        }
        self.io.flush(true).await.map_err(|_| Disconnected)
    }

    /// Begins an answer of unknown length.
    ///
    /// # Errors
    /// Returns an error if the caller has disconnected.
    pub fn begin(&mut self, status: StatusCode, headers: &Headers) -> Result<(), Disconnected> {
        self.head(status, headers, BodySize::Stream)
    }

    /// Writes a part of an answer.
    ///
    /// # Errors
    /// Returns an error if the caller has disconnected.
    pub async fn part(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let chunk = ntex::util::Bytes::copy_from_slice(bytes);
        self.io.encode(Message::Chunk(Some(chunk)), &self.codec).map_err(|_| Disconnected)?;
        if self.io.is_wr_backpressure() {
            self.io.flush(false).await.map_err(|_| Disconnected)?;
        }
        Ok(())
    }

    /// Ends an answer.
    ///
    /// # Errors
    /// Returns an error if the caller has disconnected.
    pub async fn end(&mut self) -> Result<(), Disconnected> {
        self.state.set_progress(AnswerProgress::Undelivered);
        self.io.encode(Message::Chunk(None), &self.codec).map_err(|_| Disconnected)?;
        self.io.flush(true).await.map_err(|_| Disconnected)
    }

    /// Waits until the caller disconnects.
    pub fn wait_for_disconnect(&self) -> ntex::io::OnDisconnect {
        self.io.on_disconnect()
    }

    /// Closes the connection after the data written so far. If bytes of another request arrive
    /// meanwhile, the end is recorded with `reason`.
    pub async fn close(self, gateway: &Gateway, reason: Option<EndReason>) {
        let is_open = !self.io.is_closed();
        self.state.enter(gateway.now(), Phase::Closing);
        let lingers = self.closes_after_answer && self.may_send_more;
        let has_discarded = lingers && self.discard_until_closed().await;
        let _ = timeout(Duration::from_millis(CLOSE_MS), self.io.shutdown()).await;
        let is_cut = has_discarded || self.io.with_read_buf(|unread| !unread.is_empty());
        if let Some(reason) = reason.filter(|_| is_open && is_cut) {
            self.state.enter(gateway.now(), Phase::Head);
            self.state.record_end(gateway, reason);
        }
    }

    /// Reads and discards what the caller sends until it closes the connection, for a limited time,
    /// and returns whether there was anything.
    ///
    /// Closing a connection with unread bytes resets it, and a reset may discard an answer that the
    /// caller has not read yet.
    async fn discard_until_closed(&self) -> bool {
        let has_discarded = Cell::new(false);
        let discard = async {
            while let Ok(Some(())) = self.io.recv(&Discard).await {
                has_discarded.set(true);
            }
        };
        let _ = timeout(Duration::from_millis(LINGER_MS), discard).await;
        has_discarded.get()
    }

    /// Terminates the connection, so that an unfinished answer does not look complete.
    pub fn abort(self) {
        self.io.get_ref().terminate();
    }
}

/// Waits until the process stops and accepts no more requests.
async fn wait_until_requests_are_rejected(gateway: &Gateway) {
    let _ = gateway.stopping.subscribe().wait_for(|stopping| *stopping).await;
    let accepts_until = gateway.stop.get().map_or(0, |stop| stop.accepts_until);
    sleep(Duration::from_millis(accepts_until.saturating_sub(gateway.now()))).await;
}

/// Waits until a connection that is idle from now on has been so for too long, according to the
/// limits at that time.
async fn wait_until_idle_too_long(gateway: &Gateway) {
    let idle_ms = || gateway.limits().map_or(IDLE_MS, |limits| limits.idle_timeout_ms) + RESERVE_MS;
    wait_until_exceeded(gateway, idle_ms).await;
}

/// Waits until more time has passed than `limit_ms` returns at that time. A limit that is raised
/// meanwhile counts at once, a lowered one from the next call on.
async fn wait_until_exceeded(gateway: &Gateway, limit_ms: impl Fn() -> u64) {
    let began = gateway.now();
    loop {
        let left_ms = (began + limit_ms()).saturating_sub(gateway.now());
        if left_ms == 0 {
            return;
        }
        sleep(Duration::from_millis(left_ms)).await;
    }
}

/// Returns the length of a body as its head states it.
fn content_length(request: &Request) -> Option<usize> {
    request.headers().get("content-length")?.to_str().ok()?.trim().parse().ok()
}

fn max_body_bytes(gateway: &Gateway) -> usize {
    gateway.limits().map_or(BODY_MAX, |limits| limits.max_body_bytes)
}

/// Checks the length of a body that grows, before its bytes are held.
fn check_length(
    gateway: &Gateway,
    before: usize,
    length: usize,
    admit: impl Fn() -> Result<(), Rejected>,
) -> Result<(), Unread> {
    if length > max_body_bytes(gateway) {
        return Err(Verdict::BodyTooLarge.into());
    }
    let requires = ArrivingBody::requires_judgement;
    if requires(length) && !requires(before) {
        admit()?;
    }
    Ok(())
}

fn verdict_of(error: &DecodeError) -> Verdict {
    match error {
        DecodeError::MaxHeaders | DecodeError::TooLarge(_) => Verdict::HeadTooLarge,
        _ => Verdict::BadRequest,
    }
}
