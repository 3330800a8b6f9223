//! The platform of the world: a store with copies, operators and hosts that write to it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The time between two records of a host, and the silence after which the store drops its record, in ms.
const HEARTBEAT_MS: u64 = 1_200;
const LAPSE_MS: u64 = 3 * HEARTBEAT_MS;
/// How old a copy may be, and the time between two, in ms.
const COPY_AGE_MS: u64 = 6_000;
const COPY_EVERY_MS: u64 = 250;
/// The longest that operators take to write again, in ms.
const WRITE_AGAIN_MS: u64 = 2_000;
/// The time between two changes of the drain, in ms.
const DRAIN_LASTS_MS: u64 = 1_500;
pub const HOSTS: u64 = 8;

/// What operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Version(u64),
    Drain(bool),
}

/// What a host writes of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRecord {
    pub id: u64,
    pub born: u64,
    pub number: u64,
    pub draining: bool,
    /// Whether it is dropped.
    pub gone: bool,
}

/// A claim to lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    pub era: u64,
    pub claimant: u64,
}

/// The topics of the store.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    pub wishes: Vec<Wish>,
    pub hosts: Vec<HostRecord>,
    pub claims: Vec<ClaimRecord>,
}

/// A host as it is.
#[derive(Clone, Copy, Debug)]
pub struct Host {
    pub born: u64,
    number: u64,
    pub draining: bool,
    /// Whether the store is to list it.
    pub listed: bool,
    writes_at: u64,
    /// When it leaves for good, if it does.
    ends_at: Option<u64>,
    /// The highest fence that it has seen.
    pub fence: u64,
}

pub struct Platform {
    pub era: u64,
    pub topics: Topics,
    copies: VecDeque<(u64, Topics)>,
    away_until: Option<u64>,
    /// When the store last came back or had trouble.
    pub troubled_at: u64,
    pub version: u64,
    /// When each version was acknowledged, or written once more after the store had lost it.
    pub acknowledged: BTreeMap<u64, u64>,
    /// Versions that the store lacked at some time since they were acknowledged.
    pub lost: BTreeSet<u64>,
    pub drained: bool,
    pub drain_changed_at: u64,
    write_version_at: Option<u64>,
    write_drain_at: Option<u64>,
    pub hosts: BTreeMap<u64, Host>,
    pub hosts_changed_at: u64,
    heard: BTreeMap<u64, u64>,
}

impl Platform {
    pub fn new() -> Platform {
        let host = |id| Host {
            born: 1,
            number: 0,
            draining: false,
            listed: true,
            writes_at: id * 100,
            ends_at: None,
            fence: 0,
        };
        Platform {
            era: 1,
            topics: Topics { wishes: vec![Wish::Version(1)], ..Topics::default() },
            copies: VecDeque::new(),
            away_until: None,
            troubled_at: 0,
            version: 1,
            acknowledged: BTreeMap::from([(1, 0)]),
            lost: BTreeSet::new(),
            drained: false,
            drain_changed_at: 0,
            write_version_at: None,
            write_drain_at: None,
            hosts: (0..HOSTS).map(|id| (id, host(id))).collect(),
            hosts_changed_at: 0,
            heard: BTreeMap::new(),
        }
    }

    pub fn is_away(&self) -> bool {
        self.away_until.is_some()
    }

    /// The newest version that the store holds.
    pub fn stored_version(&self) -> u64 {
        let versions = self.topics.wishes.iter().filter_map(|wish| match wish {
            Wish::Version(version) => Some(*version),
            Wish::Drain(_) => None,
        });
        versions.max().unwrap_or(0)
    }

    pub fn stored_drain(&self) -> bool {
        let drains = self.topics.wishes.iter().rev();
        drains.clone().find(|wish| matches!(wish, Wish::Drain(_))) == Some(&Wish::Drain(true))
    }

    pub fn newest_hosts(&self) -> Vec<HostRecord> {
        let mut newest = BTreeMap::new();
        for record in &self.topics.hosts {
            newest.insert(record.id, *record);
        }
        newest.into_values().filter(|record| !record.gone).collect()
    }

    pub fn step(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        self.come_and_go(now, rng);
        if self.is_away() {
            return;
        }
        if now.is_multiple_of(COPY_EVERY_MS) {
            self.copies.push_back((now, self.topics.clone()));
            self.copies.retain(|(at, _)| now <= at + COPY_AGE_MS);
        }
        self.operate(now, rng);
        self.change_hosts(now, rng);
        self.write_hosts(now);
        let stored = self.stored_version();
        self.lost.extend((stored + 1..=self.version).filter(|v| self.acknowledged.contains_key(v)));
    }

    fn come_and_go(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        match self.away_until {
            None if rng.random_bool(0.001) => {
                self.away_until = Some(now + rng.random_range(0..2_500));
                self.troubled_at = now;
            }
            Some(until) if now >= until => self.come_back(now, rng),
            _ => {}
        }
    }

    fn come_back(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        self.away_until = None;
        self.troubled_at = now;
        if !self.copies.is_empty() {
            let which = rng.random_range(0..self.copies.len());
            self.copies.truncate(which + 1);
            self.topics = self.copies[which].1.clone();
        }
        self.era += 1;
        self.write_version_at = Some(now + rng.random_range(0..WRITE_AGAIN_MS));
        self.write_drain_at = Some(now + rng.random_range(0..WRITE_AGAIN_MS));
        // Times of hosts' records wait while the store is away.
        self.heard = self.hosts.keys().map(|id| (*id, now)).collect();
    }

    fn operate(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        if self.write_version_at.take_if(|at| now >= *at).is_some()
            && self.stored_version() < self.version
        {
            self.topics.wishes.push(Wish::Version(self.version));
        }
        if self.write_drain_at.take_if(|at| now >= *at).is_some()
            && self.stored_drain() != self.drained
        {
            self.topics.wishes.push(Wish::Drain(self.drained));
        }
        if rng.random_bool(0.005) {
            self.version += 1;
            self.topics.wishes.push(Wish::Version(self.version));
            self.acknowledged.insert(self.version, now);
            self.write_version_at = None;
        }
        if rng.random_bool(0.0015) && now >= self.drain_changed_at + DRAIN_LASTS_MS {
            self.drained = !self.drained;
            self.drain_changed_at = now;
            self.topics.wishes.push(Wish::Drain(self.drained));
            self.write_drain_at = None;
        }
    }

    fn change_hosts(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        if rng.random_bool(0.003) {
            let id = rng.random_range(0..HOSTS);
            let says_so = rng.random_bool(0.5);
            let host = self.hosts.get_mut(&id).expect("a host");
            if host.ends_at.is_none() && now >= host.born + 2_000 {
                host.draining = says_so;
                host.listed = says_so;
                host.writes_at = now;
                host.ends_at = Some(now + rng.random_range(1_000..5_000));
                self.hosts_changed_at = now;
            }
        }
        for host in self.hosts.values_mut() {
            // Some time after its end another life begins under the same id.
            if host.ends_at.is_some_and(|at| now >= at + 1_500) {
                *host = Host {
                    born: now,
                    number: 0,
                    draining: false,
                    listed: true,
                    writes_at: now,
                    ends_at: None,
                    fence: 0,
                };
                self.hosts_changed_at = now;
            } else if host.listed && host.ends_at.is_some_and(|at| now >= at) {
                host.listed = false;
                host.writes_at = now;
                self.hosts_changed_at = now;
            }
        }
    }

    fn write_hosts(&mut self, now: u64) {
        let newest: BTreeMap<u64, HostRecord> =
            self.newest_hosts().into_iter().map(|record| (record.id, record)).collect();
        for (id, host) in &mut self.hosts {
            let record = HostRecord {
                id: *id,
                born: host.born,
                number: host.number,
                draining: host.draining,
                gone: !host.listed,
            };
            let held = newest.get(id);
            if host.listed && now >= host.writes_at {
                host.number += 1;
                host.writes_at = now + HEARTBEAT_MS;
                self.heard.insert(*id, now);
                self.topics.hosts.push(HostRecord { number: host.number, ..record });
            } else if !host.listed && host.writes_at == now && held.is_some() {
                self.topics.hosts.push(record);
            } else if held.is_some() && now >= self.heard.get(id).copied().unwrap_or(0) + LAPSE_MS {
                self.topics.hosts.push(HostRecord { gone: true, ..record });
            }
        }
    }
}
