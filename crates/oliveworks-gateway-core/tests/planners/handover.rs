//! What a leader of several services leaves to the next one.

use crate::pool::{Pool, configuration, listed_host, service};

/// Time in which the groups of both services are formed, and repaired, in ms.
const FORMED_MS: u64 = 20_000;

/// Guards against a new leader that takes the groups of one service for ended groups of another:
/// planners of several services use the same epochs.
#[test]
fn a_new_leader_keeps_groups_whose_epoch_ended_in_another_service() {
    let mut pool = Pool::new(configuration(&[service("a"), service("b")]));
    for number in 0..6 {
        pool.add_host(listed_host(&format!("a{number}"), "a"));
        pool.add_host(listed_host(&format!("b{number}"), "b"));
    }
    pool.run_for(FORMED_MS);
    let (of_a, of_b) = (pool.groups_of("a"), pool.groups_of("b"));
    let lost = of_a.iter().find(|(epoch, _)| of_b.contains_key(epoch));
    let (epoch, members) = lost.expect("a group of each service with the same epoch");
    pool.lose_host(&members[1]);
    pool.run_for(FORMED_MS);
    assert!(!pool.groups_of("a").contains_key(epoch), "the group ended");
    pool.change_leader();
    pool.run_for(FORMED_MS);
    assert_eq!(pool.groups_of("b"), of_b);
    assert_eq!(pool.violations, Vec::<String>::new());
}
