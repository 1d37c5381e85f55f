//! Limits reads of one kind to one outstanding read and a minimum interval.

use salttiller_records::units::Micros;

/// Pacing of one kind of read.
#[derive(Debug)]
pub(super) struct ReadPacing {
    outstanding: bool,
    next_at: Micros,
    interval: Micros,
}

impl ReadPacing {
    /// Returns a pacing that allows the first read at once and keeps `interval` between reads.
    pub(super) fn new(interval: Micros) -> Self {
        ReadPacing {
            outstanding: false,
            next_at: 0,
            interval,
        }
    }

    /// Whether a read is outstanding.
    pub(super) fn is_outstanding(&self) -> bool {
        self.outstanding
    }

    /// Earliest time of the next read.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Records that a read was sent.
    pub(super) fn sent(&mut self) {
        self.outstanding = true;
    }

    /// Records that the outstanding read ended, with any result.
    pub(super) fn ended(&mut self) {
        self.outstanding = false;
    }

    /// Starts the interval to the next read at `now`.
    pub(super) fn start_interval(&mut self, now: Micros) {
        self.next_at = now + self.interval;
    }

    /// Sets the earliest time of the next read regardless of the interval.
    pub(super) fn set_next_at(&mut self, at: Micros) {
        self.next_at = at;
    }

    /// Abandons the outstanding read; the next one may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now;
    }
}
