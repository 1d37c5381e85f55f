//! Helpers that run `salttillerctl` and wait for conditions.

use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

pub(crate) const CTL: &str = env!("CARGO_BIN_EXE_salttillerctl");

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn ctl(args: &[&str]) -> Command {
    let mut command = Command::new(CTL);
    command.args(args).env("LOG_LEVEL", "error");
    command
}

/// Returns a path as a command-line argument.
pub(crate) fn arg(path: &Path) -> &str {
    path.to_str().unwrap()
}

pub(crate) fn output(command: &mut Command) -> Output {
    command.output().unwrap()
}

/// Runs a command that must succeed and returns its standard output.
pub(crate) fn succeed(command: &mut Command) -> String {
    let done = output(command);
    let errors = String::from_utf8_lossy(&done.stderr);
    assert!(
        done.status.success(),
        "{command:?}: {}: {errors}",
        done.status
    );
    String::from_utf8(done.stdout).unwrap()
}

/// Runs a command that must fail with the given exit code and returns its standard error.
pub(crate) fn fail(name: &str, command: &mut Command, exit_code: i32) -> String {
    let done = output(command);
    let errors = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(exit_code), "{name}: {errors}");
    errors
}

/// Waits until a condition is true. `what` names the awaited event in the failure message.
pub(crate) fn wait_for(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < timeout,
            "timed out after {timeout:?} waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
