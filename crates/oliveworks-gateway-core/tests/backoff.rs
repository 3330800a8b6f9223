//! Start and end of the backoffs that backend servers ask for.

use oliveworks_gateway_core::backoff::{BACKOFF_MAX_MS, Backoffs};
use oliveworks_gateway_core::balance::Target;
use test_case::test_case;

const HOST: Target = Target(1);

#[test_case(&[(0, 3_000)], 2_999, Some(3_000); "for as long as it asked")]
#[test_case(&[(0, 3_000)], 3_000, None; "and no longer")]
#[test_case(&[(0, 3_000), (1_000, 500)], 2_000, Some(3_000); "a shorter time takes nothing back")]
#[test_case(&[(0, 3_000), (1_000, 3_000)], 3_500, Some(4_000); "asked anew")]
#[test_case(&[(0, u64::MAX)], 10, Some(BACKOFF_MAX_MS); "never for good")]
#[test_case(&[], 0, None; "never asked")]
fn a_backoff_lasts_as_long_as_asked(asked: &[(u64, u64)], now: u64, expected: Option<u64>) {
    let mut backoffs = Backoffs::default();
    for (at, ms) in asked {
        backoffs.asked(*at, HOST, *ms);
    }
    assert_eq!(backoffs.until(now, HOST), expected);
}

/// A log line is written once per backoff, not once per refusal.
#[test]
fn only_the_first_refusal_of_a_backoff_is_new() {
    let mut backoffs = Backoffs::default();
    assert!(backoffs.asked(0, HOST, 3_000));
    assert!(!backoffs.asked(10, HOST, 3_000));
    assert!(backoffs.asked(4_000, HOST, 3_000));
}

#[test]
fn a_host_that_restarts_has_no_backoff() {
    let mut backoffs = Backoffs::default();
    backoffs.asked(0, HOST, 3_000);
    backoffs.remove(HOST);
    assert_eq!(backoffs.until(1, HOST), None);
}
