//! Submissions, and the jobs that they begin.

use std::collections::BTreeSet;

use salttiller_records::units::Micros;
use serde_json::{json, Value};

/// The kinds of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// Tasks that run independently of each other.
    Batch,
    /// Tasks that run together or not at all.
    Gang,
    /// Tasks that run until they are stopped.
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

/// A submission as a user writes it; begin with [`Submission::batch`] and set what differs.
pub(crate) struct Submission {
    pub id: String,
    pub team: &'static str,
    pub kind: JobKind,
    pub priority: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    /// Machine types that will do; `None`: any.
    pub machine_types: Option<&'static [&'static str]>,
    /// Whether spot machines will do.
    pub spot_allowed: bool,
    /// The expected run time in seconds; 0: until it is stopped.
    pub expected_seconds: u64,
    /// Jobs that must be done before it; `None`: the submission has no such field.
    pub dependencies: Option<Vec<String>>,
}

impl Submission {
    /// A batch of one task of one processor, of team `red`.
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
            expected_seconds: 0,
            dependencies: None,
        }
    }

    /// The body of the request.
    pub(crate) fn body(&self) -> Value {
        let mut body = json!({"nameId": self.id, "crop": "x", "crew": self.team, "furrow": self.kind.wire_name(),
            "rank": self.priority, "sheaves": self.tasks, "cores": self.cpus, "cards": 0.0,
            "memoryGb": self.memory_gb, "seed": "img", "sizeGb": self.image_gb,
            "plots": self.machine_types, "field": null, "samePlace": false, "spread": false,
            "fallow": self.spot_allowed, "growthS": self.expected_seconds, "stookS": 0.0, "bindS": 0.0,
            "harvestS": null});
        if let Some(dependencies) = &self.dependencies {
            body["trails"] = json!(dependencies);
        }
        body
    }
}

/// A job, as its user knows it and as it really is.
pub(crate) struct Job {
    /// The body of its submission.
    pub submission: Value,
    pub team: &'static str,
    pub kind: JobKind,
    pub tasks: u32,
    pub cpus: f64,
    pub spot_allowed: bool,
    /// Jobs that must be done before it.
    pub dependencies: Vec<String>,
    /// How long each task runs.
    pub run_time: Micros,
    /// Its tasks fail wherever they run.
    pub always_fails: bool,
    /// Its submission was confirmed.
    pub accepted: bool,
    /// When a request about it was answered last.
    pub last_answered_at: Micros,
    pub cancel_requested: bool,
    /// When its user was told first that it is cancelled.
    pub cancel_confirmed_at: Option<Micros>,
    /// Its user was told that it is done.
    pub completion_confirmed: bool,
    /// When its user was told first that it is done or cancelled; 0: not yet.
    pub final_stage_at: Micros,
    /// Its user has given up on it.
    pub abandoned: bool,
    /// Tasks that are done.
    pub results: BTreeSet<u32>,
    /// Starts of its tasks.
    pub starts: u32,
    /// How many leaders had been elected at its first result.
    pub elections_before_result: u32,
}

impl Job {
    /// A job that was not submitted yet; each task runs for `run_time`.
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

    /// Whether each task is done.
    pub(crate) fn has_all_results(&self) -> bool {
        self.results.len() as u32 == self.tasks
    }

    /// Whether its user was told that it is done or cancelled.
    pub(crate) fn is_final(&self) -> bool {
        self.completion_confirmed || self.cancel_confirmed_at.is_some()
    }
}
