//! Tests of the drains of failure domains, as one gateway knows them.

use std::collections::BTreeSet;

use oliveworks_gateway_core::drains::{Drains, Ended};
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::ReplayBuffer;

/// Returns a position in a topic of a store that reports no era.
fn position(offset: u64) -> Position {
    Position::new(Era::default(), offset)
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn ended(failure_domain: &str, known_for_ms: u64) -> Ended {
    Ended { failure_domain: failure_domain.into(), known_for_ms }
}

#[test]
fn a_drain_ends_by_its_own_record() {
    let mut drains = Drains::default();
    assert!(drains.begin(100, "west"));
    assert!(!drains.begin(200, "west"), "the drain is already known");
    assert!(drains.contains("west") && !drains.contains("east"));
    assert_eq!(drains.end(500, "west"), Some(ended("west", 400)));
    assert_eq!(drains.end(600, "west"), None);
    assert!(drains.is_empty());
}

/// The record that ended one drain has been removed. The other drain is among the newest records
/// and continues, with the time for which it was known.
#[test]
fn a_drain_that_is_not_among_the_newest_records_has_ended() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.begin(200, "east");
    assert_eq!(drains.replace_all(900, &names(&["east"])), [ended("west", 800)]);
    assert_eq!(drains.failure_domains(), names(&["east"]));
    assert_eq!(drains.known_for(900).collect::<Vec<_>>(), [("east", 700)]);
}

/// Pages form no consistent snapshot: a drain ended and began again while they were read. The
/// records since the first page follow and correct this.
#[test]
fn changes_between_pages_are_corrected() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.replace_all(200, &names(&[]));
    drains.end(200, "west");
    drains.begin(200, "west");
    assert!(drains.contains("west"));
}

/// A gateway may have read further than the gateway that it asks. It must not treat a drain as
/// ended only because the other gateway does not know the drain yet.
#[test]
fn newest_records_of_a_gateway_that_is_behind_are_recognized() {
    let mut replay_buffer = ReplayBuffer::default();
    assert!(!replay_buffer.is_ahead_of(position(0)), "the topic was not read yet");
    replay_buffer.append(vec!["drain"], position(8));
    assert!(replay_buffer.is_ahead_of(position(7)));
    assert!(!replay_buffer.is_ahead_of(position(8)));
    replay_buffer.restart_at(position(9));
    assert!(!replay_buffer.is_ahead_of(position(9)));
}

/// A gateway that starts after a drain learns of its end from other gateways once, however often
/// and with whatever delay they report it. A gateway that observed the end itself learns nothing
/// new.
#[test]
fn an_end_reported_by_peers_is_new_once() {
    let mut drains = Drains::default();
    assert!(drains.record_remote_end("west", 5_000));
    assert!(!drains.record_remote_end("west", 5_040));
    assert!(drains.record_remote_end("west", 9_000), "the end of a later drain");
    assert!(drains.has_ended_within(9_500, "west", 1_000));
    assert!(!drains.has_ended_within(10_500, "west", 1_000), "the end is too long ago");
    drains.begin(20_000, "east");
    assert!(!drains.record_remote_end("east", 19_000), "the failure domain is still drained");
    drains.end(21_000, "east");
    assert!(!drains.record_remote_end("east", 20_900));
}

/// Guards against ends of drains that are forwarded forever. In soak seed 2048, gateways that
/// were killed and restarted forwarded an end with an age that began at their own start
/// (`"ms_ago":101` for an end 5.1 s before), so the other gateways treated it as new again and
/// again.
#[test]
fn only_observed_ends_are_forwarded() {
    let mut drains = Drains::default();
    drains.record_remote_end("west", 0);
    assert!(drains.ended_within(100, 1_000).is_empty(), "the process started after the end");
    drains.begin(200, "east");
    drains.end(300, "east");
    assert_eq!(drains.ended_within(400, 1_000), [("east".to_owned(), 100)]);
    assert!(drains.ended_within(1_400, 1_000).is_empty(), "the end is too long ago");
}

/// Guards against a drain that ends because the copy from which the store was restored lacks it.
#[test]
fn a_drain_that_the_store_lacks_stays_in_force_until_it_was_read_again() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.begin(200, "east");
    drains.mark_unread_unconfirmed(&names(&["east"]));
    assert_eq!(drains.failure_domains(), names(&["east", "west"]));
    assert!(drains.any_unconfirmed());
    assert_eq!(drains.replace_all(5_000, &names(&["east"])), [ended("west", 4_900)]);
    assert!(!drains.any_unconfirmed());
}

#[test]
fn a_rewritten_drain_is_no_longer_unconfirmed() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.mark_unread_unconfirmed(&names(&[]));
    assert!(!drains.begin(1_000, "west"), "the drain is already known");
    assert!(!drains.any_unconfirmed());
}

#[test]
fn a_drain_that_the_store_lacks_ends_by_its_own_record() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.mark_unread_unconfirmed(&names(&[]));
    assert_eq!(drains.end(700, "west"), Some(ended("west", 600)));
    assert!(!drains.any_unconfirmed());
}
