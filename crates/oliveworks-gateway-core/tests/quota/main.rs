//! Tests of the number of groups of each model that every domain should hold.

mod one_by_one;
mod spread;

use std::collections::BTreeMap;

use oliveworks_gateway_core::configuration::Model;
use oliveworks_gateway_core::quota::{DomainCapacity, quotas, quotas_releasing_spares};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

use one_by_one::one_by_one;

fn model(name: &str, size: usize, share: f64) -> Model {
    Model { name: name.into(), size, share, pace: 1.0, load_ms: 16_000, warm_ms: 1_600 }
}

fn capacity(hosts: usize, large: usize, small: usize) -> DomainCapacity {
    let groups = [("large".to_owned(), large), ("small".to_owned(), small)];
    let groups = groups.into_iter().filter(|(_, count)| *count > 0).collect();
    DomainCapacity { hosts, groups, ..DomainCapacity::default() }
}

/// Returns the capacity with `large` free hosts that hold the large model.
fn with_hot_hosts(capacity: DomainCapacity, large: usize) -> DomainCapacity {
    DomainCapacity { hot: BTreeMap::from([("large".to_owned(), large)]), ..capacity }
}

/// Checks the numbers of groups of the large and of the small model in each domain.
#[test_case(8, &[capacity(16, 0, 0), capacity(16, 0, 0), capacity(16, 0, 0)], &[(1, 4), (1, 4), (1, 4)]; "the small ones leave room")]
#[test_case(8, &[capacity(16, 0, 0), capacity(10, 0, 0), capacity(10, 0, 0)], &[(1, 4), (1, 1), (0, 5)]; "not more large ones than small ones for their shares")]
#[test_case(4, &[capacity(8, 0, 0), capacity(8, 0, 0), capacity(8, 0, 0)], &[(1, 2), (1, 2), (1, 2)]; "even where all fits")]
#[test_case(8, &[capacity(16, 1, 4), capacity(16, 1, 4), capacity(16, 0, 4)], &[(1, 4), (1, 4), (1, 4)]; "what is lost comes back")]
#[test_case(8, &[capacity(16, 1, 4), capacity(15, 0, 4), capacity(16, 1, 4)], &[(1, 4), (1, 3), (1, 4)]; "a small one ends for a large one")]
#[test_case(8, &[capacity(16, 0, 4), capacity(16, 1, 4), capacity(7, 0, 3)], &[(1, 4), (1, 4), (0, 3)]; "where a large one no longer fits")]
#[test_case(8, &[capacity(16, 0, 8), capacity(16, 2, 0)], &[(0, 8), (2, 0)]; "what serves stays where it is")]
#[test_case(4, &[with_hot_hosts(capacity(13, 1, 3), 3), capacity(14, 2, 3), capacity(14, 1, 4)], &[(2, 2), (2, 3), (1, 5)]; "what is left of a group is completed there")]
#[test_case(8, &[capacity(6, 0, 0), capacity(7, 0, 0)], &[(0, 3), (0, 3)]; "no room for a large one")]
#[test_case(8, &[capacity(0, 0, 0)], &[(0, 0)]; "no hosts")]
fn groups(size: usize, capacities: &[DomainCapacity], expected: &[(usize, usize)]) {
    let models = [model("large", size, 0.5), model("small", 2, 0.5)];
    let capacities: BTreeMap<String, DomainCapacity> = capacities
        .iter()
        .enumerate()
        .map(|(index, capacity)| (format!("d{index}"), capacity.clone()))
        .collect();
    let quotas = quotas(&models, &capacities);
    let count = |domain: &str, model: &str| quotas[domain].get(model).copied().unwrap_or(0);
    let found: Vec<(usize, usize)> =
        capacities.keys().map(|domain| (count(domain, "large"), count(domain, "small"))).collect();
    assert_eq!(found, expected);
}

#[test]
fn one_model_of_single_hosts_fills_all() {
    let capacities = BTreeMap::from([(
        "d".to_owned(),
        DomainCapacity { hosts: 5, ..DomainCapacity::default() },
    )]);
    let quotas = quotas(&[model("only", 1, 1.0)], &capacities);
    assert_eq!(quotas["d"]["only"], 5);
}

/// Spares are released for a model that would have no group at all, and for no other reason.
#[test_case(&[(3, 1), (3, 1), (3, 1)], &[("large", 4), ("small", 2)], &["large", "small"]; "domains of just one group")]
#[test_case(&[(3, 1)], &[("large", 4), ("small", 2)], &["large"]; "only one of two fits")]
#[test_case(&[(0, 1)], &[("single", 1)], &["single"]; "a single host")]
#[test_case(&[(4, 2)], &[("large", 4), ("small", 2)], &["large", "small"]; "room for both without spares")]
#[test_case(&[(5, 1), (2, 0)], &[("large", 6), ("middle", 3), ("small", 2)], &["large", "small"]; "as many as fit")]
#[test_case(&[(3, 0), (3, 0)], &[("large", 4)], &[]; "no domain is large enough")]
fn no_model_is_without_a_group_that_fits(
    capacities: &[(usize, usize)],
    models: &[(&str, usize)],
    expected: &[&str],
) {
    let models: Vec<Model> = models.iter().map(|(name, size)| model(name, *size, 0.5)).collect();
    let capacities = capacities.iter().enumerate().map(|(index, (hosts, spares))| {
        let capacity =
            DomainCapacity { hosts: *hosts, spares: *spares, ..DomainCapacity::default() };
        (format!("d{index}"), capacity)
    });
    let found = quotas_releasing_spares(&models, &capacities.collect());
    let served = |model: &&Model| found.values().any(|groups| groups.contains_key(&model.name));
    let served: Vec<&str> = models.iter().filter(served).map(|model| model.name.as_str()).collect();
    assert_eq!(served, expected);
}

/// Spares are retained if every model has a group.
#[test]
fn spares_stay_where_all_models_are_served() {
    let capacity = DomainCapacity { hosts: 8, spares: 2, ..DomainCapacity::default() };
    let capacities = BTreeMap::from([("d".to_owned(), capacity)]);
    let models = [model("large", 4, 0.5), model("small", 2, 0.5)];
    assert_eq!(quotas_releasing_spares(&models, &capacities), quotas(&models, &capacities));
}

fn random_capacity(rng: &mut ChaCha8Rng, models: &[Model]) -> DomainCapacity {
    let hosts = rng.random_range(0..24);
    let mut capacity = DomainCapacity { hosts, ..DomainCapacity::default() };
    for model in models {
        let groups = rng.random_range(0..=hosts / model.size);
        capacity.groups.insert(model.name.clone(), groups);
        capacity.hot.insert(model.name.clone(), rng.random_range(0..5));
    }
    capacity
}

/// Packing many groups at once gives the same quotas as packing one group after the other.
#[test]
fn packing_many_groups_equals_packing_one_by_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..400 {
        let mut models = vec![
            model("large", rng.random_range(3..9), rng.random_range(0.05..1.0)),
            model("small", rng.random_range(1..4), rng.random_range(0.05..1.0)),
        ];
        if rng.random_bool(0.3) {
            models.push(model("third", rng.random_range(2..6), rng.random_range(0.05..1.0)));
        }
        let domains = rng.random_range(1..9);
        let capacities: BTreeMap<String, DomainCapacity> =
            (0..domains).map(|n| (format!("d{n}"), random_capacity(&mut rng, &models))).collect();
        assert_eq!(
            quotas(&models, &capacities),
            one_by_one(&models, &capacities),
            "{models:?} {capacities:?}"
        );
    }
}
