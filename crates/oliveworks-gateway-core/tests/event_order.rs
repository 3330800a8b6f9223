//! Which events of a run are relayed, and whether another run may continue the stream.

use oliveworks_gateway_core::attempts::{Attempts, Failure, Next, Terms, Verdict};
use oliveworks_gateway_core::event_order::{EventOrder, Numbering, OutOfOrder, Position};
use oliveworks_gateway_core::events::{Event, Splitter};
use proptest::prelude::*;
use test_case::test_case;

const BY_ONE: Numbering = Numbering { first: 1, step: 1 };
const BY_TEN: Numbering = Numbering { first: 10, step: 10 };
const BEGIN: Position = Position::Begin(None);
const AFTER_2: Position = Position::After { last: 2, step: 1 };

/// Returns an event that is told from others by its place in its run.
fn event(place: usize, id: Option<u64>) -> Event {
    Event { bytes: place.to_be_bytes().to_vec(), id }
}

/// Adds events to a run. Returns the places of the relayed ones, and the error if there is one.
fn add(order: &mut EventOrder, ids: &[Option<u64>]) -> (Vec<usize>, Option<OutOfOrder>) {
    let mut relayed = Vec::new();
    for (place, id) in ids.iter().enumerate() {
        match order.add(event(place, *id)) {
            Ok(events) => relayed.extend(events),
            Err(error) => return (places(relayed), Some(error)),
        }
    }
    (places(relayed), None)
}

fn places(events: Vec<Event>) -> Vec<usize> {
    let place = |event: Event| event.bytes.try_into().map(usize::from_be_bytes).expect("a place");
    events.into_iter().map(place).collect()
}

fn numbered(numbering: Numbering, count: u64) -> Vec<Option<u64>> {
    (0..count).map(|index| Some(numbering.first + index * numbering.step)).collect()
}

#[test_case(&[Some(1), Some(2)], &[0, 1], Position::After { last: 2, step: 1 }; "from the start")]
#[test_case(&[Some(1), None, Some(3)], &[0, 1, 2], Position::After { last: 3, step: 1 }; "an event lacks its id")]
#[test_case(&[Some(1), Some(2), None], &[0, 1, 2], Position::Unknown; "the last event lacks its id")]
#[test_case(&[Some(1), None, Some(2)], &[0, 1, 2], Position::Unknown; "an event has no id")]
#[test_case(&[Some(7)], &[0], Position::Unknown; "the first id is wrong")]
#[test_case(&[Some(7), Some(2), Some(3)], &[0, 1, 2], Position::After { last: 3, step: 1 }; "ids after a wrong first one")]
#[test_case(&[Some(0), Some(2)], &[0, 1], Position::After { last: 2, step: 1 }; "the first id is too low")]
#[test_case(&[Some(1), Some(1)], &[0], Position::After { last: 1, step: 1 }; "a repeated id is held")]
#[test_case(&[Some(1), Some(2), Some(9)], &[0, 1, 2], Position::Unknown; "an id is too high")]
#[test_case(&[Some(1), Some(2), None, Some(5)], &[0, 1, 2, 3], Position::Unknown; "two events run together")]
#[test_case(&[Some(10), Some(20)], &[0, 1], Position::Unknown; "two events of another numbering")]
#[test_case(&[Some(10), Some(20), Some(30)], &[0, 1, 2], Position::After { last: 30, step: 10 }; "three events of another numbering")]
#[test_case(&[Some(3), Some(4), Some(9), Some(14)], &[0, 1, 2, 3], Position::Unknown; "ids that rise unevenly")]
#[test_case(&[Some(u64::MAX)], &[0], Position::Unknown; "the largest id")]
fn events_of_a_run_are_relayed_whatever_their_ids(
    ids: &[Option<u64>],
    relayed: &[usize],
    position: Position,
) {
    let mut order = EventOrder::new(BEGIN, BY_ONE);
    assert_eq!(add(&mut order, ids), (relayed.to_vec(), None));
    assert_eq!(order.position(), position);
}

#[test_case(AFTER_2, &[Some(3), Some(4)], &[0, 1], None; "goes on")]
#[test_case(AFTER_2, &[Some(2), Some(3)], &[1], None; "repeats an event")]
#[test_case(AFTER_2, &[Some(1), Some(2), Some(3)], &[2], None; "starts anew")]
#[test_case(AFTER_2, &[Some(4)], &[], Some(OutOfOrder::NotContinuing); "lacks an event")]
#[test_case(AFTER_2, &[Some(2), Some(4)], &[], Some(OutOfOrder::NotContinuing); "lacks an event after a repetition")]
#[test_case(AFTER_2, &[None, Some(3)], &[], Some(OutOfOrder::NotContinuing); "begins without an id")]
#[test_case(Position::After { last: 20, step: 10 }, &[Some(30), Some(40)], &[0, 1], None; "goes on by ten")]
#[test_case(Position::After { last: 20, step: 10 }, &[Some(21)], &[], Some(OutOfOrder::NotContinuing); "goes on by one in place of ten")]
#[test_case(Position::After { last: u64::MAX, step: 1 }, &[Some(1)], &[], None; "after the largest id")]
fn a_joined_run_goes_on_after_the_relayed_events(
    position: Position,
    ids: &[Option<u64>],
    relayed: &[usize],
    error: Option<OutOfOrder>,
) {
    let mut order = EventOrder::new(position, BY_ONE);
    assert_eq!(add(&mut order, ids), (relayed.to_vec(), error));
}

/// The caller has received nothing in this answer, so it gets the run as it is.
#[test_case(BY_ONE, &[Some(3), Some(4)], Position::After { last: 4, step: 1 }; "goes on")]
#[test_case(BY_ONE, &[Some(1), Some(2)], Position::Unknown; "starts anew")]
#[test_case(BY_TEN, &[Some(12), Some(22)], Position::After { last: 22, step: 10 }; "goes on by ten")]
fn a_run_after_an_event_that_the_caller_names_is_relayed(
    usual: Numbering,
    ids: &[Option<u64>],
    position: Position,
) {
    let mut order = EventOrder::new(Position::Begin(Some(2)), usual);
    let all = (0..ids.len()).collect();
    assert_eq!(add(&mut order, ids), (all, None));
    assert_eq!(order.position(), position);
}

/// Guards against a complete stream that lacks its last event.
#[test]
fn a_joined_run_that_only_repeats_events_is_not_complete() {
    let mut order = EventOrder::new(AFTER_2, BY_ONE);
    assert_eq!(add(&mut order, &[Some(2)]), (vec![], None));
    assert_eq!(order.end(), Err(OutOfOrder::NotContinuing));
    let mut empty = EventOrder::new(AFTER_2, BY_ONE);
    assert_eq!(empty.end(), Ok(vec![]));
}

#[test]
fn a_held_event_is_relayed_at_the_end() {
    let mut order = EventOrder::new(BEGIN, BY_ONE);
    assert_eq!(add(&mut order, &[Some(1), Some(2), Some(2)]), (vec![0, 1], None));
    assert_eq!(order.end().map(places), Ok(vec![2]));
}

/// Guards against a host that sends the same events without end.
#[test_case(&[Some(1), Some(1), Some(1)], &[0], Position::After { last: 1, step: 1 }; "one event")]
#[test_case(&[Some(1), Some(2), Some(1), Some(2), Some(1)], &[0, 1, 2, 3], Position::Unknown; "two events")]
fn a_run_whose_ids_fall_twice_is_given_up(ids: &[Option<u64>], relayed: &[usize], left: Position) {
    let mut order = EventOrder::new(BEGIN, BY_ONE);
    assert_eq!(add(&mut order, ids), (relayed.to_vec(), Some(OutOfOrder::Falling)));
    assert_eq!(order.position(), left);
}

#[test]
fn a_complete_run_shows_how_ids_rise() {
    let mut order = EventOrder::new(BEGIN, BY_ONE);
    add(&mut order, &numbered(BY_TEN, 4));
    assert_eq!(order.shown_numbering(), Some(BY_TEN));
    for ids in [&[Some(10), Some(20)][..], &[Some(10), Some(20), Some(30), None]] {
        let mut order = EventOrder::new(BEGIN, BY_ONE);
        add(&mut order, ids);
        assert_eq!(order.shown_numbering(), None, "{ids:?}");
    }
    // A run that the caller resumes does not show the first id.
    let mut order = EventOrder::new(Position::Begin(Some(10)), BY_ONE);
    add(&mut order, &[Some(20), Some(30), Some(40)]);
    assert_eq!(order.shown_numbering(), None);
}

#[test_case(b"id: 5\ndata: a\n\n", Some(5); "one id")]
#[test_case(b"data: a\n\n", None; "no id")]
#[test_case(b"id: x\ndata: a\n\n", None; "no number")]
#[test_case(b"id: 5\ndata: ax\nid: 6\ndata: b\n\n", None; "the end of a line before the next event is damaged")]
#[test_case(b"id: 5\ndata: a\nxid: 6\ndata: b\n\n", None; "the empty line before the next event is damaged")]
fn an_event_that_may_be_two_has_no_id(bytes: &[u8], id: Option<u64>) {
    let events = Splitter::default().push(bytes).expect("a short event");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [id]);
    assert!(!events[0].is_empty());
}

proptest! {
    /// One wrong byte in a run of a known numbering, and an end after any event: another run never
    /// continues anywhere but after the events that were relayed.
    #[test]
    fn a_known_position_is_that_of_the_last_relayed_event(
        first in 0_u64..20,
        step in 1_u64..12,
        count in 1_usize..12,
        wrong_place in 0_usize..12,
        wrong_id in prop::option::of(0_u64..150),
    ) {
        let usual = Numbering { first, step };
        let mut ids = numbered(usual, count as u64);
        if let Some(id) = ids.get_mut(wrong_place) {
            *id = wrong_id;
        }
        let mut order = EventOrder::new(BEGIN, usual);
        let (relayed, error) = add(&mut order, &ids);
        prop_assert_eq!(error, None);
        prop_assert_eq!(&relayed, &(0..relayed.len()).collect::<Vec<_>>());
        prop_assert!(relayed.len() + 1 >= count);
        if let Position::After { last, .. } = order.position() {
            prop_assert_eq!(last, first + (relayed.len() as u64 - 1) * step);
        }
    }
}

/// Guards against a run that is joined at a position that is not known.
#[test]
fn a_stream_at_an_unknown_position_is_not_sent_again() {
    let terms = Terms { repeatable: true, max_attempts: 3, deadline: 1_000 };
    let mut attempts = Attempts::new(terms);
    attempts.connecting();
    attempts.sending();
    attempts.set_may_continue(false);
    assert!(!attempts.may_send_beside(10));
    assert_eq!(attempts.failed(10, Failure::Lost, true), Next::GiveUp(Verdict::MayHaveRun));
    attempts.set_may_continue(true);
    assert!(attempts.may_send_beside(10));
}
