//! The rules for starts of tasks.

use crate::simulation::workers::Worker;
use crate::simulation::world::World;
use crate::simulation::CANCEL_DEADLINE;
use crate::state_store::MAX_READ_AGE;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::Rule;

/// How long a start command may be on its way after a cancellation was confirmed.
const COMMAND_LATENCY: Micros = 100 * MILLISECOND;
/// The same while responses to workers are delayed: longer ones are dropped.
const DELAYED_COMMAND_LATENCY: Micros = 4 * SECOND;
/// Responses of a period of delays may arrive so long after it.
const LONGEST_RESPONSE_DELAY: Micros = 6 * SECOND;

impl World {
    /// Checks the rules for starts; false if one is violated.
    pub(crate) fn check_start(&mut self, machine: &str, task: &str) -> bool {
        if let Some(other) = self.other_machine_with(machine, task) {
            let seen = format!("{task} starts on {machine} while on {other}");
            self.violate(Rule::RanTwice, seen);
            return false;
        }
        let controller = self.workers[machine].controller;
        let without_store = self.is_without_store(controller);
        self.observations.starts_without_store += u32::from(without_store);
        let violated = self
            .start_after_cancel(controller, task)
            .or_else(|| self.start_before_dependencies(task))
            .or_else(|| self.start_on_wrong_machine(machine, task));
        match violated {
            Some((rule, seen)) => {
                self.violate(rule, seen);
                false
            }
            None => true,
        }
    }

    /// Another machine that has a task already, whatever that machine is doing.
    fn other_machine_with(&self, machine: &str, task: &str) -> Option<String> {
        let has_task = |worker: &Worker| worker.tasks.get(task).is_some_and(|t| !t.has_ended());
        let mut others = self.live_workers().filter(|(name, _)| *name != machine);
        let other = others.find(|(_, worker)| has_task(worker))?;
        Some(other.0.clone())
    }

    fn start_after_cancel(&mut self, controller: usize, task: &str) -> Option<(Rule, String)> {
        let confirmed_at = self.job_of(task).cancel_confirmed_at?;
        let on_its_way_until = confirmed_at + self.longest_command_latency(controller);
        self.observations.starts_after_cancel += u32::from(self.now > on_its_way_until);
        let is_late = self.now > confirmed_at + CANCEL_DEADLINE;
        is_late.then(|| (Rule::RanCancelled, task.to_owned()))
    }

    /// How long after a confirmed cancellation a start by a controller may be seen.
    fn longest_command_latency(&self, controller: usize) -> Micros {
        let delayed_until = self.network.worker_responses_delayed_until + LONGEST_RESPONSE_DELAY;
        if self.now < delayed_until {
            return DELAYED_COMMAND_LATENCY;
        }
        // Without its peers a controller learns of the cancellation from its next read.
        if self.now < self.controllers[controller].partitions.peers_until {
            return MAX_READ_AGE + COMMAND_LATENCY;
        }
        COMMAND_LATENCY
    }

    fn start_before_dependencies(&mut self, task: &str) -> Option<(Rule, String)> {
        let job = self.job_of(task);
        let open = self.open_dependency(job);
        if let Some(open) = open {
            return Some((Rule::TooEarly, format!("{task} starts, {open} isn't done")));
        }
        let has_dependencies = !job.dependencies.is_empty();
        self.observations.dependent_starts += u32::from(has_dependencies);
        None
    }

    fn start_on_wrong_machine(&self, machine: &str, task: &str) -> Option<(Rule, String)> {
        let is_wrong = self.workers[machine].spot && !self.job_of(task).spot_allowed;
        is_wrong.then(|| (Rule::WrongPlace, task.to_owned()))
    }
}
