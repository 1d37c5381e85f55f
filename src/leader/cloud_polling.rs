//! When the cloud is asked for its machine types and its list of machines.

use salttiller_records::units::{Micros, SECOND};

/// No list in the first while of a term: machines that the last leader rented may still get
/// their record.
const FIRST_LIST_DELAY: Micros = 20 * SECOND;
/// Between lists when nothing is amiss.
const LIST_INTERVAL: Micros = 30 * SECOND;
/// Between lists while machines report that have no record.
const UNKNOWN_MACHINE_LIST_INTERVAL: Micros = 4 * SECOND;
/// The same while no machine has a record: nothing can run before they are listed.
const FIRST_START_LIST_INTERVAL: Micros = SECOND;
/// Between requests of the machine types; spot prices move slowly.
const MACHINE_TYPES_INTERVAL: Micros = 60 * SECOND;
/// The same while no type is known: nothing can be bound or rented before.
const FIRST_MACHINE_TYPES_INTERVAL: Micros = SECOND;

/// Times of the next requests.
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

    /// Whether to ask for the machine types now; if so, the next time is set.
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

    /// Whether to ask for the list of machines now; if so, the next time is set.
    #[must_use]
    pub(super) fn poll_list(&mut self, now: Micros) -> bool {
        if now < self.next_list_at {
            return false;
        }
        self.next_list_at = now + LIST_INTERVAL;
        self.last_list_at = now;
        true
    }

    /// When the list is asked for next.
    pub(super) fn next_list_at(&self) -> Micros {
        self.next_list_at
    }

    /// A machine without a record reports: the list is asked for soon.
    pub(super) fn on_unknown_machine(&mut self, any_recorded: bool, now: Micros) {
        let interval = if any_recorded {
            UNKNOWN_MACHINE_LIST_INTERVAL
        } else {
            FIRST_START_LIST_INTERVAL
        };
        self.list_no_later_than((self.last_list_at + interval).max(now));
    }

    /// Brings the next list forward.
    pub(super) fn list_no_later_than(&mut self, at: Micros) {
        self.next_list_at = self.next_list_at.min(at);
    }
}
