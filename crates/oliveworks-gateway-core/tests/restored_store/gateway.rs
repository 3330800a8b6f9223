//! One incarnation of a simulated gateway. It follows three topics with the same logic as the real
//! gateway, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};
use oliveworks_gateway_core::drains::Drains;
use oliveworks_gateway_core::election::{Claim, Election, ElectionConfig, Heartbeat};
use oliveworks_gateway_core::era::{Era, EraChange, StoreEra};
use oliveworks_gateway_core::freshness::{self, Freshness};
use oliveworks_gateway_core::missing::{Missing, StoreState};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::replay::ReplayBuffer;
use oliveworks_gateway_core::sources::{LocalState, PeerState, ReadFrom};
use oliveworks_gateway_core::versions::Lag;

use crate::judge::REVOKE_MS;
use crate::platform::{HostRecord, OperatorRecord};
use crate::world::Variant;

/// Time for which a starting gateway waits for a heartbeat of a peer that holds a version, in ms.
const PEER_WAIT_MS: u64 = 400;
/// Time after its last heartbeat for which a peer counts as observed, in ms.
const PEER_TIMEOUT_MS: u64 = 3_000;
/// Time for which a gateway that did not answer is not asked, in ms.
const AVOID_MS: u64 = 2_000;
/// Maximum age of a proof that counts as recent, in ms.
const RECENT_PROOF_MS: u64 = 2_350;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    OperatorRecords,
    Hosts,
    Claims,
}

pub const TOPICS: [Topic; 3] = [Topic::OperatorRecords, Topic::Hosts, Topic::Claims];

/// A record of any topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    OperatorRecord(OperatorRecord),
    Host(HostRecord),
    Claim(Claim),
}

/// Content of an answer.
#[derive(Clone, Debug)]
pub enum AnswerContent {
    /// The newest record of each key if `newest` is set, otherwise the records after the requested
    /// position; `next` is the offset after them.
    Records { records: Vec<Record>, newest: bool, next: u64 },
    /// The requested position is not kept.
    Expired,
}

/// Origin of an answer, with the proof of an answering gateway.
#[derive(Clone, Copy, Debug)]
pub enum AnsweredBy {
    Store,
    Gateway { age_ms: Option<u64>, stored: Option<u64> },
}

/// State of another gateway, as reported by its heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    pub heard_at: u64,
    pub is_local: bool,
    pub store_answers: bool,
    pub reads_store: bool,
    pub proved_at: Option<u64>,
    pub era: Era,
    /// Time from which the store is complete in that era, if the peer knows any.
    pub store_complete_from: Option<u64>,
    pub version: Option<u64>,
}

pub struct Gateway {
    pub variant: Variant,
    pub index: usize,
    pub started_at: u64,
    pub era: StoreEra,
    pub cursors: BTreeMap<Topic, ReadCursor>,
    pub replay_buffers: BTreeMap<Topic, ReplayBuffer<Record>>,
    pub version: Option<u64>,
    pub stored: Option<u64>,
    store_lag: Lag,
    own_lag: Lag,
    pub freshness: Freshness,
    pub drains: Drains,
    pub directory: Directory,
    pub missing: Missing,
    pub election: Election,
    pub peers: BTreeMap<usize, Peer>,
    avoided: BTreeMap<usize, u64>,
    pub store_answers: bool,
    pub store_failed_at: Option<u64>,
    store_called_at: u64,
    is_reader: bool,
    store_answered_at: Option<u64>,
    list_read_at: u64,
    /// Hosts that this gateway has observed leaving or gone, by id and incarnation.
    pub left: BTreeSet<(String, Option<Born>)>,
}

/// The only failure domain that is drained.
pub const DRAINED: &str = "west";

pub fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, gateway as u8], 7340))
}

fn name(gateway: usize) -> &'static str {
    ["g0", "g1", "g2", "g3", "g4", "g5"][gateway]
}

fn host(record: &HostRecord) -> BackendServer {
    BackendServer {
        id: Rc::from(format!("h{}", record.id)),
        service: "lm".into(),
        address: address(100),
        failure_domain: DRAINED.into(),
        domain: "d0".into(),
        slots: 8,
        draining: record.draining,
        cold_ms: 0,
        number: Some(record.number),
        holding: Holding { born: Some(Born(record.born)), ..Holding::default() },
    }
}

impl Gateway {
    pub fn new(index: usize, now: u64, incarnation: u64, variant: Variant) -> Gateway {
        Gateway {
            variant,
            index,
            started_at: now,
            era: StoreEra::default(),
            cursors: TOPICS.into_iter().map(|topic| (topic, ReadCursor::default())).collect(),
            replay_buffers: TOPICS
                .into_iter()
                .map(|topic| (topic, ReplayBuffer::default()))
                .collect(),
            version: None,
            stored: None,
            store_lag: Lag::default(),
            own_lag: Lag::default(),
            freshness: Freshness::default(),
            drains: Drains::default(),
            directory: Directory::default(),
            missing: Missing::default(),
            election: Election::new(ElectionConfig::default(), incarnation, now),
            peers: BTreeMap::new(),
            avoided: BTreeMap::new(),
            store_answers: true,
            store_failed_at: None,
            store_called_at: now,
            is_reader: false,
            store_answered_at: None,
            list_read_at: 0,
            left: BTreeSet::new(),
        }
    }

    pub fn newest_reported_version(&self, now: u64) -> Option<u64> {
        let young = self.peers.values().filter(|peer| now < peer.heard_at + PEER_TIMEOUT_MS);
        young.filter_map(|peer| peer.version).max()
    }

    /// Returns whether the gateway waits for heartbeats of peers before its first read.
    pub fn waits_for_peers(&self, now: u64) -> bool {
        let starts_alone = self.variant == Variant::StartsFromStore;
        !starts_alone
            && now < self.started_at + PEER_WAIT_MS
            && self.newest_reported_version(now).is_none()
    }

    pub fn local_state(&self, now: u64) -> LocalState<'static> {
        LocalState {
            name: name(self.index),
            store_answers: self.store_answers,
            reads_store: self.reads_store(now),
            store_called_ms_ago: now - self.store_called_at,
            era: self.era.era(),
        }
    }

    pub fn peer_states(&self, now: u64) -> Vec<PeerState<'static>> {
        let heard = self.peers.iter().filter(|(_, peer)| now < peer.heard_at + PEER_TIMEOUT_MS);
        let states = heard.map(|(index, peer)| PeerState {
            name: name(*index),
            address: address(*index),
            is_local: peer.is_local,
            store_answers: peer.store_answers,
            reads_store: peer.reads_store,
            proof_age_ms: peer.proved_at.map(|at| now - at),
            has_recent_proof: peer.proved_at.is_some_and(|at| now < at + RECENT_PROOF_MS),
            is_unresponsive: self.avoided.get(index).is_some_and(|at| now < at + AVOID_MS),
            era: peer.era,
            version: peer.version.filter(|_| self.variant != Variant::StartsFromStore),
        });
        states.collect()
    }

    /// Returns a gateway that holds the newest reported version, if this gateway is due to ask for
    /// that version in addition to its reads of the log.
    pub fn version_source(&mut self, now: u64, draw: usize) -> Option<usize> {
        let reported = self.newest_reported_version(now);
        let is_due = self.own_lag.should_ask(now, self.version, reported);
        let holds = |peer: &Peer| now < peer.heard_at + PEER_TIMEOUT_MS && peer.version == reported;
        let holders: Vec<usize> =
            self.peers.iter().filter(|(_, peer)| holds(peer)).map(|(index, _)| *index).collect();
        let asks = is_due && self.variant != Variant::StartsFromStore && !holders.is_empty();
        asks.then(|| holders[draw % holders.len()])
    }

    /// Returns the era of an answer of the store, or `None` if the answer must be discarded.
    pub fn observe_era(&mut self, now: u64, sent: u64, era: u64) -> Option<Era> {
        let era = if self.variant == Variant::OffsetsWithoutEras { Era(0) } else { Era(era) };
        match self.era.observe(now, sent, era) {
            EraChange::Known => {}
            EraChange::New { .. } => {
                self.stored = None;
                self.replay_buffers.values_mut().for_each(ReplayBuffer::clear);
            }
            EraChange::Late => return None,
        }
        Some(era)
    }

    /// Chooses the source of the next read of a topic.
    pub fn choose_source(&mut self, now: u64, topic: Topic, draw: u64) -> ReadFrom {
        let (own, known) = (self.local_state(now), self.peer_states(now));
        let cursor = self.cursors[&topic];
        let starts_alone = self.variant == Variant::StartsFromStore && cursor.position().is_none();
        let source = match starts_alone {
            true => ReadFrom::StoreTrial,
            false => cursor.source(now, own, known, draw),
        };
        match source {
            ReadFrom::Store => self.is_reader = true,
            ReadFrom::Gateway(_) | ReadFrom::Nobody => self.is_reader = false,
            ReadFrom::StoreTrial => {}
        }
        if matches!(source, ReadFrom::Store | ReadFrom::StoreTrial) {
            self.store_called_at = now;
        }
        source
    }

    pub fn store_failed(&mut self, now: u64) {
        self.store_answers = false;
        self.store_failed_at = Some(now);
        self.election.store_failed();
    }

    /// Returns whether the gateway reads the store itself, as reported by its heartbeats.
    pub fn reads_store(&self, now: u64) -> bool {
        self.is_reader
            && self.store_answers
            && self.store_answered_at.is_some_and(|at| now < at + RECENT_PROOF_MS)
    }

    pub fn store_answered(&mut self, now: u64) {
        self.store_answered_at = Some(now);
        self.store_answers = true;
        self.election.store_answered(now);
    }

    pub fn gateway_did_not_answer(&mut self, now: u64, topic: Topic, asked: usize) {
        self.cursor(topic).gateway_did_not_answer();
        self.avoided.insert(asked, now);
    }

    pub fn cursor(&mut self, topic: Topic) -> &mut ReadCursor {
        self.cursors.get_mut(&topic).expect("every topic has a cursor")
    }

    fn replay_buffer(&mut self, topic: Topic) -> &mut ReplayBuffer<Record> {
        self.replay_buffers.get_mut(&topic).expect("every topic has a replay buffer")
    }

    /// Applies the records of an answer. The topic's `ReadCursor` already holds the position after
    /// them.
    pub fn apply(
        &mut self,
        now: u64,
        sent: u64,
        topic: Topic,
        records: Vec<Record>,
        newest: bool,
        answered_by: AnsweredBy,
    ) {
        let Some(next) = self.cursors[&topic].position() else { return };
        match newest {
            true => self.replay_buffer(topic).restart_at(next),
            false => self.replay_buffer(topic).append(records.clone(), next),
        }
        match topic {
            Topic::OperatorRecords => {
                self.apply_operator_records(now, sent, records, newest, answered_by)
            }
            Topic::Hosts => {
                self.record_list_read(sent, answered_by);
                self.apply_hosts(now, &records, newest, answered_by);
            }
            Topic::Claims => self.apply_claims(now, &records, next),
        }
    }

    fn apply_operator_records(
        &mut self,
        now: u64,
        sent: u64,
        records: Vec<Record>,
        newest: bool,
        answered_by: AnsweredBy,
    ) {
        let versions = records.iter().filter_map(|record| match record {
            Record::OperatorRecord(OperatorRecord::Version(version)) => Some(*version),
            _ => None,
        });
        let received = versions.max();
        let stored = match answered_by {
            AnsweredBy::Store => received,
            AnsweredBy::Gateway { stored, .. } => stored,
        };
        self.stored = stored.max(self.stored.filter(|_| !newest));
        self.version = self.version.max(received);
        self.apply_drains(now, &records, newest, answered_by);
        let known = self.version.max(self.newest_reported_version(now));
        let since = self.era.known_since().filter(|_| self.era.may_lack_records(now));
        let heard_at = self.peers.values().map(|peer| peer.heard_at).max();
        let is_deaf = heard_at.zip(since).is_some_and(|(heard_at, since)| heard_at < since);
        let proves = self.store_lag.proves(now, self.stored, known, is_deaf);
        if !proves && self.variant != Variant::CopiesProve {
            return;
        }
        let sound = !matches!(self.variant, Variant::CopiesProve | Variant::CopiesProveToAll);
        let is_proof = freshness::is_proof(sent, self.store_complete_from(), Some(REVOKE_MS));
        match answered_by {
            AnsweredBy::Store if sound && !is_proof => {}
            AnsweredBy::Store => self.freshness.proved(sent, 0),
            AnsweredBy::Gateway { age_ms: Some(age_ms), .. } => {
                self.freshness.proved_by_peer(sent, 0, age_ms);
            }
            AnsweredBy::Gateway { age_ms: None, .. } => {}
        }
    }

    /// Returns the earliest time from which the store is known to be complete.
    pub fn store_complete_from(&self) -> u64 {
        let reported =
            self.peers.values().filter_map(|peer| Some((peer.era, peer.store_complete_from?)));
        self.era.earliest_complete_from(reported)
    }

    fn apply_drains(
        &mut self,
        now: u64,
        records: &[Record],
        newest: bool,
        answered_by: AnsweredBy,
    ) {
        let mut drained = BTreeSet::new();
        for record in records {
            match record {
                Record::OperatorRecord(OperatorRecord::Drain(true)) => {
                    self.drains.begin(now, DRAINED);
                    drained.insert(DRAINED.to_owned());
                }
                Record::OperatorRecord(OperatorRecord::Drain(false)) => {
                    self.drains.end(now, DRAINED);
                }
                _ => {}
            }
        }
        if !newest {
            return;
        }
        let sound = self.variant != Variant::CopiesEndDrains;
        match answered_by {
            AnsweredBy::Store if sound && self.era.may_lack_records(now) => {
                self.drains.mark_unread_unconfirmed(&drained);
            }
            AnsweredBy::Gateway { .. } if sound && now < self.era.others_lack_records_until() => {
                self.drains.mark_unread_unconfirmed(&BTreeSet::new());
            }
            _ => {
                self.drains.replace_all(now, &drained);
            }
        }
    }

    /// Rereads the drains once the records that the store lacked have been rewritten.
    pub fn reread_unconfirmed_drains(&mut self, now: u64) {
        if self.drains.any_unconfirmed() && !self.era.may_lack_records(now) && self.store_answers {
            self.cursor(Topic::OperatorRecords).restart();
        }
    }

    fn record_list_read(&mut self, sent: u64, answered_by: AnsweredBy) {
        let read_at = match answered_by {
            AnsweredBy::Store => sent,
            AnsweredBy::Gateway { age_ms: Some(age_ms), .. } => sent.saturating_sub(age_ms),
            AnsweredBy::Gateway { age_ms: None, .. } => return,
        };
        self.list_read_at = self.list_read_at.max(read_at);
    }

    fn apply_hosts(&mut self, now: u64, records: &[Record], newest: bool, answered_by: AnsweredBy) {
        let mut listed = BTreeSet::new();
        for record in records {
            let Record::Host(record) = record else { continue };
            let host = host(record);
            if record.gone {
                self.missing.record_removal(now, host.id);
                continue;
            }
            listed.insert(host.id.clone());
            let overtaken =
                self.directory.get(&host.id).is_some_and(|known| !host.may_follow(known));
            let is_old = self.missing.is_old(&host, newest, self.era);
            if overtaken || (is_old && self.variant != Variant::CopiesListHosts) {
                continue;
            }
            self.missing.record_listed(now, &host.id);
            if host.draining {
                self.left.insert((host.id.to_string(), host.holding.born));
            }
            self.directory.put(host);
        }
        if newest {
            let by_store = matches!(answered_by, AnsweredBy::Store);
            let known: Vec<Rc<str>> = self.directory.iter().map(|host| host.id.clone()).collect();
            for id in known.into_iter().filter(|id| !listed.contains(id)) {
                match self.variant {
                    Variant::CopiesDropHosts => self.missing.record_removal(now, id),
                    _ => self.missing.record_absence(now, id, self.era, by_store),
                }
            }
        }
        self.sweep(now);
    }

    pub fn sweep(&mut self, now: u64) {
        self.missing.forget_gone(now);
        let store_state =
            StoreState { store_failed_at: self.store_failed_at, read_at: self.list_read_at };
        let left = self.missing.sweep(now, store_state, &self.directory);
        for left in left {
            let born = self.directory.remove(&left.id).and_then(|host| host.holding.born);
            self.left.insert((left.id.to_string(), born));
        }
    }

    fn apply_claims(&mut self, now: u64, records: &[Record], next: Position) {
        let mut claims = records.iter().rev().filter_map(|record| match record {
            Record::Claim(claim) => Some(claim.clone()),
            _ => None,
        });
        self.election.read(now, claims.next(), next);
    }

    /// Returns the newest record of each key, for gateways that ask for all newest records.
    pub fn newest(&self, topic: Topic) -> Vec<Record> {
        match topic {
            Topic::OperatorRecords => {
                let version = self
                    .version
                    .map(|version| Record::OperatorRecord(OperatorRecord::Version(version)));
                let drain = self
                    .drains
                    .contains(DRAINED)
                    .then_some(Record::OperatorRecord(OperatorRecord::Drain(true)));
                version.into_iter().chain(drain).collect()
            }
            Topic::Hosts => {
                let listed = self.directory.iter().filter(|host| !self.missing.contains(&host.id));
                listed.map(|host| Record::Host(record_of(host))).collect()
            }
            Topic::Claims => self.election.newest().map(Record::Claim).into_iter().collect(),
        }
    }

    pub fn heartbeat(&mut self, now: u64) -> Option<Heartbeat> {
        self.election.next_heartbeat(0, self.store_failed_at.is_none_or(|at| now > at + 2_500));
        self.election.heartbeat()
    }

    pub fn observe_heartbeat(
        &mut self,
        now: u64,
        from: usize,
        peer: Peer,
        leader: Option<Heartbeat>,
    ) {
        self.peers.insert(from, peer);
        if let Some(heartbeat) = leader {
            self.election.observe_heartbeat(now, heartbeat);
        }
    }
}

fn record_of(host: &BackendServer) -> HostRecord {
    HostRecord {
        id: host.id[1..].parse().expect("the id ends with a number"),
        born: host.holding.born.map_or(0, |born| born.0),
        number: host.number.unwrap_or(0),
        draining: host.draining,
        gone: false,
    }
}
