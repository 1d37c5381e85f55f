//! Stops that leave time for a checkpoint, used before a spot interruption and for preemption.

use std::collections::BTreeSet;

use salttiller_records::model::{JobId, JobKind, JobSpec};
use salttiller_records::units::{Micros, SECOND};

use super::machine::Machine;
use super::{Region, SchedulingContext};

/// Time that a stop takes in addition to the checkpoint.
const CHECKPOINT_MARGIN: Micros = SECOND;

/// Whether tasks of a job can write a checkpoint.
fn can_checkpoint(spec: &JobSpec) -> bool {
    spec.checkpoint_interval > 0
}

impl Region {
    /// Stops checkpointing tasks on spot machines that are about to be interrupted, early
    /// enough to write a checkpoint. Tasks without checkpoints run until the interruption.
    pub(super) fn checkpoint_before_interruption(&mut self, context: &SchedulingContext<'_>) {
        for id in self.jobs_to_checkpoint(context) {
            self.stop_with_checkpoint(&id, "spot interruption of the machine", |_, machine| {
                machine.interruption_at.is_some()
            });
        }
    }

    fn jobs_to_checkpoint(&self, context: &SchedulingContext<'_>) -> BTreeSet<JobId> {
        let mut due = BTreeSet::new();
        for machine in self.inventory.interrupted() {
            let Some(interruption_at) = machine.interruption_at else {
                continue;
            };
            for (id, _) in machine.tasks.keys() {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                // The stop is sent in the answer to the machine's next heartbeat. The other tasks
                // of a gang are stopped in the answers to the heartbeats of their own machines.
                let needed = job.spec.checkpoint_time
                    + 2 * context.settings.heartbeat_interval
                    + CHECKPOINT_MARGIN;
                if can_checkpoint(&job.spec)
                    && !job.has_ended
                    && interruption_at < context.now + needed
                {
                    due.insert(id.clone());
                }
            }
        }
        due
    }

    /// Stops a job's tasks with a grace period for a checkpoint. A gang is stopped as a whole,
    /// since it can only checkpoint as a whole. For any other job, only the tasks on machines that
    /// `is_affected` selects are stopped.
    pub(super) fn stop_with_checkpoint(
        &mut self,
        id: &JobId,
        reason: &str,
        is_affected: impl Fn(&str, &Machine) -> bool,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_gang = job.spec.kind == JobKind::Gang;
        let grace = if can_checkpoint(&job.spec) {
            job.spec.checkpoint_time + CHECKPOINT_MARGIN
        } else {
            0
        };
        for (task, name) in job.tasks.on_machines() {
            let machine = self.inventory.machine(name);
            if !machine.is_some_and(|machine| is_gang || is_affected(name, machine)) {
                continue;
            }
            let Some(assignment) = self.inventory.assignment_mut(name, id, *task) else {
                continue;
            };
            if assignment.stop_grace.is_none() {
                log::info!(
                    "region={} machine={name} job={id} task={task}: stop requested: {reason}",
                    self.name
                );
                assignment.stop_grace = Some(grace);
            }
        }
    }
}
