//! Limits on callers while configurations change.

use oliveworks_gateway_core::caller_limits::CallerLimits;
use oliveworks_gateway_core::configuration::Limits;

/// Time for which callers may go by replaced limits, in ms.
const OVERLAP_MS: u64 = 2_000;

fn limits(max_body_bytes: usize, idle_timeout_ms: u64) -> Limits {
    Limits { max_header_bytes: 16_384, max_body_bytes, header_timeout_ms: 3_000, idle_timeout_ms }
}

#[test]
fn there_are_no_limits_before_the_first_configuration() {
    assert_eq!(CallerLimits::default().at(0), None);
}

#[test]
fn raised_limits_are_in_force_at_once_and_lowered_ones_after_the_overlap() {
    let mut held = CallerLimits::default();
    held.adopt(100, limits(1_000, 15_000), OVERLAP_MS);
    assert_eq!(held.at(100), Some(limits(1_000, 15_000)));
    held.adopt(5_000, limits(4_000, 500), OVERLAP_MS);
    assert_eq!(held.at(5_000), Some(limits(4_000, 15_000)));
    assert_eq!(held.at(6_999), Some(limits(4_000, 15_000)));
    assert_eq!(held.at(7_000), Some(limits(4_000, 500)));
}

#[test]
fn each_replaced_configuration_counts_for_its_own_overlap() {
    let mut held = CallerLimits::default();
    held.adopt(0, limits(1_000, 15_000), OVERLAP_MS);
    held.adopt(1_000, limits(1_000, 8_000), OVERLAP_MS);
    held.adopt(2_500, limits(1_000, 500), OVERLAP_MS);
    assert_eq!(held.at(2_999), Some(limits(1_000, 15_000)));
    assert_eq!(held.at(3_000), Some(limits(1_000, 8_000)));
    assert_eq!(held.at(4_500), Some(limits(1_000, 500)));
}

/// A configuration that leaves the limits as they are does not prolong those before.
#[test]
fn unchanged_limits_replace_nothing() {
    let mut held = CallerLimits::default();
    held.adopt(0, limits(1_000, 15_000), OVERLAP_MS);
    held.adopt(1_000, limits(1_000, 500), OVERLAP_MS);
    held.adopt(2_900, limits(1_000, 500), OVERLAP_MS);
    assert_eq!(held.at(3_000), Some(limits(1_000, 500)));
}
