//! Which lines are told.

use oliveworks_gateway_core::changed_lines::ChangedLines;

fn lines(all: &[&str]) -> Vec<String> {
    all.iter().map(|line| (*line).to_owned()).collect()
}

#[test]
fn a_line_is_told_when_it_changes_and_each_ten_seconds() {
    let mut told = ChangedLines::default();
    assert_eq!(told.due(0, lines(&["a 1", "b 1"])), lines(&["a 1", "b 1"]));
    assert_eq!(told.due(1_000, lines(&["a 1", "b 1"])), lines(&[]));
    assert_eq!(told.due(2_000, lines(&["a 1", "b 2"])), lines(&["b 2"]));
    assert_eq!(told.due(3_000, lines(&["a 1", "b 1"])), lines(&["b 1"]), "also back as it was");
    assert_eq!(told.due(10_000, lines(&["a 1", "b 1"])), lines(&["a 1", "b 1"]));
}
