//! Many hollow front ends in one process, which is controlled by lines on standard input.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use pipithub_clock::wall_ns;
use pipithub_hollow_node::HollowFrontEnd;
use pipithub_platform::config::NodeConfig;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::Result;

/// Arguments of `pipithub-bench hollow`.
#[derive(Args)]
pub(crate) struct HollowArguments {
    /// The configuration of all front ends, which differ only by name and seed.
    #[arg(long)]
    config: PathBuf,
    /// The number of front ends.
    #[arg(long)]
    count: usize,
    /// The number of the first front end.
    #[arg(long, default_value_t = 0)]
    first: usize,
}

/// Runs hollow front ends until standard input ends. `await INDEX` is answered when all of them have received that event,
/// with the Unix time in nanoseconds at which the last one did; any other line is answered at once.
///
/// Fails if the configuration cannot be read or is invalid.
pub(crate) fn run(arguments: &HollowArguments) -> Result<()> {
    let config = NodeConfig::parse(&std::fs::read_to_string(&arguments.config)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let serve = serve(&config, arguments.count, arguments.first);
    runtime.block_on(LocalSet::new().run_until(serve))
}

/// The event that is awaited, and the number of front ends that have not received it.
#[derive(Default)]
struct AwaitedEvent {
    /// Its index; 0 if none is awaited.
    index: Cell<u64>,
    /// The number of front ends that have not received it.
    behind: Cell<usize>,
    /// When the last front end received it, in Unix nanoseconds.
    at: Cell<u64>,
    all_have_it: Notify,
}

impl AwaitedEvent {
    /// Records that a front end has advanced from one event to a later one.
    fn advanced(&self, from: u64, to: u64) {
        let index = self.index.get();
        if index == 0 || from >= index || to < index {
            return;
        }
        self.behind.set(self.behind.get().saturating_sub(1));
        self.at.set(wall_ns());
        if self.behind.get() == 0 {
            self.all_have_it.notify_one();
        }
    }

    /// Waits until all front ends have received an event.
    async fn wait(&self, index: u64, front_ends: &[HollowFrontEnd]) {
        self.index.set(index);
        let behind = front_ends.iter().filter(|f| f.last_event() < index).count();
        self.behind.set(behind);
        self.at.set(wall_ns());
        while self.behind.get() > 0 {
            self.all_have_it.notified().await;
        }
        self.index.set(0);
    }
}

async fn serve(config: &NodeConfig, count: usize, first: usize) -> Result<()> {
    let awaited = Rc::new(AwaitedEvent::default());
    let front_ends: Vec<HollowFrontEnd> = (first..first + count)
        .map(|number| start(config, number, awaited.clone()))
        .collect();
    println!("{}", json!({"front_ends": count}));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let index = line
            .strip_prefix("await ")
            .and_then(|index| index.trim().parse::<u64>().ok());
        if let Some(index) = index {
            awaited.wait(index, &front_ends).await;
        }
        println!("{}", state(awaited.at.get(), &front_ends));
    }
    Ok(())
}

fn start(config: &NodeConfig, number: usize, awaited: Rc<AwaitedEvent>) -> HollowFrontEnd {
    let config = NodeConfig {
        name: format!("{}-{number}", config.name),
        seed: config.seed.wrapping_add(number as u64),
        ..config.clone()
    };
    let latest = Cell::new(0);
    HollowFrontEnd::start(&config, move |index| {
        awaited.advanced(latest.replace(index), index);
    })
}

fn state(at: u64, front_ends: &[HollowFrontEnd]) -> Value {
    json!({
        "at": at,
        "events": front_ends.iter().map(HollowFrontEnd::applied_events).sum::<u64>(),
        "least": front_ends.iter().map(HollowFrontEnd::last_event).min(),
        "wanted": front_ends.iter().map(HollowFrontEnd::requested_effects).sum::<u64>(),
    })
}
