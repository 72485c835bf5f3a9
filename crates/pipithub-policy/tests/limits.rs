//! The module is read aloud after each outage: it must stay short.

const MODULE: &str = include_str!("../src/decide.rs");

#[test]
fn the_module_stays_within_1060_lines() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_060, "{lines} lines");
}

#[test]
fn no_line_is_longer_than_110_columns() {
    let sources = [
        MODULE,
        include_str!("../src/api.rs"),
        include_str!("../src/state.rs"),
    ];
    for line in sources.iter().flat_map(|s| s.lines()) {
        assert!(line.chars().count() <= 110, "{line}");
    }
}

#[test]
fn the_module_names_its_interface_at_its_top() {
    assert!(MODULE.lines().take(3).any(|l| l.contains("src/api.rs")));
}
