//! Ends of groups. A group that has certainly stopped serving is *dissolved*: its members are free.
//! Any other group is *abandoned*: each member is ordered to leave by itself.
//!
//! Each end is reported with its reason and the last report of the head. Without these lines, the
//! log did not explain a case in which two hosts joined a new group while the head of their old
//! group still served.

use super::Planner;
use super::group::Group;
use crate::Millis;
use crate::backend_servers::Membership;

/// Maximum number of ended groups that are remembered.
const ENDED_MAX: usize = 4_096;

/// Reason for the end of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The group ended before its head was ordered to open.
    NeverOpened,
    /// The hosts of the group form another group.
    HostsTaken,
    /// The head accepted the order to leave.
    HeadLeft,
    /// Another backend server answers at the head's address.
    HeadReplaced,
    /// The head reports that it is not a member of the group.
    HeadOutside,
    /// The head accepted the order to close and reported afterwards that it is ready.
    HeadClosed,
    /// The head restarted, or any member did before the group was opened.
    StartedAgain,
    /// The head does not answer, or is no longer known.
    HeadSilent,
}

/// The end of a group, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// Name, model, phase and members of the group.
    pub group: String,
    /// Reason for the end.
    pub reason: EndReason,
    /// Whether the members are free. Otherwise each member is ordered to leave by itself.
    pub is_certain: bool,
    /// Last reported membership of the head.
    pub head_said: Option<Membership>,
    /// Age of the head's last report, in ms.
    pub head_said_ms_ago: u64,
}

impl Planner {
    /// Returns the groups that ended since the last call.
    pub fn take_endings(&mut self) -> Vec<Ending> {
        std::mem::take(&mut self.endings)
    }

    /// Removes a group that has certainly stopped serving, and frees its members.
    pub(super) fn dissolve(&mut self, now: Millis, epoch: u64, reason: EndReason) {
        self.record_end(now, epoch, reason, true);
        self.ended.insert(epoch);
        while self.ended.len() > ENDED_MAX {
            self.ended.pop_first();
        }
        self.free_members(epoch);
    }

    /// Ends a group whose head has stopped serving. If an order of the group went unanswered, that
    /// order may still be carried out. In this case each member is ordered to leave by itself.
    pub(super) fn end_group(&mut self, now: Millis, group: &Group, reason: EndReason) {
        let mut hosts = group.members.iter().filter_map(|id| self.hosts.get(id));
        match hosts.any(|host| host.unanswered == Some(group.epoch)) {
            true => self.abandon(now, group.epoch, reason),
            false => self.dissolve(now, group.epoch, reason),
        }
    }

    /// Removes a group whose head may still serve. Its members are freed one by one, see
    /// `release_stray_members`.
    pub(super) fn abandon(&mut self, now: Millis, epoch: u64, reason: EndReason) {
        self.record_end(now, epoch, reason, false);
        self.free_members(epoch);
    }

    fn free_members(&mut self, epoch: u64) {
        let Some(group) = self.groups.remove(&epoch) else { return };
        for member in &group.members {
            if let Some(host) = self.hosts.get_mut(member) {
                host.group = None;
            }
        }
    }

    fn record_end(&mut self, now: Millis, epoch: u64, reason: EndReason, is_certain: bool) {
        let Some(group) = self.groups.get(&epoch) else { return };
        let head = self.hosts.get(&group.members[0]);
        self.endings.push(Ending {
            group: group.describe(),
            reason,
            is_certain,
            head_said: head.and_then(|head| head.holding.group.clone()),
            head_said_ms_ago: head.map_or(0, |head| now.saturating_sub(head.reported_at)),
        });
    }
}
