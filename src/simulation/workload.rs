//! The jobs and user requests of a day, drawn from the day's seed.

use salttiller_records::units::{Micros, SECOND};

use super::days::Plan;
use super::users::{Job, JobKind, Submission, UserAction};
use super::world::World;

/// Kind of workload of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Workload {
    /// Batch jobs, gangs and services.
    Mixed,
    /// Jobs of two or three tasks, one of which runs several times as long as the others.
    UnevenTasks,
    /// As [`Workload::Mixed`], but the tasks of a job end one after the other, in no order.
    StaggeredTasks,
    /// Jobs of all priorities that exceed the capacity.
    Overload,
    /// Most jobs depend on one or two others, and some of these dependencies form chains.
    Pipelines,
    /// A third of the jobs fail on every machine until their users cancel them.
    FailingJobs,
}

/// Priorities of the jobs of [`Workload::Overload`], in rotation.
const PRIORITIES: [&str; 4] = ["low", "standard", "urgent", "critical"];

/// One in this many jobs of [`Workload::FailingJobs`] fails.
const FAILING_JOB_INTERVAL: u32 = 3;
/// Time after the submission of a failing job at which its user cancels the job.
const FAILING_JOB_CANCELLED_AFTER: Micros = 100 * SECOND;

/// XORed with a day's seed to seed a separate generator for dependencies and repeated requests.
/// With a separate generator these draws do not change the other draws of the workload.
const ADDITIONS_SEED: u64 = 0x1a7e;

impl World {
    /// Draws the jobs of a day and schedules their users' requests.
    pub(super) fn add_jobs(&mut self, plan: &Plan) {
        let mut additions_rng = fastrand::Rng::with_seed(plan.seed ^ ADDITIONS_SEED);
        for index in 0..plan.jobs {
            self.add_job(plan, index, &mut additions_rng);
        }
    }

    fn add_job(&mut self, plan: &Plan, index: u32, additions_rng: &mut fastrand::Rng) {
        let (mut submission, run_seconds) = self.draw_submission(plan, index);
        if plan.workload == Workload::Pipelines && additions_rng.u32(0..10) < 7 {
            submission.dependencies = Some(self.draw_dependencies(additions_rng));
        }
        let id = submission.id.as_str();
        let submitted_at = SECOND * self.rng.u64(1..plan.end / SECOND / 2);
        if submission.kind == JobKind::Service || self.rng.u32(0..5) == 0 {
            let cancelled_at = submitted_at + SECOND * self.rng.u64(1..40);
            self.schedule_user(cancelled_at, id, UserAction::Cancel);
            let repeated_at = cancelled_at + SECOND * additions_rng.u64(1..120);
            self.schedule_user(repeated_at, id, UserAction::Cancel);
        }
        self.schedule_user(submitted_at, id, UserAction::Submit);
        // Users repeat submissions up to 200 s later, also after the job has finished.
        for _ in 0..additions_rng.u32(0..3) {
            let repeated_at = submitted_at + SECOND * additions_rng.u64(1..200);
            self.schedule_user(repeated_at, id, UserAction::Submit);
        }
        let mut job = Job::new(&submission, run_seconds * SECOND);
        let may_fail = plan.workload == Workload::FailingJobs && job.kind != JobKind::Service;
        if may_fail && index.is_multiple_of(FAILING_JOB_INTERVAL) {
            job.always_fails = true;
            let cancelled_at = submitted_at + FAILING_JOB_CANCELLED_AFTER;
            self.schedule_user(cancelled_at, id, UserAction::Cancel);
        }
        self.users.jobs.insert(submission.id, job);
    }

    /// Draws a submission and the run time of its tasks in seconds.
    fn draw_submission(&mut self, plan: &Plan, index: u32) -> (Submission, u64) {
        let id = format!("req-{:06}", 100 + index * 7 % plan.jobs.max(1));
        let kinds = [
            JobKind::Batch,
            JobKind::Batch,
            JobKind::Gang,
            JobKind::Service,
        ];
        let mut kind = kinds[self.rng.usize(0..4)];
        let uneven = plan.workload == Workload::UnevenTasks;
        if uneven && kind == JobKind::Gang {
            kind = JobKind::Batch;
        }
        let tasks = match kind {
            _ if uneven => self.rng.u32(2..4),
            JobKind::Batch => self.rng.u32(1..12),
            JobKind::Gang | JobKind::Service => self.rng.u32(1..4),
        };
        let cpus = [0.5, 1.0, 2.0][self.rng.usize(0..3)];
        let team = ["red", "blue"][self.rng.usize(0..2)];
        let run_seconds = self.rng.u64(3..25);
        let priority = match plan.workload {
            Workload::Overload => PRIORITIES[index as usize % PRIORITIES.len()],
            _ => "standard",
        };
        let is_service = kind == JobKind::Service;
        let submission = Submission {
            team,
            kind,
            priority,
            tasks,
            cpus,
            spot_allowed: self.rng.bool(),
            expected_seconds: if is_service { 0 } else { run_seconds },
            ..Submission::batch(&id)
        };
        (submission, run_seconds)
    }

    /// Draws one or two dependencies from the jobs added so far, except services. Both may be the
    /// same job. Returns no dependencies if there is no such job.
    fn draw_dependencies(&self, rng: &mut fastrand::Rng) -> Vec<String> {
        let candidates = self.users.jobs.iter();
        let candidates = candidates.filter(|(_, job)| job.kind != JobKind::Service);
        let candidates: Vec<&String> = candidates.map(|(id, _)| id).collect();
        let count = rng.usize(1..3);
        if candidates.is_empty() {
            return Vec::new();
        }
        let draw = |_| candidates[rng.usize(0..candidates.len())].clone();
        (0..count).map(draw).collect()
    }
}
