//! Starts of which a worker may still execute a copy.
//!
//! A worker executes the commands of an answer up to 4 s after it sent the heartbeat. A copy of an
//! answer may reach it again in that time. The copy of a start has no effect while the worker lists
//! the attempt, in whatever state; after the attempt is reaped the worker no longer knows it and
//! starts it once more. Answers of former owners need no care, because a worker that has seen a
//! higher fencing token drops them.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use salttiller_records::model::JobId;
use salttiller_records::units::{add_drift, Micros, MILLISECOND, SECOND};

use crate::fault_injection::{is_disabled, Safeguard};

/// Time after it sent a heartbeat for which a worker executes the answer.
const ANSWER_LIFETIME: Micros = 4 * SECOND;
/// Margin for the resolution of clocks.
const CLOCK_MARGIN: Micros = 100 * MILLISECOND;

/// A start of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Start {
    pub(super) machine: Rc<str>,
    pub(super) job: JobId,
    pub(super) task: u32,
    pub(super) attempt: u64,
}

/// The starts sent by this owner of which a worker may still execute a copy.
#[derive(Debug, Default)]
pub(super) struct RecentStarts {
    /// Time from which no copy of a start can be executed any more.
    safe_from: BTreeMap<Start, Micros>,
    /// The same times and starts, in the order in which the starts were sent.
    by_time: VecDeque<(Micros, Start)>,
}

impl RecentStarts {
    /// Records a start that is being sent, and forgets the starts that have become safe.
    pub(super) fn record(&mut self, start: Start, now: Micros) {
        self.forget_safe(now);
        let safe_from = now + add_drift(ANSWER_LIFETIME) + CLOCK_MARGIN;
        self.by_time.push_back((safe_from, start.clone()));
        self.safe_from.insert(start, safe_from);
    }

    /// Whether a worker may still execute a copy of a start.
    pub(super) fn may_be_repeated(&self, start: &Start, now: Micros) -> bool {
        let safe_from = self.safe_from.get(start);
        safe_from.is_some_and(|safe_from| now < *safe_from) && !is_disabled(Safeguard::StartCopies)
    }

    fn forget_safe(&mut self, now: Micros) {
        while let Some((safe_from, _)) = self.by_time.front() {
            if now < *safe_from {
                break;
            }
            if let Some((safe_from, start)) = self.by_time.pop_front() {
                // The same start may have been sent again later.
                if self.safe_from.get(&start) == Some(&safe_from) {
                    self.safe_from.remove(&start);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
