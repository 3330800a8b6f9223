//! Requests that crash the backend servers they run at.
//!
//! A caller whose request ended its backend server sends it again, to any gateway and under another id, and each time it
//! ends one or two more, with all that runs beside it. So requests are told apart by what is sent: under a request
//! whose runs ended one backend server after the other, and never one to its end, no more are risked.
//!
//! Evidence is a chain of ends: one counts only if it comes some time after the one before it, so that
//! a lost failure domain, which ends hundreds at once, counts once for whatever ran there. A run that comes to its end clears
//! the request. Those that ran beside the guilty one share its first ends; they are sent on apart from each other,
//! and come to their end elsewhere. Where backend servers also end for other reasons, a chain must be longer, by one for
//! each moment at which some did. Gateways tell each other of chains of two and more.
//!
//! Rejected: to convict at the second end (those that ran beside a guilty one are sent on to a few places, some of them
//! to its next one), and to count ends however close they are (one lost failure domain convicts what many callers ask).

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::Target;

/// Ends in a row after which a request is sent nowhere. Whoever runs beside a guilty one twice is as likely as not to be found
/// beside it; three times, and never to its end, is not chance.
const CONVICTED_AFTER: u32 = 3;
/// How long an end is held against a request, in ms: callers try again within their deadlines, and sessions within a minute.
const SUSPECT_MS: Millis = 60_000;
/// How long a convicted request is refused before one trial, in ms. A server or weights that are mended are rolled
/// out in minutes, and each trial may cost one backend server.
const CONVICTED_MS: Millis = 300_000;
/// Requests that are remembered: the streams of a lost failure domain of 273 hosts, 15 each.
const KEPT: usize = 4_096;
/// How long a chain is told to others, in ms: ten heartbeats, of which some may be lost.
const TOLD_MS: Millis = 1_000;
/// The time between two tellings of all that are convicted, in ms: a gateway that starts learns them before a caller
/// who was refused comes back.
const TELL_ALL_MS: Millis = 500;
/// Chains that one heartbeat tells at the most: some 3 KB, and far more than are guilty at once.
const TOLD_MOST: usize = 32;
/// Ends of a chain that are remembered, so that what a convicted request explains is known.
const ENDS_KEPT: usize = 8;
/// How long before a chain began ends count that it does not explain, in ms: as long as most requests run.
const LOOK_BACK_MS: Millis = 10_000;
/// Other requests that are thought guilty at the same time, so that their ends do not speak for this one: with many, waves
/// of ends would explain each other.
const OTHERS_GUILTY: usize = 3;
/// Ends that are so close have one cause, such as a lost failure domain, in ms.
const SAME_MOMENT_MS: Millis = 500;
/// How much later the next end of a chain comes at the least, in ms: the hosts of a lost failure domain do not end at
/// once, and what ran at the first is sent on to the others.
const NEXT_END_MS: Millis = 200;
/// How long an end of a backend server is the same one for all that ran there, in ms.
const SAME_END_MS: Millis = 1_000;

/// What is sent, told apart from all else that is sent: a cryptographic hash, so that no caller can make another's request
/// look guilty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// So many backend servers in a row ended under it.
    Suspect {
        /// The ends.
        ends: u32,
    },
    /// It is sent nowhere.
    Convicted {
        /// Until when.
        until: Millis,
    },
}

impl Standing {
    /// Whether it has ended more than one backend server: then it is not worth a third to find out within one try.
    pub fn is_strong_suspect(self) -> bool {
        !matches!(self, Standing::Clear | Standing::Suspect { ends: 0 | 1 })
    }
}

/// What speaks for and against a request's conviction, for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Ends in a row.
    pub ends: u32,
    /// Ends that convict it.
    pub needed: u32,
    /// Whether another request explains the last end as well.
    pub shares_last_end: bool,
}

/// A chain of ends, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The request.
    pub request: Fingerprint,
    /// Ends in a row.
    pub ends: u32,
    /// The last backend servers that ended, the newest last.
    pub hosts: Vec<Target>,
    /// From the first end to the last, in ms.
    pub span_ms: u64,
    /// How long ago the last end was, in ms.
    pub ago_ms: u64,
}

#[derive(Clone, Debug)]
struct Record {
    ends: u32,
    /// The last backend servers that ended, the newest last.
    hosts: Vec<Target>,
    first_end: Millis,
    last_end: Millis,
    /// When this gateway learned of the last end, if others are told of it.
    tell_since: Option<Millis>,
}

impl Record {
    /// A backend server ended under the request, the newest that is known.
    fn explains(&mut self, host: Target) {
        self.hosts.retain(|known| *known != host);
        self.hosts.push(host);
        let surplus = self.hosts.len().saturating_sub(ENDS_KEPT);
        self.hosts.drain(..surplus);
    }
}

/// Suspects that run at a place.
#[derive(Clone, Copy, Debug, Default)]
struct Running {
    all: u32,
    strong: u32,
}

/// Requests under which backend servers ended.
#[derive(Clone, Debug, Default)]
pub struct Crashers {
    records: HashMap<Fingerprint, Record>,
    /// Requests of this gateway's that are held suspect and run now, by place.
    running: HashMap<Target, Running>,
    /// When all convicted ones were last told.
    told_all_at: Millis,
    /// Ends of backend servers that this gateway saw lately.
    seen: VecDeque<(Millis, Target)>,
}

impl Crashers {
    /// A backend server has ended under a run of a request; tells the ends in a row. Several may run at once, of callers
    /// who send the same. Rejected: to count only runs that began after the last end (of twenty copies a second that
    /// ran side by side one in three counted, and ten hosts ended in 2.5 s).
    pub fn host_ended(&mut self, now: Millis, request: Fingerprint, host: Target) -> u32 {
        self.forget(now);
        self.see(now, host);
        let record = self.records.entry(request).or_insert(Record {
            ends: 0,
            hosts: Vec::new(),
            first_end: now,
            last_end: 0,
            tell_since: None,
        });
        // One that does not count is still this request's, and speaks for no other reason.
        record.explains(host);
        if record.ends == 0 || now >= record.last_end + NEXT_END_MS {
            record.ends += 1;
            record.last_end = now;
            record.tell_since = (record.ends > 1).then_some(now);
        }
        record.ends
    }

    /// Another gateway told of a chain; tells whether it is longer than what is known here.
    pub fn told(&mut self, now: Millis, chain: Chain) -> bool {
        if let Some(known) = self.records.get_mut(&chain.request).filter(|r| r.ends >= chain.ends) {
            // Two gateways may see ends side by side: both are this request's.
            chain.hosts.iter().for_each(|host| known.explains(*host));
            return false;
        }
        let Chain { request, ends, hosts, span_ms, ago_ms } = chain;
        let last_end = now.saturating_sub(ago_ms);
        let first_end = last_end.saturating_sub(span_ms);
        let record = Record { ends, hosts, first_end, last_end, tell_since: Some(now) };
        self.records.insert(request, record);
        true
    }

    /// A request came to its end: it does not crash its backend server.
    pub fn survived(&mut self, request: Fingerprint) {
        self.records.remove(&request);
    }

    /// How a request stands. One whose time is over is a strong suspect again: the next end convicts it anew.
    pub fn standing(&mut self, now: Millis, request: Fingerprint) -> Standing {
        let Some(record) = self.records.get(&request) else { return Standing::Clear };
        let (ends, last_end) = (record.ends, record.last_end);
        if ends < CONVICTED_AFTER {
            return match now < last_end + SUSPECT_MS {
                true => Standing::Suspect { ends },
                false => Standing::Clear,
            };
        }
        let until = last_end + CONVICTED_MS;
        if self.is_convicted(now, request, record) {
            return Standing::Convicted { until };
        }
        if now < until {
            return Standing::Suspect { ends };
        }
        let ends = CONVICTED_AFTER - 1;
        if let Some(record) = self.records.get_mut(&request) {
            let hosts = Vec::new();
            *record = Record { ends, hosts, first_end: now, last_end: now, tell_since: None };
        }
        Standing::Suspect { ends }
    }

    /// What speaks for and against a request's conviction; none if nothing is held against it.
    pub fn assess(&self, request: Fingerprint) -> Option<Assessment> {
        let record = self.records.get(&request)?;
        Some(Assessment {
            ends: record.ends,
            needed: CONVICTED_AFTER + self.unexplained(record),
            shares_last_end: self.is_explained(request, record),
        })
    }

    /// Moments since shortly before a chain began at which backend servers ended for no reason that a chain explains.
    fn unexplained(&self, record: &Record) -> u32 {
        let long = self.records.values().filter(|other| other.ends >= CONVICTED_AFTER);
        let mut others: Vec<&Record> = long.collect();
        others.sort_by_key(|other| (Reverse(other.ends), other.first_end));
        let chains = others.into_iter().take(OTHERS_GUILTY).chain([record]);
        let explained: HashSet<Target> = chains.flat_map(|chain| &chain.hosts).copied().collect();
        let since = record.first_end.saturating_sub(LOOK_BACK_MS);
        let ends = self.seen.iter().filter(|(at, host)| *at >= since && !explained.contains(host));
        let mut moments = 0;
        let mut last: Option<Millis> = None;
        for (at, _) in ends {
            moments += u32::from(last.is_none_or(|last| *at >= last + SAME_MOMENT_MS));
            last = Some(*at);
        }
        moments
    }

    fn see(&mut self, now: Millis, host: Target) {
        let is_known = |(at, known): &(Millis, Target)| *known == host && now < *at + SAME_END_MS;
        if !self.seen.iter().any(is_known) {
            self.seen.push_back((now, host));
        }
        while self.seen.front().is_some_and(|(at, _)| now > *at + SUSPECT_MS) {
            self.seen.pop_front();
        }
    }

    /// Whether the last end may be another request's, with a chain at least as long: the next end tells.
    fn is_explained(&self, request: Fingerprint, record: &Record) -> bool {
        let Some(last) = record.hosts.last() else { return false };
        self.records.iter().any(|(other, theirs)| {
            *other != request && theirs.ends >= record.ends && theirs.hosts.contains(last)
        })
    }

    /// Chains that other gateways are to be told of: new ones, and now and then those that convict, for gateways
    /// that have started or were cut off.
    pub fn to_tell(&mut self, now: Millis) -> Vec<Chain> {
        let all = now >= self.told_all_at + TELL_ALL_MS;
        if all {
            self.told_all_at = now;
        }
        let told = self.records.iter().filter(|(request, record)| {
            // An end from before this process has no age here, and would seem younger with each one that passes it on.
            if record.last_end == 0 {
                return false;
            }
            let is_new = record.tell_since.is_some_and(|since| now < since + TOLD_MS);
            is_new || all && self.is_convicted(now, **request, record)
        });
        let chain = |(request, record): (&Fingerprint, &Record)| Chain {
            request: *request,
            ends: record.ends,
            hosts: record.hosts.clone(),
            span_ms: record.last_end.saturating_sub(record.first_end),
            ago_ms: now.saturating_sub(record.last_end),
        };
        told.take(TOLD_MOST).map(chain).collect()
    }

    fn is_convicted(&self, now: Millis, request: Fingerprint, record: &Record) -> bool {
        now < record.last_end + CONVICTED_MS
            && record.ends >= CONVICTED_AFTER
            && record.ends >= CONVICTED_AFTER + self.unexplained(record)
            && !self.is_explained(request, record)
    }

    /// A request that is held suspect begins to run at a place.
    pub fn placed(&mut self, target: Target, standing: Standing) {
        let running = self.running.entry(target).or_default();
        running.all += 1;
        running.strong += u32::from(standing.is_strong_suspect());
    }

    /// It runs there no more.
    pub fn left(&mut self, target: Target, standing: Standing) {
        let Some(running) = self.running.get_mut(&target) else { return };
        running.all = running.all.saturating_sub(1);
        running.strong = running.strong.saturating_sub(u32::from(standing.is_strong_suspect()));
        if running.all == 0 {
            self.running.remove(&target);
        }
    }

    /// Whether this gateway has suspects running at a place: others go elsewhere, so that the next end tells most.
    pub fn has_suspects(&self, target: Target) -> bool {
        self.running.contains_key(&target)
    }

    /// Whether it has strong ones there: they are kept apart also where every place has some suspect.
    pub fn has_strong_suspects(&self, target: Target) -> bool {
        self.running.get(&target).is_some_and(|running| running.strong > 0)
    }

    /// Forgets what is held against nobody any more, and the oldest ends if there are too many.
    fn forget(&mut self, now: Millis) {
        self.records.retain(|_, record| now < record.last_end + SUSPECT_MS.max(CONVICTED_MS));
        if self.records.len() < KEPT {
            return;
        }
        let oldest = self.records.iter().min_by_key(|(_, record)| (record.ends, record.last_end));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}
