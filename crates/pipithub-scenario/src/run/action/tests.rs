//! Tests of the codes and descriptions of actions in reports.

use super::Action;

/// Checks the code and the description of an action.
fn assert_code_and_description(action: &Action, code: &str, description: &str) {
    assert_eq!(action.code(), code);
    assert_eq!(action.to_string(), description);
}

#[test]
fn actions_on_processes_have_a_fixed_code_and_a_description() {
    let silent = Action::SetWorkerSilent {
        worker: 5,
        silent: true,
    };
    let expected = [
        (Action::KillWorker(1), "Kill(1)", "worker 1 is killed"),
        (
            Action::RemoveWorker(2),
            "Gone(2)",
            "worker 2 is removed from the endpoint list",
        ),
        (Action::StartWorker(3), "Start(3)", "worker 3 is started"),
        (Action::DrainWorker(4), "Drain(4)", "worker 4 is draining"),
        (silent, "Say(5, \"silent on\")", "worker 5 stops answering"),
        (
            Action::KillFrontEnd(0),
            "KillFront(0)",
            "front end 0 is killed",
        ),
        (
            Action::StartFrontEnd(1),
            "StartFront(1)",
            "front end 1 is started",
        ),
        (
            Action::DropBrokerConnections,
            "CutBroker",
            "the broker drops all connections",
        ),
    ];
    for (action, code, description) in expected {
        assert_code_and_description(&action, code, description);
    }
}

#[test]
fn actions_on_list_and_store_have_a_fixed_code_and_a_description() {
    let expected = [
        (
            Action::DelayEndpointList { by: 500_000_000 },
            "Delay(500000000)",
            "the endpoint list is delayed by 500 ms",
        ),
        (
            Action::DelayEndpointList { by: 0 },
            "Delay(0)",
            "the endpoint list is no longer delayed",
        ),
        (
            Action::SlowStore { factor: 2.5 },
            "Store(\"SLOW 2.5\")",
            "fetches from the model store take 2.5 times as long as usual",
        ),
        (
            Action::SlowStore { factor: 1.0 },
            "Store(\"SLOW 1\")",
            "fetches from the model store take their usual time again",
        ),
        (
            Action::SetStoreRejecting(true),
            "Store(\"HALT\")",
            "the model store rejects all fetches",
        ),
        (
            Action::SetStoreRejecting(false),
            "Store(\"GO\")",
            "the model store accepts fetches again",
        ),
    ];
    for (action, code, description) in expected {
        assert_code_and_description(&action, code, description);
    }
}

#[test]
fn actions_on_directories_have_a_fixed_code_and_a_description() {
    let command = Action::CommandDirectory {
        server: 0,
        command: "slow \"x\"".into(),
    };
    assert_code_and_description(
        &command,
        "Directory(0, \"slow \\\"x\\\"\")",
        "directory server 0 is given the command 'slow \"x\"'",
    );
    let stale = Action::SetDirectoryStale {
        server: 1,
        stale: true,
    };
    assert_code_and_description(
        &stale,
        "Stale(1, true)",
        "directory server 1 misses all changes from now on",
    );
    let migration = Action::MigrateUser {
        user: 60,
        tenant: 1,
    };
    assert_code_and_description(&migration, "Move(60, 1)", "user 60 moves to tenant south");
}
