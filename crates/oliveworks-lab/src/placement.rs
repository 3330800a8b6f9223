//! Simulation of group downtime and stranded host time (time that healthy hosts spend outside
//! serving groups) under seeded failure traces.
//!
//! The shipped [`plan`] and [`Pool`] run against a trace of failures. Baselines are other settings
//! of the same planner. The times for loading and failure detection are constants in [`Costs`]. The
//! shipped code decides everything else.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use oliveworks_core::fleet::{Fleet, FleetConfig, ListedHost};
use oliveworks_core::id::{DomainId, Epoch, HostId, Millis, Name, Offset, RecordId};
use oliveworks_core::message::GroupReport;
use oliveworks_core::placement::{PlacementConfig, plan};
use oliveworks_core::pool::{GroupState, Pool};
use oliveworks_core::record::{Author, Body, Record};
use oliveworks_core::template::{Kind, Limits, Role, Template};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Times that the planner does not determine, in seconds, and the concurrency of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Time from the death of a member until the decider detects it.
    pub detection_s: f64,
    /// Time from the death of a member until a spare that holds the weights serves in its place.
    pub failover_s: f64,
    /// Time to fetch the weights of one host from the store.
    pub fetch_s: f64,
    /// Time for a host with loaded weights to join a group.
    pub bind_s: f64,
    /// Number of concurrent fetches that the store serves.
    pub concurrent_fetches: usize,
}

/// Parameters of a failure trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Number of hosts.
    pub hosts: u32,
    /// Number of fabric domains.
    pub domains: u32,
    /// Number of hosts of a replica.
    pub width: u16,
    /// Numbers of replicas of Saffah and of Sahel.
    pub replicas: [u16; 2],
    /// Duration of the trace, in days.
    pub days: f64,
    /// Failures of single hosts per day. Each host is down for 30 minutes to 4 hours.
    pub failures_per_day: f64,
    /// Restarts of single hosts per day. Each host is down for 1 to 4 minutes.
    pub restarts_per_day: f64,
    /// Mean time between losses of a rack, in days, and the number of hosts of a rack.
    pub rack_losses: (f64, u32),
    /// Mean time between losses of a fabric domain, in days.
    pub domain_loss_days: f64,
}

impl Trace {
    /// Returns the trace for the size of one partner pair today: 30 hosts in three fabric domains.
    pub fn today() -> Trace {
        let scale = 30.0 / 4100.0;
        Trace {
            hosts: 30,
            domains: 3,
            width: 4,
            replicas: [3, 3],
            days: 200.0,
            failures_per_day: 49.0 * scale,
            restarts_per_day: 1600.0 * scale,
            rack_losses: (7.0 / scale.sqrt() / 3.0, 3),
            domain_loss_days: 60.0,
        }
    }

    /// Returns the trace for the full size, expected in two years: 4,100 hosts in 15 fabric
    /// domains.
    pub fn two_years() -> Trace {
        Trace {
            hosts: 4100,
            domains: 15,
            width: 8,
            replicas: [244, 250],
            days: 1.5,
            failures_per_day: 49.0,
            restarts_per_day: 1600.0,
            rack_losses: (0.7, 40),
            domain_loss_days: 1.5,
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measures {
    /// Fraction of the wanted replica time in which replicas did not serve, per partner.
    pub downtime: [f64; 2],
    /// Fraction of the healthy host time that hosts spent outside serving groups.
    pub stranded: f64,
    /// Lower bound of `stranded`: hosts beyond the demand, and hosts left over in a domain after
    /// division into replicas.
    pub stranded_floor: f64,
    /// Lower bound of the downtime over both partners: each loss of a member costs either the
    /// failover to a spare, or the detection and one bind, whichever is shorter.
    pub downtime_floor: f64,
    /// Number of records written.
    pub records: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Down(u32),
    Up(u32),
    Plan,
}

struct Simulation<'a> {
    trace: &'a Trace,
    costs: Costs,
    config: PlacementConfig,
    pool: Pool,
    fleet: Fleet,
    up: Vec<bool>,
    detected: Vec<bool>,
    weights: Vec<Option<u64>>,
    /// Time at which the weights of each host are loaded.
    weights_ready_at: Vec<f64>,
    /// Time from which each group serves, initially or again after a loss.
    serves_at: BTreeMap<Epoch, f64>,
    fetch_slots_free_at: Vec<f64>,
    offset: u64,
    losses: u64,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name literal is valid")
}

/// Partners. The first one keeps spares, the second one does not.
const PARTNERS: [&str; 2] = ["saffah", "sahel"];

fn template(trace: &Trace, partner: usize) -> Template {
    Template {
        partner: name(PARTNERS[partner]),
        workspace: name("main"),
        name: name("assistant"),
        kind: Kind::Model,
        model: name(PARTNERS[partner]),
        adapter: None,
        version: name("1"),
        role: Role::Combined,
        hosts: trace.width,
        spares: if partner == 0 { 1 } else { 0 },
        replicas: trace.replicas[partner],
        priority: 5,
        repeatable: true,
        limits: Limits::default(),
    }
}

fn days_to_seconds(days: f64) -> f64 {
    days * 86_400.0
}

/// Returns the events of the trace in order of time.
fn events(trace: &Trace, seed: u64) -> Vec<(f64, Event)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let end = days_to_seconds(trace.days);
    let times = |per_day: f64, rng: &mut ChaCha8Rng| {
        let mut at = 0.0;
        let mut all = Vec::new();
        loop {
            at += -rng.random::<f64>().max(1e-12).ln() * 86_400.0 / per_day.max(1e-9);
            if at > end {
                return all;
            }
            all.push(at);
        }
    };
    for at in times(trace.failures_per_day, &mut rng) {
        let host = rng.random_range(0..trace.hosts);
        let down_s = rng.random_range(1_800.0..14_400.0);
        events.push((at, Event::Down(host)));
        events.push((at + down_s, Event::Up(host)));
    }
    for at in times(trace.restarts_per_day, &mut rng) {
        let host = rng.random_range(0..trace.hosts);
        events.push((at, Event::Down(host)));
        events.push((at + rng.random_range(60.0..240.0), Event::Up(host)));
    }
    for at in times(1.0 / trace.rack_losses.0, &mut rng) {
        let first = rng.random_range(0..trace.hosts);
        let down_s = rng.random_range(1_800.0..7_200.0);
        for host in first..(first + trace.rack_losses.1).min(trace.hosts) {
            events.push((at, Event::Down(host)));
            events.push((at + down_s, Event::Up(host)));
        }
    }
    for at in times(1.0 / trace.domain_loss_days, &mut rng) {
        let domain = rng.random_range(0..trace.domains);
        let down_s = rng.random_range(1_800.0..7_200.0);
        for host in (0..trace.hosts).filter(|h| domain_of(trace, *h) == domain) {
            events.push((at, Event::Down(host)));
            events.push((at + down_s, Event::Up(host)));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    events
}

fn domain_of(trace: &Trace, host: u32) -> u32 {
    host * trace.domains / trace.hosts
}

impl Simulation<'_> {
    fn host_list(&self) -> Vec<ListedHost> {
        let present =
            (0..self.trace.hosts).filter(|h| self.up[*h as usize] || !self.detected[*h as usize]);
        present
            .map(|h| ListedHost {
                host: HostId(h),
                domain: DomainId(domain_of(self.trace, h) as u16),
                address: ([127, 0, 0, 1], 7000).into(),
                leaving: false,
                service: None,
                weights: self.weights[h as usize],
            })
            .collect()
    }

    fn append(&mut self, author: Author, body: Body) -> bool {
        let offset = Offset(self.offset);
        self.offset += 1;
        let record = Record { id: RecordId(u128::from(self.offset)), author, body };
        self.pool.apply(offset, &record).is_ok()
    }

    /// Starts to prepare a host for a group with the given weights, and returns the time at which
    /// the host can serve.
    fn prepare(&mut self, now: f64, host: HostId, weights: u64) -> f64 {
        let h = host.0 as usize;
        if self.weights[h] == Some(weights) {
            return self.weights_ready_at[h].max(now) + self.costs.bind_s;
        }
        // The store serves the fetch as soon as one of its fetch slots is free.
        let slot = (0..self.fetch_slots_free_at.len())
            .min_by(|a, b| self.fetch_slots_free_at[*a].total_cmp(&self.fetch_slots_free_at[*b]));
        let Some(slot) = slot else { return now };
        let starts = self.fetch_slots_free_at[slot].max(now);
        self.fetch_slots_free_at[slot] = starts + self.costs.fetch_s;
        self.weights[h] = Some(weights);
        self.weights_ready_at[h] = starts + self.costs.fetch_s;
        self.weights_ready_at[h] + self.costs.bind_s
    }

    /// Runs the planner until it has nothing left to change, for at most 200 rounds.
    fn plan_until_stable(&mut self, now: f64) {
        for _ in 0..200 {
            let millis = Millis((now * 1000.0) as u64);
            let host_list = self.host_list();
            self.fleet.update_list(millis, &host_list);
            self.fleet.tick(millis.plus(60_000));
            self.report(millis);
            let records = plan(&self.pool, &self.fleet, &self.config).records;
            if records.is_empty() {
                return;
            }
            let mut changed = false;
            for body in records {
                let form = match &body {
                    Body::FormGroup { slot, hosts, spares, .. } => {
                        Some((slot.clone(), hosts.clone(), spares.clone()))
                    }
                    _ => None,
                };
                let epoch = Epoch(self.offset);
                if !self.append(Author::System, body) {
                    continue;
                }
                changed = true;
                if let Some((slot, hosts, spares)) = form {
                    let weights =
                        self.pool.template(&slot.template).map_or(0, |p| p.template.weights());
                    let ready =
                        hosts.iter().map(|h| self.prepare(now, *h, weights)).fold(now, f64::max);
                    for spare in spares {
                        self.prepare(now, spare, weights);
                    }
                    self.serves_at.insert(epoch, ready);
                }
            }
            if !changed {
                return;
            }
        }
    }

    /// Passes the fleet the reports that leaders would send: lost members, and every draining group
    /// as drained, since no requests run here.
    fn report(&mut self, now: Millis) {
        let reports: Vec<GroupReport> = self
            .pool
            .groups()
            .map(|g| GroupReport {
                epoch: g.epoch,
                from: g.ranked[0],
                view: oliveworks_core::id::View(1),
                serving: true,
                lost: g.ranked.iter().copied().filter(|h| self.detected[h.0 as usize]).collect(),
                leaving: false,
                drained: g.state == GroupState::Draining,
            })
            .collect();
        for report in reports {
            self.fleet.report(now, report);
        }
    }

    fn is_serving(&self, now: f64, epoch: Epoch) -> bool {
        let Some(group) = self.pool.group(epoch) else { return false };
        let alive = group.ranked.iter().filter(|h| self.up[h.0 as usize]).count();
        let ready = self.serves_at.get(&epoch).is_some_and(|t| *t <= now);
        ready && alive >= group.width() && group.state == GroupState::Active
    }

    /// Handles the loss of a host. Its group stops serving until a spare takes over or the group is
    /// rebuilt.
    fn host_lost(&mut self, now: f64, host: HostId) {
        let Some(group) = self.pool.group_of(host) else { return };
        self.losses += 1;
        let alive: Vec<HostId> =
            group.ranked.iter().copied().filter(|h| self.up[h.0 as usize]).collect();
        let epoch = group.epoch;
        if alive.len() >= group.width() {
            let ready =
                alive.iter().map(|h| self.weights_ready_at[h.0 as usize]).fold(now, f64::max);
            let serves_again_at = (now + self.costs.failover_s).max(ready + self.costs.bind_s);
            let old = self.serves_at.get(&epoch).copied().unwrap_or(now);
            self.serves_at.insert(epoch, old.max(serves_again_at));
        }
    }
}

/// Simulates one trace with one placement configuration.
pub fn measure(trace: &Trace, costs: Costs, config: PlacementConfig, seed: u64) -> Measures {
    let hosts = trace.hosts as usize;
    let mut sim = Simulation {
        trace,
        costs,
        config,
        pool: Pool::new(PARTNERS.map(name)),
        fleet: Fleet::new(FleetConfig { settle_ms: 0, ..FleetConfig::default() }),
        up: vec![true; hosts],
        detected: vec![false; hosts],
        weights: vec![None; hosts],
        weights_ready_at: vec![0.0; hosts],
        serves_at: BTreeMap::new(),
        fetch_slots_free_at: vec![0.0; costs.concurrent_fetches],
        offset: 0,
        losses: 0,
    };
    for (number, partner) in PARTNERS.iter().enumerate() {
        let body = Body::PublishTemplate { template: template(trace, number), edits: None };
        sim.append(Author::Partner(name(partner)), body);
    }
    sim.plan_until_stable(0.0);
    for at in sim.serves_at.values_mut() {
        *at = 0.0; // The measurement starts with all groups formed and serving.
    }
    sim.weights_ready_at.fill(0.0);
    sim.fetch_slots_free_at.fill(0.0);
    let events = events(trace, seed);
    simulate(&mut sim, events)
}

#[derive(PartialEq)]
struct TimedEvent(f64, Event);

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &TimedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &TimedEvent) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// Processes the events in order, and sums up the downtime and the stranded host time between them.
fn simulate(sim: &mut Simulation<'_>, events: Vec<(f64, Event)>) -> Measures {
    let end = days_to_seconds(sim.trace.days);
    let mut queue: BinaryHeap<TimedEvent> =
        events.into_iter().map(|(t, e)| TimedEvent(t, e)).collect();
    let mut down: Vec<u32> = vec![0; sim.up.len()];
    let mut now = 0.0;
    let mut sums = Measures::default();
    let mut healthy_time = 0.0;
    while let Some(TimedEvent(at, event)) = queue.pop() {
        if at > end {
            break;
        }
        // Groups that are being formed start to serve between events.
        let mut points: BTreeSet<u64> = BTreeSet::new();
        points
            .extend(sim.serves_at.values().filter(|t| **t > now && **t < at).map(|t| t.to_bits()));
        points.insert(at.to_bits());
        for point in points {
            let point = f64::from_bits(point);
            accumulate(sim, now, point - now, &mut sums, &mut healthy_time);
            now = point;
        }
        match event {
            Event::Down(h) => {
                down[h as usize] += 1;
                if down[h as usize] == 1 {
                    sim.up[h as usize] = false;
                    sim.weights[h as usize] = None;
                    sim.host_lost(now, HostId(h));
                    queue.push(TimedEvent(now + sim.costs.detection_s, Event::Plan));
                }
            }
            Event::Up(h) => {
                down[h as usize] = down[h as usize].saturating_sub(1);
                if down[h as usize] == 0 {
                    sim.up[h as usize] = true;
                    sim.weights_ready_at[h as usize] = now;
                    host_returned(sim, now, HostId(h));
                    queue.push(TimedEvent(now + sim.costs.bind_s, Event::Plan));
                }
            }
            Event::Plan => {
                for h in 0..sim.up.len() {
                    sim.detected[h] = !sim.up[h];
                }
                sim.plan_until_stable(now);
            }
        }
        sim.serves_at.retain(|epoch, _| sim.pool.group(*epoch).is_some());
    }
    let wanted = [0, 1].map(|p| f64::from(sim.trace.replicas[p]) * end);
    let all = wanted[0] + wanted[1];
    Measures {
        downtime: [sums.downtime[0] / wanted[0], sums.downtime[1] / wanted[1]],
        stranded: sums.stranded / healthy_time,
        stranded_floor: sums.stranded_floor / healthy_time,
        downtime_floor: sim.losses as f64
            * sim.costs.failover_s.min(sim.costs.detection_s + sim.costs.bind_s)
            / all,
        records: sim.offset,
    }
}

/// Handles the return of a host. If its group still contains the host, the host rejoins without its
/// weights.
fn host_returned(sim: &mut Simulation<'_>, now: f64, host: HostId) {
    let Some(group) = sim.pool.group_of(host) else { return };
    let epoch = group.epoch;
    let weights = sim.pool.template(&group.slot.template).map_or(0, |p| p.template.weights());
    let others = group.ranked.iter().filter(|h| **h != host && sim.up[h.0 as usize]).count();
    let needed = others < group.width();
    let ready = sim.prepare(now, host, weights);
    if needed {
        let old = sim.serves_at.get(&epoch).copied().unwrap_or(now);
        sim.serves_at.insert(epoch, old.max(ready));
    }
}

fn accumulate(
    sim: &Simulation<'_>,
    now: f64,
    span: f64,
    sums: &mut Measures,
    healthy_time: &mut f64,
) {
    let mut serving_hosts = 0;
    let mut serving = [0u32; 2];
    let mut slots = BTreeSet::new();
    for group in sim.pool.groups() {
        if sim.is_serving(now, group.epoch) {
            serving_hosts += group.width();
            if slots.insert(group.slot.clone()) {
                let partner = usize::from(group.slot.template.partner.as_str() == PARTNERS[1]);
                serving[partner] += 1;
            }
        }
    }
    for (partner, served) in serving.iter().enumerate() {
        let missing = u32::from(sim.trace.replicas[partner]).saturating_sub(*served);
        sums.downtime[partner] += f64::from(missing) * span;
    }
    let healthy = sim.up.iter().filter(|u| **u).count();
    sums.stranded += (healthy - serving_hosts.min(healthy)) as f64 * span;
    let mut per_domain: BTreeMap<u32, usize> = BTreeMap::new();
    for (h, _) in sim.up.iter().enumerate().filter(|(_, u)| **u) {
        *per_domain.entry(domain_of(sim.trace, h as u32)).or_default() += 1;
    }
    let width = usize::from(sim.trace.width);
    let possible: usize = per_domain.values().map(|n| n / width).sum();
    let wanted = usize::from(sim.trace.replicas[0]) + usize::from(sim.trace.replicas[1]);
    sums.stranded_floor += (healthy - possible.min(wanted) * width) as f64 * span;
    *healthy_time += healthy as f64 * span;
}
