//! Replacements in which any operation fails, is cut short or is the last one of a killed process: the file holds
//! either the old content or the complete new one, and success is reported only for content that survives a power
//! failure.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use pipithub_storage::{Durability, Step, SystemFiles, Target, replace};

use super::disk::{Disk, Fault};

const OLD: &[u8] = b"the old record";
const NEW: &[u8] = b"the new record, longer";
/// More operations than a replacement and its clean-up consist of.
const OPERATIONS: usize = 10;

fn path() -> PathBuf {
    PathBuf::from("/data/record")
}

fn target() -> Target {
    Target::new(path(), Durability::Synced)
}

fn is_complete(content: Option<&[u8]>) -> bool {
    content == Some(OLD) || content == Some(NEW)
}

fn assert_complete(disk: &Disk, context: &str) {
    let content = disk.read(&path());
    assert!(is_complete(content.as_deref()), "{context}: {content:?}");
    for content in disk.after_power_failure(&path()) {
        assert!(
            is_complete(content.as_deref()),
            "{context}: after a power failure {content:?}"
        );
    }
}

fn assert_saved(disk: &Disk, context: &str) {
    assert_eq!(disk.read(&path()).as_deref(), Some(NEW), "{context}");
    for content in disk.after_power_failure(&path()) {
        assert_eq!(
            content.as_deref(),
            Some(NEW),
            "{context}: reported as saved, but lost by a power failure"
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
    all.push(Fault::FailsAfterEffect);
    all.extend((0..=NEW.len()).flat_map(|cut| [Fault::ShortWrite(cut), Fault::KilledAfter(cut)]));
    all
}

#[test]
fn without_faults_the_new_content_survives_a_power_failure() {
    let disk = Disk::with_file(&path(), OLD);
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
fn single_fault_at_any_operation_leaves_complete_content_and_a_retry_saves() {
    let mut failures = 0;
    for operation in 0..OPERATIONS {
        for fault in faults() {
            let context = format!("{fault:?} of operation {operation}");
            let disk = Disk::with_file(&path(), OLD);
            disk.plan(move |n| (n == operation).then_some(fault));
            match replace(&disk, &target(), NEW) {
                Ok(()) => assert_saved(&disk, &context),
                Err(_) => failures += 1,
            }
            assert_complete(&disk, &context);
            disk.plan(|_| None);
            replace(&disk, &target(), NEW)
                .unwrap_or_else(|error| panic!("{context}, then a retry without faults: {error}"));
            assert_saved(&disk, &context);
            assert_eq!(
                disk.names(),
                [path()],
                "{context}: no temporary file is left"
            );
        }
    }
    assert!(failures > 6 * 4, "only {failures} replacements failed");
}

#[test]
fn consecutive_faults_leave_complete_content_until_a_retry_saves() {
    for first in 0..OPERATIONS {
        for length in 1..20 {
            for fault in faults()
                .into_iter()
                .filter(|fault| !matches!(fault, Fault::KilledAfter(_) | Fault::ShortWrite(1..)))
            {
                let context = format!("{fault:?} of {length} operations from {first}");
                let disk = Disk::with_file(&path(), OLD);
                disk.plan(move |n| (first..first + length).contains(&n).then_some(fault));
                let mut failures = 0;
                while replace(&disk, &target(), NEW).is_err() {
                    assert_complete(&disk, &context);
                    failures += 1;
                    assert!(
                        failures <= length,
                        "{context}: a replacement failed without a fault"
                    );
                }
                assert_saved(&disk, &context);
            }
        }
    }
}

#[test]
fn two_faults_at_any_operations_leave_complete_content() {
    for first in 0..OPERATIONS {
        for second in first + 1..2 * OPERATIONS {
            for cut in [0, 1, NEW.len() - 1, NEW.len()] {
                for (first_fault, second_fault) in [
                    (Fault::FailsAfterEffect, Fault::KilledAfter(cut)),
                    (Fault::Fails(ErrorKind::Other), Fault::KilledAfter(cut)),
                    (Fault::Fails(ErrorKind::Other), Fault::FailsAfterEffect),
                ] {
                    let context =
                        format!("{first_fault:?} of {first}, {second_fault:?} of {second}");
                    let disk = Disk::with_file(&path(), OLD);
                    disk.plan(move |n| match n {
                        n if n == first => Some(first_fault),
                        n if n == second => Some(second_fault),
                        _ => None,
                    });
                    for _ in 0..3 {
                        let saved = replace(&disk, &target(), NEW).is_ok();
                        assert_complete(&disk, &context);
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
fn short_and_interrupted_writes_are_continued() {
    let disk = Disk::with_file(&path(), OLD);
    let interrupted = Fault::Fails(ErrorKind::Interrupted);
    disk.plan(move |n| match n {
        2.. if n < 2 + 2 * NEW.len() => Some(if n % 2 == 0 {
            interrupted
        } else {
            Fault::ShortWrite(1)
        }),
        _ => None,
    });
    replace(&disk, &target(), NEW).expect("no fault of the disk");
    assert_saved(&disk, "writes of one byte each");
    let operations = disk.operations();
    let writes = operations.iter().filter(|name| **name == "write");
    assert_eq!(writes.count(), 2 * NEW.len());
}

#[test]
fn error_states_the_failed_step() {
    let steps = [
        Step::RemoveStale,
        Step::Create,
        Step::Write,
        Step::SyncFile,
        Step::Rename,
        Step::SyncFolder,
    ];
    for (operation, step) in steps.into_iter().enumerate() {
        let disk = Disk::with_file(&path(), OLD);
        disk.plan(move |n| (n == operation).then_some(Fault::Fails(ErrorKind::StorageFull)));
        let error = replace(&disk, &target(), NEW).expect_err("a fault");
        assert_eq!(
            (error.step, error.source.kind()),
            (step, ErrorKind::StorageFull)
        );
    }
}

/// Unsynced content need not survive a power failure, but no reader may see only a part of it.
#[test]
fn unsynced_replacement_is_atomic_for_readers() {
    for operation in 0..OPERATIONS {
        for fault in faults() {
            let disk = Disk::with_file(&path(), OLD);
            disk.plan(move |n| (n == operation).then_some(fault));
            let _ = replace(&disk, &Target::new(path(), Durability::Unsynced), NEW);
            let content = disk.read(&path());
            assert!(
                is_complete(content.as_deref()),
                "{fault:?} of {operation}: {content:?}"
            );
            let operations = disk.operations();
            assert!(!operations.iter().any(|name| name.starts_with("sync")));
        }
    }
}

/// One of two writers is killed at any byte of its content, and the other one then replaces the file.
#[test]
fn writers_of_one_file_have_their_own_temporary_files() {
    let (one, other) = (
        Target::shared(path(), "fe-0", Durability::Synced),
        Target::shared(path(), "fe-1", Durability::Synced),
    );
    for cut in 0..=NEW.len() {
        let disk = Disk::with_file(&path(), OLD);
        disk.plan(move |n| (n == 2).then_some(Fault::KilledAfter(cut)));
        replace(&disk, &other, NEW).expect_err("killed");
        disk.plan(|_| None);
        let names = disk.names();
        replace(&disk, &one, NEW).expect("no fault");
        assert_saved(&disk, "after the other writer was killed");
        assert_eq!(
            disk.names().len(),
            names.len(),
            "a writer removed the temporary file of the other one"
        );
    }
}

#[test]
fn files_that_differ_only_in_their_extension_have_their_own_temporary_files() {
    let disk = Disk::with_file(Path::new("/data/snapshot.fe-0"), OLD);
    for name in ["/data/snapshot.fe-0", "/data/snapshot.fe-1"] {
        disk.plan(|n| (n == 2).then_some(Fault::KilledAfter(1)));
        replace(&disk, &Target::new(name, Durability::Synced), NEW).expect_err("killed");
    }
    assert_eq!(disk.names().len(), 3, "{:?}", disk.names());
}

#[test]
fn system_files_are_replaced_and_temporary_files_removed() {
    let folder = tempfile::tempdir().expect("a temporary folder");
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
