//! Where this gateway reads the store's records: in the store, or through another gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::Millis;
use oliveworks_gateway_core::following::Following;
use oliveworks_gateway_core::sources::{Known, Own, ReadFrom};

use crate::dialect::Topic;
use crate::events::Event;
use crate::state::{Gateway, Peer};

/// Silence after which a gateway of this failure domain does not count as a reader, in ms: seven
/// heartbeats.
const NEAR_SILENT_MS: u64 = 700;
/// The same of another failure domain, in ms, whose gateways are heard now and then.
const FAR_SILENT_MS: u64 = 3_000;
/// What a proof may be older than the longest time for which the store holds a call back, in ms: the way
/// to the store and back, and of the heartbeat that tells of it.
const PROOF_SLACK_MS: u64 = 400;
/// How long a gateway that did not answer is not asked, in ms.
const AVOID_MS: u64 = 2_000;
/// The time between two calls to a store that turns this gateway away, while others answer it, in ms:
/// each such call is priced, and short beside the four seconds that a proof is good for.
const STORE_AGAIN_MS: u64 = 1_500;

/// Where the next step of a topic is made.
pub fn next(gateway: &Gateway, following: &Following) -> ReadFrom {
    let own = Own {
        name: &gateway.settings.node,
        store_answers: gateway.election.borrow().store_answers(),
        reads: gateway.reads_store(),
        retry_due: gateway.now() >= gateway.store_tried_at.get() + STORE_AGAIN_MS,
        era: gateway.era(),
    };
    let peers = gateway.peers.borrow();
    following.source(own, &known(gateway, &peers), rand::random())
}

/// The gateways that were heard lately.
fn known<'a>(gateway: &Gateway, peers: &'a BTreeMap<String, Peer>) -> Vec<Known<'a>> {
    let now = gateway.now();
    let avoided = gateway.avoided.borrow();
    let domain = &gateway.settings.failure_domain;
    let heard = peers.iter().filter_map(|(name, peer)| {
        let near = peer.failure_domain == *domain;
        let silent_ms = if near { NEAR_SILENT_MS } else { FAR_SILENT_MS };
        (now < peer.heard_at + silent_ms).then(|| Known {
            name,
            address: peer.address,
            near,
            store_answers: peer.store_answers,
            reads: peer.reads_store,
            informed: peer.proved_at.is_some_and(|at| is_young(gateway, now, at)),
            avoided: avoided.get(&peer.address).is_some_and(|at| now < at + AVOID_MS),
            era: peer.era,
            version: peer.version,
        })
    });
    heard.collect()
}

impl Gateway {
    /// Whether others may count on this gateway to read the store. Not once it stops: the next one takes over while this one
    /// still answers, and not some time after it has ended.
    pub fn reads_for_others(&self) -> bool {
        self.election.borrow().store_answers() && !self.is_stopping()
    }

    /// Whether this gateway reads the store now.
    pub fn reads_store(&self) -> bool {
        let proved_at = self.store_proved_at.get();
        proved_at.is_some_and(|at| is_young(self, self.now(), at)) && self.reads_for_others()
    }
}

/// Whether a proof that the store held nothing newer then is as young as a reader's should be: it is
/// renewed each time that the store has held a call back for as long as it may.
fn is_young(gateway: &Gateway, now: Millis, proved_at: Millis) -> bool {
    now < proved_at + gateway.settings.configuration_wait_ms() + PROOF_SLACK_MS
}

/// Whether the store is not known to answer this gateway, and others know what it holds: a call that
/// it may leave unanswered is not to keep this one from asking them for long.
pub fn tries_the_store(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let proven = gateway.store_proved_at.get().is_some_and(|at| is_young(gateway, now, at));
    let peers = gateway.peers.borrow();
    let informed = |at: Option<Millis>| at.is_some_and(|at| is_young(gateway, now, at));
    !proven && peers.values().any(|peer| informed(peer.proved_at))
}

/// A gateway did not answer: it is not asked for a while.
pub fn avoid(gateway: &Gateway, address: SocketAddr, topic: Topic, why: &str) {
    let now = gateway.now();
    let mut avoided = gateway.avoided.borrow_mut();
    avoided.retain(|_, at| now < *at + AVOID_MS);
    if avoided.insert(address, now).is_none() {
        Event::new("gateway_does_not_answer")
            .with("address", address.to_string())
            .debug("topic", topic)
            .with("why", why)
            .write();
    }
}
