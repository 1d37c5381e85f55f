//! Answers to workers and users in a hold, and to users until the records are proven.

use salttiller_records::record::JobStage;

use crate::admission;
use crate::controller::http_status::{OK, UNAVAILABLE};
use crate::controller::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::{ConnectionId, Net};
use crate::worker_protocol::{self, Command, Heartbeat, ReportedState};

/// Users retry after so many seconds in a hold.
const HOLD_RETRY_AFTER_S: u32 = 5;
/// The same while the records aren't proven after a start.
const UNPROVEN_RETRY_AFTER_S: u32 = 1;

impl<N: Net> Controller<N> {
    /// Renews a worker's lease, if this controller keeps its region.
    pub(in crate::controller) fn on_heartbeat_in_hold(
        &mut self,
        conn: ConnectionId,
        heartbeat: &Heartbeat,
    ) {
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        hold.kept.on_token_seen(heartbeat.token);
        let incident = hold.incident;
        let region = self.region_in_hold(&heartbeat.machine);
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        let Some(kept) = hold.kept.get(&region) else {
            return self.redirect_to_owner(conn, &region);
        };
        if heartbeat.token > kept.token && !is_disabled(Safeguard::SufficientToken) {
            // Acquired anew under a token with which this worker accepts answers.
            hold.kept.remove(&region);
            return self.refuse_unavailable(conn);
        }
        let is_former_owner_gone =
            self.cluster.now >= kept.answers_from || self.is_held_by_all(incident);
        if !self.cluster.has_authority() || !is_former_owner_gone {
            return self.refuse_unavailable(conn);
        }
        let commands = self.stops_of_cancelled_jobs(heartbeat);
        let body = worker_protocol::encode_commands(kept.token, &commands);
        self.respond(conn, OK, body);
    }

    /// The region of a machine, as on record or as remembered. Of a machine that nobody knows
    /// any controller may renew the lease, as none commands it: it counts as the home region's.
    fn region_in_hold(&self, machine: &str) -> String {
        let recorded = self.cluster.state_store.replica.machines.get(machine);
        let remembered = self.data_loss.hold.as_ref();
        let remembered = remembered.and_then(|hold| hold.remembered.machines.get(machine));
        let known = recorded.or(remembered);
        let region = known.map_or(&self.cluster.settings.name, |m| &m.value.region);
        region.clone()
    }

    /// Whether every controller has put on record that it holds, too: no former owner is left
    /// that could act. A process that starts anew reads the hold's record first.
    fn is_held_by_all(&self, incident: u64) -> bool {
        let records = &self.cluster.state_store.replica.regions;
        self.cluster.settings.regions().iter().all(|name| {
            let record = records.get(name).map(|r| &r.value);
            record.is_some_and(|r| r.owner == *name && r.data_loss_incident == Some(incident))
        })
    }

    /// Stops that a rule demands: tasks of jobs that are known to be cancelled.
    fn stops_of_cancelled_jobs(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let tasks = heartbeat.tasks.iter();
        tasks
            .filter(|task| !matches!(task.state, ReportedState::Ended(_)))
            .filter(|task| self.is_known_cancelled(&task.job))
            .take(worker_protocol::MAX_COMMANDS)
            .map(|task| Command::stop(task.job.clone(), task.task, task.attempt, 0))
            .collect()
    }

    fn is_known_cancelled(&self, job: &str) -> bool {
        let hold = self.data_loss.hold.as_ref();
        let remembered = hold.and_then(|hold| hold.remembered.stage(job));
        let recorded = self.cluster.state_store.replica.stage(job);
        [remembered, recorded].contains(&Some(JobStage::Cancelled))
            || self.cluster.cancellations.contains(job)
    }

    /// Whether a user's request about a job is answered here and now, with its final stage on
    /// record or a refusal: in a hold, and after a start until workers had the time to contradict
    /// the records. Until then a job may be missing, or be recorded as in an older copy.
    ///
    /// Users don't get answers from what is only remembered: should operators go on without it,
    /// later answers would contradict them.
    pub(in crate::controller) fn answer_from_records_only(
        &mut self,
        conn: ConnectionId,
        job: &str,
    ) -> bool {
        let Some(detection) = &self.data_loss.detection else {
            return false;
        };
        let is_proven =
            detection.is_proven(self.cluster.now) || is_disabled(Safeguard::ProvenStart);
        let retry_after_s = if self.is_held() {
            HOLD_RETRY_AFTER_S
        } else if is_proven {
            return false;
        } else {
            UNPROVEN_RETRY_AFTER_S
        };
        if let Some(stage) = self.recorded_final_stage(job) {
            let body = admission::encode_job_state(job, stage, None);
            self.respond(conn, OK, body);
        } else {
            self.refuse(conn, UNAVAILABLE, retry_after_s);
        }
        true
    }
}
