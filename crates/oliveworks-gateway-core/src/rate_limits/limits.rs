//! The rate limits in force.
//!
//! A backend server names its limit in each answer, and names none once there is no limit. The
//! gateway that receives such an answer reports it to the others, so that each gateway need not
//! send a request to learn the limit. Answers may be reordered and datagrams may be delayed, so
//! reports are ordered by a revision. A gateway that learns something newer increments the
//! revision: only an answer to a request sent after the known revision was learned is certain to be
//! newer than that revision.
//!
//! Rejected: ordering by the time at which a limit was named (a forwarded report is delayed by an
//! unknown time, and a limit that has ended would be in force again), and limits that expire (an
//! overloaded backend server that receives no requests for a while would then receive as many as
//! before).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::Rate;
use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;

/// Time for which a change is reported in each heartbeat, in ms. This is ten heartbeats, some of
/// which may be lost.
const CHANGE_REPORT_MS: u64 = 1_000;
/// Maximum number of changes in one heartbeat, at 20 bytes each.
const CHANGES_MAX: usize = 32;
/// Number of older limits in one heartbeat, for gateways that have started since those changes.
const OLDER_LIMITS: usize = 2;
/// Time for which the end of a limit is remembered, in ms. This is longer than a gateway can go on
/// reporting the limit after it was cut off.
const END_RETENTION_MS: u64 = 60_000;

/// The rate limit of a backend server, as exchanged between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The backend server to which the limit applies.
    pub target: Target,
    /// Start of the incarnation of the backend server that named the limit, if known.
    pub life: Option<Born>,
    /// Number of changes in this incarnation.
    pub revision: u32,
    /// Maximum rate for all gateways together; `None` if the backend server no longer names a
    /// limit.
    pub rate: Option<Rate>,
}

impl Limit {
    /// Returns whether this limit replaces the known one. Of two limits that were learned
    /// concurrently, the lower one wins.
    fn supersedes(&self, known: &Limit) -> bool {
        match self.life.zip(known.life) {
            Some((own, known)) if own != known => return own > known,
            _ => {}
        }
        let newer = self.revision > known.revision;
        newer || self.revision == known.revision && is_lower(self.rate, known.rate)
    }
}

/// Returns whether a rate is lower than another. No limit counts as the highest rate.
fn is_lower(rate: Option<Rate>, than: Option<Rate>) -> bool {
    rate.is_some_and(|rate| than.is_none_or(|than| rate < than))
}

/// The rate information in an answer of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct RateObservation {
    /// The backend server that answered.
    pub target: Target,
    /// Start of the incarnation of the backend server, as known when the request was sent.
    pub incarnation: Option<Born>,
    /// Time at which the request was sent.
    pub sent_at: Millis,
    /// The rate that the answer names.
    pub rate: Option<Rate>,
    /// Whether the answer would name an existing limit. Answers to calls and refusals may omit the
    /// limit.
    pub would_name: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: Limit,
    learned_at: Millis,
    /// Whether an answer of the backend server named the limit, as opposed to another gateway.
    from_answer: bool,
    /// Number of requests that this gateway has sent there since `learned_at`.
    sent: u64,
}

/// The limits that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Limits(HashMap<Target, KnownLimit>);

impl Limits {
    /// Applies the rate information of an answer, and returns whether the known limit changes.
    pub fn observe(&mut self, now: Millis, observation: RateObservation) -> bool {
        let RateObservation { target, incarnation, sent_at, rate, would_name } = observation;
        if rate.is_none() && !would_name {
            return false;
        }
        let known = self.0.get(&target).copied();
        let Some(known) = known else {
            let limit = Limit { target, life: incarnation, revision: 1, rate };
            return rate.is_some() && self.learn(now, limit, true);
        };
        let incarnation_order =
            incarnation.zip(known.limit.life).map(|(own, known)| own.cmp(&known));
        match incarnation_order {
            Some(std::cmp::Ordering::Less) => false,
            Some(std::cmp::Ordering::Greater) => {
                self.learn(now, Limit { target, life: incarnation, revision: 1, rate }, true)
            }
            _ => {
                let is_newer = sent_at >= known.learned_at;
                let changes = rate != known.limit.rate;
                let applies = changes && (is_newer || is_lower(rate, known.limit.rate));
                let revision = known.limit.revision.saturating_add(1);
                let life = incarnation.or(known.limit.life);
                applies && self.learn(now, Limit { life, revision, rate, target }, true)
            }
        }
    }

    /// Applies a limit reported by another gateway, and returns whether the known limit changes.
    pub fn apply_report(&mut self, now: Millis, limit: Limit) -> bool {
        let known = self.0.get(&limit.target);
        known.is_none_or(|known| limit.supersedes(&known.limit)) && self.learn(now, limit, false)
    }

    fn learn(&mut self, now: Millis, limit: Limit, from_answer: bool) -> bool {
        let known = KnownLimit { limit, learned_at: now, from_answer, sent: 0 };
        self.0.insert(limit.target, known);
        true
    }

    /// Returns the maximum rate of a backend server for all gateways together; `None` if the
    /// backend server names no limit.
    pub fn rate(&self, target: Target) -> Option<Rate> {
        self.0.get(&target)?.limit.rate
    }

    /// Returns the known limit of a backend server.
    pub fn get(&self, target: Target) -> Option<Limit> {
        Some(self.0.get(&target)?.limit)
    }

    /// Counts a request that is sent to a backend server, and returns whether a limit is in force
    /// there.
    pub fn sent(&mut self, target: Target) -> bool {
        let Some(known) = self.0.get_mut(&target) else { return false };
        known.sent += 1;
        known.limit.rate.is_some()
    }

    /// Returns the number of requests that this gateway has sent since the last change, and the age
    /// of that change in ms.
    pub fn sent_since_change(&self, now: Millis, target: Target) -> Option<(u64, u64)> {
        let known = self.0.get(&target)?;
        Some((known.sent, now - known.learned_at))
    }

    /// Returns the limits to include in a heartbeat: the most recent changes, and some of the older
    /// limits, starting at a random one.
    pub fn limits_to_report(&self, now: Millis, draw: u64) -> Vec<Limit> {
        let is_recent = |known: &&KnownLimit| now < known.learned_at + CHANGE_REPORT_MS;
        let (mut recent, mut older): (Vec<&KnownLimit>, Vec<&KnownLimit>) =
            self.0.values().partition(is_recent);
        recent.sort_unstable_by_key(|known| {
            (std::cmp::Reverse(known.learned_at), known.limit.target)
        });
        older.sort_unstable_by_key(|known| known.limit.target);
        let first = if older.is_empty() { 0 } else { (draw % older.len() as u64) as usize };
        let older = older.iter().cycle().skip(first).take(OLDER_LIMITS.min(older.len()));
        recent.iter().take(CHANGES_MAX).chain(older).map(|known| known.limit).collect()
    }

    /// Processes the record of a later incarnation of a backend server, which started at
    /// `started_at` by its own account. The limit of the former one ends. A limit that an answer has
    /// named since then is that of the new process, whose answers may arrive before its record.
    ///
    /// Rejected alternatives: dropping the limit in any case (the new process would get more than it
    /// accepts until it names its limit once more), and keeping one that was named shortly before (a
    /// host that restarts without a limit would be bound by the former one until its first answer).
    pub fn restart(&mut self, now: Millis, target: Target, life: Option<Born>, started_at: Millis) {
        let Some(known) = self.0.remove(&target) else { return };
        let is_new = known.from_answer && known.learned_at >= started_at;
        if is_new && known.limit.rate.is_some() {
            self.learn(now, Limit { life, revision: 1, ..known.limit }, true);
        }
    }

    /// Drops the backend servers for which `keep` returns false, and limits that ended long ago.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, known| {
            let is_relevant =
                known.limit.rate.is_some() || now < known.learned_at + END_RETENTION_MS;
            is_relevant && keep(*target)
        });
    }
}
