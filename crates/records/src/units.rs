//! Times and amounts as integers, so that sums have no rounding errors.
//!
//! Times are in microseconds. Amounts of processors, accelerators and gigabytes are in millionths.
//! The amounts that tasks need are rounded up and capacity is rounded down, so that rounding can
//! prevent a placement but never overcommits a machine.

/// A time or a duration, in microseconds. Times are readings of the process's own monotonic clock,
/// unless they are documented as wall-clock times.
pub type Micros = u64;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;

/// Divisor that gives the drift allowance of a duration. A monotonic clock may run fast or slow by
/// 0.05%, so two clocks may drift apart by 0.1%. The allowance is twice that, 0.2%.
const DRIFT_DIVISOR: u64 = 500;
/// Maximum duration that is accepted from the wire, in seconds. Longer durations are reduced to it.
const MAX_SECONDS: f64 = 1e10;
/// Number of millionths in one.
const MILLIONTHS: f64 = 1e6;
/// Floating-point error that rounding ignores, in millionths.
const FLOAT_NOISE: f64 = 1e-3;

/// Returns the local duration after which `span` has certainly passed on any other clock.
#[must_use]
pub fn add_drift(span: Micros) -> Micros {
    span + span / DRIFT_DIVISOR
}

/// Returns the local duration during which `span` has certainly not passed on any other clock.
#[must_use]
pub fn subtract_drift(span: Micros) -> Micros {
    span - span / DRIFT_DIVISOR
}

/// Converts seconds from the wire to microseconds. Negative and non-finite values become 0.
#[must_use]
pub fn from_seconds(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds.min(MAX_SECONDS) * SECOND as f64).round() as Micros
    } else {
        0
    }
}

/// Converts microseconds to seconds, for the wire and for logs.
#[must_use]
pub fn to_seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Converts an amount that a task needs to millionths, rounded up.
#[must_use]
pub fn round_up_to_millionths(amount: f64) -> u64 {
    (amount * MILLIONTHS - FLOAT_NOISE).ceil().max(0.0) as u64
}

/// Converts a capacity to millionths, rounded down.
#[must_use]
pub fn round_down_to_millionths(amount: f64) -> u64 {
    (amount * MILLIONTHS + FLOAT_NOISE).floor().max(0.0) as u64
}

#[cfg(test)]
mod tests;
