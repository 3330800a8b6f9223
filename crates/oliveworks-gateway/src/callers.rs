//! Accepts callers' connections and handles their requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::util::{Either, select};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::caller_connections::EndReason;
use crate::connection::{Connection, Received};
use crate::relay;
use crate::state::Gateway;

/// Pause after a failed attempt to accept a connection, in ms.
const ACCEPT_RETRY_MS: u64 = 20;

async fn serve(gateway: Rc<Gateway>, io: Io) {
    let mut connection = Connection::new(io);
    let _open = gateway.caller_connections.add(connection.state().clone());
    let (id_header, _) = gateway.dialect.request_id_header("");
    let reason = loop {
        let request = match connection.receive(&gateway).await {
            Received::Request(request) => request,
            Received::Invalid(verdict) => {
                gateway.count("improper");
                connection.close_after_next_answer();
                let end = relay::reject(&gateway, &mut connection, "", verdict, 0).await;
                if end == relay::End::Torn {
                    record_end(&gateway, &connection, EndReason::CallerClosed).await;
                }
                break None;
            }
            Received::End(reason) => {
                connection.state().record_end(&gateway, reason);
                break Some(reason);
            }
        };
        if gateway.is_stopping() {
            connection.close_after_next_answer();
        }
        gateway.requests_in_flight.set(gateway.requests_in_flight.get() + 1);
        let id = request.header(&id_header).unwrap_or_default();
        connection.state().enter_answer(gateway.now(), id);
        let gone = connection.wait_for_disconnect();
        let ended = select(relay::handle(&gateway, &mut connection, *request), gone).await;
        gateway.requests_in_flight.set(gateway.requests_in_flight.get() - 1);
        match ended {
            Either::Left(relay::End::Whole) if connection.can_continue() => {}
            Either::Left(relay::End::Whole) => {
                break gateway.is_stopping().then_some(EndReason::Stop);
            }
            Either::Left(relay::End::Torn) => {
                record_end(&gateway, &connection, EndReason::Torn).await;
                connection.abort();
                return;
            }
            Either::Right(()) => {
                gateway.count("callers_left");
                record_end(&gateway, &connection, EndReason::CallerClosed).await;
                return;
            }
        }
    };
    connection.close(&gateway, reason).await;
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
    let config: SharedCfg = SharedCfg::new("callers").into();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
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
