//! Accepts callers' connections and handles their requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use ntex::SharedCfg;
use ntex::io::{Io, IoConfig};
use ntex::util::{Either, select};
use oliveworks_gateway_core::attempts::Verdict;
use oliveworks_gateway_core::configuration::Unmatched;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::caller_connections::EndReason;
use crate::connection::{Connection, Received, ReceivedRequest, Rejected};
use crate::events::Event;
use crate::relay;
use crate::state::Gateway;

/// Size of the read buffer of a connection, in bytes, the rest of it below which it grows, and the
/// number of unused buffers that are kept. Most requests fit; a larger buffer, times the number of
/// connections, would take memory that the process needs.
const READ_BUFFER_BYTES: usize = 8 << 10;
const READ_BUFFER_LOW_BYTES: usize = 1 << 10;
const CACHED_BUFFERS: usize = 16;
/// Pause after a failed attempt to accept a connection, in ms.
const ACCEPT_RETRY_MS: u64 = 20;
/// Shortest retry time sent with a request whose body was not read, in ms: most requests that hold
/// memory have ended by then.
pub const RETRY_AFTER_MS: u64 = 1_000;

/// Serves a connection until it ends or is closed in favour of others.
async fn serve(gateway: Rc<Gateway>, io: Io) {
    let mut connection = Connection::new(io, gateway.clock);
    let state = connection.state().clone();
    let _open = gateway.caller_connections.add(state.clone());
    let end = tokio::select! {
        biased;
        end = serve_requests(&gateway, &mut connection) => end,
        () = state.wait_for_eviction() => {
            gateway.count("connections_evicted");
            ConnectionEnd::Abort(EndReason::Evicted)
        }
    };
    match end {
        ConnectionEnd::Close(reason) => connection.close(&gateway, reason).await,
        ConnectionEnd::Abort(reason) => {
            record_end(&gateway, &connection, reason).await;
            connection.abort();
        }
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// It is closed after the data written so far. The end of a request that is cut off by it is
    /// recorded with the reason.
    Close(Option<EndReason>),
    /// It is terminated, since a request lacks its complete answer for the reason.
    Abort(EndReason),
}

/// Handles the requests of a connection, and returns how it ends.
async fn serve_requests(gateway: &Rc<Gateway>, connection: &mut Connection) -> ConnectionEnd {
    let (id_header, _) = gateway.dialect.request_id_header("");
    loop {
        let admit = |request: &ReceivedRequest| admit(gateway, request);
        let request = match connection.receive(gateway, &admit).await {
            Received::Request(request) => request,
            Received::Invalid(verdict) => {
                gateway.count(match verdict {
                    Verdict::NotRun => "refused_memory",
                    _ => "improper",
                });
                connection.close_after_next_answer();
                let end = relay::reject(gateway, connection, "", verdict, RETRY_AFTER_MS).await;
                if end == relay::End::Torn {
                    record_end(gateway, connection, EndReason::CallerClosed).await;
                }
                return ConnectionEnd::Close(None);
            }
            Received::Rejected(request, rejected) => {
                let id = request.header(&id_header).unwrap_or_default();
                reject_unread(gateway, connection, id, rejected).await;
                return ConnectionEnd::Close(None);
            }
            Received::End(reason) => {
                connection.state().record_end(gateway, reason);
                return ConnectionEnd::Close(Some(reason));
            }
        };
        if gateway.is_stopping() {
            connection.close_after_next_answer();
        }
        let id = request.header(&id_header).unwrap_or_default();
        connection.state().enter_answer(gateway.now(), id);
        let in_flight = RequestInFlight::new(gateway);
        let gone = connection.wait_for_disconnect();
        // Boxed, so that connections without a request do not take the memory of one.
        let ended = select(Box::pin(relay::handle(gateway, connection, *request)), gone).await;
        drop(in_flight);
        match ended {
            Either::Left(relay::End::Whole) if connection.can_continue() => {}
            Either::Left(relay::End::Whole) => {
                return ConnectionEnd::Close(gateway.is_stopping().then_some(EndReason::Stop));
            }
            Either::Left(relay::End::Torn) => return ConnectionEnd::Abort(EndReason::Torn),
            Either::Right(()) => {
                gateway.count("callers_left");
                return ConnectionEnd::Abort(EndReason::CallerClosed);
            }
        }
    }
}

/// Counts a request as in flight until dropped.
struct RequestInFlight<'a>(&'a Gateway);

impl RequestInFlight<'_> {
    fn new(gateway: &Gateway) -> RequestInFlight<'_> {
        gateway.requests_in_flight.update(|count| count + 1);
        RequestInFlight(gateway)
    }
}

impl Drop for RequestInFlight<'_> {
    fn drop(&mut self) {
        self.0.requests_in_flight.update(|count| count - 1);
    }
}

/// Judges the route and the key of a request whose body is not read yet.
fn admit(gateway: &Gateway, request: &ReceivedRequest) -> Result<(), Rejected> {
    let asked = gateway.dialect.parse_request(&request.headers);
    let asked = asked.map_err(|_| Rejected::Verdict(Verdict::BadRequest))?;
    let lookup = gateway.lookup().ok_or(Rejected::Verdict(Verdict::NotRun))?;
    let host = request.header("host").ok_or(Rejected::Verdict(Verdict::BadRequest))?;
    let path = request.target.split('?').next().unwrap_or_default();
    match lookup.find(host, path, asked.key.as_deref()) {
        Ok(_) => Ok(()),
        Err(Unmatched::NoRoute) => Err(Rejected::Verdict(Verdict::NoRoute)),
        Err(Unmatched::NoKey) => Err(Rejected::Verdict(Verdict::NoKey)),
    }
}

/// Rejects a request whose body was not read.
async fn reject_unread(
    gateway: &Gateway,
    connection: &mut Connection,
    id: &str,
    rejected: Rejected,
) {
    gateway.count("requests");
    let event = Event::new("request").with("request", id);
    let (event, verdict) = match rejected {
        Rejected::Verdict(verdict) => (event.debug("outcome", verdict), verdict),
        Rejected::LacksMemory => {
            gateway.count("refused_memory");
            gateway.caller_connections.evict_stalled(gateway.now());
            let event = event
                .with("outcome", "refused: NotRun")
                .with("steps", vec!["no memory for its body"]);
            (event, Verdict::NotRun)
        }
    };
    event.write();
    connection.close_after_next_answer();
    let end = relay::reject(gateway, connection, id, verdict, RETRY_AFTER_MS).await;
    if end == relay::End::Torn {
        record_end(gateway, connection, EndReason::CallerClosed).await;
    }
}

/// Records the end of a connection: that by the caller if the caller has ended it, or else that
/// for `reason`.
async fn record_end(gateway: &Gateway, connection: &Connection, reason: EndReason) {
    let reason = connection.caller_end().await.unwrap_or(reason);
    connection.state().record_end(gateway, reason);
}

/// Kind of client served at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Callers of the services.
    Callers,
    /// Clients that check the readiness of this process or read its metrics.
    Platform,
}

/// Accepts connections.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener, audience: Audience) {
    let buffers =
        IoConfig::new().set_read_buf(READ_BUFFER_BYTES, READ_BUFFER_LOW_BYTES, CACHED_BUFFERS);
    let config: SharedCfg = SharedCfg::new("callers").add(buffers).into();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let connections = match audience {
            Audience::Callers => &gateway.caller_connections,
            Audience::Platform => &gateway.platform_connections,
        };
        if !connections.make_room(gateway.now()) {
            // Nothing of a request has been read, so its caller may repeat it elsewhere.
            gateway.count("connections_rejected");
            continue;
        }
        let Some(io) = into_ntex_io(stream, config.clone(), peer) else { continue };
        match audience {
            Audience::Callers => {
                ntex::rt::spawn(serve(gateway.clone(), io));
            }
            Audience::Platform => {
                ntex::rt::spawn(crate::readiness::serve(gateway.clone(), io));
            }
        }
    }
}

fn into_ntex_io(stream: tokio::net::TcpStream, config: SharedCfg, peer: SocketAddr) -> Option<Io> {
    let _ = stream.set_nodelay(true);
    let io = stream.into_std().and_then(|stream| ntex::rt::from_tcp_stream(stream, config));
    if let Err(error) = &io {
        debug!("callers: cannot set up the connection from {peer}: {error}");
    }
    io.ok()
}
