//! The words of reports.

use super::Action;

#[test]
fn acts_are_named_in_reports_by_these_words() {
    let words = [
        (Action::Kill(1), "Kill(1)"),
        (Action::Remove(2), "Gone(2)"),
        (Action::Start(3), "Start(3)"),
        (Action::Drain(4), "Drain(4)"),
        (Action::SendCommand(5, "silent on"), "Say(5, \"silent on\")"),
        (Action::DelayEndpointList(500_000_000), "Delay(500000000)"),
        (
            Action::StoreCommand("SLOW 2.5".into()),
            "Store(\"SLOW 2.5\")",
        ),
        (Action::KillFrontEnd(0), "KillFront(0)"),
        (Action::StartFrontEnd(1), "StartFront(1)"),
        (Action::DropBrokerConnections, "CutBroker"),
        (
            Action::DirectoryFault(0, "slow \"x\"".into()),
            "Directory(0, \"slow \\\"x\\\"\")",
        ),
        (Action::StaleDirectoryChange(1, true), "Stale(1, true)"),
        (Action::MigrateUser(60, 1), "Move(60, 1)"),
    ];
    for (action, word) in words {
        assert_eq!(action.to_string(), word);
    }
}
