//! Benchmarks. Without a command it compares, in one run, direct calls to workers, the gateway, and a plain pass-through
//! (a lapin consumer and a hyper client with round robin). All are processes on loopback with the same emulators.

mod baseline;
mod directories;
mod directory_core;
mod hollow;
mod latency;
mod load;
mod membership;
mod morning;
mod node_process;
mod overhead;
mod process_usage;
mod roster;
mod scale;
mod testbed;

use std::error::Error;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

use testbed::Testbed;

/// The result of a measurement. Its errors are only shown to the user, so they need no type of their own.
type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Compares the gateway with direct calls to workers and with a plain pass-through.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// The pipithub binary; by default the one in the folder of this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The number of workers.
    #[arg(long, default_value_t = 12)]
    workers: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Measures look-ups among many users, also while all of them are refreshed.
    Roster {
        /// The number of users.
        #[arg(long, default_value_t = 1_000_000)]
        users: usize,
    },
    /// Measures the load of a directory by the daily peaks of many front ends, in simulated time.
    Morning(morning::MorningArguments),
    /// Measures what tenants add to a call while their directory is up, slow or dead.
    Directories,
    /// Runs one membership scenario in simulated time and prints JSON; `scale members` runs them at several sizes.
    Members(membership::MembershipArguments),
    /// Measures each part of a site at several sizes and extrapolates to the planned size.
    Scale(scale::Scale),
    /// Runs hollow front ends as a process.
    #[command(hide = true)]
    Hollow(hollow::HollowArguments),
    /// Runs the pass-through as a process.
    Baseline {
        /// The address of the broker.
        #[arg(long)]
        broker: String,
        /// The address of a worker; may be repeated.
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
            let default_binary = std::env::current_exe()?.with_file_name("pipithub");
            return scale::run(scale, arguments.binary.unwrap_or(default_binary)).await;
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
