//! Tests of the result when obstacles at all places keep a request from being sent: the reported
//! reason, and the time at which a place may become available.

use oliveworks_gateway_core::balance::NoTarget;
use oliveworks_gateway_core::obstacles::{FreeAt, NoPlace, Obstacle, describe, is_kept_by_region};
use test_case::test_case;

use FreeAt::{At, NotSoon, Unknown};
use Obstacle::{Backoff, Cold, Drained, Leaving, Limited, Region, Suspended};

const BACKOFF: Obstacle = Backoff { until: 3_000 };
/// A cold place. This gateway has used up its share of the ramp-up limit there until 700 ms.
const TAKEN: Obstacle = Cold { free_at: Some(700) };
/// A rate-limited place without a permit until 500 ms.
const NO_PERMIT: Obstacle = Limited { free_at: 500 };
/// A cold place. It is unknown when a share of the ramp-up limit is available to this gateway
/// there.
const TAKEN_FOR_GOOD: Obstacle = Cold { free_at: None };

#[test_case(&[], NoTarget::None, NotSoon; "no place at all")]
#[test_case(&[Region, Leaving, Drained], NoTarget::None, NotSoon; "what lasts")]
#[test_case(&[Suspended, Drained], NoTarget::None, Unknown; "a suspended one may be back at any moment")]
#[test_case(&[Suspended, BACKOFF], NoTarget::Backoff, Unknown; "also beside one that is left alone")]
#[test_case(&[BACKOFF, Backoff { until: 900 }, Leaving], NoTarget::Backoff, At(900); "the soonest of several")]
#[test_case(&[TAKEN, BACKOFF], NoTarget::Backoff, At(700); "a cold one is free sooner")]
#[test_case(&[TAKEN, TAKEN_FOR_GOOD], NoTarget::Cold, At(700); "cold ones")]
#[test_case(&[TAKEN_FOR_GOOD], NoTarget::Cold, NotSoon; "a cold one whose part is nothing")]
#[test_case(&[NO_PERMIT, Leaving], NoTarget::Limited, At(500); "no permit")]
#[test_case(&[TAKEN, NO_PERMIT], NoTarget::Cold, At(500); "a cold one and no permit")]
#[test_case(&[NO_PERMIT, BACKOFF], NoTarget::Backoff, At(500); "no permit and one that is left alone")]
fn obstacles_give_a_reason_and_a_free_time(
    obstacles: &[Obstacle],
    reason: NoTarget,
    free_at: FreeAt,
) {
    assert_eq!(NoPlace::from_obstacles(obstacles), NoPlace { reason, free_at });
}

#[test_case(At(900), 899, true)]
#[test_case(At(900), 900, false)]
#[test_case(NotSoon, 900, true)]
#[test_case(Unknown, 900, false)]
fn a_futile_wait_is_detected(free_at: FreeAt, until: u64, expected: bool) {
    let no_place = NoPlace { reason: NoTarget::Backoff, free_at };
    assert_eq!(no_place.lasts_until(until), expected);
}

#[test_case(Region, true)]
#[test_case(Leaving, true)]
#[test_case(Drained, true)]
#[test_case(BACKOFF, true)]
#[test_case(Suspended, false)]
#[test_case(TAKEN, false)]
#[test_case(NO_PERMIT, false; "its own permit is looked at")]
fn obstacles_that_stop_a_send_to_a_chosen_place(obstacle: Obstacle, expected: bool) {
    assert_eq!(obstacle.stops_a_send(), expected);
}

#[test_case(&[], false)]
#[test_case(&[Region, Leaving], true)]
#[test_case(&[Leaving], false)]
#[test_case(&[Region, BACKOFF], false)]
fn exclusion_by_region_alone_is_recognized(obstacles: &[Obstacle], expected: bool) {
    assert_eq!(is_kept_by_region(obstacles), expected);
}

#[test]
fn obstacles_are_counted_by_kind() {
    assert_eq!(describe(&[Region, BACKOFF, Region]), "1 backoff, 2 region");
    assert_eq!(describe(&[]), "none");
}
