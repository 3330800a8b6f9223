//! Simulated platform: a store with copies, and the operators and hosts that write to the store.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Interval between two records of a host, in ms.
const HEARTBEAT_MS: u64 = 1_200;
/// Silence after which the store drops the record of a host, in ms.
const RECORD_TIMEOUT_MS: u64 = 3 * HEARTBEAT_MS;
/// Maximum age of a copy, in ms.
const COPY_AGE_MS: u64 = 6_000;
/// Interval between two copies, in ms.
const COPY_INTERVAL_MS: u64 = 250;
/// Maximum time until operators rewrite records that a restored store lacks, in ms.
const REWRITE_MAX_MS: u64 = 2_000;
/// Minimum time between two changes of the drain, in ms.
const DRAIN_INTERVAL_MS: u64 = 1_500;
pub const HOSTS: u64 = 8;

/// A record written by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRecord {
    Version(u64),
    Drain(bool),
}

/// A record that a host writes about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRecord {
    pub id: u64,
    pub born: u64,
    pub number: u64,
    pub draining: bool,
    /// Whether the record states that the host is gone.
    pub gone: bool,
}

/// A claim to leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    pub era: u64,
    pub claimant: u64,
}

/// The topics of the store.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    pub operator_records: Vec<OperatorRecord>,
    pub hosts: Vec<HostRecord>,
    pub claims: Vec<ClaimRecord>,
}

/// Actual state of a host.
#[derive(Clone, Copy, Debug)]
pub struct Host {
    pub born: u64,
    number: u64,
    pub draining: bool,
    /// Whether the store should list the host.
    pub listed: bool,
    next_write_at: u64,
    /// Time at which the host leaves permanently, if it does.
    leaves_at: Option<u64>,
    /// Highest fence that the host has received.
    pub fence: u64,
}

pub struct Platform {
    pub era: u64,
    pub topics: Topics,
    copies: VecDeque<(u64, Topics)>,
    unavailable_until: Option<u64>,
    /// Begin and end of an outage to come.
    next_outage: Option<(u64, u64)>,
    /// Time at which the store last failed or was restored.
    pub last_fault_at: u64,
    pub version: u64,
    /// Time at which each version was acknowledged.
    pub acknowledged: BTreeMap<u64, u64>,
    pub drained: bool,
    pub drain_changed_at: u64,
    write_version_at: Option<u64>,
    write_drain_at: Option<u64>,
    pub hosts: BTreeMap<u64, Host>,
    pub hosts_changed_at: u64,
    last_written_at: BTreeMap<u64, u64>,
}

impl Platform {
    pub fn new() -> Platform {
        let host = |id| Host {
            born: 1,
            number: 0,
            draining: false,
            listed: true,
            next_write_at: id * 100,
            leaves_at: None,
            fence: 0,
        };
        Platform {
            era: 1,
            topics: Topics {
                operator_records: vec![OperatorRecord::Version(1)],
                ..Topics::default()
            },
            copies: VecDeque::new(),
            unavailable_until: None,
            next_outage: None,
            last_fault_at: 0,
            version: 1,
            acknowledged: BTreeMap::from([(1, 0)]),
            drained: false,
            drain_changed_at: 0,
            write_version_at: None,
            write_drain_at: None,
            hosts: (0..HOSTS).map(|id| (id, host(id))).collect(),
            hosts_changed_at: 0,
            last_written_at: BTreeMap::new(),
        }
    }

    pub fn is_unavailable(&self) -> bool {
        self.unavailable_until.is_some()
    }

    /// Returns the newest version in the store.
    pub fn stored_version(&self) -> u64 {
        let versions = self.topics.operator_records.iter().filter_map(|record| match record {
            OperatorRecord::Version(version) => Some(*version),
            OperatorRecord::Drain(_) => None,
        });
        versions.max().unwrap_or(0)
    }

    pub fn stored_drain(&self) -> bool {
        let drains = self.topics.operator_records.iter().rev();
        drains.clone().find(|record| matches!(record, OperatorRecord::Drain(_)))
            == Some(&OperatorRecord::Drain(true))
    }

    pub fn newest_hosts(&self) -> Vec<HostRecord> {
        let mut newest = BTreeMap::new();
        for record in &self.topics.hosts {
            newest.insert(record.id, *record);
        }
        newest.into_values().filter(|record| !record.gone).collect()
    }

    pub fn step(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        self.change_availability(now, rng);
        if self.is_unavailable() {
            return;
        }
        if now.is_multiple_of(COPY_INTERVAL_MS) {
            self.copies.push_back((now, self.topics.clone()));
            self.copies.retain(|(at, _)| now <= at + COPY_AGE_MS);
        }
        self.write_operator_records(now, rng);
        self.change_hosts(now, rng);
        self.write_hosts(now);
    }

    /// Schedules an outage, after which the store is restored from a copy.
    pub fn schedule_outage(&mut self, from: u64, until: u64) {
        self.next_outage = Some((from, until));
    }

    fn change_availability(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        if let Some((_, until)) = self.next_outage.take_if(|(from, _)| now >= *from) {
            self.unavailable_until = self.unavailable_until.max(Some(until));
            self.last_fault_at = now;
        }
        match self.unavailable_until {
            None if rng.random_bool(0.001) => {
                self.unavailable_until = Some(now + rng.random_range(0..2_500));
                self.last_fault_at = now;
            }
            Some(until) if now >= until => self.restore_from_copy(now, rng),
            _ => {}
        }
    }

    fn restore_from_copy(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        self.unavailable_until = None;
        self.last_fault_at = now;
        if !self.copies.is_empty() {
            let index = rng.random_range(0..self.copies.len());
            self.copies.truncate(index + 1);
            self.topics = self.copies[index].1.clone();
        }
        self.era += 1;
        self.write_version_at = Some(now + rng.random_range(0..REWRITE_MAX_MS));
        self.write_drain_at = Some(now + rng.random_range(0..REWRITE_MAX_MS));
        // Records of hosts do not expire while the store is unavailable.
        self.last_written_at = self.hosts.keys().map(|id| (*id, now)).collect();
    }

    fn write_operator_records(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        if self.write_version_at.take_if(|at| now >= *at).is_some()
            && self.stored_version() < self.version
        {
            self.topics.operator_records.push(OperatorRecord::Version(self.version));
        }
        if self.write_drain_at.take_if(|at| now >= *at).is_some()
            && self.stored_drain() != self.drained
        {
            self.topics.operator_records.push(OperatorRecord::Drain(self.drained));
        }
        if rng.random_bool(0.005) {
            self.version += 1;
            self.topics.operator_records.push(OperatorRecord::Version(self.version));
            self.acknowledged.insert(self.version, now);
            self.write_version_at = None;
        }
        if rng.random_bool(0.0015) && now >= self.drain_changed_at + DRAIN_INTERVAL_MS {
            self.drained = !self.drained;
            self.drain_changed_at = now;
            self.topics.operator_records.push(OperatorRecord::Drain(self.drained));
            self.write_drain_at = None;
        }
    }

    fn change_hosts(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        if rng.random_bool(0.003) {
            let id = rng.random_range(0..HOSTS);
            let announces_leave = rng.random_bool(0.5);
            let host = self.hosts.get_mut(&id).expect("every id has a host");
            if host.leaves_at.is_none() && now >= host.born + 2_000 {
                host.draining = announces_leave;
                host.listed = announces_leave;
                host.next_write_at = now;
                host.leaves_at = Some(now + rng.random_range(1_000..5_000));
                self.hosts_changed_at = now;
            }
        }
        for host in self.hosts.values_mut() {
            // 1,500 ms after the end of a host, a new incarnation starts under the same id.
            if host.leaves_at.is_some_and(|at| now >= at + 1_500) {
                *host = Host {
                    born: now,
                    number: 0,
                    draining: false,
                    listed: true,
                    next_write_at: now,
                    leaves_at: None,
                    fence: 0,
                };
                self.hosts_changed_at = now;
            } else if host.listed && host.leaves_at.is_some_and(|at| now >= at) {
                host.listed = false;
                host.next_write_at = now;
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
            if host.listed && now >= host.next_write_at {
                host.number += 1;
                host.next_write_at = now + HEARTBEAT_MS;
                self.last_written_at.insert(*id, now);
                self.topics.hosts.push(HostRecord { number: host.number, ..record });
            } else if !host.listed && host.next_write_at == now && held.is_some() {
                self.topics.hosts.push(record);
            } else if held.is_some()
                && now >= self.last_written_at.get(id).copied().unwrap_or(0) + RECORD_TIMEOUT_MS
            {
                self.topics.hosts.push(HostRecord { gone: true, ..record });
            }
        }
    }
}
