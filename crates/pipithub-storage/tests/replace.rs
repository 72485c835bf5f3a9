//! Each operation of a replacement fails, is cut at each byte or is the process's last: what is read back is the old
//! content or the new one, whole, and success is reported only for what outlives a power cut.

mod disk;

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use disk::{Disk, Fault};
use pipithub_storage::{Durability, Step, SystemFiles, Target, replace};

const OLD: &[u8] = b"the old record";
const NEW: &[u8] = b"the new record, longer";
/// More than a replacement and its cleaning up make.
const OPERATIONS: usize = 10;

fn path() -> PathBuf {
    PathBuf::from("/data/record")
}

fn target() -> Target {
    Target::new(path(), Durability::Synced)
}

fn is_whole(content: Option<&[u8]>) -> bool {
    content == Some(OLD) || content == Some(NEW)
}

fn assert_whole(disk: &Disk, context: &str) {
    let read = disk.read(&path());
    assert!(is_whole(read.as_deref()), "{context}: read back {read:?}");
    for read in disk.after_power_cut(&path()) {
        assert!(
            is_whole(read.as_deref()),
            "{context}: after a power cut {read:?}"
        );
    }
}

fn assert_saved(disk: &Disk, context: &str) {
    assert_eq!(disk.read(&path()).as_deref(), Some(NEW), "{context}");
    for read in disk.after_power_cut(&path()) {
        assert_eq!(
            read.as_deref(),
            Some(NEW),
            "{context}: reported as saved, but after a power cut"
        );
    }
}

/// Every fault that one operation can have.
fn faults() -> Vec<Fault> {
    let kinds = [
        ErrorKind::StorageFull,
        ErrorKind::Other,
        ErrorKind::PermissionDenied,
    ];
    let mut all: Vec<Fault> = kinds.into_iter().map(Fault::Fails).collect();
    all.push(Fault::DoneButFails);
    all.extend((0..=NEW.len()).flat_map(|cut| [Fault::Takes(cut), Fault::Killed(cut)]));
    all
}

#[test]
fn without_faults_the_new_content_outlives_a_power_cut() {
    let disk = Disk::with(&path(), OLD);
    replace(&disk, &target(), NEW).expect("no fault");
    assert_saved(&disk, "no fault");
    let operations = disk.operations();
    assert_eq!(
        operations,
        [
            "remove",
            "create",
            "write",
            "sync file",
            "rename",
            "sync folder"
        ]
    );
    assert_eq!(disk.names(), [path()], "no temporary file is left");
}

#[test]
fn one_fault_anywhere_leaves_whole_content_and_the_next_try_saves() {
    let mut failures = 0;
    for operation in 0..OPERATIONS {
        for fault in faults() {
            let context = format!("{fault:?} of operation {operation}");
            let disk = Disk::with(&path(), OLD);
            disk.plan(move |n| (n == operation).then_some(fault));
            match replace(&disk, &target(), NEW) {
                Ok(()) => assert_saved(&disk, &context),
                Err(_) => failures += 1,
            }
            assert_whole(&disk, &context);
            disk.plan(|_| None);
            replace(&disk, &target(), NEW).unwrap_or_else(|e| panic!("{context}, then none: {e}"));
            assert_saved(&disk, &context);
            assert_eq!(
                disk.names(),
                [path()],
                "{context}: no temporary file is left"
            );
        }
    }
    assert!(failures > 6 * 4, "the faults were met: {failures}");
}

#[test]
fn faults_for_a_while_leave_whole_content_until_a_try_saves() {
    for first in 0..OPERATIONS {
        for length in 1..20 {
            for fault in faults()
                .into_iter()
                .filter(|f| !matches!(f, Fault::Killed(_) | Fault::Takes(1..)))
            {
                let context = format!("{fault:?} of {length} operations from {first}");
                let disk = Disk::with(&path(), OLD);
                disk.plan(move |n| (first..first + length).contains(&n).then_some(fault));
                let mut tries = 0;
                while replace(&disk, &target(), NEW).is_err() {
                    assert_whole(&disk, &context);
                    tries += 1;
                    assert!(
                        tries <= length,
                        "{context}: each try meets a fault at least"
                    );
                }
                assert_saved(&disk, &context);
            }
        }
    }
}

#[test]
fn a_second_fault_at_any_later_operation_changes_nothing() {
    for first in 0..OPERATIONS {
        for second in first + 1..2 * OPERATIONS {
            for cut in [0, 1, NEW.len() - 1, NEW.len()] {
                for (one, other) in [
                    (Fault::DoneButFails, Fault::Killed(cut)),
                    (Fault::Fails(ErrorKind::Other), Fault::Killed(cut)),
                    (Fault::Fails(ErrorKind::Other), Fault::DoneButFails),
                ] {
                    let context = format!("{one:?} of {first}, {other:?} of {second}");
                    let disk = Disk::with(&path(), OLD);
                    disk.plan(move |n| match n {
                        n if n == first => Some(one),
                        n if n == second => Some(other),
                        _ => None,
                    });
                    for _ in 0..3 {
                        let saved = replace(&disk, &target(), NEW).is_ok();
                        assert_whole(&disk, &context);
                        if saved {
                            assert_saved(&disk, &context);
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn short_and_interrupted_writes_go_on() {
    let disk = Disk::with(&path(), OLD);
    let interrupted = Fault::Fails(ErrorKind::Interrupted);
    disk.plan(move |n| match n {
        2.. if n < 2 + 2 * NEW.len() => Some(if n % 2 == 0 {
            interrupted
        } else {
            Fault::Takes(1)
        }),
        _ => None,
    });
    replace(&disk, &target(), NEW).expect("no fault of the disk");
    assert_saved(&disk, "one byte each");
    let writes = disk.operations().iter().filter(|o| **o == "write").count();
    assert_eq!(writes, 2 * NEW.len(), "each was met");
}

#[test]
fn an_error_tells_its_step() {
    let steps = [
        Step::RemoveStale,
        Step::Create,
        Step::Write,
        Step::SyncFile,
        Step::Rename,
        Step::SyncFolder,
    ];
    for (operation, step) in steps.into_iter().enumerate() {
        let disk = Disk::with(&path(), OLD);
        disk.plan(move |n| (n == operation).then_some(Fault::Fails(ErrorKind::StorageFull)));
        let error = replace(&disk, &target(), NEW).expect_err("a fault");
        assert_eq!(
            (error.step, error.source.kind()),
            (step, ErrorKind::StorageFull)
        );
    }
}

/// A report need not outlive a power cut, but no reader may see half of it.
#[test]
fn unsynced_content_is_whole_for_readers() {
    for operation in 0..OPERATIONS {
        for fault in faults() {
            let disk = Disk::with(&path(), OLD);
            disk.plan(move |n| (n == operation).then_some(fault));
            let _ = replace(&disk, &Target::new(path(), Durability::Unsynced), NEW);
            let read = disk.read(&path());
            assert!(
                is_whole(read.as_deref()),
                "{fault:?} of {operation}: {read:?}"
            );
            assert!(!disk.operations().iter().any(|o| o.starts_with("sync")));
        }
    }
}

/// Two writers of one file, the second one killed at each byte while the first goes on.
#[test]
fn writers_of_one_file_do_not_share_a_temporary_file() {
    let (one, other) = (
        Target::shared(path(), "fe-0", Durability::Synced),
        Target::shared(path(), "fe-1", Durability::Synced),
    );
    for cut in 0..=NEW.len() {
        let disk = Disk::with(&path(), OLD);
        disk.plan(move |n| (n == 2).then_some(Fault::Killed(cut)));
        replace(&disk, &other, NEW).expect_err("killed");
        disk.plan(|_| None);
        let left = disk.names();
        replace(&disk, &one, NEW).expect("no fault");
        assert_saved(&disk, "beside a killed writer");
        assert_eq!(
            disk.names().len(),
            left.len(),
            "the other's temporary file is its own to remove"
        );
    }
}

#[test]
fn names_that_differ_in_their_last_part_have_temporary_files_of_their_own() {
    let disk = Disk::with(Path::new("/data/snapshot.fe-0"), OLD);
    for name in ["/data/snapshot.fe-0", "/data/snapshot.fe-1"] {
        disk.plan(|n| (n == 2).then_some(Fault::Killed(1)));
        replace(&disk, &Target::new(name, Durability::Synced), NEW).expect_err("killed");
    }
    assert_eq!(disk.names().len(), 3, "{:?}", disk.names());
}

#[test]
fn the_systems_files_are_replaced() {
    let folder = tempfile::tempdir().expect("a folder");
    let target = Target::new(folder.path().join("record"), Durability::Synced);
    std::fs::write(
        folder.path().join("record.new"),
        "left behind by a killed process",
    )
    .expect("written");
    for content in [OLD, NEW, b""] {
        replace(&SystemFiles, &target, content).expect("replaced");
        assert_eq!(std::fs::read(target.path()).expect("read"), content);
        assert_eq!(std::fs::read_dir(folder.path()).expect("listed").count(), 1);
    }
    let missing = Target::new(folder.path().join("none/record"), Durability::Synced);
    let error = replace(&SystemFiles, &missing, NEW).expect_err("no such folder");
    assert_eq!(
        (error.step, error.source.kind()),
        (Step::Create, ErrorKind::NotFound)
    );
}
