//! Tracks conditions: each is reported once when it has lasted for a moment, and once when it
//! is over.

use std::collections::BTreeMap;

use super::conditions::Condition;
use super::Alert;
use salttiller_records::units::{Micros, SECOND};

/// Most conditions named in one round; the others are counted.
const NAMED_AT_ONCE: usize = 3;
/// Most conditions that are remembered.
const MAX_REMEMBERED: usize = 500;
/// How long a condition must last before it is reported.
const RAISE_AFTER: Micros = 3 * SECOND;
/// How long it must be gone before it is over.
const OVER_AFTER: Micros = 30 * SECOND;

/// State of a condition that is tracked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConditionState {
    /// Observed, and not reported yet.
    Pending,
    /// Reported.
    Reported,
}

#[derive(Debug)]
struct TrackedCondition {
    state: ConditionState,
    /// When it was first observed.
    first: Micros,
    /// When it was last observed.
    last: Micros,
}

/// Tracks conditions by their subject.
#[derive(Debug, Default)]
pub(super) struct ConditionWatch {
    tracked: BTreeMap<String, TrackedCondition>,
}

impl ConditionWatch {
    /// Takes the conditions that there are just now. Returns the alerts to give.
    pub(super) fn observe(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let mut alerts = Vec::new();
        let mut unnamed = 0;
        for condition in current {
            let subject = condition.subject();
            let full = self.tracked.len() >= MAX_REMEMBERED;
            if full && !self.tracked.contains_key(&subject) {
                continue;
            }
            let tracked = self.tracked.entry(subject).or_insert(TrackedCondition {
                state: ConditionState::Pending,
                first: now,
                last: now,
            });
            tracked.last = now;
            if tracked.state == ConditionState::Reported || now < tracked.first + RAISE_AFTER {
                continue;
            }
            tracked.state = ConditionState::Reported;
            if alerts.len() < NAMED_AT_ONCE {
                alerts.push(Alert::ConditionRaised(condition.to_string()));
            } else {
                unnamed += 1;
            }
        }
        if unnamed > 0 {
            alerts.push(Alert::ConditionRaised(format!("{unnamed} more")));
        }
        alerts.extend(self.clear_over(now));
        alerts
    }

    /// Forgets conditions that are over. Returns alerts for those that were reported.
    fn clear_over(&mut self, now: Micros) -> Vec<Alert> {
        let mut over = Vec::new();
        self.tracked.retain(|subject, tracked| {
            let wait = match tracked.state {
                ConditionState::Pending => RAISE_AFTER,
                ConditionState::Reported => OVER_AFTER,
            };
            let gone = now > tracked.last + wait;
            if gone && tracked.state == ConditionState::Reported && over.len() < NAMED_AT_ONCE {
                over.push(Alert::ConditionCleared(subject.clone()));
            }
            !gone
        });
        over
    }
}

#[cfg(test)]
mod tests;
