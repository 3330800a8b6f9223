//! Tests of the choice of a route for a request, and of the workspace that its key belongs to.

use oliveworks_gateway_core::configuration::{
    Configuration, Limits, Lookup, Repeat, Route, Unmatched, Workspace,
};
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        targets: vec![("desk".into(), 90), ("spare".into(), 10)],
        repeat: Repeat::Idempotent,
        stream: false,
        resumable: false,
        timeout_ms: 1_000,
        goal_ms: 100,
        gap_goal_ms: None,
        priority: 1,
        max_attempts: 2,
        public,
        regions: Vec::new(),
    }
}

fn configuration(workspaces: Option<Vec<Workspace>>) -> Configuration {
    Configuration {
        version: 3,
        routes: vec![
            route("all", "a.example", "/", false),
            route("deep", "a.example", "/x/y/", false),
            route("open", "a.example", "/open/", true),
        ],
        services: vec![],
        limits: Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        workspaces,
    }
}

fn workspaces() -> Option<Vec<Workspace>> {
    let keys = vec!["k1".into()];
    let priority = Some(0);
    Some(vec![Workspace { name: "riders".into(), keys, priority, regions: Vec::new() }])
}

#[test_case("a.example", "/x/y/z", Some("k1"), Ok("deep"); "the longest prefix")]
#[test_case("a.example", "/x/q", Some("k1"), Ok("all"); "a shorter one")]
#[test_case("A.Example:80", "/x/y/", Some("k1"), Ok("deep"); "host in any case with a port")]
#[test_case("b.example", "/x/", Some("k1"), Err(Unmatched::NoRoute); "another host")]
#[test_case("a.example", "/x/", None, Err(Unmatched::NoKey); "no key")]
#[test_case("a.example", "/x/", Some("k2"), Err(Unmatched::NoKey); "nobody's key")]
#[test_case("a.example", "/open/", None, Ok("open"); "a public route needs none")]
fn a_request_finds_its_route(
    host: &str,
    path: &str,
    key: Option<&str>,
    expected: Result<&str, Unmatched>,
) {
    let lookup = Lookup::new(configuration(workspaces()));
    let found = lookup.find(host, path, key).map(|found| found.route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn without_workspaces_no_key_is_asked_for() {
    let lookup = Lookup::new(configuration(None));
    assert!(lookup.find("a.example", "/x/", None).is_ok());
}

#[test]
fn the_key_selects_the_workspace() {
    let lookup = Lookup::new(configuration(workspaces()));
    let found = lookup.find("a.example", "/x/", Some("k1")).expect("a route and a key");
    assert_eq!(found.workspace.map(|workspace| workspace.name.as_str()), Some("riders"));
}

#[test]
fn a_split_route_follows_its_weights_and_is_deterministic() {
    let route = route("r", "a", "/", true);
    let chosen = |n: u32| route.service_for(&format!("request-{n}")).expect("a service");
    let spare = (0..10_000).filter(|n| chosen(*n) == "spare").count();
    assert!((800..1_200).contains(&spare), "{spare} of 10000 for a weight of 10 in 100");
    assert_eq!(chosen(7), chosen(7));
}
