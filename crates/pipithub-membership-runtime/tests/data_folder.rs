//! The data folder: its lock, and the generation record beside an interrupted save.

use std::path::Path;
use std::sync::Arc;

use pipithub_membership_runtime::{DataFolder, DataFolderError};
use pipithub_storage::SystemFiles;

async fn save(path: &Path, text: &str) {
    let folder = DataFolder::lock(path).expect("failed to lock the data folder");
    let saver = folder.start_generation_saver(Arc::new(SystemFiles));
    let mut saved = saver.saved();
    saver.save(1, text.as_bytes());
    saved
        .wait_for(|version| *version == Some(1))
        .await
        .expect("the saver has ended");
}

#[tokio::test]
async fn folder_can_be_locked_once_at_a_time_and_keeps_its_record() {
    let root = tempfile::tempdir().expect("failed to create a temporary folder");
    let path = root.path().join("front-1");
    let folder = DataFolder::lock(&path).expect("failed to lock the data folder");
    assert!(
        folder
            .read_generation()
            .expect("failed to read the generation record")
            .is_none()
    );
    assert!(matches!(
        DataFolder::lock(&path),
        Err(DataFolderError::InUse(_))
    ));
    assert!(DataFolder::in_use(&path));
    drop(folder);
    assert!(!DataFolder::in_use(&path));
    save(&path, "one").await;
    assert_eq!(
        DataFolder::lock(&path)
            .expect("failed to lock the data folder")
            .read_generation()
            .expect("failed to read the generation record")
            .as_deref(),
        Some("one")
    );
}

#[tokio::test]
async fn incomplete_temporary_file_beside_the_record_is_ignored() {
    let root = tempfile::tempdir().expect("failed to create a temporary folder");
    save(root.path(), "good").await;
    std::fs::write(root.path().join("generation.new"), "ha")
        .expect("failed to write the temporary file");
    let read = || {
        DataFolder::lock(root.path())
            .expect("failed to lock the data folder")
            .read_generation()
            .expect("failed to read the generation record")
    };
    assert_eq!(read().as_deref(), Some("good"));
    save(root.path(), "better").await;
    assert_eq!(
        read().as_deref(),
        Some("better"),
        "the temporary file does not hinder the next save"
    );
}

#[test]
fn saved_report_replaces_the_former_one_and_needs_an_existing_folder() {
    let root = tempfile::tempdir().expect("failed to create a temporary folder");
    for text in [&b"one"[..], b"two"] {
        DataFolder::save_report(root.path(), text).expect("failed to save the report");
        assert_eq!(
            DataFolder::read_report(root.path()).expect("failed to read the report"),
            text
        );
    }
    let missing = DataFolder::save_report(&root.path().join("none"), b"x");
    assert!(matches!(missing, Err(DataFolderError::NotReplaced(_))));
}
