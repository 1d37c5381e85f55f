//! Cancellations whose records were lost: controllers that remember them tell their peers during a
//! hold.
//!
//! A cancellation is announced once when it is committed. A controller that restarts around the
//! loss hears neither this announcement nor finds the record, and it may be the owner of the
//! machines that run the job's tasks. Each controller in a hold therefore repeats the cancellations
//! that it knows. They serve only to stop tasks during the hold.

use std::collections::BTreeSet;

use salttiller_records::model::is_job_id;
use salttiller_records::record::JobStage;
use salttiller_records::units::{Micros, SECOND};

use super::DataLossHold;
use crate::controller::reported_cancellations::MAX_REPORTED_CANCELLATIONS;
use crate::controller::Controller;
use crate::peer_protocol::{self, Message};
use crate::reactor::Net;
use crate::state_store::replica::Replica;

/// Interval between two announcements. It is short compared with the time within which the tasks
/// of a cancelled job must end.
const ANNOUNCEMENT_INTERVAL: Micros = 5 * SECOND;

/// The cancellations that were lost, as far as this controller and its peers remember them.
#[derive(Debug, Default)]
pub(super) struct LostCancellations {
    /// Jobs that were cancelled before the loss and are not on record as cancelled now. `None`
    /// until the records have been searched.
    known: Option<Vec<String>>,
    /// Jobs that peers reported as cancelled during the hold.
    reported: BTreeSet<String>,
    next_announcement_at: Micros,
}

impl LostCancellations {
    /// Whether a peer reported the cancellation of a job during the hold.
    pub(super) fn is_reported(&self, job: &str) -> bool {
        self.reported.contains(job)
    }

    /// Searches the records again, because records were lost again.
    pub(super) fn search_again(&mut self) {
        self.known = None;
    }

    fn record(&mut self, jobs: &[String]) {
        for job in jobs.iter().filter(|job| is_job_id(job)) {
            if self.reported.len() < MAX_REPORTED_CANCELLATIONS {
                self.reported.insert(job.clone());
            }
        }
    }
}

impl DataLossHold {
    /// Returns the cancellations to announce now, if an announcement is due. `present` is the
    /// replica of the present records, `reported` are cancellations that peers reported before the
    /// hold.
    fn due_announcement(
        &mut self,
        present: &Replica,
        reported: &BTreeSet<String>,
        now: Micros,
    ) -> Option<Vec<String>> {
        let lost = &mut self.lost_cancellations;
        if now < lost.next_announcement_at {
            return None;
        }
        lost.next_announcement_at = now + ANNOUNCEMENT_INTERVAL;
        let before_loss = &self.replica_before_loss;
        let known = lost
            .known
            .get_or_insert_with(|| unrecorded_cancellations(before_loss, present));
        let jobs = known.iter().chain(reported).chain(&lost.reported);
        let jobs: Vec<String> = jobs.take(MAX_REPORTED_CANCELLATIONS).cloned().collect();
        (!jobs.is_empty()).then_some(jobs)
    }
}

/// Returns the jobs that are cancelled in `before_loss` and not in `present`.
fn unrecorded_cancellations(before_loss: &Replica, present: &Replica) -> Vec<String> {
    let is_cancelled = |replica: &Replica, job: &str| {
        let stage = replica.stage(job);
        stage == Some(JobStage::Cancelled)
    };
    let jobs = before_loss.jobs.keys();
    let lost = jobs.filter(|job| is_cancelled(before_loss, job) && !is_cancelled(present, job));
    lost.cloned().collect()
}

impl<N: Net> Controller<N> {
    /// Announces the lost cancellations to all peers, at intervals.
    ///
    /// Guards against tasks that outlast their cancellation because their machine's owner restarted
    /// around the loss, while its peers know of the cancellation.
    pub(super) fn announce_lost_cancellations(&mut self) {
        let Some(hold) = &mut self.data_loss.hold else {
            return;
        };
        let present = &self.cluster.state_store.replica;
        let reported = self.cluster.cancellations.jobs();
        let Some(jobs) = hold.due_announcement(present, reported, self.cluster.now) else {
            return;
        };
        let message = peer_protocol::encode(&Message::JobsCancelled { jobs });
        for peer in 0..self.cluster.settings.peers.len() {
            self.net.send(peer, &message);
        }
    }

    /// Records cancellations that a peer announced during a hold. Returns false if no hold is in
    /// force.
    pub(in crate::controller) fn record_cancellations_in_hold(&mut self, jobs: &[String]) -> bool {
        let Some(hold) = &mut self.data_loss.hold else {
            return false;
        };
        hold.lost_cancellations.record(jobs);
        true
    }
}
