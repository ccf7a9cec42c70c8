//! Logging: one line per event on standard error, as text or as a JSON object.

use clap::ValueEnum;
use tracing::Level;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// One object a line.
    Json,
}

/// Installs the logger, which drops events below `level`.
pub(crate) fn start(format: Format, level: Level) {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level);
    match format {
        Format::Text => log.init(),
        Format::Json => log.json().flatten_event(true).init(),
    }
}
