//! Tests of hosts that restart under the same id.
//!
//! The failure: the head of a group restarted within a heartbeat interval. The head answered every
//! probe and belonged to no group any more, while the leader counted its group as open, so the
//! domain served no requests until the end of the run.

use oliveworks_gateway_core::planner::{Order, Outcome};
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

/// Guards against members that join another group while their head serves: unanswered orders to the
/// previous incarnation of the head let the next one join and open the old group.
#[test_case("large"; "a large group")]
#[test_case("small"; "a small group")]
fn late_orders_to_the_previous_incarnation_free_no_members(model: &str) {
    let (mut world, mut leader) = formed(FEW);
    run_for(&mut world, &mut leader, 45_000, true);
    let serving = leader.planner.serving(world.now);
    let group = serving.iter().find(|group| group.model == model).expect("a group").clone();
    let (epoch, members) = (group.epoch, group.members);
    let head = members[0].clone();
    let (membership, ..) = world.hosts[&head].group.clone().expect("a membership");
    let name = membership.name;
    let join =
        Order::Join { group: name.clone(), epoch, model: model.into(), members: members.clone() };
    let open = Order::Open { group: name, epoch };
    leader.planner.handle_order_outcome(world.now, &head, &open, Outcome::Unanswered);
    // The next incarnation joins within the time of a warm join.
    world.hosts.get_mut(&head).expect("a host").staging = vec![model.into()];
    world.restart(&head);
    let (restarted_at, fence) = (world.now, leader.fence);
    world.late.push((restarted_at + TICK_MS, fence, head.clone(), join, Some(0)));
    world.late.push((restarted_at + 2_000, fence, head.clone(), open, Some(1)));
    // The leader learns of the restart by the head's record, when the head serves again, and cannot
    // reach the head.
    world.hosts.get_mut(&head).expect("a host").silent_until = restarted_at + 10_000;
    while world.now < restarted_at + 3_000 {
        world.step();
    }
    assert!(world.head_serves(epoch, &members), "the next incarnation opens the old group");
    leader.read_list(&world);
    run_for(&mut world, &mut leader, 15_000, true);
    assert_eq!(world.violations, Vec::<String>::new());
}
