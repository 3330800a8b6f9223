//! What other processes ask of the agent.

use std::sync::Arc;

use oliveworks_core::id::HostId;
use oliveworks_net::frame::{Reader, Writer};
use oliveworks_net::wire::{Datagram, Hello, Question, Reply};
use quinn::Connection;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::process::{Process, lock};

/// Connections as the endpoint hands them over.
pub type Connections = UnboundedReceiver<(String, Connection)>;

/// Serves every connection.
pub async fn serve(process: Arc<Process>, mut connections: Connections) {
    while let Some((name, connection)) = connections.recv().await {
        ntex::rt::spawn(datagrams(process.clone(), name.clone(), connection.clone()));
        ntex::rt::spawn(streams(process.clone(), name, connection));
    }
}

/// Reads lease messages. A message under another name than its connection's is dropped.
async fn datagrams(process: Arc<Process>, name: String, connection: Connection) {
    let host: Option<HostId> = name.parse().ok();
    while let Ok(datagram) = process.net.read_datagram(&connection).await {
        let Some(Datagram::Lease(from, msg)) = datagram else { continue };
        if host != Some(from) || from.to_string() != name {
            log::warn!("A lease message of {from} came from {name}; it is dropped.");
            continue;
        }
        let now = process.clock.now();
        process.decide(|agent| agent.receive(now, from, msg));
    }
}

async fn streams(process: Arc<Process>, name: String, connection: Connection) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let (process, name) = (process.clone(), name.clone());
        ntex::rt::spawn(async move {
            let (writer, reader) = process.net.framed(send, recv);
            if let Err(e) = answer(&process, &name, writer, reader).await {
                log::debug!("A question of {name} was not answered: {e:#}.");
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
    // Only entries hand requests over, revoke them, and ask for state.
    if !name.starts_with("entry-") {
        anyhow::bail!("{name} is no entry");
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

/// Cache events told in one answer. What an entry's own traffic stores it knows without being told;
/// more than this would not fit the bytes allowed for control.
const EVENTS_TOLD: usize = 32;

fn hello(process: &Process, events_from: u64) -> Hello {
    let now = process.clock.now();
    let leader = process.leader();
    let backend = lock(&process.backend).clone();
    let events = backend.events.iter().filter(|(number, ..)| *number >= events_from);
    let latest: Vec<_> = events.rev().take(EVENTS_TOLD).collect();
    let of = |kind: bool| {
        let wanted = latest.iter().rev().filter(|(_, stored, _)| *stored == kind);
        wanted.map(|(.., block)| *block).collect()
    };
    process.with_agent(|agent| Hello {
        incarnation: agent.ledger().incarnation(),
        clock: now,
        serving: agent.is_serving(now).then(|| agent.led_view().map(|(e, _)| e)).flatten(),
        leader,
        load: load(agent, &backend),
        stored: of(true),
        evicted: of(false),
        next_event: backend.next_event,
        next: process.store.next(),
    })
}

/// The engine's load, at least what this agent itself has handed to it.
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
