//! Pending tasks that are handed over to another region.
//!
//! The leader asks for it; the region that the tasks are bound to changes the job's record.

use salttiller_records::key::Key;
use salttiller_records::model::{JobId, RangeSet};
use salttiller_records::record::{value, JobRecord, TaskRange};

use super::action::CommitKind;
use super::job::Job;
use super::{Region, SchedulingContext};
use crate::state_store::CommitPriority;

/// Most ranges of tasks in a job's record: the record must stay small.
const MAX_TASK_RANGES: usize = 24;

impl Region {
    /// The leader asks for pending tasks to be handed over to another region. Only tasks that
    /// are on no machine move; a job whose tasks must keep together moves whole.
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
        if job.is_over || job.commit_in_flight || to == self.name || context.is_job_over(&id) {
            return;
        }
        let Some(tasks) = tasks_to_hand_over(job, count) else {
            return;
        };
        let Some(new_record) = rebound_record(&record.value, job, &tasks, &self.name, to) else {
            return;
        };
        log::debug!(
            "region={} job={id}: {} tasks handed over to {to:?}",
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

/// The tasks that may move, `count` at most unless the job's tasks must keep together; `None`
/// if none may.
fn tasks_to_hand_over(job: &Job, count: u32) -> Option<RangeSet> {
    if job.tasks.pending().is_empty() {
        return None;
    }
    if !job.has_dependent_placement() {
        return Some(job.tasks.pending().last_n(count));
    }
    (job.tasks.are_all_pending() && job.is_fully_bound()).then(|| job.tasks.pending().clone())
}

/// The job's record with these tasks bound to another region; `None` if it would get too large.
fn rebound_record(
    record: &JobRecord,
    job: &Job,
    tasks: &RangeSet,
    from: &str,
    to: &str,
) -> Option<JobRecord> {
    let ranges = rebound_ranges(&record.task_ranges, tasks, from, to);
    // Once the last part of a gang is bound to no region, the job is bound anew.
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

/// The ranges of a job's tasks, by their first task, once some have moved from one region to
/// another.
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

/// Joins ranges of the same region that follow each other.
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
