//! Invariants of the simulation, checked after each step.

use std::collections::BTreeMap;

use oliveworks_gateway_core::backend_servers::Born;

use crate::gateway::DRAINED;
use crate::world::{Node, World};

/// Time after which no gateway may accept a revoked key, in ms.
pub const REVOKE_MS: u64 = 5_000;
/// Time within which a version must be in force at a gateway without faults, in ms.
const APPLY_MS: u64 = 3_000;
/// Time without faults of a gateway and of the store after which the version is checked, in ms.
const CALM_MS: u64 = 3_000;
/// Time without faults after which drains, hosts and leaders are checked, in ms. It includes the
/// time until the store is read again.
const SETTLED_MS: u64 = 8_000;

/// Checker of the invariants, with the violations found so far.
#[derive(Default)]
pub struct Judge {
    pub breaches: Vec<String>,
    /// Incarnations that know of a drain, with the time at which that drain began.
    drain_known_since: BTreeMap<u64, u64>,
    /// Hosts that each incarnation listed at the previous check.
    listed: BTreeMap<u64, Vec<(String, Option<Born>)>>,
}

impl Judge {
    pub fn check(&mut self, world: &mut World) {
        for index in 0..world.nodes.len() {
            if !world.nodes[index].is_running() {
                continue;
            }
            self.check_keys(world, index);
            let node = &world.nodes[index];
            self.check_version(world, node);
            self.check_drain(world, node);
            self.check_hosts(world, node);
        }
        self.check_leaders(world);
    }

    /// Records a breach of a gateway, once for each kind of breach.
    fn record_breach(&mut self, world: &World, node: &Node, what: String) {
        let what = format!("gateway {}: {what}", node.gateway.index);
        if !self.breaches.iter().any(|known| known.ends_with(&what)) {
            self.breaches.push(format!("{}: {what}", world.now));
        }
    }

    /// Checks that no gateway accepts keys of a version that was superseded at least `REVOKE_MS`
    /// ago, whether or not the store still holds the newer version.
    fn check_keys(&mut self, world: &mut World, index: usize) {
        let node = &world.nodes[index];
        if !node.gateway.freshness.accepts_keys(world.now, Some(REVOKE_MS)) {
            return;
        }
        let version = node.gateway.version.unwrap_or(0);
        let due = newest_due(world, REVOKE_MS);
        if version < due {
            let what = format!("accepts keys of version {version}, expected {due}");
            self.record_breach(world, node, what);
        }
        world.accepted_checks += 1;
    }

    fn is_calm(world: &World, node: &Node, ms: u64) -> bool {
        let now = world.now;
        let last_fault_at = node.last_fault_at.max(world.platform.last_fault_at);
        now >= last_fault_at + ms
            && now >= node.gateway.started_at + ms
            && !world.platform.is_unavailable()
    }

    fn check_version(&mut self, world: &World, node: &Node) {
        let due = newest_due(world, APPLY_MS).min(world.platform.stored_version());
        let version = node.gateway.version.unwrap_or(0);
        if Judge::is_calm(world, node, CALM_MS) && version < due {
            self.record_breach(
                world,
                node,
                format!("version {version} is in force, expected {due}"),
            );
        }
    }

    fn check_drain(&mut self, world: &World, node: &Node) {
        let began = world.platform.drain_changed_at;
        let holds = node.gateway.drains.contains(DRAINED);
        if world.platform.drained {
            let knew = self.drain_known_since.get(&node.incarnation) == Some(&began);
            if knew && !holds {
                self.record_breach(
                    world,
                    node,
                    "the gateway ended a drain that is in force".into(),
                );
            }
            // A drain known for longer than the current one is an earlier drain, whose end the
            // gateway may not have read yet.
            let known_for = node.gateway.drains.known_for(world.now).map(|(_, ms)| ms).next();
            if known_for.is_some_and(|ms| ms <= world.now - began) {
                self.drain_known_since.insert(node.incarnation, began);
            }
        }
        let unchanged = world.now >= began + SETTLED_MS;
        if unchanged && Judge::is_calm(world, node, SETTLED_MS) && holds != world.platform.drained {
            self.record_breach(
                world,
                node,
                format!("drain in force: {holds}, expected the opposite"),
            );
        }
    }

    fn check_hosts(&mut self, world: &World, node: &Node) {
        let now = world.now;
        let directory = &node.gateway.directory;
        for host in directory.iter() {
            let incarnation = (host.id.to_string(), host.holding.born);
            if node.gateway.left.contains(&incarnation) && !host.draining {
                self.record_breach(
                    world,
                    node,
                    format!("host {incarnation:?} receives requests again after it left"),
                );
            }
        }
        let known: Vec<_> =
            directory.iter().map(|host| (host.id.to_string(), host.holding.born)).collect();
        let before = self.listed.insert(node.incarnation, known.clone()).unwrap_or_default();
        for (id, host) in &world.platform.hosts {
            let incarnation = (format!("h{id}"), Some(Born(host.born)));
            let is_live = host.listed && !host.draining;
            if is_live && before.contains(&incarnation) && directory.get(&incarnation.0).is_none() {
                self.record_breach(
                    world,
                    node,
                    format!("host {incarnation:?} is not listed although it is live"),
                );
            }
        }
        let unchanged = now >= world.platform.hosts_changed_at + SETTLED_MS;
        if unchanged && Judge::is_calm(world, node, SETTLED_MS) {
            let expected = world.platform.hosts.iter().filter(|(_, host)| host.listed);
            let expected: Vec<_> =
                expected.map(|(id, h)| (format!("h{id}"), Some(Born(h.born)))).collect();
            if expected != known {
                self.record_breach(
                    world,
                    node,
                    format!("lists hosts {known:?}, expected {expected:?}"),
                );
            }
        }
    }

    fn check_leaders(&mut self, world: &World) {
        let now = world.now;
        for (fence, incarnations) in &world.accepted_orders {
            if incarnations.len() > 1 && self.breaches.len() < 20 {
                self.breaches.push(format!(
                    "{now}: hosts accepted orders of {incarnations:?} under fence {fence}"
                ));
            }
        }
        let all_calm = world.nodes.iter().all(|node| Judge::is_calm(world, node, SETTLED_MS));
        let seen = world.platform.hosts.values().map(|host| host.fence).max().unwrap_or(0);
        let leads =
            |node: &Node| node.gateway.election.leading_fence().is_some_and(|fence| fence >= seen);
        if all_calm && !world.nodes.iter().any(leads) {
            self.breaches.push(format!("{now}: no gateway leads"));
        }
    }
}

/// Returns the newest version that was acknowledged at least `ms` milliseconds ago.
fn newest_due(world: &World, ms: u64) -> u64 {
    let due = world.platform.acknowledged.iter().filter(|(_, at)| world.now >= **at + ms);
    due.map(|(version, _)| *version).max().unwrap_or(0)
}
