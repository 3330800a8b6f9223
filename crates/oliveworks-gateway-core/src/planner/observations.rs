//! Observations of hosts from sources other than their answers to this leader.

use super::{Planner, ProbeFailure};
use crate::Millis;
use crate::backend_servers::Born;

impl Planner {
    /// Handles a host's statement in an answer that it is leaving, made in the incarnation that
    /// started at `born`.
    pub fn mark_leaving(&mut self, id: &str, born: Option<Born>) {
        if let Some(host) = self.hosts.get_mut(id).filter(|host| host.born() <= born) {
            host.server.draining = true;
        }
    }

    /// Handles a host that is no longer listed, because it is leaving or dead.
    pub fn mark_unlisted(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.unlisted = true;
        }
    }

    /// Handles the observation that another backend server answers at a host's address.
    pub fn mark_replaced(&mut self, now: Millis, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.replaced = true;
            host.record_probe_failure(now, ProbeFailure::Refused);
        }
    }

    /// Requests a report from every host, because what is known of them may be out of date.
    pub fn request_reports(&mut self) {
        self.hosts.values_mut().for_each(|host| host.wants_probe = true);
    }

    /// Handles the observation of gateways that a group makes no progress.
    pub fn suspect_group(&mut self, epoch: u64) {
        let Some(group) = self.groups.get(&epoch) else { return };
        for member in &group.members {
            if let Some(host) = self.hosts.get_mut(member) {
                host.suspect();
            }
        }
    }
}
