//! Requests from other processes to the entry.

use std::sync::Arc;

use oliveworks_net::frame::{Reader, Writer};
use oliveworks_net::wire::{Question, Reply};
use quinn::Connection;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::process::Entry;

/// Receiver of new connections, each with the name of its peer.
pub type Connections = UnboundedReceiver<(String, Connection)>;

/// Serves every connection until the endpoint is closed.
pub async fn serve(entry: Arc<Entry>, mut connections: Connections) {
    while let Some((name, connection)) = connections.recv().await {
        let entry = entry.clone();
        ntex::rt::spawn(async move {
            while let Ok((send, recv)) = connection.accept_bi().await {
                let (entry, name) = (entry.clone(), name.clone());
                ntex::rt::spawn(async move {
                    let (writer, reader) = entry.net.framed(send, recv);
                    if let Err(e) = answer(&entry, &name, writer, reader).await {
                        log::debug!("Answering a request of {name} failed: {e:#}.");
                    }
                });
            }
        });
    }
}

async fn answer(
    entry: &Arc<Entry>,
    name: &str,
    mut writer: Writer,
    mut reader: Reader,
) -> anyhow::Result<()> {
    let Some(question) = reader.next::<Question>().await? else { return Ok(()) };
    let reply = match question {
        Question::Feed(question) => {
            let now = entry.clock.now();
            entry.core().reader_positions.insert(name.to_owned(), (question.from, now));
            Reply::Feed(entry.store.answer(&question, entry.clock).await)
        }
        Question::Report(report) => {
            if report.from.to_string() != name {
                anyhow::bail!("a report of {} was sent by {name}", report.from);
            }
            let now = entry.clock.now();
            entry.core().decider.report(now, report);
            Reply::Noted
        }
        Question::Timeline(filter) => {
            let events = entry.timeline.events(|e| filter.wants(e));
            Reply::Events(serde_json::to_vec(&events)?)
        }
        other => anyhow::bail!("an entry does not answer {}", other.kind()),
    };
    writer.send(&reply).await?;
    writer.finish();
    Ok(())
}
