//! Commands in the answer to a heartbeat: stops and starts of the machine's tasks.

use salttiller_records::model::JobId;

use super::machine::Machine;
use super::{Region, SchedulingContext, TaskState};
use crate::worker_protocol::{Command, MAX_COMMANDS};

/// Tasks of a machine that are to be stopped.
#[derive(Default)]
struct Stops {
    commands: Vec<Command>,
    /// Tasks that were not dispatched yet: they are pending again instead.
    withdrawn: Vec<(JobId, u32)>,
}

impl Stops {
    /// The stops of a machine, `limit` commands at the most.
    fn of(machine: &Machine, limit: usize) -> Self {
        let mut stops = Stops::default();
        for ((id, task), assignment) in &machine.tasks {
            if stops.commands.len() >= limit {
                break;
            }
            let Some(grace) = assignment.stop_grace else {
                continue;
            };
            match assignment.state {
                TaskState::Assigned => stops.withdrawn.push((id.clone(), *task)),
                TaskState::Reported(_) | TaskState::Dispatched => {
                    let stop = Command::stop(id.clone(), *task, assignment.attempt, grace);
                    stops.commands.push(stop);
                }
                _ => {}
            }
        }
        stops
    }
}

impl Region {
    /// Completes the answer to a machine's heartbeat: replies about listed tasks, then stops,
    /// then starts, `MAX_COMMANDS` at the most.
    pub(super) fn answer_commands(
        &mut self,
        name: &str,
        replies: Vec<Command>,
        context: &SchedulingContext<'_>,
    ) -> Vec<Command> {
        let mut commands = replies;
        let Some(machine) = self.inventory.machine(name) else {
            return commands;
        };
        commands.truncate(MAX_COMMANDS);
        let stops = Stops::of(machine, MAX_COMMANDS - commands.len());
        commands.extend(stops.commands);
        // Guards against starts of jobs whose cancellation was confirmed while the state
        // service rejects this controller: what is known of jobs is some seconds old.
        if context.may_start {
            let starts = self.dispatch_assigned(name, MAX_COMMANDS - commands.len(), context);
            commands.extend(starts);
        }
        for (id, task) in stops.withdrawn {
            self.transition(&id, task, TaskState::Pending, None, context.now);
            self.update_queue_position(&id, context);
        }
        commands
    }

    /// Dispatches tasks that are assigned to a machine, `limit` at the most.
    fn dispatch_assigned(
        &mut self,
        machine: &str,
        limit: usize,
        context: &SchedulingContext<'_>,
    ) -> Vec<Command> {
        let assigned = self
            .inventory
            .assignments_mut(machine)
            .filter(|(_, assignment)| {
                assignment.state == TaskState::Assigned
                    && assignment.stop_grace.is_none()
                    && !assignment.awaits_start_barrier
            });
        let mut starts = Vec::new();
        for ((id, task), assignment) in assigned.take(limit) {
            self.undispatched
                .remove(assignment.since, id.clone(), *task);
            assignment.state = TaskState::Dispatched;
            assignment.since = context.now;
            log::debug!(
                "region={} machine={machine} job={id} task={task}: start, attempt {}",
                self.name,
                assignment.attempt
            );
            starts.push(Command::start(id.clone(), *task, assignment.attempt));
        }
        starts
    }
}
