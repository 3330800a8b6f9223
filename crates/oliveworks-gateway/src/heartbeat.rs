//! Contents of heartbeats, and the processing of received ones.

use std::collections::HashMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::balance::{Load, Target};
use oliveworks_gateway_core::crashers::Chain;
use oliveworks_gateway_core::demand::{ModelKey, RequestCounts};
use oliveworks_gateway_core::election::Heartbeat;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::fan_out::Source;
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::load_report::{self, Count, DomainLoad, LoadReport};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::rate_limits::limits::Limit;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Event;
use crate::host_statements::Leaving;
use crate::members;
use crate::peers::PEER_TIMEOUT_MS;
use crate::state::{Gateway, Peer};

/// Time for which a suspicion is reported, in ms.
const SUSPECT_MS: u64 = 400;
/// Longest age, in ms, at which data received from a target is reported as recent.
const HEARD_MS: u64 = 200;
/// Longest age, in ms, at which reports of other gateways of this failure domain on received data
/// are passed on as recent. Those gateways report data of up to `HEARD_MS` (200 ms). Both ages and
/// the transmission time add up to half of the 600 ms that the detection of a silent group takes at
/// least.
const HEARD_LOCAL_MS: u64 = 100;
/// Number of gateways named in one heartbeat. Each gateway is named by many others, so that every
/// one of hundreds of gateways is reported at least twice a second.
const PEERS_PER_HEARTBEAT: usize = 2;
/// Time for which a leader may be without the store before others may replace it, in ms.
const LEADER_STORE_MS: u64 = 2_500;

/// Heartbeat of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    node: String,
    failure_domain: String,
    /// Newest heartbeat of the leader known to the sender.
    leader: Option<LeaderHeartbeat>,
    /// Whether other gateways may rely on the sender to read the store: the store answers the
    /// sender, and the sender is not stopping.
    store_answers: bool,
    /// Whether the sender reads the store itself.
    reads_store: bool,
    /// Age of the sender's proof that the store holds nothing newer, in ms; none without a proof.
    proof_age_ms: Option<u64>,
    /// Age of the sender's list of backend servers, in ms; none if the sender has no list.
    list_age_ms: Option<u64>,
    /// Newest era of the store known to the sender.
    era: Era,
    /// Time for which the store may still lack records in that era, in ms; none if the sender knows
    /// no era.
    store_incomplete_ms: Option<u64>,
    /// Newest configuration version held by the sender.
    version: Option<u64>,
    /// Processor capacity of the sender, in percent of a core; none if it is not set.
    processor_percent: Option<u32>,
    /// Scope of the figures in the next two fields.
    figures: Figures,
    /// Outstanding requests.
    telling: LoadReport,
    /// Counts of recent requests that needed a place, per model.
    looked: Vec<(ModelKey, RequestCounts)>,
    /// Groups that the sender observes as stalled.
    suspects: Vec<GroupId>,
    /// Groups that the sender observes as slow.
    slow: Vec<GroupId>,
    /// Backend servers that announced that they are leaving.
    leaving: Vec<Leaving>,
    /// Requests during which several backend servers ended in a row.
    crashers: Vec<Chain>,
    /// Rate limits named by backend servers.
    limits: Vec<Limit>,
    /// Failure domains whose drain has ended recently, with the time since then in ms.
    ended_drains: Vec<(String, u64)>,
    /// Whether any gateway has received a request.
    traffic: bool,
    /// Some other gateways.
    peers: Vec<PeerReport>,
    /// Number of other gateways of its failure domain that the sender knows.
    local_known: usize,
    /// Position after the newest known record of a backend server that leaves or has left.
    departure: Option<Position>,
    /// Silent gateways that may still use their share of a limit, as hashes of their names, each
    /// with the time since its last message in ms.
    silent: Vec<(u64, u64)>,
}

/// Scope of the figures in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Figures {
    /// No figures, because the sender does not know the recipient's failure domain.
    None,
    /// Figures of the sender alone, for gateways of its own failure domain.
    OfGateway,
    /// Sums over the gateways of the sender's failure domain, for other failure domains.
    OfFailureDomain,
}

impl Beat {
    /// Returns whether the leader should receive the heartbeat at once.
    pub fn is_urgent(&self) -> bool {
        !self.suspects.is_empty() || !self.slow.is_empty() || !self.leaving.is_empty()
    }
}

/// A forwarded heartbeat of the leader.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Peer address of the leader.
    pub address: SocketAddr,
}

/// A gateway as named in heartbeats of others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReport {
    node: String,
    failure_domain: String,
    address: SocketAddr,
    heard_ms_ago: u64,
}

/// Returns the heartbeat for gateways of this gateway's failure domain.
pub fn for_own_domain(gateway: &Gateway) -> Beat {
    let now = gateway.now();
    gateway.suspects.borrow_mut().retain(|_, at| now < *at + SUSPECT_MS);
    let reaches_store = now < gateway.store_answered_at.get() + LEADER_STORE_MS;
    let table = gateway.table.borrow().number;
    if gateway.election.borrow_mut().next_heartbeat(table, reaches_store).is_some() {
        gateway.leader_address.set(Some(gateway.settings.listen.peers));
    }
    let heartbeat = gateway.election.borrow().heartbeat();
    let leader = heartbeat.zip(gateway.leader_address.get());
    let telling =
        load_report::local_report(&gateway.balance.borrow(), now.saturating_sub(HEARD_MS));
    Beat {
        node: gateway.settings.node.clone(),
        failure_domain: gateway.settings.failure_domain.clone(),
        leader: leader.map(|(heartbeat, address)| LeaderHeartbeat { heartbeat, address }),
        store_answers: gateway.reads_for_others(),
        reads_store: gateway.reads_store(),
        proof_age_ms: gateway.proof_age_ms(),
        list_age_ms: gateway.list_age_ms(),
        era: gateway.era(),
        store_incomplete_ms: gateway.store_incomplete_ms(),
        version: gateway.version_held(),
        processor_percent: gateway.settings.processor_percent(),
        figures: Figures::OfGateway,
        telling,
        looked: gateway.demand.borrow().own_counts(now).collect(),
        suspects: gateway.suspects.borrow().keys().copied().collect(),
        slow: gateway.slow_groups(),
        leaving: gateway.leaving_to_report(),
        crashers: gateway.crashers_to_report(),
        limits: gateway.rate_limits.borrow().limits.limits_to_report(now, rand::random()),
        ended_drains: gateway.recently_ended_drains(),
        traffic: gateway.traffic.get(),
        peers: peers_to_report(gateway, now),
        local_known: count_local(gateway, now),
        departure: gateway.departures.get().newest(),
        silent: gateway.silent_gateways(),
    }
}

/// Returns the outstanding requests known in this failure domain, for reports to other failure
/// domains.
pub fn domain_figures(gateway: &Gateway) -> DomainLoad {
    let now = gateway.now();
    let balance = gateway.balance.borrow();
    let local = balance.received_by_local_peers_since(now.saturating_sub(HEARD_LOCAL_MS));
    let heard = balance.received_since(now.saturating_sub(HEARD_MS)).chain(local).collect();
    DomainLoad { open: balance.domain_open(now), heard }
}

/// Returns the heartbeat for the failure domain `recipient`, with the sums over the gateways of
/// this gateway's failure domain.
pub fn for_domain(gateway: &Gateway, own: &Beat, known: &DomainLoad, recipient: &str) -> Beat {
    let now = gateway.now();
    let source = domain_source(recipient);
    let due = gateway.elsewhere_reports.borrow_mut().is_due(now, source, known.open.len());
    let directory = gateway.directory.borrow();
    let is_there = |target| directory.failure_domain(target) == Some(recipient);
    let telling =
        load_report::remote_report(&gateway.balance.borrow(), now, known, source, is_there, due);
    let looked = gateway.demand.borrow().failure_domain_counts(now).into_iter().collect();
    Beat { figures: Figures::OfFailureDomain, telling, looked, ..own.clone() }
}

/// Returns the heartbeat, without figures, for a gateway whose failure domain is unknown.
pub fn for_unknown_domain(own: &Beat) -> Beat {
    let (figures, telling, looked) = (Figures::None, LoadReport::default(), Vec::new());
    Beat { figures, telling, looked, ..own.clone() }
}

fn domain_source(failure_domain: &str) -> Source {
    Source::FailureDomain(xxh3_64(failure_domain.as_bytes()))
}

fn peers_to_report(gateway: &Gateway, now: Millis) -> Vec<PeerReport> {
    let peers = gateway.peers.borrow();
    let recent = peers.iter().filter(|(_, peer)| now < peer.last_seen_at + PEER_TIMEOUT_MS);
    let sample = recent.sample(&mut rand::rng(), PEERS_PER_HEARTBEAT);
    sample.into_iter().map(|(node, peer)| peer_report(now, node, peer)).collect()
}

fn peer_report(now: Millis, node: &str, peer: &Peer) -> PeerReport {
    PeerReport {
        node: node.to_owned(),
        failure_domain: peer.failure_domain.clone(),
        address: peer.address,
        heard_ms_ago: now - peer.last_seen_at,
    }
}

/// Whether a gateway belongs to a failure domain and was observed recently.
fn is_known_in(failure_domain: &str, now: Millis, peer: &Peer) -> bool {
    peer.failure_domain == failure_domain && now < peer.last_seen_at + PEER_TIMEOUT_MS
}

/// Returns the number of other gateways of this gateway's failure domain that it knows.
fn count_local(gateway: &Gateway, now: Millis) -> usize {
    let domain = &gateway.settings.failure_domain;
    gateway.peers.borrow().values().filter(|peer| is_known_in(domain, now, peer)).count()
}

/// Returns the gateways of the sender's failure domain if the sender of a heartbeat knows few of
/// them.
pub fn introduction(gateway: &Gateway, from: SocketAddr, beat: &Beat) -> Option<Vec<PeerReport>> {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let known = || {
        let others = peers.iter().filter(|(node, _)| **node != beat.node);
        others.filter(|(_, peer)| is_known_in(&beat.failure_domain, now, peer))
    };
    let mut introductions = gateway.introductions.borrow_mut();
    let is_due = introductions.is_due(now, from, beat.local_known, known().count());
    is_due.then(|| known().map(|(node, peer)| peer_report(now, node, peer)).collect())
}

/// Records gateways of this gateway's failure domain, as told by another one.
pub fn process_introduction(gateway: &Gateway, reports: &[PeerReport]) {
    let before = gateway.peers.borrow().len();
    record_reported_peers(gateway, reports);
    if gateway.peers.borrow().len() > before {
        // The others may not know of this gateway either.
        gateway.send_heartbeat_now();
    }
}

/// Processes a heartbeat, except for the forwarded heartbeat of the leader, which is returned to
/// the caller.
pub fn process(gateway: &Gateway, from: SocketAddr, beat: Beat) -> Option<LeaderHeartbeat> {
    let now = gateway.now();
    if beat.node == gateway.settings.node {
        return None;
    }
    record_peers(gateway, now, from, &beat);
    record_sharers(gateway, now, &beat);
    if beat.traffic {
        gateway.traffic.set(true);
    }
    let is_local = beat.failure_domain == gateway.settings.failure_domain;
    let source = match is_local {
        true => Source::Gateway(xxh3_64(beat.node.as_bytes())),
        false => domain_source(&beat.failure_domain),
    };
    record_heard_targets(gateway, now, source, &beat.telling);
    let is_for_this_gateway = match beat.figures {
        Figures::None => false,
        Figures::OfGateway => is_local,
        Figures::OfFailureDomain => !is_local,
    };
    if is_for_this_gateway {
        gateway.demand.borrow_mut().record_peer(now, source, beat.looked.into_iter().collect());
        record_outstanding(gateway, now, source, beat.telling);
    }
    if let Some(position) = beat.departure {
        gateway.process_departure(position);
    }
    for group in beat.suspects {
        gateway.process_suspicion(group);
    }
    for chain in beat.crashers {
        gateway.process_crasher_report(chain);
    }
    for limit in beat.limits {
        gateway.record_reported_limit(limit);
    }
    for (failure_domain, ms_ago) in &beat.ended_drains {
        gateway.process_remote_drain_end(failure_domain, *ms_ago);
    }
    for leaving in beat.leaving {
        gateway.process_leaving_report(leaving);
    }
    for group in beat.slow {
        gateway.process_slow_group(group);
    }
    beat.leader
}

/// Records the targets from which others have recently received data.
fn record_heard_targets(gateway: &Gateway, now: Millis, source: Source, report: &LoadReport) {
    let mut balance = gateway.balance.borrow_mut();
    let open = report.open.iter().filter(|count| count.heard).map(|count| count.target);
    for target in open.chain(report.heard.iter().copied()) {
        balance.record_peer_receipt(now, source, target);
    }
}

/// Records the requests that others have outstanding.
fn record_outstanding(gateway: &Gateway, now: Millis, source: Source, report: LoadReport) {
    let mut balance = gateway.balance.borrow_mut();
    let load = |count: Count| (count.target, count.load);
    let open: HashMap<Target, Load> = report.open.into_iter().map(load).collect();
    balance.record_peer_load(now, source, open);
    if let Some(elsewhere) = report.elsewhere {
        balance.record_peer_load_elsewhere(now, source, elsewhere.into_iter().collect());
    }
}

/// Records the gateways that share the limits on the sends of all gateways together.
fn record_sharers(gateway: &Gateway, now: Millis, beat: &Beat) {
    let sender = std::iter::once((members::hash(&beat.node), now));
    let reported = beat
        .peers
        .iter()
        .map(|peer| (members::hash(&peer.node), now.saturating_sub(peer.heard_ms_ago)));
    let silent = beat.silent.iter().map(|(node, ago)| (*node, now.saturating_sub(*ago)));
    gateway.record_members(sender.chain(reported).chain(silent));
}

fn record_peers(gateway: &Gateway, now: Millis, from: SocketAddr, beat: &Beat) {
    let mut peers = gateway.peers.borrow_mut();
    let sender = Peer {
        address: from,
        failure_domain: beat.failure_domain.clone(),
        last_seen_at: now,
        store_answers: beat.store_answers,
        reads_store: beat.reads_store,
        // A proof older than this process is treated like no proof.
        proved_at: beat.proof_age_ms.and_then(|age_ms| now.checked_sub(age_ms)),
        list_read_at: beat.list_age_ms.map(|age_ms| now.saturating_sub(age_ms)),
        era: beat.era,
        // Counted from the arrival, so the transmission makes the time later and never earlier.
        store_complete_from: beat.store_incomplete_ms.map(|ms| now + ms),
        version: beat.version,
        processor_percent: beat.processor_percent,
    };
    gateway.peer_heartbeat_at.set(Some(now));
    if peers.insert(beat.node.clone(), sender).is_none() {
        let (name, address) = (beat.node.as_str(), from.to_string());
        Event::new("peer_heard").with("peer", name).with("address", address).write();
    }
    drop(peers);
    record_reported_peers(gateway, &beat.peers);
}

/// Records gateways named by another one.
fn record_reported_peers(gateway: &Gateway, reports: &[PeerReport]) {
    let now = gateway.now();
    let mut peers = gateway.peers.borrow_mut();
    for report in reports {
        if report.node == gateway.settings.node {
            continue;
        }
        let last_seen_at = now.saturating_sub(report.heard_ms_ago);
        let peer = peers.entry(report.node.clone()).or_insert_with(|| Peer {
            address: report.address,
            failure_domain: report.failure_domain.clone(),
            last_seen_at,
            store_answers: true,
            reads_store: false,
            proved_at: None,
            list_read_at: None,
            era: Era::default(),
            store_complete_from: None,
            version: None,
            processor_percent: None,
        });
        if last_seen_at > peer.last_seen_at {
            peer.last_seen_at = last_seen_at;
            peer.address = report.address;
        }
    }
}
