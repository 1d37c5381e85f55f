//! Commands in the answer to a heartbeat, which stop and start tasks on the machine.

use std::rc::Rc;

use salttiller_records::model::JobId;

use super::machine::Machine;
use super::recent_starts::Start;
use super::{Region, SchedulingContext, TaskState};
use crate::worker_protocol::{Command, MAX_COMMANDS};

/// Stop commands for a machine, and assigned tasks that are withdrawn instead.
#[derive(Default)]
struct StopCommands {
    commands: Vec<Command>,
    /// Tasks that were not dispatched yet and return to pending without a stop command.
    withdrawn: Vec<(JobId, u32)>,
}

impl StopCommands {
    /// Collects up to `limit` stop commands for a machine.
    fn for_machine(machine: &Machine, limit: usize) -> Self {
        let mut stops = StopCommands::default();
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
    /// Builds the commands of the answer to a machine's heartbeat, `MAX_COMMANDS` at most:
    /// first the replies about reported tasks, then stops, then starts.
    pub(super) fn answer_commands(
        &mut self,
        name: &Rc<str>,
        replies: Vec<Command>,
        context: &SchedulingContext<'_>,
    ) -> Vec<Command> {
        let mut commands = replies;
        let Some(machine) = self.inventory.machine(name) else {
            return commands;
        };
        commands.truncate(MAX_COMMANDS);
        let stops = StopCommands::for_machine(machine, MAX_COMMANDS - commands.len());
        commands.extend(stops.commands);
        // Guards against starting tasks of jobs whose cancellation was already confirmed: while
        // the state service rejects this controller, its view of jobs is some seconds old.
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

    /// Dispatches up to `limit` tasks that are assigned to a machine, and returns their start
    /// commands.
    fn dispatch_assigned(
        &mut self,
        machine: &Rc<str>,
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
            let start = Start {
                machine: machine.clone(),
                job: id.clone(),
                task: *task,
                attempt: assignment.attempt,
            };
            self.recent_starts.record(start, context.now);
            starts.push(Command::start(id.clone(), *task, assignment.attempt));
        }
        starts
    }
}
