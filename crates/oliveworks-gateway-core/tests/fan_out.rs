//! Heartbeats reach every gateway within a few intervals, and the number of recipients of each
//! gateway stays bounded as the number of gateways grows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oliveworks_gateway_core::balance::{Balance, Load, Target};
use oliveworks_gateway_core::fan_out::{Recipients, Source, recipients};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn address(domain: usize, gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, gateway as u8, 1], 7340))
}

fn gateways(domains: usize, each: usize) -> BTreeMap<String, Vec<SocketAddr>> {
    let domain = |d: usize| (format!("d{d}"), (0..each).map(|g| address(d, g)).collect());
    (0..domains).map(domain).collect()
}

/// Returns the number of gateways that hold the information of one gateway after the given number
/// of rounds in which every gateway that holds the information sends a heartbeat with it.
fn reached_after(domains: usize, each: usize, rounds: usize, rng: &mut ChaCha8Rng) -> usize {
    let all = gateways(domains, each);
    let mut reached = BTreeSet::from([address(0, 0)]);
    for _ in 0..rounds {
        for sender in reached.clone() {
            let domain = all.iter().find(|(_, addresses)| addresses.contains(&sender));
            let own = domain.map(|(name, _)| name.as_str()).unwrap_or_default();
            let others: BTreeMap<&str, Vec<SocketAddr>> = all
                .iter()
                .map(|(name, addresses)| {
                    let others = addresses.iter().filter(|address| **address != sender);
                    (name.as_str(), others.copied().collect())
                })
                .collect();
            let Recipients { local, remote } = recipients(own, &others, rng.next_u64());
            reached.extend(local);
            reached.extend(remote);
        }
    }
    reached.len()
}

#[test_case(3, 2; "five or six")]
#[test_case(5, 11; "some fifty")]
#[test_case(15, 23; "some three hundred")]
fn a_leader_is_heard_by_all_within_three_heartbeats(domains: usize, each: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        assert_eq!(reached_after(domains, each, 3, &mut rng), domains * each);
    }
}

#[test_case(5, 11, 19; "some fifty")]
#[test_case(15, 23, 35; "some three hundred")]
#[test_case(30, 60, 36; "far more")]
fn a_heartbeat_goes_to_a_bounded_number(domains: usize, each: usize, limit: usize) {
    let all = gateways(domains, each);
    let others = all.iter().map(|(name, addresses)| (name.as_str(), addresses.clone())).collect();
    for draw in 0..200 {
        let Recipients { local, remote } = recipients("d0", &others, draw);
        assert!(
            local.len() + remote.len() <= limit,
            "{} local and {} remote recipients",
            local.len(),
            remote.len()
        );
        let distinct: BTreeSet<_> = local.iter().chain(&remote).collect();
        assert_eq!(distinct.len(), local.len() + remote.len(), "no gateway is a recipient twice");
    }
}

/// The sum that a failure domain reports contains the load of its own gateways only.
#[test]
fn a_domain_reports_only_the_load_of_its_own_gateways() {
    let target = Target(1);
    let mut balance = Balance::default();
    balance.started(0, target, 10);
    let load = |requests| std::collections::HashMap::from([(target, Load { requests, tokens: 1 })]);
    balance.record_peer_load(0, Source::Gateway(1), load(4));
    balance.record_peer_load(0, Source::FailureDomain(2), load(20));
    assert_eq!(balance.domain_open(100)[&target], Load { requests: 5, tokens: 11 });
    assert_eq!(balance.load(100, target), Load { requests: 25, tokens: 12 });
    assert_eq!(balance.domain_open(5_000)[&target].requests, 1, "expired reports do not count");
}
