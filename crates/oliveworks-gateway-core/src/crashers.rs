//! Requests that crash the backend servers they run at.
//!
//! A caller whose request ended its backend server sends it again, to any gateway and under another id, and each time it
//! ends one or two more, with all that runs beside it. So requests are told apart by what is sent: under a request
//! whose runs ended one backend server after the other, and never one to its end, no more are risked.
//!
//! Evidence is a chain of ends, the same at all gateways, since they tell each other of each end. An end counts only if
//! it comes some time after the one before it, so that a lost failure domain, which ends hundreds at once, counts once
//! for whatever ran there, and it says little of a run that had delivered for a while. A run that comes to its end
//! clears the request everywhere. Those that ran beside the guilty one share its first ends; they are sent on apart
//! from each other, come to their end elsewhere, and what a convicted request explains says little against the others.
//! Where backend servers also end for other reasons, a chain must be longer, by one for each moment at which some did,
//! up to a bound: a request that comes again and again must not go on for ever. A conviction lasts, whatever ends
//! afterwards.
//!
//! Rejected: to convict at the second end (those that ran beside a guilty one are sent on to a few places, some of them
//! to its next one); to count ends however close they are (one lost failure domain convicts what many callers ask); and
//! to reckon a conviction anew at each question (each later end of another request sets the first one free).

mod chain;
mod running;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::balance::Target;
pub use chain::{Chain, ToldEnd};
use chain::{End, Evidence, Record};
use running::Running;

/// Ends in a row after which a request is sent nowhere. Whoever runs beside a guilty one twice is as likely as not to be found
/// beside it; three times, and never to its end, is not chance.
const CONVICTED_AFTER: u32 = 3;
/// What convicts.
const CONVICTING: Evidence = Evidence::of_ends(CONVICTED_AFTER);
/// Ends that convict where backend servers end for other reasons as well, at the most: each more costs a group and all
/// that runs there.
const CONVICTED_AFTER_MOST: u32 = 5;
/// Backend servers that convict a request whatever else ran there, if it had not delivered at any: those who run beside
/// a guilty one run at one place at a time, and few of them are beside it four times without having begun.
const CONVICTED_AFTER_HOSTS: usize = 4;
/// How long an end is held against a request, in ms: callers try again within their deadlines, and sessions within a minute.
const SUSPECT_MS: Millis = 60_000;
/// How long a convicted request is refused before one trial, in ms. A server or weights that are mended are rolled
/// out in minutes, and each trial may cost one backend server.
const CONVICTED_MS: Millis = 300_000;
/// Requests that are remembered: the streams of a lost failure domain of 273 hosts, 15 each.
const KEPT: usize = 4_096;
/// How long news of a request are told to others, in ms: ten heartbeats, of which some may be lost.
const TOLD_MS: Millis = 1_000;
/// The time between two tellings of all that are convicted, in ms: a gateway that starts learns them before a caller
/// who was refused comes back.
const TELL_ALL_MS: Millis = 500;
/// Chains that one heartbeat tells at the most: some 4 KB, and far more than are guilty at once.
const TOLD_MOST: usize = 32;
/// How long before a chain began ends count that it does not explain, in ms: as long as most requests run.
const LOOK_BACK_MS: Millis = 10_000;
/// Other requests that are thought guilty at the same time, so that their ends do not speak for this one: with many, waves
/// of ends would explain each other.
const OTHERS_GUILTY: usize = 3;
/// Ends that are so close have one cause, such as a lost failure domain, in ms.
const SAME_MOMENT_MS: Millis = 500;
/// How long after an end all gateways know what ran there, in ms: the way of a heartbeat that is not to wait, and a moment
/// to find out that the backend server has ended.
pub const SETTLED_MS: Millis = 30;
/// The time between two looks at who is due, in ms: a lost failure domain brings thousands of ends at once, and each look
/// goes through all that are known.
const SETTLE_EACH_MS: Millis = 20;
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

/// Requests under which backend servers ended.
#[derive(Clone, Debug, Default)]
pub struct Crashers {
    records: HashMap<Fingerprint, Record>,
    running: Running,
    /// When it was last looked who is due.
    settled_at: Millis,
    /// When all convicted ones were last told.
    told_all_at: Millis,
    /// Ends of backend servers that are known, the oldest first.
    seen: VecDeque<(Millis, Target)>,
    /// Requests that were convicted since they were last taken.
    new_convictions: Vec<Fingerprint>,
}

impl Crashers {
    /// A backend server has ended under a run of a request, which had delivered for so long there; tells the ends in a
    /// row. Several may run at once, of callers who send the same. Rejected: to count only runs that began after the last
    /// end (where copies run side by side few would count, and more backend servers end before the request is known).
    pub fn host_ended(
        &mut self,
        now: Millis,
        request: Fingerprint,
        host: Target,
        delivered_ms: u64,
    ) -> u32 {
        self.settle(now);
        self.see(now, host);
        let record = self.records.entry(request).or_default();
        if record.ended(End::of_run(now, host, delivered_ms)) {
            record.tell_since = Some(now);
        }
        self.evidence(request).ends()
    }

    /// Another gateway told what it knows of a request; tells whether that is news here.
    pub fn told(&mut self, now: Millis, chain: Chain) -> bool {
        let held_ms = if chain.is_convicted { CONVICTED_MS } else { SUSPECT_MS };
        let young = |ago_ms: u64| ago_ms < held_ms;
        let ends = chain.ends.iter().filter(|end| young(end.ago_ms));
        let ends: Vec<End> = ends.map(|told| End::of_told(now, told)).collect();
        let survived = chain.survived_ago_ms.map(|ago_ms| now.saturating_sub(ago_ms));
        let tried = chain.tried_ago_ms.map(|ago_ms| now.saturating_sub(ago_ms));
        if ends.is_empty() && survived.is_none() && tried.is_none() {
            return false;
        }
        if !self.records.contains_key(&chain.request) {
            self.settle(now);
        }
        ends.iter().for_each(|end| self.see(end.at, end.host));
        let record = self.records.entry(chain.request).or_default();
        let mut is_news = survived.is_some_and(|at| record.survived(at));
        for end in ends {
            is_news |= record.ended(end);
        }
        is_news |= tried.is_some_and(|at| record.tried(at));
        let learns = chain.is_convicted && !record.is_convicted && !record.ends().is_empty();
        if learns {
            record.is_convicted = true;
            self.new_convictions.push(chain.request);
        }
        if is_news || learns {
            record.tell_since = Some(now);
        }
        is_news || learns
    }

    /// A request came to its end: it does not crash its backend server. Others are told, since they may know of ends.
    pub fn survived(&mut self, now: Millis, request: Fingerprint) {
        if let Some(record) = self.records.get_mut(&request)
            && record.survived(now)
        {
            record.tell_since = Some(now);
        }
    }

    /// How a request stands. One whose time is over is a strong suspect again: the next end convicts it anew.
    pub fn standing(&mut self, now: Millis, request: Fingerprint) -> Standing {
        let is_convicted = self.convict_if_due(now, request);
        let Some(record) = self.records.get_mut(&request) else { return Standing::Clear };
        if is_convicted {
            let until = record.last_end() + CONVICTED_MS;
            if now < until {
                return Standing::Convicted { until };
            }
            *record = Record::released(now, CONVICTED_AFTER - 1);
        }
        if now >= record.last_end() + SUSPECT_MS {
            return Standing::Clear;
        }
        match self.evidence(request).ends() {
            0 => Standing::Clear,
            ends => Standing::Suspect { ends },
        }
    }

    /// What speaks for and against a request's conviction; none if nothing is held against it.
    pub fn assess(&self, request: Fingerprint) -> Option<Assessment> {
        let record = self.records.get(&request)?;
        Some(Assessment {
            ends: self.evidence(request).ends(),
            needed: self.needed(record),
            shares_last_end: self.shares_last_end(request),
        })
    }

    /// Requests that were convicted since this was last asked: what runs of them is not to go on.
    pub fn take_new_convictions(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.new_convictions)
    }

    /// What other gateways are to be told: news, and now and then all that are convicted, for gateways
    /// that have started or were cut off. What matters most comes first.
    pub fn to_tell(&mut self, now: Millis) -> Vec<Chain> {
        self.settle(now);
        let all = now >= self.told_all_at + TELL_ALL_MS;
        if all {
            self.told_all_at = now;
        }
        let told = self.records.iter().filter(|(_, record)| {
            let is_news = record.tell_since.is_some_and(|since| now < since + TOLD_MS);
            let lasts = record.is_convicted && now < record.last_end() + CONVICTED_MS;
            is_news || all && lasts
        });
        let mut told: Vec<_> = told.collect();
        told.sort_by_key(|(request, record)| {
            Reverse((record.is_convicted, record.evidence(|_| false), record.last_end(), **request))
        });
        let chains = told.into_iter().filter_map(|(request, record)| record.tell(now, *request));
        chains.take(TOLD_MOST).collect()
    }

    /// A request that is held suspect begins to run at a place, at this gateway's word. Tells whether others are to leave
    /// their copies of it alone meanwhile.
    pub fn placed(
        &mut self,
        now: Millis,
        target: Target,
        request: Fingerprint,
        standing: Standing,
    ) -> bool {
        self.running.placed(target, request, standing);
        let record = self.records.get_mut(&request).filter(|record| record.runs_one_by_one());
        let Some(record) = record else { return false };
        record.tried(now);
        record.tell_since = Some(now);
        true
    }

    /// It runs there no more.
    pub fn left(&mut self, target: Target, request: Fingerprint, standing: Standing) {
        self.running.left(target, request, standing);
    }

    /// Whether a request has to wait until a run of the same one, at any gateway, has told more: copies of it side by side
    /// would each end a backend server. Whoever is asked by many at once comes to its end somewhere, and is no suspect.
    pub fn is_tried_already(&self, now: Millis, request: Fingerprint) -> bool {
        let Some(record) = self.records.get(&request) else { return false };
        record.runs_one_by_one()
            && (self.running.has_request(request) || record.is_being_tried(now))
    }

    /// Whether this gateway has suspects running at a place: others go elsewhere, so that the next end tells most.
    pub fn has_suspects(&self, target: Target) -> bool {
        self.running.has_any(target)
    }

    /// Whether it has strong ones there: they are kept apart also where every place has some suspect.
    pub fn has_strong_suspects(&self, target: Target) -> bool {
        self.running.has_strong(target)
    }

    /// Backend servers that ended under requests which are convicted, but for one.
    fn explained(&self, but: Fingerprint) -> HashSet<Target> {
        let guilty =
            self.records.iter().filter(|(other, known)| known.is_convicted && **other != but);
        guilty.flat_map(|(_, known)| known.hosts()).collect()
    }

    /// What speaks against a request, beside those that are convicted.
    fn evidence(&self, request: Fingerprint) -> Evidence {
        let Some(record) = self.records.get(&request) else { return Evidence::default() };
        let explained = self.explained(request);
        record.evidence(|host| explained.contains(&host))
    }

    /// Ends that convict a request: more where backend servers also end for reasons that no chain explains.
    fn needed(&self, record: &Record) -> u32 {
        (CONVICTED_AFTER + self.unexplained(record)).min(CONVICTED_AFTER_MOST)
    }

    /// Moments since shortly before a chain began at which backend servers ended for no reason that a chain explains.
    fn unexplained(&self, record: &Record) -> u32 {
        let is_long = |other: &&Record| other.evidence(|_| false) >= CONVICTING;
        let mut others: Vec<&Record> = self.records.values().filter(is_long).collect();
        others.sort_by_key(|other| (Reverse(other.evidence(|_| false)), other.first_end()));
        let chains = others.into_iter().take(OTHERS_GUILTY).chain([record]);
        let explained: HashSet<Target> = chains.flat_map(Record::hosts).collect();
        let since = record.first_end().saturating_sub(LOOK_BACK_MS);
        let ends = self.seen.iter().filter(|(at, host)| *at >= since && !explained.contains(host));
        let mut moments = 0;
        let mut last: Option<Millis> = None;
        for (at, _) in ends {
            moments += u32::from(last.is_none_or(|last| *at >= last + SAME_MOMENT_MS));
            last = Some(*at);
        }
        moments
    }

    /// Whether the last end may be another request's, with a chain at least as long: the next end tells.
    fn shares_last_end(&self, request: Fingerprint) -> bool {
        let Some(last) = self.records.get(&request).and_then(|record| record.hosts().last()) else {
            return false;
        };
        let evidence = self.evidence(request);
        self.records.iter().any(|(other, theirs)| {
            *other != request
                && !theirs.is_convicted
                && theirs.hosts().any(|host| host == last)
                && self.evidence(*other) >= evidence
        })
    }

    /// Whether a request's ends convict it now. That lasts once those that ran beside it have been heard of as well, so that
    /// it does not hang on who is asked first.
    fn convict_if_due(&mut self, now: Millis, request: Fingerprint) -> bool {
        let Some(record) = self.records.get(&request) else { return false };
        if record.is_convicted {
            return true;
        }
        let last_end = record.last_end();
        if record.evidence(|_| false) < CONVICTING {
            return false;
        }
        let evidence = self.evidence(request);
        // Whoever runs beside a guilty one runs at one place at a time.
        let many_at_once = record.ended_hosts() >= CONVICTED_AFTER_HOSTS;
        let is_due = many_at_once
            || evidence >= Evidence::of_ends(CONVICTED_AFTER_MOST)
            || evidence >= Evidence::of_ends(self.needed(record)) && !self.shares_last_end(request);
        if is_due
            && now >= last_end + SETTLED_MS
            && let Some(record) = self.records.get_mut(&request)
        {
            record.is_convicted = true;
            record.tell_since = Some(now);
            self.new_convictions.push(request);
        }
        is_due
    }

    /// Convicts who is due, the longest chains first: what they explain says less against the others. Forgets what is
    /// held against nobody any more.
    fn settle(&mut self, now: Millis) {
        if now < self.settled_at + SETTLE_EACH_MS {
            return;
        }
        self.settled_at = now;
        self.forget(now);
        let long = self.records.iter().filter(|(_, record)| !record.is_convicted);
        let long = long.map(|(request, record)| (Reverse(record.evidence(|_| false)), *request));
        let mut long: Vec<_> = long.filter(|(evidence, _)| evidence.0 >= CONVICTING).collect();
        long.sort_unstable();
        for (_, request) in long {
            self.convict_if_due(now, request);
        }
    }

    /// Notes an end of a backend server, in the order of their times.
    fn see(&mut self, at: Millis, host: Target) {
        let is_known = |(known_at, known): &(Millis, Target)| {
            *known == host && at.abs_diff(*known_at) < SAME_END_MS
        };
        if self.seen.iter().any(is_known) {
            return;
        }
        let place = self.seen.partition_point(|(known_at, _)| *known_at <= at);
        self.seen.insert(place, (at, host));
    }

    /// Forgets what is held against nobody any more, and the oldest ends if there are too many.
    fn forget(&mut self, now: Millis) {
        while self.seen.front().is_some_and(|(at, _)| now > *at + SUSPECT_MS) {
            self.seen.pop_front();
        }
        self.records.retain(|_, record| {
            let held_ms = if record.is_convicted { CONVICTED_MS } else { SUSPECT_MS };
            now < record.last_news() + held_ms
        });
        let surplus = self.records.len().saturating_sub(KEPT);
        if surplus == 0 {
            return;
        }
        let mut weakest: Vec<_> = self.records.iter().collect();
        weakest.sort_by_key(|(_, record)| {
            (record.is_convicted, record.evidence(|_| false), record.last_news())
        });
        let weakest: Vec<Fingerprint> =
            weakest.into_iter().take(surplus).map(|(request, _)| *request).collect();
        for request in weakest {
            self.records.remove(&request);
        }
    }
}
