//! Gateways and callers that return all at once to one cold head.
//!
//! Each gateway hears all others that it can, ten times a second. A request takes up to 60 ms to the head,
//! and counts in a second if it was both sent and has arrived in it.

use std::collections::VecDeque;

use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::slow_start::cold::Listed;
use oliveworks_gateway_core::slow_start::sends::Sends;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::{BOUND, CONFIG, HEAD, TERMS};

/// Callers come from then on.
const BEGAN: u64 = 10_000;
/// Callers who were refused while the head was away return then, all at once.
const RETURN: u64 = BEGAN + 1_000;
const END: u64 = RETURN + 5_000;
const WAY_MS: u64 = 60;
const BEAT_MS: u64 = 100;
/// Callers come to gateways unequally: half of them to the first third.
const UNEQUAL: f64 = 1.7;

/// Callers of the head.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Those who return all at once.
    returning: usize,
    /// Others in a second.
    per_s: u32,
}

/// Far more than the head may be sent, from each gateway.
const CROWD: Load = Load { returning: 300, per_s: 400 };
/// Less than it may be sent.
const CALM: Load = Load { returning: 0, per_s: 20 };

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
    /// Nothing binds what is sent.
    Unbound,
}

struct Gateway {
    slow_starts: SlowStarts,
    members: Members,
    /// What it has sent, for the ways that are not built.
    sends: Sends,
    /// Its callers of the last second and a bit.
    callers: VecDeque<u64>,
    starts_at: u64,
    cut_off: bool,
}

/// Gateways that know each other, and of these some that are cut off; others that start.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    known: usize,
    cut_off: usize,
    new: usize,
}

const fn fleet(known: usize, cut_off: usize, new: usize) -> Fleet {
    Fleet { known, cut_off, new }
}

struct Replay {
    way: Way,
    gateways: Vec<Gateway>,
    rng: ChaCha8Rng,
    /// When requests were sent and arrived.
    sent: Vec<(u64, u64)>,
    /// Callers, once the head is there.
    callers: usize,
}

/// How it went.
struct Found {
    /// The most requests that were sent and arrived in one second.
    most: usize,
    sent: usize,
    callers: usize,
}

impl Found {
    /// The part of callers whose request was sent, in hundredths.
    fn sent_percent(&self) -> usize {
        self.sent * 100 / self.callers
    }
}

impl Replay {
    fn new(way: Way, fleet: Fleet, seed: u64) -> Replay {
        let all = 0..fleet.known + fleet.new;
        let gateways = all.map(|index| gateway(index, fleet)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Replay { way, gateways, rng, sent: Vec::new(), callers: 0 }
    }

    fn run(mut self, load: Load) -> Found {
        for now in BEGAN..END {
            if now % BEAT_MS == 0 {
                self.beat(now);
            }
            let returning = if now == RETURN { load.returning } else { 0 };
            let others = usize::from(self.rng.random_range(0..1_000) < load.per_s);
            for _ in 0..returning + others {
                self.caller(now);
            }
        }
        Found { most: most_in_a_second(&self.sent), sent: self.sent.len(), callers: self.callers }
    }

    fn beat(&mut self, now: u64) {
        let in_touch = |gateway: &Gateway| now >= gateway.starts_at && !gateway.cut_off;
        let all = self.gateways.iter().enumerate();
        let mut heard: Vec<(u64, u64)> = all
            .filter(|(_, gateway)| in_touch(gateway))
            .map(|(index, _)| (index as u64, now))
            .collect();
        let told = self.gateways.iter().filter(|gateway| in_touch(gateway));
        heard.extend(told.flat_map(|gateway| gateway.members.silent(now)));
        heard.sort_unstable();
        heard.dedup_by_key(|(gateway, _)| *gateway);
        for gateway in &mut self.gateways {
            if in_touch(gateway) {
                heard.iter().for_each(|(other, at)| gateway.members.record_contact(*other, *at));
            }
            gateway.slow_starts.retain(now, |_| true);
            gateway.members.retain(now);
        }
    }

    /// A caller comes to a gateway, which sends the request if it may.
    fn caller(&mut self, now: u64) {
        let drawn = self.rng.random::<f64>().powf(UNEQUAL) * self.gateways.len() as f64;
        let index = drawn as usize;
        if now < self.gateways[index].starts_at {
            return;
        }
        self.gateways[index].callers.push_back(now);
        if now < RETURN {
            return;
        }
        self.callers += 1;
        if self.may_send(now, index) {
            let gateway = &mut self.gateways[index];
            gateway.slow_starts.chosen(HEAD);
            gateway.slow_starts.sent(now, HEAD);
            gateway.sends.sent(now, HEAD);
            let way_ms = self.rng.next_u64() % WAY_MS;
            self.sent.push((now, now + way_ms));
        }
    }

    fn may_send(&mut self, now: u64, index: usize) -> bool {
        let part = match self.way {
            Way::Built => {
                let Gateway { slow_starts, members, .. } = &self.gateways[index];
                return slow_starts.free_at(now, HEAD, TERMS, members) == Some(now);
            }
            Way::Few(few) if (index as u32) < few => BOUND as u32 / few,
            Way::Few(_) => 0,
            Way::ByCallers => self.part_by_callers(now, index),
            Way::Unbound => return true,
        };
        self.gateways[index].sends.free_at(now, HEAD, part) == Some(now)
    }

    fn part_by_callers(&mut self, now: u64, index: usize) -> u32 {
        for gateway in &mut self.gateways {
            let old = |at: &&u64| **at + 1_000 + BEAT_MS < now;
            while gateway.callers.front().filter(old).is_some() {
                gateway.callers.pop_front();
            }
        }
        let in_second = |gateway: &Gateway, until: u64| {
            let within = |at: &&u64| **at <= until && **at + 1_000 > until;
            gateway.callers.iter().filter(within).count()
        };
        let own = in_second(&self.gateways[index], now);
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != index);
        let others: usize = others.map(|(_, other)| in_second(other, now - BEAT_MS)).sum();
        (BOUND * own / (own + others).max(1)) as u32
    }
}

fn gateway(index: usize, fleet: Fleet) -> Gateway {
    let known = index < fleet.known;
    let starts_at = if known { 0 } else { RETURN };
    let mut slow_starts = SlowStarts::new(CONFIG, starts_at);
    let mut members = Members::new(index as u64, false, starts_at);
    slow_starts.record(BEGAN, HEAD, Some(TERMS.lasts_ms), END, Listed::Newly);
    if known {
        for at in [0, BEGAN] {
            (0..fleet.known).for_each(|other| members.record_contact(other as u64, at));
        }
    }
    let cut_off = index < fleet.cut_off;
    Gateway {
        slow_starts,
        members,
        sends: Sends::default(),
        callers: VecDeque::new(),
        starts_at,
        cut_off,
    }
}

fn most_in_a_second(sent: &[(u64, u64)]) -> usize {
    let from = |begin: usize| {
        let end = sent[begin].0 + 1_000;
        let since = sent[begin..].iter().take_while(|(sent, _)| *sent <= end);
        since.filter(|(_, arrived)| *arrived <= end).count()
    };
    (0..sent.len()).map(from).max().unwrap_or(0)
}

fn replay(way: Way, fleet: Fleet, load: Load) -> Found {
    let runs: Vec<Found> = (0..3).map(|seed| Replay::new(way, fleet, seed).run(load)).collect();
    Found {
        most: runs.iter().map(|found| found.most).max().unwrap_or(0),
        sent: runs.iter().map(|found| found.sent).sum(),
        callers: runs.iter().map(|found| found.callers).sum(),
    }
}

#[test_case(fleet(15, 0, 0); "all in touch")]
#[test_case(fleet(15, 3, 2); "three cut off and two new")]
#[test_case(fleet(15, 5, 5); "a third cut off and as many new")]
#[test_case(fleet(53, 10, 10); "more gateways than requests")]
fn the_bound_holds_in_any_second(fleet: Fleet) {
    let found = replay(Way::Built, fleet, CROWD);
    assert!(found.most <= BOUND, "{} in a second", found.most);
}

/// Of what may be sent, only the margin is left, and what a second of 1.1 s leaves.
#[test]
fn most_of_the_bound_is_used() {
    let found = replay(Way::Built, fleet(15, 0, 0), CROWD);
    let all = 3 * BOUND * (END - RETURN) as usize / 1_000;
    assert!(found.sent * 100 >= all * 75, "{} of {all} sent", found.sent);
}

/// Why parts are equal: each other way either breaks the bound or leaves callers out that it has room for.
#[test_case(Way::Unbound, fleet(15, 0, 0); "nothing binds")]
#[test_case(Way::ByCallers, fleet(15, 0, 0); "parts in proportion to callers")]
#[test_case(Way::ByCallers, fleet(53, 0, 0); "the same with more gateways than requests")]
fn other_ways_break_the_bound(way: Way, fleet: Fleet) {
    let found = replay(way, fleet, CROWD);
    assert!(found.most > BOUND, "{} in a second", found.most);
}

#[test_case(4; "four")]
#[test_case(8; "eight")]
fn few_gateways_leave_out_callers_of_the_others(few: u32) {
    let [built, few] =
        [Way::Built, Way::Few(few)].map(|way| replay(way, fleet(15, 0, 0), CALM).sent_percent());
    assert!(built >= few + 10, "{built} of 100 sent, {few} by few gateways");
}
