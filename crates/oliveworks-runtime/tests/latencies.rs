//! Quantiles of latencies in the exported text.

use oliveworks_runtime::latencies::Latencies;

#[test]
fn quantiles_are_told_in_seconds() {
    let mut latencies = Latencies::default();
    (1..=100).for_each(|ms| latencies.note("first_event", ms * 1_000));
    let text = latencies.text("oliveworks_gateway");
    assert!(text.contains("# TYPE oliveworks_gateway_first_event_seconds summary"), "{text}");
    assert!(text.contains("oliveworks_gateway_first_event_seconds_count 100"), "{text}");
    let line = text.lines().find(|line| line.contains("quantile=\"0.95\"")).expect("a quantile");
    let value: f64 = line.split(' ').next_back().expect("a value").parse().expect("a number");
    assert!((value - 0.095).abs() < 0.001, "{text}");
}

#[test]
fn what_was_never_noted_is_not_told() {
    assert_eq!(Latencies::default().text("oliveworks_gateway"), "");
}
