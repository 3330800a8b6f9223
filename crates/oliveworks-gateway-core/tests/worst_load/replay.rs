//! What callers get under the recorded loads.

use oliveworks_gateway_core::admission::AdmissionConfig;
use test_case::test_case;

use crate::load::over_twice_the_fleet;
use crate::world::{GOAL_MS, World};

const HEADS: usize = 12;
/// What a head may read in one pass: what takes the goal, so that no stream pauses for longer.
const READ_MAX: u32 = 84 * GOAL_MS as u32;

fn replay(gateways: usize, config: AdmissionConfig) -> World {
    let mut world = World::new(3, &over_twice_the_fleet(), gateways, HEADS, config);
    world.run();
    world
}

/// Gateways that each fill every place that they see serve few in time; a bound on either what they
/// take or what they have read, more.
const FILL: AdmissionConfig = AdmissionConfig {
    plenty_percent: 0,
    window_ms: 100,
    reading_percent: 100_000,
    returning_percent: 100,
};

/// The part of callers that is served in time at over twice what the groups serve. One gateway knows all
/// and reaches 0.80.
#[test_case(1, 0.77; "one gateway knows all")]
#[test_case(13, 0.73; "thirteen")]
#[test_case(40, 0.70; "forty")]
fn a_herd_does_not_make_everyone_late(gateways: usize, least: f64) {
    let world = replay(gateways, AdmissionConfig::default());
    let found = world.in_time(0, 6_000);
    assert!(found >= least, "{found:.3} served in time");
    assert!(world.most_read <= READ_MAX, "{} tokens read in one pass", world.most_read);
}

/// Who comes back does not take the places of those who can still be in time.
#[test]
fn callers_who_come_back_go_last() {
    let alike = AdmissionConfig { returning_percent: 100, ..AdmissionConfig::default() };
    let alike = replay(13, alike).in_time(2_000, 6_000);
    let last = replay(13, AdmissionConfig::default()).in_time(2_000, 6_000);
    assert!(alike <= 0.64 && last >= 0.73, "{alike:.3} alike, {last:.3} last");
}

/// The checks above fail without admission.
#[test_case(FILL, 0.45; "nothing bounds a herd")]
#[test_case(AdmissionConfig { reading_percent: 75, ..FILL }, 0.60; "only reading is bound")]
#[test_case(AdmissionConfig { returning_percent: 85, ..FILL }, 0.55; "only callers that come back")]
fn a_herd_makes_callers_late(config: AdmissionConfig, most: f64) {
    let found = replay(13, config).in_time(0, 6_000);
    assert!(found <= most, "{found:.3} served in time");
}

/// Requests that wait at a head for a slot, while other heads may have one.
#[test]
fn few_wait_at_a_head_for_a_slot() {
    let with = replay(13, AdmissionConfig::default()).most_queued;
    let without = replay(13, FILL).most_queued;
    assert!(with <= 12 && without >= 24, "{with} with admission, {without} without");
}
