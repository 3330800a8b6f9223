//! Deciding role: plans placement. Any entry can take the role at any time without coordination.
//!
//! Entries rank themselves for the role by a hash that every process computes alike. The first
//! entry plans as soon as there is work. Each following entry waits longer for the log to show that
//! another entry acted. Two entries that plan at the same time waste an append: the second record
//! is no longer valid and is ignored by every process. The role therefore needs no lease, no
//! failure detection and no handover when its holder dies.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, FleetConfig, ListedHost};
use crate::id::{Millis, RecordId};
use crate::message::GroupReport;
use crate::placement::{self, Missing, PlacementConfig, Plan};
use crate::pool::Pool;
use crate::record::{Author, Body, Record};

/// Times of the deciding role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeciderConfig {
    /// Time between two planning passes, in milliseconds.
    pub period_ms: u64,
    /// Additional time that each following rank waits for another entry to act, in milliseconds.
    pub rank_delay_ms: u64,
    /// Time after which an append whose record has not come back is abandoned and planned again, in
    /// milliseconds.
    pub append_ms: u64,
    /// Time after the start before the first plan, in milliseconds. The decider only receives
    /// reports during this time, so that its first plan takes them into account.
    pub warmup_ms: u64,
    /// Times for judging the state of hosts.
    pub fleet: FleetConfig,
    /// Options for placing groups.
    pub placement: PlacementConfig,
}

impl Default for DeciderConfig {
    fn default() -> DeciderConfig {
        DeciderConfig {
            period_ms: 250,
            rank_delay_ms: 2_000,
            append_ms: 5_000,
            warmup_ms: 3_000,
            fleet: FleetConfig::default(),
            placement: PlacementConfig::default(),
        }
    }
}

/// Deciding role in one process.
#[derive(Debug)]
pub struct Decider {
    config: DeciderConfig,
    fleet: Fleet,
    rank: u64,
    next_plan: Millis,
    ready_at: Millis,
    pending_since: Option<Millis>,
    outstanding: BTreeSet<RecordId>,
    outstanding_until: Millis,
    missing: Vec<Missing>,
    list_received: bool,
}

impl Decider {
    /// Returns a decider that has received no reports. `rank` 0 acts first.
    pub fn new(now: Millis, rank: u64, config: DeciderConfig) -> Decider {
        Decider {
            fleet: Fleet::new(config.fleet),
            rank,
            next_plan: now,
            ready_at: now.plus(config.warmup_ms),
            pending_since: None,
            outstanding: BTreeSet::new(),
            outstanding_until: now,
            missing: Vec::new(),
            list_received: false,
            config,
        }
    }

    /// Sets this process's rank in the order of deciders.
    pub fn set_rank(&mut self, rank: u64) {
        self.rank = rank;
    }

    /// Returns the known state of the hosts.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the replicas that could not be formed in the last planning pass.
    pub fn missing(&self) -> &[Missing] {
        &self.missing
    }

    /// Records the platform's list of hosts.
    pub fn update_list(&mut self, now: Millis, listed: &[ListedHost]) {
        self.list_received = true;
        self.fleet.update_list(now, listed);
    }

    /// Records a group's report.
    pub fn report(&mut self, now: Millis, report: GroupReport) {
        self.fleet.report(now, report);
    }

    /// Records that a record was applied or ignored.
    pub fn applied(&mut self, record: &Record) {
        self.outstanding.remove(&record.id);
        if record.author == Author::System {
            // A planned record of this or another entry has come through the log, so the wait of
            // this rank starts anew.
            self.pending_since = None;
        }
    }

    /// Runs a planning pass if one is due. `draw` supplies record ids.
    ///
    /// The returned records are to be appended in order. The outcome of the append need not be
    /// known, since each record either comes back through the log or is planned again.
    pub fn tick(
        &mut self,
        now: Millis,
        pool: &Pool,
        mut draw: impl FnMut() -> RecordId,
    ) -> Vec<Record> {
        if now < self.next_plan || !self.list_received || now < self.ready_at {
            return Vec::new();
        }
        self.next_plan = now.plus(self.config.period_ms);
        self.fleet.tick(now);
        self.fleet.retain_groups(|epoch| pool.group(epoch).is_some());
        if !self.outstanding.is_empty() && now < self.outstanding_until {
            return Vec::new();
        }
        self.outstanding.clear();
        let Plan { records, missing } = placement::plan(pool, &self.fleet, &self.config.placement);
        self.missing = missing;
        if records.is_empty() {
            self.pending_since = None;
            return Vec::new();
        }
        let since = *self.pending_since.get_or_insert(now);
        if now.since(since) < self.rank * self.config.rank_delay_ms {
            return Vec::new();
        }
        self.outstanding_until = now.plus(self.config.append_ms);
        let record = |body: Body| Record { id: draw(), author: Author::System, body };
        let records: Vec<Record> = records.into_iter().map(record).collect();
        self.outstanding = records.iter().map(|r| r.id).collect();
        records
    }
}
