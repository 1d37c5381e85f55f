//! The order in which waiting jobs are served.

use super::reservation::SHARE_HOLD_LIMIT;
use super::*;

/// Jobs with pending tasks in scheduling order, and what that order depends on.
#[derive(Debug, Default)]
pub(super) struct JobQueue {
    /// Jobs in the order in which they are served.
    pub(super) ready: BTreeMap<OrderKey, JobId>,
    /// Jobs to look at again at a time: their rank changes, or a back-off ends.
    pub(super) wakeups: BTreeSet<(Micros, JobId)>,
    /// When an aged job may go first again.
    pub(super) next_aged_start_at: Micros,
    /// The last job of each team that fits into its guaranteed quota: time of submission, name.
    pub(super) last_guaranteed: BTreeMap<String, (u64, String)>,
    /// Teams whose guaranteed jobs are to be determined anew.
    pub(super) stale_teams: BTreeSet<String>,
}

/// Whether a job goes ahead of the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    /// It has not begun for so long that one task of it goes first, the job that was
    /// submitted first before others, whatever its priority.
    Ahead(Micros),
    /// It is served in the usual order.
    Usual,
}

/// The order of waiting jobs, least first; see [`Region::order_key`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    turn: Turn,
    /// It failed on several machines without a result: after all others.
    suspect: bool,
    /// It goes beyond its team's guarantee.
    pub beyond_guarantee: bool,
    priority: std::cmp::Reverse<salttiller_records::model::Priority>,
    /// TaskState of its class in the operators' precedence.
    precedence: usize,
    /// None of its aims can be met any more.
    past_aims: bool,
    /// No aim presses.
    relaxed: bool,
    /// What decides among equals: a time to start by, a size, or the age.
    weight: u64,
    submitted: Micros,
    id: JobId,
}

impl OrderKey {
    /// Whether one task of the job goes first.
    pub fn is_ahead(&self) -> bool {
        matches!(self.turn, Turn::Ahead(_))
    }
}

/// A job whose latest start is nearer than this goes before shorter ones.
const PRESSING: Micros = 15 * SECOND;

/// Whatever has waited so long since its submission goes by age from then on. Guards
/// against a class's largest jobs, or a class whose aims are all past, being passed
/// over under lasting overload: a minute is left of the four in which they must begin.
const PATIENCE: Micros = 180 * SECOND;

/// How long after its submission a job may be started and still meet its own
/// deadline and each aim of its class.
pub fn waiting_spans<'a>(
    s: &'a JobSpec,
    settings: &'a Settings,
) -> impl Iterator<Item = Micros> + 'a {
    let deadline = s.deadline.map(|d| d.saturating_sub(s.estimated_run_time));
    let aims = settings
        .objectives
        .iter()
        .filter(|o| o.class.as_deref() == Some(s.class.as_str()))
        .filter_map(|o| match (o.kind.as_str(), o.threshold?) {
            ("wait", w) => Some(w),
            ("finished", w) => Some(w.saturating_sub(s.estimated_run_time)),
            _ => None,
        });
    deadline.into_iter().chain(aims)
}

/// The time of day by which a job must be started to meet the nearest of its
/// aims that can still be met: its own deadline, or what its class is expected.
/// `None` if there was one and it is past; far off if there never was one.
pub fn latest_start(s: &JobSpec, context: &SchedulingContext<'_>) -> Option<Micros> {
    let mut any = false;
    let mut best: Option<Micros> = None;
    let mut aim = |at: Micros| {
        any = true;
        if at >= context.wall {
            best = Some(best.map_or(at, |b| b.min(at)));
        }
    };
    for span in waiting_spans(s, context.settings) {
        aim(s.submitted_at + span);
    }
    if any {
        best
    } else {
        Some(s.submitted_at + 3600 * SECOND)
    }
}

impl Region {
    /// The order in which waiting jobs are served: those within their team's
    /// guarantee, then priority, then the operators' precedence. Among equals, gangs go
    /// by their age, so that a large one is never passed over for ever; of the
    /// others, those that can still meet an aim of their class go before those that
    /// can't, the pressing ones first, then the short ones: that way the most are in
    /// time. Also returns after what span this changes by itself.
    pub(super) fn queue_key(
        &self,
        id: &JobId,
        s: &JobSpec,
        context: &SchedulingContext<'_>,
    ) -> (OrderKey, Option<Micros>) {
        let precedence = context
            .settings
            .operator
            .class_precedence
            .iter()
            .position(|c| *c == s.class)
            .unwrap_or(usize::MAX);
        let guaranteed = self
            .queue
            .last_guaranteed
            .get(&s.team)
            .is_some_and(|last| (s.submitted_at, &**id) <= (last.0, last.1.as_str()));
        let suspect = self.jobs.get(id).is_some_and(|j| j.failures.is_suspect());
        // Guards against work of low priority that never begins while higher priority keeps
        // coming: once it is old enough a task starts now and then.
        let turn_in = self.jobs.get(id).and_then(|j| {
            let never_served = j.on_machines.is_empty() && s.kind == JobKind::Array && !suspect;
            let by_age = (s.submitted_at + PATIENCE).saturating_sub(context.wall);
            let by_last = (j.last_assigned + SHARE_HOLD_LIMIT).saturating_sub(context.now);
            let by_others = self.queue.next_aged_start_at.saturating_sub(context.now);
            never_served.then_some(by_age.max(by_last).max(by_others))
        });
        let key = |past_aims: bool, relaxed: bool, weight: u64| OrderKey {
            turn: match turn_in {
                Some(0) => Turn::Ahead(s.submitted_at),
                _ => Turn::Usual,
            },
            suspect,
            beyond_guarantee: !guaranteed,
            priority: std::cmp::Reverse(s.priority),
            precedence,
            past_aims,
            relaxed,
            weight,
            submitted: s.submitted_at,
            id: id.clone(),
        };
        // One task needs no others' places: it goes by its aims like the rest.
        let together = s.kind == JobKind::Gang && s.task_count > 1;
        let aged = s.submitted_at + PATIENCE;
        if together || context.wall >= aged {
            let change = turn_in.filter(|span| *span > 0);
            return (
                key(false, false, s.submitted_at),
                change.map(|c| c + MILLISECOND),
            );
        }
        let due = latest_start(s, context);
        let size = s.estimated_run_time.saturating_mul(s.task_count.into()) / 1000
            * (s.cpus / 1000).max(1);
        let pressing = due.is_some_and(|d| d < context.wall + PRESSING);
        let weight = if pressing { due.unwrap_or(0) } else { size };
        let change = match due {
            Some(d) if pressing => d,
            Some(d) => d - PRESSING,
            None => aged,
        };
        let span = change.min(aged).saturating_sub(context.wall) + MILLISECOND;
        (key(due.is_none(), !pressing, weight), Some(span))
    }

    /// Enters a job into the order of waiting jobs, or takes it out.
    pub(super) fn update_queue_position(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        self.set_queue_position(id, false, context);
    }

    /// A job's time to be looked at has come. Guards against one whose place stays as it
    /// is for now, since another had its turn: it is to be looked at again.
    pub(super) fn update_queue_position_when_due(
        &mut self,
        id: &JobId,
        context: &SchedulingContext<'_>,
    ) {
        self.set_queue_position(id, true, context);
    }

    fn set_queue_position(&mut self, id: &JobId, due: bool, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let waits = !job.pending.is_empty() && !job.is_over;
        let (key, again) = if waits {
            let spec = job.spec.clone();
            let (k, again) = self.queue_key(id, &spec, context);
            (Some(k), again)
        } else {
            (None, None)
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if due || job.queue_key != key {
            if let Some(old) = job.queue_key.take() {
                self.queue.ready.remove(&old);
            }
            job.queue_key.clone_from(&key);
            if let Some(k) = key {
                self.queue.ready.insert(k, id.clone());
                if let Some(span) = again {
                    self.queue.wakeups.insert((context.now + span, id.clone()));
                }
            }
        }
    }

    /// Follows which jobs fit into their teams' guarantees.
    pub(super) fn update_guaranteed_jobs(&mut self, context: &SchedulingContext<'_>) {
        for team in std::mem::take(&mut self.queue.stale_teams) {
            let last = quota::last_guaranteed(context.replica, context.settings, &team);
            let was = match &last {
                Some(l) => self.queue.last_guaranteed.insert(team.clone(), l.clone()),
                None => self.queue.last_guaranteed.remove(&team),
            };
            if was != last {
                let ids: Vec<JobId> = self
                    .queue
                    .ready
                    .values()
                    .filter(|id| self.jobs.get(*id).is_some_and(|j| j.spec.team == team))
                    .cloned()
                    .collect();
                for id in ids {
                    self.update_queue_position(&id, context);
                }
            }
        }
    }
}
