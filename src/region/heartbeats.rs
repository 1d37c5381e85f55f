//! Processing of workers' heartbeats.
//!
//! A heartbeat lists all tasks on the machine (see `task_reports`). Tasks that are missing from
//! an accepted heartbeat return to pending. The answer stops and starts tasks (see
//! `heartbeat_answers`).

use std::collections::BTreeSet;
use std::rc::Rc;

use salttiller_records::model::JobId;

use super::machine::MachineState;
use super::reachability::AnswerEvidence;
use super::task_reports::TaskOutcome;
use super::{HeartbeatOutcome, Region, SchedulingContext, TaskState};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::worker_protocol::{Command, Heartbeat};

/// Result of processing all tasks that a heartbeat lists.
#[derive(Default)]
struct ReportedTasks {
    /// Tasks that stay on the machine.
    kept: BTreeSet<(JobId, u32)>,
    /// Commands to the worker about the other tasks.
    replies: Vec<Command>,
}

impl Region {
    /// Applies a heartbeat and returns its outcome. The caller has checked that this controller
    /// owns the region, and checks that again when the answer is written.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some(name) = self.inventory.shared_name(&heartbeat.machine) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        if let Some(rejection) = self.rejection(&name, heartbeat) {
            return rejection;
        }
        if heartbeat.token < self.token {
            return self.acknowledge_outdated_token(&name, context);
        }
        let starts_sent = self
            .inventory
            .tasks(&name)
            .any(|(_, assignment)| assignment.state == TaskState::Dispatched);
        let answers_lost = self.record_heartbeat(&name, heartbeat, context);
        let ReportedTasks { kept, replies } = self.apply_reported_tasks(&name, heartbeat, context);
        let start_ignored = self.return_missing_tasks(&name, &kept, context);
        let evidence = AnswerEvidence::new(answers_lost, starts_sent, start_ignored);
        self.update_reachability(&name, evidence, context);
        if !self.reconciliation.is_complete() {
            self.try_complete_reconciliation(context);
        }
        self.place_pending(context);
        self.reassign_to_reporting(&name, context);
        HeartbeatOutcome::Accepted(self.answer_commands(&name, replies, context))
    }

    /// Returns the outcome of a heartbeat that must not be applied, or `None` if it may be.
    fn rejection(&self, name: &str, heartbeat: &Heartbeat) -> Option<HeartbeatOutcome> {
        let machine = self.inventory.machine(name)?;
        let is_order_checked = !is_disabled(Safeguard::HeartbeatOrder);
        // Guards against delayed and duplicated heartbeats. Their sequence number shows their
        // age, and the tasks they list may be outdated.
        if heartbeat.id <= machine.last_heartbeat && is_order_checked {
            return Some(HeartbeatOutcome::Stale);
        }
        // Guards against a heartbeat that was sent before the machine's lease expired and
        // arrives afterwards. A heartbeat sent after the expiry has a later incarnation.
        if machine.state == MachineState::LeaseExpired
            && heartbeat.id.incarnation <= machine.last_heartbeat.incarnation
            && is_order_checked
        {
            return Some(HeartbeatOutcome::Stale);
        }
        // The machine sent the heartbeat before the cloud released the machine.
        if machine.is_gone {
            return Some(HeartbeatOutcome::UnknownMachine);
        }
        (heartbeat.token > self.token).then_some(HeartbeatOutcome::Superseded)
    }

    /// Records a newer heartbeat under the current token. Returns whether it shows that
    /// earlier answers did not reach the machine.
    fn record_heartbeat(
        &mut self,
        name: &Rc<str>,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let (settings, now) = (context.settings, context.now);
        let acquired_at = self.reconciliation.acquired_at();
        let machine = self.inventory.machine(name);
        let becomes_ready = machine.is_some_and(|machine| machine.state != MachineState::Ready);
        let was_booting = machine.is_some_and(|machine| machine.is_booting_since(acquired_at));
        self.request_activation(name);
        let answers_lost = self
            .inventory
            .record_heartbeat(name, heartbeat, settings, now);
        if becomes_ready {
            log::info!("region={} machine={name}: ready", self.name);
            if was_booting {
                self.inventory.machine_booted(name, now);
            }
            self.reconciliation.machine_reconciled(name);
            self.triggers.machine_changed(name);
        }
        answers_lost
    }

    fn apply_reported_tasks(
        &mut self,
        machine: &Rc<str>,
        heartbeat: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> ReportedTasks {
        let mut reported = ReportedTasks::default();
        for task in &heartbeat.tasks {
            match self.on_reported_task(machine, task, context) {
                TaskOutcome::Kept => {
                    reported.kept.insert((task.job.clone(), task.task));
                }
                TaskOutcome::Reply(command) => reported.replies.push(command),
                TaskOutcome::NoCommand => {}
            }
        }
        reported
    }

    /// Returns tasks to pending that should be on the machine but are not among `kept`.
    /// Returns whether one of them was dispatched in the last answer.
    fn return_missing_tasks(
        &mut self,
        name: &str,
        kept: &BTreeSet<(JobId, u32)>,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let missing: Vec<((JobId, u32), TaskState)> = self
            .inventory
            .tasks(name)
            .filter(|(_, assignment)| assignment.state != TaskState::Assigned)
            .filter(|(task, _)| !kept.contains(*task))
            .map(|(task, assignment)| (task.clone(), assignment.state))
            .collect();
        let start_ignored = missing
            .iter()
            .any(|(_, state)| *state == TaskState::Dispatched);
        for ((id, task), _) in missing {
            self.return_to_pending(&id, task, "missing from its machine's heartbeat", context);
        }
        start_ignored
    }
}
