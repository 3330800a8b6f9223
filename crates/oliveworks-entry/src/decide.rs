//! Deciding role of an entry: reads the platform's list of hosts, plans changes, and appends the
//! resulting records to the log.

use std::sync::Arc;

use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::id::{Millis, Offset, RecordId};
use oliveworks_feed::keep_snapshot;
use oliveworks_platform::client::{Platform, RECORDS};
use oliveworks_platform::sign::SigningKey;
use oliveworks_runtime::timeline::Event;
use rand::RngExt;

use crate::process::Entry;

/// Time between two runs of the decider, in milliseconds.
const DECIDE_INTERVAL_MS: u32 = 100;
/// Time between two checks whether a snapshot is due, in milliseconds.
const SNAPSHOT_CHECK_MS: u64 = 3_000;
/// Number of entries, by rank, that read the platform's list of hosts. One of these three is
/// expected to act, so entries of higher rank do not read the list.
const LIST_READERS: u64 = 3;

/// Runs the decider. Never returns.
pub async fn decide(entry: Arc<Entry>, platform: Platform, key: SigningKey) {
    ntex::rt::spawn(read_list(entry.clone(), platform.clone()));
    let mut snapshot_checked_at = Millis(0);
    let mut snapshot_at = Offset(0);
    loop {
        sleep(Wait(DECIDE_INTERVAL_MS)).await;
        let now = entry.clock.now();
        let records = entry.store.with_pool(|pool| {
            let mut rng = rand::rng();
            entry.core().decider.tick(now, pool, || RecordId(rng.random()))
        });
        for record in records {
            let kind = record.body.kind();
            let text = match key.sign(&record) {
                Ok(text) => text,
                Err(e) => {
                    log::error!("Signing a record of kind {kind} failed: {e:#}.");
                    continue;
                }
            };
            match platform.append(RECORDS, &text).await {
                Ok(offset) => {
                    log::info!("Appended record {offset} of kind {kind}.");
                    let event = Event::new("decider", kind);
                    entry.record_event(event.text(format!("record {offset}")));
                }
                // If the record was appended, it is seen when the log is read. Otherwise the
                // decider plans it again.
                Err(e) => {
                    log::warn!("Appending a record of kind {kind} failed: {e:#}.");
                    break;
                }
            }
        }
        if now.since(snapshot_checked_at) >= SNAPSHOT_CHECK_MS {
            snapshot_checked_at = now;
            let result =
                keep_snapshot(&entry.store, &platform, &key, entry.rank, &mut snapshot_at).await;
            if let Err(e) = result {
                log::warn!("Writing a snapshot failed: {e:#}.");
            }
        }
    }
}

async fn read_list(entry: Arc<Entry>, platform: Platform) {
    if entry.rank >= LIST_READERS {
        return;
    }
    loop {
        match platform.hosts().await {
            Ok(listed) => {
                let now = entry.clock.now();
                entry.core().decider.update_list(now, &listed);
            }
            Err(e) => log::debug!("Reading the platform's list of hosts failed: {e:#}."),
        }
        sleep(Wait(entry.settings.list_ms)).await;
    }
}
