//! Plays days, and writes their logs if asked to.

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

/// After its end a day goes on for so long, for its work to get done.
const COMPLETION_TIME: Micros = 120 * SECOND;
/// The same for [`Workload::Overload`].
const OVERLOAD_COMPLETION_TIME: Micros = 400 * SECOND;

/// Seeds of a day, unless `SALTTILLER_SEEDS` says otherwise.
const DEFAULT_SEEDS: u64 = 40;

/// Plays a day.
pub(super) fn play(plan: &Plan) -> World {
    play_on(plan, World::new(plan))
}

/// Plays a day without one of the controllers' safeguards.
pub(super) fn play_without(safeguard: Safeguard, plan: &Plan) -> World {
    with_disabled(safeguard, || play(plan))
}

/// Plays a day on from the state of a world that a test has prepared.
pub(super) fn play_on(plan: &Plan, mut world: World) -> World {
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

/// The seeds to play; more with `SALTTILLER_SEEDS=1000`.
pub(super) fn seeds() -> RangeInclusive<u64> {
    1..=environment_number("SALTTILLER_SEEDS").unwrap_or(DEFAULT_SEEDS)
}

/// The number that an environment variable holds, if it holds one.
pub(super) fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

thread_local! {
    /// Simulated time and controller, for the log.
    static LOG_POSITION: Cell<(Micros, usize)> = const { Cell::new((0, 0)) };
}

/// Notes which controller runs at which time, for the log.
pub(super) fn set_log_position(now: Micros, controller: usize) {
    LOG_POSITION.set((now, controller));
}

/// Writes a log with simulated times if `SALTTILLER_LOG` names a level, e.g. `debug`.
pub(super) fn log_if_requested() {
    let Ok(level) = std::env::var("SALTTILLER_LOG") else {
        return;
    };
    // It fails if an earlier day of this process has set the logger.
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
