//! Hosts and groups of a drained failure domain.
//!
//! A drain puts the load of the whole pool on the remaining domains. Their quotas are recomputed at
//! once as if the drained hosts did not exist, so that hosts in other domains that have the model
//! in memory replace the lost groups within the time of an order. Drained hosts form no groups and
//! load nothing, because operators may switch them off at any moment. Complete groups stay formed
//! but are left out of the routing table. Such groups serve again with the first table after the
//! drain. Rejected: ending these groups, because 72 hosts that join again when the drain ends cost
//! 72 orders and seconds without a third of the pool. A group that loses a member in a drained
//! failure domain is dissolved as in any other, since its head may still process the requests that
//! it accepted.

use std::collections::BTreeSet;

use super::Planner;
use super::group::Group;

impl Planner {
    /// Sets the drained failure domains.
    pub fn set_drained(&mut self, failure_domains: &BTreeSet<String>) {
        for host in self.hosts.values_mut() {
            host.drained = failure_domains.contains(&host.server.failure_domain);
        }
    }

    /// Whether a member of a group is drained.
    pub(super) fn is_drained(&self, group: &Group) -> bool {
        let mut members = group.members.iter().filter_map(|id| self.hosts.get(id));
        members.any(|host| host.drained)
    }

    /// Whether the forming of a group is stopped by a drain: a member has not accepted the order to
    /// join yet. A group of which all members have accepted that order is completed, so that the
    /// group can serve when the drain ends.
    pub(super) fn is_stopped_by_drain(&self, group: &Group) -> bool {
        let unjoined = |id| self.hosts.get(id).is_none_or(|host| host.joined != Some(group.epoch));
        self.is_drained(group) && group.members.iter().any(unjoined)
    }
}
