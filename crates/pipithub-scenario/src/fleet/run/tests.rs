//! The words of reports.

use pipithub_conformance::fleet::Disk;

use super::Action;

#[test]
fn acts_are_named_in_reports_by_these_words() {
    let words = [
        (Action::Kill(1), "Kill(1)"),
        (Action::Start(2, Disk::Current), "Start(2, Kept)"),
        (Action::Start(2, Disk::Empty), "Start(2, Empty)"),
        (Action::Start(2, Disk::Stale), "Start(2, Old)"),
        (Action::Pause(3, true), "Pause(3, true)"),
        (Action::Cut(0, 4, false), "Cut(0, 4, false)"),
        (Action::Hold(4, 0, true), "Hold(4, 0, true)"),
        (Action::Split(1, true), "Split(1, true)"),
        (Action::Slow(5_000_000, 0), "Slow(5000000, 0)"),
        (Action::Loss(0.0), "Loss(0.0)"),
        (Action::Loss(0.25), "Loss(0.25)"),
        (Action::DuplicateIdentity(7, 2), "Twin(7, 2)"),
    ];
    for (action, word) in words {
        assert_eq!(action.to_string(), word);
    }
}
