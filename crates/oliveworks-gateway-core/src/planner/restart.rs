//! Hosts that restart under their old id.
//!
//! A restarted host is a member of no group and knows no orders, epochs or fences, while everything
//! that the leader knows about the host dates from before the restart. The host's record may be the
//! first sign of the restart: an outage that is shorter than a heartbeat is not noticed. A group with the host as a member is broken at once. A group of which it was the head has
//! certainly stopped serving. Rejected: waiting until gateways observe no progress in the group,
//! because requests in the group hang until then, and a head that is alive and in no group counted
//! as open for good.

use super::Planner;
use super::ending::EndReason;
use super::group::{Group, Phase};
use super::reports::record_arrival;
use crate::Millis;
use crate::backend_servers::BackendServer;

impl Planner {
    /// Handles the restart of a host. `server` is the state of its new incarnation.
    pub(super) fn handle_restart(&mut self, now: Millis, server: &BackendServer) {
        let Some(host) = self.hosts.get_mut(&server.id) else { return };
        host.reset(now, server);
        let group = host.group;
        record_arrival(&mut self.arrival_bursts, now, &server.domain);
        let group = group.and_then(|epoch| self.groups.get(&epoch)).cloned();
        if let Some(group) = group {
            self.handle_member_restart(now, &group, server);
        }
    }

    fn handle_member_restart(&mut self, now: Millis, group: &Group, server: &BackendServer) {
        let opened = match group.phase {
            // An earlier leader may have ordered the head to open.
            Phase::Joining => group.adopted,
            Phase::Spare => false,
            Phase::Opening | Phase::Open { .. } | Phase::Finishing | Phase::Breaking => true,
        };
        match opened {
            false => self.dissolve(now, group.epoch, EndReason::StartedAgain),
            true if group.members[0] == server.id => {
                self.end_group(now, group, EndReason::StartedAgain);
            }
            true => self.set_phase(now, group.epoch, Phase::Breaking),
        }
    }
}
