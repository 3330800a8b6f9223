//! The connection that is closed when there are too many, or when memory runs out.

use oliveworks_gateway_core::evictions::{Activity, OpenConnection, choose, choose_stalled};
use test_case::test_case;

const NOW: u64 = 100_000;
/// Longer and shorter than the time after which a connection counts as stalled, in ms.
const LONG: u64 = 1_500;
const SHORT: u64 = 20;

fn connections(activities: &[(Activity, u64)]) -> Vec<OpenConnection> {
    let numbered = activities.iter().zip(0..);
    numbered
        .map(|((activity, elapsed_ms), id)| OpenConnection {
            id,
            activity: *activity,
            since: NOW - elapsed_ms,
        })
        .collect()
}

const UNUSED: Activity = Activity::Idle { is_used: false };
const USED: Activity = Activity::Idle { is_used: true };
const SLOW: Activity = Activity::Body { bytes: 10 };
const FAST: Activity = Activity::Body { bytes: 4 << 20 };

#[test_case(&[(USED, 9_000), (UNUSED, 8_000), (Activity::Head, LONG)], Some(2); "a stalled head")]
#[test_case(&[(UNUSED, 8_000), (SLOW, LONG)], Some(1); "a slow body")]
#[test_case(&[(UNUSED, 8_000), (Activity::Blocked, LONG)], Some(1); "an answer that is not taken")]
#[test_case(&[(UNUSED, 8_000), (Activity::Closing, SHORT)], Some(1); "one that has its last answer")]
#[test_case(&[(USED, 9_000), (UNUSED, SHORT)], Some(1); "before a used one, an unused one")]
#[test_case(&[(Activity::Head, SHORT), (USED, SHORT)], Some(1); "before an arriving request, an idle one")]
#[test_case(&[(FAST, LONG), (Activity::Head, SHORT)], Some(0); "the oldest arriving request")]
#[test_case(&[(UNUSED, 1_000), (UNUSED, 2_000)], Some(1); "the oldest of its kind")]
#[test_case(&[(Activity::Blocked, SHORT), (Activity::Head, SHORT)], Some(1); "an arriving request before an answer that is delivered")]
#[test_case(&[(Activity::Busy, 9_000), (Activity::Blocked, SHORT)], Some(1); "an answer that is delivered")]
#[test_case(&[(Activity::Busy, 9_000), (Activity::Busy, LONG)], None; "none that is served")]
#[test_case(&[], None; "none of none")]
fn a_connection_makes_room_for_another(activities: &[(Activity, u64)], chosen: Option<u64>) {
    assert_eq!(choose(NOW, connections(activities)), chosen);
}

/// Memory is taken only from connections that hold it for longer than a caller that behaves.
#[test_case(&[(USED, 9_000), (FAST, LONG), (Activity::Head, SHORT)], None; "none is stalled")]
#[test_case(&[(Activity::Blocked, LONG), (SLOW, 2 * LONG)], Some(1); "the one stalled longest")]
fn memory_is_taken_from_stalled_connections(activities: &[(Activity, u64)], chosen: Option<u64>) {
    assert_eq!(choose_stalled(NOW, connections(activities)), chosen);
}
