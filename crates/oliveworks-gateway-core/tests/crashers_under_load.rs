//! A request that crashes its hosts arrives repeatedly while each host runs about thirty other
//! requests.
//!
//! Guards against a conviction that comes too late. After three hosts had ended under one such
//! request, the request was sent 12 more times in ten seconds. In a day 25 hosts ended, each with
//! the streams of about thirty callers. The request was suspected and its chain of ends grew to 7,
//! but the number of ends needed for a conviction grew as well (`ends_in_a_row` 4 with
//! `ends_needed` 5 and more): each moment at which a host ended for another reason, and each
//! forgotten end of the request's own chain, required one more end. Copies of the request arrived
//! at several gateways, and a gateway that had observed a single end did not report it.

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::crashers::{
    Chain, Crashers, Features, Fingerprint, SETTLED_MS, Standing,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const GATEWAYS: usize = 5;
const HEADS: usize = 6;
/// Maximum number of concurrent requests at one head.
const SLOTS: usize = 34;
/// Time from the end of a head to the start of its replacement, in ms.
const REPLACEMENT_MS: u64 = 4_000;
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 100;
/// Rate of harmless requests, per second.
const HARMLESS_PER_S: u64 = 200;
/// Interval between two arrivals of a request that crashes its hosts, in ms.
const ARRIVAL_INTERVAL_MS: u64 = 110;
/// Period in which requests that crash their hosts arrive, in ms.
const ARRIVALS: std::ops::Range<u64> = 2_000..11_000;
const DURATION_MS: u64 = 14_000;
/// Number of sends of one attempt of a caller.
const SENDS: u32 = 2;
/// Number of attempts of one caller.
const ATTEMPTS: u32 = 2;
/// Maximum average number of hosts that a request that crashes its hosts may end.
const ENDS_MAX: usize = 5;
/// Maximum number of sends of a request that crashes its hosts, more than `LATE_AFTER_MS` after its
/// third end.
const LATE_SENDS_MAX: usize = 3;
const LATE_AFTER_MS: u64 = 3_000;

fn request(number: u64) -> Features {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Fingerprint(bytes).into()
}

fn is_convicted(crashers: &mut Crashers, now: u64, number: u64) -> bool {
    matches!(crashers.standing(now, &request(number)), Standing::Convicted { .. })
}

/// A run of one copy of a request.
#[derive(Clone, Copy)]
struct Run {
    number: u64,
    gateway: usize,
    head: usize,
    first_event_at: u64,
    /// Time at which the request finishes, or ends its host, in ms.
    until: u64,
    sends: u32,
    standing: Standing,
}

struct Head {
    host: Target,
    up_at: u64,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    gateways: Vec<Crashers>,
    heads: Vec<Head>,
    hosts: u64,
    runs: BTreeMap<u64, Run>,
    copies: u64,
    /// Number of requests that crash their hosts. These requests have the lowest numbers.
    guilty: u64,
    /// Times at which hosts ended under each of these requests.
    ends: BTreeMap<u64, Vec<u64>>,
    /// Send times of each of these requests.
    sent: BTreeMap<u64, Vec<u64>>,
    convicted: BTreeSet<u64>,
    report_at: u64,
    /// Requests to send again, with their send times.
    resends: Vec<(u64, Resend)>,
}

/// A request that is sent again.
#[derive(Clone, Copy)]
struct Resend {
    number: u64,
    gateway: usize,
    sends: u32,
}

impl World {
    fn new(seed: u64, guilty: u64) -> World {
        let heads = (0..HEADS as u64).map(|host| Head { host: Target(host), up_at: 0 });
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gateways: vec![Crashers::default(); GATEWAYS],
            heads: heads.collect(),
            hosts: HEADS as u64,
            runs: BTreeMap::new(),
            copies: 0,
            guilty,
            ends: BTreeMap::new(),
            sent: BTreeMap::new(),
            convicted: BTreeSet::new(),
            report_at: 0,
            resends: Vec::new(),
        }
    }

    fn load(&self, head: usize) -> usize {
        self.runs.values().filter(|run| run.head == head).count()
    }

    /// Returns the least loaded of the given heads, if that head has a free slot. Ties are broken
    /// at random.
    fn least_busy(&mut self, heads: &[usize]) -> Option<usize> {
        let load = |head: &&usize| self.load(**head);
        let least = heads.iter().map(|head| self.load(*head)).min().filter(|load| *load < SLOTS)?;
        let equals: Vec<usize> = heads.iter().filter(|h| load(h) == least).copied().collect();
        equals.choose(&mut self.rng).copied()
    }

    /// Returns the head for a request. A suspect is kept apart from other suspects of its gateway
    /// if possible.
    fn place(&mut self, gateway: usize, standing: Standing) -> Option<usize> {
        let live_heads: Vec<usize> =
            (0..HEADS).filter(|n| self.heads[*n].up_at <= self.now).collect();
        if standing != Standing::Clear {
            for is_present in [Crashers::has_suspects, Crashers::has_strong_suspects] {
                let crashers = &self.gateways[gateway];
                let candidates =
                    live_heads.iter().filter(|n| !is_present(crashers, self.heads[**n].host));
                let candidates: Vec<usize> = candidates.copied().collect();
                if let Some(head) = self.least_busy(&candidates) {
                    return Some(head);
                }
            }
        }
        self.least_busy(&live_heads)
    }

    fn send(&mut self, number: u64, gateway: usize, sends: u32) {
        let standing = self.gateways[gateway].standing(self.now, &request(number));
        if matches!(standing, Standing::Convicted { .. }) {
            self.convicted.insert(number);
            return;
        }
        if self.gateways[gateway].must_wait_for_trial(self.now, &request(number)) {
            return;
        }
        let Some(head) = self.place(gateway, standing) else { return };
        let began = self.now + self.rng.random_range(150..450);
        let first_event_at = if number < self.guilty { u64::MAX } else { began };
        let until = match number < self.guilty {
            true => began + 56,
            false => began + self.rng.random_range(400..1_200),
        };
        if standing != Standing::Clear {
            let host = self.heads[head].host;
            self.gateways[gateway].placed(self.now, host, &request(number), standing);
            self.report_at = self.now + STEP_MS;
        }
        if number < self.guilty {
            self.sent.entry(number).or_default().push(self.now);
        }
        let run = Run { number, gateway, head, first_event_at, until, sends: sends + 1, standing };
        self.runs.insert(self.copies, run);
        self.copies += 1;
    }

    /// Removes the run of a copy and releases its place at the gateway.
    fn remove_run(&mut self, copy: u64) -> Option<Run> {
        let run = self.runs.remove(&copy)?;
        if run.standing != Standing::Clear {
            let host = self.heads[run.head].host;
            self.gateways[run.gateway].left(host, &request(run.number), run.standing);
        }
        Some(run)
    }

    /// Ends the host of a head, together with all runs there.
    fn end(&mut self, head: usize) {
        let interrupted: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.head == head).map(|(copy, _)| *copy).collect();
        let lost: Vec<Run> =
            interrupted.into_iter().filter_map(|copy| self.remove_run(copy)).collect();
        let host = self.heads[head].host;
        self.heads[head] = Head { host: Target(self.hosts), up_at: self.now + REPLACEMENT_MS };
        self.hosts += 1;
        for run in &lost {
            let delivered_ms = self.now.saturating_sub(run.first_event_at);
            let crashers = &mut self.gateways[run.gateway];
            crashers.host_ended(self.now, &request(run.number), host, delivered_ms);
        }
        // Ends of hosts are reported at once.
        self.report_at = self.now + STEP_MS;
        for run in lost {
            let Run { number, sends, .. } = run;
            let gateway = match sends % SENDS > 0 {
                true => run.gateway,
                false => self.rng.random_range(0..GATEWAYS),
            };
            if sends < SENDS * ATTEMPTS {
                self.resends.push((self.now + SETTLED_MS, Resend { number, gateway, sends }));
            }
        }
    }

    fn resend(&mut self) {
        let now = self.now;
        let due: Vec<(u64, Resend)> = self.resends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, Resend { number, gateway, sends }) in due {
            self.send(number, gateway, sends);
        }
    }

    /// Delivers the chains of every gateway to all other gateways, 2 ms later.
    fn exchange_chains(&mut self) {
        let now = self.now;
        let chains_by_gateway: Vec<Vec<Chain>> =
            self.gateways.iter_mut().map(|g| g.chains_to_report(now)).collect();
        for (to, gateway) in self.gateways.iter_mut().enumerate() {
            let from_others = chains_by_gateway.iter().enumerate().filter(|(from, _)| *from != to);
            for chain in from_others.flat_map(|(_, chains)| chains) {
                gateway.apply_report(now + 2, chain.clone());
            }
        }
    }

    /// Cancels the runs of convicted requests at each gateway that knows of the conviction.
    fn cancel_convicted(&mut self) {
        let sent: Vec<(u64, Run)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.number < self.guilty)
            .map(|(copy, run)| (*copy, *run))
            .collect();
        for (copy, run) in sent {
            if is_convicted(&mut self.gateways[run.gateway], self.now, run.number) {
                self.remove_run(copy);
            }
        }
    }

    fn step(&mut self, crash_interval_ms: Option<u64>) {
        self.now += STEP_MS;
        if self.now >= self.report_at {
            self.exchange_chains();
            self.report_at = self.now + HEARTBEAT_MS;
        }
        self.cancel_convicted();
        self.resend();
        let due: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.until <= self.now).map(|(c, _)| *c).collect();
        for copy in due {
            let Some(run) = self.runs.get(&copy).copied() else { continue };
            if run.number < self.guilty {
                self.ends.entry(run.number).or_default().push(self.now);
                self.end(run.head);
            } else if let Some(run) = self.remove_run(copy) {
                self.gateways[run.gateway].survived(self.now, &request(run.number));
            }
        }
        if crash_interval_ms.is_some_and(|interval_ms| self.now.is_multiple_of(interval_ms)) {
            let head = self.rng.random_range(0..HEADS);
            self.end(head);
        }
        for number in 0..self.guilty {
            let arrives = ARRIVALS.contains(&self.now) && self.now % ARRIVAL_INTERVAL_MS < STEP_MS;
            if arrives {
                let gateway = self.rng.random_range(0..GATEWAYS);
                self.send(number, gateway, 0);
            }
        }
        for harmless in 0..HARMLESS_PER_S * STEP_MS / 1_000 {
            let gateway = self.rng.random_range(0..GATEWAYS);
            self.send(self.guilty + self.now * 100 + harmless, gateway, 0);
        }
    }
}

/// Simulates `DURATION_MS` of traffic. `crash_interval_ms` is the interval at which hosts end for a
/// reason unrelated to any request.
fn simulate(seed: u64, guilty: u64, crash_interval_ms: Option<u64>) -> World {
    let mut world = World::new(seed, guilty);
    while world.now < DURATION_MS {
        world.step(crash_interval_ms);
    }
    world
}

/// Returns the number of seeds to simulate: `OLIVEWORKS_SEEDS` if set, otherwise 60.
fn seeds() -> u64 {
    std::env::var("OLIVEWORKS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60)
}

/// Returns the number of sends of a request more than `LATE_AFTER_MS` after its third end.
fn late_sends(world: &World, number: u64) -> usize {
    let Some(third) = world.ends.get(&number).and_then(|ends| ends.get(2)) else { return 0 };
    world.sent[&number].iter().filter(|at| **at > third + LATE_AFTER_MS).count()
}

#[test_case(1, None; "one")]
#[test_case(2, None; "two at once")]
#[test_case(1, Some(2_000); "one beside crashes")]
fn a_guilty_request_is_convicted_in_time(guilty: u64, crash_interval_ms: Option<u64>) {
    let mut ended = 0;
    for seed in 0..seeds() {
        let world = simulate(seed, guilty, crash_interval_ms);
        for number in 0..guilty {
            let late = late_sends(&world, number);
            assert!(
                late <= LATE_SENDS_MAX,
                "seed {seed}: request {number} was sent {late} times too late"
            );
            ended += world.ends.get(&number).map_or(0, Vec::len);
        }
        let innocent: Vec<u64> = world.convicted.range(guilty..).copied().collect();
        assert_eq!(innocent, Vec::<u64>::new(), "seed {seed}");
    }
    let simulations = (seeds() * guilty) as usize;
    assert!(ended <= ENDS_MAX * simulations, "{ended} hosts ended in {simulations} simulations");
}

#[test_case(None; "no crash")]
#[test_case(Some(1_000); "a crash a second")]
fn no_request_is_convicted_without_a_guilty_one(crash_interval_ms: Option<u64>) {
    for seed in 0..seeds() {
        assert_eq!(simulate(seed, 0, crash_interval_ms).convicted, BTreeSet::new(), "seed {seed}");
    }
}

/// Hosts that end for other reasons raise the number of ends needed for a conviction, but not
/// without bound.
#[test]
fn unrelated_ends_delay_a_conviction_within_a_bound() {
    let mut crashers = Crashers::default();
    for end in 0..ENDS_MAX as u64 {
        let now = 1_000 + end * 1_500;
        crashers.host_ended(now, &request(0), Target(end), 0);
        crashers.host_ended(now + 700, &request(100 + end), Target(100 + end), 0);
    }
    assert!(is_convicted(&mut crashers, 9_000, 0));
}

/// Guards against the end of a conviction when a host ends for another reason: the request was
/// rejected and then sent again.
#[test]
fn a_conviction_outlasts_unrelated_ends() {
    let mut crashers = Crashers::default();
    for end in 0..3 {
        crashers.host_ended(1_000 + end * 1_000, &request(0), Target(end), 0);
    }
    assert!(is_convicted(&mut crashers, 3_000, 0));
    for end in 0..10 {
        let now = 4_000 + end * 1_000;
        crashers.host_ended(now, &request(1 + end), Target(100 + end), 0);
        assert!(is_convicted(&mut crashers, now, 0), "after {end} more ends");
    }
}

/// Each copy of the request arrives at a different gateway and ends one host there.
#[test]
fn gateways_that_observed_one_end_each_convict_the_request() {
    let mut gateways = vec![Crashers::default(); 3];
    for end in 0..3 {
        let now = 1_000 + end * 500;
        gateways[end as usize].host_ended(now, &request(0), Target(end), 0);
        let reported: Vec<Chain> =
            gateways.iter_mut().flat_map(|g| g.chains_to_report(now)).collect();
        for gateway in &mut gateways {
            reported.iter().for_each(|chain| {
                gateway.apply_report(now + 2, chain.clone());
            });
        }
    }
    for gateway in &mut gateways {
        assert!(is_convicted(gateway, 2_100, 0));
    }
}
