//! Tests of the interval between two reads of the list of backend servers.

use oliveworks_gateway_core::listing::{Listing, ListingConfig};
use test_case::test_case;

const CONFIG: ListingConfig = ListingConfig { quick_ms: 300, settle_ms: 1_500, every_ms: 1_950 };

/// Checks the interval after the last read. Each read is a time in ms and whether it held a new
/// host.
#[test_case(&[(0, false)], 300; "the first")]
#[test_case(&[(0, true), (300, false), (600, false), (900, false)], 300; "the start is not over")]
#[test_case(&[(0, true), (300, false), (600, false), (1_500, false)], 1_950; "no new one for long")]
#[test_case(&[(0, true), (1_000, true), (2_000, true), (3_900, true)], 300; "new ones keep coming")]
#[test_case(&[(0, true), (1_000, true), (8_900, true), (9_100, true)], 1_950; "the start is over")]
fn the_interval_between_reads_follows_new_hosts(reads: &[(u64, bool)], expected: u64) {
    let mut listing = Listing::new(CONFIG);
    let pauses: Vec<u64> = reads.iter().map(|(at, new)| listing.read(10_000 + at, *new)).collect();
    assert_eq!(pauses.last(), Some(&expected));
}

#[test]
fn a_shorter_configured_interval_takes_precedence() {
    let mut listing = Listing::new(ListingConfig { every_ms: 200, ..CONFIG });
    assert_eq!(listing.read(0, true), 200);
}
