//! Tests of how long replaced versions are retained.

use std::sync::Arc;

use super::Publisher;
use crate::{Directory, Settings};

#[test]
fn replaced_version_is_freed_once_no_reader_uses_it() {
    let settings = Settings {
        directories: Vec::new(),
        tenants: Vec::new(),
        max_users: 1,
        max_queue: 1,
        seed: 1,
        wall_clock_offset_ms: 0,
    };
    let directory = Directory::new(settings);
    let mut publisher = Publisher::new(directory.roster());
    let reader = publisher.newest().load_full();
    publisher.publish(directory.roster());
    publisher.publish(directory.roster());
    assert_eq!(
        Arc::strong_count(&reader),
        2,
        "the writer still retains the version"
    );
    drop(reader);
    publisher.publish(directory.roster());
    assert_eq!(publisher.retired.len(), 0);
}
