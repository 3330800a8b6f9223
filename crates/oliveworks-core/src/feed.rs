//! Feed: distributes records to every process within seconds without every process reading the log.
//!
//! The entries of a region are ordered by a hash that every process computes alike, and form a
//! tree. The first entry reads the log, and each other entry asks its parent. Agents ask an entry
//! of their region, chosen by hash. A process moves up the tree if its source is silent or lacks a
//! recent proof that its own configuration is current, and finally asks the log itself. Within a
//! region a parent always has a lower rank, so there are no cycles. The first readers of two
//! regions may ask each other.
//!
//! Each answer carries the *age* of its proof: an upper bound on the time since a read of the log
//! that found no newer record. Ages are durations that are added at each hop, so no two clocks are
//! compared.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{EntryId, HostId, Millis, Offset};

/// Times and fan-out of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FeedConfig {
    /// Maximum number of children of an entry in its region's tree.
    pub fan_out: usize,
    /// Interval at which the log is asked, and at which a parent reports that there is nothing new,
    /// in milliseconds.
    pub beat_ms: u64,
    /// Time without an answer after which a source is left, in milliseconds.
    pub silent_ms: u64,
    /// Age of this process's latest proof above which the process changes to another source, in
    /// milliseconds.
    pub stale_ms: u64,
    /// Minimum time between two reads of the log by a process that is not the first reader of its
    /// region, in milliseconds.
    pub own_read_ms: u64,
}

impl Default for FeedConfig {
    fn default() -> FeedConfig {
        FeedConfig {
            fan_out: 4,
            // Changes are passed on at once, so this interval only bounds how soon silence is
            // detected. Each beat costs about 300 bytes. A shorter interval would exceed the
            // traffic allowed for control messages.
            beat_ms: 1_500,
            silent_ms: 3_500,
            // Ages grow by up to one beat with each hop of the tree.
            stale_ms: 12_000,
            own_read_ms: 2_000,
        }
    }
}

/// Entry as listed in the settings of other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLocation {
    /// Id of the entry.
    pub entry: EntryId,
    /// Region of the entry.
    pub region: String,
}

/// Source of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The platform's log.
    Log,
    /// Another entry.
    Entry(EntryId),
}

/// Sorts entries by a hash that every process computes alike. `salt` separates orders for different
/// uses.
pub fn rank_entries(salt: &str, entries: impl IntoIterator<Item = EntryId>) -> Vec<EntryId> {
    let mut entries: Vec<EntryId> = entries.into_iter().collect();
    entries.sort_by_key(|e| (xxh3_64(format!("{salt}/{e}").as_bytes()), *e));
    entries
}

/// Returns an entry's sources, best first: its ancestors from its parent to the root of the tree,
/// then the log, then the first readers of other regions.
pub fn entry_sources(
    own_id: EntryId,
    region: &str,
    all: &[EntryLocation],
    fan_out: usize,
) -> Vec<Source> {
    let local = all.iter().filter(|e| e.region == region).map(|e| e.entry);
    let ranked = rank_entries(region, local);
    let mut rank = ranked.iter().position(|e| *e == own_id).unwrap_or(0);
    let mut sources = Vec::new();
    while rank > 0 {
        rank = (rank - 1) / fan_out.max(1);
        sources.push(Source::Entry(ranked[rank]));
    }
    sources.push(Source::Log);
    // An entry that cannot reach the log asks the first readers of other regions. Two first readers
    // may then ask each other, but the age shows that neither has a newer proof.
    sources.extend(first_readers(region, all).into_iter().map(Source::Entry));
    sources
}

/// Returns the first reader of every other region.
fn first_readers(region: &str, all: &[EntryLocation]) -> Vec<EntryId> {
    let mut regions: Vec<&str> = all.iter().map(|e| e.region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    let first = |r: &&str| {
        let remote = all.iter().filter(|e| e.region == **r).map(|e| e.entry);
        rank_entries(r, remote).first().copied()
    };
    regions.iter().filter(|r| **r != region).filter_map(first).collect()
}

/// Returns an agent's sources, best first: up to three entries of its region in an order specific
/// to the agent, two entries of other regions, and the log.
pub fn agent_sources(own_id: HostId, region: &str, all: &[EntryLocation]) -> Vec<Source> {
    let salt = own_id.to_string();
    let local = all.iter().filter(|e| e.region == region).map(|e| e.entry);
    let remote = all.iter().filter(|e| e.region != region).map(|e| e.entry);
    let mut sources: Vec<Source> =
        rank_entries(&salt, local).into_iter().take(3).map(Source::Entry).collect();
    sources.extend(rank_entries(&salt, remote).into_iter().take(2).map(Source::Entry));
    sources.push(Source::Log);
    sources
}

/// Latest proof that the configuration of this process is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Proof {
    at: Millis,
    age_ms: u64,
}

/// Selects a process's source and tracks the age of its configuration.
#[derive(Clone, Debug)]
pub struct Feed {
    config: FeedConfig,
    sources: Vec<Source>,
    current: usize,
    since: Millis,
    last_answer: Option<Millis>,
    proof: Option<Proof>,
    next_ask: u64,
    asks: [(u64, Millis); ASKS_KEPT],
}

/// Number of recorded questions. An answer to an older question proves nothing useful.
const ASKS_KEPT: usize = 8;

impl Feed {
    /// Returns a feed that starts with the best source. The random `nonce` distinguishes the
    /// questions of this run from those of an earlier run of the process.
    ///
    /// # Panics
    /// If there is no source.
    pub fn new(now: Millis, nonce: u64, sources: Vec<Source>, config: FeedConfig) -> Feed {
        assert!(!sources.is_empty(), "the log is always a source");
        Feed {
            config,
            sources,
            current: 0,
            since: now,
            last_answer: None,
            proof: None,
            next_ask: nonce,
            asks: [(nonce.wrapping_sub(1), now); ASKS_KEPT],
        }
    }

    /// Records that a question is sent now, and returns its number. The answer must carry that
    /// number.
    pub fn ask(&mut self, now: Millis) -> u64 {
        let number = self.next_ask;
        self.next_ask = number.wrapping_add(1);
        self.asks[(number % ASKS_KEPT as u64) as usize] = (number, now);
        number
    }

    /// Returns the source to ask now.
    pub fn source(&self) -> Source {
        self.sources[self.current]
    }

    /// Returns the time since the local configuration was proved to be the latest, in milliseconds,
    /// or `None` if it was never proved.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proof.map(|p| p.age_ms + now.since(p.at))
    }

    /// Records a source's answer to the question `number`: the source knows no record at or after
    /// `next`, and its proof of that is at most `age_ms` old. `held` is the next offset of the
    /// local pool.
    pub fn record_answer(
        &mut self,
        now: Millis,
        source: Source,
        number: u64,
        next: Offset,
        age_ms: Option<u64>,
        held: Offset,
    ) {
        let (asked_number, asked) = self.asks[(number % ASKS_KEPT as u64) as usize];
        if asked_number != number {
            return;
        }
        if source == self.source() {
            self.last_answer = Some(now);
        }
        // An answer proves something about the local pool only if the pool holds all records before
        // `next`.
        let Some(age_ms) = age_ms else { return };
        if held < next {
            return;
        }
        let proof = Proof { at: asked, age_ms };
        let age = |p: &Proof| p.age_ms + now.since(p.at);
        if self.proof.as_ref().is_none_or(|old| age(&proof) <= age(old)) {
            self.proof = Some(proof);
        }
    }

    /// Advances the time. Returns the source to change to, if a change is due.
    pub fn tick(&mut self, now: Millis) -> Option<Source> {
        let silent = now.since(self.last_answer.unwrap_or(self.since).max(self.since))
            > self.config.silent_ms;
        let settled = now.since(self.since) > self.config.silent_ms;
        let stale = settled && self.age_ms(now).is_none_or(|age| age > self.config.stale_ms);
        if !silent && !stale {
            return self.return_to_best(now);
        }
        self.change(now, (self.current + 1) % self.sources.len())
    }

    /// Returns to the best source after a while.
    fn return_to_best(&mut self, now: Millis) -> Option<Source> {
        let waited_long = now.since(self.since) > self.config.silent_ms * RETURN_AFTER;
        if self.current == 0 || !waited_long {
            return None;
        }
        self.change(now, 0)
    }

    fn change(&mut self, now: Millis, to: usize) -> Option<Source> {
        self.since = now;
        self.last_answer = None;
        if to == self.current {
            return None;
        }
        self.current = to;
        Some(self.source())
    }
}

/// Factor on `silent_ms` that gives the time after which a process tries its best source again.
const RETURN_AFTER: u64 = 10;
