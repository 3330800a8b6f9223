//! Gateways and callers that return all at once to one cold head.
//!
//! Each gateway hears all others that it can, ten times a second. A request takes up to 60 ms to the head,
//! and counts in a second if it was both sent and has arrived in it.

use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::slow_start::cold::Listed;
use oliveworks_gateway_core::slow_start::sends::Sends;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::{BOUND, CONFIG, HEAD, TERMS};

/// For so long the head is cold, and callers come.
const LASTS_MS: u64 = 6_000;
/// Callers who were refused while the head was away, and who come all at once.
const RETURNING: usize = 300;
/// Further callers in a second.
const PER_S: u32 = 60;
const WAY_MS: u64 = 60;
const BEAT_MS: u64 = 100;
/// Callers come to gateways unequally: to the first ones more.
const UNEQUAL: f64 = 1.7;

/// How the bound is shared out.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// What is built.
    Built,
    /// Equal parts of few gateways.
    Few(u32),
    /// Parts in proportion to the callers that each gateway had in the last second, as others know it 100 ms
    /// later.
    ByCallers,
    /// No bound.
    None,
}

struct Gateway {
    slow_starts: SlowStarts,
    sends: Sends,
    callers_at: Vec<u64>,
    starts_at: u64,
    cut_off: bool,
}

struct Replay {
    way: Way,
    gateways: Vec<Gateway>,
    rng: ChaCha8Rng,
    /// When requests were sent and arrived.
    sent: Vec<(u64, u64)>,
}

/// How it went.
struct Found {
    /// The most requests that were sent and arrived in one second.
    most: usize,
    /// All that were sent.
    sent: usize,
}

impl Replay {
    fn new(way: Way, known: usize, cut_off: usize, new: usize, seed: u64) -> Replay {
        let mut gateways: Vec<Gateway> =
            (0..known + new).map(|n| gateway(n, known, n < cut_off)).collect();
        for gateway in gateways.iter_mut().take(known) {
            (0..known).for_each(|other| gateway.slow_starts.gateway_heard(other as u64, 10_000));
        }
        Replay { way, gateways, rng: ChaCha8Rng::seed_from_u64(seed), sent: Vec::new() }
    }

    fn run(mut self) -> Found {
        let began = 10_000;
        for now in began..began + LASTS_MS {
            if now % BEAT_MS == 0 {
                self.beat(now);
            }
            let returning = if now == began { RETURNING } else { 0 };
            let others = usize::from(self.rng.random_range(0..1_000) < PER_S);
            for _ in 0..returning + others {
                self.caller(now);
            }
            // Who is refused comes back soon, so that each gateway always has callers.
            for index in 0..self.gateways.len() {
                if self.rng.random_bool(0.01) && now >= self.gateways[index].starts_at {
                    self.ask(now, index);
                }
            }
        }
        Found { most: most_in_a_second(&self.sent), sent: self.sent.len() }
    }

    fn beat(&mut self, now: u64) {
        let running = |gateway: &Gateway| now >= gateway.starts_at;
        let heard: Vec<(u64, bool)> = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, gateway)| running(gateway))
            .map(|(index, gateway)| (index as u64, gateway.cut_off))
            .collect();
        let told = self.gateways.iter().filter(|gateway| running(gateway) && !gateway.cut_off);
        let silent: Vec<(u64, u64)> =
            told.flat_map(|gateway| gateway.slow_starts.silent_gateways(now)).collect();
        for gateway in self.gateways.iter_mut().filter(|gateway| running(gateway)) {
            for (other, cut_off) in &heard {
                if !gateway.cut_off && !cut_off {
                    gateway.slow_starts.gateway_heard(*other, now);
                }
            }
            if !gateway.cut_off {
                silent.iter().for_each(|(other, at)| gateway.slow_starts.gateway_heard(*other, *at));
            }
            gateway.slow_starts.retain(now, |_| true);
        }
    }

    fn caller(&mut self, now: u64) {
        let count = self.gateways.len() as f64;
        let drawn = (self.rng.random::<f64>().powf(UNEQUAL) * count) as usize;
        if now >= self.gateways[drawn].starts_at {
            self.ask(now, drawn);
        }
    }

    fn ask(&mut self, now: u64, index: usize) {
        self.gateways[index].callers_at.push(now);
        let may = match self.way {
            Way::Built => {
                let slow_starts = &self.gateways[index].slow_starts;
                slow_starts.free_at(now, HEAD, TERMS) == Some(now)
            }
            Way::Few(few) => {
                let part = if (index as u32) < few { BOUND as u32 / few } else { 0 };
                self.gateways[index].sends.free_at(now, HEAD, part) == Some(now)
            }
            Way::ByCallers => {
                let part = self.part_by_callers(now, index);
                self.gateways[index].sends.free_at(now, HEAD, part) == Some(now)
            }
            Way::None => true,
        };
        if may {
            let gateway = &mut self.gateways[index];
            gateway.slow_starts.chosen(HEAD);
            gateway.slow_starts.sent(now, HEAD);
            gateway.sends.sent(now, HEAD);
            let way_ms = self.rng.next_u64() % WAY_MS;
            self.sent.push((now, now + way_ms));
        }
    }

    fn part_by_callers(&self, now: u64, index: usize) -> u32 {
        let lately = |gateway: &Gateway, until: u64| {
            let since = until.saturating_sub(1_000);
            gateway.callers_at.iter().filter(|at| (since..=until).contains(*at)).count()
        };
        let own = lately(&self.gateways[index], now);
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != index);
        let others: usize = others.map(|(_, other)| lately(other, now - BEAT_MS)).sum();
        (BOUND * own / (own + others).max(1)) as u32
    }
}

fn gateway(index: usize, known: usize, cut_off: bool) -> Gateway {
    let new = index >= known;
    let starts_at = if new { 11_000 } else { 0 };
    let mut slow_starts = SlowStarts::new(CONFIG, index as u64, false, starts_at);
    slow_starts.record(10_000, HEAD, TERMS.lasts_ms, LASTS_MS + 10_000, Listed::Newly);
    Gateway { slow_starts, sends: Sends::default(), callers_at: Vec::new(), starts_at, cut_off }
}

fn most_in_a_second(sent: &[(u64, u64)]) -> usize {
    let from = |begin: u64| {
        let within = |(sent, arrived): &&(u64, u64)| *sent >= begin && *arrived <= begin + 1_000;
        sent.iter().filter(within).count()
    };
    sent.iter().map(|(sent, _)| from(*sent)).max().unwrap_or(0)
}

fn replay(way: Way, known: usize, cut_off: usize, new: usize) -> Found {
    let runs = (0..4).map(|seed| Replay::new(way, known, cut_off, new, seed).run());
    let runs: Vec<Found> = runs.collect();
    Found {
        most: runs.iter().map(|found| found.most).max().unwrap_or(0),
        sent: runs.iter().map(|found| found.sent).sum::<usize>() / runs.len(),
    }
}

#[test_case(15, 0, 0; "all in touch")]
#[test_case(15, 3, 2; "three cut off and two new")]
#[test_case(15, 5, 5; "a third cut off and a third new")]
#[test_case(53, 10, 10; "more gateways than requests")]
fn the_bound_holds_in_any_second(known: usize, cut_off: usize, new: usize) {
    let found = replay(Way::Built, known, cut_off, new);
    assert!(found.most <= BOUND, "{} in a second", found.most);
}

/// What is built leaves little of the bound unused: the margin, and the second that is 1.1 s long.
#[test]
fn most_of_the_bound_is_used() {
    let found = replay(Way::Built, 15, 0, 0);
    let all = BOUND * LASTS_MS as usize / 1_000;
    assert!(found.sent * 100 >= all * 75, "{} of {all} sent", found.sent);
}

#[test]
fn print_ways() {
    for way in [Way::Built, Way::Few(4), Way::Few(8), Way::ByCallers, Way::None] {
        for (known, cut_off, new) in [(15, 0, 0), (15, 3, 2), (53, 0, 0)] {
            let found = replay(way, known, cut_off, new);
            println!("{way:?} {known} {cut_off} {new}: most {} sent {}", found.most, found.sent);
        }
    }
}

/// The target of the rejected ways is the same.
const _: Target = HEAD;
