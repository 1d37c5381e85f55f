//! How the service does by the users' aims, and what operators are told: one
//! warning when an aim falls behind, one line when it is met again, and the
//! status page that `salttiller status` asks for.

pub mod conditions;
pub mod pipelines;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::peer_protocol::{ObjectiveStatus, Status};
use crate::settings::{Objective, Operator};
use crate::state_store::pipelines::PipelineEnd;
use conditions::{Condition, ConditionWatch};
use pipelines::{expected_end, PipelineWatch, Step};
use salttiller_records::model::JobSpec;
use salttiller_records::units::{to_secs, Micros, SECOND};

/// What operators are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Signal {
    /// A class falls behind an aim.
    AimBehind(String),
    /// It is met again.
    AimMetAgain(String),
    /// A pipeline will miss its deadline.
    PipelineBehind(String),
    /// It will be in time after all.
    PipelineInTime(String),
    /// Something that operators should know of.
    Condition(String),
    /// It is over.
    ConditionOver(String),
}

impl Signal {
    /// Whether somebody should look at it.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Signal::AimBehind(_) | Signal::PipelineBehind(_) | Signal::Condition(_)
        )
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Signal::AimBehind(what) => write!(f, "aim behind: {what}"),
            Signal::AimMetAgain(what) => write!(f, "aim met again: {what}"),
            Signal::PipelineBehind(what) => write!(f, "pipeline behind: {what}"),
            Signal::PipelineInTime(what) => write!(f, "pipeline in time again: {what}"),
            Signal::Condition(what) => write!(f, "{what}"),
            Signal::ConditionOver(what) => write!(f, "over: {what}"),
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

struct Aim {
    objective: Objective,
    window: Window,
    standing: Standing,
}

impl Aim {
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

struct Track {
    submitted: Micros,
    deadline: Option<Micros>,
    class: String,
    guaranteed: bool,
    started: Option<Micros>,
    judged: BTreeSet<usize>,
}

/// A job as it is seen just now.
pub struct Seen<'a> {
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
pub struct Aims {
    aims: Vec<Aim>,
    jobs: BTreeMap<String, Track>,
    slice: Micros,
    least: u32,
    margin: f64,
    signals: VecDeque<String>,
    pipelines: PipelineWatch,
    conditions: ConditionWatch,
}

const SLICES: u64 = 10;
const SIGNALS_KEPT: usize = 10;

impl Aims {
    /// The aims of the settings, with the operators' thresholds.
    pub fn new(objectives: &[Objective], op: &Operator) -> Self {
        Aims {
            aims: objectives
                .iter()
                .filter(|o| {
                    matches!(
                        o.kind.as_str(),
                        "wait" | "finished" | "deadline" | "guarantee"
                    )
                })
                .map(|o| Aim {
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
    pub fn look<'a>(
        &mut self,
        open: impl Iterator<Item = Seen<'a>>,
        done: impl Fn(&str) -> bool,
        is_open: impl Fn(&str) -> bool,
        wall: Micros,
        cause: &str,
    ) -> Vec<Signal> {
        let mut here = BTreeSet::new();
        let mut steps = Vec::new();
        for s in open {
            here.insert(s.id.to_owned());
            let t = self.jobs.entry(s.id.to_owned()).or_insert_with(|| Track {
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
                    Standing::Behind => {
                        Signal::AimBehind(format!("{}: {figures}, likely cause: {cause}", a.name()))
                    }
                    Standing::Met => Signal::AimMetAgain(format!("{}: {figures}", a.name())),
                });
            }
        }
        out.extend(self.pipelines.look(steps.into_iter(), is_open, cause));
        self.keep(&out);
        out
    }

    /// Takes a look at the conditions that there are just now.
    pub fn look_at_conditions(&mut self, current: Vec<Condition>, now: Micros) -> Vec<Signal> {
        let signals = self.conditions.look(current, now);
        self.keep(&signals);
        signals
    }

    /// Keeps signals for the status page.
    fn keep(&mut self, signals: &[Signal]) {
        for s in signals {
            if self.signals.len() == SIGNALS_KEPT {
                self.signals.pop_front();
            }
            self.signals.push_back(s.to_string());
        }
    }

    /// Fills in the aims' part of the status page.
    pub fn fill(&mut self, status: &mut Status, wall: Micros) {
        let oldest = (wall / self.slice).saturating_sub(SLICES - 1);
        status.aims = self
            .aims
            .iter_mut()
            .map(|a| {
                let (met, all) = a.window.counts(oldest);
                ObjectiveStatus {
                    aim: a.name(),
                    met,
                    all,
                    share: a.objective.target,
                    behind: a.standing == Standing::Behind,
                }
            })
            .collect();
        let behind = self.pipelines.count() as u32;
        if behind > 0 {
            let line = "(pipelines that will miss their deadline)".to_owned();
            status.waiting.push((line, behind));
        }
        status.signals = self.signals.iter().cloned().collect();
    }
}

/// Whether a job met an objective; `None` while that is open, or if it doesn't
/// count for it.
fn judge(o: &Objective, t: &Track, finished: Option<Micros>, wall: Micros) -> Option<bool> {
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
    let _ = writeln!(out, "{} (run {})", s.name, s.run);
    let _ = writeln!(
        out,
        "  leader: {}",
        s.leader.as_deref().unwrap_or("none known")
    );
    let _ = writeln!(
        out,
        "  authority for {:.1} s, reads recent: {}",
        to_secs(s.authority_us),
        yes(s.fresh)
    );
    for r in &s.regions {
        let _ = writeln!(
            out,
            "  region {}: owner {}, token {}, settled: {}, machines {} ({} open), waiting tasks {}",
            r.region,
            r.owner.as_deref().unwrap_or("none"),
            r.token,
            yes(r.settled),
            r.machines,
            r.live,
            r.waiting
        );
    }
    for (class, n) in &s.waiting {
        let _ = writeln!(out, "  waiting, {class}: {n}");
    }
    for a in &s.aims {
        let state = if a.behind { "BEHIND" } else { "ok" };
        let _ = writeln!(
            out,
            "  aim {}: {} of {} (aim {:.0}%) {state}",
            a.aim,
            a.met,
            a.all,
            a.share * 100.0
        );
    }
    for l in &s.signals {
        let _ = writeln!(out, "  signal: {l}");
    }
    out
}

#[cfg(test)]
mod tests;
