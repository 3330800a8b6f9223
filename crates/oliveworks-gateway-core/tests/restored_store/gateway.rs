//! One life of a gateway in the world: it follows three topics as the real one does, without its I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use oliveworks_gateway_core::backend_servers::{BackendServer, Born, Directory, Holding};
use oliveworks_gateway_core::drains::Drains;
use oliveworks_gateway_core::election::{Claim, Election, ElectionConfig, Heartbeat};
use oliveworks_gateway_core::era::{Era, EraChange, StoreEra};
use oliveworks_gateway_core::freshness::Freshness;
use oliveworks_gateway_core::missing::{Missing, StoreState};
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::read_cursor::ReadCursor;
use oliveworks_gateway_core::replay::ReplayBuffer;
use oliveworks_gateway_core::sources::{LocalState, PeerState};
use oliveworks_gateway_core::versions::Lag;

use crate::platform::{HostRecord, Wish};
use crate::world::Variant;

/// How long a gateway that starts waits to hear another one that holds a version, in ms.
const HEAR_OTHERS_MS: u64 = 400;
/// How long another gateway counts as heard, in ms.
const HEARD_MS: u64 = 3_000;
/// How long one that did not answer is not asked, and the time between two calls to a store that does not answer, in ms.
const AVOID_MS: u64 = 2_000;
const STORE_AGAIN_MS: u64 = 1_500;
/// The age of a proof up to which a gateway counts as informed, in ms.
const INFORMED_MS: u64 = 2_350;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    Wishes,
    Hosts,
    Claims,
}

pub const TOPICS: [Topic; 3] = [Topic::Wishes, Topic::Hosts, Topic::Claims];

/// A record of any topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Wish(Wish),
    Host(HostRecord),
    Claim(Claim),
}

/// What an answer told.
#[derive(Clone, Debug)]
pub enum Told {
    /// All newest records, or those that follow the place asked for, and the offset after them.
    Records { records: Vec<Record>, newest: bool, next: u64 },
    /// The place is not kept.
    Expired,
}

/// Who told, with its proof.
#[derive(Clone, Copy, Debug)]
pub enum ToldBy {
    Store,
    Gateway { age_ms: Option<u64>, stored: Option<u64> },
}

/// Another gateway, as its heartbeats say.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    pub heard_at: u64,
    pub near: bool,
    pub store_answers: bool,
    pub reads: bool,
    pub proved_at: Option<u64>,
    pub era: Era,
    pub version: Option<u64>,
}

pub struct Gateway {
    pub variant: Variant,
    pub index: usize,
    pub started_at: u64,
    pub era: StoreEra,
    pub following: BTreeMap<Topic, ReadCursor>,
    pub passing: BTreeMap<Topic, ReplayBuffer<Record>>,
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
    tried_at: u64,
    store_told_at: Option<u64>,
    list_read_at: u64,
    /// Hosts that it saw leave or go, by id and life.
    pub left: BTreeSet<(String, Option<Born>)>,
}

/// The one failure domain that is drained.
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
    pub fn new(index: usize, now: u64, life: u64, variant: Variant) -> Gateway {
        Gateway {
            variant,
            index,
            started_at: now,
            era: StoreEra::default(),
            following: TOPICS.into_iter().map(|topic| (topic, ReadCursor::default())).collect(),
            passing: TOPICS.into_iter().map(|topic| (topic, ReplayBuffer::default())).collect(),
            version: None,
            stored: None,
            store_lag: Lag::default(),
            own_lag: Lag::default(),
            freshness: Freshness::default(),
            drains: Drains::default(),
            directory: Directory::default(),
            missing: Missing::default(),
            election: Election::new(ElectionConfig::default(), life, now),
            peers: BTreeMap::new(),
            avoided: BTreeMap::new(),
            store_answers: true,
            store_failed_at: None,
            tried_at: 0,
            store_told_at: None,
            list_read_at: 0,
            left: BTreeSet::new(),
        }
    }

    pub fn newest_told(&self, now: u64) -> Option<u64> {
        let young = self.peers.values().filter(|peer| now < peer.heard_at + HEARD_MS);
        young.filter_map(|peer| peer.version).max()
    }

    /// Whether it waits to hear others before it reads anything.
    pub fn waits(&self, now: u64) -> bool {
        let starts_alone = self.variant == Variant::StartsFromStore;
        !starts_alone && now < self.started_at + HEAR_OTHERS_MS && self.newest_told(now).is_none()
    }

    pub fn own(&self, now: u64) -> LocalState<'static> {
        LocalState {
            name: name(self.index),
            store_answers: self.store_answers,
            reads_store: self.reads(now),
            retry_due: now >= self.tried_at + STORE_AGAIN_MS,
            era: self.era.era(),
        }
    }

    pub fn known(&self, now: u64) -> Vec<PeerState<'static>> {
        let heard = self.peers.iter().filter(|(_, peer)| now < peer.heard_at + HEARD_MS);
        let known = heard.map(|(index, peer)| PeerState {
            name: name(*index),
            address: address(*index),
            is_local: peer.near,
            store_answers: peer.store_answers,
            reads_store: peer.reads,
            has_recent_proof: peer.proved_at.is_some_and(|at| now < at + INFORMED_MS),
            is_unresponsive: self.avoided.get(index).is_some_and(|at| now < at + AVOID_MS),
            era: peer.era,
            version: peer.version.filter(|_| self.variant != Variant::StartsFromStore),
        });
        known.collect()
    }

    /// A gateway that holds the newest version told, if it is time to ask it beside the log.
    pub fn asks_beside(&mut self, now: u64, draw: usize) -> Option<usize> {
        let told = self.newest_told(now);
        let is_due = self.own_lag.should_ask(now, self.version, told);
        let holds = |peer: &Peer| now < peer.heard_at + HEARD_MS && peer.version == told;
        let holders: Vec<usize> =
            self.peers.iter().filter(|(_, peer)| holds(peer)).map(|(index, _)| *index).collect();
        let asks = is_due && self.variant != Variant::StartsFromStore && !holders.is_empty();
        asks.then(|| holders[draw % holders.len()])
    }

    /// The era of an answer of the store; nothing if the answer is not to be used.
    pub fn hear_era(&mut self, now: u64, sent: u64, era: u64) -> Option<Era> {
        let era = if self.variant == Variant::OffsetsWithoutEras { Era(0) } else { Era(era) };
        match self.era.observe(now, sent, era) {
            EraChange::Known => {}
            EraChange::New { .. } => {
                self.stored = None;
                self.passing.values_mut().for_each(ReplayBuffer::clear);
            }
            EraChange::Late => return None,
        }
        Some(era)
    }

    pub fn calls_store(&mut self, now: u64) {
        self.tried_at = now;
    }

    pub fn store_failed(&mut self, now: u64) {
        self.store_answers = false;
        self.store_failed_at = Some(now);
        self.election.store_failed();
    }

    /// Whether it reads the store itself, as its heartbeats say.
    pub fn reads(&self, now: u64) -> bool {
        self.store_answers && self.store_told_at.is_some_and(|at| now < at + INFORMED_MS)
    }

    pub fn store_answered(&mut self, now: u64) {
        self.store_told_at = Some(now);
        self.store_answers = true;
        self.election.store_answered(now);
    }

    pub fn gateway_did_not_answer(&mut self, now: u64, topic: Topic, asked: usize) {
        self.following_of(topic).gateway_did_not_answer();
        self.avoided.insert(asked, now);
    }

    pub fn following_of(&mut self, topic: Topic) -> &mut ReadCursor {
        self.following.get_mut(&topic).expect("all topics")
    }

    fn passing_of(&mut self, topic: Topic) -> &mut ReplayBuffer<Record> {
        self.passing.get_mut(&topic).expect("all topics")
    }

    /// Takes in what a step brought; the place after it is known to the topic's `ReadCursor`.
    pub fn take(
        &mut self,
        now: u64,
        sent: u64,
        topic: Topic,
        records: Vec<Record>,
        newest: bool,
        told_by: ToldBy,
    ) {
        let Some(next) = self.following[&topic].position() else { return };
        match newest {
            true => self.passing_of(topic).restart_at(next),
            false => self.passing_of(topic).append(records.clone(), next),
        }
        match topic {
            Topic::Wishes => self.take_wishes(now, sent, records, newest, told_by),
            Topic::Hosts => {
                self.note_list_read(sent, told_by);
                self.take_hosts(now, &records, newest, told_by);
            }
            Topic::Claims => self.take_claims(now, &records, next),
        }
    }

    fn take_wishes(
        &mut self,
        now: u64,
        sent: u64,
        records: Vec<Record>,
        newest: bool,
        told_by: ToldBy,
    ) {
        let versions = records.iter().filter_map(|record| match record {
            Record::Wish(Wish::Version(version)) => Some(*version),
            _ => None,
        });
        let told = versions.max();
        let stored = match told_by {
            ToldBy::Store => told,
            ToldBy::Gateway { stored, .. } => stored,
        };
        self.stored = stored.max(self.stored.filter(|_| !newest));
        self.version = self.version.max(told);
        self.take_drains(now, &records, newest, told_by);
        let known = self.version.max(self.newest_told(now));
        let since = self.era.known_since().filter(|_| self.era.may_lack_records(now));
        let heard_at = self.peers.values().map(|peer| peer.heard_at).max();
        let is_deaf = heard_at.zip(since).is_some_and(|(heard_at, since)| heard_at < since);
        let proves = self.store_lag.proves(now, self.stored, known, is_deaf);
        if !proves && self.variant != Variant::CopiesProve {
            return;
        }
        match told_by {
            ToldBy::Store => self.freshness.proved(sent, 0),
            ToldBy::Gateway { age_ms: Some(age_ms), .. } => {
                self.freshness.proved_by_peer(sent, 0, age_ms);
            }
            ToldBy::Gateway { age_ms: None, .. } => {}
        }
    }

    fn take_drains(&mut self, now: u64, records: &[Record], newest: bool, told_by: ToldBy) {
        let mut drained = BTreeSet::new();
        for record in records {
            match record {
                Record::Wish(Wish::Drain(true)) => {
                    self.drains.begin(now, DRAINED);
                    drained.insert(DRAINED.to_owned());
                }
                Record::Wish(Wish::Drain(false)) => {
                    self.drains.end(now, DRAINED);
                }
                _ => {}
            }
        }
        if !newest {
            return;
        }
        let sound = self.variant != Variant::CopiesEndDrains;
        match told_by {
            ToldBy::Store if sound && self.era.may_lack_records(now) => {
                self.drains.mark_unread_unconfirmed(&drained);
            }
            ToldBy::Gateway { .. } if sound && now < self.era.others_lack_records_until() => {
                self.drains.mark_unread_unconfirmed(&BTreeSet::new());
            }
            _ => {
                self.drains.replace_all(now, &drained);
            }
        }
    }

    /// Reads drains anew once what the store lacked has been written again.
    pub fn settle_drains(&mut self, now: u64) {
        if self.drains.any_unconfirmed() && !self.era.may_lack_records(now) && self.store_answers {
            self.following_of(Topic::Wishes).restart();
        }
    }

    fn note_list_read(&mut self, sent: u64, told_by: ToldBy) {
        let read_at = match told_by {
            ToldBy::Store => sent,
            ToldBy::Gateway { age_ms: Some(age_ms), .. } => sent.saturating_sub(age_ms),
            ToldBy::Gateway { age_ms: None, .. } => return,
        };
        self.list_read_at = self.list_read_at.max(read_at);
    }

    fn take_hosts(&mut self, now: u64, records: &[Record], newest: bool, told_by: ToldBy) {
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
            let by_store = matches!(told_by, ToldBy::Store);
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
        let look = StoreState { store_failed_at: self.store_failed_at, read_at: self.list_read_at };
        let left = self.missing.sweep(now, look, &self.directory);
        for left in left {
            let born = self.directory.remove(&left.id).and_then(|host| host.holding.born);
            self.left.insert((left.id.to_string(), born));
        }
    }

    fn take_claims(&mut self, now: u64, records: &[Record], next: Position) {
        let mut claims = records.iter().rev().filter_map(|record| match record {
            Record::Claim(claim) => Some(claim.clone()),
            _ => None,
        });
        self.election.read(now, claims.next(), next);
    }

    /// The newest record of each key, as it tells those who ask.
    pub fn newest(&self, topic: Topic) -> Vec<Record> {
        match topic {
            Topic::Wishes => {
                let version = self.version.map(|version| Record::Wish(Wish::Version(version)));
                let drain =
                    self.drains.contains(DRAINED).then_some(Record::Wish(Wish::Drain(true)));
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

    pub fn hear(&mut self, now: u64, from: usize, peer: Peer, leader: Option<Heartbeat>) {
        self.peers.insert(from, peer);
        if let Some(heartbeat) = leader {
            self.election.observe_heartbeat(now, heartbeat);
        }
    }
}

fn record_of(host: &BackendServer) -> HostRecord {
    HostRecord {
        id: host.id[1..].parse().expect("a number"),
        born: host.holding.born.map_or(0, |born| born.0),
        number: host.number.unwrap_or(0),
        draining: host.draining,
        gone: false,
    }
}
