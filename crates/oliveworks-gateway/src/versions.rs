//! Configuration versions held by other gateways: whether the store is behind them, and which
//! gateway to ask for a newer one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oliveworks_gateway_core::{Millis, freshness};
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::dialect::{Record, Topic};
use crate::events::Event;
use crate::follow::{Follower, RecordSource, Step};
use crate::peers::PEER_TIMEOUT_MS;
use crate::sources;
use crate::state::Gateway;

/// Time for which a starting gateway waits for a heartbeat of a gateway that holds a configuration,
/// in ms: a few heartbeats. The store may have been restored from a copy that lacks versions known
/// to the others.
const PEER_WAIT_MS: u64 = 400;
/// Time between two checks for such a heartbeat, in ms.
const POLL_INTERVAL_MS: u64 = 20;

/// Waits until a gateway that holds a configuration has sent a heartbeat, or the time is over.
pub async fn wait_for_peers(gateway: &Rc<Gateway>) {
    let own = gateway.settings.listen.peers.ip();
    if gateway.settings.seeds.iter().all(|seed| seed.ip() == own) {
        return;
    }
    let until = gateway.now() + PEER_WAIT_MS;
    while gateway.now() < until && gateway.newest_reported_version().is_none() {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Asks another gateway for a version that the store has not delivered to this gateway in time. A
/// gateway that has read nothing yet asks with its first step.
pub async fn catch_up(gateway: &Gateway, follower: &mut Follower) -> Vec<Record> {
    if follower.position().is_none() {
        return Vec::new();
    }
    let mut lag = gateway.own_lag.get();
    let is_due =
        lag.should_ask(gateway.now(), gateway.version_held(), gateway.newest_reported_version());
    gateway.own_lag.set(lag);
    let Some(address) = gateway.peer_with_newest_version().filter(|_| is_due) else {
        return Vec::new();
    };
    let records = match follower.fetch_newest(address).await {
        Ok(records) => records,
        Err(why) => {
            sources::mark_unresponsive(gateway, address, Topic::Configuration, &why);
            return Vec::new();
        }
    };
    gateway.count("versions_asked_of_gateways");
    Event::new("asks_for_version")
        .with("address", address.to_string())
        .with("version_held", gateway.version_held())
        .with("version_told", gateway.newest_reported_version())
        .write();
    // The end of a drain is decided by the log of the store alone, which this gateway continues to
    // read from its position.
    records.into_iter().filter(|record| matches!(record, Record::Configuration(_))).collect()
}

impl Gateway {
    /// Returns the configuration version held by this gateway.
    pub fn version_held(&self) -> Option<u64> {
        self.lookup.borrow().as_ref().map(|lookup| lookup.configuration.version)
    }

    /// Returns the newest version that another gateway recently reported to hold.
    pub fn newest_reported_version(&self) -> Option<u64> {
        let now = self.now();
        let peers = self.peers.borrow();
        let recent = peers.values().filter(|peer| now < peer.last_seen_at + PEER_TIMEOUT_MS);
        recent.filter_map(|peer| peer.version).max()
    }

    /// Returns a gateway that holds the newest reported version, unless all such gateways failed to
    /// answer.
    fn peer_with_newest_version(&self) -> Option<SocketAddr> {
        let newest = self.newest_reported_version()?;
        let peers = self.peers.borrow();
        let unresponsive = self.unresponsive_peers.borrow();
        let up_to_date = peers.values().filter(|peer| peer.version == Some(newest));
        let responsive = up_to_date.filter(|peer| !unresponsive.contains_key(&peer.address));
        responsive.map(|peer| peer.address).choose(&mut rand::rng())
    }

    /// Records which version the store is known to hold after a step.
    pub fn record_stored_version(&self, step: &Step) {
        let version = match step.source {
            RecordSource::Gateway { stored_version, .. } => stored_version,
            RecordSource::Store => step.records.iter().filter_map(version_of).max(),
        };
        let known = self.stored_version.get().filter(|_| !step.snapshot);
        self.stored_version.set(version.max(known));
    }

    /// Returns whether other gateways exist, but none has sent a heartbeat since the store was
    /// restored from a copy that may lack records.
    fn has_lost_contact(&self) -> bool {
        let since = self.store_era.get().known_since().filter(|_| self.store_may_lack_records());
        let heartbeat_at = self.peer_heartbeat_at.get();
        heartbeat_at.zip(since).is_some_and(|(heartbeat_at, since)| heartbeat_at < since)
    }

    /// Updates the lag of the store after a step that shows the store as of `shown_at`, and returns
    /// whether the step proves that there is nothing newer than what this gateway holds. Logs when
    /// the store begins or ceases to be behind, and counts the steps that prove nothing.
    pub fn step_proves(&self, now: Millis, shown_at: Millis, source: RecordSource) -> bool {
        let known = self.version_held().max(self.newest_reported_version());
        let mut lag = self.store_lag.get();
        let behind_ms = lag.behind_ms(now);
        let keeps_up = lag.proves(now, self.stored_version.get(), known, self.has_lost_contact());
        self.store_lag.set(lag);
        match (keeps_up, behind_ms) {
            (false, None) => self.log_store_lag("store_lacks_version", known, 0),
            (true, Some(behind_ms)) if lag.behind_ms(now).is_none() => {
                self.log_store_lag("store_holds_version_again", known, behind_ms);
            }
            _ => {}
        }
        let proves = keeps_up && self.shows_complete_store(shown_at, source);
        if !proves {
            self.count("reads_that_prove_nothing");
        }
        proves
    }

    /// Returns whether a step shows the store at a time when it held all versions. Another gateway's
    /// proof meets this rule already where it was made.
    fn shows_complete_store(&self, shown_at: Millis, source: RecordSource) -> bool {
        let revoke_ms = self.settings.bounds.revoke_ms;
        source != RecordSource::Store
            || freshness::is_proof(shown_at, self.store_complete_from(), revoke_ms)
    }

    /// Logs that the store begins or ceases to be behind the versions known to gateways.
    fn log_store_lag(&self, kind: &str, known: Option<u64>, after_ms: u64) {
        Event::new(kind)
            .with("version_stored", self.stored_version.get())
            .with("version_known", known)
            .with("heard_no_other", self.has_lost_contact())
            .with("after_ms", after_ms)
            .write();
    }
}

fn version_of(record: &Record) -> Option<u64> {
    match record {
        Record::Configuration(configuration) => Some(configuration.version),
        _ => None,
    }
}
