//! Times and amounts as whole numbers, so that sums never drift.
//!
//! Times are microseconds. Amounts (processors, cards, gigabytes) are
//! millionths: needs are rounded up and room is rounded down, so a rounding
//! can only make us refuse, never overfill.

/// A point or span in microseconds of the process's own steady clock.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Steady clocks may run apart by 0.05%; two of them by twice that. Spans that
/// must surely have passed elsewhere are stretched by this much.
pub fn add_drift(span: Micros) -> Micros {
    span + span / 500
}

/// The other direction: a span that must surely not have passed elsewhere.
pub fn subtract_drift(span: Micros) -> Micros {
    span - span / 500
}

/// Seconds as found on the wire, as microseconds; negative or odd values are 0.
pub fn secs(s: f64) -> Micros {
    if s.is_finite() && s > 0.0 {
        (s.min(1e10) * 1e6).round() as Micros
    } else {
        0
    }
}

/// Microseconds as seconds for the wire and for logs.
pub fn to_secs(t: Micros) -> f64 {
    t as f64 / 1e6
}

/// A need in millionths, rounded up (a hair of float noise is forgiven).
pub fn need(x: f64) -> u64 {
    (x * 1e6 - 1e-3).ceil().max(0.0) as u64
}

/// Room in millionths, rounded down (a hair of float noise is forgiven).
pub fn room(x: f64) -> u64 {
    (x * 1e6 + 1e-3).floor().max(0.0) as u64
}

/// Millionths as a plain number for logs.
pub fn plain(x: u64) -> f64 {
    x as f64 / 1e6
}

#[cfg(test)]
mod tests;
