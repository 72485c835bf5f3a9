//! Loading of settings files, and `pipithub config check`.

use std::path::Path;
use std::process::ExitCode;

use miette::{IntoDiagnostic, Report, Result, WrapErr};
use pipithub_settings::Config;

/// Loads a settings file. The error lists every fault in the file, with its position.
pub(crate) fn load(path: &Path) -> Result<Config> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| name.clone())?;
    Config::parse(&name, &text).map_err(|faults| Report::new(*faults))
}

/// Validates a settings file and prints a summary of its contents.
pub(crate) fn check(path: &Path) -> Result<ExitCode> {
    let config = load(path)?;
    let queues: usize = config.amqp.iter().map(|broker| broker.queues.len()).sum();
    println!(
        "{}: valid; {} classes, {} brokers with {queues} queues, {} timers",
        path.display(),
        config.classes.len(),
        config.amqp.len(),
        config.cron.len()
    );
    Ok(ExitCode::SUCCESS)
}
