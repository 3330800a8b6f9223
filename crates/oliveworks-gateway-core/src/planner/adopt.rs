//! Adoption of the groups of an earlier leader.
//!
//! The only source is the membership that hosts report, since groups are not kept in the store.

use std::collections::BTreeMap;

use super::Planner;
use super::group::{self, Group, Phase};
use crate::Millis;
use crate::backend_servers::{BackendServerId, MemberState};

impl Planner {
    /// Adopts groups that an earlier leader formed. Called once every host was probed or its record
    /// was read.
    pub fn adopt(&mut self, now: Millis) {
        for host in self.hosts.values_mut() {
            host.knows_fence = false;
            host.adopt_load();
        }
        let mut found: BTreeMap<u64, BTreeMap<usize, (BackendServerId, MemberState, String)>> =
            BTreeMap::new();
        for host in self.hosts.values() {
            let Some(member) = &host.holding.group else { continue };
            let row = (host.server.id.clone(), member.state, member.name.clone());
            found.entry(member.epoch).or_default().insert(member.rank, row);
        }
        // Groups that the earlier leader gave up must not be revived, because it may have assigned
        // their hosts to other groups.
        found.retain(|epoch, _| !self.ended.contains(epoch));
        for (epoch, ranks) in found {
            self.adopt_group(now, epoch, &ranks);
        }
    }

    fn adopt_group(
        &mut self,
        now: Millis,
        epoch: u64,
        ranks: &BTreeMap<usize, (BackendServerId, MemberState, String)>,
    ) {
        let Some((head, state, name)) = ranks.get(&0) else { return };
        let models = self.hosts.get(head).map(|host| host.holding.models.clone());
        let Some(model) = models.and_then(|models| models.first().cloned()) else { return };
        let Some(size) = self.engine.model(&model).map(|model| model.size) else { return };
        let spare = group::is_spare_name(name) && ranks.len() == 1;
        let whole = (0..size).all(|rank| ranks.contains_key(&rank)) && ranks.len() == size;
        if !whole && !spare {
            return;
        }
        let members: Vec<BackendServerId> = ranks.values().map(|(id, _, _)| id.clone()).collect();
        let phase = match state {
            MemberState::Open => Phase::Open { from: now },
            MemberState::Closing | MemberState::Broken => Phase::Breaking,
            MemberState::Ready if spare => Phase::Spare,
            MemberState::Joining | MemberState::Ready => Phase::Joining,
        };
        for member in &members {
            if let Some(host) = self.hosts.get_mut(member) {
                host.adopt_into(epoch);
            }
        }
        let name = name.clone();
        let group = Group {
            epoch,
            name,
            model,
            members,
            phase,
            since: now,
            adopted: true,
            preempted_for: None,
        };
        self.groups.insert(epoch, group);
    }
}
