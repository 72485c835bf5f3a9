//! Logging to standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging at a level, or with the filter in the environment variable `RUST_LOG` if that is set.
///
/// If the level cannot be parsed, only errors are logged.
pub(crate) fn init(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(level))
        .unwrap_or_default();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Initialization fails only if logging has already been started; the first configuration then stays in force.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
}
