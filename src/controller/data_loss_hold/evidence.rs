//! Evidence of lost records in workers' heartbeats: tokens above the recorded one, jobs without
//! a record.

use salttiller_records::units::{Micros, SECOND};
use salttiller_recovery::ReportEvidence;

use crate::controller::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::reactor::Net;
use crate::worker_protocol::Heartbeat;

/// For so long after an operator's decision workers may report jobs without a record: their
/// tasks are being stopped.
const UNRECORDED_JOBS_GRACE_PERIOD: Micros = 600 * SECOND;

impl<N: Net> Controller<N> {
    /// Whether a heartbeat contradicts the records as they are known here. A read that begins
    /// now shows whether they are lost; until then the heartbeat is not acted on.
    pub(in crate::controller) fn contradicts_records(&mut self, heartbeat: &Heartbeat) -> bool {
        if is_disabled(Safeguard::ReportEvidence) {
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
        let reported = ReportEvidence {
            machine: &heartbeat.machine,
            token: heartbeat.token,
            recorded_token,
            unknown_job: unknown_job.map(|t| &*t.job),
        };
        let contradicts = detection.check_report(reported, self.cluster.now);
        if contradicts {
            self.cluster.state_store.request_barrier();
        }
        contradicts
    }

    /// Whether operators decided a short while ago to go on without what was lost.
    pub(super) fn is_decision_recent(&self) -> bool {
        let hold = self.cluster.state_store.replica.data_loss_hold.as_ref();
        let accepted = hold.and_then(|hold| hold.value.accepted.as_ref());
        let wall = self.net.wall();
        accepted.is_some_and(|accepted| wall < accepted.at + UNRECORDED_JOBS_GRACE_PERIOD)
    }

    /// A read that was sent at `sent` is complete: what contradicts the records now is a finding,
    /// and begins a hold.
    pub(in crate::controller) fn check_evidence_of_loss(&mut self, sent: Micros) {
        let recorded_token = self.cluster.recorded_token();
        let jobs = &self.cluster.state_store.replica.jobs;
        let Some(detection) = &mut self.data_loss.detection else {
            return;
        };
        let finding = detection.on_read(sent, recorded_token, |job| jobs.contains_key(job));
        if let Some(finding) = finding.filter(|_| !self.data_loss.is_held()) {
            self.begin_hold(finding);
        }
    }
}
