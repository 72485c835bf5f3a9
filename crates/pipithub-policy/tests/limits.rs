//! Limits on the module's sources, which operators read: the deploy file lists all files with decisions, and lines and
//! files have a maximum length.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The files without decisions: plain data, the interface, counters, sums and tests.
const WITHOUT_DECISIONS: [&str; 16] = [
    "api.rs",
    "api/settings.rs",
    "hashing.rs",
    "lib.rs",
    "replicas.rs",
    "responses.rs",
    "statistics.rs",
    "statistics/tests.rs",
    "time.rs",
    "timer.rs",
    "waiting_requests.rs",
    "work.rs",
    "worker_table.rs",
    "worker_table/index.rs",
    "worker_table/tests.rs",
    "worker_table/tests/model.rs",
];
const MAX_COLUMNS: usize = 110;
const MAX_LINES: usize = 500;

/// The root folder of this crate.
fn package() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All source files of the module.
fn sources() -> Vec<PathBuf> {
    let mut folders = vec![package().join("src")];
    let mut sources = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("the folder can be read") {
            let path = entry.expect("the entry can be read").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                sources.push(path);
            }
        }
    }
    sources
}

/// The files in the `policy` list of the deploy file.
fn named_as_policy() -> BTreeSet<String> {
    let path = package().join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("the deploy file can be read");
    let line = text
        .lines()
        .find(|line| line.starts_with("policy "))
        .expect("the deploy file has a `policy` list");
    let files = line.split('"').skip(1).step_by(2);
    files.map(str::to_string).collect()
}

#[test]
fn the_deploy_file_names_every_file_that_decides_and_no_other() {
    let source_folder = package().join("src");
    let deciding = sources().into_iter().filter_map(|path| {
        let name = path
            .strip_prefix(&source_folder)
            .expect("all sources are below src")
            .to_str()
            .expect("the file name is UTF-8")
            .to_string();
        (!WITHOUT_DECISIONS.contains(&name.as_str()))
            .then(|| format!("crates/pipithub-policy/src/{name}"))
    });
    assert_eq!(deciding.collect::<BTreeSet<_>>(), named_as_policy());
}

#[test]
fn no_line_exceeds_the_maximum_of_columns() {
    for path in sources() {
        let text = std::fs::read_to_string(&path).expect("the source file can be read");
        for line in text.lines() {
            assert!(
                line.chars().count() <= MAX_COLUMNS,
                "{}: {line}",
                path.display()
            );
        }
    }
}

#[test]
fn no_file_exceeds_the_maximum_of_lines() {
    for path in sources() {
        let text = std::fs::read_to_string(&path).expect("the source file can be read");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", path.display());
    }
}

#[test]
fn front_end_names_the_interface_in_its_first_lines() {
    let text = include_str!("../src/front_end.rs");
    assert!(text.lines().take(3).any(|line| line.contains("src/api.rs")));
}
