//! Orders to hosts to load a second model to their memory.

use super::group::{Group, Phase};
use super::order::{Command, Order};
use super::{Planner, stage};
use crate::Millis;
use crate::backend_servers::BackendServerId;

impl Planner {
    /// Orders hosts to stage models, with the loads that the joins of this tick left over.
    pub(super) fn stage(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.has_outstanding_joins() || self.is_starting() {
            return;
        }
        let most = self.engine.loads_at_once as usize * self.config.staging_percent / 100;
        // The cost of one more load to the others is small compared with requests that are refused
        // until the load ends.
        let only_urgent = self.traffic && self.loading() >= most;
        if only_urgent && !self.any_refuses() {
            return;
        }
        for staging in stage::stage(now, self) {
            if !self.load_budget.allows_load() {
                return;
            }
            if only_urgent && !staging.urgent {
                continue;
            }
            let Some(host) = self.hosts.get_mut(&staging.host) else { continue };
            if host.may_order(now) {
                self.load_budget.begin_load();
                commands.push(host.order(now, Order::Stage { model: staging.model }));
            }
        }
    }

    /// Whether members of new groups have not accepted the order to join yet.
    pub(super) fn has_outstanding_joins(&self) -> bool {
        self.groups.values().any(|group| {
            let unjoined = |id: &BackendServerId| {
                self.hosts.get(id).is_some_and(|host| host.joined != Some(group.epoch))
            };
            group.phase == Phase::Joining && group.members.iter().any(unjoined)
        })
    }

    /// Whether hosts still wait for their first model before there is traffic. Hosts are listed one
    /// after the other, and models that others stage in the meantime delay their loads: 25 of 57
    /// hosts were still loading when traffic began, and 0.50 instead of 0.82 of the requests were
    /// served.
    fn is_starting(&self) -> bool {
        let fit = || self.hosts.values().filter(|host| host.is_eligible());
        let joins = |group: &Group| group.phase == Phase::Joining;
        !self.traffic && (fit().any(|host| !host.held_any()) || self.groups.values().any(joins))
    }
}
