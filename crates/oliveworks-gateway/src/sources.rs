//! Choice of the source of the store's records: the store itself or another gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::sources::{LocalState, PeerState, ReadFrom};
use oliveworks_gateway_core::store_calls::Knowledge;

use crate::dialect::Topic;
use crate::events::Event;
use crate::state::{Gateway, Peer};

/// Silence, in ms, after which a gateway of the local failure domain does not count as a reader:
/// seven heartbeats.
const LOCAL_SILENT_MS: u64 = 700;
/// The same for gateways of remote failure domains, in ms, whose heartbeats arrive only now and
/// then.
const REMOTE_SILENT_MS: u64 = 3_000;
/// Time that a proof may be older than the longest time for which the store holds a call back, in
/// ms: the round trip to the store and the transmission of the heartbeat with the proof.
const PROOF_SLACK_MS: u64 = 400;
/// Time that a reader's list of backend servers may be older than the time between two reads of it,
/// in ms: the round trip to the store and two heartbeats. The rest of the limit within which a
/// leaving server is noticed is left for another gateway's read.
const LIST_SLACK_MS: u64 = 300;
/// Time during which a gateway that did not answer is not asked again, in ms.
const UNRESPONSIVE_MS: u64 = 2_000;

/// Returns the source of the next step of a topic.
pub fn choose_source(gateway: &Gateway, cursor: &ReadCursor, topic: Topic) -> ReadFrom {
    let now = gateway.now();
    let own = LocalState {
        name: &gateway.settings.node,
        store_answers: gateway.election.borrow().store_answers(),
        reads_store: gateway.reads_store(),
        store_called_ms_ago: now - gateway.store_called_at.get(),
        era: gateway.era(),
    };
    let peers = gateway.peers.borrow();
    let source = cursor.source(now, own, recent_peers(gateway, &peers, topic), rand::random());
    match source {
        ReadFrom::Store => gateway.is_reader.set(true),
        ReadFrom::Gateway(_) | ReadFrom::Nobody => gateway.is_reader.set(false),
        ReadFrom::StoreTrial => {}
    }
    source
}

/// Returns the gateways from which a message arrived recently, with the proofs that count for a
/// topic.
fn recent_peers<'a>(
    gateway: &Gateway,
    peers: &'a BTreeMap<String, Peer>,
    topic: Topic,
) -> Vec<PeerState<'a>> {
    let now = gateway.now();
    let unresponsive = gateway.unresponsive_peers.borrow();
    let domain = &gateway.settings.failure_domain;
    let recent = peers.iter().filter_map(|(name, peer)| {
        let is_local = peer.failure_domain == *domain;
        let silent_ms = if is_local { LOCAL_SILENT_MS } else { REMOTE_SILENT_MS };
        (now < peer.last_seen_at + silent_ms).then(|| PeerState {
            name,
            address: peer.address,
            is_local,
            store_answers: peer.store_answers,
            reads_store: peer.reads_store,
            proof_age_ms: peer.proved_at.map(|at| now - at),
            has_recent_proof: peer.proved_at.is_some_and(|at| is_recent(gateway, now, at))
                && !(topic == Topic::BackendServers && is_list_old(gateway, now, peer)),
            is_unresponsive: unresponsive
                .get(&peer.address)
                .is_some_and(|at| now < at + UNRESPONSIVE_MS),
            era: peer.era,
            version: peer.version,
        })
    });
    recent.collect()
}

impl Gateway {
    /// Returns whether others may rely on this gateway to read the store. A stopping gateway
    /// returns false, so that the next reader takes over while this one still answers, and not some
    /// time after its end.
    pub fn reads_for_others(&self) -> bool {
        self.election.borrow().store_answers() && !self.is_stopping()
    }

    /// Returns whether this gateway's proof that the store holds nothing newer is as young as a
    /// reader's proof should be.
    pub fn has_recent_proof(&self) -> bool {
        let limit_ms = self.settings.configuration_wait_ms() + PROOF_SLACK_MS;
        self.proof_age_ms().is_some_and(|age_ms| age_ms < limit_ms)
    }

    /// Returns whether this gateway reads the store now, for its failure domain.
    pub fn reads_store(&self) -> bool {
        self.is_reader.get() && knows_store_answers(self) && self.reads_for_others()
    }
}

/// Returns whether a proof that the store held nothing newer is as young as a reader's proof should
/// be. A reader renews its proof whenever the store has held a call back for the longest time.
fn is_recent(gateway: &Gateway, now: Millis, proved_at: Millis) -> bool {
    now < proved_at + gateway.settings.configuration_wait_ms() + PROOF_SLACK_MS
}

/// Returns whether a gateway's list of backend servers is older than that of a reader. A gateway
/// that has not read it yet is about to.
fn is_list_old(gateway: &Gateway, now: Millis, peer: &Peer) -> bool {
    let limit_ms = gateway.settings.servers_every_ms() + LIST_SLACK_MS;
    peer.list_read_at.is_some_and(|at| now >= at + limit_ms)
}

/// Returns whether the gateway at an address has a list of backend servers that is older than that
/// of a reader.
pub fn has_old_list(gateway: &Gateway, address: SocketAddr) -> bool {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let mut at_address = peers.values().filter(|peer| peer.address == address);
    at_address.all(|peer| is_list_old(gateway, now, peer))
}

/// Returns whether an answer of the store to this gateway is as recent as those to a reader are.
fn knows_store_answers(gateway: &Gateway) -> bool {
    let proved_at = gateway.store_proved_at.get();
    proved_at.is_some_and(|at| is_recent(gateway, gateway.now(), at))
}

/// Returns what this gateway knows of the store.
pub fn knowledge(gateway: &Gateway, topic: Topic, reads_all: bool) -> Knowledge {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let informed = |at: Option<Millis>| at.is_some_and(|at| is_recent(gateway, now, at));
    let is_configuration = topic == Topic::Configuration;
    let has_proof = gateway.proof_age_ms().is_some();
    Knowledge {
        answers_this_gateway: knows_store_answers(gateway),
        others_are_informed: peers.values().any(|peer| informed(peer.proved_at)),
        others_hold_newer: is_configuration
            && gateway.newest_reported_version() > gateway.version_held(),
        reads_all,
        reaches_slow_store: is_configuration,
        proof_is_old: is_configuration && has_proof && !gateway.has_recent_proof(),
    }
}

/// Records that a gateway did not answer, so that no question is sent there for a while.
pub fn mark_unresponsive(gateway: &Gateway, address: SocketAddr, topic: Topic, why: &str) {
    let now = gateway.now();
    let mut unresponsive = gateway.unresponsive_peers.borrow_mut();
    unresponsive.retain(|_, at| now < *at + UNRESPONSIVE_MS);
    if unresponsive.insert(address, now).is_none() {
        Event::new("gateway_does_not_answer")
            .with("address", address.to_string())
            .debug("topic", topic)
            .with("why", why)
            .write();
    }
}
