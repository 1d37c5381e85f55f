//! When a read of one kind may be sent again: at most one is outstanding, and reads keep an
//! interval.

use salttiller_records::units::Micros;

/// The pace of one kind of read.
#[derive(Debug)]
pub(super) struct ReadPacing {
    outstanding: bool,
    next_at: Micros,
    interval: Micros,
}

impl ReadPacing {
    /// Reads that may begin at once and keep `interval`.
    pub(super) fn new(interval: Micros) -> Self {
        ReadPacing {
            outstanding: false,
            next_at: 0,
            interval,
        }
    }

    /// Whether a read has been sent and not ended.
    pub(super) fn is_outstanding(&self) -> bool {
        self.outstanding
    }

    /// When the next may be sent.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// A read was sent.
    pub(super) fn sent(&mut self) {
        self.outstanding = true;
    }

    /// The outstanding read ended, with whatever result.
    pub(super) fn ended(&mut self) {
        self.outstanding = false;
    }

    /// The interval to the next read begins now.
    pub(super) fn start_interval(&mut self, now: Micros) {
        self.next_at = now + self.interval;
    }

    /// Sends the next read at this time, whatever the interval.
    pub(super) fn set_next_at(&mut self, at: Micros) {
        self.next_at = at;
    }

    /// Ignores the outstanding read; the next may be sent at once.
    pub(super) fn reset(&mut self, now: Micros) {
        self.outstanding = false;
        self.next_at = now;
    }
}
