//! Handover of pending tasks to another region.
//!
//! The leader requests a handover. The region to which the tasks are bound commits the new
//! binding to the job's record.

use std::fmt;

use salttiller_records::key::Key;
use salttiller_records::model::{JobId, RangeSet};
use salttiller_records::record::{value, JobRecord, TaskRange};

use super::action::CommitKind;
use super::job::Job;
use super::rebound_ranges::{Handover, ReboundTasks};
use super::{Region, RemainingTasks, SchedulingContext};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::state_store::CommitPriority;

/// Reason why an owner does not hand over tasks as the leader requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandOverRefusal {
    /// The region has no open job of this name.
    UnknownJob,
    /// The tasks are bound to the region that the request names.
    SameRegion,
    /// Another commit on the job is in flight.
    CommitInFlight,
    /// No task of the job is pending.
    NothingPending,
    /// The job is indivisible, and other tasks of it are not bound to this region, not pending, or
    /// still on machines.
    WouldBeDivided(RemainingTasks),
    /// The results of this many tasks are not on record yet.
    UnrecordedResults(u32),
    /// The job's record would have too many ranges.
    TooManyRanges { ranges: usize },
}

impl fmt::Display for HandOverRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownJob => f.write_str("no open job of this name"),
            Self::SameRegion => f.write_str("already bound to that region"),
            Self::CommitInFlight => f.write_str("another commit is in flight"),
            Self::NothingPending => f.write_str("no task is pending"),
            Self::WouldBeDivided(remaining) => write!(f, "would be divided, {remaining}"),
            Self::UnrecordedResults(tasks) => {
                write!(f, "the results of {tasks} tasks are not on record yet")
            }
            Self::TooManyRanges { ranges } => {
                write!(f, "the record would have {ranges} task ranges")
            }
        }
    }
}

impl Region {
    /// Hands over up to `count` pending tasks of a job to another region at the leader's
    /// request. Only tasks that are on no machine move. An indivisible job moves as a whole, which
    /// is all of its tasks without a result.
    pub fn hand_over_tasks(
        &mut self,
        job: &str,
        to: &str,
        count: u32,
        context: &SchedulingContext<'_>,
    ) {
        if let Err(refusal) = self.try_hand_over(job, to, count, context) {
            log::info!(
                "region={} job={job}: not handing over {count} tasks to {to:?}: {refusal}",
                self.name
            );
        }
    }

    fn try_hand_over(
        &mut self,
        job: &str,
        to: &str,
        count: u32,
        context: &SchedulingContext<'_>,
    ) -> Result<(), HandOverRefusal> {
        let known = self.jobs.get_key_value(job);
        let record = context.replica.jobs.get(job);
        let (Some((id, job)), Some(record)) = (known, record) else {
            return Err(HandOverRefusal::UnknownJob);
        };
        if job.has_ended || context.has_job_ended(id) {
            return Err(HandOverRefusal::UnknownJob);
        }
        if to == self.name {
            return Err(HandOverRefusal::SameRegion);
        }
        if job.commit_in_flight {
            return Err(HandOverRefusal::CommitInFlight);
        }
        let id = id.clone();
        let recorded = tasks_without_binding(&id, job, context);
        let handover = Handover {
            ranges: &record.value.task_ranges,
            recorded: &recorded,
            from: &self.name,
            to,
        };
        let ReboundTasks { tasks, ranges } = rebound_tasks(job, count, &handover)?;
        let new_record = rebound_record(&record.value, job, ranges);
        log::debug!(
            "region={} job={id}: handing over {} tasks to {to:?}",
            self.name,
            tasks.len()
        );
        let former_version = record.version;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tasks.begin_hand_over(tasks);
            job.commit_in_flight = true;
        }
        self.update_queue_position(&id, context);
        self.commit_hand_over(id, &new_record, former_version);
        Ok(())
    }

    fn commit_hand_over(&mut self, id: JobId, record: &JobRecord, former_version: u64) {
        let key = Key::Job(id.to_string());
        let mut conditions = self.ownership_condition();
        conditions.push((key.clone(), former_version));
        self.commit(
            conditions,
            vec![(key, Some(value(record)))],
            CommitPriority::Normal,
            CommitKind::Rebind(id),
        );
    }
}

/// Returns the tasks to move and the ranges of the job's record after the move. At most `count`
/// tasks of a divisible job move, and all open tasks of an indivisible one.
fn rebound_tasks(
    job: &Job,
    count: u32,
    handover: &Handover<'_>,
) -> Result<ReboundTasks, HandOverRefusal> {
    let pending = job.tasks.pending();
    if pending.is_empty() || count == 0 {
        return Err(HandOverRefusal::NothingPending);
    }
    if !job.spec.is_indivisible() {
        return handover
            .of_up_to(count, pending)
            .map_err(|ranges| HandOverRefusal::TooManyRanges { ranges });
    }
    let remaining = job.remaining_tasks();
    if !remaining.may_leave_region(&job.spec) || !job.is_fully_bound() {
        return Err(HandOverRefusal::WouldBeDivided(remaining));
    }
    // Guards against losing results: this region forgets a job of which it keeps no task.
    let unrecorded = job.tasks.unrecorded_done().len();
    if unrecorded > 0 && !is_disabled(Safeguard::RecordedResults) {
        return Err(HandOverRefusal::UnrecordedResults(unrecorded));
    }
    let rebound = handover.of(pending.clone());
    if !rebound.fits_in_record() {
        let ranges = rebound.ranges.len();
        return Err(HandOverRefusal::TooManyRanges { ranges });
    }
    Ok(rebound)
}

/// Returns the tasks whose binding has no meaning any more. Guards against losing a result that is
/// only in this owner's memory: its task stays bound to the region until the result is on record.
fn tasks_without_binding(id: &str, job: &Job, context: &SchedulingContext<'_>) -> RangeSet {
    let mut recorded = context.replica.done_tasks(id);
    if is_disabled(Safeguard::RecordedResults) {
        recorded.union_with(job.tasks.done());
    }
    recorded
}

/// Returns a job's record with these task ranges.
fn rebound_record(record: &JobRecord, job: &Job, task_ranges: Vec<TaskRange>) -> JobRecord {
    // Once no part of a gang is bound to a region, the leader binds the whole job again.
    let is_unbound = task_ranges.iter().all(TaskRange::is_unbound);
    let multi_region = if is_unbound || !job.gang.is_multi_region() {
        None
    } else {
        record.multi_region.clone()
    };
    JobRecord {
        task_ranges: if is_unbound { Vec::new() } else { task_ranges },
        multi_region,
        ..record.clone()
    }
}

#[cfg(test)]
mod tests;
