//! Simulation of gateways and callers of a service whose hosts all name a limit of a few requests
//! per second.
//!
//! Each gateway receives heartbeats of all gateways that can reach it, once a second. Permit
//! requests and answers take a few ms and are occasionally lost. A request takes up to 60 ms to its
//! host.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::rate_limits::buckets::Need;
use oliveworks_gateway_core::rate_limits::limits::Limit;
use oliveworks_gateway_core::rate_limits::permits::Permit;
use oliveworks_gateway_core::rate_limits::{Answer, PermitRequest, Rate, RateLimits, Step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time of the first call, by which gateways know each other, in ms.
const BEGAN: u64 = 10_000;
const END: u64 = BEGAN + 30_000;
/// Time window in which the requests to a host are counted, in ms.
const WINDOW: u64 = 4_000;
/// Interval between two heartbeats, in ms. It is longer than in production to shorten the test.
const HEARTBEAT_MS: u64 = 1_000;
/// Maximum transit time of a request to its host, in ms.
const TRANSIT_MAX_MS: u64 = 60;
/// Time for which a request waits for a permit, in ms.
const PERMIT_WAIT_MS: u64 = 66;
/// Interval between two attempts of a waiting request to get a permit, in ms.
const PERMIT_POLL_MS: u64 = 15;
const MESSAGE_LOSS_PERCENT: u32 = 1;

/// Ways to share a limit among the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The implemented way.
    Limiter,
    /// Equal parts in whole requests per window, for the gateways that rank first by a hash.
    WholeParts,
    /// Equal rates.
    EqualRates,
    /// Rates in proportion to callers, which peers learn one heartbeat later.
    ByCallers,
    /// Each gateway applies the whole limit on its own.
    Alone,
}

/// Faults injected during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The given number of gateways is partitioned from the others for 15 s.
    Cut(usize),
    /// Every 400 ms the next gateway restarts.
    Restarts,
    /// Every 1.5 s the next gateway is frozen, alternately for 2 s and 5 s.
    Frozen,
}

#[derive(Clone, Copy, Debug)]
struct World {
    gateways: usize,
    hosts: usize,
    per_s: f64,
    /// Number of callers per request that the hosts accept.
    load: f64,
    fault: Fault,
}

#[derive(Debug)]
enum Message {
    Request(PermitRequest),
    Answer(Answer),
}

#[derive(Debug)]
enum Event {
    /// Delivery of a message: index of the sender, index of the recipient, message.
    Delivery(usize, usize, Message),
    /// Attempt of a request to get a permit: index of the gateway, deadline of the request.
    PermitAttempt(usize, u64),
}

struct Gateway {
    limits: RateLimits,
    members: Members,
    /// End of the current freeze.
    wakes_at: u64,
    frozen_ms: u64,
    /// Whether the gateway is partitioned from the others.
    cut_off: bool,
    /// Send times and token buckets by host, for the alternatives that are not implemented.
    sent: HashMap<Target, VecDeque<u64>>,
    buckets: HashMap<Target, (f64, u64)>,
    callers: VecDeque<u64>,
}

struct Replay {
    way: Way,
    world: World,
    gateways: Vec<Gateway>,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    arrivals: Vec<(Target, u64)>,
}

/// Result of a replay.
#[derive(Debug)]
struct Outcome {
    /// Maximum number of requests that a host received in any window.
    most: usize,
    sent: usize,
    world: World,
}

impl Outcome {
    /// Returns the requests sent, in percent of the requests that the hosts accept.
    fn used_percent(&self) -> f64 {
        let accepted = self.world.per_s * self.world.hosts as f64 * (END - BEGAN) as f64 / 1_000.0;
        self.sent as f64 * 100.0 / accepted
    }
}

/// Creates the gateway with the given index. A gateway that starts at 0 knows all others.
fn gateway(world: World, own: usize, starts_at: u64) -> Gateway {
    let mut members = Members::new(own as u64, false, starts_at);
    if starts_at == 0 {
        (0..world.gateways).for_each(|other| members.record_contact(other as u64, 0));
    }
    Gateway {
        limits: RateLimits::default(),
        members,
        wakes_at: 0,
        frozen_ms: 0,
        cut_off: false,
        sent: HashMap::new(),
        buckets: HashMap::new(),
        callers: VecDeque::new(),
    }
}

impl Replay {
    fn new(way: Way, world: World, seed: u64) -> Replay {
        let gateways = (0..world.gateways).map(|own| gateway(world, own, 0)).collect();
        Replay {
            way,
            world,
            gateways,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            arrivals: Vec::new(),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn run(mut self) -> Outcome {
        for now in BEGAN - 1_000..END {
            self.change_fault(now);
            if now % HEARTBEAT_MS == 0 {
                self.send_heartbeats(now);
            }
            if now >= BEGAN {
                let accepted_rate = self.world.per_s * self.world.hosts as f64;
                if self.rng.random_bool((accepted_rate * self.world.load / 1_000.0).min(1.0)) {
                    self.caller(now);
                }
            }
            while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, id))) = self.queue.pop() else { break };
                if let Some(event) = self.events.remove(&id) {
                    self.handle_event(now, event);
                }
            }
        }
        Outcome { most: self.most(), sent: self.arrivals.len(), world: self.world }
    }

    fn most(&self) -> usize {
        let hosts = 0..self.world.hosts as u64;
        let most = hosts.map(|host| {
            let mut at: Vec<u64> = self
                .arrivals
                .iter()
                .filter(|(t, _)| *t == Target(host))
                .map(|(_, at)| *at)
                .collect();
            at.sort_unstable();
            (0..at.len()).map(|i| at[i..].iter().take_while(|t| **t < at[i] + WINDOW).count()).max()
        });
        most.flatten().max().unwrap_or(0)
    }

    fn change_fault(&mut self, now: u64) {
        let count = self.gateways.len();
        let since = now.saturating_sub(BEGAN);
        match self.world.fault {
            Fault::None => {}
            Fault::Cut(cut) => {
                let cut_off = (5_000..20_000).contains(&since);
                self.gateways[..cut].iter_mut().for_each(|gateway| gateway.cut_off = cut_off);
            }
            Fault::Restarts if since > 0 && since.is_multiple_of(400) => {
                let own = (since / 400) as usize % count;
                self.gateways[own] = gateway(self.world, own, now);
            }
            Fault::Frozen if since > 0 && since.is_multiple_of(1_500) => {
                let turn = since / 1_500;
                let gateway = &mut self.gateways[turn as usize % count];
                let frozen_ms = if turn.is_multiple_of(2) { 2_000 } else { 5_000 };
                (gateway.wakes_at, gateway.frozen_ms) = (now + frozen_ms, frozen_ms);
            }
            Fault::Restarts | Fault::Frozen => {}
        }
        for gateway in &mut self.gateways {
            if gateway.wakes_at == now && gateway.frozen_ms > 0 {
                gateway.members.record_pause(now, gateway.frozen_ms);
            }
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        let is_running = |gateway: &Gateway| now >= gateway.wakes_at;
        let senders: Vec<(usize, bool)> = (0..self.gateways.len())
            .filter(|index| is_running(&self.gateways[*index]))
            .map(|index| (index, self.gateways[index].cut_off))
            .collect();
        let silent: Vec<Vec<(u64, u64)>> = [false, true]
            .map(|side| {
                let own = self.gateways.iter().filter(|gateway| gateway.cut_off == side);
                own.flat_map(|gateway| gateway.members.silent(now)).collect()
            })
            .into();
        let (hosts, rate) = (self.world.hosts as u64, Rate::from_per_s(self.world.per_s));
        for gateway in self.gateways.iter_mut().filter(|gateway| is_running(gateway)) {
            let side = gateway.cut_off;
            let heard = senders.iter().filter(|(_, cut_off)| *cut_off == side);
            heard.for_each(|(other, _)| gateway.members.record_contact(*other as u64, now));
            silent[usize::from(side)]
                .iter()
                .for_each(|(other, at)| gateway.members.record_contact(*other, *at));
            gateway.members.retain(now);
            gateway.limits.retain(now, |_| true);
            for host in 0..hosts {
                let limit = Limit { target: Target(host), life: None, revision: 1, rate };
                gateway.limits.limits.apply_report(now, limit);
            }
        }
    }

    /// Simulates a call to a random gateway.
    fn caller(&mut self, now: u64) {
        let index = self.rng.random_range(0..self.gateways.len());
        if now < self.gateways[index].wakes_at {
            return;
        }
        self.gateways[index].callers.push_back(now);
        match self.way {
            Way::Limiter => self.push(now, Event::PermitAttempt(index, now + PERMIT_WAIT_MS)),
            _ => {
                let hosts = self.hosts_from_random_start();
                let free_host = hosts.into_iter().find(|host| self.may_send(now, index, *host));
                if let Some(host) = free_host {
                    self.send(now, host);
                }
            }
        }
    }

    fn hosts_from_random_start(&mut self) -> Vec<Target> {
        let count = self.world.hosts as u64;
        let first = self.rng.random_range(0..count);
        (0..count).map(|n| Target((first + n) % count)).collect()
    }

    fn send(&mut self, now: u64, host: Target) {
        let transit_ms = self.rng.random_range(0..TRANSIT_MAX_MS);
        self.arrivals.push((host, now + transit_ms));
    }

    fn handle_event(&mut self, now: u64, event: Event) {
        match event {
            Event::PermitAttempt(index, until) => self.try_send(now, index, until),
            Event::Delivery(from, to, message) => {
                let wakes_at = self.gateways[to].wakes_at;
                if now < wakes_at {
                    return self.push(wakes_at, Event::Delivery(from, to, message));
                }
                let gateway = &mut self.gateways[to];
                match message {
                    Message::Request(permit_request) => {
                        let answer = gateway.limits.answer(now, permit_request, &gateway.members);
                        self.send_message(now, to, from, Message::Answer(answer));
                    }
                    Message::Answer(answer) => gateway.limits.apply_answer(now, answer),
                }
            }
        }
    }

    fn send_message(&mut self, now: u64, from: usize, to: usize, message: Message) {
        let is_partitioned = self.gateways[from].cut_off != self.gateways[to].cut_off;
        if is_partitioned || self.rng.random_ratio(MESSAGE_LOSS_PERCENT, 100) {
            return;
        }
        let transit_ms = self.rng.random_range(1..4);
        self.push(now + transit_ms, Event::Delivery(from, to, message));
    }

    /// Sends a request to a host for which the gateway has a permit, or asks for a permit and
    /// retries later.
    fn try_send(&mut self, now: u64, index: usize, until: u64) {
        if now < self.gateways[index].wakes_at {
            return;
        }
        let hosts = self.hosts_from_random_start();
        let mut has_asked = false;
        let mut free_at = u64::MAX;
        for host in &hosts {
            let gateway = &mut self.gateways[index];
            if let Err(none) = gateway.limits.check(now, *host, Need::Only) {
                free_at = free_at.min(none.free_at);
            }
            if !has_asked {
                match gateway.limits.want(now, *host, Need::Only, &gateway.members) {
                    Step::Wait => {}
                    Step::Decided(_) => has_asked = true,
                    Step::Ask(limiter, permit_request) => {
                        has_asked = true;
                        self.send_message(
                            now,
                            index,
                            limiter as usize,
                            Message::Request(permit_request),
                        );
                    }
                }
            }
            let permit: Option<Permit> = self.gateways[index].limits.take(now, *host);
            if permit.is_some() {
                return self.send(now, *host);
            }
        }
        if now + PERMIT_POLL_MS <= until && free_at <= until {
            self.push(now + PERMIT_POLL_MS, Event::PermitAttempt(index, until));
        }
    }

    /// Returns whether a gateway may send to a host, for the alternatives that are not implemented.
    fn may_send(&mut self, now: u64, index: usize, host: Target) -> bool {
        let world = self.world;
        let rate = match self.way {
            Way::Limiter => return false,
            Way::WholeParts => return self.may_send_part(now, index, host),
            Way::EqualRates => {
                let sharers = self.gateways[index].members.sharing_gateways(now);
                sharers.map_or(0.0, |sharers| world.per_s / sharers as f64)
            }
            Way::ByCallers => world.per_s * self.caller_share(now, index),
            Way::Alone => world.per_s,
        };
        let began = BEGAN - 1_000;
        let (level, at) = self.gateways[index].buckets.entry(host).or_insert((0.0, began));
        *level = (*level + rate * (now - *at) as f64 / 1_000.0).min(1.0);
        *at = now;
        let is_allowed = *level >= 1.0;
        *level -= f64::from(u8::from(is_allowed));
        is_allowed
    }

    fn may_send_part(&mut self, now: u64, index: usize, host: Target) -> bool {
        let gateway = &mut self.gateways[index];
        let bound = self.world.per_s * WINDOW as f64 / 1_000.0;
        let part = gateway.members.share(now, bound, host) as usize;
        let sent = gateway.sent.entry(host).or_default();
        while sent.front().is_some_and(|at| now > at + WINDOW + TRANSIT_MAX_MS) {
            sent.pop_front();
        }
        let is_allowed = sent.len() < part;
        if is_allowed {
            sent.push_back(now);
        }
        is_allowed
    }

    fn caller_share(&mut self, now: u64, index: usize) -> f64 {
        let in_second = |gateway: &Gateway, until: u64| {
            let within = |at: &&u64| **at <= until && **at + 1_000 > until;
            gateway.callers.iter().rev().take(50).filter(within).count()
        };
        let own = in_second(&self.gateways[index], now);
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != index);
        let others: usize = others.map(|(_, other)| in_second(other, now - 100)).sum();
        own as f64 / (own + others).max(1) as f64
    }
}

fn replay(way: Way, world: World) -> Outcome {
    let seeds = if world.gateways > 100 { 0..1 } else { 0..3 };
    let runs: Vec<Outcome> = seeds.map(|seed| Replay::new(way, world, seed).run()).collect();
    Outcome {
        most: runs.iter().map(|outcome| outcome.most).max().unwrap_or(0),
        sent: runs.iter().map(|outcome| outcome.sent).sum::<usize>() / runs.len(),
        world,
    }
}

const FEW: World = World { gateways: 5, hosts: 3, per_s: 2.8, load: 2.0, fault: Fault::None };
const MANY: World = World { gateways: 53, ..FEW };
const HUNDREDS: World = World { gateways: 340, hosts: 1, ..FEW };

/// Returns the maximum number of requests to a host in a window: the permits granted in the window
/// and in the half second before, for which permits are valid, plus the saved content of a bucket.
fn window_limit(per_s: f64) -> usize {
    (4.5 * per_s + f64::max(2.0, per_s / 4.0)).ceil() as usize
}

#[test_case(FEW; "few gateways")]
#[test_case(World { per_s: 0.3, ..FEW }; "less than a request a second")]
#[test_case(World { per_s: 50.0, ..FEW }; "tens of requests a second")]
#[test_case(World { hosts: 40, ..FEW }; "many hosts")]
#[test_case(World { load: 0.7, ..MANY }; "fewer callers than the hosts take")]
#[test_case(MANY; "more gateways than requests")]
#[test_case(World { per_s: 50.0, ..MANY }; "tens of requests a second and of gateways")]
#[test_case(HUNDREDS; "hundreds of gateways")]
#[test_case(World { fault: Fault::Cut(2), ..FEW }; "two of five cut off")]
#[test_case(World { fault: Fault::Cut(2), per_s: 0.3, ..FEW }; "two of five cut off, less than a request a second")]
#[test_case(World { fault: Fault::Cut(20), ..MANY }; "many cut off")]
#[test_case(World { fault: Fault::Restarts, ..MANY }; "restarts")]
#[test_case(World { fault: Fault::Restarts, per_s: 50.0, ..MANY }; "restarts and tens of requests a second")]
#[test_case(World { fault: Fault::Frozen, ..FEW }; "frozen gateways")]
#[test_case(World { fault: Fault::Frozen, per_s: 50.0, ..MANY }; "frozen gateways and tens of requests a second")]
fn a_host_gets_what_it_takes_and_no_more(world: World) {
    let outcome = replay(Way::Limiter, world);
    assert!(
        outcome.most <= window_limit(world.per_s),
        "{} of {} in 4 s",
        outcome.most,
        window_limit(world.per_s)
    );
}

/// The rate of a host is also used with hundreds of gateways, where each gateway has a caller only
/// about once a minute on average.
#[test_case(FEW, 75.0)]
#[test_case(MANY, 60.0)]
#[test_case(HUNDREDS, 60.0)]
fn what_a_host_takes_is_used(world: World, percent: f64) {
    let outcome = replay(Way::Limiter, world);
    assert!(outcome.used_percent() >= percent, "{:.0} of 100 used", outcome.used_percent());
}

/// Guards against a limit that is divided into fixed shares. With more gateways than requests, the
/// shares of gateways without callers remain unused.
#[test_case(Way::WholeParts)]
#[test_case(Way::EqualRates)]
fn equal_parts_are_lost_at_gateways_without_callers(way: Way) {
    let outcome = replay(way, HUNDREDS);
    assert!(outcome.used_percent() < 20.0, "{:.0} of 100 used", outcome.used_percent());
}

/// Parts in proportion to the known callers of each gateway add up to more than the tolerated
/// excess.
#[test_case(Way::ByCallers; "parts in proportion to callers")]
#[test_case(Way::Alone; "each gateway alone")]
fn other_ways_break_the_limit(way: Way) {
    let outcome = replay(way, MANY);
    assert!(outcome.most as f64 > 1.5 * 4.0 * MANY.per_s + 5.0, "{} in 4 s", outcome.most);
}
