//! Tests of the fraction of callers that are served in time under the recorded loads.

use oliveworks_gateway_core::admission::AdmissionConfig;
use test_case::test_case;

use crate::load::{Arrival, long_prompts, over_twice_the_fleet};
use crate::world::{Model, World};

/// A model of four hosts and a model of sixteen hosts, with the number of groups that each has in a
/// fleet of a hundred hosts.
const SMALL: Model =
    Model { heads: 12, step_ms: 3.6, per_sequence_ms: 0.027, read_per_ms: 84.0, goal_ms: 200 };
const LARGE: Model =
    Model { heads: 3, step_ms: 5.95, per_sequence_ms: 0.045, read_per_ms: 50.0, goal_ms: 300 };

fn replay(load: &[Arrival], model: Model, gateways: usize, config: AdmissionConfig) -> World {
    let mut world = World::new(3, load, gateways, model, config);
    world.run();
    world
}

fn many_callers(gateways: usize, config: AdmissionConfig) -> World {
    replay(&over_twice_the_fleet(), SMALL, gateways, config)
}

/// Returns the fraction of callers of the large model that are served in time. With one of 9
/// recorded callers, the load is one and a half times what the groups can serve; with one of 3,
/// four times.
fn long_prompts_in_time(one_of: usize, gateways: usize, config: AdmissionConfig) -> f64 {
    replay(&long_prompts(one_of), LARGE, gateways, config).in_time(0, 6_000)
}

/// Admission without limits: each gateway fills every slot that it observes to be free.
const UNLIMITED: AdmissionConfig = AdmissionConfig {
    plenty_percent: 0,
    window_ms: 100,
    reading_percent: 100_000,
    returning_percent: 100,
};

/// Checks the fraction of callers that are served in time at more than twice the load that the
/// groups can serve. A single gateway has complete information and reaches 0.80.
#[test_case(1, 0.77; "one gateway knows all")]
#[test_case(13, 0.73; "thirteen")]
#[test_case(40, 0.70; "forty")]
fn a_herd_does_not_make_everyone_late(gateways: usize, minimum: f64) {
    let world = many_callers(gateways, AdmissionConfig::default());
    let found = world.in_time(0, 6_000);
    assert!(found >= minimum, "{found:.3} served in time");
    // Streams pause while their group reads prompts. A pass that reads more tokens than a group can
    // read within the goal would make them pause for longer than the goal.
    let maximum = SMALL.read_per_ms * SMALL.goal_ms as f64;
    assert!(f64::from(world.max_read) <= maximum, "{} tokens read in one pass", world.max_read);
}

/// The same check for long prompts, where the reading of prompts is a tighter limit than the number
/// of slots.
#[test_case(9, 13, 0.45; "some more than are served")]
#[test_case(9, 40, 0.37; "some more, forty gateways")]
#[test_case(3, 13, 0.10; "four times as many")]
#[test_case(3, 40, 0.07; "four times as many, forty gateways")]
fn a_herd_of_long_prompts_does_not_make_everyone_late(
    one_of: usize,
    gateways: usize,
    minimum: f64,
) {
    let found = long_prompts_in_time(one_of, gateways, AdmissionConfig::default());
    assert!(found >= minimum, "{found:.3} served in time");
}

/// Returning callers do not take the slots of callers that can still be served in time.
#[test]
fn returning_callers_are_served_last() {
    let without_priority = AdmissionConfig { returning_percent: 100, ..AdmissionConfig::default() };
    let without_priority = many_callers(13, without_priority).in_time(2_000, 6_000);
    let with_priority = many_callers(13, AdmissionConfig::default()).in_time(2_000, 6_000);
    assert!(
        without_priority <= 0.64 && with_priority >= 0.73,
        "{without_priority:.3} without, {with_priority:.3} with priority for first attempts"
    );
}

/// Control run: without admission limits, the checks above would fail.
#[test_case(UNLIMITED, 0.45; "nothing bounds a herd")]
#[test_case(AdmissionConfig { reading_percent: 40, ..UNLIMITED }, 0.66; "only reading is bound")]
#[test_case(AdmissionConfig { returning_percent: 85, ..UNLIMITED }, 0.55; "only callers that come back")]
fn a_herd_makes_callers_late(config: AdmissionConfig, maximum: f64) {
    let found = many_callers(13, config).in_time(0, 6_000);
    assert!(found <= maximum, "{found:.3} served in time");
}

/// Control run for long prompts, also with a limit on slots alone.
#[test_case(9, UNLIMITED, 0.25; "nothing bounds a herd")]
#[test_case(9, AdmissionConfig { reading_percent: 100_000, ..AdmissionConfig::default() }, 0.40; "only slots are bound")]
#[test_case(3, UNLIMITED, 0.02; "nothing bounds a larger herd")]
fn a_herd_of_long_prompts_makes_callers_late(one_of: usize, config: AdmissionConfig, maximum: f64) {
    let found = long_prompts_in_time(one_of, 13, config);
    assert!(found <= maximum, "{found:.3} served in time");
}

/// Few requests wait at a head for a slot while other heads may have a free one.
#[test]
fn few_wait_at_a_head_for_a_slot() {
    let with = many_callers(13, AdmissionConfig::default()).max_queued;
    let without = many_callers(13, UNLIMITED).max_queued;
    assert!(with <= 12 && without >= 24, "{with} with admission, {without} without");
}

/// A small number of callers find slots even if they are spread over many gateways: no request is
/// refused while groups have free slots.
#[test_case(SMALL, 12; "small groups")]
#[test_case(LARGE, 30; "large ones with long prompts")]
#[test_case(LARGE, 18; "as many long prompts as large groups can serve")]
fn few_callers_are_not_refused(model: Model, one_of: usize) {
    let load = long_prompts(one_of);
    let found = replay(&load, model, 13, AdmissionConfig::default()).in_time(0, 6_000);
    assert!(found >= 0.98, "{found:.3} served in time");
}
