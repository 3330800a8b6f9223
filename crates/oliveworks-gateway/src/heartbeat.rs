//! What a heartbeat holds, and what a gateway does with one that it hears.

use std::collections::HashMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::balance::{Load, Target};
use oliveworks_gateway_core::crashers::Chain;
use oliveworks_gateway_core::demand::{Looked, ModelKey};
use oliveworks_gateway_core::election::Heartbeat;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::fan_out::Source;
use oliveworks_gateway_core::rate_limits::limits::Limit;
use oliveworks_gateway_core::telling::{self, Count, Known, Telling};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Event;
use crate::host_says::Leaving;
use crate::members;
use crate::peers::PEER_MS;
use crate::state::{Gateway, Peer};

/// How long a suspicion is told on.
const SUSPECT_MS: u64 = 400;
/// How long ago something from a target is told on.
const HEARD_MS: u64 = 200;
/// How long ago another gateway of this failure domain told so, in ms: with its own 200 ms and the
/// way, half of the 600 ms that a group's silence takes to be noticed at the least.
const HEARD_NEAR_MS: u64 = 100;
/// Gateways that one heartbeat names. Each is named by many, so that every gateway of hundreds is heard of
/// twice a second and more.
const PEERS_TOLD: usize = 2;
/// How long a leader may be without the store before others may take its place.
const LEADER_STORE_MS: u64 = 2_500;

/// What a gateway sees.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    node: String,
    failure_domain: String,
    /// The leader's newest heartbeat that the sender knows.
    leader: Option<LeaderSeen>,
    /// Whether the store answers the sender, and it goes on reading it.
    store_answers: bool,
    /// Whether the sender reads the store itself.
    reads_store: bool,
    /// How old the sender's proof is that the store holds nothing newer; none without one.
    proof_age_ms: Option<u64>,
    /// Which copy of itself the store answers from, as far as the sender has heard.
    era: Era,
    /// The newest version of the configuration that the sender holds.
    version: Option<u64>,
    /// Whose the next figures are.
    figures: Figures,
    /// Requests that are open.
    telling: Telling,
    /// Requests that looked for a place lately, by model.
    looked: Vec<(ModelKey, Looked)>,
    /// Groups that the sender sees standing still.
    suspects: Vec<u64>,
    /// Groups that the sender sees running slowly.
    slow: Vec<u64>,
    /// Backend servers that said they leave.
    leaving: Vec<Leaving>,
    /// Requests under which backend servers ended one after the other.
    crashers: Vec<Chain>,
    /// Rate limits that backend servers name.
    limits: Vec<Limit>,
    /// Failure domains whose drain has ended lately, and how many ms ago.
    ended_drains: Vec<(String, u64)>,
    /// Whether any gateway has had a request.
    traffic: bool,
    /// Other gateways.
    peers: Vec<PeerTold>,
    /// Gateways that have fallen silent and may still take their part of a bound, by their names' hashes,
    /// and how many ms ago each was heard.
    silent: Vec<(u64, u64)>,
}

/// Whose figures a heartbeat holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Figures {
    /// None: the sender does not know the listener's failure domain.
    None,
    /// The sender's own, as gateways of its failure domain are told.
    OfGateway,
    /// Those of all gateways of the sender's failure domain, as others are told.
    OfFailureDomain,
}

impl Beat {
    /// Whether the leader should hear it at once.
    pub fn is_urgent(&self) -> bool {
        !self.suspects.is_empty() || !self.slow.is_empty() || !self.leaving.is_empty()
    }
}

/// A leader's heartbeat that is passed on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaderSeen {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Where the leader listens.
    pub address: SocketAddr,
}

/// Another gateway, as it is told on.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PeerTold {
    node: String,
    failure_domain: String,
    address: SocketAddr,
    heard_ms_ago: u64,
}

/// What all gateways of the own failure domain need to know of this one.
pub fn own(gateway: &Gateway) -> Beat {
    let now = gateway.now();
    gateway.suspects.borrow_mut().retain(|_, at| now < *at + SUSPECT_MS);
    let reaches_store = now < gateway.store_heard_at.get() + LEADER_STORE_MS;
    let table = gateway.table.borrow().number;
    if gateway.election.borrow_mut().beat(table, reaches_store).is_some() {
        gateway.leader_address.set(Some(gateway.settings.listen.peers));
    }
    let heartbeat = gateway.election.borrow().heartbeat();
    let leader = heartbeat.zip(gateway.leader_address.get());
    let telling = telling::near(&gateway.balance.borrow(), now.saturating_sub(HEARD_MS));
    Beat {
        node: gateway.settings.node.clone(),
        failure_domain: gateway.settings.failure_domain.clone(),
        leader: leader.map(|(heartbeat, address)| LeaderSeen { heartbeat, address }),
        store_answers: gateway.reads_for_others(),
        reads_store: gateway.reads_store(),
        proof_age_ms: gateway.freshness.get().age_ms(now),
        era: gateway.era(),
        version: gateway.version_held(),
        figures: Figures::OfGateway,
        telling,
        looked: gateway.demand.borrow().own(now).collect(),
        suspects: gateway.suspects.borrow().keys().copied().collect(),
        slow: gateway.slow_groups(),
        leaving: gateway.leaving_told(),
        crashers: gateway.crashers_told(),
        limits: gateway.rate_limits.borrow().limits.telling(now, rand::random()),
        ended_drains: gateway.drains_ended_lately(),
        traffic: gateway.traffic.get(),
        peers: peers_told(gateway, now),
        silent: gateway.silent_gateways(),
    }
}

/// What this gateway's failure domain knows of open requests, as others are told.
pub fn known(gateway: &Gateway) -> Known {
    let now = gateway.now();
    let balance = gateway.balance.borrow();
    let near = balance.heard_near_since(now.saturating_sub(HEARD_NEAR_MS));
    let heard = balance.heard_since(now.saturating_sub(HEARD_MS)).chain(near).collect();
    Known { open: balance.domain_open(now), heard }
}

/// What another failure domain is told: the sum of what this domain's gateways told.
pub fn for_domain(gateway: &Gateway, own: &Beat, known: &Known, listener: &str) -> Beat {
    let now = gateway.now();
    let source = domain_source(listener);
    let due = gateway.sums.borrow_mut().is_due(now, source, known.open.len());
    let directory = gateway.directory.borrow();
    let is_there = |target| directory.failure_domain(target) == Some(listener);
    let telling = telling::far(&gateway.balance.borrow(), now, known, source, is_there, due);
    let looked = gateway.demand.borrow().of_domain(now).into_iter().collect();
    Beat { figures: Figures::OfFailureDomain, telling, looked, ..own.clone() }
}

/// What a gateway is told whose failure domain is not known yet: no figures.
pub fn for_stranger(own: &Beat) -> Beat {
    let (figures, telling, looked) = (Figures::None, Telling::default(), Vec::new());
    Beat { figures, telling, looked, ..own.clone() }
}

fn domain_source(failure_domain: &str) -> Source {
    Source::FailureDomain(xxh3_64(failure_domain.as_bytes()))
}

fn peers_told(gateway: &Gateway, now: Millis) -> Vec<PeerTold> {
    let peers = gateway.peers.borrow();
    let young = peers.iter().filter(|(_, peer)| now < peer.heard_at + PEER_MS);
    let told = young.sample(&mut rand::rng(), PEERS_TOLD);
    let told = told.into_iter().map(|(node, peer)| PeerTold {
        node: node.clone(),
        failure_domain: peer.failure_domain.clone(),
        address: peer.address,
        heard_ms_ago: now - peer.heard_at,
    });
    told.collect()
}

/// Takes a heartbeat in; what it says of the leader is left to the caller.
pub fn heard(gateway: &Gateway, from: SocketAddr, beat: Beat) -> Option<LeaderSeen> {
    let now = gateway.now();
    if beat.node == gateway.settings.node {
        return None;
    }
    know_peers(gateway, now, from, &beat);
    know_sharers(gateway, now, &beat);
    if beat.traffic {
        gateway.traffic.set(true);
    }
    let near = beat.failure_domain == gateway.settings.failure_domain;
    let source = match near {
        true => Source::Gateway(xxh3_64(beat.node.as_bytes())),
        false => domain_source(&beat.failure_domain),
    };
    hear_telling(gateway, now, source, &beat.telling);
    let for_this_one = match beat.figures {
        Figures::None => false,
        Figures::OfGateway => near,
        Figures::OfFailureDomain => !near,
    };
    if for_this_one {
        gateway.demand.borrow_mut().peer(now, source, beat.looked.into_iter().collect());
        hear_open(gateway, now, source, beat.telling);
    }
    for epoch in beat.suspects {
        gateway.suspected_by_another(epoch);
    }
    for chain in beat.crashers {
        gateway.crasher_told(chain);
    }
    for limit in beat.limits {
        gateway.limit_told(limit);
    }
    for (failure_domain, ms_ago) in &beat.ended_drains {
        gateway.drain_ended_elsewhere(failure_domain, *ms_ago);
    }
    for leaving in beat.leaving {
        gateway.leaves_by_another(leaving);
    }
    for epoch in beat.slow {
        gateway.runs_slowly(epoch);
    }
    beat.leader
}

/// Notes from which targets others have just heard.
fn hear_telling(gateway: &Gateway, now: Millis, source: Source, telling: &Telling) {
    let mut balance = gateway.balance.borrow_mut();
    let open = telling.open.iter().filter(|count| count.heard).map(|count| count.target);
    for target in open.chain(telling.heard.iter().copied()) {
        balance.heard_elsewhere(now, source, target);
    }
}

/// Notes what others have open.
fn hear_open(gateway: &Gateway, now: Millis, source: Source, telling: Telling) {
    let mut balance = gateway.balance.borrow_mut();
    let load = |count: Count| (count.target, count.load);
    let open: HashMap<Target, Load> = telling.open.into_iter().map(load).collect();
    balance.peer(now, source, open);
    if let Some(elsewhere) = telling.elsewhere {
        balance.peer_elsewhere(now, source, elsewhere.into_iter().collect());
    }
}

/// Notes who shares what all gateways together may send.
fn know_sharers(gateway: &Gateway, now: Millis, beat: &Beat) {
    let sender = std::iter::once((members::hash(&beat.node), now));
    let told = beat
        .peers
        .iter()
        .map(|told| (members::hash(&told.node), now.saturating_sub(told.heard_ms_ago)));
    let silent = beat.silent.iter().map(|(node, ago)| (*node, now.saturating_sub(*ago)));
    gateway.shares_with(sender.chain(told).chain(silent));
}

fn know_peers(gateway: &Gateway, now: Millis, from: SocketAddr, beat: &Beat) {
    let mut peers = gateway.peers.borrow_mut();
    let sender = Peer {
        address: from,
        failure_domain: beat.failure_domain.clone(),
        heard_at: now,
        store_answers: beat.store_answers,
        reads_store: beat.reads_store,
        // One that is older than this process is as good as none.
        proved_at: beat.proof_age_ms.and_then(|age_ms| now.checked_sub(age_ms)),
        era: beat.era,
        version: beat.version,
    };
    gateway.gateway_heard_at.set(Some(now));
    if peers.insert(beat.node.clone(), sender).is_none() {
        let (name, address) = (beat.node.as_str(), from.to_string());
        Event::new("peer_heard").with("peer", name).with("address", address).write();
    }
    for told in &beat.peers {
        if told.node == gateway.settings.node {
            continue;
        }
        let heard_at = now.saturating_sub(told.heard_ms_ago);
        let peer = peers.entry(told.node.clone()).or_insert_with(|| Peer {
            address: told.address,
            failure_domain: told.failure_domain.clone(),
            heard_at,
            store_answers: true,
            reads_store: false,
            proved_at: None,
            era: Era::default(),
            version: None,
        });
        if heard_at > peer.heard_at {
            peer.heard_at = heard_at;
            peer.address = told.address;
        }
    }
}
