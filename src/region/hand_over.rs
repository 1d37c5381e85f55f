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
use super::{Region, SchedulingContext};
use crate::state_store::CommitPriority;

/// Maximum number of task ranges in a job's record, which bounds the size of the record.
const MAX_TASK_RANGES: usize = 24;

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
    /// The job is indivisible, and not all of its tasks are pending.
    WouldBeDivided { pending: u32, bound: u32 },
    /// The job's record would have more than [`MAX_TASK_RANGES`] ranges.
    TooManyRanges { ranges: usize },
}

impl fmt::Display for HandOverRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownJob => f.write_str("no open job of this name"),
            Self::SameRegion => f.write_str("already bound to that region"),
            Self::CommitInFlight => f.write_str("another commit is in flight"),
            Self::NothingPending => f.write_str("no task is pending"),
            Self::WouldBeDivided { pending, bound } => {
                write!(f, "would be divided, {pending} of {bound} tasks pending")
            }
            Self::TooManyRanges { ranges } => {
                write!(f, "the record would have {ranges} task ranges")
            }
        }
    }
}

impl Region {
    /// Hands over up to `count` pending tasks of a job to another region at the leader's
    /// request. Only tasks that are on no machine move. A job whose tasks must be placed
    /// together moves as a whole.
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
        let tasks = tasks_to_hand_over(job, count)?;
        let new_record = rebound_record(&record.value, job, &tasks, &self.name, to)?;
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

/// Returns the tasks that may move. At most `count` tasks move unless the job's tasks must be placed
/// together.
fn tasks_to_hand_over(job: &Job, count: u32) -> Result<RangeSet, HandOverRefusal> {
    let pending = job.tasks.pending();
    if pending.is_empty() {
        return Err(HandOverRefusal::NothingPending);
    }
    if !job.has_dependent_placement() {
        return Ok(pending.last_n(count));
    }
    if !job.tasks.are_all_pending() || !job.is_fully_bound() {
        return Err(HandOverRefusal::WouldBeDivided {
            pending: pending.len(),
            bound: job.tasks.bound().len(),
        });
    }
    Ok(pending.clone())
}

/// Returns the job's record with these tasks bound to another region, unless the record would
/// exceed `MAX_TASK_RANGES`.
fn rebound_record(
    record: &JobRecord,
    job: &Job,
    tasks: &RangeSet,
    from: &str,
    to: &str,
) -> Result<JobRecord, HandOverRefusal> {
    let ranges = rebound_ranges(&record.task_ranges, tasks, from, to);
    // Once no part of a gang is bound to a region, the leader binds the whole job again.
    let is_unbound = ranges.iter().all(TaskRange::is_unbound);
    let task_ranges = merge_adjacent(ranges);
    if task_ranges.len() > MAX_TASK_RANGES {
        return Err(HandOverRefusal::TooManyRanges {
            ranges: task_ranges.len(),
        });
    }
    let multi_region = if is_unbound || !job.gang.is_multi_region() {
        None
    } else {
        record.multi_region.clone()
    };
    Ok(JobRecord {
        task_ranges: if is_unbound { Vec::new() } else { task_ranges },
        multi_region,
        ..record.clone()
    })
}

/// Returns a job's task ranges, ordered by first task, after `tasks` have moved from one region
/// to another.
fn rebound_ranges(ranges: &[TaskRange], tasks: &RangeSet, from: &str, to: &str) -> Vec<TaskRange> {
    let mut rebound: Vec<TaskRange> = Vec::new();
    for range in ranges {
        let mut kept = RangeSet::from_range(range.first, range.end);
        if range.region == from {
            kept.subtract(tasks);
        }
        rebound.extend(
            kept.ranges()
                .map(|(first, end)| TaskRange::new(first, end, &*range.region)),
        );
    }
    rebound.extend(
        tasks
            .ranges()
            .map(|(first, end)| TaskRange::new(first, end, to)),
    );
    rebound.sort_by_key(|range| range.first);
    rebound
}

/// Merges adjacent ranges of the same region.
fn merge_adjacent(ranges: Vec<TaskRange>) -> Vec<TaskRange> {
    let mut merged: Vec<TaskRange> = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last) if last.end == range.first && last.region == range.region => {
                last.end = range.end;
            }
            _ => merged.push(range),
        }
    }
    merged
}

#[cfg(test)]
mod tests;
