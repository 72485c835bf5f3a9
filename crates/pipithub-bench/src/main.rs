//! Measures, in one run and side by side: calls straight to workers, the gateway, and a plain pass-through (a lapin
//! consumer, a hyper client, round robin, no decisions). All are processes on loopback against the same emulators.

mod baseline;
mod directories;
mod directory_core;
mod hollow;
mod latency;
mod load;
mod membership;
mod morning;
mod overhead;
mod process_usage;
mod roster;
mod scale;
mod testbed;

use std::error::Error;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

use testbed::Testbed;

/// The result of a measurement; its errors are shown to whoever runs it and never told apart.
type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Measures the gateway beside a direct call and a plain pass-through.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// The pipithub binary; by default the one beside this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Seconds of each measured part.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    workers: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Look-ups among many users, and a refresh of all of them meanwhile.
    Roster {
        /// How many.
        #[arg(long, default_value_t = 1_000_000)]
        users: usize,
    },
    /// What mornings ask of a directory, in simulated time.
    Morning(morning::MorningArguments),
    /// What tenants add to a call, their directory being up, slow or dead.
    Directories,
    /// One day of a fleet's membership in simulated time, as JSON; `scale members` plays them at several sizes.
    Members(membership::MembershipArguments),
    /// How each part of a site grows: slopes over several sizes, and what they say of the planned one.
    Scale(scale::Scale),
    /// Hollow front ends, as a process.
    #[command(hide = true)]
    Hollow(hollow::HollowArguments),
    /// The pass-through, as a process.
    Baseline {
        /// The broker.
        #[arg(long)]
        broker: String,
        /// The workers.
        #[arg(long)]
        worker: Vec<String>,
    },
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    // Hollow front ends have a runtime of their own, on one thread.
    if let Some(Command::Hollow(hollow)) = &arguments.command {
        return hollow::run(hollow);
    }
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(arguments))
}

async fn run(arguments: Arguments) -> Result<()> {
    match arguments.command {
        Some(Command::Baseline { broker, worker }) => return baseline::run(&broker, worker).await,
        Some(Command::Members(membership)) => return membership.run(),
        Some(Command::Roster { users }) => {
            roster::measure(users);
            return Ok(());
        }
        Some(Command::Morning(morning)) => {
            morning.run();
            return Ok(());
        }
        Some(Command::Scale(scale)) => {
            let beside = std::env::current_exe()?.with_file_name("pipithub");
            return scale::run(scale, arguments.binary.unwrap_or(beside)).await;
        }
        Some(Command::Hollow(_) | Command::Directories) | None => {}
    }
    let testbed = Testbed::create(arguments.binary, arguments.seconds, arguments.workers)?;
    match arguments.command {
        Some(Command::Directories) => directories::measure(&testbed).await?,
        _ => overhead::measure(&testbed).await?,
    }
    testbed.remove()
}
