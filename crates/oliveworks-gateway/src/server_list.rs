//! Processing of the platform's list of backend servers.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::backend_servers::{BackendServer, BackendServerId};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::listing::{Listing, ListingConfig};
use oliveworks_gateway_core::missing::Missing;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::repeats::Repeats;
use oliveworks_gateway_core::replay::Kept;
use oliveworks_gateway_core::slow_start::cold::{Listed, Reading};
use oliveworks_runtime::clock::wall_ms;
use tokio::time::timeout;

use crate::dialect::{Record, Topic};
use crate::events::Event;
use crate::follow::{Follower, RecordSource, Step};
use crate::missing;
use crate::state::Gateway;

/// Time between two reads of the list while new backend servers appear, in ms.
const QUICK_MS: u64 = 300;
/// Time without new backend servers after which the list counts as complete, in ms.
const SETTLE_MS: u64 = 1_500;
/// Largest part of the time between two reads of the list that is left out, in percent.
const JITTER_PERCENT: u64 = 20;
/// Largest number of log lines on backend servers that one step has listed.
const LISTED_LINES_MAX: usize = 4;

/// Returns whether a list may be out of date: its source is another gateway that may have been
/// without an answer of the store for longer than `Settings::record_lag_ms`.
fn is_late(gateway: &Gateway, source: RecordSource) -> bool {
    let lag_ms = gateway.settings.record_lag_ms();
    match source {
        RecordSource::Store => false,
        RecordSource::Gateway { proof_age_ms, .. } => {
            proof_age_ms.is_none_or(|age_ms| age_ms > lag_ms)
        }
    }
}

/// Result of processing the records of a step.
struct ListUpdate {
    /// Whether a backend server was listed that was unknown before.
    new: bool,
    /// Records kept for gateways that read through this one.
    kept: Vec<Kept<Record>>,
}

/// Origin of records.
#[derive(Clone, Copy)]
struct Origin {
    source: RecordSource,
    /// Whether the records are a snapshot of the whole list.
    snapshot: bool,
}

/// Result of processing the record of a backend server.
enum Received {
    /// A younger record is known.
    Overtaken,
    /// The record is from before the backend server was gone.
    OfGoneHost,
    /// The record was applied.
    Applied {
        /// Whether the record has the same content as the previous one.
        is_repeat: bool,
    },
}

/// Returns whether a younger record of the backend server is known.
fn is_superseded(gateway: &Gateway, server: &BackendServer) -> bool {
    let directory = gateway.directory.borrow();
    directory.get(&server.id).is_some_and(|known| !server.may_follow(known))
}

/// Returns whether a backend server has restarted under the same id, and logs the restart.
fn has_restarted(gateway: &Gateway, server: &BackendServer) -> bool {
    let directory = gateway.directory.borrow();
    let known = directory.get(&server.id);
    let known = known.filter(|known| server.holding.is_of_later_incarnation(known.holding.born));
    let Some(known) = known else { return false };
    gateway.count("hosts_started_again");
    Event::new("host_started_again")
        .with("host", &*server.id)
        .debug("born", server.holding.born)
        .debug("born_before", known.holding.born)
        .with("cold_ms", server.cold_ms)
        .write();
    true
}

/// Records the incarnation of a listed backend server. What an earlier one asked for ends with it,
/// also if the server was not listed when it restarted.
fn record_incarnation(gateway: &Gateway, server: &BackendServer) {
    let target = Target::of(&server.id);
    if gateway.incarnations.borrow_mut().record_listed(target, server.holding.born) {
        gateway.backoffs.borrow_mut().remove(target);
        let (now, born) = (gateway.now(), server.holding.born);
        let age_ms = born.map_or(0, |born| wall_ms().saturating_sub(born.0));
        let mut rate_limits = gateway.rate_limits.borrow_mut();
        rate_limits.limits.restart(now, target, born, now.saturating_sub(age_ms));
    }
}

/// Marks the record of a backend server as draining if the server has announced that it leaves.
fn with_leaving(gateway: &Gateway, record: Record) -> Record {
    match record {
        Record::BackendServer(server) => {
            Record::BackendServer(gateway.directory.borrow().with_leaving(server))
        }
        other => other,
    }
}

/// Logs the backend servers that a step has listed: each one, or their number if they are many.
fn log_listed(listed: &[BackendServer]) {
    for server in listed.iter().take(LISTED_LINES_MAX) {
        // `domain` is the fabric domain of the backend server.
        Event::new("host_listed")
            .with("host", &*server.id)
            .with("service", server.service.as_str())
            .with("domain", server.domain.as_str())
            .write();
    }
    if listed.len() > LISTED_LINES_MAX {
        let others = listed.len() - LISTED_LINES_MAX;
        Event::new("hosts_listed").with("others", others).with("all", listed.len()).write();
    }
}

/// Processes the record of a backend server.
fn apply_listed(
    gateway: &Gateway,
    missing: &mut Missing,
    repeats: &mut Repeats,
    origin: Origin,
    server: &BackendServer,
) -> Received {
    if is_superseded(gateway, server) {
        gateway.count("records_overtaken");
        return Received::Overtaken;
    }
    if missing.is_old(server, origin.snapshot, gateway.store_era.get()) {
        gateway.count("records_of_gone_hosts");
        return Received::OfGoneHost;
    }
    let now = gateway.now();
    record_incarnation(gateway, server);
    let restarted = has_restarted(gateway, server);
    let is_back = missing.record_listed(now, &server.id) && !restarted;
    gateway.planners.borrow_mut().handle_listed_host(now, server);
    let reading = Reading {
        first_list: !gateway.directory_read.get(),
        late: is_late(gateway, origin.source),
        whole_list: origin.snapshot,
        was_missing: is_back,
        is_new: restarted || gateway.directory.borrow().get(&server.id).is_none(),
        traffic: gateway.traffic.get(),
    };
    gateway.record_cold(server, Listed::of(reading));
    let changed = gateway.directory.borrow_mut().put(server.clone());
    if is_back || reading.is_new {
        gateway.doubt_after_drain(server);
    }
    Received::Applied { is_repeat: repeats.is_repeat(now, &server.id, changed || is_back) }
}

/// Records the known backend servers that are absent from a whole list.
fn record_absences(
    gateway: &Gateway,
    missing: &mut Missing,
    origin: Origin,
    listed: &BTreeSet<BackendServerId>,
) {
    let (now, store_era) = (gateway.now(), gateway.store_era.get());
    let by_store = origin.source == RecordSource::Store;
    for server in gateway.directory.borrow().iter() {
        if !listed.contains(&server.id) {
            missing.record_absence(now, server.id.clone(), store_era, by_store);
        }
    }
    gateway.directory_read.set(true);
}

/// Processes the records of a step.
fn apply(gateway: &Gateway, repeats: &mut Repeats, step: Step) -> ListUpdate {
    let Step { records, snapshot, reaches_end, sent, held_ms, source } = step;
    let origin = Origin { source, snapshot };
    let mut missing = gateway.missing.borrow_mut();
    let now = gateway.now();
    let mut kept = Vec::new();
    let mut listed = BTreeSet::new();
    let mut newly_listed = Vec::new();
    for record in records {
        let record = with_leaving(gateway, record);
        let mut is_repeat = false;
        match &record {
            Record::BackendServer(server) => {
                let is_unknown = gateway.directory.borrow().get(&server.id).is_none();
                let received = apply_listed(gateway, &mut missing, repeats, origin, server);
                if !matches!(received, Received::OfGoneHost) {
                    listed.insert(server.id.clone());
                }
                let Received::Applied { is_repeat: repeat } = received else { continue };
                is_repeat = repeat;
                if is_unknown {
                    newly_listed.push(server.clone());
                }
            }
            Record::BackendServerGone(id) => {
                missing.record_removal(now, id.clone());
                repeats.gone(id);
            }
            Record::BackendServerUnusable { id, why } => {
                warn!("servers: {id}: {why}");
                missing.record_removal(now, id.clone());
                repeats.gone(id);
            }
            Record::Unknown(why) => warn!("servers: {why}"),
            _ => {}
        }
        kept.push(Kept { record, is_repeat });
    }
    if snapshot {
        record_absences(gateway, &mut missing, origin, &listed);
    }
    log_listed(&newly_listed);
    missing::sweep(gateway, &mut missing);
    gateway.remove_unlisted();
    if reaches_end {
        note_list_read(gateway, sent, held_ms, source);
        record_list_age(gateway, sent, held_ms, source);
        if let Some(slow_starts) = gateway.slow_starts.borrow_mut().as_mut() {
            slow_starts.records_read(sent);
        }
    }
    ListUpdate { new: !newly_listed.is_empty(), kept }
}

/// Records the age of the list, which decides whether other gateways ask this one about it.
fn record_list_age(gateway: &Gateway, sent: Millis, held_ms: u64, source: RecordSource) {
    let mut freshness = gateway.list_freshness.get();
    match source {
        RecordSource::Store => freshness.proved(sent, held_ms),
        RecordSource::Gateway { list_age_ms: Some(age_ms), .. } => {
            freshness.proved_by_peer(sent, held_ms, age_ms);
        }
        RecordSource::Gateway { list_age_ms: None, .. } => return,
    }
    gateway.list_freshness.set(freshness);
}

/// Notes the time up to which the list is known. A list from another gateway is only as recent as
/// the last answer that the other gateway received from the store.
fn note_list_read(gateway: &Gateway, sent: Millis, held_ms: u64, source: RecordSource) {
    let read_at = match source {
        RecordSource::Store => sent,
        RecordSource::Gateway { proof_age_ms: Some(age_ms), .. } => {
            (sent + held_ms).saturating_sub(age_ms)
        }
        RecordSource::Gateway { proof_age_ms: None, .. } => return,
    };
    gateway.list_read_at.set(gateway.list_read_at.get().max(read_at));
}

/// Whether a record announces that a backend server leaves or has left.
fn is_departure(kept: &Kept<Record>) -> bool {
    match &kept.record {
        Record::BackendServer(server) => server.draining && !kept.is_repeat,
        Record::BackendServerGone(_) | Record::BackendServerUnusable { .. } => true,
        _ => false,
    }
}

impl Gateway {
    /// Returns the age of this gateway's list of backend servers, in ms; `None` if it has no list.
    pub fn list_age_ms(&self) -> Option<u64> {
        self.list_freshness.get().age_ms(self.now())
    }

    /// Records that the list of backend servers names a departure before a position. The reader of
    /// the failure domain, which learns of it first, reports it at once.
    fn record_departure(&self, position: Position) {
        let mut departures = self.departures.get();
        let is_new = departures.read(position);
        self.departures.set(departures);
        if is_new && self.is_reader.get() {
            self.send_heartbeat_now();
        }
    }

    /// Processes the report of another gateway on the newest departure that it knows.
    pub fn process_departure(&self, position: Position) {
        let mut departures = self.departures.get();
        let read_to = self.replay_buffer(Topic::BackendServers).borrow().next();
        if departures.reported(position, read_to) {
            self.servers_behind.notify_one();
        }
        self.departures.set(departures);
    }
}

/// Keeps records of backend servers for gateways that read through this one, and notifies these if
/// there are new records.
fn keep(gateway: &Gateway, kept: Vec<Kept<Record>>, snapshot: bool, next: Option<Position>) {
    let news = snapshot || kept.iter().any(|kept| !kept.is_repeat);
    let departures = !snapshot && kept.iter().any(is_departure);
    let mut buffer = gateway.replay_buffer(Topic::BackendServers).borrow_mut();
    match next {
        Some(next) if snapshot => buffer.restart_at(next),
        Some(next) => buffer.append_with_repeats(kept, next),
        // The position is unknown: the next step reads the whole topic again.
        None => {}
    }
    drop(buffer);
    if news {
        gateway.new_records(Topic::BackendServers).notify_waiters();
    }
    if let Some(next) = next.filter(|_| departures) {
        gateway.record_departure(next);
    }
}

/// Returns a pause shortened by a random part. Readers of several failure domains that start
/// together then read the list at different times, and the first one to read of a departure reports
/// it to the others.
fn with_jitter(pause_ms: u64) -> u64 {
    pause_ms * rand::random_range(100 - JITTER_PERCENT..=100) / 100
}

/// Follows the list of backend servers.
pub async fn follow(gateway: Rc<Gateway>) {
    let mut follower = Follower::new(&gateway, Topic::BackendServers);
    let mut repeats = Repeats::default();
    let mut listing = Listing::new(ListingConfig {
        quick_ms: QUICK_MS,
        settle_ms: SETTLE_MS,
        every_ms: gateway.settings.servers_every_ms(),
    });
    let mut due_at = 0;
    let mut was_prompted = false;
    loop {
        if let Some(step) = follower.step(0).await {
            let source = step.source;
            let (snapshot, reaches_end) = (step.snapshot, step.reaches_end);
            let update = apply(&gateway, &mut repeats, step);
            keep(&gateway, update.kept, snapshot, follower.position());
            if !reaches_end && follower.position().is_some() {
                // The rest of the list is read at once.
                continue;
            }
            let now = gateway.now();
            let next_at = now + with_jitter(listing.read(now, update.new));
            // A read that another gateway prompted does not delay the next one.
            due_at = if was_prompted { next_at.min(due_at.max(now)) } else { next_at };
            was_prompted = false;
            // Another gateway holds back the next question until there are new records.
            if follower.position().is_some() && source == RecordSource::Store {
                let pause = Duration::from_millis(due_at - now);
                was_prompted = timeout(pause, gateway.servers_behind.notified()).await.is_ok();
            }
        }
        missing::sweep(&gateway, &mut gateway.missing.borrow_mut());
    }
}
