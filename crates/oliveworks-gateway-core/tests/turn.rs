//! Work on the data of one peer before other tasks run.

use oliveworks_gateway_core::events::Splitter;
use oliveworks_gateway_core::turn::{Next, Turn};
use test_case::test_case;

/// Guards against work that grows with the square of an event: an event of 1 MB that arrived in
/// small parts took 8 GB of searching.
#[test_case(1; "parts of one byte")]
#[test_case(65; "parts of 65 bytes")]
#[test_case(65_536; "large parts")]
fn each_byte_of_an_event_is_searched_once(part_bytes: usize) {
    let event = [b"id: 1\ndata: ".as_slice(), &[b'x'; 300_000], b"\n\n"].concat();
    let bytes = [event.as_slice(), b"id: 2\ndata: y\n\nid: 3\nda"].concat();
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for part in bytes.chunks(part_bytes) {
        events.extend(splitter.push(part).expect("below the bound"));
    }
    assert_eq!(splitter.searched(), bytes.len());
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].bytes, event);
}

/// Returns the number of parts in a turn, and what follows it.
fn turn_of(part_bytes: usize) -> (usize, Next) {
    let mut turn = Turn::default();
    (1..)
        .map(|count| (count, turn.record(part_bytes)))
        .find(|(_, next)| *next != Next::Take)
        .unwrap()
}

#[test_case(1, 32, Next::Pause; "parts of one byte")]
#[test_case(65, 32, Next::Pause; "parts of 65 bytes")]
#[test_case(16_384, 4, Next::Yield; "parts of 16 KiB")]
#[test_case(1 << 20, 1, Next::Yield; "parts of 1 MiB")]
fn a_turn_is_bounded_in_parts_and_bytes(part_bytes: usize, parts: usize, next: Next) {
    assert_eq!(turn_of(part_bytes), (parts, next));
}

#[test]
fn a_turn_ends_with_a_wait() {
    let mut turn = Turn::default();
    for _ in 0..100 {
        assert_eq!(turn.record(65), Next::Take);
        turn.end();
    }
}
