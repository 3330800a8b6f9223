//! Simulation of gateways whose callers return to one cold head all at once.
//!
//! Each gateway receives heartbeats of all gateways that can reach it, ten times a second. A
//! request takes up to 60 ms to the head, and counts in a second if it was both sent and received
//! in that second.

use std::collections::VecDeque;

use oliveworks_gateway_core::members::Members;
use oliveworks_gateway_core::slow_start::SlowStarts;
use oliveworks_gateway_core::slow_start::cold::Listed;
use oliveworks_gateway_core::slow_start::sends::Sends;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::{BOUND, CONFIG, HEAD, TERMS};

/// Time of the first call, in ms.
const BEGAN: u64 = 10_000;
/// Time at which callers that were rejected while the head was unavailable return all at once, in
/// ms.
const RETURN: u64 = BEGAN + 1_000;
const END: u64 = RETURN + 5_000;
/// Maximum transit time of a request to the head, in ms.
const TRANSIT_MAX_MS: u64 = 60;
/// Interval between two heartbeats, in ms.
const HEARTBEAT_MS: u64 = 100;
/// Exponent of the distribution of callers over gateways: half of the callers use the first third
/// of the gateways.
const UNEQUAL: f64 = 1.7;

/// Load that callers put on the head.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Number of callers that return all at once.
    returning: usize,
    /// Other callers per second.
    per_s: u32,
}

/// Load at which callers of each gateway ask for far more than the head may be sent.
const CROWD: Load = Load { returning: 300, per_s: 400 };
/// Load below the limit of the head.
const CALM: Load = Load { returning: 0, per_s: 20 };

/// Ways to divide the limit among the gateways.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// The implemented way.
    Built,
    /// Equal shares for the given number of gateways, and none for the others.
    Few(u32),
    /// Shares in proportion to the callers of each gateway in the last second, which peers learn
    /// 100 ms later.
    ByCallers,
    /// No limit.
    Unbound,
}

struct Gateway {
    slow_starts: SlowStarts,
    members: Members,
    /// Sends of this gateway, for the alternatives that are not implemented.
    sends: Sends,
    /// Call times within the last 1.1 s.
    callers: VecDeque<u64>,
    starts_at: u64,
    cut_off: bool,
}

/// Numbers of gateways: `known` gateways that know each other, `cut_off` of which are partitioned,
/// and `new` gateways that start when callers return.
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
    /// Send and arrival time of each request.
    sent: Vec<(u64, u64)>,
    /// Number of callers since the head is available.
    callers: usize,
}

/// Result of a replay.
struct Outcome {
    /// Maximum number of requests that were both sent and received in one second.
    most: usize,
    sent: usize,
    callers: usize,
}

impl Outcome {
    /// Returns the share of callers whose request was sent, in percent.
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

    fn run(mut self, load: Load) -> Outcome {
        for now in BEGAN..END {
            if now % HEARTBEAT_MS == 0 {
                self.send_heartbeats(now);
            }
            let returning = if now == RETURN { load.returning } else { 0 };
            let others = usize::from(self.rng.random_range(0..1_000) < load.per_s);
            for _ in 0..returning + others {
                self.caller(now);
            }
        }
        Outcome { most: most_in_a_second(&self.sent), sent: self.sent.len(), callers: self.callers }
    }

    fn send_heartbeats(&mut self, now: u64) {
        let is_connected = |gateway: &Gateway| now >= gateway.starts_at && !gateway.cut_off;
        let all = self.gateways.iter().enumerate();
        let mut heard: Vec<(u64, u64)> = all
            .filter(|(_, gateway)| is_connected(gateway))
            .map(|(index, _)| (index as u64, now))
            .collect();
        let reachable = self.gateways.iter().filter(|gateway| is_connected(gateway));
        heard.extend(reachable.flat_map(|gateway| gateway.members.silent(now)));
        heard.sort_unstable();
        heard.dedup_by_key(|(gateway, _)| *gateway);
        for gateway in &mut self.gateways {
            if is_connected(gateway) {
                heard.iter().for_each(|(other, at)| gateway.members.record_contact(*other, *at));
            }
            gateway.slow_starts.retain(now, |_| true);
            gateway.members.retain(now);
        }
    }

    /// Simulates a call to a random gateway, which sends the request if its share allows that.
    fn caller(&mut self, now: u64) {
        let position = self.rng.random::<f64>().powf(UNEQUAL) * self.gateways.len() as f64;
        let index = position as usize;
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
            let transit_ms = self.rng.next_u64() % TRANSIT_MAX_MS;
            self.sent.push((now, now + transit_ms));
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
            let old = |at: &&u64| **at + 1_000 + HEARTBEAT_MS < now;
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
        let others: usize = others.map(|(_, other)| in_second(other, now - HEARTBEAT_MS)).sum();
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

fn replay(way: Way, fleet: Fleet, load: Load) -> Outcome {
    let runs: Vec<Outcome> = (0..3).map(|seed| Replay::new(way, fleet, seed).run(load)).collect();
    Outcome {
        most: runs.iter().map(|outcome| outcome.most).max().unwrap_or(0),
        sent: runs.iter().map(|outcome| outcome.sent).sum(),
        callers: runs.iter().map(|outcome| outcome.callers).sum(),
    }
}

#[test_case(fleet(15, 0, 0); "all in touch")]
#[test_case(fleet(15, 3, 2); "three cut off and two new")]
#[test_case(fleet(15, 5, 5); "a third cut off and as many new")]
#[test_case(fleet(53, 10, 10); "more gateways than requests")]
fn the_bound_holds_in_any_second(fleet: Fleet) {
    let outcome = replay(Way::Built, fleet, CROWD);
    assert!(outcome.most <= BOUND, "{} in a second", outcome.most);
}

/// Only the safety margin of the limit remains unused, plus the loss from counting sends over 1.1 s
/// instead of one second.
#[test]
fn most_of_the_bound_is_used() {
    let outcome = replay(Way::Built, fleet(15, 0, 0), CROWD);
    let all = 3 * BOUND * (END - RETURN) as usize / 1_000;
    assert!(outcome.sent * 100 >= all * 75, "{} of {all} sent", outcome.sent);
}

/// Reason for equal shares: each alternative either exceeds the limit or rejects callers although
/// the limit is not reached.
#[test_case(Way::Unbound, fleet(15, 0, 0); "nothing binds")]
#[test_case(Way::ByCallers, fleet(15, 0, 0); "parts in proportion to callers")]
#[test_case(Way::ByCallers, fleet(53, 0, 0); "the same with more gateways than requests")]
fn other_ways_break_the_bound(way: Way, fleet: Fleet) {
    let outcome = replay(way, fleet, CROWD);
    assert!(outcome.most > BOUND, "{} in a second", outcome.most);
}

#[test_case(4; "four")]
#[test_case(8; "eight")]
fn few_gateways_leave_out_callers_of_the_others(few: u32) {
    let [built, few] =
        [Way::Built, Way::Few(few)].map(|way| replay(way, fleet(15, 0, 0), CALM).sent_percent());
    assert!(built >= few + 10, "{built} of 100 sent, {few} by few gateways");
}
