//! The number of groups that each domain should hold, and the largest number of hosts that it had.

use std::collections::BTreeMap;

use super::{Planner, domain};
use crate::{Millis, quota};

impl Planner {
    /// Recomputes the number of groups that each domain should hold, if its inputs have changed.
    pub(super) fn update_quotas(&mut self, now: Millis) {
        let capacities = domain::capacities(now, self);
        if capacities != self.capacities {
            self.quotas = quota::quotas_spread_over_failure_domains(
                &self.engine.models,
                &capacities,
                &self.spread(),
            );
            self.quotas_changed_at = now;
            self.capacities = capacities;
        }
        self.adjust_shares(now);
        self.record_full_strength_quotas(now);
    }

    /// Records the quotas of each domain while it has its largest number of hosts.
    fn record_full_strength_quotas(&mut self, now: Millis) {
        for (domain, groups) in &self.quotas {
            let hosts =
                self.capacities.get(domain).map_or(0, |capacity| capacity.hosts + capacity.spares);
            let most = self.most_hosts.get(domain).copied().unwrap_or_default();
            // The quotas of a returning domain are planned as if it were complete.
            let returns =
                self.arrival_bursts.get(domain).is_some_and(|burst| burst.is_returning(now));
            if hosts >= most && !returns && self.quotas_at_full_strength.get(domain) != Some(groups)
            {
                self.quotas_at_full_strength.insert(domain.clone(), groups.clone());
            }
        }
    }

    /// Returns the largest number of hosts that each domain ever had. The spares of a domain shrink
    /// by the hosts that it has lost since.
    pub fn most_hosts(&self) -> &BTreeMap<String, usize> {
        &self.most_hosts
    }

    /// Merges the largest numbers of hosts that an earlier leader recorded.
    pub fn adopt_most_hosts(&mut self, most: &BTreeMap<String, usize>) {
        for (domain, count) in most {
            let held = self.most_hosts.entry(domain.clone()).or_default();
            *held = (*held).max(*count);
        }
    }

    pub(super) fn update_most_hosts(&mut self) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.is_available()) {
            *counts.entry(&host.server.domain).or_default() += 1;
        }
        for (domain, count) in counts {
            let most = self.most_hosts.entry(domain.to_owned()).or_default();
            *most = (*most).max(count);
        }
    }
}
