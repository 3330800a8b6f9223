//! Time at which a gateway's share of the ramp-up limit is available.

use oliveworks_gateway_core::slow_start::sends::Sends;

use crate::HEAD;

fn sent_at(times: &[u64]) -> Sends {
    let mut sends = Sends::default();
    for at in times {
        sends.chosen(HEAD);
        sends.sent(*at, HEAD);
    }
    sends
}

#[test]
fn a_share_is_available_again_after_more_than_a_second() {
    let sends = sent_at(&[1_000, 1_400]);
    assert_eq!(sends.free_at(1_500, HEAD, 3), Some(1_500));
    assert_eq!(sends.free_at(1_500, HEAD, 2), Some(2_100));
    assert_eq!(sends.free_at(1_500, HEAD, 1), Some(2_500));
    assert_eq!(sends.free_at(2_100, HEAD, 2), Some(2_100));
}

#[test]
fn a_share_of_zero_is_never_available() {
    assert_eq!(Sends::default().free_at(1_000, HEAD, 0), None);
}

/// An assigned request counts against the share, because the gateway may still send it at the end
/// of the second that is counted.
#[test]
fn an_assigned_request_uses_the_share() {
    let mut sends = sent_at(&[1_000]);
    sends.chosen(HEAD);
    assert!(sends.free_at(1_500, HEAD, 2) > Some(1_500));
    sends.not_sent(HEAD);
    assert_eq!(sends.free_at(1_500, HEAD, 2), Some(1_500));
}
