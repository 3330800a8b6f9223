//! Detection of returning callers: callers that retry a request after an earlier attempt.

use oliveworks_gateway_core::returning::Waits;
use test_case::test_case;

/// `before_ms` holds the remaining times that callers named in earlier attempts. `left_ms` is the
/// remaining time named in the attempt under test.
#[test_case(&[5_000; 6], 1_000, false; "too few say nothing")]
#[test_case(&[5_000; 20], 4_900, false; "like the others")]
#[test_case(&[5_000; 20], 4_250, false; "a little less patient")]
#[test_case(&[5_000; 20], 3_600, true; "after a pause of 1.3 s")]
#[test_case(&[600; 20], 400, true; "on a route of short waits")]
#[test_case(&[4_800, 3_500, 4_300, 3_400, 4_700, 2_600, 4_400, 3_300, 4_900, 3_100], 3_500, true; "half have come back")]
#[test_case(&[4_800, 3_500, 4_300, 3_400, 4_700, 2_600, 4_400, 3_300, 4_900, 3_100], 4_300, false; "the other half")]
#[test_case(&[5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 30_000], 5_000, false; "one far more patient")]
fn returning_callers_are_detected(before_ms: &[u32], left_ms: u32, expected: bool) {
    let mut waits = Waits::default();
    for before_ms in before_ms {
        waits.came_back("route", *before_ms);
    }
    assert_eq!(waits.came_back("route", left_ms), expected);
}

#[test]
fn routes_are_tracked_separately_and_can_be_dropped() {
    let mut waits = Waits::default();
    for _ in 0..20 {
        waits.came_back("slow", 30_000);
        waits.came_back("quick", 5_000);
    }
    assert!(!waits.came_back("quick", 5_000));
    assert!(waits.came_back("slow", 5_000));
    waits.retain(|route| route == "quick");
    assert!(!waits.came_back("slow", 5_000), "the earlier attempts of the route were dropped");
}

/// The usual remaining time follows a change of the callers' timeout after some attempts.
#[test]
fn the_usual_remaining_time_follows_a_change_of_timeout() {
    let mut waits = Waits::default();
    (0..64).for_each(|_| {
        waits.came_back("route", 8_000);
    });
    assert!(waits.came_back("route", 5_000));
    (0..64).for_each(|_| {
        waits.came_back("route", 5_000);
    });
    assert!(!waits.came_back("route", 5_000));
}
