//! The planners of a leader: one for each service whose engine serves models.
//!
//! The set follows the configuration for as long as the gateway leads, so that a change of the
//! configuration ends in the same state as a start with the new one. A service that is added is
//! taken over first: its hosts are asked for their state, since an earlier leader may have formed
//! groups of them. Planning of the other services continues meanwhile.
//!
//! The planner of a service that is removed pauses: it sends no orders, and its groups are not
//! published. Their hosts keep serving the requests that they have. If the service is restored, the
//! planner continues. Rejected alternative: removing the planner at once. An order that was still
//! unanswered could then be carried out without the next planner knowing of it.

use std::collections::BTreeMap;

use crate::Millis;
use crate::backend_servers::BackendServer;
use crate::configuration::{Configuration, Engine};
use crate::group_id::GroupId;
use crate::planner::{Command, LoadBudget, Planner, PlannerConfig};

/// Time for which a paused planner is kept, in ms: longer than an unanswered order may take to be
/// carried out.
const PAUSED_KEPT_MS: u64 = 60_000;

/// Identifies one takeover of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// Service that is taken over.
    pub service: String,
    /// Fence of the leader.
    pub fence: u64,
    number: u64,
}

/// Change of the set of planners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannerChange {
    /// A service is to be taken over: the state of its hosts is requested, and
    /// [`Planners::adopt`] is called afterwards.
    TakeOver(Takeover),
    /// The service is no longer part of the configuration, or has no models any more.
    Paused(String),
    /// The service is part of the configuration again.
    Resumed(String),
    /// The planner of a service that has long been paused was removed.
    Removed(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    TakingOver { number: u64 },
    Planning,
    Paused { since: Millis },
}

#[derive(Clone, Debug)]
struct Entry {
    planner: Planner,
    state: State,
}

/// The planners of a leader, by service.
#[derive(Clone, Debug)]
pub struct Planners {
    config: PlannerConfig,
    tolerance: usize,
    fence: Option<u64>,
    entries: BTreeMap<String, Entry>,
    takeovers: u64,
    /// Loads that may begin now, at hosts of all services; none before the first round of a term.
    load_budget: Option<LoadBudget>,
    /// Number of rounds of planning, which determines the service that is planned first.
    rounds: usize,
    /// Largest number of epochs that a removed planner has used under the fence.
    used_epochs: u64,
    /// Whether every service of the first configuration of the term has been taken over.
    begun: bool,
}

impl Planners {
    /// Creates the set of a gateway that does not lead. `tolerance` is the number of failure
    /// domains that may be lost at once.
    pub fn new(config: PlannerConfig, tolerance: usize) -> Planners {
        Planners {
            config,
            tolerance,
            fence: None,
            entries: BTreeMap::new(),
            takeovers: 0,
            load_budget: None,
            rounds: 0,
            used_epochs: 0,
            begun: false,
        }
    }

    /// Begins to lead under `fence`, or ends to lead. The set is empty afterwards.
    pub fn change_term(&mut self, fence: Option<u64>) {
        self.fence = fence;
        self.entries.clear();
        self.used_epochs = 0;
        self.load_budget = None;
        self.begun = false;
    }

    /// Makes the set follow a configuration, and returns what has changed.
    pub fn follow(&mut self, now: Millis, configuration: &Configuration) -> Vec<PlannerChange> {
        let Some(fence) = self.fence else { return Vec::new() };
        let engines = engines(configuration);
        let mut changes = self.pause_absent(now, &engines);
        for (service, engine) in engines {
            match self.entries.get_mut(service) {
                Some(entry) => {
                    entry.planner.set_engine(engine);
                    if matches!(entry.state, State::Paused { .. }) {
                        entry.state = State::Planning;
                        entry.planner.request_reports();
                        changes.push(PlannerChange::Resumed(service.to_owned()));
                    }
                }
                None => changes.push(self.begin_takeover(now, fence, service, engine)),
            }
        }
        self.update_begun();
        changes
    }

    fn begin_takeover(
        &mut self,
        now: Millis,
        fence: u64,
        service: &str,
        engine: &Engine,
    ) -> PlannerChange {
        let mut planner = Planner::new(self.config.clone(), engine.clone(), fence, now);
        planner.set_tolerance(self.tolerance);
        planner.set_used_epochs(self.used_epochs);
        self.takeovers += 1;
        let number = self.takeovers;
        let entry = Entry { planner, state: State::TakingOver { number } };
        self.entries.insert(service.to_owned(), entry);
        PlannerChange::TakeOver(Takeover { service: service.to_owned(), fence, number })
    }

    /// Pauses the planners of services that have no engine with models, and removes those that have
    /// been paused for long. The planner of a service that was not taken over yet is removed at
    /// once: no order was sent for that service.
    fn pause_absent(
        &mut self,
        now: Millis,
        engines: &BTreeMap<&str, &Engine>,
    ) -> Vec<PlannerChange> {
        let mut changes = Vec::new();
        self.entries.retain(|service, entry| {
            if engines.contains_key(service.as_str()) {
                return true;
            }
            match entry.state {
                State::Planning => {
                    entry.state = State::Paused { since: now };
                    changes.push(PlannerChange::Paused(service.clone()));
                    true
                }
                State::Paused { since } if now < since + PAUSED_KEPT_MS => true,
                State::Paused { .. } | State::TakingOver { .. } => {
                    self.used_epochs = self.used_epochs.max(entry.planner.used_epochs());
                    changes.push(PlannerChange::Removed(service.clone()));
                    false
                }
            }
        });
        changes
    }

    /// Returns the planner of a service that is being taken over, unless that takeover has been
    /// replaced by another.
    pub fn taking_over(&mut self, takeover: &Takeover) -> Option<&mut Planner> {
        let entry = self.entries.get_mut(&takeover.service)?;
        let is_current = entry.planner.fence() == takeover.fence
            && entry.state == State::TakingOver { number: takeover.number };
        is_current.then_some(&mut entry.planner)
    }

    /// Completes a takeover: the planner adopts the groups that its hosts report. `ended` are the
    /// groups that ended and `most_hosts` the largest number of hosts in each domain that
    /// earlier leaders recorded. Returns the planner, unless the takeover has been replaced.
    pub fn adopt(
        &mut self,
        now: Millis,
        takeover: &Takeover,
        ended: &[GroupId],
        most_hosts: Option<&BTreeMap<String, usize>>,
    ) -> Option<&Planner> {
        let planner = self.taking_over(takeover)?;
        let mut epochs = planner.reported_epochs();
        epochs.retain(|epoch| ended.contains(&GroupId::of(&takeover.service, *epoch)));
        planner.adopt_ended(epochs);
        if let Some(most_hosts) = most_hosts {
            planner.adopt_most_hosts(most_hosts);
        }
        planner.adopt(now);
        self.entries.get_mut(&takeover.service)?.state = State::Planning;
        self.update_begun();
        self.entries.get(&takeover.service).map(|entry| &entry.planner)
    }

    /// Returns whether planning has begun: not before every service of the first configuration has
    /// been taken over, since the first table of a leader replaces all groups of the table of its
    /// predecessor.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    fn update_begun(&mut self) {
        let mut states = self.entries.values().map(|entry| entry.state);
        self.begun |= !states.any(|state| matches!(state, State::TakingOver { .. }));
    }

    /// Handles a host that is listed, or whose record changed.
    pub fn handle_listed_host(&mut self, now: Millis, server: &BackendServer) {
        for (service, entry) in &mut self.entries {
            match *service == server.service {
                true => entry.planner.handle_listed_host(now, server),
                // The host may have belonged to this service before it restarted.
                false => entry.planner.mark_unlisted(&server.id),
            }
        }
    }

    /// Returns the planner of a service, also of one that is paused or being taken over.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Planner> {
        self.entries.get_mut(service).map(|entry| &mut entry.planner)
    }

    /// Returns the planner that manages a group, and the epoch of the group.
    pub fn of_group(&mut self, group: GroupId) -> Option<(&mut Planner, u64)> {
        self.entries.iter_mut().find_map(|(service, entry)| {
            let epoch =
                entry.planner.epochs().find(|epoch| GroupId::of(service, *epoch) == group)?;
            Some((&mut entry.planner, epoch))
        })
    }

    /// Returns the groups that have certainly ended, for the next leader.
    pub fn ended(&self) -> Vec<GroupId> {
        let of = |(service, planner): (&str, &Planner)| {
            planner.ended().map(|epoch| GroupId::of(service, epoch)).collect::<Vec<_>>()
        };
        self.planning().flat_map(of).collect()
    }

    /// Returns all planners, including those that are paused or being taken over.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Planner> {
        self.entries.values_mut().map(|entry| &mut entry.planner)
    }

    /// Returns the services that are planned, with their planners.
    pub fn planning(&self) -> impl Iterator<Item = (&str, &Planner)> {
        let planning = self.entries.iter().filter(|(_, entry)| entry.state == State::Planning);
        planning.map(|(service, entry)| (service.as_str(), &entry.planner))
    }

    /// Returns the services that are planned, with their planners.
    pub fn planning_mut(&mut self) -> impl Iterator<Item = (&str, &mut Planner)> {
        planning_mut(&mut self.entries)
    }

    /// Advances the planners of all planned services, and returns the commands to carry out now.
    ///
    /// The planners share the loads that the weight store allows. Another one is the first in each
    /// round, so that none takes them all.
    pub fn tick(&mut self, now: Millis) -> Vec<(String, Command)> {
        let mut planning: Vec<(&str, &mut Planner)> = planning_mut(&mut self.entries).collect();
        if planning.is_empty() {
            return Vec::new();
        }
        self.rounds = self.rounds.wrapping_add(1);
        let first = self.rounds % planning.len();
        planning.rotate_left(first);
        let rates = planning.iter().map(|(_, planner)| planner.loads_per_s());
        let mut budget = self.load_budget.unwrap_or(LoadBudget::new(now));
        budget.refill(now, rates.fold(f64::INFINITY, f64::min));
        let mut loading: usize = planning.iter().map(|(_, planner)| planner.own_loading()).sum();
        let mut commands = Vec::new();
        for (service, planner) in planning {
            loading -= planner.own_loading();
            planner.share_load_budget(budget, loading);
            let found = planner.tick(now).into_iter();
            commands.extend(found.map(|command| (service.to_owned(), command)));
            budget = planner.load_budget();
            loading += planner.own_loading();
        }
        self.load_budget = Some(budget);
        commands
    }
}

/// Returns the services that are planned, with their planners.
fn planning_mut(
    entries: &mut BTreeMap<String, Entry>,
) -> impl Iterator<Item = (&str, &mut Planner)> {
    let planning = entries.iter_mut().filter(|(_, entry)| entry.state == State::Planning);
    planning.map(|(service, entry)| (service.as_str(), &mut entry.planner))
}

/// Returns the engines that serve models, by service.
fn engines(configuration: &Configuration) -> BTreeMap<&str, &Engine> {
    let services = configuration.services.iter();
    let engines = services.filter_map(|service| {
        let engine = service.engine.as_ref().filter(|engine| !engine.models.is_empty())?;
        Some((service.name.as_str(), engine))
    });
    engines.collect()
}
