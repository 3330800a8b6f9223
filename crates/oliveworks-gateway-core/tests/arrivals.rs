//! Tests of the bounds on data that is of no use yet.

use oliveworks_gateway_core::arrivals::{Arrivals, Unbounded};
use oliveworks_gateway_core::events::{Event, Splitter};
use test_case::test_case;

/// Largest number of bytes in these tests.
const MAX: usize = 1_000;

/// Bytes arrive `count` times, `interval_ms` after each other.
#[test_case(1, 0, 1_000, Ok(()); "all at once")]
#[test_case(1, 0, 1_001, Err(Unbounded::Bytes); "too many at once")]
#[test_case(501, 2, 2, Err(Unbounded::Bytes); "too many in parts")]
#[test_case(201, 10, 1, Ok(()); "as long as allowed")]
#[test_case(202, 10, 1, Err(Unbounded::Time); "longer than allowed")]
#[test_case(2, 60_000, 1, Ok(()); "a silence between two parts")]
#[test_case(22, 60_000, 1, Err(Unbounded::Time); "a silence between any two parts")]
fn unfinished_data_is_bounded_in_bytes_and_in_time(
    count: u64,
    interval_ms: u64,
    bytes: usize,
    expected: Result<(), Unbounded>,
) {
    let mut arrivals = Arrivals::default();
    for number in 0..count {
        assert_eq!(arrivals.check_unfinished(MAX), Ok(()), "before part {number}");
        arrivals.record(number * interval_ms, bytes);
    }
    assert_eq!(arrivals.check_unfinished(MAX), expected);
}

/// Comments and other blocks without an id or data are no news for the caller.
#[test_case(b": comment\n\n", true; "a comment")]
#[test_case(b"\n\n", true; "empty lines")]
#[test_case(b"retry: 100\n\n", true; "a retry time")]
#[test_case(b"data: x\n\n", false; "data")]
#[test_case(b": comment\r\ndata\r\n\r\n", false; "empty data after a comment")]
#[test_case(b"id: 7\n\n", false; "an id")]
fn blocks_without_an_event_are_empty(bytes: &[u8], expected: bool) {
    let events = Splitter::default().push(bytes).expect("a short event");
    assert_eq!(events.iter().map(Event::is_empty).collect::<Vec<_>>(), [expected]);
}

/// Guards against a host that sends complete events without news as fast as they are read.
#[test]
fn bytes_without_news_are_bounded() {
    let mut arrivals = Arrivals::default();
    arrivals.record(0, 16 << 20);
    assert_eq!(arrivals.check_without_news(), Ok(()));
    arrivals.record(0, 1);
    assert_eq!(arrivals.check_without_news(), Err(Unbounded::Bytes));
}

/// Guards against events that each hold the memory of the rest of their part.
#[test]
fn events_hold_little_more_memory_than_their_bytes() {
    let part = b":\n\n".repeat(2_000);
    let events = Splitter::default().push(&part).expect("short events");
    let held: usize = events.iter().map(|event| event.bytes.capacity()).sum();
    assert_eq!(events.len(), 2_000);
    assert!(held <= 4 * part.len(), "{held} bytes held for {}", part.len());
}
