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

mod crash_world;

use std::collections::BTreeSet;

use crash_world::{STEP_MS, Traffic, World};
use oliveworks_gateway_core::balance::Target;
use oliveworks_gateway_core::crashers::{Chain, Crashers, Features, Fingerprint, Standing};
use test_case::test_case;

/// Interval between two arrivals of a request that crashes its hosts, in ms.
const ARRIVAL_INTERVAL_MS: u64 = 110;
/// Period in which requests that crash their hosts arrive, in ms.
const ARRIVALS: std::ops::Range<u64> = 2_000..11_000;
const DURATION_MS: u64 = 14_000;
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

/// Requests that differ in their contents. Those with the lowest numbers crash their hosts.
struct Contents {
    guilty: u64,
}

impl Traffic for Contents {
    fn features(&self, number: u64) -> Features {
        request(number)
    }

    fn cause(&self, number: u64) -> Option<u64> {
        (number < self.guilty).then_some(number)
    }

    fn crashing_arrivals(&self, now: u64) -> Vec<u64> {
        let arrive = ARRIVALS.contains(&now) && now % ARRIVAL_INTERVAL_MS < STEP_MS;
        if arrive { (0..self.guilty).collect() } else { Vec::new() }
    }

    fn sound_arrival(&self, now: u64, count: u64) -> u64 {
        self.guilty + now * 100 + count
    }
}

/// Simulates `DURATION_MS` of traffic. `crash_interval_ms` is the interval at which hosts end for a
/// reason unrelated to any request.
fn simulate(seed: u64, guilty: u64, crash_interval_ms: Option<u64>) -> World<Contents> {
    let mut world = World::new(seed, Contents { guilty });
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
fn late_sends(world: &World<Contents>, number: u64) -> usize {
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
