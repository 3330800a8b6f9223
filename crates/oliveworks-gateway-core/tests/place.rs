//! Tests of positions in topics of a store that may be restored from an older copy, and of the
//! leadership that is derived from positions.

use oliveworks_gateway_core::election::{Claim, Election, ElectionConfig, Heartbeat};
use oliveworks_gateway_core::era::Era;
use oliveworks_gateway_core::position::Position;
use test_case::test_case;

/// Maximum integer that JSON represents exactly.
const EXACT_MAX: u64 = 1 << 53;
/// Number of epochs of groups per fence.
const EPOCHS_OF_FENCE: u64 = 1_000_000;

fn position(era: u64, offset: u64) -> Position {
    Position::new(Era(era), offset)
}

fn claim(place: Position, claimant: u64) -> Claim {
    Claim { place, claimant }
}

fn election(claimant: u64) -> Election {
    Election::new(ElectionConfig::default(), claimant, 0)
}

/// Guards against reused fences: the offsets of claims that the store lost were assigned again, and
/// their fences with them.
#[test_case(position(1, 60), position(2, 0); "of the next era, from the start")]
#[test_case(position(1, 1_000_000), position(2, 5); "after many claims")]
#[test_case(position(0, 9), position(1, 3); "the store begins to name eras")]
fn a_later_place_has_a_higher_fence(earlier: Position, later: Position) {
    assert!(earlier < later);
    assert!(earlier.fence() < later.fence());
}

#[test]
fn a_store_that_names_no_era_gives_small_fences() {
    assert_eq!(position(0, 4).fence(), 5);
}

#[test_case(position(4_095, 1_000_000); "the highest era told apart")]
#[test_case(position(u64::MAX, 1_000_000); "one beyond")]
fn epochs_of_a_fence_are_exact_on_the_wire(place: Position) {
    assert!(place.fence() < EXACT_MAX / EPOCHS_OF_FENCE);
}

/// Guards against a candidate that claims forever at the end that the topic had before the store
/// was restored.
#[test]
fn a_claim_is_made_where_the_shorter_topic_ends() {
    let mut election = election(1);
    election.read(0, Some(claim(position(1, 60), 2)), position(1, 61));
    assert_eq!(election.claim(1_000, 0), Some(position(1, 61)));
    election.claim_refused(1_000);
    election.read(1_100, Some(claim(position(1, 54), 3)), position(2, 55));
    assert_eq!(election.claim(2_000, 0), Some(position(2, 55)));
    election.read(2_010, Some(claim(position(2, 55), 1)), position(2, 56));
    assert_eq!(election.leading_fence(), Some(position(2, 55).fence()));
}

/// The store has lost the record of the leader, but the hosts still know the leader's fence.
#[test]
fn a_leader_whose_claim_was_lost_leads_on_until_another_claims() {
    let mut leader = election(1);
    leader.read(0, Some(claim(position(1, 60), 1)), position(1, 61));
    leader.read(100, None, position(2, 55));
    assert_eq!(leader.leading_fence(), Some(position(1, 60).fence()));
    leader.read(5_000, Some(claim(position(2, 55), 2)), position(2, 56));
    assert_eq!(leader.leading_fence(), None);
}

/// The place was assigned to another gateway before, which may lead under the same fence.
#[test]
fn a_claim_that_arrives_in_a_later_era_does_not_lead() {
    let mut late = election(1);
    late.read(0, None, position(1, 5));
    assert_eq!(late.claim(1_000, 0), Some(position(1, 5)));
    late.read(3_000, Some(claim(position(1, 5), 1)), position(2, 6));
    assert_eq!(late.leading_fence(), None);
}

/// Guards against a leader that is replaced because an empty topic was taken for the first start.
#[test]
fn an_empty_topic_is_no_first_start_where_a_leader_is_known() {
    let mut election = election(1);
    election
        .observe_heartbeat(10, Heartbeat { fence: 61, number: 1, table: 0, reaches_store: true });
    election.read(20, None, position(2, 0));
    assert_eq!(election.claim(30, 0), None);
    assert_eq!(election.claim(1_000, 0), Some(position(2, 0)));
}
