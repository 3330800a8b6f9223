//! Classification of answers as in time or late, with the cause of the delay.

use oliveworks_gateway_core::timeliness::{Goal, Served, Timeliness};
use test_case::test_case;

const GOAL: Goal = Goal { first_ms: 200, gap_ms: Some(200) };
const SERVED: Served = Served {
    came_back: false,
    sent_after_ms: 2,
    first_after_ms: 120,
    longest_gap_ms: 60,
    sends: 1,
};

#[test_case(SERVED, Timeliness::InTime; "in time")]
#[test_case(Served { first_after_ms: 200, longest_gap_ms: 200, ..SERVED }, Timeliness::InTime; "just in time")]
#[test_case(Served { came_back: true, ..SERVED }, Timeliness::CameBack; "a caller who came back")]
#[test_case(Served { first_after_ms: 230, ..SERVED }, Timeliness::BeganLate; "slow at the backend server")]
#[test_case(Served { sent_after_ms: 44, first_after_ms: 230, ..SERVED }, Timeliness::Waited; "the wait made it late")]
#[test_case(Served { first_after_ms: 230, sends: 2, ..SERVED }, Timeliness::SentAgain; "sent again")]
#[test_case(Served { longest_gap_ms: 201, ..SERVED }, Timeliness::Paused; "a pause")]
#[test_case(Served { longest_gap_ms: 900, sends: 2, ..SERVED }, Timeliness::SentAgain; "a pause until another took it up")]
#[test_case(Served { sends: 2, ..SERVED }, Timeliness::InTime; "sent again in time")]
fn answers_are_classified_by_timeliness(served: Served, expected: Timeliness) {
    assert_eq!(Timeliness::of(&served, GOAL), expected);
}

#[test]
fn a_route_without_a_gap_goal_has_no_paused_answers() {
    let goal = Goal { gap_ms: None, ..GOAL };
    let served = Served { longest_gap_ms: 5_000, ..SERVED };
    assert_eq!(Timeliness::of(&served, goal), Timeliness::InTime);
}
