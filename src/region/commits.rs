//! What the region puts on record: progress, ends, shares of limits, tasks given
//! to another region; and what follows from each commit's end.

use super::*;
use crate::fault_injection::{is_disabled, Safeguard};

/// Commits in flight, and the actions to be carried out since the last call.
#[derive(Debug, Default)]
pub(super) struct CommitTracker {
    /// By commit number.
    in_flight: BTreeMap<u64, CommitKind>,
    /// Commits that failed on a condition, with the revision that the replica must reach
    /// before anything is concluded.
    conflicts: Vec<(u64, CommitKind)>,
    pub(super) actions: Vec<Action>,
}

/// How long the most that a team needed is remembered.
const PEAK_KEPT: Micros = 15 * SECOND;

impl Region {
    /// Notes under which ticket a commit went out.
    pub fn commit_sent(&mut self, ticket: u64, kind: CommitKind) {
        self.commits.in_flight.insert(ticket, kind);
    }

    /// Takes the end of a commit, if it was ours.
    pub fn on_committed(
        &mut self,
        ticket: u64,
        outcome: &CommitOutcome,
        context: &SchedulingContext<'_>,
    ) -> bool {
        let Some(kind) = self.commits.in_flight.remove(&ticket) else {
            return false;
        };
        match outcome {
            CommitOutcome::Committed(_) => self.conclude_commit(kind, true, context),
            CommitOutcome::Conflict(revision) => self.commits.conflicts.push((*revision, kind)),
            CommitOutcome::Refused => self.conclude_commit(kind, false, context),
            // May yet be carried out: what it would change stays set aside.
            CommitOutcome::Unknown => log::error!("region: {kind:?}: commit ended unknown"),
        }
        true
    }

    /// After a conflict nothing is concluded before the replica shows why.
    pub(super) fn resolve_conflicts(&mut self, context: &SchedulingContext<'_>) {
        let known = context.replica.revision;
        let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.commits.conflicts)
            .into_iter()
            .partition(|(r, _)| *r <= known);
        self.commits.conflicts = rest;
        for (_, kind) in ready {
            log::debug!("region: {kind:?}: conflict, looking again");
            self.conclude_commit(kind, false, context);
        }
    }

    pub(super) fn conclude_commit(
        &mut self,
        kind: CommitKind,
        done: bool,
        context: &SchedulingContext<'_>,
    ) {
        match kind {
            CommitKind::Progress(id, set) => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.commit_in_flight = false;
                    if done {
                        j.unrecorded_done.remove_all(&set);
                        if j.unrecorded_done.is_empty() {
                            self.unrecorded_jobs.remove(&id);
                        }
                    }
                    self.record_progress(&id, context);
                }
            }
            CommitKind::JobDone(id) => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.commit_in_flight = false;
                }
                if !done {
                    self.on_progress(&id, context);
                }
            }
            CommitKind::QuotaShare(team) => {
                if let Some(s) = self.quotas.by_team.get_mut(team.as_str()) {
                    s.committing = None;
                }
                self.triggers.teams.insert(team);
            }
            CommitKind::Rebind(id) => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    let back = std::mem::take(&mut j.rebinding);
                    j.commit_in_flight = false;
                    if !done {
                        j.pending.add_all(&back);
                    }
                }
                self.triggers.jobs.insert(id.clone());
                self.update_queue_position(&id, context);
                self.after_tasks_left(&id);
            }
            CommitKind::ActivateMachines(names) => {
                self.machine_records.activation_in_flight = false;
                if done {
                    for n in names {
                        self.machine_records.to_activate.remove(&n);
                    }
                }
            }
            CommitKind::RemoveMachines(names) => {
                self.machine_records.removal_in_flight = false;
                if done {
                    for n in names {
                        self.machine_records.to_remove.remove(&n);
                    }
                }
            }
        }
    }

    pub(super) fn ownership_condition(&self) -> Vec<(Key, u64)> {
        vec![(Key::Region(self.name.clone()), self.version)]
    }

    /// Has changes committed that rely on these revisions.
    pub(super) fn commit(
        &mut self,
        when: Vec<(Key, u64)>,
        apply: Vec<(Key, Option<serde_json::Value>)>,
        urgency: CommitPriority,
        kind: CommitKind,
    ) {
        let txn = Transaction {
            conditions: when,
            changes: apply,
            lease: None,
        };
        self.commits
            .actions
            .push(Action::Commit(txn, urgency, kind));
    }

    /// Puts finished tasks on record, and the job's end once all are.
    pub(super) fn record_progress(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        // Guards against an end written over a cancellation: the replica may show the job
        // cancelled, with the revision to rely on, before we come to that event, when
        // the last task's progress stands before it in the same answer.
        if context.is_job_over(id) {
            return;
        }
        let when = self.ownership_condition();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.commit_in_flight || job.is_over || job.spec.kind == JobKind::Service {
            return;
        }
        let mut all = context.replica.done_tasks(id);
        all.add_all(&job.unrecorded_done);
        let job_mark = context.replica.version(&Key::Job(id.to_string()));
        let complete = job.is_complete_with(all.len());
        if complete {
            let mut apply = vec![(
                Key::Job(id.to_string()),
                Some(value(&JobRecord {
                    stage: JobStage::Done,
                    spec: None,
                    task_ranges: Vec::new(),
                    multi_region: None,
                    ended_at: Some(context.wall),
                })),
            )];
            if let Some(chunks) = context.replica.progress.get(&**id) {
                for (r, c) in chunks.keys().take(context.settings.max_txn_ops - 1) {
                    apply.push((Key::Progress(id.to_string(), r.clone(), *c), None));
                }
            }
            let mut when = when;
            when.push((Key::Job(id.to_string()), job_mark));
            job.commit_in_flight = true;
            self.commit(
                when,
                apply,
                CommitPriority::Urgent,
                CommitKind::JobDone(id.clone()),
            );
            return;
        }
        // A result that is lost costs little: the task, started again, ends as soon
        // as it has its image. So results go on record as seldom as the state
        // service's rate asks for; but at once where another region waits for
        // them, since it can't see our share of the job otherwise.
        let here = job.bound.len() < job.spec.task_count && job.done.len() >= job.bound.len();
        let gap = (self.unrecorded_jobs.len() * context.settings.region_count()) as f64
            / (context.settings.min_store_write_rate * 0.15)
            * 1e6;
        let gap = (gap as Micros).max(3 * SECOND);
        let job_age = context.now.saturating_sub(job.last_progress_commit_at);
        if job.unrecorded_done.is_empty() || (!here && job_age < gap) || job_age < SECOND {
            return;
        }
        job.last_progress_commit_at = context.now;
        let mut when = when;
        // A job that was moved or ended meanwhile is looked at again first.
        when.push((Key::Job(id.to_string()), job_mark));
        let mut apply = Vec::new();
        let mut written = RangeSet::default();
        let mut chunk_done: Option<u32> = None;
        let most = (context.settings.max_txn_ops - 1).min(8);
        for (s, e) in job.unrecorded_done.iter() {
            for chunk in s / CHUNK..=(e - 1) / CHUNK {
                let (a, b) = (s.max(chunk * CHUNK), e.min((chunk + 1) * CHUNK));
                if chunk_done == Some(chunk) {
                    written.add(a, b);
                    continue;
                }
                if apply.len() >= most {
                    break;
                }
                chunk_done = Some(chunk);
                written.add(a, b);
                let key = Key::Progress(id.to_string(), self.name.clone(), chunk);
                let mut set = RangeSet::default();
                if let Some(old) = context
                    .replica
                    .progress
                    .get(&**id)
                    .and_then(|p| p.get(&(self.name.clone(), chunk)))
                {
                    read_bitmap(&old.value, chunk, &mut set);
                }
                set.add_all(&job.unrecorded_done);
                when.push((key.clone(), context.replica.version(&key)));
                apply.push((key, Some(value(&bitmap(&set, chunk)))));
            }
        }
        job.commit_in_flight = true;
        self.commit(
            when,
            apply,
            CommitPriority::Background,
            CommitKind::Progress(id.clone(), written),
        );
    }

    /// Finished tasks of a job came on record, perhaps those of another region.
    /// Guards against a job whose last tasks two regions put on record at the
    /// same moment, neither of them seeing the other's: whoever then sees that
    /// all are there ends it.
    pub fn on_progress(&mut self, id: &str, context: &SchedulingContext<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        if job.is_complete_with(context.replica.done_tasks(id).len() + job.unrecorded_done.len()) {
            let id = id.clone();
            self.record_progress(&id, context);
        }
    }

    /// What the region may use for a team just now.
    pub(super) fn quota_headroom(
        &self,
        team: &str,
        context: &SchedulingContext<'_>,
    ) -> QuotaAmount {
        if context
            .settings
            .team(team)
            .is_some_and(|t| t.limit.is_none())
        {
            return QuotaAmount::UNBOUNDED;
        }
        let rec = context.replica.quotas.get(team).map(|q| &q.value);
        let mut share = quota::share(rec, &self.name);
        match self.quotas.by_team.get(team) {
            None => share,
            Some(s) => {
                if let Some(p) = s.committing {
                    share = share.min(p);
                }
                if self.reconciliation.is_complete || is_disabled(Safeguard::InheritedShares) {
                    share.minus(s.used)
                } else {
                    share.minus(s.inherited).minus(s.used_by_our_starts)
                }
            }
        }
    }

    /// Takes what waiting tasks need of teams' limits, gives back what is spare.
    /// Shares go up by more than is needed just now and down only after a while,
    /// or when other regions find the limit used up: each change counts against
    /// the state service's rate.
    pub(super) fn update_quota_shares(&mut self, context: &SchedulingContext<'_>) {
        self.update_quota_demand(context);
        let (regions, settled) = (
            context.settings.region_count() as u64,
            self.reconciliation.is_complete,
        );
        let teams: Vec<Rc<str>> = self.quotas.by_team.keys().cloned().collect();
        for team in teams {
            // A team without a limit needs no share of one.
            let Some(limit) = context.settings.team(&team).and_then(|t| t.limit) else {
                continue;
            };
            let rec = context.replica.quotas.get(&*team);
            let have = quota::share(rec.map(|r| &r.value), &self.name);
            let Some(s) = self.quotas.by_team.get_mut(&team) else {
                continue;
            };
            s.yield_if_due(context.now);
            let used = if settled {
                s.used
            } else {
                s.inherited.plus(s.used_by_our_starts)
            };
            // Guards against two regions that each hold a part of what their gangs
            // need, and neither enough: the job of higher priority, then the older one goes
            // first, and the others take nothing and give back what they don't use.
            // By age alone a gang of high priority waited for ever while another region's
            // older, lesser jobs followed each other.
            let yields = context
                .quota_blocked_teams
                .get(&*team)
                .is_some_and(|at| s.first_rank.is_none_or(|o| *at < o));
            // Guards against a share that is kept for tasks to come while another region
            // has room and lacks it: what runs here will leave its share to them.
            let ahead = if context.quota_blocked_teams.contains_key(&*team) {
                s.demand_ahead.minus(used)
            } else {
                s.demand_ahead
            };
            let target = if yields {
                used
            } else {
                used.plus(s.demand).plus(ahead)
            };
            if !target.within(s.peak) || context.now > s.peak_at + PEAK_KEPT {
                s.peak = target;
                s.peak_at = context.now;
            }
            s.is_limited = false;
            if s.committing.is_some() {
                continue;
            }
            let spare = |part: u64| QuotaAmount {
                cpus: limit.cpus / part / regions,
                gpus: limit.gpus / part / regions,
            };
            let target = if !target.within(have) {
                // At the least what is needed, and somewhat more.
                let more = target.plus(spare(4));
                let own = quota::propose(rec.map(|r| &r.value), &self.name, limit, more);
                s.is_limited = own.as_ref().is_none_or(|(_, new)| !target.within(*new));
                s.track_unused(used, have, context.now);
                match own {
                    Some((_, new)) if more.within(new) => more,
                    _ => target,
                }
            } else if !settled {
                continue;
            } else if context.quota_blocked_teams.contains_key(&*team) && have != target {
                target
            } else if !have.within(s.peak.plus(spare(2))) {
                s.peak.plus(spare(4))
            } else {
                continue;
            };
            let Some((q, new)) = quota::propose(rec.map(|r| &r.value), &self.name, limit, target)
            else {
                continue;
            };
            // Never below what is in use, whatever the limit says now.
            if !used.within(new) {
                continue;
            }
            s.committing = Some(new);
            let key = Key::Quota(team.to_string());
            let mut when = vec![(Key::Region(self.name.clone()), self.version)];
            when.push((key.clone(), rec.map_or(0, |r| r.version)));
            let apply = vec![(key, Some(value(&q)))];
            self.commit(
                when,
                apply,
                CommitPriority::Normal,
                CommitKind::QuotaShare(team.to_string()),
            );
        }
    }

    /// The leader asks for waiting tasks to be given away. Only tasks that are
    /// on no machine move; a job whose tasks must keep together moves whole.
    pub fn hand_over_tasks(
        &mut self,
        job: &str,
        to: &str,
        count: u32,
        context: &SchedulingContext<'_>,
    ) {
        let when = self.ownership_condition();
        let Some(id) = self.jobs.get_key_value(job).map(|(k, _)| k.clone()) else {
            return;
        };
        let Some(rec) = context.replica.jobs.get(job) else {
            return;
        };
        let me = self.name.clone();
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        if j.is_over
            || j.commit_in_flight
            || to == me
            || j.pending.is_empty()
            || context.is_job_over(job)
        {
            return;
        }
        let whole = j.spec.kind == JobKind::Gang || j.spec.single_zone || j.spec.spread_zones;
        let set = if whole {
            // All of it, or all of our part of a gang over several regions.
            if j.pending.len() != j.bound.len()
                || !(j.bound.len() == j.spec.task_count || j.multi_region.is_some())
            {
                return;
            }
            j.pending.clone()
        } else {
            j.pending.last_n(count)
        };
        let mut owners: Vec<TaskRange> = Vec::new();
        for range in &rec.value.task_ranges {
            let mut keep = RangeSet::from_range(range.first, range.end);
            if range.region == me {
                keep.remove_all(&set);
            }
            owners.extend(
                keep.iter()
                    .map(|(s, e)| TaskRange::new(s, e, &*range.region)),
            );
        }
        owners.extend(set.iter().map(|(s, e)| TaskRange::new(s, e, to)));
        owners.sort_by_key(|range| range.first);
        // Once the last part of a gang is with nobody, it is bound anew.
        let free = owners.iter().all(TaskRange::is_unbound);
        let mut parts: Vec<TaskRange> = Vec::new();
        for p in owners {
            match parts.last_mut() {
                Some(last) if last.end == p.first && last.region == p.region => last.end = p.end,
                _ => parts.push(p),
            }
        }
        if parts.len() > 24 {
            return; // the record must stay small
        }
        if free {
            parts.clear();
        }
        log::debug!("region: {job}: {} tasks given to {to:?}", set.len());
        let joint = if free || j.multi_region.is_none() {
            None
        } else {
            rec.value.multi_region.clone()
        };
        j.pending.remove_all(&set);
        j.rebinding = set;
        j.commit_in_flight = true;
        let mut when = when;
        let key = Key::Job(job.to_owned());
        when.push((key.clone(), rec.version));
        let apply = vec![(
            key,
            Some(value(&JobRecord {
                task_ranges: parts,
                multi_region: joint,
                ..rec.value.clone()
            })),
        )];
        self.update_queue_position(&id, context);
        self.commit(when, apply, CommitPriority::Normal, CommitKind::Rebind(id));
    }
}
