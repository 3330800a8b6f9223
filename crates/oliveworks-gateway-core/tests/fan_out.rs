//! Heartbeats reach every gateway soon, and what each gateway sends stays flat as gateways grow.

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

/// Who hears something that one gateway says, after so many rounds of heartbeats that pass it on.
fn heard_after(domains: usize, each: usize, rounds: usize, rng: &mut ChaCha8Rng) -> usize {
    let all = gateways(domains, each);
    let mut know = BTreeSet::from([address(0, 0)]);
    for _ in 0..rounds {
        for sender in know.clone() {
            let domain = all.iter().find(|(_, known)| known.contains(&sender));
            let own = domain.map(|(name, _)| name.as_str()).unwrap_or_default();
            let others: BTreeMap<&str, Vec<SocketAddr>> = all
                .iter()
                .map(|(name, known)| {
                    let others = known.iter().filter(|address| **address != sender);
                    (name.as_str(), others.copied().collect())
                })
                .collect();
            let Recipients { local, remote } = recipients(own, &others, rng.next_u64());
            know.extend(local);
            know.extend(remote);
        }
    }
    know.len()
}

#[test_case(3, 2; "five or six")]
#[test_case(5, 11; "some fifty")]
#[test_case(15, 23; "some three hundred")]
fn a_leader_is_heard_by_all_within_three_heartbeats(domains: usize, each: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        assert_eq!(heard_after(domains, each, 3, &mut rng), domains * each);
    }
}

#[test_case(5, 11, 19; "some fifty")]
#[test_case(15, 23, 35; "some three hundred")]
#[test_case(30, 60, 36; "far more")]
fn a_heartbeat_goes_to_a_bounded_number(domains: usize, each: usize, most: usize) {
    let all = gateways(domains, each);
    let others = all.iter().map(|(name, known)| (name.as_str(), known.clone())).collect();
    for draw in 0..200 {
        let Recipients { local, remote } = recipients("d0", &others, draw);
        assert!(local.len() + remote.len() <= most, "{} and {}", local.len(), remote.len());
        let distinct: BTreeSet<_> = local.iter().chain(&remote).collect();
        assert_eq!(distinct.len(), local.len() + remote.len(), "nobody gets it twice");
    }
}

/// The sum of a failure domain holds its own gateways and nobody else's.
#[test]
fn a_domain_tells_only_what_its_own_gateways_have_open() {
    let target = Target(1);
    let mut balance = Balance::default();
    balance.started(0, target, 10);
    let load = |requests| std::collections::HashMap::from([(target, Load { requests, tokens: 1 })]);
    balance.record_peer_load(0, Source::Gateway(1), load(4));
    balance.record_peer_load(0, Source::FailureDomain(2), load(20));
    assert_eq!(balance.domain_open(100)[&target], Load { requests: 5, tokens: 11 });
    assert_eq!(balance.load(100, target), Load { requests: 25, tokens: 12 });
    assert_eq!(balance.domain_open(5_000)[&target].requests, 1, "what is old does not count");
}
