//! Tests of the age of a configuration, and of what counts as proof that it is current.

use oliveworks_gateway_core::freshness::{Freshness, is_proof};
use test_case::test_case;

const REVOKE_MS: Option<u64> = Some(5_000);

#[test_case(3_000, 3_000, REVOKE_MS, true; "the store is complete")]
#[test_case(2_999, 3_000, REVOKE_MS, false; "the store may lack a version")]
#[test_case(100, 0, REVOKE_MS, true; "the store was never restored")]
#[test_case(2_999, 3_000, None, true; "nothing bounds the use of revoked keys")]
fn a_read_proves_that_nothing_is_newer(
    shown_at: u64,
    complete_from: u64,
    revoke_ms: Option<u64>,
    expected: bool,
) {
    assert_eq!(is_proof(shown_at, complete_from, revoke_ms), expected);
}

/// A proof from before a restore of the store remains valid for its time.
#[test_case(4_900, true; "a recent proof")]
#[test_case(5_000, false; "a proof that is too old")]
fn keys_are_accepted_while_the_last_proof_is_recent(now: u64, expected: bool) {
    let mut freshness = Freshness::default();
    freshness.proved(900, 100);
    assert_eq!(freshness.accepts_keys(now, REVOKE_MS), expected);
}
