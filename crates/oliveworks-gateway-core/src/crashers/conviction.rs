//! Evaluation of the evidence: which features are convicted, and which requests are rejected for
//! them.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use super::{
    CONVICTED_AFTER, CONVICTED_AFTER_HOSTS, CONVICTED_AFTER_MAX, CONVICTED_MS, CONVICTING_EVIDENCE,
    Crashers, Evidence, Feature, Features, KNOWN_SOUND_MS, LOOK_BACK_MS, News, OTHER_CRASHERS_MAX,
    Record, SAME_MOMENT_MS, SETTLE_INTERVAL_MS, SETTLED_MS, SUSPECT_MS,
};
use crate::Millis;
use crate::balance::Target;

/// Features with the same evidence, which are evaluated once: most of the parts of a prompt with
/// thousands of parts were at the same ends.
pub(super) struct Alike {
    /// One of the features.
    pub first: Feature,
    /// All of them.
    pub all: Vec<Feature>,
}

impl Crashers {
    /// Groups the features that have a record by their evidence.
    pub(super) fn group_alike(&self, features: impl Iterator<Item = Feature>) -> Vec<Alike> {
        let mut groups: Vec<Alike> = Vec::new();
        let mut known: HashMap<(u64, bool, bool), usize> = HashMap::new();
        for feature in features {
            let Some(record) = self.records.get(&feature) else { continue };
            let kind = (record.history(), feature.is_shared(), feature.is_part());
            let index = *known.entry(kind).or_insert(groups.len());
            match groups.get_mut(index) {
                Some(group) => group.all.push(feature),
                None => groups.push(Alike { first: feature, all: vec![feature] }),
            }
        }
        groups
    }

    /// Returns whether a shared feature completed a run a short time ago. Such a feature is at many
    /// ends because many requests have it, and holding these requests back would cost more than the
    /// backend servers that still end.
    fn is_known_sound(&self, now: Millis, feature: Feature, record: &Record) -> bool {
        let last = record.last_survival();
        feature.is_shared() && last.is_some_and(|at| now < at + KNOWN_SOUND_MS)
    }

    /// Returns the features that may crash backend servers, with their records.
    fn suspects(&self, now: Millis) -> impl Iterator<Item = (Feature, &Record)> {
        let all = self.records.iter().map(|(feature, record)| (*feature, record));
        all.filter(move |(feature, record)| !self.is_known_sound(now, *feature, record))
    }

    /// Returns the backend servers that ended under convicted features other than `except`. A
    /// feature with less evidence explains none of them, so that a wrong conviction does not protect
    /// a crasher; neither does a feature with the same ends, because either one may be the cause.
    fn explained(&self, except: Feature, record: &Record) -> HashSet<Target> {
        let evidence = record.evidence(|_| false);
        let convicted = self.records.iter().filter(|(_, other)| other.is_convicted);
        let explaining = convicted.filter(|(feature, other)| {
            let has_same_ends = other.has_all_hosts_of(record) && record.has_all_hosts_of(other);
            **feature != except && other.evidence(|_| false) >= evidence && !has_same_ends
        });
        explaining.flat_map(|(_, other)| other.hosts()).collect()
    }

    /// Returns the evidence against a feature, with less weight for ends that convicted features
    /// explain.
    fn evidence(&self, feature: Feature, record: &Record) -> Evidence {
        let explained = self.explained(feature, record);
        record.evidence(|host| explained.contains(&host))
    }

    /// Returns the evidence for which requests with a feature are kept apart.
    pub(super) fn suspicion(&self, now: Millis, feature: Feature) -> Evidence {
        let Some(record) = self.records.get(&feature) else { return Evidence::default() };
        let is_past = now >= record.last_end() + SUSPECT_MS;
        if is_past || self.is_known_sound(now, feature, record) {
            return Evidence::default();
        }
        self.evidence(feature, record)
    }

    /// Returns whether requests with a feature must not run side by side.
    pub(super) fn runs_one_by_one(&self, now: Millis, feature: Feature) -> bool {
        let Some(record) = self.records.get(&feature) else { return false };
        record.runs_one_by_one() && !self.is_known_sound(now, feature, record)
    }

    /// Returns the number of ends required to convict a feature. More are required if backend
    /// servers also end for reasons that no chain explains.
    pub(super) fn needed(&self, now: Millis, feature: Feature, record: &Record) -> u32 {
        (CONVICTED_AFTER + self.unexplained(now, feature, record)).min(CONVICTED_AFTER_MAX)
    }

    /// Returns the number of moments, since shortly before the start of a chain, at which backend
    /// servers ended for reasons that no chain explains.
    fn unexplained(&self, now: Millis, feature: Feature, record: &Record) -> u32 {
        let others = self.suspects(now).filter(|(other, _)| *other != feature);
        let mut others: Vec<&Record> = others.map(|(_, other)| other).collect();
        others.retain(|other| other.evidence(|_| false) >= CONVICTING_EVIDENCE);
        others.sort_by_cached_key(|other| (Reverse(other.evidence(|_| false)), other.first_end()));
        let mut explained: HashSet<Target> = record.hosts().collect();
        let mut crashers = 0;
        for other in others {
            let explains_more = other.hosts().any(|host| !explained.contains(&host));
            if explains_more && crashers < OTHER_CRASHERS_MAX {
                explained.extend(other.hosts());
                crashers += 1;
            }
        }
        let since = record.first_end().saturating_sub(LOOK_BACK_MS);
        let ends =
            self.known_ends.iter().filter(|(at, host)| *at >= since && !explained.contains(host));
        let mut moments = 0;
        let mut last: Option<Millis> = None;
        for (at, _) in ends {
            moments += u32::from(last.is_none_or(|last| *at >= last + SAME_MOMENT_MS));
            last = Some(*at);
        }
        moments
    }

    /// Returns whether the last end may belong to another feature whose chain is at least as long.
    /// The next end then decides. Features that explain all ends of this one do not count: they are
    /// convicted together with it.
    pub(super) fn shares_last_end(&self, now: Millis, feature: Feature) -> bool {
        let Some(record) = self.records.get(&feature) else { return false };
        let Some(last) = record.hosts().last() else { return false };
        let evidence = self.evidence(feature, record);
        self.suspects(now).any(|(other, other_record)| {
            other != feature
                && !other_record.is_convicted
                && !other_record.has_all_hosts_of(record)
                && other_record.hosts().any(|host| host == last)
                && self.evidence(other, other_record) >= evidence
        })
    }

    /// Convicts features if the evidence suffices. The conviction is recorded once the requests that
    /// ran beside this one are known as well, so the result does not depend on which feature is
    /// queried first. It lasts until it expires after `CONVICTED_MS` or a run of a request with the
    /// feature completes.
    pub(super) fn convict_if_due(&mut self, now: Millis, alike: &Alike) {
        let Some(record) = self.records.get(&alike.first) else { return };
        if record.is_convicted || !self.is_due(now, alike.first, record) {
            return;
        }
        if now < record.last_end() + SETTLED_MS {
            return;
        }
        for feature in &alike.all {
            if let Some(record) = self.records.get_mut(feature) {
                record.is_convicted = true;
                record.must_report(now, News::Own);
                self.new_convictions.push(*feature);
            }
        }
    }

    /// Returns whether the evidence suffices for a conviction of a feature.
    fn is_due(&self, now: Millis, feature: Feature, record: &Record) -> bool {
        if record.evidence(|_| false) < CONVICTING_EVIDENCE
            || self.is_known_sound(now, feature, record)
        {
            return false;
        }
        let evidence = self.evidence(feature, record);
        self.is_overwhelming(feature, record)
            || evidence >= Evidence::of_ends(self.needed(now, feature, record))
                && !self.shares_last_end(now, feature)
    }

    /// Returns whether the evidence convicts a feature regardless of other explanations.
    fn is_overwhelming(&self, feature: Feature, record: &Record) -> bool {
        // A request that merely runs beside a crasher rarely reaches this number: it runs at one
        // target at a time and has often begun to deliver when the crasher ends that target.
        // Requests with a shared feature run at many targets.
        let ended_many_hosts =
            !feature.is_shared() && record.ended_hosts() >= CONVICTED_AFTER_HOSTS;
        let max = Evidence::of_ends(CONVICTED_AFTER_MAX);
        ended_many_hosts || self.evidence(feature, record) >= max
    }

    /// Ends an expired conviction.
    pub(super) fn release_if_expired(&mut self, now: Millis, feature: Feature) {
        let Some(record) = self.records.get_mut(&feature) else { return };
        if record.is_convicted && now >= record.last_end() + CONVICTED_MS {
            *record = Record::released(now, CONVICTED_AFTER - 1);
        }
    }

    /// Returns the end of the conviction for which a request is not sent, if any. Features that are
    /// always at the same ends are convicted together, so a request that has only some of them is
    /// not rejected.
    pub(super) fn convicted_until(
        &self,
        now: Millis,
        request: &Features,
        groups: &[Alike],
    ) -> Option<Millis> {
        let convicted = groups.iter().filter_map(|alike| {
            let feature = alike.first;
            let record = self.records.get(&feature)?;
            let is_convicted = record.is_convicted || self.is_due(now, feature, record);
            // No request has the contents or bodies of two others, so none has all causes if one of
            // them is always at the same ends.
            let is_certain = !feature.is_part() && self.is_overwhelming(feature, record);
            (is_convicted && (is_certain || self.has_all_causes(now, request, record)))
                .then(|| record.last_end() + CONVICTED_MS)
        });
        convicted.max()
    }

    /// Returns whether a request has every feature that explains all ends of a convicted one.
    fn has_all_causes(&self, now: Millis, request: &Features, convicted: &Record) -> bool {
        let evidence = convicted.evidence(|_| false);
        let mut causes = self.suspects(now).filter(|(_, record)| {
            record.evidence(|_| false) >= evidence && record.has_all_hosts_of(convicted)
        });
        causes.all(|(feature, _)| request.has(feature))
    }

    /// Convicts all features with sufficient evidence, longest chains first, because the ends that
    /// they explain have less weight against the others. Drops expired entries.
    pub(super) fn settle(&mut self, now: Millis) {
        if now < self.settled_at + SETTLE_INTERVAL_MS {
            return;
        }
        self.settled_at = now;
        self.forget(now);
        let long = self.suspects(now).filter(|(_, record)| !record.is_convicted);
        let long = long.map(|(feature, record)| (Reverse(record.evidence(|_| false)), feature));
        let mut long: Vec<_> =
            long.filter(|(evidence, _)| evidence.0 >= CONVICTING_EVIDENCE).collect();
        long.sort_unstable();
        let groups = self.group_alike(long.into_iter().map(|(_, feature)| feature));
        for alike in &groups {
            self.convict_if_due(now, alike);
        }
    }
}
