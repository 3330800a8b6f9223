//! Gateways and callers of a service whose hosts all name a limit of few requests a second.
//!
//! Each gateway hears those that it can, some times a second. Questions and answers take a few ms and are lost now and then; a
//! request takes up to 60 ms to its host.

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

/// Gateways know each other by then.
const BEGAN: u64 = 10_000;
const END: u64 = BEGAN + 30_000;
const WINDOW: u64 = 4_000;
/// The time between two heartbeats, longer here for the sake of the run's own time.
const BEAT_MS: u64 = 1_000;
const WAY_MS: u64 = 60;
/// How long a request waits for a permit, and the time between two looks.
const PATIENCE_MS: u64 = 66;
const LOOK_MS: u64 = 15;
const LOST_PERCENT: u32 = 1;

/// How a limit is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// What is built.
    Limiter,
    /// Equal parts in whole requests of a window, for those that come first by a hash.
    WholeParts,
    /// Equal rates.
    EqualRates,
    /// Rates in proportion to callers, as others know them a heartbeat later.
    ByCallers,
    /// Each gateway keeps to the whole limit.
    Alone,
}

/// What happens meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// So many gateways are cut off from the others for 15 s.
    Cut(usize),
    /// A gateway starts again each 400 ms, one after the other.
    Restarts,
    /// A gateway is frozen for 2 s, and for 5 s, each 1.5 s.
    Frozen,
}

#[derive(Clone, Copy, Debug)]
struct World {
    gateways: usize,
    hosts: usize,
    per_s: f64,
    /// Callers for each request that the hosts take.
    load: f64,
    trouble: Trouble,
}

#[derive(Debug)]
enum Message {
    Question(PermitRequest),
    Answer(Answer),
}

#[derive(Debug)]
enum Event {
    /// A message for a gateway, from the one of a number.
    Comes(usize, usize, Message),
    /// A request at a gateway looks for a place; it gives up at a time.
    Looks(usize, u64),
}

struct Gateway {
    limits: RateLimits,
    members: Members,
    /// Frozen until then.
    wakes_at: u64,
    frozen_ms: u64,
    /// Cut off from the others.
    cut_off: bool,
    /// For the ways that are not built: what was sent, and what the buckets hold.
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

/// How it went.
#[derive(Debug)]
struct Found {
    /// The most requests that a host got in any window.
    most: usize,
    sent: usize,
    world: World,
}

impl Found {
    /// Requests sent of those that hosts take, in hundredths.
    fn used_percent(&self) -> f64 {
        let takes = self.world.per_s * self.world.hosts as f64 * (END - BEGAN) as f64 / 1_000.0;
        self.sent as f64 * 100.0 / takes
    }
}

/// A gateway of a number, which knows all others if it was there from the beginning.
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

    fn run(mut self) -> Found {
        for now in BEGAN - 1_000..END {
            self.trouble(now);
            if now % BEAT_MS == 0 {
                self.beat(now);
            }
            if now >= BEGAN {
                let takes = self.world.per_s * self.world.hosts as f64;
                if self.rng.random_bool((takes * self.world.load / 1_000.0).min(1.0)) {
                    self.caller(now);
                }
            }
            while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, id))) = self.queue.pop() else { break };
                if let Some(event) = self.events.remove(&id) {
                    self.take(now, event);
                }
            }
        }
        Found { most: self.most(), sent: self.arrivals.len(), world: self.world }
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

    fn trouble(&mut self, now: u64) {
        let count = self.gateways.len();
        let since = now.saturating_sub(BEGAN);
        match self.world.trouble {
            Trouble::None => {}
            Trouble::Cut(cut) => {
                let cut_off = (5_000..20_000).contains(&since);
                self.gateways[..cut].iter_mut().for_each(|gateway| gateway.cut_off = cut_off);
            }
            Trouble::Restarts if since > 0 && since.is_multiple_of(400) => {
                let own = (since / 400) as usize % count;
                self.gateways[own] = gateway(self.world, own, now);
            }
            Trouble::Frozen if since > 0 && since.is_multiple_of(1_500) => {
                let turn = since / 1_500;
                let gateway = &mut self.gateways[turn as usize % count];
                let frozen_ms = if turn.is_multiple_of(2) { 2_000 } else { 5_000 };
                (gateway.wakes_at, gateway.frozen_ms) = (now + frozen_ms, frozen_ms);
            }
            Trouble::Restarts | Trouble::Frozen => {}
        }
        for gateway in &mut self.gateways {
            if gateway.wakes_at == now && gateway.frozen_ms > 0 {
                gateway.members.record_pause(now, gateway.frozen_ms);
            }
        }
    }

    fn beat(&mut self, now: u64) {
        let speaks = |gateway: &Gateway| now >= gateway.wakes_at;
        let told: Vec<(usize, bool)> = (0..self.gateways.len())
            .filter(|index| speaks(&self.gateways[*index]))
            .map(|index| (index, self.gateways[index].cut_off))
            .collect();
        let silent: Vec<Vec<(u64, u64)>> = [false, true]
            .map(|side| {
                let own = self.gateways.iter().filter(|gateway| gateway.cut_off == side);
                own.flat_map(|gateway| gateway.members.silent(now)).collect()
            })
            .into();
        let (hosts, rate) = (self.world.hosts as u64, Rate::from_per_s(self.world.per_s));
        for gateway in self.gateways.iter_mut().filter(|gateway| speaks(gateway)) {
            let side = gateway.cut_off;
            let heard = told.iter().filter(|(_, cut_off)| *cut_off == side);
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

    /// A caller comes to a gateway.
    fn caller(&mut self, now: u64) {
        let index = self.rng.random_range(0..self.gateways.len());
        if now < self.gateways[index].wakes_at {
            return;
        }
        self.gateways[index].callers.push_back(now);
        match self.way {
            Way::Limiter => self.push(now, Event::Looks(index, now + PATIENCE_MS)),
            _ => {
                let hosts = self.hosts_from_a_drawn_one();
                let found = hosts.into_iter().find(|host| self.may_send(now, index, *host));
                if let Some(host) = found {
                    self.send(now, host);
                }
            }
        }
    }

    fn hosts_from_a_drawn_one(&mut self) -> Vec<Target> {
        let count = self.world.hosts as u64;
        let first = self.rng.random_range(0..count);
        (0..count).map(|n| Target((first + n) % count)).collect()
    }

    fn send(&mut self, now: u64, host: Target) {
        let way_ms = self.rng.random_range(0..WAY_MS);
        self.arrivals.push((host, now + way_ms));
    }

    fn take(&mut self, now: u64, event: Event) {
        match event {
            Event::Looks(index, until) => self.look(now, index, until),
            Event::Comes(from, to, message) => {
                let wakes_at = self.gateways[to].wakes_at;
                if now < wakes_at {
                    return self.push(wakes_at, Event::Comes(from, to, message));
                }
                let gateway = &mut self.gateways[to];
                match message {
                    Message::Question(question) => {
                        let answer = gateway.limits.answer(now, question, &gateway.members);
                        self.tell(now, to, from, Message::Answer(answer));
                    }
                    Message::Answer(answer) => gateway.limits.answered(now, answer),
                }
            }
        }
    }

    fn tell(&mut self, now: u64, from: usize, to: usize, message: Message) {
        let apart = self.gateways[from].cut_off != self.gateways[to].cut_off;
        if apart || self.rng.random_ratio(LOST_PERCENT, 100) {
            return;
        }
        let way_ms = self.rng.random_range(1..4);
        self.push(now + way_ms, Event::Comes(from, to, message));
    }

    /// A request looks for a host that it has a permit for, and asks for permits if there is none.
    fn look(&mut self, now: u64, index: usize, until: u64) {
        if now < self.gateways[index].wakes_at {
            return;
        }
        let hosts = self.hosts_from_a_drawn_one();
        let mut asked = false;
        let mut free_at = u64::MAX;
        for host in &hosts {
            let gateway = &mut self.gateways[index];
            if let Err(none) = gateway.limits.check(now, *host, Need::Only) {
                free_at = free_at.min(none.free_at);
            }
            if !asked {
                match gateway.limits.want(now, *host, Need::Only, &gateway.members) {
                    Step::Wait => {}
                    Step::Decided(_) => asked = true,
                    Step::Ask(limiter, question) => {
                        asked = true;
                        self.tell(now, index, limiter as usize, Message::Question(question));
                    }
                }
            }
            let permit: Option<Permit> = self.gateways[index].limits.take(now, *host);
            if permit.is_some() {
                return self.send(now, *host);
            }
        }
        if now + LOOK_MS <= until && free_at <= until {
            self.push(now + LOOK_MS, Event::Looks(index, until));
        }
    }

    /// The ways that are not built.
    fn may_send(&mut self, now: u64, index: usize, host: Target) -> bool {
        let world = self.world;
        let rate = match self.way {
            Way::Limiter => return false,
            Way::WholeParts => return self.takes_part(now, index, host),
            Way::EqualRates => {
                let sharers = self.gateways[index].members.sharers(now);
                sharers.map_or(0.0, |sharers| world.per_s / sharers as f64)
            }
            Way::ByCallers => world.per_s * self.caller_share(now, index),
            Way::Alone => world.per_s,
        };
        let began = BEGAN - 1_000;
        let (level, at) = self.gateways[index].buckets.entry(host).or_insert((0.0, began));
        *level = (*level + rate * (now - *at) as f64 / 1_000.0).min(1.0);
        *at = now;
        let may = *level >= 1.0;
        *level -= f64::from(u8::from(may));
        may
    }

    fn takes_part(&mut self, now: u64, index: usize, host: Target) -> bool {
        let gateway = &mut self.gateways[index];
        let bound = self.world.per_s * WINDOW as f64 / 1_000.0;
        let part = gateway.members.share(now, bound, host) as usize;
        let sent = gateway.sent.entry(host).or_default();
        while sent.front().is_some_and(|at| now > at + WINDOW + WAY_MS) {
            sent.pop_front();
        }
        let may = sent.len() < part;
        if may {
            sent.push_back(now);
        }
        may
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

fn replay(way: Way, world: World) -> Found {
    let seeds = if world.gateways > 100 { 0..1 } else { 0..3 };
    let runs: Vec<Found> = seeds.map(|seed| Replay::new(way, world, seed).run()).collect();
    Found {
        most: runs.iter().map(|found| found.most).max().unwrap_or(0),
        sent: runs.iter().map(|found| found.sent).sum::<usize>() / runs.len(),
        world,
    }
}

const FEW: World = World { gateways: 5, hosts: 3, per_s: 2.8, load: 2.0, trouble: Trouble::None };
const MANY: World = World { gateways: 53, ..FEW };
const HUNDREDS: World = World { gateways: 340, hosts: 1, ..FEW };

/// What is granted in a window and in the half second before, in which permits hold, and what a bucket had saved up.
fn aim(per_s: f64) -> usize {
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
#[test_case(World { trouble: Trouble::Cut(2), ..FEW }; "two of five cut off")]
#[test_case(World { trouble: Trouble::Cut(2), per_s: 0.3, ..FEW }; "two of five cut off, less than a request a second")]
#[test_case(World { trouble: Trouble::Cut(20), ..MANY }; "many cut off")]
#[test_case(World { trouble: Trouble::Restarts, ..MANY }; "restarts")]
#[test_case(World { trouble: Trouble::Restarts, per_s: 50.0, ..MANY }; "restarts and tens of requests a second")]
#[test_case(World { trouble: Trouble::Frozen, ..FEW }; "frozen gateways")]
#[test_case(World { trouble: Trouble::Frozen, per_s: 50.0, ..MANY }; "frozen gateways and tens of requests a second")]
fn a_host_gets_what_it_takes_and_no_more(world: World) {
    let found = replay(Way::Limiter, world);
    assert!(found.most <= aim(world.per_s), "{} of {} in 4 s", found.most, aim(world.per_s));
}

/// Also where each gateway has a caller in minutes.
#[test_case(FEW, 75.0)]
#[test_case(MANY, 60.0)]
#[test_case(HUNDREDS, 60.0)]
fn what_a_host_takes_is_used(world: World, percent: f64) {
    let found = replay(Way::Limiter, world);
    assert!(found.used_percent() >= percent, "{:.0} of 100 used", found.used_percent());
}

/// Why a limiter: parts that need no question are lost where gateways are more than requests.
#[test_case(Way::WholeParts)]
#[test_case(Way::EqualRates)]
fn equal_parts_are_lost_at_gateways_without_callers(way: Way) {
    let found = replay(way, HUNDREDS);
    assert!(found.used_percent() < 20.0, "{:.0} of 100 used", found.used_percent());
}

/// And parts by what gateways know of each other's callers sum up to more than is forgiven.
#[test_case(Way::ByCallers; "parts in proportion to callers")]
#[test_case(Way::Alone; "each gateway alone")]
fn other_ways_break_the_limit(way: Way) {
    let found = replay(way, MANY);
    assert!(found.most as f64 > 1.5 * 4.0 * MANY.per_s + 5.0, "{} in 4 s", found.most);
}
