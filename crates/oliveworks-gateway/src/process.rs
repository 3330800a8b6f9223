//! Starts and stops a gateway.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use log::info;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::callers::{self, Audience};
use crate::dialect::Dialect;
use crate::relay::STOP_NOTICE_MS;
use crate::settings::Settings;
use crate::state::Gateway;
use crate::{leader, peers, store};

/// Time of the grace that is left unused.
const GRACE_MARGIN_MS: u64 = 700;

/// Runs a gateway until it is told to stop.
///
/// # Errors
/// If it cannot listen where its settings say.
pub async fn run(settings: Settings, dialect: Rc<dyn Dialect>) -> anyhow::Result<()> {
    let listen = settings.listen.clone();
    let callers = TcpListener::bind(listen.callers).await.context("listen.callers")?;
    let ready = TcpListener::bind(listen.ready).await.context("listen.ready")?;
    let socket = Rc::new(UdpSocket::bind(listen.peers).await.context("listen.peers")?);
    let gateway = Rc::new(Gateway::new(settings, dialect));
    info!("process: starts as {}, life {}", gateway.settings.node, gateway.life);
    ntex::rt::spawn(store::follow_configuration(gateway.clone()));
    ntex::rt::spawn(store::follow_workers(gateway.clone()));
    ntex::rt::spawn(store::follow_leaders(gateway.clone()));
    ntex::rt::spawn(peers::receive(gateway.clone(), socket.clone()));
    ntex::rt::spawn(peers::send(gateway.clone(), socket));
    ntex::rt::spawn(leader::run(gateway.clone()));
    ntex::rt::spawn(callers::accept(gateway.clone(), ready, Audience::Platform));
    ntex::rt::spawn(callers::accept(gateway.clone(), callers, Audience::Callers));
    let mut hang_up = signal(SignalKind::hangup())?;
    ntex::rt::spawn(async move {
        while hang_up.recv().await.is_some() {
            info!("process: settings are read at the next start");
        }
    });
    signal(SignalKind::terminate())?.recv().await;
    stop(&gateway).await;
    Ok(())
}

/// Lets the platform notice, finishes what is under way, and ends.
async fn stop(gateway: &Rc<Gateway>) {
    info!("process: stops, {} requests are under way", gateway.open_requests.get());
    let began = gateway.now();
    gateway.stopping.send_replace(true);
    let last = began + gateway.settings.bounds.grace_ms.saturating_sub(GRACE_MARGIN_MS);
    loop {
        let now = gateway.now();
        let noticed = now >= began + STOP_NOTICE_MS + 200;
        if now >= last || (noticed && gateway.open_requests.get() == 0) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    info!("process: ends, {} requests are cut off", gateway.open_requests.get());
}
