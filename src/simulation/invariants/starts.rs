//! Invariants that are checked at each start of a task.

use crate::simulation::workers::Worker;
use crate::simulation::world::World;
use crate::simulation::CANCEL_DEADLINE;
use crate::state_store::MAX_READ_AGE;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::Invariant;

/// Maximum time that a start command may be in flight after a cancellation was confirmed.
const COMMAND_LATENCY: Micros = 100 * MILLISECOND;
/// Maximum time in flight of a start command while responses to workers are delayed or copied. Workers drop
/// responses that take longer.
const DELAYED_COMMAND_LATENCY: Micros = 4 * SECOND;
/// Maximum time after a period of delays within which delayed responses still arrive.
const MAX_DELAYED_RESPONSE_TIME: Micros = 6 * SECOND;

impl World {
    /// Checks the invariants on the start of a task. Returns false if one is violated.
    pub(crate) fn check_start(&mut self, machine: &str, task: &str) -> bool {
        if let Some(other) = self.other_machine_with(machine, task) {
            let details = format!("{task} starts on {machine} while it is on {other}");
            self.record_violation(Invariant::RanTwice, details);
            return false;
        }
        let controller = self.workers[machine].controller;
        let store_unavailable = self.is_store_unavailable_to(controller);
        self.observations.starts_without_store += u32::from(store_unavailable);
        let violation = self
            .cancellation_violation(machine, controller, task)
            .or_else(|| self.dependency_violation(task))
            .or_else(|| self.placement_violation(machine, task));
        match violation {
            Some((invariant, details)) => {
                self.record_violation(invariant, details);
                false
            }
            None => true,
        }
    }

    /// Returns another machine that already has a task which has not ended, even if that machine is
    /// paused or unreachable.
    fn other_machine_with(&self, machine: &str, task: &str) -> Option<String> {
        let has_task = |worker: &Worker| worker.tasks.get(task).is_some_and(|t| !t.has_ended());
        let mut others = self.live_workers().filter(|(name, _)| *name != machine);
        let other = others.find(|(_, worker)| has_task(worker))?;
        Some(other.0.clone())
    }

    fn cancellation_violation(
        &mut self,
        machine: &str,
        controller: usize,
        task: &str,
    ) -> Option<(Invariant, String)> {
        let confirmed_at = self.job_of(task).cancel_confirmed_at?;
        let in_flight_until = confirmed_at + self.max_command_latency(machine, controller);
        self.observations.starts_after_cancel += u32::from(self.now > in_flight_until);
        let is_late = self.now > confirmed_at + CANCEL_DEADLINE;
        is_late.then(|| (Invariant::RanCancelled, task.to_owned()))
    }

    /// Returns the maximum time after a confirmed cancellation at which a start by a controller may
    /// still occur.
    fn max_command_latency(&self, machine: &str, controller: usize) -> Micros {
        // A machine that has just rebooted has forgotten the starts that it carried out, and its
        // heartbeats are ignored. A copy of a start that was sent before the cancellation is a command
        // in flight.
        let forgot_until = self.workers[machine].rebooted_at + DELAYED_COMMAND_LATENCY;
        if self.now < self.network.worker_responses_duplicated_until && self.now < forgot_until {
            return DELAYED_COMMAND_LATENCY;
        }
        let delayed_until = self.network.worker_responses_delayed_until + MAX_DELAYED_RESPONSE_TIME;
        if self.now < delayed_until {
            return DELAYED_COMMAND_LATENCY;
        }
        // A controller that is partitioned from its peers learns of the cancellation from its next
        // read of the state service.
        if self.now < self.controllers[controller].partitions.peers_until {
            return MAX_READ_AGE + COMMAND_LATENCY;
        }
        COMMAND_LATENCY
    }

    fn dependency_violation(&mut self, task: &str) -> Option<(Invariant, String)> {
        let job = self.job_of(task);
        let unfinished = self.unfinished_dependency(job);
        if let Some(unfinished) = unfinished {
            return Some((
                Invariant::TooEarly,
                format!("{task} starts, but dependency {unfinished} is not done"),
            ));
        }
        let has_dependencies = !job.dependencies.is_empty();
        self.observations.dependent_starts += u32::from(has_dependencies);
        None
    }

    fn placement_violation(&self, machine: &str, task: &str) -> Option<(Invariant, String)> {
        let is_wrong = self.workers[machine].spot && !self.job_of(task).spot_allowed;
        is_wrong.then(|| (Invariant::WrongPlace, task.to_owned()))
    }
}
