//! Which planners there are after a change of the configuration.

use std::collections::BTreeMap;

use oliveworks_gateway_core::configuration::Configuration;
use oliveworks_gateway_core::planner::PlannerConfig;
use oliveworks_gateway_core::planners::{PlannerChange, Planners, Takeover};

use crate::pool::{configuration, listed_host, service};

/// Time for which the planner of a service that is gone is kept, in ms.
const KEPT_MS: u64 = 60_000;

fn planners() -> Planners {
    let mut planners = Planners::new(PlannerConfig::default(), 0);
    planners.change_term(Some(1));
    planners
}

/// Returns the takeovers among the changes that a configuration causes.
fn takeovers(planners: &mut Planners, now: u64, configuration: &Configuration) -> Vec<Takeover> {
    let changes = planners.follow(now, configuration).into_iter();
    let takeovers = changes.filter_map(|change| match change {
        PlannerChange::TakeOver(takeover) => Some(takeover),
        _ => None,
    });
    takeovers.collect()
}

fn take_over_all(planners: &mut Planners, now: u64, configuration: &Configuration) {
    for takeover in takeovers(planners, now, configuration) {
        assert!(planners.adopt(now, &takeover, &[], None).is_some());
    }
}

fn planned(planners: &Planners) -> Vec<&str> {
    planners.planning().map(|(service, _)| service).collect()
}

/// Guards against planners that are made only when a gateway begins to lead.
#[test]
fn a_service_that_is_added_is_taken_over() {
    let mut planners = planners();
    take_over_all(&mut planners, 0, &configuration(&[service("a")]));
    let both = configuration(&[service("a"), service("b")]);
    let added = takeovers(&mut planners, 1_000, &both);
    assert_eq!(added.iter().map(|takeover| &*takeover.service).collect::<Vec<_>>(), ["b"]);
    // The other service is planned meanwhile.
    assert!(planners.has_begun());
    assert_eq!(planned(&planners), ["a"]);
    planners.adopt(1_100, &added[0], &[], None);
    assert_eq!(planned(&planners), ["a", "b"]);
    assert_eq!(planners.follow(1_200, &both), []);
}

#[test]
fn planning_begins_once_all_services_of_the_first_configuration_are_taken_over() {
    let mut planners = planners();
    let found = takeovers(&mut planners, 0, &configuration(&[service("a"), service("b")]));
    planners.adopt(100, &found[0], &[], None);
    assert!(!planners.has_begun());
    planners.adopt(200, &found[1], &[], None);
    assert!(planners.has_begun());
}

#[test]
fn a_service_without_models_has_no_planner() {
    let mut planners = planners();
    let mut plain = service("a");
    plain.engine = None;
    assert_eq!(planners.follow(0, &configuration(&[plain])), []);
    assert!(planners.has_begun());
}

/// A service that is restored soon continues with what its planner knows.
#[test]
fn a_service_that_is_removed_and_restored_is_not_taken_over_again() {
    let mut planners = planners();
    let both = configuration(&[service("a"), service("b")]);
    take_over_all(&mut planners, 0, &both);
    let changes = planners.follow(1_000, &configuration(&[service("a")]));
    assert_eq!(changes, [PlannerChange::Paused("b".into())]);
    assert_eq!(planned(&planners), ["a"]);
    assert_eq!(planners.follow(4_000, &both), [PlannerChange::Resumed("b".into())]);
    assert_eq!(planned(&planners), ["a", "b"]);
}

/// A planner that is made anew under the same fence must not use an epoch twice: hosts would take
/// its groups for those of its predecessor.
#[test]
fn epochs_continue_after_a_planner_was_removed() {
    let mut planners = planners();
    let with = configuration(&[service("a")]);
    take_over_all(&mut planners, 0, &with);
    let planner = planners.get_mut("a").expect("a planner");
    planner.set_used_epochs(7);
    planners.follow(1_000, &configuration(&[]));
    let changes = planners.follow(1_000 + KEPT_MS, &configuration(&[]));
    assert_eq!(changes, [PlannerChange::Removed("a".into())]);
    take_over_all(&mut planners, 2_000 + KEPT_MS, &with);
    assert_eq!(planners.get_mut("a").expect("a planner").used_epochs(), 7);
}

/// The answers of hosts to the requests of an earlier takeover are ignored.
#[test]
fn a_takeover_that_was_replaced_does_not_complete() {
    let mut planners = planners();
    let with = configuration(&[service("a")]);
    let first = takeovers(&mut planners, 0, &with);
    planners.follow(10, &configuration(&[]));
    let second = takeovers(&mut planners, 20, &with);
    assert!(planners.taking_over(&first[0]).is_none());
    assert!(planners.adopt(30, &first[0], &[], None).is_none());
    assert!(planners.adopt(30, &second[0], &[], None).is_some());
    assert!(planners.taking_over(&second[0]).is_none());
}

/// Guards against a host that two planners assign to groups.
#[test]
fn a_host_that_changed_its_service_is_unlisted_at_the_other_planner() {
    let mut planners = planners();
    take_over_all(&mut planners, 0, &configuration(&[service("a"), service("b")]));
    planners.handle_listed_host(0, &listed_host("h", "a"));
    planners.handle_listed_host(100, &listed_host("h", "b"));
    let mut known = BTreeMap::new();
    let _ = planners.tick(200);
    for (service, planner) in planners.planning() {
        known.insert(service.to_owned(), planner.holding("h").is_some());
    }
    assert_eq!(known, BTreeMap::from([("a".to_owned(), false), ("b".to_owned(), true)]));
}
