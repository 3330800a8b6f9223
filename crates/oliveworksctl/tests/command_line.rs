//! Command line, run as a separate process.

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

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

const GOOD: &str = "templates:
  - partner: saffah
    workspace: dispatch
    name: assistant
    model: courier
    version: '1'
    hosts: 8
    spares: 1
    replicas: 2
    limits:
      concurrent: 4
";

#[test]
fn a_good_file_is_said_to_be_good() {
    let path = file("good.yaml", GOOD);
    let output = ctl(&["check", path.to_str().unwrap(), "--output", "json"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("\"templates\":1"));
}

#[test_case("hosts: 8", "hosts: 3", &["line 7", "hosts", "4 to 32"]; "too few hosts")]
#[test_case("spares: 1", "spares: 8", &["line 8", "spares"]; "too many spares")]
#[test_case("concurrent: 4", "concurrent: 0", &["line 11", "limits.concurrent"]; "a limit of none")]
#[test_case("hosts: 8", "hosts: many", &["line 7"]; "not a number")]
#[test_case("replicas: 2", "replica: 2", &["replica"]; "an unknown key")]
#[test_case("name: assistant", "name: 'two words'", &["two words"]; "not a name")]
#[test_case("templates:", "shares: {saffah: 30, sahel: 30}\ntemplates:", &["line 1", "shares"]; "shares that do not add up")]
fn a_faulty_file_names_the_key_and_the_line(part: &str, fault: &str, says: &[&str]) {
    let changed = GOOD.replace(part, fault);
    assert_ne!(changed, GOOD);
    let name = format!("faulty-{}.yaml", fault.len() + part.len() * 100);
    let path = file(&name, &changed);
    let output = ctl(&["check", path.to_str().unwrap()]);
    assert!(!output.status.success());
    let error = text(&output.stderr);
    assert!(says.iter().all(|s| error.contains(s)), "{error}");
}

#[test]
fn publishing_needs_a_context() {
    let path = file("nowhere.yaml", GOOD);
    let output = ctl(&["publish", path.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(text(&output.stderr).contains("--context"));
}

#[test]
fn help_has_examples_and_completions_are_printed() {
    let help = text(&ctl(&["--help"]).stdout);
    assert!(help.contains("oliveworksctl check templates.yaml"), "{help}");
    assert!(text(&ctl(&["--version"]).stdout).contains(env!("CARGO_PKG_VERSION")));
    assert!(text(&ctl(&["completions", "bash"]).stdout).contains("complete"));
}

#[test]
fn a_private_key_is_readable_by_its_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let dir = env!("CARGO_TARGET_TMPDIR");
    assert!(ctl(&["keys", "record", "test-partner", "--dir", dir]).status.success());
    let path = PathBuf::from(dir).join("test-partner.key");
    let mode = std::fs::metadata(path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}
