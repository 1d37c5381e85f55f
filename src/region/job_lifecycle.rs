//! Jobs bound to the region: entering them, their ends, lost tasks.

use super::*;

impl Region {
    /// Enters a job's record. `taking`: as found when the region was taken, so
    /// its tasks may have been started by a former owner.
    pub fn on_job(&mut self, id: &str, context: &SchedulingContext<'_>, taking: bool) {
        let Some(rec) = context.replica.jobs.get(id).map(|r| &r.value) else {
            return;
        };
        if let Some(s) = &rec.spec {
            self.queue.stale_teams.insert(s.team.clone());
        } else if let Some(j) = self.jobs.get(id) {
            self.queue.stale_teams.insert(j.spec.team.clone());
        }
        let mine = rec.tasks_of(&self.name);
        let key = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
        if context.is_job_over(id) {
            if let Some(id) = key {
                self.end_job(&id, context);
            }
            return;
        }
        let Some(spec) = rec.spec.as_ref() else {
            return;
        };
        // Only ready jobs are bound. Guards against records that say otherwise, of a
        // damaged store perhaps: nothing of such a job may start.
        if key.is_none() && !context.replica.is_ready(spec) {
            if !mine.is_empty() {
                log::error!("region: {id}: bound, but what it needs isn't done; left alone");
            }
            return;
        }
        if self.inventory.note_job(spec, context.replica, context.now) {
            self.update_reserved_capacity(context);
        }
        if key.is_none() && mine.is_empty() {
            return;
        }
        let id: JobId = key.unwrap_or_else(|| Rc::from(id));
        let narrow_to = only_fitting_type(spec, context.replica);
        let job = self
            .jobs
            .entry(id.clone())
            .or_insert_with(|| Job::new(spec, narrow_to, context.now));
        if job.spec != *spec {
            // Another job that needs this one came or went.
            job.spec = spec.clone();
            self.update_queue_position(&id, context);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A part of it is with nobody: it is to be bound anew.
        let given_up = rec.task_ranges.iter().any(TaskRange::is_unbound);
        if job.multi_region != rec.multi_region || job.has_unbound_part != given_up {
            job.multi_region.clone_from(&rec.multi_region);
            job.has_unbound_part = given_up;
            // What was held for another attempt is let go.
            let assigned = job.barrier_since.take().is_some();
            if assigned {
                self.break_gang(&id, context);
            }
            self.triggers.jobs.insert(id.clone());
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut fresh = mine.clone();
        fresh.subtract(&job.bound);
        let mut lost = job.bound.clone();
        lost.subtract(&mine);
        if fresh.is_empty() && lost.is_empty() {
            self.after_tasks_left(&id);
            return;
        }
        job.bound = mine;
        let done = context.replica.done_tasks(&id);
        job.done.union_with(&done);
        fresh.subtract(&job.done);
        if taking {
            job.unreconciled.union_with(&fresh);
        } else {
            // Bound here after we took the region: nobody else can have
            // started it under this region's name.
            if job.pending.is_empty() {
                job.pending_since = context.now;
            }
            job.pending.union_with(&fresh);
        }
        job.pending.subtract(&lost);
        job.rebinding.subtract(&lost);
        job.unreconciled.subtract(&lost);
        self.triggers.jobs.insert(id.clone());
        self.update_queue_position(&id, context);
        self.after_tasks_left(&id);
    }

    /// A job is cancelled, as another controller has it from the state service.
    pub fn on_reported_cancelled(&mut self, id: &str, context: &SchedulingContext<'_>) {
        if let Some(id) = self.jobs.get_key_value(id).map(|(k, _)| k.clone()) {
            log::info!("region: {id}: cancelled, as a peer says");
            self.end_job(&id, context);
        }
    }

    pub(super) fn end_job(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.is_over = true;
        job.pending = RangeSet::default();
        job.unreconciled = RangeSet::default();
        job.rebinding = RangeSet::default();
        job.unrecorded_done = RangeSet::default();
        let out: Vec<(u32, Rc<str>)> = job
            .on_machines
            .iter()
            .map(|(n, m)| (*n, m.clone()))
            .collect();
        for (n, m) in out {
            match self.assignment_mut(id, n, &m) {
                Some(h) if h.state != TaskState::Assigned => h.stop_grace = Some(0),
                _ => self.transition(id, n, TaskState::Done, None, context.now),
            }
        }
        self.unrecorded_jobs.remove(id);
        self.update_queue_position(id, context);
        self.after_tasks_left(id);
    }

    /// A task on a machine is there no more and isn't done.
    pub(super) fn return_to_pending(
        &mut self,
        id: &JobId,
        n: u32,
        why: &str,
        context: &SchedulingContext<'_>,
    ) {
        log::debug!("region: {id}/{n}: back to waiting, {why}");
        self.transition(id, n, TaskState::Pending, None, context.now);
        self.update_queue_position(id, context);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && !job.is_over && !job.on_machines.is_empty() {
            self.break_gang(id, context);
        }
        self.after_tasks_left(id);
    }

    /// A job that is over leaves once nothing of it is out; a broken gang may
    /// then start anew.
    pub(super) fn after_tasks_left(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.on_machines.is_empty() {
                job.restarting_gang = false;
                job.barrier_since = None;
                if job.is_over || job.bound.is_empty() {
                    if let Some(key) = job.queue_key.take() {
                        self.queue.ready.remove(&key);
                    }
                    self.unrecorded_jobs.remove(id);
                    self.jobs.remove(id);
                }
            }
        }
    }

    /// A gang that lost a task starts again as a whole, under another attempt,
    /// once the last task of this one is gone.
    pub(super) fn break_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.restarting_gang = true;
        let out: Vec<(u32, Rc<str>)> = job
            .on_machines
            .iter()
            .map(|(n, m)| (*n, m.clone()))
            .collect();
        for (n, m) in out {
            match self.assignment_mut(id, n, &m) {
                Some(h) if h.state == TaskState::Assigned => {
                    self.transition(id, n, TaskState::Pending, None, context.now)
                }
                // One that is told to save already may finish that.
                Some(h) => {
                    h.stop_grace.get_or_insert(0);
                }
                None => {}
            }
        }
        self.update_queue_position(id, context);
        self.after_tasks_left(id);
    }
}
