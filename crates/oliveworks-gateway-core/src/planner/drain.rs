//! What becomes of the hosts and groups of a drained failure domain.
//!
//! For the load of the whole pool on the domains that are left: their quotas are worked out at once as if
//! the drained hosts did not exist, so that hosts elsewhere take over what is wanted in the time of an
//! order where they keep the model in memory. Drained hosts form no groups and load nothing, as the
//! operators may switch them off at any moment. Whole groups stay, unlisted: they serve again with the
//! first table after the drain. Rejected: ending them (72 hosts that join anew when the drain ends are
//! 72 orders and seconds without a third of the pool). A group that loses a member there is taken apart
//! as anywhere, since its head may still work on what it took.

use std::collections::BTreeSet;

use super::Planner;
use super::group::Group;

impl Planner {
    /// Takes over which failure domains are drained.
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

    /// Whether a group that is being formed is given up for a drain: a member was not told to join yet.
    /// One whose members all were is finished, so that it can serve when the drain ends.
    pub(super) fn is_stopped_by_drain(&self, group: &Group) -> bool {
        let unjoined = |id| self.hosts.get(id).is_none_or(|host| host.joined != Some(group.epoch));
        self.is_drained(group) && group.members.iter().any(unjoined)
    }
}
