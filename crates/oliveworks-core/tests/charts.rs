//! Errors that the chart checker must find, and the documented rendering of the shipped charts.

use oliveworks_core::chart::Chart;
use oliveworks_core::charts;
use test_case::test_case;

const GOOD: &str = "chart: t\ninitial: a\nevents: [go]\nstates:\n  a: { on: { go: b } }\n  b: { final: true, ignores: [go] }\n";

#[test]
fn a_good_chart_is_read() {
    let chart = Chart::parse(GOOD).unwrap();
    assert_eq!(chart.next("a", "go").unwrap(), Some("b"));
    assert_eq!(chart.next("b", "go").unwrap(), None);
}

#[test_case("initial: a", "initial: z", "initial state z is not declared"; "initial")]
#[test_case("go: b", "go: z", "target z is not declared"; "target")]
#[test_case("on: { go: b }", "on: { fly: b }", "event fly is not declared"; "event")]
#[test_case("ignores: [go]", "ignores: []", "neither handles nor ignores event go"; "missing")]
#[test_case("go: b", "go: a", "state b is unreachable"; "unreachable")]
#[test_case("final: true, ", "", "no outgoing transition"; "dead end")]
#[test_case("on: { go: b }", "on: { go: b }, ignores: [go]", "both handles and ignores"; "both")]
#[test_case("chart: t", "chart: t\nmore: 1", "not a chart"; "unknown key")]
fn a_faulty_chart_is_refused(part: &str, fault: &str, says: &str) {
    let text = GOOD.replace(part, fault);
    assert_ne!(text, GOOD);
    let error = Chart::parse(&text).unwrap_err().to_string();
    assert!(error.contains(says), "{error}");
}

#[test]
fn the_pictures_in_docs_are_of_these_charts() {
    for chart in charts::all() {
        let path = format!("{}/../../docs/charts/{}.dot", env!("CARGO_MANIFEST_DIR"), chart.name());
        let drawn = std::fs::read_to_string(&path).unwrap_or_default();
        if std::env::var_os("OLIVEWORKS_DRAW").is_some() {
            std::fs::write(&path, chart.to_dot()).unwrap();
            continue;
        }
        assert_eq!(drawn, chart.to_dot(), "{path}: regenerate it with OLIVEWORKS_DRAW=1");
    }
}
