//! The log that every command writes to standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging from this level on; the variable `RUST_LOG` takes precedence over it.
pub(crate) fn init(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(level))
        .unwrap_or_default();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second call, as in tests, changes nothing.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
}
