//! What gateways tell each other: datagrams, several a second, each complete in itself.
//!
//! Datagrams and not QUIC connections: nothing here must arrive, a lost one is followed by the next,
//! and no gateway may wait for another. What must hold is in the store or in fences.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use oliveworks_gateway_core::balance::{Load, Target};
use oliveworks_gateway_core::demand::{Looked, ModelKey};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Event;
use crate::state::{Gateway, Peer, Table};

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
/// The most gateways that one heartbeat goes to.
const FAN_OUT: usize = 24;
/// The largest datagram.
const DATAGRAM_MAX: usize = 60_000;
/// How long a leader may be without the store before others may take its place.
const LEADER_STORE_MS: u64 = 2_500;

/// A heartbeat.
#[derive(Debug, Serialize, Deserialize)]
struct Beat {
    node: String,
    /// The fence under which the sender leads.
    leads: Option<u64>,
    /// Requests that the sender has open, by target.
    open: Vec<(Target, Load)>,
    /// Requests that looked for a place at the sender lately, by model.
    looked: Vec<(ModelKey, Looked)>,
    /// Groups that the sender sees standing still.
    suspects: Vec<u64>,
    /// Groups that the sender sees running slowly.
    slow: Vec<u64>,
    /// Targets from which the sender has just heard.
    heard: Vec<Target>,
    /// Whether any gateway has had a request.
    traffic: bool,
    /// Other gateways.
    peers: Vec<(String, SocketAddr)>,
    /// The newest table that the sender knows, if it leads.
    table: Option<Table>,
}

fn beat(gateway: &Gateway) -> Beat {
    let now = gateway.now();
    gateway.suspects.borrow_mut().retain(|_, at| now < *at + SUSPECT_MS);
    let reaches_store = now < gateway.store_heard_at.get() + LEADER_STORE_MS;
    let leads = gateway.election.borrow().leads().filter(|_| reaches_store);
    let peers = gateway.peers.borrow();
    let young = peers.iter().filter(|(_, peer)| now < peer.heard_at + PEER_MS);
    Beat {
        node: gateway.settings.node.clone(),
        leads,
        open: gateway.balance.borrow().own_open().collect(),
        looked: gateway.demand.borrow().own(now).collect(),
        suspects: gateway.suspects.borrow().keys().copied().collect(),
        slow: gateway.slow_groups(),
        heard: gateway.balance.borrow().heard_since(now.saturating_sub(HEARD_MS)).collect(),
        traffic: gateway.traffic.get(),
        peers: young.map(|(name, peer)| (name.clone(), peer.address)).take(FAN_OUT).collect(),
        table: leads.map(|_| gateway.table.borrow().clone()),
    }
}

/// Where heartbeats go: to gateways that are known, and to seeds while few are.
fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = gateway.settings.listen.peers;
    let peers = gateway.peers.borrow();
    let mut addresses: Vec<SocketAddr> = peers.values().map(|peer| peer.address).collect();
    if addresses.len() > FAN_OUT {
        addresses = addresses.sample(&mut rand::rng(), FAN_OUT).copied().collect();
    }
    for seed in &gateway.settings.seeds {
        let seed = SocketAddr::new(seed.ip(), own.port());
        if !addresses.contains(&seed) && addresses.len() < FAN_OUT {
            addresses.push(seed);
        }
    }
    addresses.retain(|address| *address != own);
    addresses
}

/// Sends heartbeats.
pub async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let message = postcard::to_stdvec(&beat(&gateway)).unwrap_or_default();
        if message.len() > DATAGRAM_MAX {
            warn!("peers: a heartbeat of {} bytes is too large", message.len());
        } else {
            for address in addresses(&gateway) {
                let _ = socket.try_send_to(&message, address);
            }
        }
        let now = gateway.now();
        gateway.peers.borrow_mut().retain(|_, peer| now < peer.heard_at + FORGET_MS);
        gateway.demand.borrow_mut().retain(now);
        let pause = Duration::from_millis(BEAT_MS);
        let _ = timeout(pause, gateway.beat_now.notified()).await;
    }
}

fn heard(gateway: &Gateway, from: SocketAddr, beat: Beat) {
    let now = gateway.now();
    if beat.node == gateway.settings.node {
        return;
    }
    {
        let mut peers = gateway.peers.borrow_mut();
        let new = peers.insert(beat.node.clone(), Peer { address: from, heard_at: now }).is_none();
        if new {
            let (name, address) = (beat.node.as_str(), from.to_string());
            Event::new("peer_heard").with("peer", name).with("address", address).write();
        }
        for (name, address) in beat.peers {
            if name != gateway.settings.node {
                // Told by another: asked for once, forgotten if it never answers.
                let heard_at = now.saturating_sub(PEER_MS);
                peers.entry(name).or_insert(Peer { address, heard_at });
            }
        }
    }
    if beat.traffic {
        gateway.traffic.set(true);
    }
    let open: HashMap<Target, Load> = beat.open.into_iter().collect();
    let sender = xxh3_64(beat.node.as_bytes());
    gateway.balance.borrow_mut().peer(now, sender, open);
    gateway.demand.borrow_mut().peer(now, sender, beat.looked.into_iter().collect());
    for target in beat.heard {
        gateway.balance.borrow_mut().heard_elsewhere(now, target);
    }
    for epoch in beat.suspects {
        gateway.suspected_by_another(epoch);
    }
    for epoch in beat.slow {
        gateway.runs_slowly(epoch);
    }
    if let Some(fence) = beat.leads {
        gateway.election.borrow_mut().heartbeat(now, fence);
        if let Some(table) = beat.table {
            take_table(gateway, table);
        }
    }
}

fn take_table(gateway: &Gateway, table: Table) {
    let mut held = gateway.table.borrow_mut();
    if (table.fence, table.number) < (held.fence, held.number) {
        return;
    }
    gateway.table_heard_at.set(gateway.now());
    if *held != table {
        *held = table;
    }
}

/// Takes heartbeats in.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(Duration::from_millis(BEAT_MS)).await;
            continue;
        };
        match postcard::from_bytes::<Beat>(&buffer[..length]) {
            Ok(beat) => heard(&gateway, from, beat),
            Err(error) => warn!("peers: a datagram of {from}: {error}"),
        }
    }
}

/// How many gateways come before this one when a new leader is needed.
pub fn rank(gateway: &Gateway) -> u64 {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let young = peers.iter().filter(|(_, peer)| now < peer.heard_at + PEER_MS);
    young.filter(|(name, _)| **name < gateway.settings.node).count() as u64
}
