//! Request ledger of an agent: records which requests have run, and decides whether a request runs.
//!
//! An entry that hands a request over states the agent's incarnation and the latest time, on the
//! agent's own clock, at which the request may start. The agent can forget a request id once that
//! time has passed, because a later arrival is rejected by its start limit and needs no record. An
//! agent that restarted has a new incarnation and rejects every request addressed to the previous
//! one.
//!
//! An entry that lost contact asks the agent to *revoke* the request id. The agent either reports
//! that the request has begun, or records that the request must not begin. Only the second answer
//! means "not run".
//!
//! # Keys
//! The *home* of a caller's idempotency key is the agent that serves the replica that
//! [`home_replica`](crate::route::home_replica) selects for the key. All requests with the key are
//! sent there, so the home knows whether an earlier request with the same key ran.
//!
//! A caller's idempotency key can reach two agents if the key's home moves between two attempts.
//! The ledger therefore records since when it has been the home ([`Ledger::become_home`]). It
//! accepts an unknown key only if no other agent can have run the request: the key was created
//! after this home took over and every earlier home had stopped, or this agent has been the home
//! for longer than the time for which keys are kept.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::error::{ErrorKind, Ran, Refusal};
use crate::id::{Incarnation, Millis, Offset, RequestId};

/// Times and limits of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerConfig {
    /// Time for which a caller's key is kept after its last use, in milliseconds.
    pub key_window_ms: u64,
    /// Maximum age of the last proof that the configuration is current, in milliseconds. With an
    /// older proof the agent rejects callers' keys.
    pub key_fresh_ms: u64,
    /// Maximum difference between callers' clocks and the agents' clocks, in milliseconds.
    pub clock_skew_ms: u64,
    /// Maximum number of recorded requests.
    pub entries: usize,
    /// Maximum total size of the kept answers, in bytes.
    pub answer_bytes: usize,
}

impl LedgerConfig {
    /// Checks that the times are consistent with each other.
    ///
    /// # Errors
    /// Names the invalid setting.
    pub fn check(&self) -> Result<(), String> {
        if self.key_fresh_ms * 2 > self.key_window_ms {
            return Err("ledger.key_fresh_ms: must be at most half of ledger.key_window_ms".into());
        }
        if self.entries == 0 {
            return Err("ledger.entries: must be at least 1".into());
        }
        Ok(())
    }
}

impl Default for LedgerConfig {
    fn default() -> LedgerConfig {
        LedgerConfig {
            key_window_ms: 600_000,
            key_fresh_ms: 120_000,
            clock_skew_ms: 5_000,
            entries: 200_000,
            answer_bytes: 8 << 20,
        }
    }
}

/// Time until a request that still runs at its expiry is checked again, in milliseconds.
const RUNNING_RECHECK_MS: u64 = 5_000;

/// Idempotency key that a caller sent with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Creation time by the caller's clock, in milliseconds since 1970, if the key carries a time.
    pub born_ms: Option<u64>,
    /// Offset at which the keys' homes were last reassigned according to the entry's configuration.
    /// A home that knows a different offset must not decide on the key.
    pub homes_at: Offset,
    /// Digest of the request. Detects a key that is reused for another request.
    pub digest: u64,
}

/// Request as an entry hands it over to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// Id of the request.
    pub id: RequestId,
    /// Random number of this handover. A caller may repeat a key after an attempt was revoked, so a
    /// revocation must apply only to its own attempt.
    pub attempt: u64,
    /// Incarnation of the agent that the request is addressed to.
    pub incarnation: Incarnation,
    /// Latest time at which the request may start, on this agent's clock.
    pub not_after: Millis,
    /// Caller's key, if the request is not repeatable and has one.
    pub key: Option<Key>,
}

/// Answer kept for a repeated key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Kept {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Decision on a request that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run the request. The request counts as having run from now on.
    Run,
    /// Return the kept answer of the earlier run.
    Kept(Kept),
    /// Reject the request.
    Refuse(Refusal),
}

/// Result of a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Revoked {
    /// The request has not begun and never will.
    NotRun,
    /// The request has begun or has ended.
    Begun,
    /// This incarnation does not know whether the request has begun.
    Unknown,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Done(Option<Kept>),
}

#[derive(Clone, Debug)]
struct Entry {
    state: State,
    attempt: u64,
    expires_at: Millis,
    digest: Option<u64>,
}

/// Current time and configuration age, as used by the ledger.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Time on the agent's monotonic clock.
    pub mono: Millis,
    /// Time on the agent's wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Age of the last proof that the configuration is current, in milliseconds.
    pub config_age_ms: u64,
}

/// Possible earlier homes of the callers' keys, before this run of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierHome {
    /// No earlier home exists. A request without a record did not run.
    Nobody,
    /// Only earlier runs of this agent. They have ended, so a key created since then is new.
    OwnRuns,
    /// Another host, which may not know yet that it is no longer the home.
    Others,
}

/// Start of this agent's time as a home of callers' keys.
#[derive(Clone, Copy, Debug)]
struct Home {
    mono: Millis,
    wall_ms: u64,
    before: EarlierHome,
}

/// Request ledger of one agent.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: LedgerConfig,
    incarnation: Incarnation,
    entries: HashMap<RequestId, Entry>,
    revoked: HashSet<(RequestId, u64)>,
    by_expiry: BTreeSet<(Millis, RequestId, Option<u64>)>,
    home: Option<Home>,
    kept_bytes: usize,
    running: usize,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(incarnation: Incarnation, config: LedgerConfig) -> Ledger {
        Ledger {
            config,
            incarnation,
            entries: HashMap::new(),
            revoked: HashSet::new(),
            by_expiry: BTreeSet::new(),
            home: None,
            kept_bytes: 0,
            running: 0,
        }
    }

    /// Returns the incarnation of this run of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of recorded requests and revocations.
    pub fn len(&self) -> usize {
        self.entries.len() + self.revoked.len()
    }

    /// Returns whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Makes this agent a home of callers' keys, starting at `now`.
    pub fn become_home(&mut self, now: Now, before: EarlierHome) {
        self.home = Some(Home { mono: now.mono, wall_ms: now.wall_ms, before });
    }

    /// Returns whether this agent is a home of callers' keys.
    pub fn is_home(&self) -> bool {
        self.home.is_some()
    }

    /// Records that this agent is no longer a home of callers' keys.
    pub fn resign_home(&mut self) {
        self.home = None;
    }

    /// Returns the decision on a request that is already recorded or cannot be accepted any more,
    /// and `None` for an unknown request.
    ///
    /// A message may arrive twice: the first copy may have run in an earlier incarnation, or its
    /// record may have expired. A refusal therefore reports "not run" only if this attempt was
    /// stopped here, or if its key was used for a different request.
    pub fn recall(&mut self, now: Millis, handover: &Handover) -> Option<Begin> {
        self.expire(now);
        if handover.incarnation != self.incarnation {
            let reason = "meant for an earlier run of this agent";
            return Some(refuse(ErrorKind::Unavailable, Ran::Unknown, reason));
        }
        if now >= handover.not_after {
            let reason = "arrived after the latest time at which it may start";
            return Some(refuse(ErrorKind::DeadlineExceeded, Ran::Unknown, reason));
        }
        if self.revoked.contains(&(handover.id, handover.attempt)) {
            let reason = "this try was stopped before it began";
            return Some(refuse(ErrorKind::ContactLost, Ran::No, reason));
        }
        self.entries.get(&handover.id).map(|entry| decision_on(entry, handover))
    }

    /// Begins an unknown request, or rejects it.
    pub fn begin(&mut self, now: Now, handover: &Handover) -> Begin {
        debug_assert!(!self.entries.contains_key(&handover.id), "recall must be called first");
        if self.len() >= self.config.entries {
            return refuse(ErrorKind::Overloaded, Ran::No, "the agent's memory is full");
        }
        if let Some(refusal) = handover.key.and_then(|key| self.check_key(now, key)) {
            return Begin::Refuse(refusal);
        }
        self.insert(now.mono, handover);
        self.running += 1;
        Begin::Run
    }

    /// Records that a rejected attempt must stay rejected if the same message arrives again.
    /// Returns whether the ledger had room for the record.
    pub fn stop(&mut self, handover: &Handover) -> bool {
        if self.len() >= self.config.entries {
            return false;
        }
        if self.revoked.insert((handover.id, handover.attempt)) {
            self.by_expiry.insert((handover.not_after, handover.id, Some(handover.attempt)));
        }
        true
    }

    /// Decides on a key without a record. Returns `None` if no other agent can have run the
    /// request.
    fn check_key(&self, now: Now, key: Key) -> Option<Refusal> {
        let Some(home) = self.home else {
            let reason = "this agent is not the key's home";
            return Some(Refusal::new(ErrorKind::Unavailable, Ran::Unknown, reason));
        };
        if now.config_age_ms > self.config.key_fresh_ms {
            // The home may have moved without this agent's knowledge, and the request may have run
            // at the new home.
            let reason = "this agent's configuration is too old to decide on a key";
            return Some(Refusal::new(ErrorKind::Unavailable, Ran::Unknown, reason));
        }
        let since = home.mono;
        if home.before == EarlierHome::Nobody || now.mono.since(since) >= self.config.key_window_ms
        {
            return None;
        }
        // An earlier home stops within `key_fresh_ms` of the record that moved the keys, and this
        // home cannot have read the record before it was written.
        let config_delay_ms = match home.before {
            EarlierHome::Others => self.config.key_fresh_ms,
            EarlierHome::Nobody | EarlierHome::OwnRuns => 0,
        };
        let others_stopped = home.wall_ms + config_delay_ms + self.config.clock_skew_ms;
        let created_after_handover = key.born_ms.is_some_and(|born| born > others_stopped);
        let not_in_future =
            key.born_ms.is_some_and(|b| b <= now.wall_ms + self.config.clock_skew_ms);
        if created_after_handover && not_in_future {
            return None;
        }
        let remaining_ms = self.config.key_window_ms - now.mono.since(since);
        let reason = "the key may have run at its former home, whose memory is gone; a new key that \
                   carries its time (UUID version 7) is accepted sooner";
        let retry_after_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
        Some(
            Refusal::new(ErrorKind::OutcomeForgotten, Ran::Unknown, reason)
                .with_retry_after(retry_after_ms),
        )
    }

    /// Records the end of a request. `kept` is its answer, if a repeated key may ask for the
    /// answer.
    pub fn finish(&mut self, now: Millis, id: RequestId, kept: Option<Kept>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        let size = kept.as_ref().map_or(0, |k| k.body.len());
        let fits = self.kept_bytes + size <= self.config.answer_bytes;
        let kept = kept.filter(|_| fits && entry.digest.is_some());
        self.kept_bytes += kept.as_ref().map_or(0, |k| k.body.len());
        entry.state = State::Done(kept);
        self.running -= 1;
        if entry.digest.is_some() {
            self.by_expiry.remove(&(entry.expires_at, id, None));
            entry.expires_at = entry.expires_at.max(now.plus(self.config.key_window_ms));
            self.by_expiry.insert((entry.expires_at, id, None));
        }
    }

    /// Prevents a request from running if it has not begun.
    pub fn revoke(&mut self, now: Millis, handover: &Handover) -> Revoked {
        self.expire(now);
        if handover.incarnation != self.incarnation {
            return Revoked::Unknown;
        }
        if self.revoked.contains(&(handover.id, handover.attempt)) {
            return Revoked::NotRun;
        }
        if self.entries.contains_key(&handover.id) {
            return Revoked::Begun;
        }
        // A request past its start limit cannot start any more, but it may have run before its
        // record expired.
        if now >= handover.not_after || self.len() >= self.config.entries {
            return Revoked::Unknown;
        }
        self.revoked.insert((handover.id, handover.attempt));
        self.by_expiry.insert((handover.not_after, handover.id, Some(handover.attempt)));
        Revoked::NotRun
    }

    fn insert(&mut self, now: Millis, handover: &Handover) {
        // A key is kept for its whole window from the start, in case its run never ends.
        let window = handover.key.map_or(now, |_| now.plus(self.config.key_window_ms));
        let expires_at = handover.not_after.max(window);
        let digest = handover.key.map(|k| k.digest);
        let entry = Entry { state: State::Running, attempt: handover.attempt, expires_at, digest };
        self.entries.insert(handover.id, entry);
        self.by_expiry.insert((expires_at, handover.id, None));
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(at, id, attempt)) = self.by_expiry.first() {
            if at > now {
                return;
            }
            self.by_expiry.remove(&(at, id, attempt));
            match attempt {
                Some(attempt) => {
                    self.revoked.remove(&(id, attempt));
                }
                None => self.expire_entry(now, id),
            }
        }
    }

    fn expire_entry(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match &entry.state {
            // The request still runs past its expiry and is kept until it ends.
            State::Running => {
                entry.expires_at = now.plus(RUNNING_RECHECK_MS);
                self.by_expiry.insert((entry.expires_at, id, None));
            }
            State::Done(kept) => {
                self.kept_bytes -= kept.as_ref().map_or(0, |k| k.body.len());
                self.entries.remove(&id);
            }
        }
    }
}

fn refuse(kind: ErrorKind, ran: Ran, reason: &str) -> Begin {
    Begin::Refuse(Refusal::new(kind, ran, reason))
}

fn decision_on(entry: &Entry, handover: &Handover) -> Begin {
    match &entry.state {
        _ if entry.digest != handover.key.map(|k| k.digest) => {
            refuse(ErrorKind::KeyReused, Ran::No, "the key was used for another request")
        }
        State::Running if entry.attempt == handover.attempt => {
            refuse(ErrorKind::InProgress, Ran::Unknown, "this very try arrived before")
        }
        State::Running => refuse(ErrorKind::InProgress, Ran::Unknown, "the same key runs now"),
        State::Done(Some(kept)) => Begin::Kept(kept.clone()),
        State::Done(None) => {
            refuse(ErrorKind::AnswerGone, Ran::Yes, "it ran; its answer is not kept")
        }
    }
}
