//! Clock readings.

use std::time::{SystemTime, UNIX_EPOCH};

use salttiller_records::units::Micros;

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since an arbitrary start, never set back. Decides when something is due.
    pub monotonic: Micros,
    /// Time since 1970, which may jump. Only recorded, never compared to decide what is true.
    pub wall_clock: Micros,
}

/// Wall-clock time: microseconds since 1970.
#[must_use]
pub fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_micros() as Micros)
}
