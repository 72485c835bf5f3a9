//! The command line of pipithub: its commands, and the module that runs each of them.

mod baseline;
mod demo;
mod emulator;
mod logging;
mod membership;
mod node;
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
    /// Runs one front end of the platform: clients over JSON-RPC lines, its configuration in `LB_CONFIG`.
    Node(node::NodeArguments),
    /// Works on settings files.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Runs a stand-in for something that the gateway meets.
    #[command(visible_alias = "standin")]
    Emulator {
        #[command(subcommand)]
        command: emulator::Emulator,
    },
    /// Shows tenants, checks their directories, explains whose a user is.
    Tenants {
        #[command(subcommand)]
        command: tenants::Tenants,
    },
    /// Shows who is in the fleet, as a running front end believes, and why.
    #[command(visible_alias = "members")]
    Membership {
        #[command(subcommand)]
        command: membership::Membership,
    },
    /// Publishes calls to a queue and shows their answers.
    Publish(publish::Publish),
    /// Runs everything on loopback for some seconds and shows what comes of it.
    Demo,
    /// Runs a scripted day and has the rules checked; ends with 0 only where all were kept.
    #[command(visible_alias = "drill")]
    Scenario(scenario::ScenarioArguments),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Reads a settings file and tells all that is wrong with it.
    Check {
        /// The file.
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
    }
}
