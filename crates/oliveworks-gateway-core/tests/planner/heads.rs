//! Tests of the choice of the head of a new group.

use std::net::SocketAddr;

use oliveworks_gateway_core::backend_servers::{BackendServer, Holding};
use oliveworks_gateway_core::planner::{Command, Order, Planner, PlannerConfig};
use test_case::test_case;

use crate::world::engine;

/// Returns a host that holds the small model.
fn host(id: &str, cold_ms: u64) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "lm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: "a".into(),
        domain: "a".into(),
        slots: 34,
        draining: false,
        cold_ms,
        number: None,
        holding: Holding { models: vec!["small".into()], ..Holding::default() },
    }
}

/// Time at which hosts answer the first probe, in ms.
const ANSWERED_AT: u64 = 500;

/// Returns the members of the first group that is formed at `now` of hosts that are listed at 0 ms
/// and have answered the first probe.
fn members(hosts: &[BackendServer], now: u64) -> Vec<String> {
    let mut planner = Planner::new(PlannerConfig::default(), engine(), 1, 0);
    hosts.iter().for_each(|host| planner.handle_listed_host(0, host));
    hosts.iter().for_each(|host| planner.handle_report(ANSWERED_AT, &host.id, &host.holding));
    let joins = planner.tick(now).into_iter().find_map(|command| match command {
        Command::Order { order: Order::Join { members, .. }, .. } => Some(members),
        _ => None,
    });
    joins.expect("a group").iter().map(|id| id.to_string()).collect()
}

#[test_case(2_000, 900, &["b", "a"]; "the second is warm sooner")]
#[test_case(900, 2_000, &["a", "b"]; "the first is")]
#[test_case(700, 600, &["a", "b"]; "both are warm by now")]
fn the_warmest_member_heads_a_new_group(first: u64, second: u64, expected: &[&str]) {
    assert_eq!(members(&[host("a", first), host("b", second)], 800), expected);
}

/// The newest record of a host determines its cold start time.
#[test]
fn a_member_that_has_turned_cold_does_not_head() {
    let (warm, cold) = (host("a", 0), host("a", 2_000));
    assert_eq!(members(&[warm, cold, host("b", 0)], 800), ["b", "a"]);
}
