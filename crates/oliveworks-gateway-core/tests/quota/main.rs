//! How many groups of each model every domain should hold.

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

fn room(hosts: usize, large: usize, small: usize) -> DomainCapacity {
    let groups = [("large".to_owned(), large), ("small".to_owned(), small)];
    let groups = groups.into_iter().filter(|(_, count)| *count > 0).collect();
    DomainCapacity { hosts, groups, ..DomainCapacity::default() }
}

/// The same, where so many free hosts hold the large model.
fn hot(room: DomainCapacity, large: usize) -> DomainCapacity {
    DomainCapacity { hot: BTreeMap::from([("large".to_owned(), large)]), ..room }
}

/// Groups of the large and of the small model in each domain.
#[test_case(8, &[room(16, 0, 0), room(16, 0, 0), room(16, 0, 0)], &[(1, 4), (1, 4), (1, 4)]; "the small ones leave room")]
#[test_case(8, &[room(16, 0, 0), room(10, 0, 0), room(10, 0, 0)], &[(1, 4), (1, 1), (0, 5)]; "not more large ones than small ones for their shares")]
#[test_case(4, &[room(8, 0, 0), room(8, 0, 0), room(8, 0, 0)], &[(1, 2), (1, 2), (1, 2)]; "even where all fits")]
#[test_case(8, &[room(16, 1, 4), room(16, 1, 4), room(16, 0, 4)], &[(1, 4), (1, 4), (1, 4)]; "what is lost comes back")]
#[test_case(8, &[room(16, 1, 4), room(15, 0, 4), room(16, 1, 4)], &[(1, 4), (1, 3), (1, 4)]; "a small one ends for a large one")]
#[test_case(8, &[room(16, 0, 4), room(16, 1, 4), room(7, 0, 3)], &[(1, 4), (1, 4), (0, 3)]; "where a large one no longer fits")]
#[test_case(8, &[room(16, 0, 8), room(16, 2, 0)], &[(0, 8), (2, 0)]; "what serves stays where it is")]
#[test_case(4, &[hot(room(13, 1, 3), 3), room(14, 2, 3), room(14, 1, 4)], &[(2, 2), (2, 3), (1, 5)]; "what is left of a group is completed there")]
#[test_case(8, &[room(6, 0, 0), room(7, 0, 0)], &[(0, 3), (0, 3)]; "no room for a large one")]
#[test_case(8, &[room(0, 0, 0)], &[(0, 0)]; "no hosts")]
fn groups(size: usize, rooms: &[DomainCapacity], expected: &[(usize, usize)]) {
    let models = [model("large", size, 0.5), model("small", 2, 0.5)];
    let rooms: BTreeMap<String, DomainCapacity> =
        rooms.iter().enumerate().map(|(index, room)| (format!("d{index}"), room.clone())).collect();
    let quotas = quotas(&models, &rooms);
    let count = |domain: &str, model: &str| quotas[domain].get(model).copied().unwrap_or(0);
    let found: Vec<(usize, usize)> =
        rooms.keys().map(|domain| (count(domain, "large"), count(domain, "small"))).collect();
    assert_eq!(found, expected);
}

#[test]
fn one_model_of_single_hosts_fills_all() {
    let rooms = BTreeMap::from([(
        "d".to_owned(),
        DomainCapacity { hosts: 5, ..DomainCapacity::default() },
    )]);
    let quotas = quotas(&[model("only", 1, 1.0)], &rooms);
    assert_eq!(quotas["d"]["only"], 5);
}

/// Spares give way where a model would have no group at all, and only there.
#[test_case(&[(3, 1), (3, 1), (3, 1)], &[("large", 4), ("small", 2)], &["large", "small"]; "domains of just one group")]
#[test_case(&[(3, 1)], &[("large", 4), ("small", 2)], &["large"]; "only one of two fits")]
#[test_case(&[(0, 1)], &[("single", 1)], &["single"]; "a single host")]
#[test_case(&[(4, 2)], &[("large", 4), ("small", 2)], &["large", "small"]; "room for both without spares")]
#[test_case(&[(5, 1), (2, 0)], &[("large", 6), ("middle", 3), ("small", 2)], &["large", "small"]; "as many as fit")]
#[test_case(&[(3, 0), (3, 0)], &[("large", 4)], &[]; "no domain is large enough")]
fn no_model_is_without_a_group_that_fits(
    rooms: &[(usize, usize)],
    models: &[(&str, usize)],
    expected: &[&str],
) {
    let models: Vec<Model> = models.iter().map(|(name, size)| model(name, *size, 0.5)).collect();
    let rooms = rooms.iter().enumerate().map(|(index, (hosts, spares))| {
        let room = DomainCapacity { hosts: *hosts, spares: *spares, ..DomainCapacity::default() };
        (format!("d{index}"), room)
    });
    let found = quotas_releasing_spares(&models, &rooms.collect());
    let served = |model: &&Model| found.values().any(|groups| groups.contains_key(&model.name));
    let served: Vec<&str> = models.iter().filter(served).map(|model| model.name.as_str()).collect();
    assert_eq!(served, expected);
}

/// Where every model has its group, spares stay.
#[test]
fn spares_stay_where_all_models_are_served() {
    let room = DomainCapacity { hosts: 8, spares: 2, ..DomainCapacity::default() };
    let rooms = BTreeMap::from([("d".to_owned(), room)]);
    let models = [model("large", 4, 0.5), model("small", 2, 0.5)];
    assert_eq!(quotas_releasing_spares(&models, &rooms), quotas(&models, &rooms));
}

fn random_room(rng: &mut ChaCha8Rng, models: &[Model]) -> DomainCapacity {
    let hosts = rng.random_range(0..24);
    let mut room = DomainCapacity { hosts, ..DomainCapacity::default() };
    for model in models {
        let groups = rng.random_range(0..=hosts / model.size);
        room.groups.insert(model.name.clone(), groups);
        room.hot.insert(model.name.clone(), rng.random_range(0..5));
    }
    room
}

/// Trying many groups at once finds what one after the other does.
#[test]
fn many_at_once_are_as_one_by_one() {
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
        let rooms: BTreeMap<String, DomainCapacity> =
            (0..domains).map(|n| (format!("d{n}"), random_room(&mut rng, &models))).collect();
        assert_eq!(quotas(&models, &rooms), one_by_one(&models, &rooms), "{models:?} {rooms:?}");
    }
}
