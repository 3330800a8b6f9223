//! Tests that requests stay in their failure domain, also if domains are unequal, and that this
//! does not reduce the fraction of callers that are served in time.

use oliveworks_gateway_core::admission::AdmissionConfig;
use test_case::test_case;

use crate::load::{Arrival, long_prompts, over_twice_the_fleet};
use crate::world::{Domains, Model, World};

/// Model with twelve groups of four hosts.
const MODEL: Model =
    Model { heads: 12, step_ms: 3.6, per_sequence_ms: 0.027, read_per_ms: 84.0, goal_ms: 200 };
const GATEWAYS: usize = 12;

/// Returns domains with the given numbers of gateways and of groups.
fn domains(gateways: [usize; 3], heads: [usize; 3]) -> Domains {
    let each = |counts: [usize; 3]| {
        let domains = counts.into_iter().enumerate();
        domains.flat_map(|(domain, count)| vec![domain; count]).collect()
    };
    Domains { of_gateways: each(gateways), of_heads: each(heads) }
}

/// Returns one of each `every` recorded callers, spread over all gateways.
fn callers(every: usize) -> Vec<Arrival> {
    let selected = over_twice_the_fleet().into_iter().step_by(every);
    selected.enumerate().map(|(n, arrival)| Arrival { gateway: n % GATEWAYS, ..arrival }).collect()
}

/// Moves the callers of the second half of the run to the four gateways of the first domain.
fn move_to_first_domain(mut callers: Vec<Arrival>) -> Vec<Arrival> {
    for caller in callers.iter_mut().filter(|caller| caller.at_ms >= 3_000) {
        caller.gateway %= 4;
    }
    callers
}

fn replay(load: &[Arrival], domains: Domains) -> World {
    let mut world = World::new(3, load, GATEWAYS, MODEL, AdmissionConfig::default());
    world = world.with_domains(domains);
    world.run();
    world
}

/// Returns the fraction of requests that stay in their failure domain, and the fraction of callers
/// that are served in time.
fn local_and_in_time(world: &World) -> (f64, f64) {
    (world.sent_locally as f64 / world.sent as f64, world.in_time(0, 6_000))
}

#[test_case([4, 4, 4], [4, 4, 4], 0.90; "equal domains")]
#[test_case([4, 4, 4], [2, 4, 6], 0.75; "unequal groups")]
#[test_case([6, 4, 2], [4, 4, 4], 0.75; "unequal callers")]
#[test_case([4, 4, 4], [0, 6, 6], 0.60; "no groups in one domain")]
fn requests_stay_in_their_domain_while_it_has_free_slots(
    gateways: [usize; 3],
    heads: [usize; 3],
    minimum: f64,
) {
    let world = replay(&callers(4), domains(gateways, heads));
    let (local, in_time) = local_and_in_time(&world);
    assert!(local >= minimum, "{local:.3} stay");
    assert!(in_time >= 0.98, "{in_time:.3} in time");
}

/// There are more than twice the callers that the groups can serve. Requests that find no local
/// slot go to remote failure domains.
#[test_case([4, 4, 4], [4, 4, 4], 0.80, 0.70; "equal domains")]
#[test_case([4, 4, 4], [2, 4, 6], 0.60, 0.70; "unequal groups")]
#[test_case([8, 2, 2], [4, 4, 4], 0.50, 0.70; "two thirds of the callers in one domain")]
#[test_case([12, 0, 0], [4, 4, 4], 0.30, 0.70; "all callers in one domain")]
fn a_full_domain_spills(gateways: [usize; 3], heads: [usize; 3], minimum: f64, in_time: f64) {
    let world = replay(&callers(1), domains(gateways, heads));
    let (local, served_in_time) = local_and_in_time(&world);
    assert!(local >= minimum, "{local:.3} stay");
    assert!(served_in_time >= in_time, "{served_in_time:.3} in time");
}

/// Callers of all domains move to one domain with a third of the groups.
#[test]
fn callers_who_move_to_one_domain_are_served() {
    let world = replay(&move_to_first_domain(callers(3)), domains([4, 4, 4], [4, 4, 4]));
    let after = world.in_time(3_000, 6_000);
    assert!(after >= 0.95, "{after:.3} in time after they moved");
}

/// There are as many long prompts as the groups can read.
#[test]
fn long_prompts_that_fill_a_domain_go_elsewhere() {
    let load: Vec<Arrival> = long_prompts(6)
        .into_iter()
        .enumerate()
        .map(|(n, arrival)| Arrival { gateway: n % GATEWAYS, ..arrival })
        .collect();
    let world = replay(&load, domains([8, 2, 2], [4, 4, 4]));
    let (_, in_time) = local_and_in_time(&world);
    assert!(in_time >= 0.95, "{in_time:.3} in time");
}
