//! Handover of pending tasks to another region.
//!
//! The leader requests a handover. The region to which the tasks are bound commits the new
//! binding to the job's record.

use salttiller_records::key::Key;
use salttiller_records::model::{JobId, RangeSet};
use salttiller_records::record::{value, JobRecord, TaskRange};

use super::action::CommitKind;
use super::job::Job;
use super::{Region, SchedulingContext};
use crate::state_store::CommitPriority;

/// Maximum number of task ranges in a job's record, which bounds the size of the record.
const MAX_TASK_RANGES: usize = 24;

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
        let Some((id, job)) = self.jobs.get_key_value(job) else {
            return;
        };
        let id = id.clone();
        let Some(record) = context.replica.jobs.get(&*id) else {
            return;
        };
        if job.has_ended || job.commit_in_flight || to == self.name || context.has_job_ended(&id) {
            return;
        }
        let Some(tasks) = tasks_to_hand_over(job, count) else {
            return;
        };
        let Some(new_record) = rebound_record(&record.value, job, &tasks, &self.name, to) else {
            return;
        };
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

/// Returns the tasks that may move, or `None` if there are none. At most `count` tasks move
/// unless the job's tasks must be placed together.
fn tasks_to_hand_over(job: &Job, count: u32) -> Option<RangeSet> {
    if job.tasks.pending().is_empty() {
        return None;
    }
    if !job.has_dependent_placement() {
        return Some(job.tasks.pending().last_n(count));
    }
    (job.tasks.are_all_pending() && job.is_fully_bound()).then(|| job.tasks.pending().clone())
}

/// Returns the job's record with these tasks bound to another region, or `None` if the record
/// would exceed `MAX_TASK_RANGES`.
fn rebound_record(
    record: &JobRecord,
    job: &Job,
    tasks: &RangeSet,
    from: &str,
    to: &str,
) -> Option<JobRecord> {
    let ranges = rebound_ranges(&record.task_ranges, tasks, from, to);
    // Once no part of a gang is bound to a region, the leader binds the whole job again.
    let is_unbound = ranges.iter().all(TaskRange::is_unbound);
    let task_ranges = merge_adjacent(ranges);
    if task_ranges.len() > MAX_TASK_RANGES {
        return None;
    }
    let multi_region = if is_unbound || !job.gang.is_multi_region() {
        None
    } else {
        record.multi_region.clone()
    };
    Some(JobRecord {
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
