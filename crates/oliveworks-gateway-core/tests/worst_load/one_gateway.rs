//! Tests that callers are served as before when all new connections go to one gateway.

use oliveworks_gateway_core::admission::AdmissionConfig;
use test_case::test_case;

use crate::load::{Arrival, over_twice_the_fleet};
use crate::world::{Model, World};

/// Model with twelve groups of four hosts.
const MODEL: Model =
    Model { heads: 12, step_ms: 3.6, per_sequence_ms: 0.027, read_per_ms: 84.0, goal_ms: 200 };
/// Time at which the callers move, in ms.
const MOVE_AT_MS: u64 = 1_500;
/// Time by which the gateway has to serve them, in ms.
const SERVED_FROM_MS: u64 = 4_500;
/// Minimum fraction of the callers served in time, relative to the time before the move.
const SERVED_MIN: f64 = 0.75;

/// Returns one of each `every` recorded callers, spread over all gateways, and at the first one
/// after the move.
fn callers(every: usize, gateways: usize) -> Vec<Arrival> {
    let selected = over_twice_the_fleet().into_iter().step_by(every);
    let at_gateway = |(n, arrival): (usize, Arrival)| {
        let gateway = if arrival.at_ms < MOVE_AT_MS { n % gateways } else { 0 };
        Arrival { gateway, ..arrival }
    };
    selected.enumerate().map(at_gateway).collect()
}

#[test_case(5, 1; "5 gateways, twice the load that is served")]
#[test_case(5, 3; "5 gateways, most places taken")]
#[test_case(13, 1; "13 gateways, twice the load that is served")]
#[test_case(13, 3; "13 gateways, most places taken")]
#[test_case(121, 1; "121 gateways, twice the load that is served")]
#[test_case(121, 3; "121 gateways, most places taken")]
fn callers_that_all_move_to_one_gateway_are_served(gateways: usize, every: usize) {
    let load = callers(every, gateways);
    let mut world = World::new(3, &load, gateways, MODEL, AdmissionConfig::default());
    world.run();
    let before = world.in_time(0, MOVE_AT_MS);
    let after = world.in_time(SERVED_FROM_MS, 6_000);
    println!("{gateways} gateways, one of {every}: {before:.3}, {after:.3}");
    assert!(after >= SERVED_MIN * before, "{after:.3} after the move, {before:.3} before");
}
