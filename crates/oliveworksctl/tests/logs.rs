//! Explanation of requests from gateway logs alone.

use std::path::PathBuf;
use std::process::{Command, Output};

use test_case::test_case;

fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oliveworksctl"))
        .args(args)
        .env_remove("OLIVEWORKS_CONTEXT")
        .output()
        .unwrap()
}

fn line(time_ms: u64, process: &str, event: &str) -> String {
    format!(
        "{{\"time_ms\":{time_ms},\"process\":\"{process}\",\"level\":\"INFO\",\"part\":\"event\",\"event\":{event}}}"
    )
}

/// Creates a directory with the logs of two gateways. One line has a prefix of a log collector, one
/// line is truncated, and one line was not written by a gateway.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let first = [
        line(100, "gateway-1", r#"{"kind":"groups_serve","groups":{"m0":3}}"#),
        line(900, "gateway-1", r#"{"kind":"groups_serve","groups":{"m0":1}}"#),
        line(
            1_000,
            "gateway-1",
            r#"{"kind":"request","request":"r-1","model":"m0","outcome":"refused: NotRun","took_ms":90,"sent":0,"steps":["no place: Full"]}"#,
        ),
        line(1_010, "gateway-1", r#"{"kind":"groups_serve","groups":{"m0":7}}"#),
        "something else".to_owned(),
        "{\"time_ms\":1020,\"proc".to_owned(),
    ];
    let without_group = |id: &str, service: &str| {
        let steps = format!(r#"["0 open places","{service}","no place: None"]"#);
        line(
            800,
            "gateway-1",
            &format!(
                r#"{{"kind":"request","request":"{id}","outcome":"refused: NotRun","took_ms":0,"sent":0,"steps":{steps}}}"#
            ),
        )
    };
    let first = first.into_iter().chain([
        without_group("r-4", "service lm: planned: no; hosts: 6; groups: 0"),
        without_group("r-5", "service lm: planned: yes; hosts: 0; groups: 0"),
        without_group("r-6", "service lm: planned: yes; hosts: 6; groups: 0"),
    ]);
    let first: Vec<String> = first.collect();
    let second = [
        line(1_900, "gateway-2", r#"{"kind":"group_stands_still","host":"i-7","epoch":12}"#),
        line(1_950, "gateway-2", r#"{"kind":"group_stands_still","host":"i-70","epoch":13}"#),
        format!(
            "collected {}",
            line(
                2_000,
                "gateway-2",
                r#"{"kind":"request","request":"r-2","outcome":"torn: MayHaveRun","took_ms":500,"sent":1,"steps":["to i-7 at 3 ms: 2 open, 0 tokens unread","i-7 Stalled at 480 ms"]}"#
            )
        ),
    ];
    let silent = |id: &str, outcome: &str, steps: &str| {
        let fields = format!(r#""outcome":"{outcome}","took_ms":900,"sent":1,"steps":{steps}"#);
        line(700, "gateway-1", &format!(r#"{{"kind":"request","request":"{id}",{fields}}}"#))
    };
    let first = first.into_iter().chain([
        silent("r-7", "torn: TimedOut", r#"["to i-8 at 3 ms: 2 open","i-8 silent at 480 ms","not sent elsewhere: NoRepeatLeft","taken back from i-8 at 900 ms"]"#),
        silent("r-8", "served late: sent again", r#"["to i-8 at 3 ms: 2 open","i-8 silent at 480 ms","to i-9 at 481 ms: 1 open","taken back from i-8 at 600 ms"]"#),
        silent("r-9", "torn: MayHaveRun", r#"["to i-8 at 3 ms: 2 open","i-8 silent at 480 ms","i-8 continues at 500 ms","i-8 Lost at 700 ms"]"#),
        silent("r-12", "refused: NotRun", r#"["no memory for its body"]"#),
        line(650, "gateway-1", r#"{"kind":"connection_ended","reason":"caller_reset","during":"answer","request":"r-10","after_ms":31}"#),
        line(651, "gateway-1", r#"{"kind":"connection_ended","reason":"torn","during":"answer","request":"r-9","after_ms":31}"#),
        line(652, "gateway-1", r#"{"kind":"connection_ended","reason":"process_end","during":"answer","request":"r-11","after_ms":7300}"#),
        line(653, "gateway-1", r#"{"kind":"connection_ended","reason":"process_end","during":"answer","progress":"undelivered","request":"r-14","after_ms":900,"stop_ms":7300}"#),
        silent("r-13", "torn: MayHaveRun", r#"["to i-8 at 3 ms: 2 open","taken back from i-8 at 880 ms","the gateway's stop ends at 880 ms"]"#),
    ]);
    let first: Vec<String> = first.collect();
    std::fs::write(folder.join("gateway-1.log"), first.join("\n")).unwrap();
    std::fs::write(folder.join("gateway-2.log"), second.join("\n")).unwrap();
    folder
}

#[test_case("r-1", &["every group that may serve it was full", "{\"m0\":1}"], &["{\"m0\":7}", "{\"m0\":3}"]; "refused for want of a place")]
#[test_case("r-4", &["the leader plans no groups of its service"], &["none of its groups"]; "a service without planner")]
#[test_case("r-5", &["its service has no listed hosts"], &["none of its groups"]; "a service without hosts")]
#[test_case("r-6", &["none of its groups serves"], &["the leader plans no groups"]; "a service without groups")]
#[test_case("r-2", &["the last group that it was sent to stood still", "host=\"i-7\""], &["i-70"]; "a group that stood still")]
#[test_case("r-7", &["i-8 was silent from 480 ms on, and it was not sent elsewhere: NoRepeatLeft"], &["stood still"]; "a host that stayed silent")]
#[test_case("r-8", &["a host that it was sent to before fell silent"], &["was silent from"]; "another host served it")]
#[test_case("r-9", &["the last answer broke off"], &["was silent from", "no complete answer"]; "a host that continued")]
#[test_case("r-10", &["no complete answer after 31 ms: its caller reset the connection"], &[]; "a caller that left")]
#[test_case("r-12", &["the bodies of other requests filled the memory for them"], &[]; "no memory for its body")]
#[test_case("r-11", &["no complete answer after 7300 ms: the gateway's process ended"], &[]; "the end of the process")]
#[test_case("r-13", &["ended by the stop of gateway-1"], &[]; "a stream that the stop ended")]
#[test_case("r-14", &["the gateway's process ended, 7300 ms after the stop of gateway-1 began, and its caller had not received all of a complete answer"], &[]; "an answer that the stop kept from its caller")]
fn a_request_is_explained(request: &str, says: &[&str], says_not: &[&str]) {
    let folder = folder(&format!("explain-{request}"));
    let output = ctl(&["explain", request, "--logs", folder.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{told}");
    assert!(says.iter().all(|text| told.contains(text)), "{told}");
    assert!(!says_not.iter().any(|text| told.contains(text)), "{told}");
    assert!(told.contains("left out: 1 torn lines, 1 that are no gateway's"), "{told}");
}

#[test]
fn a_request_that_no_log_names_is_an_error() {
    let folder = folder("explain-none");
    let output = ctl(&["explain", "r-3", "--logs", folder.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("r-3"));
}

#[test_case(&["--host", "i-7"], 2; "by host")]
#[test_case(&["--group", "13"], 1; "by group")]
#[test_case(&["--from-ms", "900", "--to-ms", "1010"], 3; "by time")]
fn lines_are_chosen(filter: &[&str], count: usize) {
    let folder = folder(&format!("timeline-{}", filter[1]));
    let mut args = vec!["timeline", "--output", "json", "--logs", folder.to_str().unwrap()];
    args.extend(filter);
    let output = ctl(&args);
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(told["lines"].as_array().unwrap().len(), count, "{told}");
}
