//! A leader in the simulated pool: its planner, whose orders and probes the pool answers.

use std::collections::BTreeSet;

use oliveworks_gateway_core::backend_servers::BackendServerId;
use oliveworks_gateway_core::planner::{
    Command, ModelLoad, Order, Outcome, Planner, PlannerConfig,
};
use rand::RngExt;

use crate::world::World;

/// Leader with its planner, as a gateway runs it.
pub struct Leader {
    pub planner: Planner,
    pub fence: u64,
    pub paused_until: u64,
    pub stepped_down: bool,
    pub listed_hosts: BTreeSet<BackendServerId>,
}

impl Leader {
    pub fn take_over(world: &World, fence: u64, ended: Vec<u64>) -> Leader {
        Leader::with_config(world, fence, ended, PlannerConfig::default())
    }

    /// Like [`Leader::take_over`], for a leader that is so busy at its start that a fraction `late`
    /// of the hosts' answers arrives too late.
    pub fn take_over_busy(world: &mut World, fence: u64, ended: Vec<u64>, late: f64) -> Leader {
        let ids: Vec<BackendServerId> = world.hosts.keys().cloned().collect();
        let mut silent = Vec::new();
        for id in ids {
            let Some(host) = world.hosts.get_mut(&id) else { continue };
            if world.rng.random_bool(late) && host.silent_until <= world.now {
                silent.push((id, host.silent_until));
                host.silent_until = world.now + 1;
            }
        }
        let leader = Leader::take_over(world, fence, ended);
        for (id, until) in silent {
            world.hosts.get_mut(&id).expect("a host").silent_until = until;
        }
        leader
    }

    pub fn with_config(
        world: &World,
        fence: u64,
        ended: Vec<u64>,
        config: PlannerConfig,
    ) -> Leader {
        let mut planner = Planner::new(config, world.engine.clone(), fence, world.now);
        let mut listed_hosts = BTreeSet::new();
        for server in world.listed() {
            planner.handle_listed_host(world.now, &server);
            listed_hosts.insert(server.id.clone());
            match world.holding(&server.id) {
                Some(holding) => planner.handle_report(world.now, &server.id, &holding),
                None => record_failed_probe(&mut planner, world, &server.id),
            }
        }
        planner.adopt_ended(ended);
        planner.adopt(world.now);
        Leader { planner, fence, paused_until: 0, stepped_down: false, listed_hosts }
    }

    pub fn read_list(&mut self, world: &World) {
        let listed = world.listed();
        for server in &listed {
            self.planner.handle_listed_host(world.now, server);
            self.listed_hosts.insert(server.id.clone());
        }
        let gone = self.listed_hosts.iter().filter(|id| !listed.iter().any(|w| w.id == **id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.planner.mark_unlisted(&id);
            self.listed_hosts.remove(&id);
        }
    }

    pub fn tick(&mut self, world: &mut World, traffic: bool) {
        if self.stepped_down || world.now < self.paused_until {
            return;
        }
        self.planner.set_traffic(traffic);
        for command in self.planner.tick(world.now) {
            match command {
                Command::Probe { server, .. } => match world.holding(&server) {
                    Some(holding) => self.planner.handle_report(world.now, &server, &holding),
                    None => record_failed_probe(&mut self.planner, world, &server),
                },
                Command::Order { server, order, expects, .. } => {
                    self.send_order(world, server, order, expects);
                }
            }
        }
        assert!(self.planner.shared_hosts().is_empty(), "a host in two groups of one planner");
    }

    /// Reports to the planner the load of the groups of a model that serve now.
    pub fn set_load(&mut self, world: &World, model: &str, load: ModelLoad) {
        let serving = self.planner.serving(world.now);
        let groups = serving.iter().filter(|group| group.model == model).count();
        if groups > 0 {
            self.planner.record_load(world.now, model, load, groups);
        }
    }

    pub fn send_order(
        &mut self,
        world: &mut World,
        server: BackendServerId,
        order: Order,
        expects: Option<u64>,
    ) {
        let silent = !world.answers(&server);
        let late = world.rng.random_bool(world.late_share);
        let outcome = if late {
            let delay = world.rng.random_range(2_000..12_000);
            let at = world.now + delay;
            world.late.push((at, self.fence, server.clone(), order.clone(), expects));
            Outcome::Unanswered
        } else if silent {
            Outcome::Unanswered
        } else {
            world.carry_out(self.fence, &server, &order, expects)
        };
        self.stepped_down |= outcome == Outcome::Fenced;
        self.planner.handle_order_outcome(world.now, &server, &order, outcome);
    }
}

/// Passes the failure of a probe to a planner.
pub fn record_failed_probe(planner: &mut Planner, world: &World, id: &BackendServerId) {
    planner.handle_probe_failure(world.now, id, world.probe_failure(id));
}
