//! Detection of lost records from workers' heartbeats: fencing tokens above the recorded one and
//! jobs without a record.

use salttiller_records::units::{Micros, SECOND};
use salttiller_recovery::HeartbeatEvidence;

use crate::controller::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::Net;
use crate::worker_protocol::Heartbeat;

/// Time after an operator's decision during which workers may report jobs without a record,
/// because the tasks of these jobs are still being stopped.
const UNRECORDED_JOBS_GRACE_PERIOD: Micros = 600 * SECOND;

impl<N: Net> Controller<N> {
    /// Returns whether a heartbeat contradicts the replica. If so, requests a read that shows
    /// whether records are lost; the caller must not act on the heartbeat.
    pub(in crate::controller) fn contradicts_records(&mut self, heartbeat: &Heartbeat) -> bool {
        if is_disabled(Safeguard::HeartbeatEvidence) {
            return false;
        }
        let is_decision_recent = self.is_decision_recent();
        let recorded_token = self.cluster.recorded_token();
        let Some(detection) = &mut self.data_loss.detection else {
            return false;
        };
        let jobs = &self.cluster.state_store.replica.jobs;
        let mut tasks = heartbeat.tasks.iter();
        let unknown_job = tasks.find(|t| !is_decision_recent && !jobs.contains_key(&*t.job));
        let reported = HeartbeatEvidence {
            machine: &heartbeat.machine,
            token: heartbeat.token,
            recorded_token,
            unknown_job: unknown_job.map(|t| &*t.job),
        };
        let contradicts = detection.check_heartbeat(reported, self.cluster.now);
        if contradicts {
            self.cluster.state_store.request_barrier();
        }
        contradicts
    }

    /// Whether operators decided within the grace period to continue without the lost records.
    pub(super) fn is_decision_recent(&self) -> bool {
        let hold = self.cluster.state_store.replica.data_loss_hold.as_ref();
        let accepted = hold.and_then(|hold| hold.value.accepted.as_ref());
        let wall = self.net.wall_clock_now();
        accepted.is_some_and(|accepted| wall < accepted.at + UNRECORDED_JOBS_GRACE_PERIOD)
    }

    /// Handles the completion of a read that was sent at `sent`: begins a hold if an earlier
    /// heartbeat still contradicts the records.
    pub(in crate::controller) fn check_evidence_of_loss(&mut self, sent: Micros) {
        let recorded_token = self.cluster.recorded_token();
        let jobs = &self.cluster.state_store.replica.jobs;
        let Some(detection) = &mut self.data_loss.detection else {
            return;
        };
        let finding = detection.check_read(sent, recorded_token, |job| jobs.contains_key(job));
        if let Some(finding) = finding.filter(|_| !self.data_loss.is_hold_active()) {
            self.begin_hold(finding);
        }
    }
}
