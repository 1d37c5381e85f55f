//! The default command, which runs a controller until the process is killed.

use std::io::Write;
use std::process::ExitCode;

use env_logger::fmt::Formatter;
use log::Record;
use salttiller::controller::Controller;

use super::{CommandError, SettingsFiles};

/// Environment variable with the most verbose level that is logged: `error`, `info` or `debug`.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";
const DEFAULT_LOG_LEVEL: &str = "info";
/// Prefix that is removed from module names in log lines.
const CRATE_PREFIX: &str = "salttiller::";

/// Runs a controller until the process is killed. Returns only if the controller fails.
pub(crate) fn run(files: &SettingsFiles) -> Result<ExitCode, CommandError> {
    init_logging();
    let settings = files.load()?;
    Controller::open(settings)
        .and_then(|mut controller| controller.serve())
        .map_err(CommandError::Serve)?;
    Ok(ExitCode::FAILURE)
}

fn init_logging() {
    let level = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| DEFAULT_LOG_LEVEL.into());
    env_logger::Builder::new()
        .parse_filters(&level)
        .format(write_line)
        .init();
}

/// Writes a log record as one line with its level, module and message.
fn write_line(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let module = record.target();
    let module = module.strip_prefix(CRATE_PREFIX).unwrap_or(module);
    writeln!(out, "{level} {module}: {}", record.args())
}
