//! What gateways tell each other: datagrams, several a second, each complete in itself.
//!
//! Datagrams and not QUIC connections: nothing here must arrive, a lost one is followed by the next,
//! and no gateway may wait for another. What must hold is in the store or in fences.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::balance::{Load, Target};
use oliveworks_gateway_core::demand::{Looked, ModelKey};
use oliveworks_gateway_core::election::Heartbeat;
use oliveworks_gateway_core::fan_out::{self, Recipients, Source};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Event;
use crate::slow_start;
use crate::state::{Gateway, Peer};
use crate::table::Table;

/// The time between two heartbeats.
const BEAT_MS: u64 = 100;
/// Silence after which a gateway is no longer told to others.
const PEER_MS: u64 = 3_000;
/// Silence after which a gateway is forgotten.
const FORGET_MS: u64 = 60_000;
/// How long a suspicion is told on.
const SUSPECT_MS: u64 = 400;
/// How long ago something from a target is told on.
const HEARD_MS: u64 = 200;
/// How long ago another gateway of this failure domain told so, in ms: with its own 200 ms and the
/// way, half of the 600 ms that a group's silence takes to be noticed at the least.
const HEARD_NEAR_MS: u64 = 100;
/// Gateways that one datagram names: all gateways of a failure domain are named within seconds.
const PEERS_TOLD: usize = 8;
/// The largest datagram.
const DATAGRAM_MAX: usize = 60_000;
/// How long a leader may be without the store before others may take its place.
const LEADER_STORE_MS: u64 = 2_500;
/// The time between two questions for a newer table, in ms: the way there and back between failure
/// domains, so that one loss costs little more than that.
const ASK_TABLE_MS: u64 = 20;

/// What one gateway says to another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What it sees, several times a second.
    Beat(Box<Beat>),
    /// The newest table, when it changes or somebody asks for it.
    Table(Box<Table>),
    /// Asks for the newest table.
    AskTable,
}

/// What a gateway sees.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Beat {
    node: String,
    failure_domain: String,
    /// The leader's newest heartbeat that the sender knows.
    leader: Option<LeaderSeen>,
    /// Whether the store answers the sender.
    store_answers: bool,
    /// How old the sender's proof is that the store holds nothing newer; none without one.
    proof_age_ms: Option<u64>,
    /// Whether the next figures are those of all gateways of the sender's failure domain, as others
    /// are told, and not the sender's own.
    of_domain: bool,
    /// Requests that are open, by target.
    open: Vec<(Target, Load)>,
    /// Requests that looked for a place lately, by model.
    looked: Vec<(ModelKey, Looked)>,
    /// Groups that the sender sees standing still.
    suspects: Vec<u64>,
    /// Groups that the sender sees running slowly.
    slow: Vec<u64>,
    /// Targets from which something has just come.
    heard: Vec<Target>,
    /// Whether any gateway has had a request.
    traffic: bool,
    /// Other gateways.
    peers: Vec<PeerTold>,
    /// Gateways that have fallen silent and may still send to cold backend servers, by their names' hashes,
    /// and how many ms ago each was heard.
    silent: Vec<(u64, u64)>,
}

/// A leader's heartbeat that is passed on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeaderSeen {
    heartbeat: Heartbeat,
    /// Where the leader listens.
    address: SocketAddr,
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
fn own_beat(gateway: &Gateway) -> Beat {
    let now = gateway.now();
    gateway.suspects.borrow_mut().retain(|_, at| now < *at + SUSPECT_MS);
    let reaches_store = now < gateway.store_heard_at.get() + LEADER_STORE_MS;
    let table = gateway.table.borrow().number;
    if gateway.election.borrow_mut().beat(table, reaches_store).is_some() {
        gateway.leader_address.set(Some(gateway.settings.listen.peers));
    }
    let heartbeat = gateway.election.borrow().heartbeat();
    let leader = heartbeat.zip(gateway.leader_address.get());
    Beat {
        node: gateway.settings.node.clone(),
        failure_domain: gateway.settings.failure_domain.clone(),
        leader: leader.map(|(heartbeat, address)| LeaderSeen { heartbeat, address }),
        store_answers: gateway.election.borrow().store_answers(),
        proof_age_ms: gateway.freshness.get().age_ms(now),
        of_domain: false,
        open: gateway.balance.borrow().own_open().collect(),
        looked: gateway.demand.borrow().own(now).collect(),
        suspects: gateway.suspects.borrow().keys().copied().collect(),
        slow: gateway.slow_groups(),
        heard: gateway.balance.borrow().heard_since(now.saturating_sub(HEARD_MS)).collect(),
        traffic: gateway.traffic.get(),
        peers: peers_told(gateway, now),
        silent: gateway.silent_gateways(),
    }
}

/// The same for other failure domains: the sum of what this domain's gateways told.
fn domain_beat(gateway: &Gateway, own: Beat) -> Beat {
    let now = gateway.now();
    let balance = gateway.balance.borrow();
    let near = balance.heard_near_since(now.saturating_sub(HEARD_NEAR_MS));
    let mut heard = own.heard;
    heard.extend(near);
    heard.sort_unstable();
    heard.dedup();
    Beat {
        of_domain: true,
        open: balance.domain_open(now).into_iter().collect(),
        looked: gateway.demand.borrow().of_domain(now).into_iter().collect(),
        heard,
        ..own
    }
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

/// Where datagrams go: to gateways that are known, and to seeds that are not known yet.
fn recipients(gateway: &Gateway) -> Recipients {
    let own = gateway.settings.listen.peers;
    let peers = gateway.peers.borrow();
    let mut known: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
    for peer in peers.values().filter(|peer| peer.address != own) {
        known.entry(&peer.failure_domain).or_default().push(peer.address);
    }
    let mut found = fan_out::recipients(&gateway.settings.failure_domain, &known, rand::random());
    for seed in &gateway.settings.seeds {
        let seed = SocketAddr::new(seed.ip(), own.port());
        if seed != own && !peers.values().any(|peer| peer.address == seed) {
            found.far.push(seed);
        }
    }
    found
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!("peers: a datagram cannot be written: {error}");
            return None;
        }
    };
    if bytes.len() > DATAGRAM_MAX {
        warn!("peers: a datagram of {} bytes is too large", bytes.len());
        return None;
    }
    Some(bytes)
}

/// Sends a message; a datagram that does not leave is as good as one that is lost on its way.
fn send_to(socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let Some(bytes) = encode(message) else { return };
    for address in addresses {
        let _ = socket.try_send_to(&bytes, *address);
    }
}

fn send_beats(gateway: &Gateway, socket: &UdpSocket) {
    let Recipients { near, mut far } = recipients(gateway);
    let beat = own_beat(gateway);
    // The leader acts on suspicions, so it hears of them first.
    let urgent = !beat.suspects.is_empty() || !beat.slow.is_empty();
    let leader = gateway.leader_address.get().filter(|_| urgent);
    let unreached = |address: &SocketAddr| !near.contains(address) && !far.contains(address);
    if let Some(address) = leader.filter(unreached) {
        far.push(address);
    }
    far.retain(|address| *address != gateway.settings.listen.peers);
    let domain_beat = domain_beat(gateway, beat.clone());
    send_to(socket, &Message::Beat(Box::new(beat)), &near);
    send_to(socket, &Message::Beat(Box::new(domain_beat)), &far);
}

/// Passes a table on that is new here: a leader to all its recipients, others to their own failure
/// domain if it came from another.
fn send_table(gateway: &Gateway, socket: &UdpSocket) {
    let Recipients { mut near, far } = recipients(gateway);
    if gateway.election.borrow().leads().is_some() {
        near.extend(far);
    }
    let table = gateway.table.borrow().clone();
    send_to(socket, &Message::Table(Box::new(table)), &near);
}

/// Sends heartbeats, and tables when they change.
pub async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut beat_at = 0;
    loop {
        if gateway.table_is_new.take() {
            send_table(&gateway, &socket);
        }
        let now = gateway.now();
        if gateway.beat_is_urgent.take() || now >= beat_at + BEAT_MS {
            beat_at = now;
            send_beats(&gateway, &socket);
            gateway.peers.borrow_mut().retain(|_, peer| now < peer.heard_at + FORGET_MS);
            gateway.demand.borrow_mut().retain(now);
        }
        let pause = Duration::from_millis((beat_at + BEAT_MS).saturating_sub(gateway.now()));
        let _ = timeout(pause, gateway.send_now.notified()).await;
    }
}

fn heard(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, beat: Beat) {
    let now = gateway.now();
    if beat.node == gateway.settings.node {
        return;
    }
    know_peers(gateway, now, from, &beat);
    know_sharers(gateway, now, &beat);
    if beat.traffic {
        gateway.traffic.set(true);
    }
    let near = beat.failure_domain == gateway.settings.failure_domain;
    let source = match near {
        true => Source::Gateway(xxh3_64(beat.node.as_bytes())),
        false => Source::FailureDomain(xxh3_64(beat.failure_domain.as_bytes())),
    };
    // A gateway that does not know yet where this one is sends it sums that hold its own figures.
    if beat.of_domain != near {
        let open: HashMap<Target, Load> = beat.open.into_iter().collect();
        gateway.balance.borrow_mut().peer(now, source, open);
        gateway.demand.borrow_mut().peer(now, source, beat.looked.into_iter().collect());
    }
    for target in beat.heard {
        gateway.balance.borrow_mut().heard_elsewhere(now, source, target);
    }
    for epoch in beat.suspects {
        gateway.suspected_by_another(epoch);
    }
    for epoch in beat.slow {
        gateway.runs_slowly(epoch);
    }
    if let Some(leader) = beat.leader {
        hear_leader(gateway, socket, from, leader);
    }
}

/// Notes who shares what cold backend servers may be sent.
fn know_sharers(gateway: &Gateway, now: Millis, beat: &Beat) {
    let sender = std::iter::once((slow_start::hash(&beat.node), now));
    let told = beat
        .peers
        .iter()
        .map(|told| (slow_start::hash(&told.node), now.saturating_sub(told.heard_ms_ago)));
    let silent = beat.silent.iter().map(|(node, ago)| (*node, now.saturating_sub(*ago)));
    gateway.shares_cold_with(sender.chain(told).chain(silent));
}

fn know_peers(gateway: &Gateway, now: Millis, from: SocketAddr, beat: &Beat) {
    let mut peers = gateway.peers.borrow_mut();
    let sender = Peer {
        address: from,
        failure_domain: beat.failure_domain.clone(),
        heard_at: now,
        store_answers: beat.store_answers,
        proved_at: beat.proof_age_ms.map(|age_ms| now.saturating_sub(age_ms)),
    };
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
            proved_at: None,
        });
        if heard_at > peer.heard_at {
            peer.heard_at = heard_at;
            peer.address = told.address;
        }
    }
}

/// Takes a leader's heartbeat in, and asks for its table if that is newer than the one held.
fn hear_leader(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, leader: LeaderSeen) {
    let now = gateway.now();
    let LeaderSeen { heartbeat, address } = leader;
    if gateway.election.borrow_mut().heard(now, heartbeat) {
        gateway.leader_address.set(Some(address));
    }
    let held = gateway.table_version();
    let told = (heartbeat.fence, heartbeat.table);
    if told == held {
        confirm_table(gateway, heartbeat);
    }
    // A sender that has just heard of it may lack it too; the next datagram asks again.
    if told > held && now >= gateway.asked_table_at.get() + ASK_TABLE_MS {
        gateway.asked_table_at.set(now);
        send_to(socket, &Message::AskTable, &[from]);
    }
}

/// The leader has just said that the table which is held here is its newest one.
fn confirm_table(gateway: &Gateway, heartbeat: Heartbeat) {
    let newest = gateway.election.borrow().heartbeat();
    if newest.is_some_and(|newest| newest == heartbeat) {
        gateway.table_heard_at.set(gateway.now());
    }
}

fn take_table(gateway: &Gateway, from: SocketAddr, table: Table) {
    if (table.fence, table.number) <= gateway.table_version() {
        return;
    }
    *gateway.table.borrow_mut() = table;
    gateway.table_heard_at.set(gateway.now());
    let peers = gateway.peers.borrow();
    let sender = peers.values().find(|peer| peer.address == from);
    let far = sender.is_none_or(|peer| peer.failure_domain != gateway.settings.failure_domain);
    if far {
        gateway.table_is_new.set(true);
        gateway.send_now.notify_one();
    }
}

/// Takes datagrams in.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(Duration::from_millis(BEAT_MS)).await;
            continue;
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::Beat(beat)) => heard(&gateway, &socket, from, *beat),
            Ok(Message::Table(table)) => take_table(&gateway, from, *table),
            Ok(Message::AskTable) => {
                let table = gateway.table.borrow().clone();
                send_to(&socket, &Message::Table(Box::new(table)), &[from]);
            }
            Err(error) => warn!("peers: a datagram of {from}: {error}"),
        }
    }
}

/// How many gateways come before this one when a new leader is needed: those that the store answers.
pub fn rank(gateway: &Gateway) -> u64 {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let young = peers.iter().filter(|(_, peer)| now < peer.heard_at + PEER_MS);
    let able = young.filter(|(_, peer)| peer.store_answers);
    able.filter(|(name, _)| **name < gateway.settings.node).count() as u64
}
