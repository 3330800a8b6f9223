//! Messages between gateways: datagrams, sent several times a second, each complete in itself.
//!
//! Datagrams are preferred to QUIC connections, since no delivery has to be guaranteed: a lost
//! message is replaced by the next one, and no gateway may wait for another. All state that must be
//! reliable is in the store or protected by fencing tokens.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::candidates::{self, Candidate};
use oliveworks_gateway_core::election::Heartbeat;
use oliveworks_gateway_core::fan_out::{self, Recipients};
use oliveworks_gateway_core::rate_limits::{Answer, PermitRequest};
use oliveworks_gateway_core::table::{Change, Part, Version};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::heartbeat::{self, Beat, LeaderHeartbeat, PeerReport};
use crate::members;
use crate::rate_limits::ToLimiter;
use crate::state::Gateway;

/// Time between two heartbeats, in ms.
const HEARTBEAT_MS: u64 = 100;
/// Silence after which a gateway is no longer named to others, in ms.
pub const PEER_TIMEOUT_MS: u64 = 3_000;
/// Silence after which a gateway is forgotten, in ms.
const PEER_FORGET_MS: u64 = 60_000;
/// Largest size of a datagram, in bytes.
const DATAGRAM_MAX: usize = 60_000;
/// Time between two requests for a newer table, in ms: the round-trip time between failure domains,
/// so that one lost message costs little more than one round trip.
const ASK_TABLE_MS: u64 = 20;
/// The same while parts of a whole table are arriving, in ms. Their transfer takes longer: 1 MB at
/// 80 Mbit/s.
const ASK_WHOLE_MS: u64 = 100;

/// A message between two gateways.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Heartbeat, sent several times a second.
    Beat(Box<Beat>),
    /// Change of the table.
    Change(Box<Change>),
    /// Part of the whole table, for a gateway that has missed too many changes.
    Part(Box<Part>),
    /// Request for the changes since the table version held by the sender.
    AskTable(Version),
    /// Request for a permit, sent to the limiter of a backend server (see [`crate::rate_limits`]).
    AskPermit(PermitRequest),
    /// Answer of a limiter.
    Permit(Answer),
    /// Report to the limiter of a backend server that a call was made without waiting for a permit.
    Spent(Target),
    /// Gateways of the recipient's failure domain, for a recipient that knows few of them.
    Introduction(Vec<PeerReport>),
}

impl Message {
    /// Returns the name of the counter of bytes sent in messages of this kind.
    fn bytes_counter(&self) -> &'static str {
        match self {
            Message::Beat(_) => "heartbeat_bytes",
            Message::Introduction(_) => "introduction_bytes",
            Message::Change(_) | Message::AskTable(_) => "table_change_bytes",
            Message::Part(_) => "table_whole_bytes",
            Message::AskPermit(_) | Message::Permit(_) | Message::Spent(_) => "permit_bytes",
        }
    }
}

/// Returns the recipients of datagrams: the known gateways, and the seeds that are not known yet.
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
            found.remote.push(seed);
        }
    }
    found
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!("peers: cannot encode a datagram: {error}");
            return None;
        }
    };
    if bytes.len() > DATAGRAM_MAX {
        warn!("peers: dropped a datagram of {} bytes, which exceeds the size limit", bytes.len());
        return None;
    }
    Some(bytes)
}

/// Sends a message. A datagram that cannot be sent is treated like one lost in transit.
fn send_to(gateway: &Gateway, socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let Some(bytes) = encode(message) else { return };
    gateway.count_by(message.bytes_counter(), (bytes.len() * addresses.len()) as u64);
    for address in addresses {
        let _ = socket.try_send_to(&bytes, *address);
    }
}

fn send_heartbeats(gateway: &Gateway, socket: &UdpSocket) {
    let Recipients { local, mut remote } = recipients(gateway);
    let beat = heartbeat::for_own_domain(gateway);
    // The leader acts on suspicions and therefore receives them first.
    let leader = gateway.leader_address.get().filter(|_| beat.is_urgent());
    let unreached = |address: &SocketAddr| !local.contains(address) && !remote.contains(address);
    if let Some(address) = leader.filter(unreached) {
        remote.push(address);
    }
    remote.retain(|address| *address != gateway.settings.listen.peers);
    let known = heartbeat::domain_figures(gateway);
    for (domain, addresses) in group_by_domain(gateway, &remote) {
        let beat = match domain {
            Some(domain) => heartbeat::for_domain(gateway, &beat, &known, &domain),
            None => heartbeat::for_unknown_domain(&beat),
        };
        send_to(gateway, socket, &Message::Beat(Box::new(beat)), &addresses);
    }
    send_to(gateway, socket, &Message::Beat(Box::new(beat)), &local);
}

/// Groups addresses by the failure domain of their gateway; none if the failure domain is unknown.
fn group_by_domain(
    gateway: &Gateway,
    addresses: &[SocketAddr],
) -> BTreeMap<Option<String>, Vec<SocketAddr>> {
    let peers = gateway.peers.borrow();
    let mut found: BTreeMap<Option<String>, Vec<SocketAddr>> = BTreeMap::new();
    for address in addresses {
        let peer = peers.values().find(|peer| peer.address == *address);
        let domain = peer.map(|peer| peer.failure_domain.clone());
        found.entry(domain).or_default().push(*address);
    }
    found
}

/// Forwards changes of the table that are new here. The leader sends them to all its recipients,
/// other gateways to their own failure domain if the changes came from another one. Each failure
/// domain therefore receives two copies of a change.
fn send_changes(gateway: &Gateway, socket: &UdpSocket) {
    let changes = std::mem::take(&mut *gateway.changes_to_forward.borrow_mut());
    if changes.is_empty() {
        return;
    }
    let Recipients { mut local, remote } = recipients(gateway);
    if gateway.election.borrow().leading_fence().is_some() {
        local.extend(remote);
    }
    for change in changes {
        send_to(gateway, socket, &Message::Change(Box::new(change)), &local);
    }
}

/// Sends the pending messages to limiters.
fn send_to_limiters(gateway: &Gateway, socket: &UdpSocket) {
    for (limiter, message) in gateway.take_messages_to_limiters() {
        let message = match message {
            ToLimiter::Question(question) => Message::AskPermit(question),
            ToLimiter::Spent(target) => Message::Spent(target),
        };
        send_to(gateway, socket, &message, &[limiter]);
    }
}

/// Sends heartbeats, and pending changes of the table and messages to limiters.
pub async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut beat_at = 0;
    loop {
        send_changes(&gateway, &socket);
        send_to_limiters(&gateway, &socket);
        let now = gateway.now();
        if gateway.heartbeat_is_urgent.take() || now >= beat_at + HEARTBEAT_MS {
            beat_at = now;
            send_heartbeats(&gateway, &socket);
            gateway.peers.borrow_mut().retain(|_, peer| now < peer.last_seen_at + PEER_FORGET_MS);
            gateway.demand.borrow_mut().retain(now);
        }
        let pause = Duration::from_millis((beat_at + HEARTBEAT_MS).saturating_sub(gateway.now()));
        let _ = timeout(pause, gateway.send_now.notified()).await;
    }
}

/// Processes a heartbeat of the leader, and requests the newer part of the leader's table.
fn process_leader_heartbeat(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    leader: LeaderHeartbeat,
) {
    let now = gateway.now();
    let LeaderHeartbeat { heartbeat, address } = leader;
    if gateway.election.borrow_mut().observe_heartbeat(now, heartbeat) {
        gateway.leader_address.set(Some(address));
    }
    let held = gateway.table.borrow().version();
    let announced = Version { fence: heartbeat.fence, number: heartbeat.table };
    if announced == held {
        confirm_table(gateway, heartbeat);
    }
    // The sender may have learned of the newer table only recently and may lack it. The next
    // heartbeat leads to another request.
    if announced > held && now >= gateway.ask_table_at.get() {
        gateway.ask_table_at.set(now + ASK_TABLE_MS);
        gateway.count("tables_asked");
        send_to(gateway, socket, &Message::AskTable(held), &[from]);
    }
}

/// Records that the leader has confirmed the held table as its newest one.
fn confirm_table(gateway: &Gateway, heartbeat: Heartbeat) {
    let newest = gateway.election.borrow().heartbeat();
    if newest.is_some_and(|newest| newest == heartbeat) {
        gateway.table_confirmed_at.set(gateway.now());
    }
}

/// Answers a gateway that holds an older table.
fn send_table(gateway: &Gateway, socket: &UdpSocket, held: Version, to: SocketAddr) {
    let table = gateway.table.borrow();
    if table.version() <= held {
        return;
    }
    let Some(changes) = gateway.changes.borrow().since(held) else {
        gateway.count("tables_told_whole");
        for part in table.parts() {
            send_to(gateway, socket, &Message::Part(Box::new(part)), &[to]);
        }
        return;
    };
    gateway.count("tables_told_by_changes");
    for change in changes {
        send_to(gateway, socket, &Message::Change(Box::new(change)), &[to]);
    }
}

/// Applies a change of the table, and forwards it if it came from another failure domain. A change
/// that does not fit is dropped: the change is old, or an earlier one is missing, which the next
/// heartbeat reveals.
fn apply_change(gateway: &Gateway, from: SocketAddr, change: Change) {
    if !gateway.change_table(change.clone()) {
        return;
    }
    gateway.table_confirmed_at.set(gateway.now());
    let peers = gateway.peers.borrow();
    let sender = peers.values().find(|peer| peer.address == from);
    let is_remote =
        sender.is_none_or(|peer| peer.failure_domain != gateway.settings.failure_domain);
    if is_remote {
        gateway.changes_to_forward.borrow_mut().push(change);
        gateway.send_now.notify_one();
    }
}

/// Processes a part of a whole table.
fn apply_part(gateway: &Gateway, part: Part) {
    gateway.ask_table_at.set(gateway.now() + ASK_WHOLE_MS);
    let Some(table) = gateway.table_parts.borrow_mut().add_part(part) else { return };
    if table.version() > gateway.table.borrow().version() {
        gateway.replace_table(table);
        gateway.table_confirmed_at.set(gateway.now());
    }
}

fn process(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr, message: Message) {
    match message {
        Message::Beat(beat) => {
            if let Some(known) = heartbeat::introduction(gateway, from, &beat) {
                send_to(gateway, socket, &Message::Introduction(known), &[from]);
            }
            if let Some(leader) = heartbeat::process(gateway, from, *beat) {
                process_leader_heartbeat(gateway, socket, from, leader);
            }
        }
        Message::Change(change) => apply_change(gateway, from, *change),
        Message::Part(part) => apply_part(gateway, *part),
        Message::AskTable(held) => send_table(gateway, socket, held, from),
        Message::AskPermit(question) => {
            let answer = gateway.answer_permit(question);
            send_to(gateway, socket, &Message::Permit(answer), &[from]);
        }
        Message::Permit(answer) => gateway.permit_answered(answer),
        Message::Spent(target) => gateway.count_peer_call(target),
        Message::Introduction(reports) => heartbeat::process_introduction(gateway, &reports),
    }
}

/// Receives and processes datagrams.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            continue;
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(message) => process(&gateway, &socket, from, message),
            Err(error) => warn!("peers: cannot decode a datagram from {from}: {error}"),
        }
    }
}

/// Returns the number of gateways that precede this one as candidates for the leadership. Only
/// gateways that the store answers count.
pub fn election_rank(gateway: &Gateway) -> u64 {
    let now = gateway.now();
    let settings = &gateway.settings;
    let candidate =
        |name: &str, processor_percent| Candidate { processor_percent, hash: members::hash(name) };
    let peers = gateway.peers.borrow();
    let recent = peers.iter().filter(|(_, peer)| now < peer.last_seen_at + PEER_TIMEOUT_MS);
    let answered = recent.filter(|(_, peer)| peer.store_answers);
    let others = answered.map(|(name, peer)| candidate(name, peer.processor_percent));
    candidates::rank(candidate(&settings.node, settings.processor_percent()), others)
}
