//! Carries the deciding role: reads the platform's list, plans, appends.

use std::sync::Arc;

use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::id::{Millis, Offset, RecordId};
use oliveworks_feed::keep_snapshot;
use oliveworks_platform::client::{Platform, RECORDS};
use oliveworks_platform::sign::SigningKey;
use oliveworks_runtime::timeline::Event;
use rand::RngExt;

use crate::process::Entry;

/// Between two looks, in milliseconds.
const LOOK_MS: u32 = 100;
/// Between two looks at whether a snapshot is due, in milliseconds.
const SNAPSHOT_MS: u64 = 3_000;
/// Entries beyond this rank do not read the list: one of these three will act.
const READERS: u64 = 3;

/// Runs for as long as the process does.
pub async fn decide(entry: Arc<Entry>, platform: Platform, key: SigningKey) {
    ntex::rt::spawn(read_list(entry.clone(), platform.clone()));
    let mut snapshot_looked = Millis(0);
    let mut snapshot_at = Offset(0);
    loop {
        sleep(Wait(LOOK_MS)).await;
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
                    log::error!("A record cannot be signed: {e:#}.");
                    continue;
                }
            };
            match platform.append(RECORDS, &text).await {
                Ok(offset) => {
                    log::info!("Record {offset} is appended: {kind}.");
                    let event = Event::new("decider", kind);
                    entry.note(event.text(format!("record {offset}")));
                }
                // Its fate is seen by reading on, or it is planned anew.
                Err(e) => {
                    log::warn!("The append of {kind} has no answer: {e:#}.");
                    break;
                }
            }
        }
        if now.since(snapshot_looked) >= SNAPSHOT_MS {
            snapshot_looked = now;
            let kept =
                keep_snapshot(&entry.store, &platform, &key, entry.rank, &mut snapshot_at).await;
            if let Err(e) = kept {
                log::warn!("No snapshot is kept: {e:#}.");
            }
        }
    }
}

async fn read_list(entry: Arc<Entry>, platform: Platform) {
    if entry.rank >= READERS {
        return;
    }
    loop {
        match platform.hosts().await {
            Ok(listed) => {
                let now = entry.clock.now();
                entry.core().decider.update_list(now, &listed);
            }
            Err(e) => log::debug!("The list of hosts is not to be had: {e:#}."),
        }
        sleep(Wait(entry.settings.list_ms)).await;
    }
}
