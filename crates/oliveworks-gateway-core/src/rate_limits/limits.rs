//! Which rate limits are in force.
//!
//! A backend server names its limit in each answer, and names none once it has none. The gateway that reads such an
//! answer tells the others, so that not each of them has to send a request to learn it. Answers overtake each other,
//! and datagrams are late, so what is told is ordered by a revision, which whoever learns something newer raises: only an
//! answer to a request that was sent after the known revision had been learned is certainly newer than that.
//!
//! Rejected: the time at which a limit was named (what is told on grows older on its way by an unknown time, and a
//! limit that has ended comes back with it), and a limit that ends by itself (a backend server in need that nobody
//! asks for a while gets as much as before).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::Rate;
use crate::Millis;
use crate::backend_servers::Born;
use crate::balance::Target;

/// How long a change is told with each heartbeat, in ms: ten heartbeats, of which some may be lost.
const NEWS_MS: u64 = 1_000;
/// Changes that one heartbeat tells, at 20 bytes each.
const NEWS_MAX: usize = 32;
/// Older limits that one heartbeat tells, for gateways that have started since.
const OLDER_TOLD: usize = 2;
/// How long the end of a limit is remembered, in ms: longer than a gateway that is cut off goes on telling it.
const END_REMEMBERED_MS: u64 = 60_000;

/// What a backend server takes, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The backend server.
    pub target: Target,
    /// When the life began in which it said so, if that is known.
    pub life: Option<Born>,
    /// Counts the changes in this life.
    pub revision: u32,
    /// What it takes from all gateways together; none if it names no limit any more.
    pub rate: Option<Rate>,
}

impl Limit {
    /// Whether this takes the place of what is known. Of two that were learned side by side the lower one does.
    fn supersedes(&self, known: &Limit) -> bool {
        match self.life.zip(known.life) {
            Some((own, known)) if own != known => return own > known,
            _ => {}
        }
        let newer = self.revision > known.revision;
        newer || self.revision == known.revision && is_lower(self.rate, known.rate)
    }
}

/// Whether a rate is lower than another; no limit is the highest.
fn is_lower(rate: Option<Rate>, than: Option<Rate>) -> bool {
    rate.is_some_and(|rate| than.is_none_or(|than| rate < than))
}

/// What an answer says of the rate that its sender takes.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// The backend server.
    pub target: Target,
    /// When its life had begun as far as was known when the request was sent.
    pub life: Option<Born>,
    /// When the request was sent.
    pub sent_at: Millis,
    /// The limit that it names.
    pub rate: Option<Rate>,
    /// Whether it would name one if there were one: answers to calls and refusals may lack it.
    pub would_name: bool,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Limit,
    learned_at: Millis,
    /// Requests that this gateway has sent there since.
    sent: u64,
}

/// The limits that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Limits(HashMap<Target, Known>);

impl Limits {
    /// Takes an answer in; tells whether that changes what is known.
    pub fn heard(&mut self, now: Millis, heard: Heard) -> bool {
        let Heard { target, life, sent_at, rate, would_name } = heard;
        if rate.is_none() && !would_name {
            return false;
        }
        let known = self.0.get(&target).copied();
        let Some(known) = known else {
            let limit = Limit { target, life, revision: 1, rate };
            return rate.is_some() && self.learn(now, limit);
        };
        let anew = life.zip(known.limit.life).map(|(own, known)| own.cmp(&known));
        match anew {
            Some(std::cmp::Ordering::Less) => false,
            Some(std::cmp::Ordering::Greater) => {
                self.learn(now, Limit { target, life, revision: 1, rate })
            }
            _ => {
                let is_newer = sent_at >= known.learned_at;
                let changes = rate != known.limit.rate;
                let holds = changes && (is_newer || is_lower(rate, known.limit.rate));
                let revision = known.limit.revision.saturating_add(1);
                holds
                    && self.learn(
                        now,
                        Limit { life: life.or(known.limit.life), revision, rate, target },
                    )
            }
        }
    }

    /// Takes in what another gateway tells; tells whether that changes what is known.
    pub fn told(&mut self, now: Millis, limit: Limit) -> bool {
        let known = self.0.get(&limit.target);
        known.is_none_or(|known| limit.supersedes(&known.limit)) && self.learn(now, limit)
    }

    fn learn(&mut self, now: Millis, limit: Limit) -> bool {
        self.0.insert(limit.target, Known { limit, learned_at: now, sent: 0 });
        true
    }

    /// What a backend server takes from all gateways together; none if it names no limit.
    pub fn rate(&self, target: Target) -> Option<Rate> {
        self.0.get(&target)?.limit.rate
    }

    /// What is known of a backend server's limit.
    pub fn get(&self, target: Target) -> Option<Limit> {
        Some(self.0.get(&target)?.limit)
    }

    /// Notes a request that is sent to a backend server; tells whether a limit is in force there.
    pub fn sent(&mut self, target: Target) -> bool {
        let Some(known) = self.0.get_mut(&target) else { return false };
        known.sent += 1;
        known.limit.rate.is_some()
    }

    /// How many requests this gateway has sent since the last change, and how long ago that was, in ms.
    pub fn sent_since_change(&self, now: Millis, target: Target) -> Option<(u64, u64)> {
        let known = self.0.get(&target)?;
        Some((known.sent, now - known.learned_at))
    }

    /// What a heartbeat tells: changes, the last ones first, and some of the older limits from a drawn one on.
    pub fn telling(&self, now: Millis, draw: u64) -> Vec<Limit> {
        let is_news = |known: &&Known| now < known.learned_at + NEWS_MS;
        let (mut news, mut older): (Vec<&Known>, Vec<&Known>) = self.0.values().partition(is_news);
        news.sort_unstable_by_key(|known| {
            (std::cmp::Reverse(known.learned_at), known.limit.target)
        });
        older.sort_unstable_by_key(|known| known.limit.target);
        let first = if older.is_empty() { 0 } else { (draw % older.len() as u64) as usize };
        let older = older.iter().cycle().skip(first).take(OLDER_TOLD.min(older.len()));
        news.iter().take(NEWS_MAX).chain(older).map(|known| known.limit).collect()
    }

    /// A backend server has started again: its new process has named nothing.
    pub fn starts_anew(&mut self, target: Target) {
        self.0.remove(&target);
    }

    /// Forgets backend servers that are gone, and limits that ended long ago.
    pub fn retain(&mut self, now: Millis, keep: impl Fn(Target) -> bool) {
        self.0.retain(|target, known| {
            let matters = known.limit.rate.is_some() || now < known.learned_at + END_REMEMBERED_MS;
            matters && keep(*target)
        });
    }
}
