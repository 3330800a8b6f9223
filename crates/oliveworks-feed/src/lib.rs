//! Keeps a process's pool current, from the platform's log or from other processes.
//!
//! A [`Store`] holds the pool and the latest signed records. [`follow`] keeps it current for as long
//! as the process runs; [`Store::answer`] passes records on to others. Signatures are checked by
//! every process, so a record that an entry invents is worth nothing.
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
//! Memory: the pool, and at most [`TAIL`] records. Untrusted input: records and snapshots are
//! verified; a badly signed record is passed over alike by all processes that have the same keys.

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

/// Records kept to pass on.
pub const TAIL: usize = 512;
/// Records read from the log at once.
const PAGE: usize = 256;
/// After an error, before the next question, in milliseconds.
const PAUSE_MS: u32 = 200;
/// Time for the answer beyond the time that it may be held back.
const ANSWER_MARGIN_MS: u64 = 1_000;
/// The longest that an answer is held back, in milliseconds.
const HOLD_MAX_MS: u32 = 10_000;
/// Outcomes of records that are kept for publishers who ask.
const OUTCOMES: usize = 1024;

struct Inner {
    pool: Pool,
    feed: Feed,
    tail: VecDeque<(Offset, String)>,
    outcomes: VecDeque<(Offset, Result<(), Ignored>)>,
}

/// A process's configuration.
pub struct Store {
    inner: Mutex<Inner>,
    keys: KeyRing,
    config: FeedConfig,
    changed: watch::Sender<Offset>,
}

/// What happened to records that were read.
#[derive(Debug, Default)]
pub struct Applied {
    /// Records with their offsets, applied or ignored.
    pub records: Vec<(Offset, Record)>,
    /// A snapshot was adopted.
    pub snapshot: bool,
    /// What was held before had been proved to be the latest at some time.
    pub proved: bool,
}

impl Applied {
    /// Whether the pool changed.
    pub fn any(&self) -> bool {
        self.snapshot || !self.records.is_empty()
    }
}

impl Store {
    /// A store that knows nothing. `nonce` is drawn at random.
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

    /// Looks at the pool.
    pub fn with_pool<T>(&self, look: impl FnOnce(&Pool) -> T) -> T {
        look(&self.lock().pool)
    }

    /// The next offset of the pool.
    pub fn next(&self) -> Offset {
        self.lock().pool.next()
    }

    /// How long ago the pool was proved to be the latest, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.lock().feed.age_ms(now)
    }

    /// Where records come from now.
    pub fn source(&self) -> Source {
        self.lock().feed.source()
    }

    /// Tells of changes of the next offset.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.changed.subscribe()
    }

    /// What became of the record at an offset, if that is still known.
    pub fn outcome(&self, offset: Offset) -> Option<Result<(), Ignored>> {
        let inner = self.lock();
        inner.outcomes.iter().find(|(o, _)| *o == offset).map(|(_, r)| r.clone())
    }

    /// Answers another process, as soon as there is something new for it or the time is over.
    pub async fn answer(&self, question: &FeedQuestion, clock: Clock) -> FeedAnswer {
        let mut changes = self.changes();
        if self.next() <= question.from {
            let hold = Duration::from_millis(u64::from(question.hold_ms.min(HOLD_MAX_MS)));
            let newer = changes.wait_for(|next| *next > question.from);
            // The time being over is as good a reason to answer.
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
            // Unsigned, since no process but the operators' has to be believed: the asker gets it
            // from a process of the fleet, and compares digests over time.
            snapshot: behind.then(|| Snapshot::of(&inner.pool).to_bytes()),
            records: if behind { Vec::new() } else { wanted.cloned().collect() },
            next,
            age_ms: inner.feed.age_ms(now),
        }
    }

    /// Takes an answer in.
    fn take(&self, now: Millis, source: Source, answer: FeedAnswer) -> anyhow::Result<Applied> {
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
                bail!("the answer leaves a gap before {offset}");
            }
            inner.apply(offset, text, &self.keys, &mut applied);
        }
        let held = inner.pool.next();
        inner.feed.record_answer(now, source, answer.number, answer.next, answer.age_ms, held);
        drop(inner);
        self.changed.send_if_modified(|next| std::mem::replace(next, held) != held);
        Ok(applied)
    }

    fn ask(&self, now: Millis) -> (Source, Offset, u64) {
        let mut inner = self.lock();
        if let Some(source) = inner.feed.tick(now) {
            log::info!("Records now come from {source:?}.");
        }
        let number = inner.feed.ask(now);
        (inner.feed.source(), inner.pool.next(), number)
    }
}

impl Inner {
    /// Adopts a snapshot if it is newer than what is held: configuration never goes back.
    fn adopt(&mut self, snapshot: Snapshot) -> anyhow::Result<bool> {
        if snapshot.pool.next() <= self.pool.next() {
            return Ok(false);
        }
        let pool = snapshot.into_verified_pool().map_err(anyhow::Error::msg)?;
        if pool.partners() != self.pool.partners() {
            bail!("the snapshot is of other partners than the settings name");
        }
        self.pool = pool;
        self.tail.clear();
        Ok(true)
    }

    fn apply(&mut self, offset: Offset, text: String, keys: &KeyRing, applied: &mut Applied) {
        match keys.open(&text) {
            Err(e) => {
                log::warn!("Record {offset} is passed over: {e:#}.");
                self.pool.skip(offset);
                self.keep_outcome(offset, Err(Ignored::NoRight));
            }
            Ok(record) => {
                let outcome = self.pool.apply(offset, &record);
                if let Err(why) = &outcome {
                    log::debug!("Record {offset} ({}) is ignored: {why}.", record.body.kind());
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
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.pop_front();
        }
    }
}

/// What [`follow`] needs to reach others.
pub struct Links {
    /// The endpoint.
    pub net: Arc<Net>,
    /// The platform.
    pub platform: Platform,
    /// Where entries are reached.
    pub entries: BTreeMap<EntryId, SocketAddr>,
    /// This process's clock.
    pub clock: Clock,
}

/// Keeps the store current. `applied` hears of every change. Never returns.
pub async fn follow(store: Arc<Store>, links: Links, mut applied: impl FnMut(&Applied)) {
    let best = store.source();
    loop {
        let asked = links.clock.now();
        let (source, from, number) = store.ask(asked);
        let answer = match source {
            Source::Log => read_log(&store, &links.platform, from, number).await,
            Source::Entry(entry) => ask_entry(&store, &links, entry, from, number).await,
        };
        let taken = answer.and_then(|answer| store.take(links.clock.now(), source, answer));
        match taken {
            Ok(changes) if changes.any() => applied(&changes),
            Ok(_) => {}
            Err(e) => {
                log::debug!("No records from {source:?}: {e:#}.");
                sleep(Wait(PAUSE_MS)).await;
            }
        }
        if source == Source::Log && best != Source::Log {
            // Only the first reader of a region may read the log at its own pace.
            let spent = links.clock.now().since(asked);
            sleep(Wait(store.config.own_read_ms.saturating_sub(spent) as u32)).await;
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
    let at = *links.entries.get(&entry).context("an entry without an address")?;
    let hold_ms = store.config.beat_ms as u32;
    let question = Question::Feed(FeedQuestion { from, number, hold_ms });
    let within = Duration::from_millis(store.config.beat_ms + ANSWER_MARGIN_MS);
    match links.net.ask(&entry.to_string(), at, &question, within).await? {
        Reply::Feed(answer) => Ok(answer),
        other => bail!("{entry} answered with {}", other.kind()),
    }
}

async fn read_log(
    store: &Store,
    platform: &Platform,
    from: Offset,
    number: u64,
) -> anyhow::Result<FeedAnswer> {
    let wait_ms = store.config.beat_ms as u32;
    match platform.read(RECORDS, from, PAGE, wait_ms).await? {
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
                bail!("the log starts at {start}, after the latest snapshot");
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
    let record = platform.last(SNAPSHOTS).await?.context("there is no snapshot")?;
    let bytes = oliveworks_platform::sign::from_hex(&record.data)?;
    keys.open_snapshot(&bytes)
}

/// Records between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 128;

/// Writes a snapshot if one is due. `rank`: the first in rank writes first, the next only if that
/// one does not. `last` is the offset of the last snapshot known.
///
/// # Errors
/// If the log does not answer.
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
    log::info!("A snapshot up to record {last} is kept.");
    Ok(())
}
