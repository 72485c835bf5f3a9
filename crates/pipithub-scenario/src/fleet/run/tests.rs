//! The words of reports.

use pipithub_conformance::fleet::Disk;

use super::Act;

#[test]
fn acts_are_named_in_reports_by_these_words() {
    let words = [
        (Act::Kill(1), "Kill(1)"),
        (Act::Start(2, Disk::Current), "Start(2, Kept)"),
        (Act::Start(2, Disk::Empty), "Start(2, Empty)"),
        (Act::Start(2, Disk::Stale), "Start(2, Old)"),
        (Act::Pause(3, true), "Pause(3, true)"),
        (Act::Cut(0, 4, false), "Cut(0, 4, false)"),
        (Act::Hold(4, 0, true), "Hold(4, 0, true)"),
        (Act::Split(1, true), "Split(1, true)"),
        (Act::Slow(5_000_000, 0), "Slow(5000000, 0)"),
        (Act::Loss(0.0), "Loss(0.0)"),
        (Act::Loss(0.25), "Loss(0.25)"),
        (Act::Twin(7, 2), "Twin(7, 2)"),
    ];
    for (act, word) in words {
        assert_eq!(act.to_string(), word);
    }
}
