//! The cost of reading a configuration grows linearly with its size. The cost is counted, in bytes and operations, and
//! not timed.

use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pipithub_platform::config::{NodeConfig, first_duplicate};
use serde_json::{Value, json};

/// The maximum factor by which the cost may grow with four times as many entries; quadratic growth has a factor of
/// sixteen.
const MAX_GROWTH: f64 = 5.0;
const SIZES: [usize; 3] = [500, 2_000, 8_000];

fn configuration(workers: usize, classes: usize) -> String {
    let hosts: Vec<Value> = (0..workers)
        .map(|n| json!({"host": format!("w{n:05}"), "dial": "127.0.0.1:1", "site": "a", "health": "SERVING"}))
        .collect();
    let classes: Vec<Value> = (0..classes)
        .map(|n| json!({"Name": format!("c{n:05}"), "Effect": "read_like", "GiveUp": 1_000_000_000u64}))
        .collect();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1", "coordinator": "127.0.0.1:1",
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"whole": true, "hosts": hosts}}]},
        "settings": {"Grades": classes}
    });
    config.to_string()
}

/// The memory that is allocated while a configuration is read, in bytes.
struct Allocated {
    total: f64,
    peak: f64,
}

fn allocated(text: &str) -> Allocated {
    let mut config = None;
    let counted = allocation_counter::measure(|| config = Some(NodeConfig::parse(text)));
    config.expect("parsed").expect("a valid configuration");
    Allocated {
        total: counted.bytes_total as f64,
        peak: counted.bytes_max as f64,
    }
}

fn assert_linear(what: &str, figures: &[f64]) {
    assert!(
        figures.iter().all(|f| *f > 0.0),
        "{what}: a count is zero: {figures:?}"
    );
    for pair in figures.windows(2) {
        assert!(
            pair[1] <= pair[0] * MAX_GROWTH,
            "{what} grow faster than the configuration: {figures:?}"
        );
    }
}

#[test]
fn allocated_bytes_grow_linearly_with_the_known_workers() {
    let all = SIZES.map(|n| allocated(&configuration(n, 1)));
    assert_linear("allocated bytes", &all.each_ref().map(|bytes| bytes.total));
    assert_linear("bytes in use", &all.each_ref().map(|bytes| bytes.peak));
}

#[test]
fn allocated_bytes_grow_linearly_with_the_classes() {
    let all = SIZES.map(|n| allocated(&configuration(1, n)));
    assert_linear("allocated bytes", &all.each_ref().map(|bytes| bytes.total));
    assert_linear("bytes in use", &all.each_ref().map(|bytes| bytes.peak));
}

/// A name that counts how often it is hashed or compared.
struct Counted(usize, Rc<Cell<usize>>);

impl Counted {
    fn count(&self) {
        self.1.set(self.1.get() + 1);
    }
}

impl PartialEq for Counted {
    fn eq(&self, other: &Self) -> bool {
        self.count();
        self.0 == other.0
    }
}

impl Eq for Counted {}

impl Hash for Counted {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.count();
        self.0.hash(state);
    }
}

#[test]
fn duplicate_check_grows_linearly_with_the_classes() {
    let operations = SIZES.map(|n| {
        let counter = Rc::new(Cell::new(0));
        let names: Vec<Counted> = (0..n).map(|i| Counted(i, counter.clone())).collect();
        assert_eq!(first_duplicate(&names), None);
        counter.get() as f64
    });
    assert_linear("operations", &operations);
}

#[test]
fn first_duplicate_class_is_reported_with_its_index() {
    assert_eq!(first_duplicate::<&str>(&[]), None);
    assert_eq!(first_duplicate(&["a", "b", "a", "b"]), Some(2));
    let error = NodeConfig::parse(&configuration(1, 3).replace("c00002", "c00000"))
        .expect_err("two classes have the same name");
    assert_eq!(
        error.to_string(),
        "settings.Grades[2].Name: \"c00000\" names an earlier class too"
    );
}
