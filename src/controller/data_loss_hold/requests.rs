//! Responses to workers and users during a hold, and to users until the records are verified after
//! a start.

use salttiller_records::record::JobStage;

use crate::admission;
use crate::controller::http_status::{OK, UNAVAILABLE};
use crate::controller::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::{ConnectionId, Net};
use crate::worker_protocol::{self, Command, Heartbeat, ReportedState};

/// Retry-After value for users during a hold.
const HOLD_RETRY_AFTER_S: u32 = 5;
/// Retry-After value for users while the records are not verified after a start.
const UNVERIFIED_RETRY_AFTER_S: u32 = 1;

impl<N: Net> Controller<N> {
    /// Responds to a heartbeat during a hold: renews the worker's lease if this controller owns the
    /// worker's region.
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
            // The region is acquired again under a token that the worker accepts.
            hold.kept.remove(&region);
            return self.refuse_unavailable(conn);
        }
        let is_former_owner_gone =
            self.cluster.now >= kept.answers_from || self.have_all_joined_hold(incident);
        if !self.cluster.has_authority() || !is_former_owner_gone {
            return self.refuse_unavailable(conn);
        }
        let commands = self.stop_commands_for_cancelled_jobs(heartbeat);
        let body = worker_protocol::encode_commands(kept.token, &commands);
        self.respond(conn, OK, body);
    }

    /// Returns the region of a machine according to its record or to the replica from before the
    /// loss. A machine that is in neither counts as part of this controller's home region: no
    /// controller schedules tasks on such a machine, so any controller may renew its lease.
    fn region_in_hold(&self, machine: &str) -> String {
        let recorded = self.cluster.state_store.replica.machines.get(machine);
        let hold = self.data_loss.hold.as_ref();
        let before_loss = hold.and_then(|hold| hold.replica_before_loss.machines.get(machine));
        let known = recorded.or(before_loss);
        let region = known.map_or(&self.cluster.settings.name, |m| &m.value.region);
        region.clone()
    }

    /// Whether every controller has acquired its home region as part of this incident, so that no
    /// former owner can act any more. A restarted process reads the hold's record first.
    fn have_all_joined_hold(&self, incident: u64) -> bool {
        let records = &self.cluster.state_store.replica.regions;
        self.cluster.settings.regions().iter().all(|name| {
            let record = records.get(name).map(|r| &r.value);
            record.is_some_and(|r| r.owner == *name && r.data_loss_incident == Some(incident))
        })
    }

    /// Returns commands to stop the reported tasks of jobs that are known to be cancelled.
    fn stop_commands_for_cancelled_jobs(&self, heartbeat: &Heartbeat) -> Vec<Command> {
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
        let before_loss = hold.and_then(|hold| hold.replica_before_loss.stage(job));
        let recorded = self.cluster.state_store.replica.stage(job);
        [before_loss, recorded].contains(&Some(JobStage::Cancelled))
            || self.cluster.cancellations.contains(job)
            || hold.is_some_and(|hold| hold.lost_cancellations.is_reported(job))
    }

    /// Answers a user's request about a job with the job's final stage on record, or refuses the
    /// request. Returns `false` without a response if the request can be handled normally.
    ///
    /// Requests are answered from the records only during a hold, and after a start until workers
    /// have had time to contradict the records: until then, a job's record may be missing or may
    /// come from an older copy. Responses never use the replica from before the loss: if operators
    /// continue without the lost records, later responses would contradict such a response.
    pub(in crate::controller) fn answer_from_records_only(
        &mut self,
        conn: ConnectionId,
        job: &str,
    ) -> bool {
        let Some(detection) = &self.data_loss.detection else {
            return false;
        };
        let is_verified =
            detection.is_verified(self.cluster.now) || is_disabled(Safeguard::VerifiedStart);
        let retry_after_s = if self.is_hold_active() {
            HOLD_RETRY_AFTER_S
        } else if is_verified {
            return false;
        } else {
            UNVERIFIED_RETRY_AFTER_S
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
