//! Advances each group through its phases.

use super::ending::EndReason;
use super::group::{Group, Phase};
use super::host::{self, Host};
use super::{Command, Order, Planner};
use crate::Millis;

/// Time by which a head may open later than the configured time, in ms.
const FORM_MARGIN_MS: u64 = 100;
/// Maximum number of phases that a group may pass in one tick. A repair then takes up to three
/// ticks less than with one phase per tick.
const STEPS_MAX: usize = 4;

impl Planner {
    /// Advances a group as far as possible now.
    pub(super) fn advance(&mut self, now: Millis, epoch: u64, commands: &mut Vec<Command>) {
        for _ in 0..STEPS_MAX {
            let before = self.groups.get(&epoch).map(|group| group.phase);
            self.step(now, epoch, commands);
            if self.groups.get(&epoch).map(|group| group.phase) == before {
                return;
            }
        }
    }

    fn step(&mut self, now: Millis, epoch: u64, commands: &mut Vec<Command>) {
        let Some(group) = self.groups.get(&epoch).cloned() else { return };
        match group.phase {
            Phase::Joining => self.advance_joining(now, &group, commands),
            Phase::Opening => self.advance_opening(now, &group, commands),
            Phase::Open { .. } => self.advance_open(now, &group),
            Phase::Finishing => self.advance_finishing(now, &group, commands),
            Phase::Breaking => self.advance_breaking(now, &group, commands),
            Phase::Spare => self.advance_spare(now, &group),
        }
    }

    pub(super) fn set_phase(&mut self, now: Millis, epoch: u64, phase: Phase) {
        if let Some(group) = self.groups.get_mut(&epoch) {
            group.phase = phase;
            group.since = now;
        }
    }

    fn advance_joining(&mut self, now: Millis, group: &Group, commands: &mut Vec<Command>) {
        if !group.adopted && self.is_stopped_by_drain(group) {
            self.dissolve(now, group.epoch, EndReason::NeverOpened);
            return;
        }
        if self.has_unavailable_member(group) || !self.offers(group) {
            match group.adopted {
                // An earlier leader may have ordered the head to open.
                true => self.set_phase(now, group.epoch, Phase::Breaking),
                false => self.dissolve(now, group.epoch, EndReason::NeverOpened),
            }
            return;
        }
        let Some(model) = self.model(&group.model).cloned() else {
            self.dissolve(now, group.epoch, EndReason::NeverOpened);
            return;
        };
        let mut ready = true;
        for member in &group.members {
            let Some(host) = self.hosts.get_mut(member) else { continue };
            if host.is_ready_in(&group.name, group.epoch) {
                continue;
            }
            ready = false;
            if host.joined == Some(group.epoch) {
                host.probe_when_due(now, &model);
                continue;
            }
            if host.may_have_changed(now) {
                host.wants_probe |= host.may_order(now);
                continue;
            }
            if let Some(old) = host.order_to_leave_other_group(group.epoch, &self.ended) {
                // A late order has returned the host to its old group, whose head may serve.
                if host.may_order(now) {
                    commands.push(host.order(now, old));
                }
                continue;
            }
            let load = !host.has_copy(&model.name);
            if !host.may_order(now) || (load && !self.load_budget.allows_load()) {
                continue;
            }
            if load {
                self.load_budget.begin_load();
            }
            let order = Order::Join {
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
                members: group.members.clone(),
            };
            commands.push(host.order(now, order));
        }
        if ready {
            let whole = group.members.len() == model.size;
            let phase = if whole { Phase::Opening } else { Phase::Spare };
            self.set_phase(now, group.epoch, phase);
        }
    }

    fn advance_opening(&mut self, now: Millis, group: &Group, commands: &mut Vec<Command>) {
        if self.has_unavailable_member(group) || !self.offers(group) {
            self.set_phase(now, group.epoch, Phase::Breaking);
            return;
        }
        let form_ms = self.engine.form_ms;
        let Some(head) = self.hosts.get_mut(&group.members[0]) else { return };
        if head.opened == Some(group.epoch) {
            self.set_phase(now, group.epoch, Phase::Open { from: now + form_ms });
            return;
        }
        if head.may_order(now) {
            let order = Order::Open { group: group.name.clone(), epoch: group.epoch };
            commands.push(head.order(now, order));
        }
    }

    fn advance_open(&mut self, now: Millis, group: &Group) {
        let hosts = group.members.iter().filter_map(|id| self.hosts.get(id));
        let mut broken = hosts.clone().count() < group.members.len();
        let mut leaving = !self.offers(group);
        // A slow member slows the whole group: its streams resume on another group sooner than they
        // would finish here.
        broken |= self.can_replace_slow_members(group);
        for host in hosts {
            broken |= host.is_lost() || host.is_in_later_group(group.epoch);
            leaving |= !host.is_lost() && !host.is_available();
        }
        if broken {
            self.set_phase(now, group.epoch, Phase::Breaking);
        } else if leaving {
            self.set_phase(now, group.epoch, Phase::Finishing);
        }
    }

    fn advance_finishing(&mut self, now: Millis, group: &Group, commands: &mut Vec<Command>) {
        let lost = group.members.iter().any(|id| self.hosts.get(id).is_none_or(Host::is_lost));
        if lost || now > group.since + self.config.finish_ms {
            self.set_phase(now, group.epoch, Phase::Breaking);
            return;
        }
        if now < group.since + self.config.notice_ms {
            return;
        }
        let form_ms = self.engine.form_ms;
        let Some(head) = self.hosts.get_mut(&group.members[0]) else { return };
        if now < head.opened_at + form_ms + FORM_MARGIN_MS {
            // A head that is still forming its group reports that it is ready, and opens all the
            // same.
            return;
        }
        if head.closed != Some(group.epoch) {
            if head.may_order(now) {
                let order = Order::Close { group: group.name.clone(), epoch: group.epoch };
                commands.push(head.order(now, order));
            }
            return;
        }
        if head.reported_at > head.closed_at && head.is_ready_in(&group.name, group.epoch) {
            self.end_group(now, group, EndReason::HeadClosed);
            return;
        }
        head.wants_probe |= now >= head.probed_at + host::PROBE_EVERY_MS;
    }

    fn advance_breaking(&mut self, now: Millis, group: &Group, commands: &mut Vec<Command>) {
        let Some(head) = self.hosts.get_mut(&group.members[0]) else {
            self.abandon(now, group.epoch, EndReason::HeadSilent);
            return;
        };
        let ended = [
            (head.left == Some(group.epoch), EndReason::HeadLeft),
            (head.replaced, EndReason::HeadReplaced),
            (head.denies_membership(group.epoch), EndReason::HeadOutside),
        ];
        if let Some((_, reason)) = ended.into_iter().find(|(is_so, _)| *is_so) {
            self.end_group(now, group, reason);
            return;
        }
        // The end of the group is decided already, and does not wait for a head that is silent.
        if head.is_lost() || head.is_silent() {
            self.abandon(now, group.epoch, EndReason::HeadSilent);
            return;
        }
        if head.may_order(now) {
            let order = Order::Leave { group: group.name.clone(), epoch: group.epoch };
            commands.push(head.order(now, order));
        }
    }

    fn advance_spare(&mut self, now: Millis, group: &Group) {
        if self.has_unavailable_member(group) || !self.offers(group) {
            self.dissolve(now, group.epoch, EndReason::NeverOpened);
        }
    }

    /// Whether the engine still offers the model of a group, with groups of this size. Otherwise
    /// the group's hosts are needed for the models that it does offer.
    fn offers(&self, group: &Group) -> bool {
        let model = self.model(&group.model);
        model.is_some_and(|model| model.size == group.members.len() || group.is_spare())
    }
}
