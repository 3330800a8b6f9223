//! Start and stop of a gateway.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use log::warn;
use oliveworks_runtime::clock::Clock;
use serde_json::json;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::callers::{self, Audience};
use crate::dialect::Dialect;
use crate::events::Event;
use crate::settings::Settings;
use crate::state::Gateway;
use crate::{drains, leader, peer_replay, peers, records, reload};

/// Time between two checks whether a stop has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the receive and the send buffer of a client's connection, in bytes. A client that is 50 ms
/// away sends the largest body in the time that is allowed for it; larger buffers, times the number
/// of connections, would take memory that the process needs, and hide that a client reads nothing.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// Number of connections that wait to be accepted. What they send meanwhile takes memory.
const BACKLOG: u32 = 256;
/// Time in which the last lines of the log are written.
const LAST_LINES_TIME: Duration = Duration::from_millis(20);

/// Signals to the process, from the time of their installation on. Without it, each of them ends the
/// process at once.
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if the operating system rejects a signal handler.
    pub fn install() -> io::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        let hang_up = signal(SignalKind::hangup())?;
        Ok(Signals { terminate, hang_up })
    }
}

/// Runs a gateway until SIGTERM. On SIGHUP, the settings are read again by `read`.
///
/// # Errors
/// Returns an error if a listening address of the settings cannot be bound.
pub async fn run(
    settings: Settings,
    read: impl Fn() -> anyhow::Result<Settings> + 'static,
    dialect: Rc<dyn Dialect>,
    signals: Signals,
) -> anyhow::Result<()> {
    let Signals { mut terminate, mut hang_up } = signals;
    let held = settings.clone();
    ntex::rt::spawn(async move {
        while hang_up.recv().await.is_some() {
            reload::log_changes(&held, read());
        }
    });
    let shutdown = async move {
        terminate.recv().await;
    };
    run_until(settings, dialect, Clock::new(), shutdown).await
}

/// Runs a gateway until the future `shutdown` completes.
///
/// # Errors
/// Returns an error if a listening address of the settings cannot be bound.
pub async fn run_until(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    clock: Clock,
    shutdown: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let listen = settings.listen.clone();
    let callers = listen_for_clients(listen.callers).context("listen.callers")?;
    let ready = listen_for_clients(listen.ready).context("listen.ready")?;
    let socket = Rc::new(UdpSocket::bind(listen.peers).await.context("listen.peers")?);
    let questions = TcpListener::bind(listen.peers).await.context("listen.peers")?;
    let gateway = Rc::new(Gateway::new(settings, dialect, clock));
    Event::new("start")
        .with("node", gateway.settings.node.as_str())
        .with("life", gateway.incarnation)
        .with("version", env!("CARGO_PKG_VERSION"))
        .write();
    ntex::rt::spawn(records::follow(gateway.clone()));
    ntex::rt::spawn(peer_replay::accept(gateway.clone(), questions));
    ntex::rt::spawn(peers::receive(gateway.clone(), socket.clone()));
    ntex::rt::spawn(peers::send(gateway.clone(), socket));
    ntex::rt::spawn(leader::run(gateway.clone()));
    ntex::rt::spawn(drains::log_progress(gateway.clone()));
    ntex::rt::spawn(callers::accept(gateway.clone(), ready, Audience::Platform));
    ntex::rt::spawn(callers::accept(gateway.clone(), callers, Audience::Callers));
    shutdown.await;
    stop(&gateway).await;
    Ok(())
}

/// Listens for connections with bounded buffers.
fn listen_for_clients(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    let receives = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    if let Err(error) = receives.and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)) {
        warn!("process: cannot bound the buffers of connections at {address}: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits until the platform has noticed the stop, and for connections with a request, as the timeline
/// of the stop allows.
async fn stop(gateway: &Rc<Gateway>) {
    let open_requests = gateway.requests_in_flight.get();
    let stop = gateway.begin_stop();
    Event::new("stop_begins")
        .with("open_requests", open_requests)
        .with("accepts_for_ms", stop.accepts_until - stop.began)
        .with("awaits_for_ms", stop.awaits_until - stop.began)
        .with("ends_after_ms", stop.ends_at - stop.began)
        .write();
    while !stop.has_ended(gateway.now(), gateway.caller_connections.is_any_busy()) {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let cut_off = gateway.requests_in_flight.get();
    gateway.caller_connections.record_process_end(gateway);
    Event::new("stop_ends")
        .with("cut_off", cut_off)
        .with("without_answer", json!(gateway.caller_connections.ended_in_stop()))
        .with("after_ms", gateway.now().saturating_sub(stop.began))
        .write();
    // The thread that writes the log gets time for the last lines.
    sleep(LAST_LINES_TIME).await;
}
