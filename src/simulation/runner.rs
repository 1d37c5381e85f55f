//! Runs days, and writes their logs if requested.

use std::cell::Cell;
use std::io::Write;
use std::ops::RangeInclusive;

use crate::fault_injection::{with_disabled, Safeguard};
use salttiller_records::units::{Micros, SECOND};

use super::days::Plan;
use super::workload::Workload;
use super::world::World;

/// Time between two checks of the invariants.
pub(super) const CHECK_INTERVAL: Micros = 5 * SECOND;

/// Time that a day continues after its nominal end, so that its jobs can finish.
const COMPLETION_TIME: Micros = 120 * SECOND;
/// Time that a day of [`Workload::Overload`] continues after its nominal end.
const OVERLOAD_COMPLETION_TIME: Micros = 400 * SECOND;

/// Number of seeds of a day if `SALTTILLER_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 40;

/// Runs a day and returns the world at the end.
pub(super) fn run_day(plan: &Plan) -> World {
    run_prepared_day(plan, World::new(plan))
}

/// Runs a day with one of the controllers' safeguards disabled.
pub(super) fn run_day_without(safeguard: Safeguard, plan: &Plan) -> World {
    with_disabled(safeguard, || run_day(plan))
}

/// Runs a day from a world that a test has prepared.
pub(super) fn run_prepared_day(plan: &Plan, mut world: World) -> World {
    log_if_requested();
    fastrand::seed(plan.seed);
    let completion_time = match plan.workload {
        Workload::Overload => OVERLOAD_COMPLETION_TIME,
        _ => COMPLETION_TIME,
    };
    let mut until = CHECK_INTERVAL;
    while until <= plan.end + completion_time && world.violations.is_empty() {
        world.run(until);
        world.check_invariants();
        until += CHECK_INTERVAL;
    }
    world
}

/// Returns the seeds to run; `SALTTILLER_SEEDS` sets their number, for example
/// `SALTTILLER_SEEDS=1000`.
pub(super) fn seeds() -> RangeInclusive<u64> {
    1..=environment_number("SALTTILLER_SEEDS").unwrap_or(DEFAULT_SEEDS)
}

/// Returns the number that an environment variable holds, if any.
pub(super) fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

thread_local! {
    /// Simulated time and current controller, for log lines.
    static LOG_POSITION: Cell<(Micros, usize)> = const { Cell::new((0, 0)) };
}

/// Sets the simulated time and the controller that log lines show.
pub(super) fn set_log_position(now: Micros, controller: usize) {
    LOG_POSITION.set((now, controller));
}

/// Enables logging with simulated times if `SALTTILLER_LOG` sets a level, for example `debug`.
pub(super) fn log_if_requested() {
    let Ok(level) = std::env::var("SALTTILLER_LOG") else {
        return;
    };
    // The call fails if an earlier day of this process has already set the logger.
    let _ = env_logger::Builder::new()
        .parse_filters(&level)
        .format(|out, record| {
            let (now, controller) = LOG_POSITION.get();
            let seconds = now as f64 / SECOND as f64;
            let (target, text) = (record.target(), record.args());
            writeln!(out, "{seconds:.3} t-{controller} {target}: {text}")
        })
        .try_init();
}
