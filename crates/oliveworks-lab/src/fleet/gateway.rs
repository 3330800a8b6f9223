//! A simulated gateway: what it knows of the others and of the store, and its reads of two topics.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oliveworks_gateway_core::departures::Departures;
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::introductions::Introductions;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::sources::{LocalState, PeerState, ReadFrom};
use oliveworks_gateway_core::store_calls::{Knowledge, PreviousCall, Terms};

/// Longest time for which the store holds a read of the configuration back, in ms.
pub const HELD_MS: u64 = 3_250;
/// Time within which a revoked key must not be honoured any more, in ms.
pub const REVOKE_MS: u64 = 5_000;
/// Age up to which a proof counts as recent, in ms.
const RECENT_MS: u64 = HELD_MS + 400;
/// Silence after which a gateway of the same failure domain, or of another one, is not a source.
const LOCAL_SILENT_MS: u64 = 700;
const REMOTE_SILENT_MS: u64 = 3_000;
/// Time during which a gateway that did not answer is not asked, in ms.
const UNRESPONSIVE_MS: u64 = 2_000;
/// Time for which a starting gateway waits for one that holds the configuration, in ms.
const PEER_WAIT_MS: u64 = 400;

/// A topic of the store. The numbers are indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    Configuration = 0,
    List = 1,
}

pub const TOPICS: [Topic; 2] = [Topic::Configuration, Topic::List];

/// What a gateway knows of another one.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    pub last_seen_at: u64,
    pub store_answers: bool,
    pub reads_store: bool,
    pub proved_at: Option<u64>,
    pub version: Option<u64>,
}

/// A call to the store or a question to another gateway that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub enum Pending {
    Call { sent: u64, held_ms: u64, terms: Terms, is_lost: bool },
    Question { sent: u64, to: usize, proof_age_ms: Option<u64> },
}

/// Progress in one topic.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    pub cursor: ReadCursor,
    pub told: Freshness,
    pub previous: Option<PreviousCall>,
    pub pending: Option<Pending>,
    /// Earliest time of the next step.
    pub next_at: u64,
    pub read_from: Option<ReadFrom>,
    /// Number of records that this gateway holds; none before its first read.
    pub held: Option<u64>,
}

/// A gateway since its last start.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub index: usize,
    pub domain: usize,
    pub started_at: u64,
    pub peers: BTreeMap<usize, View>,
    pub unresponsive: BTreeMap<usize, u64>,
    pub followers: [Follower; 2],
    pub freshness: Freshness,
    /// Time since which the store has answered without a failure.
    pub answers_since: Option<u64>,
    pub called_at: u64,
    pub proved_at: Option<u64>,
    pub is_reader: bool,
    pub introductions: Introductions,
    pub departures: Departures,
    pub beat_at: u64,
    pub source_changes: u64,
}

pub fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (gateway / 250) as u8, (gateway % 250) as u8], 7_340))
}

pub fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all gateways have an address of `address`"),
    }
}

pub fn position(offset: u64) -> Position {
    Position::new(Era::default(), offset)
}

impl Gateway {
    pub fn new(index: usize, domain: usize, started_at: u64) -> Gateway {
        Gateway {
            index,
            domain,
            started_at,
            peers: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            followers: Default::default(),
            freshness: Freshness::default(),
            answers_since: Some(started_at),
            called_at: started_at,
            proved_at: None,
            is_reader: false,
            introductions: Introductions::default(),
            departures: Departures::default(),
            beat_at: started_at,
            source_changes: 0,
        }
    }

    /// Returns whether the gateway waits for one that holds the configuration.
    pub fn waits_for_peers(&self, now: u64) -> bool {
        let holder_is_known = self.peers.values().any(|view| view.version.is_some());
        now < self.started_at + PEER_WAIT_MS && !holder_is_known
    }

    fn knows_store_answers(&self, now: u64) -> bool {
        self.proved_at.is_some_and(|at| now < at + RECENT_MS)
    }

    pub fn has_recent_proof(&self, now: u64) -> bool {
        self.freshness.age_ms(now).is_some_and(|age_ms| age_ms < RECENT_MS)
    }

    pub fn reads_store(&self, now: u64) -> bool {
        self.is_reader && self.knows_store_answers(now) && self.answers_since.is_some()
    }

    pub fn knowledge(&self, now: u64, topic: Topic) -> Knowledge {
        let informed = |view: &View| view.proved_at.is_some_and(|at| now < at + RECENT_MS);
        let is_configuration = topic == Topic::Configuration;
        let reported = self.peers.values().filter_map(|view| view.version).max();
        Knowledge {
            answers_this_gateway: self.knows_store_answers(now),
            others_are_informed: self.peers.values().any(informed),
            others_hold_newer: is_configuration && reported > self.followers[0].held,
            reads_all: self.followers[topic as usize].held.is_none(),
            reaches_slow_store: is_configuration,
            proof_is_old: is_configuration
                && self.freshness.age_ms(now).is_some()
                && !self.has_recent_proof(now),
        }
    }

    /// Chooses the source of the next step of a topic.
    pub fn choose_source(
        &mut self,
        now: u64,
        topic: Topic,
        names: &[String],
        domains: &[usize],
        draw: u64,
    ) -> ReadFrom {
        let own = LocalState {
            name: &names[self.index],
            store_answers: self.answers_since.is_some(),
            reads_store: self.reads_store(now),
            store_called_ms_ago: now - self.called_at,
            era: Era::default(),
        };
        let peers = self.peers.iter().filter_map(|(index, view)| {
            let is_local = domains[*index] == self.domain;
            let silent_ms = if is_local { LOCAL_SILENT_MS } else { REMOTE_SILENT_MS };
            (now < view.last_seen_at + silent_ms).then(|| PeerState {
                name: &names[*index],
                address: address(*index),
                is_local,
                store_answers: view.store_answers,
                reads_store: view.reads_store,
                proof_age_ms: view.proved_at.map(|at| now - at),
                has_recent_proof: view.proved_at.is_some_and(|at| now < at + RECENT_MS),
                is_unresponsive: self
                    .unresponsive
                    .get(index)
                    .is_some_and(|at| now < *at + UNRESPONSIVE_MS),
                era: Era::default(),
                version: view.version,
            })
        });
        let follower = &self.followers[topic as usize];
        let source = follower.cursor.source(now, own, peers.collect(), draw);
        match source {
            ReadFrom::Store => self.is_reader = true,
            ReadFrom::Gateway(_) | ReadFrom::Nobody => self.is_reader = false,
            ReadFrom::StoreTrial => {}
        }
        source
    }
}
