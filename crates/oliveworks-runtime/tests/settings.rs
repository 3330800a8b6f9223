//! Settings: invalid files are rejected, and the error names the key.

use oliveworks_core::lease::LeaseConfig;
use oliveworks_runtime::settings::{Check, parse};
use serde::Deserialize;
use test_case::test_case;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    listen: std::net::SocketAddr,
    #[serde(default)]
    lease: LeaseConfig,
}

impl Check for Settings {
    fn check(&self) -> Result<(), String> {
        self.lease.check()
    }
}

fn read(text: &str, overrides: &[(&str, &str)]) -> Result<Settings, String> {
    let overrides = overrides.iter().map(|(k, v)| (k.to_string(), v.to_string()));
    parse(text, overrides).map_err(|e| format!("{e:#}"))
}

const GOOD: &str = "listen: 127.0.0.1:80\nlease:\n  ttl_ms: 2000\n";

#[test]
fn good_settings_are_read() {
    let settings = read(GOOD, &[]).unwrap();
    assert_eq!((settings.listen.port(), settings.lease.ttl_ms), (80, 2000));
}

#[test_case("listen: 127.0.0.1:80", "listen: here", "line 1"; "a wrong value")]
#[test_case("listen", "lisent", "lisent"; "an unknown key")]
#[test_case("listen: 127.0.0.1:80\n", "", "listen"; "a missing key")]
#[test_case("ttl_ms: 2000", "ttl_ms: fast", "line 3"; "a wrong number")]
#[test_case("ttl_ms: 2000", "ttl_ms: 2000\n  renew_ms: 1999", "lease.renew_ms"; "a broken rule")]
fn wrong_settings_are_refused(part: &str, fault: &str, says: &str) {
    let text = GOOD.replace(part, fault);
    assert_ne!(text, GOOD);
    let error = read(&text, &[]).unwrap_err();
    assert!(error.contains(says), "{error}");
}

#[test]
fn the_environment_overrides() {
    let with =
        [("OLIVEWORKS_SET_LEASE__TTL_MS", "2400"), ("OLIVEWORKS_SET_LISTEN", "127.0.0.1:81")];
    let settings = read(GOOD, &with).unwrap();
    assert_eq!((settings.listen.port(), settings.lease.ttl_ms), (81, 2400));
    let error = read(GOOD, &[("OLIVEWORKS_SET_LEASE__TTL_MS", "fast")]).unwrap_err();
    assert!(error.contains("lease.ttl_ms"), "{error}");
    let error = read(GOOD, &[("OLIVEWORKS_SET_LISTEN__DEEP", "1")]).unwrap_err();
    assert!(error.contains("OLIVEWORKS_SET_LISTEN__DEEP"), "{error}");
}
