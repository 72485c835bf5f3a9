//! The words of reports.

use super::Act;

#[test]
fn acts_are_named_in_reports_by_these_words() {
    let words = [
        (Act::Kill(1), "Kill(1)"),
        (Act::Gone(2), "Gone(2)"),
        (Act::Start(3), "Start(3)"),
        (Act::Drain(4), "Drain(4)"),
        (Act::Say(5, "silent on"), "Say(5, \"silent on\")"),
        (Act::Delay(500_000_000), "Delay(500000000)"),
        (Act::Store("SLOW 2.5".into()), "Store(\"SLOW 2.5\")"),
        (Act::KillFront(0), "KillFront(0)"),
        (Act::StartFront(1), "StartFront(1)"),
        (Act::CutBroker, "CutBroker"),
        (
            Act::Directory(0, "slow \"x\"".into()),
            "Directory(0, \"slow \\\"x\\\"\")",
        ),
        (Act::Stale(1, true), "Stale(1, true)"),
        (Act::Move(60, 1), "Move(60, 1)"),
    ];
    for (act, word) in words {
        assert_eq!(act.to_string(), word);
    }
}
