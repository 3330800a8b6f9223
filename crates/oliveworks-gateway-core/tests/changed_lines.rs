//! Tests of the choice of state lines that are logged.

use oliveworks_gateway_core::changed_lines::ChangedLines;

fn lines(all: &[&str]) -> Vec<String> {
    all.iter().map(|line| (*line).to_owned()).collect()
}

#[test]
fn a_line_is_told_when_it_changes_and_each_ten_seconds() {
    let mut selection = ChangedLines::default();
    assert_eq!(selection.due(0, lines(&["a 1", "b 1"])), lines(&["a 1", "b 1"]));
    assert_eq!(selection.due(1_000, lines(&["a 1", "b 1"])), lines(&[]));
    assert_eq!(selection.due(2_000, lines(&["a 1", "b 2"])), lines(&["b 2"]));
    assert_eq!(
        selection.due(3_000, lines(&["a 1", "b 1"])),
        lines(&["b 1"]),
        "a line that changes back is logged, too"
    );
    assert_eq!(selection.due(10_000, lines(&["a 1", "b 1"])), lines(&["a 1", "b 1"]));
}
