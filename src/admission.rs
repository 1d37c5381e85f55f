//! The users' side: reading submissions, saying where a job stands, and the
//! limit on requests in progress.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::quota;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::{is_job_id, JobKind, JobSpec, Priority};
use salttiller_records::record::JobStage;
use salttiller_records::units::{self, Micros, MILLISECOND, SECOND};

mod wire {
    use super::{Deserialize, Serialize};

    #[derive(Deserialize)]
    pub struct Submission {
        #[serde(rename = "nameId")]
        pub id: String,
        pub crop: String,
        pub crew: String,
        pub furrow: String,
        pub rank: String,
        pub sheaves: u64,
        pub cores: f64,
        pub cards: f64,
        #[serde(rename = "memoryGb")]
        pub memory: f64,
        pub seed: String,
        #[serde(rename = "sizeGb")]
        pub size: f64,
        #[serde(default)]
        pub plots: Option<Vec<String>>,
        #[serde(default)]
        pub field: Option<String>,
        #[serde(rename = "samePlace")]
        pub same_place: bool,
        pub spread: bool,
        pub fallow: bool,
        #[serde(rename = "growthS")]
        pub growth: f64,
        #[serde(rename = "stookS")]
        pub stook: f64,
        #[serde(rename = "bindS")]
        pub bind: f64,
        #[serde(default, rename = "harvestS")]
        pub harvest: Option<f64>,
        #[serde(default)]
        pub trails: Option<Vec<String>>,
    }

    #[derive(Serialize)]
    pub struct State<'a> {
        #[serde(rename = "nameId")]
        pub id: &'a str,
        pub stage: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        pub done: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        pub running: Option<u32>,
    }
}

/// Why a submission is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// 400.
    #[error("malformed")]
    Malformed,
    /// 422.
    #[error("can never run: {0}")]
    Unsatisfiable(&'static str),
    /// 503.
    #[error("can't be decided yet: {0}")]
    Undecided(&'static str),
    /// 400.
    #[error("needs too many jobs: a record keeps about {0} of them")]
    TooManyDependencies(usize),
}

/// What a needed job takes up in a record: its id in quotes and a comma, ids of up to
/// ten digits.
const NEED_BYTES: usize = 17;

/// Whether bytes begin a MessagePack map; a list would be read as one too.
fn is_map(body: &[u8]) -> bool {
    matches!(body.first(), Some(0x80..=0x8f | 0xde | 0xdf))
}

/// Reads a submission. `wall` is the time of day.
pub fn parse_submission(body: &[u8], wall: Micros) -> Result<(String, JobSpec), AdmissionError> {
    if !is_map(body) {
        return Err(AdmissionError::Malformed);
    }
    let mut de = rmp_serde::Deserializer::from_read_ref(body);
    let w = wire::Submission::deserialize(&mut de).map_err(|e| {
        log::debug!("intake: submission: {e}");
        AdmissionError::Malformed
    })?;
    let span = |s: f64| (s.is_finite() && (0.0..=1e9).contains(&s)).then(|| units::secs(s));
    let amount = |a: f64| (a.is_finite() && (0.0..=1e6).contains(&a)).then(|| units::need(a));
    let spec = || -> Option<JobSpec> {
        Some(JobSpec {
            kind: match w.furrow.as_str() {
                "batch" => JobKind::Array,
                "gang" => JobKind::Gang,
                "standing" => JobKind::Service,
                _ => return None,
            },
            priority: match w.rank.as_str() {
                "critical" => Priority::Production,
                "urgent" => Priority::High,
                "standard" => Priority::Normal,
                "low" => Priority::Low,
                _ => return None,
            },
            task_count: u32::try_from(w.sheaves)
                .ok()
                .filter(|n| (1..=100_000).contains(n))?,
            cpus: amount(w.cores)?,
            gpus: amount(w.cards)?,
            memory: amount(w.memory)?,
            image_size: amount(w.size)?,
            estimated_run_time: span(w.growth)?,
            checkpoint_interval: span(w.stook)?,
            checkpoint_time: span(w.bind)?,
            deadline: match w.harvest {
                None => None,
                Some(d) => Some(span(d)?),
            },
            class: w.crop.clone(),
            team: w.crew.clone(),
            allowed_types: w.plots.clone(),
            zone: w.field.clone(),
            single_zone: w.same_place,
            spread_zones: w.spread,
            allows_spot: w.fallow,
            image: w.seed.clone(),
            submitted_at: wall,
            dependencies: {
                let needs: std::collections::BTreeSet<_> = w.trails.iter().flatten().collect();
                if needs.iter().any(|n| !is_job_id(n) || **n == w.id) {
                    return None;
                }
                needs.into_iter().cloned().collect()
            },
            stored_spec: None,
        })
    };
    // Keys may not hold more than 200 bytes, nor the record more than a value.
    if !is_job_id(&w.id) || w.cores <= 0.0 {
        return Err(AdmissionError::Malformed);
    }
    spec()
        .map(|s| (w.id.clone(), s))
        .ok_or(AdmissionError::Malformed)
}

/// Whether a job can ever run here.
pub fn check_satisfiable(
    spec: &JobSpec,
    replica: &Replica,
    settings: &Settings,
) -> Result<(), AdmissionError> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(AdmissionError::Unsatisfiable("unknown team"));
    };
    if !quota::can_ever(
        spec.kind,
        spec.task_count,
        spec.quota_per_task(),
        team.limit,
    ) {
        return Err(AdmissionError::Unsatisfiable("more than the team's limit"));
    }
    if replica.machine_types.is_empty() {
        return Err(AdmissionError::Undecided("machine types unknown"));
    }
    let types = || replica.machine_types.values().map(|f| &f.value);
    if !types().any(|f| spec.fits_machine_type(f)) {
        return Err(AdmissionError::Unsatisfiable(
            "a task fits no allowed machine type",
        ));
    }
    // Types are sold by zone: one that fits but is not to be had in the only allowed
    // zone is as good as none.
    let here = |z: &String| types().any(|f| spec.fits_machine_type(f) && f.zones.contains(z));
    if let Some(z) = &spec.zone {
        let known = settings.zones.contains(z) || types().any(|f| f.zones.contains(z));
        if !known {
            return Err(AdmissionError::Unsatisfiable("unknown zone"));
        }
        if !here(z) {
            return Err(AdmissionError::Unsatisfiable(
                "a task fits no machine type of its zone",
            ));
        }
    }
    if spec.spread_zones && spec.task_count > 1 {
        if spec.single_zone || spec.zone.is_some() {
            return Err(AdmissionError::Unsatisfiable(
                "it must be spread and in one zone at once",
            ));
        }
        let zones: std::collections::BTreeSet<_> = types().flat_map(|f| &f.zones).collect();
        if zones.into_iter().filter(|z| here(z)).count() < 2 {
            return Err(AdmissionError::Unsatisfiable(
                "it must be spread over more zones than fit",
            ));
        }
    }
    let length = |s: &JobSpec| serde_json::to_string(s).map_or(usize::MAX, |t| t.len()) + 1024;
    if length(spec) > settings.max_value_bytes {
        if !spec.dependencies.is_empty() {
            let bare = length(&JobSpec {
                dependencies: Vec::new(),
                ..spec.clone()
            });
            if let Some(room) = settings.max_value_bytes.checked_sub(bare) {
                return Err(AdmissionError::TooManyDependencies(room / NEED_BYTES));
            }
        }
        return Err(AdmissionError::Unsatisfiable(
            "its description is too long to keep",
        ));
    }
    Ok(())
}

/// The body that says where a job stands.
pub fn encode_job_state(id: &str, stage: JobStage, counts: Option<(u32, u32)>) -> Vec<u8> {
    let running = counts.is_some_and(|(_, r)| r > 0);
    let stage = match stage {
        JobStage::Open if running => "running",
        JobStage::Open => "queued",
        JobStage::Done => "done",
        JobStage::Cancelled => "cancelled",
    };
    rmp_serde::to_vec_named(&wire::State {
        id,
        stage,
        done: counts.map(|c| c.0),
        running: counts.map(|c| c.1),
    })
    .unwrap_or_default()
}

/// A limit on requests in progress that adjusts itself to measured times: while
/// the state service answers as fast as it has shown it can, the limit grows by
/// steps when it is being reached; when answers get slow, it shrinks by a share.
pub struct ConcurrencyLimiter {
    limit: f64,
    most: f64,
    window: Histogram<u64>,
    /// The best high quantile of any window: what is possible here.
    floor: Option<u64>,
    window_ends: Micros,
    peak: usize,
}

const LEAST: f64 = 4.0;
const WINDOW: Micros = SECOND;

impl ConcurrencyLimiter {
    /// A limiter that never lets more than `most` in.
    pub fn new(most: usize) -> Self {
        let most = (most as f64).max(LEAST);
        ConcurrencyLimiter {
            limit: 32f64.min(most),
            most,
            // The bounds are constant and valid; auto-resize is not needed.
            window: Histogram::new_with_bounds(1, 60 * SECOND, 2)
                .unwrap_or_else(|_| unreachable!("constant bounds")),
            floor: None,
            window_ends: 0,
            peak: 0,
        }
    }

    /// Whether one more may come in beside `in_progress` others.
    pub fn admits(&mut self, in_progress: usize) -> bool {
        self.peak = self.peak.max(in_progress + 1);
        in_progress < self.limit()
    }

    /// The limit now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Takes a measured time.
    pub fn record_latency(&mut self, took: Micros, now: Micros) {
        self.window.saturating_record(took.max(1));
        if now < self.window_ends || self.window.len() < 4 {
            return;
        }
        let high = self.window.value_at_quantile(0.8);
        self.window.reset();
        self.window_ends = now + WINDOW;
        let floor = self.floor.map_or(high, |f| f.min(high));
        // Forget slowly, so that one lucky window doesn't set the bar for ever.
        self.floor = Some(floor + floor / 50 + 1);
        if high > 3 * floor + 50 * MILLISECOND {
            self.limit = (self.limit * 0.8).max(LEAST);
        } else if self.peak as f64 * 1.2 >= self.limit {
            self.limit = (self.limit + 4.0).min(self.most);
        }
        self.peak = 0;
    }
}

#[cfg(test)]
mod tests;
