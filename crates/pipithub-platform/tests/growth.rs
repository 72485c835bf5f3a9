//! What reading a configuration takes grows with the configuration and not faster: counted, never timed.

use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pipithub_platform::config::{NodeConfig, first_duplicate};
use serde_json::{Value, json};

/// Four times the entries may take so many times as much: a quadratic takes sixteen times.
const MOST: f64 = 5.0;
const SIZES: [usize; 3] = [500, 2_000, 8_000];

fn text(workers: usize, classes: usize) -> String {
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

/// Bytes that are asked for in all and the most that are held at a time while a text is read.
fn allocated(text: &str) -> [f64; 2] {
    let mut config = None;
    let counted = allocation_counter::measure(|| config = Some(NodeConfig::parse(text)));
    config.expect("read").expect("a good one");
    [counted.bytes_total as f64, counted.bytes_max as f64]
}

fn linear(what: &str, figures: &[f64]) {
    assert!(
        figures.iter().all(|f| *f > 0.0),
        "{what}: nothing was counted: {figures:?}"
    );
    for pair in figures.windows(2) {
        assert!(
            pair[1] <= pair[0] * MOST,
            "{what} grow faster than the configuration: {figures:?}"
        );
    }
}

#[test]
fn bytes_allocated_grow_with_the_workers_known() {
    let all = SIZES.map(|n| allocated(&text(n, 1)));
    linear("bytes asked for", &all.map(|a| a[0]));
    linear("bytes held", &all.map(|a| a[1]));
}

#[test]
fn bytes_allocated_grow_with_the_classes() {
    let all = SIZES.map(|n| allocated(&text(1, n)));
    linear("bytes asked for", &all.map(|a| a[0]));
    linear("bytes held", &all.map(|a| a[1]));
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
fn looks_for_a_repeated_class_grow_with_the_classes() {
    let looks = SIZES.map(|n| {
        let counter = Rc::new(Cell::new(0));
        let names: Vec<Counted> = (0..n).map(|i| Counted(i, counter.clone())).collect();
        assert_eq!(first_duplicate(&names), None);
        counter.get() as f64
    });
    linear("looks", &looks);
}

#[test]
fn the_first_repeat_is_found_where_it_stands() {
    assert_eq!(first_duplicate::<&str>(&[]), None);
    assert_eq!(first_duplicate(&["a", "b", "a", "b"]), Some(2));
    let place =
        NodeConfig::parse(&text(1, 3).replace("c00002", "c00000")).expect_err("it names one twice");
    assert_eq!(
        place.to_string(),
        "settings.Grades[2].Name: \"c00000\" names an earlier class too"
    );
}
