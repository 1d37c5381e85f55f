//! Clock readings.

use std::time::{SystemTime, UNIX_EPOCH};

use salttiller_records::units::Micros;

/// Readings of the monotonic and the wall clock, taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since an arbitrary start; it never goes back. Deadlines and intervals use this clock.
    pub monotonic: Micros,
    /// Time since 1970, which may jump. This time is only recorded; no decision on the order of
    /// events depends on it.
    pub wall_clock: Micros,
}

/// Returns the wall-clock time in microseconds since 1970.
#[must_use]
pub fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_micros() as Micros)
}
