//! Tests of the codes and descriptions of actions in reports.

use pipithub_conformance::fleet::Disk;

use super::{Action, Link};

/// Checks the code and the description of an action.
fn assert_code_and_description(action: &Action, code: &str, description: &str) {
    assert_eq!(action.code(), code);
    assert_eq!(action.to_string(), description);
}

#[test]
fn actions_on_processes_have_a_fixed_code_and_a_description() {
    let start = |disk| Action::Start { slot: 2, disk };
    let pause = Action::Pause {
        slot: 3,
        paused: true,
    };
    let duplicate = Action::StartDuplicate { slot: 7, of: 2 };
    assert_code_and_description(&Action::Kill { slot: 1 }, "Kill(1)", "process 1 is killed");
    assert_code_and_description(
        &start(Disk::Current),
        "Start(2, Kept)",
        "process 2 is started with its disk as it was",
    );
    assert_code_and_description(
        &start(Disk::Empty),
        "Start(2, Empty)",
        "process 2 is started with an empty disk",
    );
    assert_code_and_description(
        &start(Disk::Stale),
        "Start(2, Old)",
        "process 2 is started with an old copy of its disk",
    );
    assert_code_and_description(&pause, "Pause(3, true)", "process 3 is paused");
    assert_code_and_description(
        &duplicate,
        "Twin(7, 2)",
        "process 7 is started as a duplicate of process 2",
    );
}

#[test]
fn actions_on_links_have_a_fixed_code_and_a_description() {
    let cut = Action::Cut {
        link: Link { from: 0, to: 4 },
        cut: false,
    };
    let hold = Action::Hold {
        link: Link { from: 4, to: 0 },
        held: true,
    };
    let slow = Action::Slow {
        delay: 5_000_000,
        jitter: 0,
    };
    let expected = [
        (cut, "Cut(0, 4, false)", "the link from 0 to 4 is restored"),
        (
            hold,
            "Hold(4, 0, true)",
            "the link from 4 to 0 holds all datagrams back",
        ),
        (
            Action::Split { zone: 1, cut: true },
            "Split(1, true)",
            "zone 1 is partitioned from the others",
        ),
        (
            slow,
            "Slow(5000000, 0)",
            "all links are delayed by 5 ms plus up to 0 ms",
        ),
        (
            Action::Loss { share: 0.0 },
            "Loss(0.0)",
            "links no longer lose datagrams",
        ),
        (
            Action::Loss { share: 0.25 },
            "Loss(0.25)",
            "all links lose 25 % of the datagrams",
        ),
    ];
    for (action, code, description) in expected {
        assert_code_and_description(&action, code, description);
    }
}
