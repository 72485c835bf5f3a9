//! The saver: it retries failed replacements, and reports only content that is on disk.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use pipithub_storage::{Backoff, Durability, Saver, Target};

use super::disk::{Disk, Fault};

const OLD: &[u8] = b"old";

fn path() -> PathBuf {
    PathBuf::from("/data/record")
}

fn disk() -> Disk {
    Disk::with_file(&path(), OLD)
}

fn saver(disk: &Disk) -> Saver {
    Saver::start(
        Arc::new(disk.clone()),
        Target::new(path(), Durability::Synced),
    )
}

/// Panics if the event does not occur. The clock of the test is paused and advances only when all tasks are idle.
async fn in_time<T>(event: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(3_600), event)
        .await
        .expect("the event did not occur")
}

fn assert_on_disk(disk: &Disk, content: &[u8]) {
    for read in disk.after_power_failure(Path::new("/data/record")) {
        assert_eq!(read.as_deref(), Some(content), "after a power failure");
    }
}

#[tokio::test(start_paused = true)]
async fn content_reported_as_saved_is_on_disk_however_long_the_disk_fails() {
    let faults = [
        Fault::Fails(ErrorKind::StorageFull),
        Fault::Fails(ErrorKind::Other),
        Fault::FailsAfterEffect,
        Fault::ShortWrite(0),
    ];
    for fault in faults {
        for first in 0..7 {
            for length in [1, 2, 5, 40] {
                let disk = disk();
                disk.plan(move |n| (first..first + length).contains(&n).then_some(fault));
                let saver = saver(&disk);
                let mut saved = saver.saved();
                assert_eq!(*saved.borrow_and_update(), None);
                saver.save(7, *b"new");
                in_time(saved.wait_for(|number| *number == Some(7)))
                    .await
                    .expect("the saver runs");
                assert_on_disk(&disk, b"new");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn newest_content_is_saved_and_older_content_is_dropped() {
    let disk = disk();
    disk.plan(|n| (n < 30).then_some(Fault::Fails(ErrorKind::StorageFull)));
    let saver = saver(&disk);
    let mut saved = saver.saved();
    for number in 1..=100_u64 {
        saver.save(number, number.to_string().into_bytes());
        tokio::task::yield_now().await;
    }
    let first = *in_time(saved.wait_for(Option::is_some))
        .await
        .expect("the saver runs");
    assert_eq!(first, Some(100), "older content was saved first");
    assert_on_disk(&disk, b"100");
}

#[tokio::test(start_paused = true)]
async fn dropped_saver_saves_its_last_content_and_ends() {
    let disk = disk();
    let saver = saver(&disk);
    let mut saved = saver.saved();
    saver.save(1, *b"new");
    drop(saver);
    in_time(saved.wait_for(|_| false))
        .await
        .expect_err("the task ends");
    assert_eq!(*saved.borrow(), Some(1));
    assert_on_disk(&disk, b"new");
}

#[tokio::test(start_paused = true)]
async fn dropped_saver_attempts_only_once_on_a_failing_disk() {
    let disk = disk();
    // The disk recovers in the end, so that a saver that goes on retrying fails the test and does not block it.
    disk.plan(|n| (n < 1_000).then_some(Fault::Fails(ErrorKind::StorageFull)));
    let saver = saver(&disk);
    let mut saved = saver.saved();
    saver.save(1, *b"new");
    drop(saver);
    in_time(saved.wait_for(|_| false))
        .await
        .expect_err("the task ends");
    assert_eq!(*saved.borrow(), None);
    assert_eq!(
        disk.operations(),
        ["remove", "remove"],
        "one attempt and its clean-up"
    );
    assert_on_disk(&disk, OLD);
}

#[test]
fn backoff_doubles_up_to_its_bound_and_can_be_reset() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(500));
    let delays: Vec<u128> = (0..5).map(|_| backoff.next_delay().as_millis()).collect();
    assert_eq!(delays, [100, 200, 400, 500, 500]);
    backoff.reset();
    assert_eq!(backoff.next_delay().as_millis(), 100);
    let mut longest = Backoff::new(Duration::MAX, Duration::MAX);
    assert_eq!(
        (longest.next_delay(), longest.next_delay()),
        (Duration::MAX, Duration::MAX)
    );
}
