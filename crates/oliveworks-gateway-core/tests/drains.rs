//! Drains of failure domains as one gateway knows them.

use std::collections::BTreeSet;

use oliveworks_gateway_core::drains::{Drains, Ended};
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::position::Position;
use oliveworks_gateway_core::replay::ReplayBuffer;

/// A place in a topic of a store that names no era.
fn place(offset: u64) -> Position {
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
    assert!(!drains.begin(200, "west"), "known since before");
    assert!(drains.contains("west") && !drains.contains("east"));
    assert_eq!(drains.end(500, "west"), Some(ended("west", 400)));
    assert_eq!(drains.end(600, "west"), None);
    assert!(drains.is_empty());
}

/// The record that ended one was forgotten; the other drain is among the newest records, and goes on with
/// the time for which it was known.
#[test]
fn a_drain_that_is_not_among_the_newest_records_has_ended() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.begin(200, "east");
    assert_eq!(drains.replace_all(900, &names(&["east"])), [ended("west", 800)]);
    assert_eq!(drains.failure_domains(), names(&["east"]));
    assert_eq!(drains.known_for(900).collect::<Vec<_>>(), [("east", 700)]);
}

/// Pages are no snapshot: a drain was taken back and begun again while they were read. The records since
/// the first page follow, and say so.
#[test]
fn what_changed_between_pages_is_put_right() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.replace_all(200, &names(&[]));
    drains.end(200, "west");
    drains.begin(200, "west");
    assert!(drains.contains("west"));
}

/// A gateway that has read further than the one it asks does not take a drain for ended that the other
/// has not heard of.
#[test]
fn newest_records_of_a_gateway_that_is_behind_are_told_apart() {
    let mut passing = ReplayBuffer::default();
    assert!(!passing.is_ahead_of(place(0)), "nothing was read");
    passing.append(vec!["drain"], place(8));
    assert!(passing.is_ahead_of(place(7)));
    assert!(!passing.is_ahead_of(place(8)));
    passing.restart_at(place(9));
    assert!(!passing.is_ahead_of(place(9)));
}

/// A gateway that starts after a drain learns of its end from others, once, however often they tell and with
/// whatever delay; one that saw the end itself learns nothing.
#[test]
fn an_end_that_others_tell_is_news_once() {
    let mut drains = Drains::default();
    assert!(drains.record_remote_end("west", 5_000));
    assert!(!drains.record_remote_end("west", 5_040));
    assert!(drains.record_remote_end("west", 9_000), "of a later drain");
    assert!(drains.has_ended_within(9_500, "west", 1_000));
    assert!(!drains.has_ended_within(10_500, "west", 1_000), "no longer lately");
    drains.begin(20_000, "east");
    assert!(!drains.record_remote_end("east", 19_000), "it is drained still");
    drains.end(21_000, "east");
    assert!(!drains.record_remote_end("east", 20_900));
}

/// Soak seed 2048: gateways that were killed and started again told an end on with an age that began with
/// their own start (`"ms_ago":101` of an end 5.1 s before), so that the others heard of it again and again.
#[test]
fn only_ends_that_were_seen_are_told_on() {
    let mut drains = Drains::default();
    drains.record_remote_end("west", 0);
    assert!(drains.ended_within(100, 1_000).is_empty(), "the process began after it");
    drains.begin(200, "east");
    drains.end(300, "east");
    assert_eq!(drains.ended_within(400, 1_000), [("east".to_owned(), 100)]);
    assert!(drains.ended_within(1_400, 1_000).is_empty(), "no longer lately");
}

/// The copy that the store came back from lacked a drain, and that counted as its end.
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
fn a_drain_that_is_written_again_is_no_longer_doubted() {
    let mut drains = Drains::default();
    drains.begin(100, "west");
    drains.mark_unread_unconfirmed(&names(&[]));
    assert!(!drains.begin(1_000, "west"), "known since before");
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
