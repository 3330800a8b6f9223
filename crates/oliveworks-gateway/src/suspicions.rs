//! Replica groups that are stalled or slow, as observed by gateways.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::group_id::GroupId;
use oliveworks_gateway_core::table::TableGroup;

use crate::state::Gateway;

/// Longest age of the last data from a group, in ms, for which another gateway's suspicion is
/// ignored.
const RECENT_DATA_MS: u64 = 150;

impl Gateway {
    /// Returns the groups that this gateway observes to be much slower than others of their model.
    pub fn slow_groups(&self) -> Vec<GroupId> {
        let Some(lookup) = self.lookup() else { return Vec::new() };
        let now = self.now();
        let table = self.table.borrow();
        let speeds = self.speeds.borrow();
        let mut slow = Vec::new();
        for service in &lookup.configuration.services {
            let Some(engine) = &service.engine else { continue };
            for model in &engine.models {
                let of_model = |g: &&TableGroup| g.service == service.name && g.model == model.name;
                let groups: Vec<&TableGroup> = table.groups.iter().filter(of_model).collect();
                let targets: Vec<Target> =
                    groups.iter().map(|group| Target::of(&group.members[0])).collect();
                let longest_ms = engine.longest_pass_ms(model).ceil() as u64;
                let found = speeds.slow(now, &targets, longest_ms);
                let is_slow = |group: &&&TableGroup| found.contains(&Target::of(&group.members[0]));
                slow.extend(groups.iter().filter(is_slow).map(|group| group.id()));
            }
        }
        slow
    }

    /// Processes the observation that a group is slow.
    pub fn process_slow_group(&self, group: GroupId) {
        let now = self.now();
        if let Some((planner, epoch)) = self.planners.borrow_mut().of_group(group) {
            planner.probe_slow_group(now, epoch);
        }
    }

    /// Reports a stalled group to the other gateways and the leader.
    pub fn report_stalled_group(&self, group: GroupId) {
        let now = self.now();
        if self.suspects.borrow_mut().insert(group, now).is_none() {
            self.send_heartbeat_now();
        }
        self.suspect_group(group);
    }

    fn suspect_group(&self, group: GroupId) {
        if let Some((planner, epoch)) = self.planners.borrow_mut().of_group(group) {
            planner.suspect_group(epoch);
        }
    }

    /// Processes another gateway's suspicion of a stalled group: this gateway avoids the group too,
    /// unless it has just received data from there.
    pub fn process_suspicion(&self, suspected: GroupId) {
        let now = self.now();
        let table = self.table.borrow();
        let head = table.groups.iter().find(|group| group.id() == suspected);
        if let Some(group) = head {
            let target = Target::of(&group.members[0]);
            let last = self.balance.borrow().last_progress(target);
            let silent = last.is_none_or(|at| now > at + RECENT_DATA_MS);
            if silent && !self.suspensions.borrow().is_suspended(now, target) {
                self.suspensions.borrow_mut().suspend(now, target);
                self.record_unreachable(&group.members[0]);
            }
        }
        drop(table);
        self.suspect_group(suspected);
    }
}
