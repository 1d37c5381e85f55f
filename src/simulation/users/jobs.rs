//! Submissions, and the state of the submitted jobs.

use std::collections::BTreeSet;

use salttiller_records::units::Micros;
use serde_json::{json, Value};

/// Kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// The tasks run independently of each other.
    Batch,
    /// All tasks run together or none runs.
    Gang,
    /// The tasks run until they are stopped.
    Service,
}

impl JobKind {
    fn wire_name(self) -> &'static str {
        match self {
            JobKind::Batch => "batch",
            JobKind::Gang => "gang",
            JobKind::Service => "standing",
        }
    }
}

/// A user's submission. [`Submission::batch`] returns defaults for the fields.
pub(crate) struct Submission {
    pub id: String,
    pub team: &'static str,
    pub kind: JobKind,
    pub priority: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    /// Acceptable machine types; `None` accepts any.
    pub machine_types: Option<&'static [&'static str]>,
    /// Whether the tasks may run on spot machines.
    pub spot_allowed: bool,
    /// Whether all tasks must run in the same zone.
    pub single_zone: bool,
    /// Expected run time in seconds; 0 if the job runs until it is stopped.
    pub expected_seconds: u64,
    /// Dependencies, which must be done before the job starts; with `None` the submission lacks the
    /// field.
    pub dependencies: Option<Vec<String>>,
}

impl Submission {
    /// Returns a batch job of team `red` with one task that needs one processor.
    pub(crate) fn batch(id: &str) -> Self {
        Submission {
            id: id.into(),
            team: "red",
            kind: JobKind::Batch,
            priority: "standard",
            tasks: 1,
            cpus: 1.0,
            memory_gb: 1.0,
            image_gb: 1.0,
            machine_types: None,
            spot_allowed: false,
            single_zone: false,
            expected_seconds: 0,
            dependencies: None,
        }
    }

    /// Returns the body of the request.
    pub(crate) fn body(&self) -> Value {
        let mut body = json!({"nameId": self.id, "crop": "x", "crew": self.team, "furrow": self.kind.wire_name(),
            "rank": self.priority, "sheaves": self.tasks, "cores": self.cpus, "cards": 0.0,
            "memoryGb": self.memory_gb, "seed": "img", "sizeGb": self.image_gb,
            "plots": self.machine_types, "field": null, "samePlace": self.single_zone, "spread": false,
            "fallow": self.spot_allowed, "growthS": self.expected_seconds, "stookS": 0.0, "bindS": 0.0,
            "harvestS": null});
        if let Some(dependencies) = &self.dependencies {
            body["trails"] = json!(dependencies);
        }
        body
    }
}

/// A job: its actual state, and the state known to its user.
pub(crate) struct Job {
    /// Body of the submission.
    pub submission: Value,
    pub team: &'static str,
    pub kind: JobKind,
    pub tasks: u32,
    pub cpus: f64,
    pub spot_allowed: bool,
    /// Jobs that must be done before this job starts.
    pub dependencies: Vec<String>,
    /// Run time of each task.
    pub run_time: Micros,
    /// Whether the job's tasks fail on every machine.
    pub always_fails: bool,
    /// Whether the submission was confirmed to the user.
    pub accepted: bool,
    /// Time of the last successful response to a request about the job.
    pub last_answered_at: Micros,
    pub cancel_requested: bool,
    /// Time at which the cancellation was first confirmed to the user.
    pub cancel_confirmed_at: Option<Micros>,
    /// Whether the completion was confirmed to the user.
    pub completion_confirmed: bool,
    /// Time at which the final stage, done or cancelled, was first confirmed to the user; 0 if it
    /// was not.
    pub final_stage_at: Micros,
    /// Whether the user no longer sends requests about the job.
    pub abandoned: bool,
    /// Numbers of the tasks that are done.
    pub results: BTreeSet<u32>,
    /// Number of starts of the job's tasks.
    pub starts: u32,
    /// Number of leader elections before the job's first result.
    pub elections_before_result: u32,
}

impl Job {
    /// Creates a job that has not been submitted yet; each task runs for `run_time`.
    pub(crate) fn new(submission: &Submission, run_time: Micros) -> Self {
        Job {
            submission: submission.body(),
            team: submission.team,
            kind: submission.kind,
            tasks: submission.tasks,
            cpus: submission.cpus,
            spot_allowed: submission.spot_allowed,
            dependencies: submission.dependencies.clone().unwrap_or_default(),
            run_time,
            always_fails: false,
            accepted: false,
            last_answered_at: 0,
            cancel_requested: false,
            cancel_confirmed_at: None,
            completion_confirmed: false,
            final_stage_at: 0,
            abandoned: false,
            results: BTreeSet::new(),
            starts: 0,
            elections_before_result: 0,
        }
    }

    /// Whether every task is done.
    pub(crate) fn has_all_results(&self) -> bool {
        self.results.len() as u32 == self.tasks
    }

    /// Whether the user has received a confirmation that the job is done or cancelled.
    pub(crate) fn is_final(&self) -> bool {
        self.completion_confirmed || self.cancel_confirmed_at.is_some()
    }
}
