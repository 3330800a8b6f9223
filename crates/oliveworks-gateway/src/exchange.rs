//! HTTP/1 client connections to backend servers and the store.
//!
//! hyper's client is used instead of ntex's for two reasons: ntex's client drops the body of an
//! answer that ends with its connection, as backend servers may send it, and its connection pool
//! cannot be controlled. The connection is driven by the task that waits on it, so dropping an
//! exchange ends it at once.
//!
//! An exchange that is dropped before its answer is complete is reset rather than closed.
//! Otherwise, data in transit during a network partition would arrive when the partition heals: a
//! request would run in addition to its repeat at another server, and an order would be carried out
//! long after it counted as unanswered.

use std::fmt;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use log::debug;
use oliveworks_gateway_core::turn::{Next, PAUSE_MS, Turn};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::counted_stream::{CountedStream, ReceivedBytes};
use crate::dialect::{Call, Headers};

type Driver = http1::Connection<TokioIo<CountedStream>, Full<Bytes>>;
type AwaitedHead = Pin<Box<dyn Future<Output = hyper::Result<Response<Incoming>>>>>;

/// Reason why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// The address rejects connections, since nothing listens there.
    Refused,
    /// No response from the address.
    Silent,
}

/// Reason why there is no complete answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection ended, or the received data is not a valid answer.
    Connection(String),
    /// The timeout expired.
    Late,
    /// The answer is too large.
    Large,
}

/// Reason why a call on a new connection has no complete answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened.
    NoConnection(NoConnection),
    /// A connection was opened, but no complete answer arrived on it in time.
    NoAnswer,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Connection(why) => write!(f, "connection: {why}"),
            ExchangeError::Late => write!(f, "late"),
            ExchangeError::Large => write!(f, "too large"),
        }
    }
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        ExchangeError::Connection(error.to_string())
    }
}

/// An HTTP/1 connection to a backend server or the store.
pub struct Exchange {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Option<Pin<Box<Driver>>>,
    /// Head of the answer to the request that was sent, until it is received.
    awaited_head: Option<AwaitedHead>,
    /// Whether a request was sent whose answer is not complete.
    awaits_answer: bool,
    turn: Turn,
    /// What the next poll for bytes of a body begins with.
    next: Next,
    /// Pause between two turns.
    pause: Option<Pin<Box<Sleep>>>,
    received: ReceivedBytes,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(driver) = self.driver.take().filter(|_| self.awaits_answer) else { return };
        let stream = Pin::into_inner(driver).into_parts().io.into_inner().into_inner();
        if let Err(error) = stream.set_zero_linger() {
            debug!(
                "exchange: cannot set zero linger, so the connection is closed and not reset: {error}"
            );
        }
    }
}

/// Status of an answer from a backend server that is not the intended one.
pub const MISDIRECTED: u16 = 421;
/// Largest head of an answer, in bytes.
pub const HEAD_MAX: usize = 64 << 10;

impl Exchange {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns the reason if no connection can be opened in time.
    pub async fn open(address: SocketAddr, within_ms: u64) -> Result<Exchange, NoConnection> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(Duration::from_millis(within_ms), connecting).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(NoConnection::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(NoConnection::Silent),
        };
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_MAX);
        let stream = CountedStream::new(stream);
        let received = stream.received();
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| NoConnection::Silent)?;
        let driver = Some(Box::pin(driver));
        Ok(Exchange {
            sender,
            driver,
            awaited_head: None,
            awaits_answer: false,
            turn: Turn::default(),
            next: Next::Take,
            pause: None,
            received,
        })
    }

    /// Returns the number of bytes received on the connection.
    pub fn received_bytes(&self) -> usize {
        self.received.get()
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver
            && driver.as_mut().poll(context).is_ready()
        {
            self.driver = None;
        }
    }

    /// Returns whether another request can be sent on the connection.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            self.drive(context);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Starts to send a request. The request is sent while the answer is polled for.
    pub fn begin(&mut self, request: Request<Full<Bytes>>) {
        self.awaits_answer = true;
        self.awaited_head = Some(Box::pin(self.sender.send_request(request)));
    }

    /// Polls for the head of the answer to the request that was begun.
    ///
    /// # Errors
    /// Returns an error if the connection ends or the received data is not a valid answer.
    pub fn poll_head(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Response<Incoming>, ExchangeError>> {
        self.drive(context);
        let Some(awaited) = &mut self.awaited_head else {
            return Poll::Ready(Err(ExchangeError::Connection("no request was sent".into())));
        };
        let head = ready!(awaited.as_mut().poll(context));
        self.awaited_head = None;
        Poll::Ready(head.map_err(ExchangeError::from))
    }

    /// Polls for the next bytes of an answer's body; none at its end.
    ///
    /// # Errors
    /// Returns an error if the body breaks off.
    pub fn poll_next(
        &mut self,
        context: &mut Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Result<Option<Bytes>, ExchangeError>> {
        loop {
            ready!(self.poll_turn(context));
            self.drive(context);
            let frame = match Pin::new(&mut *body).poll_frame(context) {
                Poll::Ready(frame) => frame,
                Poll::Pending => {
                    self.turn.end();
                    return Poll::Pending;
                }
            };
            let frame = match frame {
                None => {
                    self.awaits_answer = false;
                    return Poll::Ready(Ok(None));
                }
                Some(Err(error)) => return Poll::Ready(Err(error.into())),
                Some(Ok(frame)) => frame,
            };
            let data = frame.into_data();
            self.next = self.turn.record(data.as_ref().map_or(0, Bytes::len));
            if let Ok(data) = data {
                return Poll::Ready(Ok(Some(data)));
            }
        }
    }

    /// Waits until the turn of this peer goes on or begins anew.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        match std::mem::replace(&mut self.next, Next::Take) {
            Next::Take => {}
            Next::Yield => {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Next::Pause => {
                self.pause = Some(Box::pin(sleep(Duration::from_millis(PAUSE_MS))));
            }
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns an error if the connection ends or the received data is not a valid answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.begin(request);
        poll_fn(|context| self.poll_head(context)).await
    }

    /// Returns a complete body.
    ///
    /// # Errors
    /// Returns an error if the body breaks off or is larger than `max`.
    pub async fn read_body(
        &mut self,
        body: &mut Incoming,
        max: usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut all = Vec::new();
        while let Some(part) = poll_fn(|context| self.poll_next(context, body)).await? {
            if all.len() + part.len() > max {
                return Err(ExchangeError::Large);
            }
            all.extend_from_slice(&part);
        }
        Ok(all.into())
    }
}

/// Returns the headers of an answer.
pub fn headers_of(response: &Response<Incoming>) -> Headers {
    let pairs = response.headers().iter();
    pairs.map(|(n, v)| (n.as_str().to_owned(), Bytes::copy_from_slice(v.as_bytes()))).collect()
}

/// Builds the HTTP request of a call.
fn request_of(call: &Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let mut request = Request::builder().method(call.method).uri(&call.target);
    request = request.header("host", address.to_string());
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    request.body(Full::new(call.body.clone())).map_err(|e| ExchangeError::Connection(e.to_string()))
}

/// Largest answer of the store, in bytes.
pub const STORE_ANSWER_MAX: usize = 16 << 20;
/// Largest answer of a backend server to an order or a question, in bytes.
pub const SERVER_ANSWER_MAX: usize = 1 << 20;

/// A complete answer to a call of this system itself.
pub struct Reply {
    /// Status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Headers,
    /// Body of the answer.
    pub body: Bytes,
}

/// Makes a call on an open connection. The body of the answer has at most `body_max` bytes.
///
/// # Errors
/// Returns an error if no complete answer arrives in time. The call may have taken effect
/// nevertheless.
pub async fn call(
    exchange: &mut Exchange,
    address: SocketAddr,
    call: &Call,
    within_ms: u64,
    body_max: usize,
) -> Result<Reply, ExchangeError> {
    let request = request_of(call, address)?;
    let answer = async {
        let mut response = exchange.send(request).await?;
        let status = response.status().as_u16();
        let headers = headers_of(&response);
        let body = exchange.read_body(response.body_mut(), body_max).await?;
        Ok(Reply { status, headers, body })
    };
    match tokio::time::timeout(Duration::from_millis(within_ms), answer).await {
        Ok(answer) => answer,
        Err(_) => Err(ExchangeError::Late),
    }
}
