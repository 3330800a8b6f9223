//! Choice of the source of the store's records: the store itself or another gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::sources::{LocalState, PeerState, ReadFrom};

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
/// Time during which a gateway that did not answer is not asked again, in ms.
const UNRESPONSIVE_MS: u64 = 2_000;
/// Time between two calls to a store that rejects this gateway while it answers others, in ms. Each
/// such call is charged, and the time is short compared to the 4 s for which a proof is valid.
const STORE_RETRY_MS: u64 = 1_500;

/// Returns the source of the next step of a topic.
pub fn choose_source(gateway: &Gateway, cursor: &ReadCursor) -> ReadFrom {
    let own = LocalState {
        name: &gateway.settings.node,
        store_answers: gateway.election.borrow().store_answers(),
        reads_store: gateway.reads_store(),
        retry_due: gateway.now() >= gateway.store_called_at.get() + STORE_RETRY_MS,
        era: gateway.era(),
    };
    let peers = gateway.peers.borrow();
    cursor.source(own, &recent_peers(gateway, &peers), rand::random())
}

/// Returns the gateways from which a message arrived recently.
fn recent_peers<'a>(gateway: &Gateway, peers: &'a BTreeMap<String, Peer>) -> Vec<PeerState<'a>> {
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
            has_recent_proof: peer.proved_at.is_some_and(|at| is_recent(gateway, now, at)),
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

    /// Returns whether this gateway reads the store now.
    pub fn reads_store(&self) -> bool {
        let proved_at = self.store_proved_at.get();
        proved_at.is_some_and(|at| is_recent(self, self.now(), at)) && self.reads_for_others()
    }
}

/// Returns whether a proof that the store held nothing newer is as young as a reader's proof should
/// be. A reader renews its proof whenever the store has held a call back for the longest time.
fn is_recent(gateway: &Gateway, now: Millis, proved_at: Millis) -> bool {
    now < proved_at + gateway.settings.configuration_wait_ms() + PROOF_SLACK_MS
}

/// Returns whether the store is not known to answer this gateway while others know what it holds. A
/// call that may stay without an answer must then not delay questions to these gateways for long.
pub fn is_store_trial(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let proven = gateway.store_proved_at.get().is_some_and(|at| is_recent(gateway, now, at));
    let peers = gateway.peers.borrow();
    let informed = |at: Option<Millis>| at.is_some_and(|at| is_recent(gateway, now, at));
    !proven && peers.values().any(|peer| informed(peer.proved_at))
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
