//! Tests of the demand for models, and of the requests among it that find no slot.

use std::collections::HashMap;

use oliveworks_gateway_core::demand::{ModelDemand, ModelKey, RequestCounts};
use oliveworks_gateway_core::fan_out::Source;

const PEER: Source = Source::Gateway(7);

fn model() -> ModelKey {
    ModelKey::of("lm", "large")
}

#[test]
fn refusals_of_all_gateways_count() {
    let mut demand = ModelDemand::default();
    (0..10).for_each(|turn| demand.record_request(1_000, model(), turn < 4));
    let peer = HashMap::from([(model(), RequestCounts { all: 30.0, refused: 30.0 })]);
    demand.record_peer(1_000, PEER, peer);
    assert!((demand.refused_fraction(1_000, model()) - 34.0 / 40.0).abs() < 1e-9);
}

#[test]
fn what_was_refused_long_ago_weighs_less_than_what_is_served_now() {
    let mut demand = ModelDemand::default();
    (0..16).for_each(|_| demand.record_request(0, model(), true));
    assert_eq!(demand.refused_fraction(0, model()), 1.0);
    demand.record_request(4_000, model(), false);
    assert!((demand.refused_fraction(4_000, model()) - 0.5).abs() < 1e-9);
}

#[test]
fn a_gateway_that_is_not_heard_counts_no_more() {
    let mut demand = ModelDemand::default();
    demand.record_request(0, model(), false);
    demand.record_peer(
        0,
        PEER,
        HashMap::from([(model(), RequestCounts { all: 9.0, refused: 9.0 })]),
    );
    assert!(demand.refused_fraction(1_000, model()) > 0.5);
    assert_eq!(demand.refused_fraction(2_000, model()), 0.0);
}

#[test]
fn a_model_that_nobody_asks_for_refuses_nothing() {
    assert_eq!(ModelDemand::default().refused_fraction(5, ModelKey::of("lm", "small")), 0.0);
    assert_ne!(ModelKey::of("a", "bc"), ModelKey::of("ab", "c"));
}
