//! What must hold in the world, looked at after each step.

use std::collections::BTreeMap;

use oliveworks_gateway_core::backend_servers::Born;

use crate::gateway::DRAINED;
use crate::world::{Seat, World};

/// The time after which a key that was taken away must not serve, in ms.
const REVOKE_MS: u64 = 5_000;
/// How long a gateway may have been able to learn of a version that the store had lost, and take a proof without it, in ms.
const LEARN_MS: u64 = 250;
/// The time within which a version is in force at a gateway without trouble, in ms.
const APPLY_MS: u64 = 3_000;
/// How long a gateway and the store must have been without trouble for the checks of calm times, in ms.
const CALM_MS: u64 = 3_000;
/// The same until drains, hosts and leaders are as they are, in ms: with the time until the store is read once more.
const SETTLED_MS: u64 = 8_000;

#[derive(Default)]
pub struct Judge {
    pub breaches: Vec<String>,
    /// By life: since when it could have learned of each version.
    could_learn_since: BTreeMap<u64, BTreeMap<u64, u64>>,
    /// Lives that knew of the drain that is in force, and when that began.
    knew_drain: BTreeMap<u64, u64>,
    /// Hosts that a life listed.
    listed: BTreeMap<u64, Vec<(String, Option<Born>)>>,
}

impl Judge {
    pub fn look(&mut self, world: &mut World) {
        for index in 0..world.seats.len() {
            if !world.seats[index].runs() {
                self.could_learn_since.remove(&world.seats[index].life);
                continue;
            }
            self.look_at_keys(world, index);
            let seat = &world.seats[index];
            self.look_at_version(world, seat);
            self.look_at_drain(world, seat);
            self.look_at_hosts(world, seat);
        }
        self.look_at_leaders(world);
    }

    /// Notes a breach, once while it lasts.
    fn breach(&mut self, world: &World, seat: &Seat, what: String) {
        let what = format!("gateway {}: {what}", seat.gateway.index);
        if !self.breaches.iter().any(|known| known.ends_with(&what)) {
            self.breaches.push(format!("{}: {what}", world.now));
        }
    }

    /// Keys of a version that was followed by another a bound ago serve nowhere, unless nobody could have told.
    fn look_at_keys(&mut self, world: &mut World, index: usize) {
        let now = world.now;
        let seat = &world.seats[index];
        let due = newest_due(world, REVOKE_MS);
        let heard = |other: &Seat| seat.is_heard() && other.is_heard();
        let told = world.seats.iter().filter(|other| other.life != seat.life && heard(other));
        let told = told.filter_map(|other| other.gateway.version).max().unwrap_or(0);
        let reaches = !world.platform.is_away() && seat.cut_until.is_none();
        let stored = if reaches { world.platform.stored_version() } else { 0 };
        let learnable = told.max(stored);
        let since = self.could_learn_since.entry(seat.life).or_default();
        since.retain(|version, _| *version <= learnable);
        for version in world.platform.acknowledged.keys().filter(|version| **version <= learnable) {
            since.entry(*version).or_insert(now);
        }
        let since = since.get(&due).copied();
        if !seat.gateway.freshness.accepts_keys(now, Some(REVOKE_MS)) {
            return;
        }
        let version = seat.gateway.version.unwrap_or(0);
        let age_ms = seat.gateway.freshness.age_ms(now).unwrap_or(0);
        let could_learn = since.is_some_and(|since| {
            let proved_late = now >= since + LEARN_MS + age_ms;
            proved_late || now >= since + REVOKE_MS
        });
        let was_lost = world.platform.lost.range(due..).next().is_some();
        if version < due && (could_learn || !was_lost) {
            self.breach(world, seat, format!("honours keys of {version}, due is {due}"));
        }
        world.honoured += 1;
    }

    fn is_calm(world: &World, seat: &Seat, ms: u64) -> bool {
        let now = world.now;
        let troubled_at = seat.troubled_at.max(world.platform.troubled_at);
        now >= troubled_at + ms && now >= seat.gateway.started_at + ms && !world.platform.is_away()
    }

    fn look_at_version(&mut self, world: &World, seat: &Seat) {
        let due = newest_due(world, APPLY_MS).min(world.platform.stored_version());
        let version = seat.gateway.version.unwrap_or(0);
        if Judge::is_calm(world, seat, CALM_MS) && version < due {
            self.breach(world, seat, format!("{version} is in force, due is {due}"));
        }
    }

    fn look_at_drain(&mut self, world: &World, seat: &Seat) {
        let began = world.platform.drain_changed_at;
        let holds = seat.gateway.drains.contains(DRAINED);
        if world.platform.drained {
            let knew = self.knew_drain.get(&seat.life) == Some(&began);
            if knew && !holds {
                self.breach(world, seat, "a drain that is in force has ended".into());
            }
            // One that it has held since before is an earlier drain, whose end it may still read.
            let known_for = seat.gateway.drains.known_for(world.now).map(|(_, ms)| ms).next();
            if known_for.is_some_and(|ms| ms <= world.now - began) {
                self.knew_drain.insert(seat.life, began);
            }
        }
        let unchanged = world.now >= began + SETTLED_MS;
        if unchanged && Judge::is_calm(world, seat, SETTLED_MS) && holds != world.platform.drained {
            self.breach(world, seat, format!("drained: {holds}"));
        }
    }

    fn look_at_hosts(&mut self, world: &World, seat: &Seat) {
        let now = world.now;
        let directory = &seat.gateway.directory;
        for host in directory.iter() {
            let life = (host.id.to_string(), host.holding.born);
            if seat.gateway.left.contains(&life) && !host.draining {
                self.breach(world, seat, format!("{life:?} takes requests again after it left"));
            }
        }
        let known: Vec<_> =
            directory.iter().map(|host| (host.id.to_string(), host.holding.born)).collect();
        let before = self.listed.insert(seat.life, known.clone()).unwrap_or_default();
        for (id, host) in &world.platform.hosts {
            let life = (format!("h{id}"), Some(Born(host.born)));
            let lives = host.listed && !host.draining;
            if lives && before.contains(&life) && directory.get(&life.0).is_none() {
                self.breach(world, seat, format!("{life:?} is gone though it lives"));
            }
        }
        let unchanged = now >= world.platform.hosts_changed_at + SETTLED_MS;
        if unchanged && Judge::is_calm(world, seat, SETTLED_MS) {
            let there = world.platform.hosts.iter().filter(|(_, host)| host.listed);
            let there: Vec<_> =
                there.map(|(id, h)| (format!("h{id}"), Some(Born(h.born)))).collect();
            if there != known {
                self.breach(world, seat, format!("lists {known:?}, there are {there:?}"));
            }
        }
    }

    fn look_at_leaders(&mut self, world: &World) {
        let now = world.now;
        for (fence, lives) in &world.obeyed {
            if lives.len() > 1 && self.breaches.len() < 20 {
                self.breaches.push(format!("{now}: {lives:?} gave orders under fence {fence}"));
            }
        }
        let all_calm = world.seats.iter().all(|seat| Judge::is_calm(world, seat, SETTLED_MS));
        let seen = world.platform.hosts.values().map(|host| host.fence).max().unwrap_or(0);
        let leads =
            |seat: &Seat| seat.gateway.election.leading_fence().is_some_and(|fence| fence >= seen);
        if all_calm && !world.seats.iter().any(leads) {
            self.breaches.push(format!("{now}: nobody leads"));
        }
    }
}

/// The newest version that was acknowledged so long ago.
fn newest_due(world: &World, ms: u64) -> u64 {
    let due = world.platform.acknowledged.iter().filter(|(_, at)| world.now >= **at + ms);
    due.map(|(version, _)| *version).max().unwrap_or(0)
}
