//! The policy stays small enough to read.

const POLICY: &str = include_str!("../src/rules.rs");

#[test]
fn policy_has_at_most_640_lines_of_at_most_110_characters() {
    let lines = POLICY.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 640, "{lines} lines");
    for (n, line) in POLICY.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
}

#[test]
fn policy_names_its_interface_at_the_top() {
    assert!(POLICY.lines().next().unwrap().contains("src/api.rs"));
}
