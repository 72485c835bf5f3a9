//! The words of reports.

use super::Action;

#[test]
fn actions_are_named_in_reports_by_these_words() {
    let words = [
        (Action::KillWorker(1), "Kill(1)"),
        (Action::RemoveWorker(2), "Gone(2)"),
        (Action::StartWorker(3), "Start(3)"),
        (Action::DrainWorker(4), "Drain(4)"),
        (
            Action::SetWorkerSilent {
                worker: 5,
                silent: true,
            },
            "Say(5, \"silent on\")",
        ),
        (
            Action::DelayEndpointList { by: 500_000_000 },
            "Delay(500000000)",
        ),
        (Action::SlowStore { factor: 2.5 }, "Store(\"SLOW 2.5\")"),
        (Action::SlowStore { factor: 1.0 }, "Store(\"SLOW 1\")"),
        (Action::SetStoreRejecting(true), "Store(\"HALT\")"),
        (Action::SetStoreRejecting(false), "Store(\"GO\")"),
        (Action::KillFrontEnd(0), "KillFront(0)"),
        (Action::StartFrontEnd(1), "StartFront(1)"),
        (Action::DropBrokerConnections, "CutBroker"),
        (
            Action::CommandDirectory {
                server: 0,
                command: "slow \"x\"".into(),
            },
            "Directory(0, \"slow \\\"x\\\"\")",
        ),
        (
            Action::SetDirectoryStale {
                server: 1,
                stale: true,
            },
            "Stale(1, true)",
        ),
        (
            Action::MigrateUser {
                user: 60,
                tenant: 1,
            },
            "Move(60, 1)",
        ),
    ];
    for (action, word) in words {
        assert_eq!(action.to_string(), word);
    }
}
