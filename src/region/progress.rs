//! Commits of progress: records of finished tasks and of ended jobs.

use std::collections::BTreeSet;

use salttiller_records::bitmap::{decode_bitmap, encode_bitmap, CHUNK_SIZE};
use salttiller_records::key::Key;
use salttiller_records::model::{JobId, JobKind, RangeSet};
use salttiller_records::record::{value, JobRecord, JobStage};
use salttiller_records::units::{Micros, SECOND};

use super::action::CommitKind;
use super::job::Job;
use super::{Region, SchedulingContext};
use crate::state_store::replica::ProgressKey;
use crate::state_store::CommitPriority;

/// Minimum interval between two progress commits of a job.
const MIN_COMMIT_INTERVAL: Micros = SECOND;
/// Minimum interval between two progress commits of a job while no other region depends on
/// them.
const MIN_RELAXED_COMMIT_INTERVAL: Micros = 3 * SECOND;
/// Share of the state service's write rate that the progress commits of all regions may use.
const PROGRESS_WRITE_SHARE: f64 = 0.15;
const MICROS_PER_SECOND: f64 = 1e6;
/// Maximum number of progress records that one commit changes.
const MAX_CHUNKS_PER_COMMIT: usize = 8;

impl Region {
    /// Commits the finished tasks of a job, or the job's end once all tasks are finished.
    pub(super) fn record_progress(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        // Guards against overwriting a cancellation with the job's end. If one answer of the
        // state service contains the last task's progress followed by the cancellation, the
        // replica already shows the cancelled record with its revision when the progress event
        // is handled, so a condition on that revision would not prevent the overwrite.
        if context.has_job_ended(id) {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.commit_in_flight || job.has_ended || job.spec.kind == JobKind::Service {
            return;
        }
        let mut done = context.replica.done_tasks(id);
        done.union_with(job.tasks.unrecorded_done());
        if job.is_complete_with(done.len()) {
            self.commit_job_end(id, context);
        } else if self.is_progress_due(job, context) {
            self.commit_progress(id, context);
        }
    }

    /// Handles recorded progress of a job, from this region or another. Guards against a job
    /// that never ends because two regions record its last tasks at the same time and neither
    /// sees the other's record: a region that then sees the results of all tasks ends the job.
    pub fn on_progress(&mut self, id: &str, context: &SchedulingContext<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        let results = context.replica.done_tasks(id).len() + job.tasks.unrecorded_done().len();
        if job.is_complete_with(results) {
            let id = id.clone();
            self.record_progress(&id, context);
        }
    }

    /// Whether a progress commit of the job is due. Losing a result costs little, since the
    /// restarted task ends as soon as its image is available. Results are therefore committed
    /// only as often as the state service's write rate permits. Only [`MIN_COMMIT_INTERVAL`]
    /// applies once this region's part of a job is finished, because other regions depend on the
    /// results and cannot see them before the commit. It also applies while no task of the job is on
    /// a machine: the rest of the job may have to move to another region, and cannot before the
    /// commit.
    fn is_progress_due(&self, job: &Job, context: &SchedulingContext<'_>) -> bool {
        let is_part_finished = job.tasks.bound().len() < job.spec.task_count
            && job.tasks.done().len() >= job.tasks.bound().len();
        let since_last = context.now.saturating_sub(job.last_progress_commit_at);
        let may_have_to_move = job.tasks.on_machines().is_empty();
        let interval = if is_part_finished || may_have_to_move {
            MIN_COMMIT_INTERVAL
        } else {
            self.progress_interval(context)
        };
        !job.tasks.unrecorded_done().is_empty() && since_last >= interval
    }

    /// Returns the interval between two progress commits of a job with which the progress
    /// commits of all jobs and regions stay within [`PROGRESS_WRITE_SHARE`].
    fn progress_interval(&self, context: &SchedulingContext<'_>) -> Micros {
        let settings = context.settings;
        let interval = (self.unrecorded_jobs.len() * settings.region_count()) as f64
            / (settings.min_store_write_rate * PROGRESS_WRITE_SHARE)
            * MICROS_PER_SECOND;
        (interval as Micros).max(MIN_RELAXED_COMMIT_INTERVAL)
    }

    fn commit_job_end(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let key = Key::Job(id.to_string());
        let ended = JobRecord {
            stage: JobStage::Done,
            spec: None,
            task_ranges: Vec::new(),
            multi_region: None,
            ended_at: Some(context.wall),
        };
        let mut conditions = self.ownership_condition();
        conditions.push((key.clone(), context.replica.version(&key)));
        let mut changes = vec![(key, Some(value(&ended)))];
        if let Some(chunks) = context.replica.progress.get(&**id) {
            let max_removals = context.settings.max_txn_ops - 1;
            changes.extend(chunks.keys().take(max_removals).map(|progress| {
                let region = progress.region.clone();
                (Key::Progress(id.to_string(), region, progress.chunk), None)
            }));
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_in_flight = true;
        }
        self.commit(
            conditions,
            changes,
            CommitPriority::Urgent,
            CommitKind::JobDone(id.clone()),
        );
    }

    fn commit_progress(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let mut conditions = self.ownership_condition();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.last_progress_commit_at = context.now;
        job.commit_in_flight = true;
        // This condition fails the commit if the job has been rebound or has ended meanwhile;
        // the new record is then read before the next attempt.
        let job_key = Key::Job(id.to_string());
        let job_version = context.replica.version(&job_key);
        conditions.push((job_key, job_version));
        let mut changes = Vec::new();
        let mut written = RangeSet::default();
        let max_chunks = (context.settings.max_txn_ops - 1).min(MAX_CHUNKS_PER_COMMIT);
        for chunk in chunks_of(job.tasks.unrecorded_done())
            .into_iter()
            .take(max_chunks)
        {
            written.union_with(&tasks_in_chunk(job.tasks.unrecorded_done(), chunk));
            let mut done = recorded_in_chunk(id, &self.name, chunk, context);
            done.union_with(job.tasks.unrecorded_done());
            let key = Key::Progress(id.to_string(), self.name.clone(), chunk);
            conditions.push((key.clone(), context.replica.version(&key)));
            changes.push((key, Some(value(&encode_bitmap(&done, chunk)))));
        }
        self.commit(
            conditions,
            changes,
            CommitPriority::Background,
            CommitKind::Progress(id.clone(), written),
        );
    }
}

/// Returns the chunks of progress records that contain any of the tasks.
fn chunks_of(tasks: &RangeSet) -> BTreeSet<u32> {
    tasks
        .ranges()
        .flat_map(|(first, end)| first / CHUNK_SIZE..=(end - 1) / CHUNK_SIZE)
        .collect()
}

/// Returns the tasks that fall into a chunk.
fn tasks_in_chunk(tasks: &RangeSet, chunk: u32) -> RangeSet {
    let mut part = RangeSet::default();
    for (first, end) in tasks.ranges() {
        part.insert_range(
            first.max(chunk * CHUNK_SIZE),
            end.min((chunk + 1) * CHUNK_SIZE),
        );
    }
    part
}

/// Returns the finished tasks in a chunk that a region has recorded.
fn recorded_in_chunk(
    id: &JobId,
    region: &str,
    chunk: u32,
    context: &SchedulingContext<'_>,
) -> RangeSet {
    let mut done = RangeSet::default();
    let key = ProgressKey {
        region: region.to_owned(),
        chunk,
    };
    let record = context
        .replica
        .progress
        .get(&**id)
        .and_then(|chunks| chunks.get(&key));
    if let Some(record) = record {
        decode_bitmap(&record.value, chunk, &mut done);
    }
    done
}

#[cfg(test)]
mod tests;
