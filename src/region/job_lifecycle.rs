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
            self.stale_teams.insert(s.team.clone());
        } else if let Some(j) = self.jobs.get(id) {
            self.stale_teams.insert(j.spec.team.clone());
        }
        let mine = rec.tasks_of(&self.name);
        let key = self.jobs.get_key_value(id).map(|(k, _)| k.clone());
        if context.over(id) {
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
        if self.narrow.note(spec, context.replica, context.now) {
            self.keep_clear(context);
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
            self.rekey(&id, context);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A part of it is with nobody: it is to be bound anew.
        let given_up = rec.parts.iter().any(|p| p.2.is_empty());
        if job.joint != rec.joint || job.given_up != given_up {
            job.joint.clone_from(&rec.joint);
            job.given_up = given_up;
            // What was held for another attempt is let go.
            let assigned = job.held_since.take().is_some();
            if assigned {
                self.break_gang(&id, context);
            }
            self.dirty_jobs.insert(id.clone());
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut fresh = mine.clone();
        fresh.remove_all(&job.mine);
        let mut lost = job.mine.clone();
        lost.remove_all(&mine);
        if fresh.is_empty() && lost.is_empty() {
            self.after_out(&id);
            return;
        }
        job.mine = mine;
        let done = context.replica.done_tasks(&id);
        job.done.add_all(&done);
        fresh.remove_all(&job.done);
        if taking {
            job.unsettled.add_all(&fresh);
        } else {
            // Bound here after we took the region: nobody else can have
            // started it under this region's name.
            if job.waiting.is_empty() {
                job.wait_since = context.now;
            }
            job.waiting.add_all(&fresh);
        }
        job.waiting.remove_all(&lost);
        job.moving.remove_all(&lost);
        job.unsettled.remove_all(&lost);
        self.dirty_jobs.insert(id.clone());
        self.rekey(&id, context);
        self.after_out(&id);
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
        job.over = true;
        job.waiting = RangeSet::default();
        job.unsettled = RangeSet::default();
        job.moving = RangeSet::default();
        job.pending = RangeSet::default();
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            match self.held_mut(id, n, &m) {
                Some(h) if h.place != TaskState::Assigned => h.stop = Some(0),
                _ => self.transition(id, n, TaskState::Done, None, context.now),
            }
        }
        self.unwritten.remove(id);
        self.rekey(id, context);
        self.after_out(id);
    }

    /// A task on a machine is there no more and isn't done.
    pub(super) fn lost(&mut self, id: &JobId, n: u32, why: &str, context: &SchedulingContext<'_>) {
        log::debug!("region: {id}/{n}: back to waiting, {why}");
        self.transition(id, n, TaskState::Pending, None, context.now);
        self.rekey(id, context);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && !job.over && !job.out.is_empty() {
            self.break_gang(id, context);
        }
        self.after_out(id);
    }

    /// A job that is over leaves once nothing of it is out; a broken gang may
    /// then start anew.
    pub(super) fn after_out(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.out.is_empty() {
                job.breaking = false;
                job.held_since = None;
                if job.over || job.mine.is_empty() {
                    if let Some(key) = job.key.take() {
                        self.ready.remove(&key);
                    }
                    self.unwritten.remove(id);
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
        job.breaking = true;
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (n, m) in out {
            match self.held_mut(id, n, &m) {
                Some(h) if h.place == TaskState::Assigned => {
                    self.transition(id, n, TaskState::Pending, None, context.now)
                }
                // One that is told to save already may finish that.
                Some(h) => {
                    h.stop.get_or_insert(0);
                }
                None => {}
            }
        }
        self.rekey(id, context);
        self.after_out(id);
    }

    /// Nothing is on this machine any more.
    pub(super) fn clear_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.standing = MachineState::LeaseExpired;
        m.greeted = 0;
        let held: Vec<(JobId, u32)> = m.tasks.keys().cloned().collect();
        if !held.is_empty() {
            log::info!(
                "region: {name}: empty for sure, {} tasks start again",
                held.len()
            );
        }
        for (id, n) in held {
            self.lost(&id, n, "machine gone", context);
        }
        self.awaited.remove(name);
        self.relist(name);
    }
}
