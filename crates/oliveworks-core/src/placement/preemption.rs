//! Groups that are drained to make room for others.

use std::collections::{BTreeMap, BTreeSet};

use super::{Draft, priority};
use crate::id::{DomainId, Name};
use crate::pool::{Group, GroupState};
use crate::template::SlotId;

impl Draft<'_> {
    /// Preempts one group of lower priority of the same partner whose hosts would make room.
    pub(super) fn reclaim(&mut self, slot: &SlotId, domain: Option<DomainId>) -> bool {
        if !self.config.reclaim {
            return false;
        }
        let pool = self.pool;
        let lower = |g: &&Group| {
            let same = g.slot.template.partner == slot.template.partner;
            same && priority(pool, &g.slot) < priority(pool, slot)
        };
        self.preempt_one(slot, domain, lower)
    }

    /// Preempts one group of a partner above its agreed share in favor of a partner within its
    /// share.
    pub(super) fn preempt_over_share(
        &mut self,
        slot: &SlotId,
        usage: &BTreeMap<Name, usize>,
    ) -> bool {
        let total = self.fleet.hosts().filter(|(_, v)| v.is_usable()).count();
        let over_share: BTreeSet<Name> = usage
            .iter()
            .filter(|(name, used)| {
                let agreed = self.pool.share(name);
                agreed.is_some_and(|share| **used * 100 > total * usize::from(share))
            })
            .map(|(name, _)| name.clone())
            .collect();
        let requester = &slot.template.partner;
        let needed =
            self.pool.template(&slot.template).map_or(0, |p| usize::from(p.template.hosts));
        let use_with_group = usage.get(requester).copied().unwrap_or(0) + needed;
        let within_share = self
            .pool
            .share(requester)
            .is_some_and(|s| use_with_group * 100 <= total * usize::from(s));
        let foreign = |g: &&Group| {
            g.slot.template.partner != *requester && over_share.contains(&g.slot.template.partner)
        };
        within_share && self.preempt_one(slot, None, foreign)
    }

    /// Drains the group of lowest priority among `candidates` that, together with the free hosts of
    /// its domain, makes room for `slot`. Returns true also if such a group is already draining.
    fn preempt_one(
        &mut self,
        slot: &SlotId,
        domain: Option<DomainId>,
        candidates: impl Fn(&&Group) -> bool,
    ) -> bool {
        let Some(published) = self.pool.template(&slot.template) else {
            return false;
        };
        let needed = match domain {
            Some(_) => 1,
            None => usize::from(published.template.hosts),
        };
        let same_kind = |g: &&Group| {
            let kind = self.pool.template(&g.slot.template).map(|p| p.template.kind);
            kind == Some(published.template.kind)
        };
        let room = |g: &&Group| {
            let free = self.free.get(&g.domain).map_or(0, BTreeSet::len);
            domain.is_none_or(|d| d == g.domain) && free + g.ranked.len() >= needed
        };
        let mut fitting: Vec<&Group> =
            self.pool.groups().filter(&candidates).filter(same_kind).filter(room).collect();
        if fitting.iter().any(|g| g.state == GroupState::Draining) {
            return true;
        }
        fitting.retain(|g| !self.handled.contains(&g.epoch));
        let least = fitting
            .iter()
            .min_by_key(|g| (priority(self.pool, &g.slot), std::cmp::Reverse(g.epoch)));
        let Some(epoch) = least.map(|g| g.epoch) else {
            return false;
        };
        self.drain(epoch);
        true
    }
}
