//! Debounced reporting of conditions.
//!
//! Each condition is reported once after it has persisted for a few seconds, and once more after
//! it has ended.

use std::collections::BTreeMap;

use super::conditions::Condition;
use super::Alert;
use salttiller_records::units::{Micros, SECOND};

/// Maximum number of conditions that one observation reports by name. Further new conditions are
/// counted in a single alert.
const MAX_NAMED_ALERTS: usize = 3;
/// Maximum number of conditions that are tracked.
const MAX_TRACKED: usize = 500;
/// Time for which a condition must persist before it is reported.
const RAISE_DELAY: Micros = 3 * SECOND;
/// Time for which a reported condition must be absent before it counts as ended.
const CLEAR_DELAY: Micros = 30 * SECOND;

/// State of a tracked condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConditionState {
    /// The condition was observed and is not reported yet.
    Pending,
    /// The condition was reported.
    Reported,
}

/// A condition with its state and the times of its observations.
#[derive(Debug)]
struct TrackedCondition {
    state: ConditionState,
    /// Time of the first observation.
    first_seen: Micros,
    /// Time of the latest observation.
    last_seen: Micros,
}

/// Tracks conditions by their subject.
#[derive(Debug, Default)]
pub(super) struct ConditionWatch {
    tracked: BTreeMap<String, TrackedCondition>,
}

impl ConditionWatch {
    /// Updates the tracked conditions from the current ones, and returns the alerts to raise.
    pub(super) fn observe(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let mut alerts = Vec::new();
        let mut unnamed = 0;
        for condition in current {
            let subject = condition.subject();
            let is_full = self.tracked.len() >= MAX_TRACKED;
            if is_full && !self.tracked.contains_key(&subject) {
                continue;
            }
            let tracked = self.tracked.entry(subject).or_insert(TrackedCondition {
                state: ConditionState::Pending,
                first_seen: now,
                last_seen: now,
            });
            tracked.last_seen = now;
            if tracked.state == ConditionState::Reported || now < tracked.first_seen + RAISE_DELAY {
                continue;
            }
            tracked.state = ConditionState::Reported;
            if alerts.len() < MAX_NAMED_ALERTS {
                alerts.push(Alert::ConditionRaised(condition.to_string()));
            } else {
                unnamed += 1;
            }
        }
        if unnamed > 0 {
            alerts.push(Alert::ConditionRaised(format!("{unnamed} more")));
        }
        alerts.extend(self.clear_ended(now));
        alerts
    }

    /// Removes the conditions that have ended. Returns alerts for up to `MAX_NAMED_ALERTS` of those
    /// that had been reported.
    fn clear_ended(&mut self, now: Micros) -> Vec<Alert> {
        let mut cleared = Vec::new();
        self.tracked.retain(|subject, tracked| {
            let delay = match tracked.state {
                ConditionState::Pending => RAISE_DELAY,
                ConditionState::Reported => CLEAR_DELAY,
            };
            let ended = now > tracked.last_seen + delay;
            if ended
                && tracked.state == ConditionState::Reported
                && cleared.len() < MAX_NAMED_ALERTS
            {
                cleared.push(Alert::ConditionCleared(subject.clone()));
            }
            !ended
        });
        cleared
    }
}

#[cfg(test)]
mod tests;
