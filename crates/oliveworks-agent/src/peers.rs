//! Requests and lease messages from other processes to the agent.

use std::sync::Arc;

use oliveworks_core::id::HostId;
use oliveworks_net::frame::{Reader, Writer};
use oliveworks_net::wire::{Datagram, Hello, Question, Reply};
use quinn::Connection;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::process::{Process, lock};

/// Receiver of new connections, each with the name of its peer.
pub type Connections = UnboundedReceiver<(String, Connection)>;

/// Serves every connection until the endpoint is closed.
pub async fn serve(process: Arc<Process>, mut connections: Connections) {
    while let Some((name, connection)) = connections.recv().await {
        ntex::rt::spawn(serve_datagrams(process.clone(), name.clone(), connection.clone()));
        ntex::rt::spawn(serve_streams(process.clone(), name, connection));
    }
}

/// Receives lease messages. A message whose sender differs from the peer of the connection is
/// dropped.
async fn serve_datagrams(process: Arc<Process>, name: String, connection: Connection) {
    let host: Option<HostId> = name.parse().ok();
    while let Ok(datagram) = process.net.read_datagram(&connection).await {
        let Some(Datagram::Lease(from, msg)) = datagram else { continue };
        if host != Some(from) || from.to_string() != name {
            log::warn!("Dropped a lease message of {from} that was sent by {name}.");
            continue;
        }
        let now = process.clock.now();
        process.apply(|agent| agent.receive(now, from, msg));
    }
}

async fn serve_streams(process: Arc<Process>, name: String, connection: Connection) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let (process, name) = (process.clone(), name.clone());
        ntex::rt::spawn(async move {
            let (writer, reader) = process.net.framed(send, recv);
            if let Err(e) = answer(&process, &name, writer, reader).await {
                log::debug!("Answering a request of {name} failed: {e:#}.");
            }
        });
    }
}

async fn answer(
    process: &Arc<Process>,
    name: &str,
    mut writer: Writer,
    mut reader: Reader,
) -> anyhow::Result<()> {
    let Some(question) = reader.next::<Question>().await? else { return Ok(()) };
    // Only entries may hand over requests, revoke them and query the status.
    if !name.starts_with("entry-") {
        anyhow::bail!("{name} is not an entry");
    }
    match question {
        Question::Hello(from) => writer.send(&Reply::Hello(hello(process, from))).await?,
        Question::Run(run) => return crate::run::run(process, *run, writer, reader).await,
        Question::Revoke(handed) => {
            let now = process.clock.now();
            let outcome = process.with_agent(|agent| agent.revoke(now, &handed));
            writer.send(&Reply::Revoked(outcome)).await?;
        }
        Question::Timeline(filter) => {
            let events = process.timeline.events(|e| filter.wants(e));
            writer.send(&Reply::Events(serde_json::to_vec(&events)?)).await?;
        }
        other => anyhow::bail!("an agent does not answer {}", other.kind()),
    }
    writer.finish();
    Ok(())
}

/// Maximum number of cache events in one answer. An entry knows the blocks that its own traffic
/// stores. More events would exceed the traffic allowed for control messages.
const HELLO_EVENTS_MAX: usize = 32;

fn hello(process: &Process, events_from: u64) -> Hello {
    let now = process.clock.now();
    let leader = process.leader();
    let backend = lock(&process.backend).clone();
    let events = backend.events.iter().filter(|(number, ..)| *number >= events_from);
    let latest: Vec<_> = events.rev().take(HELLO_EVENTS_MAX).collect();
    let blocks_of = |wanted_stored: bool| {
        let wanted = latest.iter().rev().filter(|(_, stored, _)| *stored == wanted_stored);
        wanted.map(|(.., block)| *block).collect()
    };
    process.with_agent(|agent| Hello {
        incarnation: agent.ledger().incarnation(),
        clock: now,
        serving: agent.is_serving(now).then(|| agent.led_view().map(|(e, _)| e)).flatten(),
        leader,
        load: load(agent, &backend),
        stored: blocks_of(true),
        evicted: blocks_of(false),
        next_event: backend.next_event,
        next: process.store.next(),
    })
}

/// Returns the load of the engine. The number of running requests is at least the number that this
/// agent handed to the engine, and the capacity at most the limit of the group's template.
pub fn load(
    agent: &oliveworks_core::agent::Agent,
    backend: &crate::process::BackendState,
) -> oliveworks_core::route::Load {
    let mut load = backend.load;
    let running = agent.ledger().running() as u32;
    load.running = load.running.max(running.min(load.capacity));
    if let Some(assigned) = agent.assigned() {
        load.capacity = match load.capacity {
            0 => assigned.concurrent as u32,
            n => n.min(assigned.concurrent as u32),
        };
    }
    load
}
