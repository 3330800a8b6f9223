//! Tests of hosts that restart under the same id.
//!
//! The failure: the head of a group restarted within a heartbeat interval. The head answered every
//! probe and belonged to no group any more, while the leader counted its group as open, so the
//! domain served no requests until the end of the run.

use test_case::test_case;

use crate::world::*;

/// The group of a restarted host is recognized as damaged at once, and its domain serves again
/// within the time of a repair after a loss.
#[test_case("large", 0; "the head of a large group")]
#[test_case("large", 2; "a member of a large group")]
#[test_case("small", 0; "the head of a small group")]
#[test_case("small", 1; "a member of a small group")]
fn the_group_of_a_host_that_starts_again_is_formed_anew(model: &str, rank: usize) {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 45_000, true);
    let before = leader.planner.serving(world.now);
    let group = before.iter().find(|group| group.model == model).expect("a group").clone();
    world.restart(&group.members[rank]);
    run_for(&mut world, &mut leader, 1_000 + STAGED_REPAIR_MS, true);
    let after = leader.planner.serving(world.now);
    assert!(after.iter().all(|other| other.epoch != group.epoch), "the old group serves no more");
    assert_eq!(after.len(), before.len());
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A delayed record of an earlier incarnation of a host changes nothing.
#[test]
fn a_record_of_an_earlier_life_is_left_out() {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 45_000, true);
    let id = leader.planner.serving(world.now)[0].members[0].clone();
    let earlier = world.listed().into_iter().find(|server| server.id == id).expect("a record");
    world.restart(&id);
    run_for(&mut world, &mut leader, 10_000, true);
    let before = leader.planner.describe();
    leader.planner.handle_listed_host(world.now, &earlier);
    run_for(&mut world, &mut leader, TICK_MS, true);
    assert_eq!(leader.planner.describe(), before);
}
