//! How the service does by the users' aims, and what operators are told: one
//! warning when an aim falls behind, one line when it is met again, and the
//! status page that `salttiller status` asks for.

pub mod conditions;
pub mod pipelines;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::peer_protocol::{ObjectiveStatus, Status};
use crate::settings::{Objective, OperatorSettings};
use crate::state_store::pipelines::PipelineEnd;
use conditions::{Condition, ConditionWatch};
use pipelines::{expected_end, PipelineWatch, Step};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{to_secs, Micros, SECOND};

/// What operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Alert {
    /// A class falls behind an aim.
    ObjectiveBreached(String),
    /// It is met again.
    ObjectiveRecovered(String),
    /// A pipeline will miss its deadline.
    PipelineLate(String),
    /// It will be in time after all.
    PipelineRecovered(String),
    /// Something that operators should know of.
    ConditionRaised(String),
    /// It is over.
    ConditionCleared(String),
}

impl Alert {
    /// Whether somebody should look at it.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Alert::ObjectiveBreached(_) | Alert::PipelineLate(_) | Alert::ConditionRaised(_)
        )
    }
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Alert::ObjectiveBreached(what) => write!(f, "aim behind: {what}"),
            Alert::ObjectiveRecovered(what) => write!(f, "aim met again: {what}"),
            Alert::PipelineLate(what) => write!(f, "pipeline behind: {what}"),
            Alert::PipelineRecovered(what) => write!(f, "pipeline in time again: {what}"),
            Alert::ConditionRaised(what) => write!(f, "{what}"),
            Alert::ConditionCleared(what) => write!(f, "over: {what}"),
        }
    }
}

/// Counts over a sliding window, kept in slices so that old ones drop off.
#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, u32, u32)>,
}

impl Window {
    fn add(&mut self, slice: u64, met: bool) {
        if self.slices.back().is_none_or(|s| s.0 != slice) {
            self.slices.push_back((slice, 0, 0));
        }
        if let Some(s) = self.slices.back_mut() {
            s.1 += u32::from(met);
            s.2 += 1;
        }
    }

    /// Met and all, after dropping what is older than `oldest`.
    fn counts(&mut self, oldest: u64) -> (u32, u32) {
        while self.slices.front().is_some_and(|s| s.0 < oldest) {
            self.slices.pop_front();
        }
        self.slices
            .iter()
            .fold((0, 0), |a, s| (a.0 + s.1, a.1 + s.2))
    }
}

/// Whether an aim is being met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Met,
    Behind,
}

struct TrackedObjective {
    objective: Objective,
    window: Window,
    standing: Standing,
}

impl TrackedObjective {
    fn name(&self) -> String {
        let class = self.objective.class.as_deref().unwrap_or("all classes");
        match self.objective.threshold {
            Some(w) => format!(
                "{class}, {} within {:.0} s",
                self.objective.kind,
                to_secs(w)
            ),
            None => format!("{class}, {}", self.objective.kind),
        }
    }
}

struct TrackedJob {
    submitted: Micros,
    deadline: Option<Micros>,
    class: String,
    guaranteed: bool,
    started: Option<Micros>,
    judged: BTreeSet<usize>,
}

/// A job as it is seen just now.
pub struct ObservedJob<'a> {
    /// Name.
    pub id: &'a str,
    /// Submission.
    pub spec: &'a JobSpec,
    /// Fits into its team's guarantee.
    pub guaranteed: bool,
    /// Some task of it runs or has run.
    pub started: bool,
    /// The pipeline that it is a step of, if that has a deadline.
    pub pipeline: Option<PipelineEnd<'a>>,
}

/// The aims, and what is known of the jobs that count for them.
pub struct AlertMonitor {
    aims: Vec<TrackedObjective>,
    jobs: BTreeMap<String, TrackedJob>,
    slice: Micros,
    least: u32,
    margin: f64,
    signals: VecDeque<String>,
    pipelines: PipelineWatch,
    conditions: ConditionWatch,
}

const SLICES: u64 = 10;
const SIGNALS_KEPT: usize = 10;

impl AlertMonitor {
    /// The aims of the settings, with the operators' thresholds.
    pub fn new(objectives: &[Objective], op: &OperatorSettings) -> Self {
        AlertMonitor {
            aims: objectives
                .iter()
                .filter(|o| {
                    matches!(
                        o.kind.as_str(),
                        "wait" | "finished" | "deadline" | "guarantee"
                    )
                })
                .map(|o| TrackedObjective {
                    objective: o.clone(),
                    window: Window::default(),
                    standing: Standing::Met,
                })
                .collect(),
            jobs: BTreeMap::new(),
            slice: (op.alert_window / SLICES).max(SECOND),
            least: op.alert_min_jobs,
            margin: op.alert_recovery_margin,
            signals: VecDeque::new(),
            pipelines: PipelineWatch::new(op.alert_recovery_margin),
            conditions: ConditionWatch::default(),
        }
    }

    /// Takes a look at the open jobs. `done` says whether one that is no longer
    /// open was done (and not cancelled); `wall` is the time of day, `cause` what
    /// is wrong just now. Returns the signals to give.
    pub fn observe_jobs<'a>(
        &mut self,
        open: impl Iterator<Item = ObservedJob<'a>>,
        done: impl Fn(&str) -> bool,
        is_open: impl Fn(&str) -> bool,
        wall: Micros,
        cause: &str,
    ) -> Vec<Alert> {
        let mut here = BTreeSet::new();
        let mut steps = Vec::new();
        for s in open {
            here.insert(s.id.to_owned());
            let t = self
                .jobs
                .entry(s.id.to_owned())
                .or_insert_with(|| TrackedJob {
                    submitted: s.spec.submitted_at,
                    deadline: s.spec.deadline,
                    class: s.spec.class.clone(),
                    guaranteed: s.guaranteed,
                    started: None,
                    judged: BTreeSet::new(),
                });
            if s.started {
                t.started.get_or_insert(wall);
            }
            if let (Some(end), Some(deadline)) = (s.pipeline, s.spec.deadline) {
                steps.push(Step {
                    id: s.id,
                    last: end.id,
                    class: end.class,
                    deadline: end.deadline,
                    due: s.spec.submitted_at + deadline,
                    expected: expected_end(t.started, s.spec.estimated_run_time, wall),
                });
            }
        }
        let gone: Vec<String> = self
            .jobs
            .keys()
            .filter(|id| !here.contains(*id))
            .cloned()
            .collect();
        for (id, t) in self.jobs.iter_mut() {
            let finished = (!here.contains(id) && done(id)).then_some(wall);
            if !here.contains(id) && finished.is_none() {
                continue; // cancelled: counts for nothing
            }
            for (i, a) in self.aims.iter_mut().enumerate() {
                if let Some(met) = judge(&a.objective, t, finished, wall) {
                    if t.judged.insert(i) {
                        a.window.add(wall / self.slice, met);
                    }
                }
            }
        }
        for id in gone {
            self.jobs.remove(&id);
        }
        let oldest = (wall / self.slice).saturating_sub(SLICES - 1);
        let mut out = Vec::new();
        for a in &mut self.aims {
            let (met, all) = a.window.counts(oldest);
            let aim = a.objective.target;
            let share = if all == 0 {
                1.0
            } else {
                met as f64 / all as f64
            };
            let next = match a.standing {
                Standing::Met if all >= self.least && share < aim => Standing::Behind,
                // Some way above the aim, so that it doesn't flap about it; with
                // nothing left in the window there is nothing behind either.
                Standing::Behind if all == 0 || share >= (aim + self.margin).min(1.0) => {
                    Standing::Met
                }
                same => same,
            };
            if next != a.standing {
                a.standing = next;
                let figures = format!("{:.0}% of {all}, aim {:.0}%", share * 100.0, aim * 100.0);
                out.push(match next {
                    Standing::Behind => Alert::ObjectiveBreached(format!(
                        "{}: {figures}, likely cause: {cause}",
                        a.name()
                    )),
                    Standing::Met => Alert::ObjectiveRecovered(format!("{}: {figures}", a.name())),
                });
            }
        }
        out.extend(self.pipelines.observe(steps.into_iter(), is_open, cause));
        self.keep(&out);
        out
    }

    /// Takes a look at the conditions that there are just now.
    pub fn observe_conditions(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Alert> {
        let signals = self.conditions.observe(current, now);
        self.keep(&signals);
        signals
    }

    /// Keeps signals for the status page.
    fn keep(&mut self, signals: &[Alert]) {
        for s in signals {
            if self.signals.len() == SIGNALS_KEPT {
                self.signals.pop_front();
            }
            self.signals.push_back(s.to_string());
        }
    }

    /// Fills in the aims' part of the status page.
    pub fn fill_status(&mut self, status: &mut Status, wall: Micros) {
        let oldest = (wall / self.slice).saturating_sub(SLICES - 1);
        status.objectives = self
            .aims
            .iter_mut()
            .map(|a| {
                let (met, all) = a.window.counts(oldest);
                ObjectiveStatus {
                    objective: a.name(),
                    met,
                    total: all,
                    target: a.objective.target,
                    breached: a.standing == Standing::Behind,
                }
            })
            .collect();
        let behind = self.pipelines.late_count() as u32;
        if behind > 0 {
            let line = "(pipelines that will miss their deadline)".to_owned();
            status.pending_tasks.push((line, behind));
        }
        status.alerts = self.signals.iter().cloned().collect();
    }
}

/// Whether a job met an objective; `None` while that is open, or if it doesn't
/// count for it.
fn judge(o: &Objective, t: &TrackedJob, finished: Option<Micros>, wall: Micros) -> Option<bool> {
    if o.class.as_ref().is_some_and(|c| *c != t.class) || (o.kind == "guarantee" && !t.guaranteed) {
        return None;
    }
    let (event, by) = match o.kind.as_str() {
        "wait" | "guarantee" => (t.started.or(finished), t.submitted + o.threshold?),
        "finished" => (finished, t.submitted + o.threshold?),
        _ => (finished, t.submitted + t.deadline?),
    };
    match event {
        Some(at) => Some(at <= by),
        None => (wall > by).then_some(false),
    }
}

/// The status page as text.
pub fn text(s: &Status) -> String {
    use std::fmt::Write;
    let mut out = String::new();
    let yes = |b: bool| if b { "yes" } else { "no" };
    let _ = writeln!(out, "{} (run {})", s.name, s.incarnation);
    let _ = writeln!(
        out,
        "  leader: {}",
        s.leader.as_deref().unwrap_or("none known")
    );
    let _ = writeln!(
        out,
        "  authority for {:.1} s, reads recent: {}",
        to_secs(s.authority_remaining_us),
        yes(s.reads_recent)
    );
    for r in &s.regions {
        let _ = writeln!(
            out,
            "  region {}: owner {}, token {}, settled: {}, machines {} ({} open), waiting tasks {}",
            r.region,
            r.owner.as_deref().unwrap_or("none"),
            r.token,
            yes(r.reconciled),
            r.machines,
            r.ready_machines,
            r.pending_tasks
        );
    }
    for (class, n) in &s.pending_tasks {
        let _ = writeln!(out, "  waiting, {class}: {n}");
    }
    for a in &s.objectives {
        let state = if a.breached { "BEHIND" } else { "ok" };
        let _ = writeln!(
            out,
            "  aim {}: {} of {} (aim {:.0}%) {state}",
            a.objective,
            a.met,
            a.total,
            a.target * 100.0
        );
    }
    for l in &s.alerts {
        let _ = writeln!(out, "  signal: {l}");
    }
    out
}

#[cfg(test)]
mod tests;
