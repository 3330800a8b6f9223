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
use ntex::http::h1::{Codec, Message, PayloadDecoder, PayloadItem, PayloadType};
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HttpServiceConfig, Method, Request, Response, StatusCode};
use ntex::io::{Io, IoStatusUpdate};
use ntex::util::{BytesMut, Either};
use oliveworks_gateway_core::attempts::Verdict;
use oliveworks_runtime::clock::Clock;
use tokio::time::{sleep, timeout};

use crate::body::ArrivingBody;
use crate::caller_connections::{AnswerProgress, ConnectionState, EndReason, Phase};
use crate::dialect::Headers;
use crate::memory_budget::{MemoryShare, OutOfMemory};
use crate::request_head::{HeadDecoder, HeadError};
use crate::state::Gateway;

/// Limits on a connection before the first configuration has arrived, in bytes and ms.
const BODY_MAX: usize = 4 << 20;
const IDLE_MS: u64 = 15_000;
const HEAD_MS: u64 = 3_000;
/// Largest line before a chunk of a body, with its extensions, in bytes.
const CHUNK_LINE_MAX: usize = 4 << 10;
/// Time allowed for receiving a body, in ms.
const BODY_MS: u64 = 10_000;
/// Time beyond the configured timeouts, in ms, so that what callers begin in time does not meet the
/// end of the connection.
const RESERVE_MS: u64 = 2_000;
/// Time after the decision to close an idle connection in which its last bytes are read, in ms.
const LAST_READ_MS: u64 = 50;
/// Time allowed for sending the last bytes of a connection, in ms.
const CLOSE_MS: u64 = 500;
/// Time in which a caller takes a part of an answer, in ms. A caller that has lost its connection for
/// a moment is served when it is back.
const TAKE_MS: u64 = 5_000;
/// Size of the parts in which an answer is written, in bytes.
const PART_BYTES: usize = 16 << 10;
/// Time allowed to the caller for closing a connection after the last answer on it, in ms.
const LINGER_MS: u64 = 1_000;
/// Number of bytes after the last answer that are discarded without a pause, and the pause between
/// two reads after them, in ms.
const DISCARDED_AT_ONCE: usize = 256 << 10;
const DISCARD_PAUSE_MS: u64 = 20;

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
    /// Memory that the head holds.
    _head_share: MemoryShare,
    /// Memory that the body holds.
    body_share: Option<MemoryShare>,
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
    /// A request that cannot be read, which is answered with a verdict before the connection ends.
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

/// Error for a connection that ended while an answer was written, or whose caller does not take it.
pub struct Disconnected;

/// A connection to a caller.
pub struct Connection {
    io: Io,
    codec: Codec,
    closes_after_answer: bool,
    /// Whether the caller may send more than what was read.
    may_send_more: bool,
    state: Rc<ConnectionState>,
    clock: Clock,
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

/// Decodes a body, and bounds what lies between its chunks, which the codec collects.
struct BodyDecoder(PayloadDecoder);

impl Decoder for BodyDecoder {
    type Item = PayloadItem;
    type Error = DecodeError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<PayloadItem>, DecodeError> {
        match self.0.decode(src)? {
            None if src.len() > CHUNK_LINE_MAX => Err(DecodeError::TooLarge(src.len())),
            item => Ok(item),
        }
    }
}

/// Discards all bytes, and returns their number.
struct Discard;

impl Decoder for Discard {
    type Item = usize;
    type Error = Infallible;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<usize>, Infallible> {
        let length = src.len();
        src.clear();
        Ok((length > 0).then_some(length))
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
    pub fn new(io: Io, clock: Clock) -> Connection {
        // `HeadDecoder` enforces the limits, which may change while the connection is open.
        let config =
            HttpServiceConfig::new().set_max_buf_size(usize::MAX).set_max_headers(usize::MAX);
        let shared: SharedCfg = SharedCfg::new("callers").add(config).into();
        let codec = Codec::new(0, shared.get());
        Connection {
            io,
            codec,
            closes_after_answer: false,
            may_send_more: true,
            state: Rc::default(),
            clock,
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
        let (mut received, arriving) = match self.read_head(gateway).await {
            Ok(head) => head,
            Err(received) => return received,
        };
        self.state.enter(gateway.now(), Phase::Body);
        match self.body(gateway, arriving, || admit(&received)).await {
            Ok(Some(body)) => {
                let (body, share) = body.into_parts();
                (received.body, received.body_share) = (body, Some(share));
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
    async fn read_head(
        &self,
        gateway: &Gateway,
    ) -> Result<(ReceivedRequest, BodyFraming), Received> {
        let decoder = HeadDecoder::new(&self.codec, gateway);
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
            Ok(Some((head, payload))) => Ok(split_head(&head, payload, decoder.into_share())),
            Ok(None) | Err(Either::Right(_)) => Err(self.ended_by_caller().await),
            Err(Either::Left(error)) => Err(Received::Invalid(verdict_of(&error))),
        }
    }

    /// Reads the body of a request; `None` if it has none.
    async fn body(
        &self,
        gateway: &Gateway,
        framing: BodyFraming,
        admit: impl Fn() -> Result<(), Rejected>,
    ) -> Result<Option<ArrivingBody>, Unread> {
        let decoder = match framing.payload {
            PayloadType::None => return Ok(None),
            PayloadType::Payload(decoder) => BodyDecoder(decoder),
            PayloadType::Stream(_) => return Err(Verdict::BadRequest.into()),
        };
        let mut body = ArrivingBody::new(&gateway.body_memory);
        if let Some(length) = framing.length {
            // The limit may be raised while the body arrives.
            let length = length.min(max_body_bytes(gateway));
            check_length(gateway, 0, length, &admit)?;
            body.reserve(length)?;
        }
        if framing.expects_continue {
            let _ = self.io.encode_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let read = async {
            loop {
                match self.io.recv(&decoder).await {
                    Ok(Some(PayloadItem::Chunk(chunk))) => {
                        let length = body.length_with(chunk.len());
                        check_length(gateway, body.length_with(0), length, &admit)?;
                        body.append(&chunk)?;
                        self.state.record_body_part(chunk.len());
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

    /// Returns whether bytes have arrived that belong to no request so far.
    pub fn has_unread_bytes(&self) -> bool {
        self.io.with_read_buf(|unread| !unread.is_empty())
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
        for part in body.chunks(PART_BYTES) {
            self.part(part).await?;
        }
        self.flush(true).await
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
        match self.io.is_wr_backpressure() {
            true => self.flush(false).await,
            false => Ok(()),
        }
    }

    /// Waits until the caller has taken what was written: all of it, or the most.
    async fn flush(&self, all: bool) -> Result<(), Disconnected> {
        self.state.set_blocked_since(Some(self.clock.now().0));
        let flushed = timeout(Duration::from_millis(TAKE_MS), self.io.flush(all)).await;
        self.state.set_blocked_since(None);
        match flushed {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Disconnected),
        }
    }

    /// Ends an answer.
    ///
    /// # Errors
    /// Returns an error if the caller has disconnected.
    pub async fn end(&mut self) -> Result<(), Disconnected> {
        self.state.set_progress(AnswerProgress::Undelivered);
        self.io.encode(Message::Chunk(None), &self.codec).map_err(|_| Disconnected)?;
        self.flush(true).await
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
        let has_discarded = lingers
            && tokio::select! {
                biased;
                has_discarded = self.discard_until_closed() => has_discarded,
                // Whether anything was discarded is not known, and is of no use any more.
                () = self.state.wait_for_eviction() => false,
            };
        let _ = timeout(Duration::from_millis(CLOSE_MS), self.io.shutdown()).await;
        let is_cut = has_discarded || self.has_unread_bytes();
        if let Some(reason) = reason.filter(|_| is_open && is_cut) {
            self.state.enter(gateway.now(), Phase::Head);
            self.state.record_end(gateway, reason);
        }
    }

    /// Reads and discards what the caller sends until it closes the connection, for a limited time,
    /// and returns whether there was anything.
    ///
    /// Closing a connection with unread bytes resets it, and a reset may discard an answer that the
    /// caller has not read yet. A caller that goes on sending without end is slowed down, so that it
    /// takes no processor time from others.
    async fn discard_until_closed(&self) -> bool {
        let discarded = Cell::new(0);
        let discard = async {
            while let Ok(Some(bytes)) = self.io.recv(&Discard).await {
                discarded.update(|sum| sum + bytes);
                if discarded.get() > DISCARDED_AT_ONCE {
                    sleep(Duration::from_millis(DISCARD_PAUSE_MS)).await;
                }
            }
        };
        let _ = timeout(Duration::from_millis(LINGER_MS), discard).await;
        discarded.get() > 0
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

/// How the body of a request arrives, according to its head.
struct BodyFraming {
    payload: PayloadType,
    /// Length of the body, if the head states it.
    length: Option<usize>,
    /// Whether the caller waits for a word before it sends the body.
    expects_continue: bool,
}

/// Splits a decoded head into what is kept of it and what its body needs.
fn split_head(
    request: &Request,
    payload: PayloadType,
    share: MemoryShare,
) -> (ReceivedRequest, BodyFraming) {
    let head = request.head();
    let received = ReceivedRequest {
        method: head.method.clone(),
        target: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: headers_of(request),
        body: Bytes::new(),
        _head_share: share,
        body_share: None,
    };
    let length = content_length(request);
    (received, BodyFraming { payload, length, expects_continue: head.expect() })
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

fn verdict_of(error: &HeadError) -> Verdict {
    match error {
        HeadError::Invalid(DecodeError::TooLarge(_)) => Verdict::HeadTooLarge,
        HeadError::Invalid(_) => Verdict::BadRequest,
        HeadError::OutOfMemory => Verdict::NotRun,
    }
}
