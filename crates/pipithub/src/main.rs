//! The command line of pipithub: its commands, each of which is run by a module of its own.

mod baseline;
mod demo;
mod emulator;
mod logging;
mod membership;
mod node;
mod outage;
mod publish;
mod scenario;
mod serve;
mod settings;
mod shutdown;
mod tenants;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use miette::{IntoDiagnostic, Result};

/// A gateway that runs calls on workers which load functions or models on demand.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the gateway.
    Serve(serve::Serve),
    /// Runs one front end on the platform's own protocol (JSON-RPC lines); `LB_CONFIG` names its configuration file.
    Node(node::NodeArguments),
    /// Checks settings files.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Runs an emulated broker, worker, model store, endpoint list, directory server or proxy, for tests on one machine.
    #[command(visible_alias = "standin")]
    Emulator {
        #[command(subcommand)]
        command: emulator::Emulator,
    },
    /// Shows the configured tenants, checks their directory servers, or explains which tenant a user belongs to.
    Tenants {
        #[command(subcommand)]
        command: tenants::Tenants,
    },
    /// Shows the members of the fleet as a running front end sees them, and the events that led to this view.
    #[command(visible_alias = "members")]
    Membership {
        #[command(subcommand)]
        command: membership::Membership,
    },
    /// Publishes calls to a queue and reports their answers and latencies.
    Publish(publish::Publish),
    /// Runs a complete system on loopback for about 20 seconds, injects faults and reports whether the guarantees held.
    Demo,
    /// Runs a fault scenario from a file and checks the guarantees; exits with 0 only if all of them held.
    #[command(visible_alias = "drill")]
    Scenario(scenario::ScenarioArguments),
    /// Runs seeded discovery outages with concurrent drains and restarts against front ends on loopback, and checks the rules.
    Outage(outage::OutageArguments),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Validates a settings file and reports all errors with their positions.
    Check {
        /// The settings file.
        file: PathBuf,
    },
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut builder = match &arguments.command {
        // The platform gives a front end a part of one core, so further threads would only compete for it.
        Command::Node(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build().into_diagnostic()?;
    runtime.block_on(run(arguments.command))
}

async fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Serve(arguments) => serve::run(arguments).await,
        Command::Node(arguments) => node::run(arguments).await,
        Command::Config {
            command: ConfigCommand::Check { file },
        } => settings::check(&file),
        Command::Emulator { command } => emulator::run(command).await,
        Command::Membership { command } => membership::run(command),
        Command::Tenants { command } => tenants::run(command).await,
        Command::Publish(arguments) => publish::run(arguments).await,
        Command::Demo => demo::run().await,
        Command::Scenario(arguments) => scenario::run(arguments).await,
        Command::Outage(arguments) => outage::play(arguments).await,
    }
}
