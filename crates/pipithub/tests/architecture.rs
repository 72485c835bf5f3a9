//! Compares the architecture page with the sources: each file, function and type that it names must exist where it says.
//!
//! The page uses three forms, which this test reads:
//!
//! - `` `crate/src/file.rs` `` is a path below `crates/`; `` `file.rs` `` after it, in the same paragraph or table cell, is
//!   a file of the same crate, below its `src` folder.
//! - `` `name` in `file.rs` `` says that the file defines this function or type.
//! - The table under "Crates" has one row for each folder in `crates/`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The text between two backticks, and the text between it and the preceding code span.
struct CodeSpan<'a> {
    separator: &'a str,
    text: &'a str,
}

fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page() -> String {
    let path = crates_folder().join("../docs/architecture.md");
    std::fs::read_to_string(path).expect("the architecture page")
}

/// The paragraphs and list items of a page, and the cells of its tables; code blocks are left out.
fn passages(page: &str) -> Vec<String> {
    let mut passages = Vec::new();
    let mut passage = String::new();
    let mut is_code_block = false;
    for line in page.lines() {
        let starts_passage = line.is_empty() || line.starts_with(['|', '#', '-', '*']);
        let starts_item = line.starts_with(|first: char| first.is_ascii_digit());
        if starts_passage || starts_item {
            passages.push(std::mem::take(&mut passage));
        }
        if line.starts_with("```") {
            is_code_block = !is_code_block;
        } else if line.starts_with('|') {
            passages.extend(line.split('|').map(str::to_string));
        } else if !is_code_block {
            passage.push_str(line);
            passage.push(' ');
        }
    }
    passages.push(passage);
    passages
}

fn code_spans(passage: &str) -> Vec<CodeSpan<'_>> {
    let parts: Vec<&str> = passage.split('`').collect();
    parts
        .chunks(2)
        .filter_map(|pair| match pair {
            [separator, text] => Some(CodeSpan { separator, text }),
            _ => None,
        })
        .collect()
}

/// The crate that a path starts with; `None` if it does not start with a crate of this workspace.
fn crate_of(path: &str) -> Option<&str> {
    path.split('/')
        .next()
        .filter(|name| name.starts_with("pipithub"))
}

/// The path of a file named in a passage: below `crates/` if it is named with its crate, and otherwise below the sources of
/// the crate named before it. `None` if there is no such file.
fn resolve(file: &str, last_crate: Option<&str>) -> Option<PathBuf> {
    let path = match crate_of(file) {
        Some(_) => crates_folder().join(file),
        None => crates_folder().join(last_crate?).join("src").join(file),
    };
    path.is_file().then_some(path)
}

/// Whether a source file defines a function, type or constant of this name.
fn defines(source: &str, name: &str) -> bool {
    let keywords = ["fn", "struct", "enum", "trait", "const", "type"];
    source.lines().any(|line| {
        let words: Vec<&str> = line
            .split(|c: char| !(c.is_alphanumeric() || c == '_'))
            .collect();
        words
            .windows(2)
            .any(|pair| keywords.contains(&pair[0]) && pair[1] == name)
    })
}

/// The statements of a page about the sources that are wrong.
fn wrong_statements(page: &str) -> Vec<String> {
    let mut wrong = Vec::new();
    for passage in passages(page) {
        let mut last_crate = None;
        let mut previous = None;
        for CodeSpan { separator, text } in code_spans(&passage) {
            last_crate = crate_of(text).or(last_crate);
            if Path::new(text).extension().is_some_and(|end| end == "rs") {
                let path = resolve(text, last_crate);
                if path.is_none() {
                    wrong.push(format!("no file {text}: {passage}"));
                }
                if let (" in ", Some(name), Some(path)) = (separator, previous, path) {
                    let source = std::fs::read_to_string(path).expect("a source");
                    if !defines(&source, name) {
                        wrong.push(format!("no {name} in {text}: {passage}"));
                    }
                }
            }
            previous = Some(text);
        }
    }
    wrong
}

/// The crates in the first column of the table under "Crates".
fn listed_crates(page: &str) -> BTreeSet<String> {
    let (_, table) = page.split_once("\n## Crates\n").expect("a table of crates");
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let first_cells = rows.filter_map(|row| row.split('|').nth(1));
    first_cells
        .flat_map(code_spans)
        .map(|span| span.text.to_string())
        .collect()
}

#[test]
fn architecture_page_names_files_functions_and_types_where_they_are() {
    assert_eq!(wrong_statements(&page()), Vec::<String>::new());
}

#[test]
fn architecture_page_lists_every_crate_and_no_other() {
    let folders = std::fs::read_dir(crates_folder()).expect("the crates");
    let crates = folders.map(|entry| {
        let name = entry.expect("an entry").file_name();
        name.to_string_lossy().into_owned()
    });
    assert_eq!(listed_crates(&page()), crates.collect());
}

#[test]
fn checker_finds_a_missing_file_and_a_missing_function() {
    let page = "`Engine` in `pipithub-engine/src/engine.rs`, `no_such_function` in `pending.rs`.\n\n\
                1. `pipithub-engine/src/no_such_file.rs`\n\n| `engine.rs` alone | `pipithub/src/main.rs` |\n";
    let wrong = wrong_statements(page);
    let found = |part: &str| wrong.iter().any(|statement| statement.starts_with(part));
    assert!(
        found("no no_such_function in pending.rs"),
        "a missing function"
    );
    assert!(
        found("no file pipithub-engine/src/no_such_file.rs"),
        "a missing file"
    );
    assert!(found("no file engine.rs"), "a file without its crate");
    assert_eq!(wrong.len(), 3, "{wrong:?}");
}
