//! Order of the partners whose missing groups are formed.

use std::collections::BTreeMap;

use super::Draft;
use crate::id::Name;
use crate::pool::Published;
use crate::template::SlotId;

impl Draft<'_> {
    pub(super) fn usage(&self) -> BTreeMap<Name, usize> {
        let mut usage = BTreeMap::new();
        for group in self.pool.groups() {
            *usage.entry(group.slot.template.partner.clone()).or_default() += group.ranked.len();
        }
        usage
    }

    /// Returns the partner with queued work that has the lowest use relative to its share.
    pub(super) fn partner_with_lowest_use(
        &self,
        queues: &BTreeMap<Name, Vec<(SlotId, &Published)>>,
        usage: &BTreeMap<Name, usize>,
    ) -> Option<Name> {
        let waiting = queues.iter().filter(|(_, q)| !q.is_empty());
        let relative_use = |name: &Name| {
            let used = usage.get(name).copied().unwrap_or(0) * 1000;
            used / usize::from(self.share(name)).max(1)
        };
        waiting.map(|(name, _)| name).min_by_key(|name| relative_use(name)).cloned()
    }

    /// Returns a partner's agreed share in percent, or an equal share while none is agreed.
    fn share(&self, partner: &Name) -> u8 {
        let equal = 100 / self.pool.partners().len().max(1) as u8;
        self.pool.share(partner).unwrap_or(equal)
    }
}
