//! Settings of a gateway: the policy section, its defaults, and errors that name the key.

use oliveworks_gateway::reload::changed_keys;
use oliveworks_gateway::settings::Settings;
use oliveworks_runtime::settings::parse;
use test_case::test_case;

const GOOD: &str = "
node: gateway-1
failure_domain: ruwi
listen: {callers: 127.0.0.1:1, ready: 127.0.0.1:2, peers: 127.0.0.1:3}
store: {address: 127.0.0.1:4}
bounds: {drain_ms: 2000, apply_ms: 2000, grace_s: 8, repeat_ratio: 0.2, repeat_extra: 160, \
repeat_window_s: 10}
policy: {planner: {spare_percent: 10}}
";

fn read(text: &str) -> Result<Settings, String> {
    parse(text, std::iter::empty()).map_err(|error| format!("{error:#}"))
}

#[test]
fn a_weight_is_set_and_the_others_keep_their_defaults() {
    let planner = read(GOOD).expect("good settings").policy.planner;
    let bare = read(&GOOD.replace("policy: {planner: {spare_percent: 10}}\n", ""));
    let defaults = bare.expect("good settings").policy.planner;
    assert_eq!(planner.spare_percent, 10);
    assert_eq!(planner.settle_ms, defaults.settle_ms);
}

#[test_case("", "", 256 << 20; "nothing")]
#[test_case("node:", "memory_mb: 260\nnode:", 65 << 20; "the memory of the process")]
#[test_case("node:", "memory_mb: 260\nrequests: {bodies_max: 1000}\nnode:", 1_000; "their own limit")]
fn the_memory_for_bodies_follows_from(part: &str, change: &str, bytes: usize) {
    let settings = read(&GOOD.replacen(part, change, 1)).expect("good settings");
    assert_eq!(settings.bodies_max(), bytes);
}

#[test_case("memory_mb: 112\ndescriptors: 2870", 448; "the memory of the process")]
#[test_case("memory_mb: 512\ndescriptors: 2870", 1_185; "its descriptors")]
#[test_case("memory_mb: 512\nrequests: {connections_max: 7}", 7; "its own setting")]
fn the_limit_on_connections_follows_from(lines: &str, connections: usize) {
    let settings = read(&GOOD.replacen("node:", &format!("{lines}\nnode:"), 1));
    assert_eq!(settings.expect("good settings").connections_max(), connections);
}

/// Guards against settings that name a grace period of 2500 ms as `2.5000`.
#[test]
fn a_grace_period_may_have_a_fraction() {
    let text = GOOD.replace("grace_s: 8", "grace_s: 2.5").replace("window_s: 10", "window_s: 0.5");
    let bounds = read(&text).expect("good settings").bounds;
    assert_eq!((bounds.grace_ms(), bounds.repeat_window_ms()), (2_500, 500));
}

#[test_case("node:", "processor: 0.18\nnode:", &["processor"]; "a capacity")]
#[test_case("", "", &[]; "nothing")]
#[test_case("drain_ms: 2000", "drain_ms: 2500", &["bounds.drain_ms"]; "a bound")]
#[test_case("spare_percent: 10", "staged_max: 1", &["policy.planner.spare_percent", "policy.planner.staged_max"]; "two weights")]
#[test_case("node:", "regions: {ruwi: muscat}\nnode:", &["regions.ruwi"]; "something that was not there")]
fn what_has_changed_is_named(part: &str, change: &str, keys: &[&str]) {
    let held = read(GOOD).expect("good settings");
    let new = read(&GOOD.replacen(part, change, 1)).expect("good settings");
    assert_eq!(changed_keys(&held, &new), keys);
}

#[test_case("repeat_window_s: 10", "repeat_window_s: 10, domain_drain_ms: 0", "bounds.domain_drain_ms"; "no time to drain")]
#[test_case("repeat_window_s: 10", "repeat_window_s: 10, slow_start: {excess: 0, extra: 5}", "bounds.slow_start"; "nothing for cold hosts")]
#[test_case("grace_s: 8", "grace_s: 0.9", "bounds.grace_s: must be at least 1"; "no time for last answers")]
#[test_case("grace_s: 8", "grace_s: .inf", "bounds.grace_s: must be at least 1 and at most 86400"; "a stop without an end")]
#[test_case("grace_s: 8", "grace_s: 1e300", "bounds.grace_s: must be at least 1 and at most 86400"; "a period beyond the clock")]
#[test_case("grace_s: 8", "grace_s: .nan", "bounds.grace_s: must be at least 1"; "no number")]
#[test_case("repeat_window_s: 10", "repeat_window_s: 0", "bounds.repeat_window_s"; "no window")]
fn a_wrong_bound_is_refused(part: &str, fault: &str, says: &str) {
    let error = read(&GOOD.replace(part, fault)).expect_err("a fault");
    assert!(error.contains(says), "{error}");
}

#[test_case("node:", "processor: 0\nnode:", "processor"; "no processor")]
#[test_case("node:", "memory_mb: 0\nnode:", "memory_mb"; "no memory")]
#[test_case("policy:", "requests: {bodies_max: 0}\npolicy:", "requests.bodies_max"; "no memory for bodies")]
#[test_case("policy:", "requests: {heads_max: 0}\npolicy:", "requests.heads_max"; "no memory for heads")]
#[test_case("policy:", "requests: {answers_max: 0}\npolicy:", "requests.answers_max"; "no memory for answers")]
#[test_case("policy:", "requests: {connections_max: 0}\npolicy:", "requests.connections_max"; "no connections")]
#[test_case("policy:", "descriptors: 0\npolicy:", "descriptors"; "no descriptors")]
#[test_case("spare_percent: 10", "spare_percent: 101", "policy.planner.spare_percent"; "too many spares")]
#[test_case("spare_percent: 10", "staging_percent: 200", "policy.planner.staging_percent"; "more than all loads")]
#[test_case("spare_percent: 10", "yield_margin: -0.1", "policy.planner.yield_margin"; "a negative load")]
#[test_case("planner:", "admission: {window_ms: 0}, planner:", "policy.admission.window_ms"; "no window")]
#[test_case("planner:", "admission: {plenty_percent: 101}, planner:", "policy.admission.plenty_percent"; "more than all slots")]
#[test_case("spare_percent: 10", "spares: 10", "spares"; "an unknown weight")]
#[test_case("spare_percent: 10", "spare_percent: many", "many"; "not a number")]
#[test_case("planner:", "planer:", "planer"; "an unknown section")]
fn a_wrong_policy_is_refused(part: &str, fault: &str, says: &str) {
    let text = GOOD.replace(part, fault);
    assert_ne!(text, GOOD);
    let error = read(&text).expect_err("a fault");
    assert!(error.contains(says), "{error}");
}
