//! Tests that each model has groups in more failure domains than may be lost at once, as far as the
//! groups fit.

use std::collections::{BTreeMap, BTreeSet};

use oliveworks_gateway_core::configuration::Model;
use oliveworks_gateway_core::quota::{
    DomainCapacity, Quotas, Spread, quotas_releasing_spares, quotas_spread_over_failure_domains,
    spread_gaps,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use crate::{model, random_capacity};

/// Returns a spread in which each fabric domain is a failure domain of its own.
fn one_failure_domain_each(capacities: &BTreeMap<String, DomainCapacity>, lost: usize) -> Spread {
    let failure_domains =
        capacities.keys().map(|domain| (domain.clone(), domain.clone())).collect();
    Spread { lost, failure_domains }
}

fn named(capacities: impl IntoIterator<Item = DomainCapacity>) -> BTreeMap<String, DomainCapacity> {
    capacities.into_iter().enumerate().map(|(n, capacity)| (format!("d{n}"), capacity)).collect()
}

fn unassigned(hosts: usize, spares: usize) -> DomainCapacity {
    DomainCapacity { hosts, spares, ..DomainCapacity::default() }
}

fn count(quotas: &Quotas, domain: &str, model: &str) -> usize {
    quotas[domain].get(model).copied().unwrap_or(0)
}

fn by_domain(quotas: &Quotas) -> Vec<(usize, usize)> {
    quotas.keys().map(|name| (count(quotas, name, "large"), count(quotas, name, "small"))).collect()
}

fn failure_domains(quotas: &Quotas, spread: &Spread, model: &str) -> usize {
    let holding = quotas.iter().filter(|(_, groups)| groups.contains_key(model));
    let names = holding.map(|(domain, _)| &spread.failure_domains[domain]);
    names.collect::<BTreeSet<_>>().len()
}

/// Checks the numbers of groups of the large and of the small model in each fabric domain.
/// `capacities` holds the numbers of hosts and of additional spares of each.
#[test_case(8, 4, 0.5, &[(11, 2), (11, 2), (11, 2)], &[(1, 1), (1, 0), (0, 2)]; "spares of thirteen give way to a small one beside the large one")]
#[test_case(8, 4, 0.5, &[(13, 0), (13, 0), (13, 0)], &[(1, 1), (1, 1), (0, 3)]; "thirteen hold one of each")]
#[test_case(8, 4, 0.5, &[(13, 0), (13, 0)], &[(1, 1), (1, 1)]; "two of thirteen")]
#[test_case(12, 6, 0.9, &[(25, 2), (25, 2), (25, 2)], &[(1, 2), (2, 0), (1, 2)]; "a model of a small share is in two all the same")]
#[test_case(12, 6, 0.05, &[(25, 2), (25, 2), (25, 2)], &[(1, 2), (1, 2), (0, 4)]; "so is the larger one")]
#[test_case(8, 4, 0.5, &[(13, 0)], &[(1, 1)]; "one domain")]
#[test_case(8, 4, 0.5, &[(13, 0), (5, 0), (4, 0)], &[(1, 1), (0, 1), (0, 1)]; "the larger one fits one domain only")]
#[test_case(8, 4, 0.6, &[(8, 0), (8, 0)], &[(1, 0), (0, 2)]; "no model is without a group for another's second one")]
#[test_case(8, 4, 0.6, &[(8, 0), (8, 0), (8, 0)], &[(1, 0), (1, 0), (0, 2)]; "the one with more of the work has a second one first")]
fn groups(
    large: usize,
    small: usize,
    share: f64,
    capacities: &[(usize, usize)],
    expected: &[(usize, usize)],
) {
    let models = [model("large", large, share), model("small", small, 1.0 - share)];
    let capacities = named(capacities.iter().map(|(hosts, spares)| unassigned(*hosts, *spares)));
    let found = quotas_spread_over_failure_domains(
        &models,
        &capacities,
        &one_failure_domain_each(&capacities, 1),
    );
    assert_eq!(by_domain(&found), expected);
}

/// A model whose groups all serve in one domain gets a group in another domain. The other groups
/// stay.
#[test]
fn groups_in_a_single_domain_are_spread() {
    let models = [model("large", 8, 0.3), model("small", 4, 0.7)];
    let held =
        |large, small| BTreeMap::from([("large".to_owned(), large), ("small".to_owned(), small)]);
    let capacities = named([
        DomainCapacity { groups: held(2, 0), ..unassigned(16, 0) },
        DomainCapacity { groups: held(0, 4), ..unassigned(16, 0) },
        DomainCapacity { groups: held(0, 4), ..unassigned(16, 0) },
    ]);
    assert_eq!(by_domain(&quotas_releasing_spares(&models, &capacities)), [(2, 0), (0, 4), (0, 4)]);
    let found = quotas_spread_over_failure_domains(
        &models,
        &capacities,
        &one_failure_domain_each(&capacities, 1),
    );
    assert_eq!(by_domain(&found), [(1, 2), (1, 2), (0, 4)]);
}

/// Two fabric domains of one failure domain are lost together.
#[test]
fn domains_of_one_failure_domain_count_once() {
    let models = [model("large", 8, 0.2), model("small", 4, 0.8)];
    let capacities = named([unassigned(16, 0), unassigned(16, 0), unassigned(12, 0)]);
    let failure_domains_of = ["a", "a", "b"].map(str::to_owned);
    let spread = Spread {
        lost: 1,
        failure_domains: capacities.keys().cloned().zip(failure_domains_of).collect(),
    };
    let found = quotas_spread_over_failure_domains(&models, &capacities, &spread);
    assert_eq!(count(&found, "d2", "large"), 1);
    assert_eq!(failure_domains(&found, &spread, "small"), 2);
}

#[test]
fn models_are_spread_to_survive_two_losses() {
    let models = [model("large", 8, 0.1), model("small", 4, 0.9)];
    let capacities =
        named([unassigned(12, 0), unassigned(12, 0), unassigned(12, 0), unassigned(12, 0)]);
    let spread = one_failure_domain_each(&capacities, 2);
    let found = quotas_spread_over_failure_domains(&models, &capacities, &spread);
    let spreads = ["large", "small"].map(|name| failure_domains(&found, &spread, name));
    assert_eq!(spreads, [3, 4]);
}

/// Models whose groups do not fit into enough failure domains are reported.
#[test]
fn spread_gaps_are_reported() {
    let models = [model("large", 8, 0.5), model("small", 4, 0.5)];
    let capacities = named([unassigned(13, 0), unassigned(5, 0), unassigned(4, 0)]);
    let spread = one_failure_domain_each(&capacities, 1);
    let found = spread_gaps(
        &models,
        &quotas_spread_over_failure_domains(&models, &capacities, &spread),
        &spread,
    );
    let found: Vec<_> = found.iter().map(|gap| (&*gap.model, gap.found, gap.wanted)).collect();
    assert_eq!(found, [("large", 1, 2)]);
    assert!(
        spread_gaps(&models, &Quotas::new(), &one_failure_domain_each(&capacities, 0)).is_empty()
    );
}

fn random_case(rng: &mut ChaCha8Rng) -> (Vec<Model>, BTreeMap<String, DomainCapacity>) {
    let models = vec![
        model("large", rng.random_range(3..13), rng.random_range(0.05..1.0)),
        model("small", rng.random_range(1..7), rng.random_range(0.05..1.0)),
    ];
    let domains = rng.random_range(1..6);
    let mut capacities = named((0..domains).map(|_| random_capacity(rng, &models)));
    for capacity in capacities.values_mut() {
        capacity.spares = rng.random_range(0..3);
    }
    (models, capacities)
}

/// If no failure domain may be lost, spreading changes nothing.
#[test]
fn without_a_tolerance_nothing_is_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..200 {
        let (models, capacities) = random_case(&mut rng);
        let found = quotas_spread_over_failure_domains(
            &models,
            &capacities,
            &one_failure_domain_each(&capacities, 0),
        );
        assert_eq!(
            found,
            quotas_releasing_spares(&models, &capacities),
            "{models:?} {capacities:?}"
        );
    }
}

/// No fabric domain holds more than its hosts and spares. The number of failure domains that hold
/// groups of a model, summed over the models, is at least as high as without a tolerance of losses.
/// At most two failure domains count for each model, since no more are required.
#[test]
fn spreading_takes_nothing_away() {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    for _ in 0..1_000 {
        let (models, capacities) = random_case(&mut rng);
        let spread = one_failure_domain_each(&capacities, 1);
        let (before, found) = (
            quotas_releasing_spares(&models, &capacities),
            quotas_spread_over_failure_domains(&models, &capacities, &spread),
        );
        for (domain, capacity) in &capacities {
            let used: usize =
                models.iter().map(|model| model.size * count(&found, domain, &model.name)).sum();
            assert!(
                used <= capacity.hosts + capacity.spares,
                "{models:?} {capacities:?} {found:?}"
            );
        }
        let held = |quotas: &Quotas| -> usize {
            models.iter().map(|m| failure_domains(quotas, &spread, &m.name).min(2)).sum()
        };
        assert!(held(&found) >= held(&before), "{models:?} {capacities:?} {before:?} {found:?}");
    }
}

/// Returns all ways to place groups of two models in fabric domains with the given numbers of
/// hosts.
fn layouts(hosts: &[usize], sizes: [usize; 2]) -> Vec<Vec<[usize; 2]>> {
    let Some((first, rest)) = hosts.split_first() else { return vec![vec![]] };
    let mut all = Vec::new();
    for large in 0..=first / sizes[0] {
        for small in 0..=(first - large * sizes[0]) / sizes[1] {
            for mut rest in layouts(rest, sizes) {
                rest.insert(0, [large, small]);
                all.push(rest);
            }
        }
    }
    all
}

/// Returns the number of models that are still served after the worst loss of one domain.
fn served_after_worst_loss(layout: &[[usize; 2]]) -> usize {
    let models_without = |lost: usize| {
        let serves = |model: &usize| {
            let mut rest = layout.iter().enumerate().filter(|(domain, _)| *domain != lost);
            rest.any(|(_, groups)| groups[*model] > 0)
        };
        (0..2).filter(serves).count()
    };
    (0..layout.len()).map(models_without).min().unwrap_or_default()
}

/// No other layout that serves the same models serves more of them after the worst loss.
#[test]
fn as_many_models_as_possible_are_left() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for _ in 0..300 {
        let sizes = [rng.random_range(4..9), rng.random_range(1..5)];
        let models = [model("large", sizes[0], 0.5), model("small", sizes[1], 0.5)];
        let domains = rng.random_range(2..4);
        let hosts: Vec<usize> = (0..domains).map(|_| rng.random_range(2..16)).collect();
        let capacities = named(hosts.iter().map(|hosts| unassigned(*hosts, 0)));
        let found = quotas_spread_over_failure_domains(
            &models,
            &capacities,
            &one_failure_domain_each(&capacities, 1),
        );
        let found: Vec<[usize; 2]> = by_domain(&found).into_iter().map(Into::into).collect();
        let served = |layout: &[[usize; 2]]| [0, 1].map(|m| layout.iter().any(|g| g[m] > 0));
        let same = layouts(&hosts, sizes).into_iter().filter(|all| served(all) == served(&found));
        let best = same.map(|layout| served_after_worst_loss(&layout)).max();
        assert_eq!(Some(served_after_worst_loss(&found)), best, "{sizes:?} {hosts:?} {found:?}");
    }
}
