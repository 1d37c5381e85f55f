//! Schedule of the requests for the cloud's machine types and its list of machines.

use salttiller_records::units::{Micros, SECOND};

/// Delay of the first list request of a term. Records of machines that the previous leader rented
/// may still be committed during this time.
const FIRST_LIST_DELAY: Micros = 20 * SECOND;
/// Regular interval between list requests.
const LIST_INTERVAL: Micros = 30 * SECOND;
/// Interval between list requests while machines without a record send heartbeats.
const UNKNOWN_MACHINE_LIST_INTERVAL: Micros = 4 * SECOND;
/// Interval between list requests while machines send heartbeats but none has a record: no task
/// can run before the machines are listed.
const FIRST_START_LIST_INTERVAL: Micros = SECOND;
/// Interval between requests for the machine types; spot prices change slowly.
const MACHINE_TYPES_INTERVAL: Micros = 60 * SECOND;
/// Interval between requests for the machine types while none is known: without machine types, no
/// job can be bound and no machine rented.
const FIRST_MACHINE_TYPES_INTERVAL: Micros = SECOND;

/// Times of the next requests to the cloud.
#[derive(Debug)]
pub(super) struct CloudPolling {
    next_list_at: Micros,
    last_list_at: Micros,
    next_machine_types_at: Micros,
}

impl CloudPolling {
    pub(super) fn new(now: Micros) -> Self {
        CloudPolling {
            next_list_at: now + FIRST_LIST_DELAY,
            last_list_at: 0,
            next_machine_types_at: 0,
        }
    }

    /// Returns whether to request the machine types now. If so, schedules the next request.
    #[must_use]
    pub(super) fn poll_machine_types(&mut self, any_known: bool, now: Micros) -> bool {
        if now < self.next_machine_types_at {
            return false;
        }
        self.next_machine_types_at = now
            + if any_known {
                MACHINE_TYPES_INTERVAL
            } else {
                FIRST_MACHINE_TYPES_INTERVAL
            };
        true
    }

    /// Returns whether to request the list of machines now. If so, schedules the next request.
    #[must_use]
    pub(super) fn poll_list(&mut self, now: Micros) -> bool {
        if now < self.next_list_at {
            return false;
        }
        self.next_list_at = now + LIST_INTERVAL;
        self.last_list_at = now;
        true
    }

    /// Time of the next list request.
    pub(super) fn next_list_at(&self) -> Micros {
        self.next_list_at
    }

    /// Handles a heartbeat from a machine without a record: brings the next list request forward.
    pub(super) fn on_unknown_machine(&mut self, any_recorded: bool, now: Micros) {
        let interval = if any_recorded {
            UNKNOWN_MACHINE_LIST_INTERVAL
        } else {
            FIRST_START_LIST_INTERVAL
        };
        self.schedule_list_by((self.last_list_at + interval).max(now));
    }

    /// Ensures that the next list request is made at `at` or earlier.
    pub(super) fn schedule_list_by(&mut self, at: Micros) {
        self.next_list_at = self.next_list_at.min(at);
    }
}
