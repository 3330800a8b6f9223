//! A pool under load: heads run about thirty requests each, hosts end under some of them, and the
//! requests that ran there are sent again.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::crashers::{Chain, Crashers, Features, SETTLED_MS, Standing};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of gateways.
pub const GATEWAYS: usize = 5;
const HEADS: usize = 6;
/// Maximum number of concurrent requests at one head.
const SLOTS: usize = 34;
/// Time from the end of a head to the start of its replacement, in ms.
const REPLACEMENT_MS: u64 = 4_000;
/// Duration of a step, in ms.
pub const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 100;
/// Rate of requests that crash no hosts, per second.
const SOUND_PER_S: u64 = 200;
/// Number of sends of one attempt of a caller.
const SENDS: u32 = 2;
/// Number of attempts of one caller.
const ATTEMPTS: u32 = 2;

/// Requests that arrive at the pool, identified by numbers.
pub trait Traffic {
    /// Returns the features of a request.
    fn features(&self, number: u64) -> Features;
    /// Returns the number of the defect for which a request crashes its hosts, if it does.
    fn cause(&self, number: u64) -> Option<u64>;
    /// Returns the requests that crash their hosts and arrive in a step.
    fn crashing_arrivals(&self, now: u64) -> Vec<u64>;
    /// Returns one of the other requests that arrive in a step.
    fn sound_arrival(&self, now: u64, count: u64) -> u64;
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

/// The pool, with the gateways in front of it.
pub struct World<T> {
    traffic: T,
    rng: ChaCha8Rng,
    /// Time since the start, in ms.
    pub now: u64,
    pub gateways: Vec<Crashers>,
    heads: Vec<Head>,
    hosts: u64,
    runs: BTreeMap<u64, Run>,
    copies: u64,
    /// Times at which hosts ended for each defect.
    pub ends: BTreeMap<u64, Vec<u64>>,
    /// Send times of requests with each defect.
    pub sent: BTreeMap<u64, Vec<u64>>,
    /// Requests that were rejected because of a conviction.
    pub convicted: BTreeSet<u64>,
    /// Requests that were rejected because a similar one was tried, with the times.
    pub waited: Vec<(u64, u64)>,
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

impl<T: Traffic> World<T> {
    /// Creates a pool without requests.
    pub fn new(seed: u64, traffic: T) -> World<T> {
        let heads = (0..HEADS as u64).map(|host| Head { host: Target(host), up_at: 0 });
        World {
            traffic,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gateways: vec![Crashers::default(); GATEWAYS],
            heads: heads.collect(),
            hosts: HEADS as u64,
            runs: BTreeMap::new(),
            copies: 0,
            ends: BTreeMap::new(),
            sent: BTreeMap::new(),
            convicted: BTreeSet::new(),
            waited: Vec::new(),
            report_at: 0,
            resends: Vec::new(),
        }
    }

    /// Replaces a gateway by one that knows nothing yet.
    pub fn restart(&mut self, gateway: usize) {
        self.gateways[gateway] = Crashers::default();
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.gateway == gateway).map(|(c, _)| *c).collect();
        lost.iter().for_each(|copy| {
            self.runs.remove(copy);
        });
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
        let features = self.traffic.features(number);
        let cause = self.traffic.cause(number);
        let standing = self.gateways[gateway].standing(self.now, &features);
        if matches!(standing, Standing::Convicted { .. }) {
            self.convicted.insert(number);
            return;
        }
        if self.gateways[gateway].must_wait_for_trial(self.now, &features) {
            self.waited.push((number, self.now));
            return;
        }
        let Some(head) = self.place(gateway, standing) else { return };
        let began = self.now + self.rng.random_range(150..450);
        let first_event_at = if cause.is_some() { u64::MAX } else { began };
        let until = match cause.is_some() {
            true => began + 56,
            false => began + self.rng.random_range(400..1_200),
        };
        if standing != Standing::Clear {
            let host = self.heads[head].host;
            self.gateways[gateway].placed(self.now, host, &features, standing);
            self.report_at = self.now + STEP_MS;
        }
        if let Some(cause) = cause {
            self.sent.entry(cause).or_default().push(self.now);
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
            let features = self.traffic.features(run.number);
            self.gateways[run.gateway].left(host, &features, run.standing);
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
            let features = self.traffic.features(run.number);
            crashers.host_ended(self.now, &features, host, delivered_ms);
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
            .filter(|(_, run)| self.traffic.cause(run.number).is_some())
            .map(|(copy, run)| (*copy, *run))
            .collect();
        for (copy, run) in sent {
            let features = self.traffic.features(run.number);
            let standing = self.gateways[run.gateway].standing(self.now, &features);
            if matches!(standing, Standing::Convicted { .. }) {
                self.remove_run(copy);
            }
        }
    }

    /// Simulates one step. `crash_interval_ms` is the interval at which hosts end for a reason
    /// unrelated to any request.
    pub fn step(&mut self, crash_interval_ms: Option<u64>) {
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
            if let Some(cause) = self.traffic.cause(run.number) {
                self.ends.entry(cause).or_default().push(self.now);
                self.end(run.head);
            } else if let Some(run) = self.remove_run(copy) {
                let features = self.traffic.features(run.number);
                self.gateways[run.gateway].record_survival(self.now, &features);
            }
        }
        if crash_interval_ms.is_some_and(|interval_ms| self.now.is_multiple_of(interval_ms)) {
            let head = self.rng.random_range(0..HEADS);
            self.end(head);
        }
        for number in self.traffic.crashing_arrivals(self.now) {
            let gateway = self.rng.random_range(0..GATEWAYS);
            self.send(number, gateway, 0);
        }
        for count in 0..SOUND_PER_S * STEP_MS / 1_000 {
            let gateway = self.rng.random_range(0..GATEWAYS);
            self.send(self.traffic.sound_arrival(self.now, count), gateway, 0);
        }
    }
}
