//! How long replaced versions are retained.

use std::sync::Arc;

use super::Publisher;
use crate::{Directory, Settings};

#[test]
fn a_version_outlives_its_readers_and_no_more() {
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
    let read = publisher.newest().load_full();
    publisher.publish(directory.roster());
    publisher.publish(directory.roster());
    assert_eq!(Arc::strong_count(&read), 2, "the writer has it still");
    drop(read);
    publisher.publish(directory.roster());
    assert_eq!(publisher.retired.len(), 0);
}
