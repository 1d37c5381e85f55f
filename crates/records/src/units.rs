//! Times and amounts as whole numbers, so that sums never drift.
//!
//! Times are microseconds. Amounts (processors, accelerators, gigabytes) are millionths:
//! what tasks need is rounded up and capacity is rounded down, so that rounding can only
//! lead to a refusal, never to an overcommitted machine.

/// A point or span in microseconds of the process's own steady clock.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Steady clocks may run fast or slow by 0.05%, so two of them run apart by twice that. With
/// the same again as a margin, 0.2%: one part in this many.
const DRIFT_DIVISOR: u64 = 500;
/// Longest time that is read, in seconds.
const MAX_SECONDS: f64 = 1e10;
/// Millionths in one.
const MILLIONTHS: f64 = 1e6;
/// Noise of floating-point sums that rounding ignores, in millionths.
const FLOAT_NOISE: f64 = 1e-3;

/// The span that must pass here so that `span` has surely passed elsewhere.
#[must_use]
pub fn add_drift(span: Micros) -> Micros {
    span + span / DRIFT_DIVISOR
}

/// The span that may pass here so that `span` has surely not passed elsewhere.
#[must_use]
pub fn subtract_drift(span: Micros) -> Micros {
    span - span / DRIFT_DIVISOR
}

/// Seconds as found on the wire, as microseconds; 0 for what is negative or not finite.
#[must_use]
pub fn from_seconds(seconds: f64) -> Micros {
    if seconds.is_finite() && seconds > 0.0 {
        (seconds.min(MAX_SECONDS) * SECOND as f64).round() as Micros
    } else {
        0
    }
}

/// Microseconds as seconds, for the wire and for logs.
#[must_use]
pub fn to_seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// What a task needs, in millionths, rounded up.
#[must_use]
pub fn round_up_to_millionths(amount: f64) -> u64 {
    (amount * MILLIONTHS - FLOAT_NOISE).ceil().max(0.0) as u64
}

/// Capacity, in millionths, rounded down.
#[must_use]
pub fn round_down_to_millionths(amount: f64) -> u64 {
    (amount * MILLIONTHS + FLOAT_NOISE).floor().max(0.0) as u64
}

#[cfg(test)]
mod tests;
