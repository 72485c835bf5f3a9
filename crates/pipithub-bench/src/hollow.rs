//! Many hollow front ends as a process, told what to do by lines on standard input.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

use pipithub_clock::wall_ns;
use pipithub_hollow_node::Hollow;
use pipithub_platform::config::NodeConfig;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::Result;

/// Runs so many, numbered from `first`, until standard input ends. `await INDEX` is answered once all of them have that
/// event, with the Unix time in nanoseconds at which the last one had it; `state` is answered at once.
pub(crate) fn run(config: &Path, count: usize, first: usize) -> Result<()> {
    let config = NodeConfig::parse(&std::fs::read_to_string(config)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(serve(config, count, first)))
}

/// What is waited for: an event, and how many do not have it.
#[derive(Default)]
struct Awaited {
    index: Cell<u64>,
    behind: Cell<usize>,
    at: Cell<u64>,
    all: Notify,
}

async fn serve(config: NodeConfig, count: usize, first: usize) -> Result<()> {
    let awaited = Rc::new(Awaited::default());
    let mut fronts: Vec<Hollow> = Vec::new();
    for n in first..first + count {
        let one = NodeConfig {
            name: format!("{}-{n}", config.name),
            seed: config.seed.wrapping_add(n as u64),
            ..config.clone()
        };
        let (awaited, had) = (awaited.clone(), Cell::new(0));
        fronts.push(Hollow::start(&one, move |index| {
            let before = had.replace(index);
            let wanted = awaited.index.get();
            if wanted > 0 && before < wanted && index >= wanted {
                awaited.behind.set(awaited.behind.get().saturating_sub(1));
                awaited.at.set(wall_ns());
                if awaited.behind.get() == 0 {
                    awaited.all.notify_one();
                }
            }
        }));
    }
    println!("{}", json!({"front_ends": count}));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let index = line
            .strip_prefix("await ")
            .and_then(|index| index.trim().parse::<u64>().ok());
        if let Some(index) = index {
            awaited.index.set(index);
            awaited
                .behind
                .set(fronts.iter().filter(|f| f.last() < index).count());
            awaited.at.set(wall_ns());
            while awaited.behind.get() > 0 {
                awaited.all.notified().await;
            }
            awaited.index.set(0);
        }
        println!(
            "{}",
            json!({"at": awaited.at.get(), "events": fronts.iter().map(Hollow::events).sum::<u64>(),
                "least": fronts.iter().map(Hollow::last).min(), "wanted": fronts.iter().map(Hollow::wanted).sum::<u64>()})
        );
    }
    Ok(())
}
