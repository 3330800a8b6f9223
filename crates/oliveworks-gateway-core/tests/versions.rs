//! Tests of [`Lag`], which compares a version with the newest version that other gateways know. If
//! the store holds an older version, a read of the store proves nothing for a limited time. If this
//! gateway holds an older version, it asks another gateway.

use oliveworks_gateway_core::era::REWRITE_MS;
use oliveworks_gateway_core::versions::Lag;
use test_case::test_case;

#[test_case(Some(4), Some(4), true; "the newest that is known")]
#[test_case(Some(7), Some(4), true; "a newer one")]
#[test_case(None, None, true; "nobody knows any")]
#[test_case(Some(4), Some(7), false; "an older one")]
#[test_case(None, Some(7), false; "none at all")]
fn a_store_proves_nothing_newer(stored: Option<u64>, known: Option<u64>, expected: bool) {
    assert_eq!(Lag::default().proves(1_000, stored, known, false), expected);
}

/// Guards against keys that are refused forever: a version that was never acknowledged is not
/// written again.
#[test]
fn a_version_that_is_never_rewritten_is_waited_for_only_the_rewrite_time() {
    let mut lag = Lag::default();
    assert!(!lag.proves(1_000, Some(4), Some(7), false));
    assert!(!lag.proves(1_000 + REWRITE_MS - 1, Some(4), Some(7), false));
    assert!(lag.proves(1_000 + REWRITE_MS, Some(4), Some(7), false));
}

#[test]
fn each_lag_of_the_store_is_timed_from_its_own_start() {
    let mut lag = Lag::default();
    assert!(!lag.proves(1_000, Some(4), Some(7), false));
    assert!(lag.proves(1_500, Some(7), Some(7), false));
    assert!(!lag.proves(9_000, Some(4), Some(7), false), "the store was restored a second time");
}

#[test]
fn a_gateway_asks_for_a_version_that_does_not_reach_it() {
    let mut lag = Lag::default();
    assert!(!lag.should_ask(1_000, Some(4), Some(7)), "the version may still be in transit");
    assert!(lag.should_ask(1_600, Some(4), Some(7)));
    assert!(!lag.should_ask(1_700, Some(7), Some(7)));
    assert!(!lag.should_ask(1_800, Some(7), None));
}

#[test]
fn a_gateway_without_a_version_asks_at_once() {
    assert!(Lag::default().should_ask(1_000, None, Some(7)));
}

/// The gateway was paused or cut off while the other gateways learned of versions that the copy
/// lacks.
#[test]
fn a_gateway_that_has_not_heard_the_others_since_the_store_came_back_takes_no_proof_from_it() {
    let mut lag = Lag::default();
    assert!(!lag.proves(1_000, Some(4), Some(4), true));
    assert!(lag.proves(1_200, Some(4), Some(4), false));
    assert!(!lag.proves(1_300, Some(4), Some(4), true));
    assert!(
        lag.proves(1_300 + REWRITE_MS, Some(4), Some(4), true),
        "there may be no other gateways"
    );
}
