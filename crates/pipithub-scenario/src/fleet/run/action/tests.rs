//! The words of reports.

use pipithub_conformance::fleet::Disk;

use super::{Action, Link};

#[test]
fn actions_are_named_in_reports_by_these_words() {
    let start = |disk| Action::Start { slot: 2, disk };
    let words = [
        (Action::Kill { slot: 1 }, "Kill(1)"),
        (start(Disk::Current), "Start(2, Kept)"),
        (start(Disk::Empty), "Start(2, Empty)"),
        (start(Disk::Stale), "Start(2, Old)"),
        (
            Action::Pause {
                slot: 3,
                paused: true,
            },
            "Pause(3, true)",
        ),
        (
            Action::Cut {
                link: Link { from: 0, to: 4 },
                cut: false,
            },
            "Cut(0, 4, false)",
        ),
        (
            Action::Hold {
                link: Link { from: 4, to: 0 },
                held: true,
            },
            "Hold(4, 0, true)",
        ),
        (Action::Split { zone: 1, cut: true }, "Split(1, true)"),
        (
            Action::Slow {
                delay: 5_000_000,
                jitter: 0,
            },
            "Slow(5000000, 0)",
        ),
        (Action::Loss { share: 0.0 }, "Loss(0.0)"),
        (Action::Loss { share: 0.25 }, "Loss(0.25)"),
        (Action::StartDuplicate { slot: 7, of: 2 }, "Twin(7, 2)"),
    ];
    for (action, word) in words {
        assert_eq!(action.to_string(), word);
    }
}
