//! The saver retries what fails, and reports only what is on disk.

mod disk;

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use disk::{Disk, Fault};
use pipithub_storage::{Backoff, Durability, Saver, Target};

const OLD: &[u8] = b"old";

fn path() -> PathBuf {
    PathBuf::from("/data/record")
}

fn disk() -> Disk {
    Disk::with(&path(), OLD)
}

fn saver(disk: &Disk) -> Saver {
    Saver::start(
        Arc::new(disk.clone()),
        Target::new(path(), Durability::Synced),
    )
}

/// Fails where the event never comes: the clock is paused, and moves on when nothing else can happen.
async fn in_time<T>(event: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(3_600), event)
        .await
        .expect("it never came")
}

fn assert_on_disk(disk: &Disk, content: &[u8]) {
    for read in disk.after_power_cut(Path::new("/data/record")) {
        assert_eq!(read.as_deref(), Some(content), "reported as saved");
    }
}

#[tokio::test(start_paused = true)]
async fn what_is_reported_as_saved_is_on_disk_however_long_the_disk_fails() {
    let faults = [
        Fault::Fails(ErrorKind::StorageFull),
        Fault::Fails(ErrorKind::Other),
        Fault::DoneButFails,
        Fault::Takes(0),
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
                in_time(saved.wait_for(|s| *s == Some(7)))
                    .await
                    .expect("it goes on trying");
                assert_on_disk(&disk, b"new");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn the_newest_content_is_saved_and_older_content_is_dropped() {
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
        .expect("it goes on trying");
    assert_eq!(first, Some(100), "not one of those before");
    assert_on_disk(&disk, b"100");
}

#[tokio::test(start_paused = true)]
async fn a_dropped_saver_tries_its_last_content_once_and_ends() {
    let good = disk();
    let one = saver(&good);
    let mut saved = one.saved();
    one.save(1, *b"new");
    drop(one);
    in_time(saved.wait_for(|_| false))
        .await
        .expect_err("the task ends");
    assert_eq!(*saved.borrow(), Some(1));
    assert_on_disk(&good, b"new");

    let broken = disk();
    // It heals after many tries, so that a saver that goes on fails the test instead of holding it up.
    broken.plan(|n| (n < 1_000).then_some(Fault::Fails(ErrorKind::StorageFull)));
    let other = saver(&broken);
    let mut saved = other.saved();
    other.save(1, *b"new");
    drop(other);
    in_time(saved.wait_for(|_| false))
        .await
        .expect_err("the task ends");
    assert_eq!(*saved.borrow(), None);
    assert_eq!(
        broken.operations(),
        ["remove", "remove"],
        "one try, and its cleaning up"
    );
    assert_on_disk(&broken, OLD);
}

#[test]
fn delays_double_up_to_their_bound() {
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
