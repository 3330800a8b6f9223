//! Replication of the configuration records to a process, from the platform's log or from other
//! processes.
//!
//! A [`Store`] holds the pool and the latest signed records. [`follow`] keeps the store current for
//! as long as the process runs, and [`Store::answer`] passes records on to other processes. Every
//! process checks the signatures of records, so an entry cannot forge a record.
//!
//! ```
//! use oliveworks_core::feed::{FeedConfig, Source};
//! use oliveworks_core::id::{Millis, Name, Offset};
//! use oliveworks_feed::Store;
//! use oliveworks_platform::sign::KeyRing;
//!
//! let partners = [Name::new("saffah").unwrap()];
//! let store = Store::new(
//!     Millis(0), 1, partners, KeyRing::default(), vec![Source::Log], FeedConfig::default(),
//! );
//! assert_eq!(store.next(), Offset(0));
//! ```
//!
//! Memory use is bounded by the pool, [`TAIL`] records and 1,024 outcomes of records. Records and
//! snapshots are untrusted input and are verified. All processes with the same keys skip the same
//! records with invalid signatures.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context, bail};
use ntex::time::{Millis as Wait, sleep};
use oliveworks_core::feed::{Feed, FeedConfig, Source};
use oliveworks_core::id::{EntryId, Millis, Name, Offset};
use oliveworks_core::pool::{Pool, Snapshot};
use oliveworks_core::record::{Ignored, Record};
use oliveworks_net::net::Net;
use oliveworks_net::wire::{FeedAnswer, FeedQuestion, Question, Reply};
use oliveworks_platform::client::{Platform, RECORDS, Read, SNAPSHOTS};
use oliveworks_platform::sign::{KeyRing, SigningKey};
use oliveworks_runtime::clock::Clock;
use tokio::sync::watch;

/// Number of recent records kept for other processes.
pub const TAIL: usize = 512;
/// Maximum number of records in one read of the log.
const PAGE_RECORDS: usize = 256;
/// Backoff after an error, in milliseconds.
const ERROR_BACKOFF_MS: u32 = 200;
/// Time allowed for an answer in addition to the time that the answer may be held back, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 1_000;
/// Maximum time that an answer is held back, in milliseconds.
const HOLD_MAX_MS: u32 = 10_000;
/// Number of recent outcomes of records kept for queries by publishers.
const OUTCOMES_MAX: usize = 1024;

struct Inner {
    pool: Pool,
    feed: Feed,
    tail: VecDeque<(Offset, String)>,
    outcomes: VecDeque<(Offset, Result<(), Ignored>)>,
}

/// Configuration of a process: its pool, and the source and age of the pool.
pub struct Store {
    inner: Mutex<Inner>,
    keys: KeyRing,
    config: FeedConfig,
    changed: watch::Sender<Offset>,
}

/// Result of applying an answer with records.
#[derive(Debug, Default)]
pub struct Applied {
    /// Records with their offsets, whether applied to the pool or ignored by it.
    pub records: Vec<(Offset, Record)>,
    /// Whether a snapshot was adopted.
    pub snapshot: bool,
    /// Whether the store had a proof of its pool before this answer: a source had proved at some
    /// time that there was no later record.
    pub proved: bool,
}

impl Applied {
    /// Returns whether a snapshot was adopted or records were read.
    pub fn has_changes(&self) -> bool {
        self.snapshot || !self.records.is_empty()
    }
}

impl Store {
    /// Returns an empty store. `nonce` is a random number.
    pub fn new(
        now: Millis,
        nonce: u64,
        partners: impl IntoIterator<Item = Name>,
        keys: KeyRing,
        sources: Vec<Source>,
        config: FeedConfig,
    ) -> Store {
        let inner = Inner {
            pool: Pool::new(partners),
            feed: Feed::new(now, nonce, sources, config),
            tail: VecDeque::new(),
            outcomes: VecDeque::new(),
        };
        let (changed, _) = watch::channel(Offset(0));
        Store { inner: Mutex::new(inner), keys, config, changed }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with the pool, which is locked meanwhile.
    pub fn with_pool<T>(&self, access: impl FnOnce(&Pool) -> T) -> T {
        access(&self.lock().pool)
    }

    /// Returns the next offset of the pool.
    pub fn next(&self) -> Offset {
        self.lock().pool.next()
    }

    /// Returns the time since the pool was last proved to be the latest, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.lock().feed.age_ms(now)
    }

    /// Returns the current source of records.
    pub fn source(&self) -> Source {
        self.lock().feed.source()
    }

    /// Returns a receiver that is notified when the next offset changes.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.changed.subscribe()
    }

    /// Returns the outcome of the record at an offset, if the outcome is still kept.
    pub fn outcome(&self, offset: Offset) -> Option<Result<(), Ignored>> {
        let inner = self.lock();
        inner.outcomes.iter().find(|(o, _)| *o == offset).map(|(_, r)| r.clone())
    }

    /// Answers another process, as soon as new records exist or the hold time has passed.
    pub async fn answer(&self, question: &FeedQuestion, clock: Clock) -> FeedAnswer {
        let mut changes = self.changes();
        if self.next() <= question.from {
            let hold = Duration::from_millis(u64::from(question.hold_ms.min(HOLD_MAX_MS)));
            let newer = changes.wait_for(|next| *next > question.from);
            // After a time-out, the answer reports that nothing is new.
            let _ = tokio::time::timeout(hold, newer).await;
        }
        self.answer_now(question, clock.now())
    }

    fn answer_now(&self, question: &FeedQuestion, now: Millis) -> FeedAnswer {
        let inner = self.lock();
        let next = inner.pool.next();
        let first = inner.tail.front().map_or(next, |(o, _)| *o);
        let behind = question.from < first;
        let wanted = inner.tail.iter().filter(|(o, _)| *o >= question.from);
        FeedAnswer {
            number: question.number,
            // The snapshot is unsigned: the requester receives the snapshot from an authenticated
            // process of the fleet. Digests allow the pools of processes to be compared over time.
            snapshot: behind.then(|| Snapshot::of(&inner.pool).to_bytes()),
            records: if behind { Vec::new() } else { wanted.cloned().collect() },
            next,
            age_ms: inner.feed.age_ms(now),
        }
    }

    /// Applies an answer to the store.
    fn apply_answer(
        &self,
        now: Millis,
        source: Source,
        answer: FeedAnswer,
    ) -> anyhow::Result<Applied> {
        let mut inner = self.lock();
        let proved = inner.feed.age_ms(now).is_some();
        let mut applied = Applied { proved, ..Applied::default() };
        if let Some(bytes) = answer.snapshot {
            let snapshot = Snapshot::from_bytes(&bytes).map_err(anyhow::Error::msg)?;
            applied.snapshot = inner.adopt(snapshot)?;
        }
        for (offset, text) in answer.records {
            if offset < inner.pool.next() {
                continue;
            }
            if offset > inner.pool.next() {
                bail!("the answer has a gap before record {offset}");
            }
            inner.apply_record(offset, text, &self.keys, &mut applied);
        }
        let held = inner.pool.next();
        inner.feed.record_answer(now, source, answer.number, answer.next, answer.age_ms, held);
        drop(inner);
        self.changed.send_if_modified(|next| std::mem::replace(next, held) != held);
        Ok(applied)
    }

    fn next_question(&self, now: Millis) -> (Source, Offset, u64) {
        let mut inner = self.lock();
        if let Some(source) = inner.feed.tick(now) {
            log::info!("The source of records is now {source:?}.");
        }
        let number = inner.feed.ask(now);
        (inner.feed.source(), inner.pool.next(), number)
    }
}

impl Inner {
    /// Adopts a snapshot if it is newer than the pool. The configuration never goes back.
    fn adopt(&mut self, snapshot: Snapshot) -> anyhow::Result<bool> {
        if snapshot.pool.next() <= self.pool.next() {
            return Ok(false);
        }
        let pool = snapshot.into_verified_pool().map_err(anyhow::Error::msg)?;
        if pool.partners() != self.pool.partners() {
            bail!("the partners in the snapshot differ from those in the settings");
        }
        self.pool = pool;
        self.tail.clear();
        Ok(true)
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        text: String,
        keys: &KeyRing,
        applied: &mut Applied,
    ) {
        match keys.open(&text) {
            Err(e) => {
                log::warn!("Skipped record {offset}, which cannot be verified: {e:#}.");
                self.pool.skip(offset);
                self.keep_outcome(offset, Err(Ignored::NoRight));
            }
            Ok(record) => {
                let outcome = self.pool.apply(offset, &record);
                if let Err(why) = &outcome {
                    log::debug!("Ignored record {offset} of kind {}: {why}.", record.body.kind());
                }
                self.keep_outcome(offset, outcome);
                applied.records.push((offset, record));
            }
        }
        self.tail.push_back((offset, text));
        if self.tail.len() > TAIL {
            self.tail.pop_front();
        }
    }

    fn keep_outcome(&mut self, offset: Offset, outcome: Result<(), Ignored>) {
        self.outcomes.push_back((offset, outcome));
        if self.outcomes.len() > OUTCOMES_MAX {
            self.outcomes.pop_front();
        }
    }
}

/// Connections and addresses that [`follow`] uses to reach its sources.
pub struct Links {
    /// Network endpoint.
    pub net: Arc<Net>,
    /// Client of the platform.
    pub platform: Platform,
    /// Addresses of the entries.
    pub entries: BTreeMap<EntryId, SocketAddr>,
    /// Clock of this process.
    pub clock: Clock,
}

/// Keeps the store current and calls `applied` after every change. Never returns.
pub async fn follow(store: Arc<Store>, links: Links, mut applied: impl FnMut(&Applied)) {
    let first_source = store.source();
    loop {
        let asked_at = links.clock.now();
        let (source, from, number) = store.next_question(asked_at);
        let answer = match source {
            Source::Log => read_log(&store, &links.platform, from, number).await,
            Source::Entry(entry) => ask_entry(&store, &links, entry, from, number).await,
        };
        let result =
            answer.and_then(|answer| store.apply_answer(links.clock.now(), source, answer));
        match result {
            Ok(changes) if changes.has_changes() => applied(&changes),
            Ok(_) => {}
            Err(e) => {
                log::debug!("Reading records from {source:?} failed: {e:#}.");
                sleep(Wait(ERROR_BACKOFF_MS)).await;
            }
        }
        if source == Source::Log && first_source != Source::Log {
            // Only the first reader of a region may read the log without a pause between reads.
            let elapsed = links.clock.now().since(asked_at);
            sleep(Wait(store.config.own_read_ms.saturating_sub(elapsed) as u32)).await;
        }
    }
}

async fn ask_entry(
    store: &Store,
    links: &Links,
    entry: EntryId,
    from: Offset,
    number: u64,
) -> anyhow::Result<FeedAnswer> {
    let at = *links.entries.get(&entry).context("the entry has no address")?;
    let hold_ms = store.config.beat_ms as u32;
    let question = Question::Feed(FeedQuestion { from, number, hold_ms });
    let timeout = Duration::from_millis(store.config.beat_ms + ANSWER_MARGIN_MS);
    match links.net.ask(&entry.to_string(), at, &question, timeout).await? {
        Reply::Feed(answer) => Ok(answer),
        other => bail!("{entry} answered with a message of kind {}", other.kind()),
    }
}

async fn read_log(
    store: &Store,
    platform: &Platform,
    from: Offset,
    number: u64,
) -> anyhow::Result<FeedAnswer> {
    let wait_ms = store.config.beat_ms as u32;
    match platform.read(RECORDS, from, PAGE_RECORDS, wait_ms).await? {
        Read::Page(page) => Ok(FeedAnswer {
            number,
            snapshot: None,
            records: page.records.into_iter().map(|r| (r.offset, r.data)).collect(),
            next: page.next,
            age_ms: Some(0),
        }),
        Read::Expired(start) => {
            let snapshot = read_snapshot(&store.keys, platform).await?;
            if snapshot.pool.next() < start {
                bail!("the log starts at record {start}, after the end of the latest snapshot");
            }
            let next = snapshot.pool.next();
            Ok(FeedAnswer {
                number,
                snapshot: Some(snapshot.to_bytes()),
                records: Vec::new(),
                next,
                age_ms: None,
            })
        }
    }
}

async fn read_snapshot(keys: &KeyRing, platform: &Platform) -> anyhow::Result<Snapshot> {
    let record = platform.last(SNAPSHOTS).await?.context("the log has no snapshot")?;
    let bytes = oliveworks_platform::sign::from_hex(&record.data)?;
    keys.open_snapshot(&bytes)
}

/// Number of records between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 128;

/// Writes a snapshot if one is due. The process with `rank` 0 writes first; a process of higher
/// rank writes only if the processes before it have not. `last` is the offset of the latest known
/// snapshot.
///
/// # Errors
/// Returns an error if the log does not answer or a snapshot cannot be decoded or signed.
pub async fn keep_snapshot(
    store: &Store,
    platform: &Platform,
    key: &SigningKey,
    rank: u64,
    last: &mut Offset,
) -> anyhow::Result<()> {
    let due = |last: Offset| store.next().0 >= last.0 + SNAPSHOT_EVERY * (rank + 1);
    if !due(*last) {
        return Ok(());
    }
    if let Some(record) = platform.last(SNAPSHOTS).await? {
        let bytes = oliveworks_platform::sign::from_hex(&record.data)?;
        let written = store.keys.open_snapshot(&bytes).map_or(Offset(0), |s| s.pool.next());
        *last = written.max(*last);
    }
    if !due(*last) {
        return Ok(());
    }
    let snapshot = store.with_pool(Snapshot::of);
    let text = oliveworks_platform::sign::to_hex(&key.sign_snapshot(&snapshot)?);
    platform.append(SNAPSHOTS, &text).await?;
    *last = snapshot.pool.next();
    log::info!("Wrote a snapshot of the records before {last}.");
    Ok(())
}
