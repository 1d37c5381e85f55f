//! Workers' reports, and the commands that answer them.

use super::*;

impl Region {
    /// Takes a report and says what to answer. The caller has checked our
    /// authority and checks it again when the answer is written.
    pub fn on_report(&mut self, r: &Report, view: &View<'_>) -> Verdict {
        let Some((name, m)) = self.machines.get_key_value(&*r.machine) else {
            return Verdict::UnknownMachine;
        };
        let name = name.clone();
        // Guards against reports that were held back, and copies: they are as
        // old as their number says, and what they list may long be untrue.
        let believe = is_left_out(Guard::ReportOrder);
        if r.order <= m.order && !believe {
            return Verdict::Stale;
        }
        // Guards against one that comes in after we have found the machine's lease
        // over: had it been sent since, its session would be a later one.
        if m.standing == Standing::Empty && r.order.0 <= m.order.0 && !believe {
            return Verdict::Stale;
        }
        // A report that a machine sent before the cloud took it back.
        if m.gone {
            return Verdict::UnknownMachine;
        }
        if r.token > self.token {
            return Verdict::Outranked;
        }
        if r.token < self.token {
            return self.greet(&name, view);
        }
        let first = m.standing != Standing::Live;
        let booted = m.order == (0, 0) && m.dealt_at > self.taken_at;
        let sent = m.tasks.values().any(|h| h.place == Place::Sent);
        let rose = self.listen(&name, r, view);
        if first {
            log::info!("region: {name}: live in {}", self.name);
            if booted {
                self.note_arrival(&name, view.now);
            }
            self.awaited.remove(&name);
            self.dirty_machines.insert(name.clone());
        }
        let mut commands = Vec::new();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for t in &r.tasks {
            self.on_reported(&name, t, view, &mut listed, &mut commands);
        }
        let missing: Vec<(JobId, u32, Place)> = self.machines[&name]
            .tasks
            .iter()
            .filter(|(k, h)| h.place != Place::Assigned && !listed.contains(*k))
            .map(|(k, h)| (k.0.clone(), k.1, h.place))
            .collect();
        let unheeded = missing.iter().any(|(_, _, p)| *p == Place::Sent);
        let heeded = sent.then_some(!unheeded);
        for (id, n, _) in missing {
            self.lost(&id, n, "not on its machine", view);
        }
        self.judge_hearing(&name, rose, heeded, view);
        self.relist(&name);
        if !self.settled {
            self.try_finish_recovery(view);
        }
        self.place(view);
        self.draw(&name, view);
        self.command(&name, view, &mut commands);
        Verdict::Commands(commands)
    }

    pub(super) fn on_reported(
        &mut self,
        machine: &Rc<str>,
        t: &crate::worker_protocol::ReportedTask,
        view: &View<'_>,
        listed: &mut BTreeSet<(JobId, u32)>,
        commands: &mut Vec<Command>,
    ) {
        let rec = view.replica.jobs.get(&*t.job).map(|r| &r.value);
        let held = self.machines[machine]
            .tasks
            .get(&(t.job.clone(), t.task))
            .map(|h| (h.attempt, h.place));
        if let OnMachine::Ended(end) = t.stage {
            let ours = held.is_some_and(|(a, p)| a == t.attempt && p != Place::Assigned);
            if ours || end == End::Done {
                self.on_ended(machine, t, end, ours, view);
            }
            let open = !view.over(&t.job);
            let recorded = self
                .jobs
                .get(&t.job)
                .is_none_or(|j| j.done.contains(t.task) && !j.pending.contains(t.task));
            // A result is forgotten only once it is on record.
            if end != End::Done || !open || recorded {
                commands.push(Command::Reap(t.job.clone(), t.task, t.attempt));
            }
            return;
        }
        let key = (t.job.clone(), t.task);
        match held {
            Some((a, p)) if a == t.attempt => {
                if p != Place::On(t.stage) {
                    if let Some(m) = self.machines.get_mut(machine) {
                        if let Some(h) = m.tasks.get_mut(&key) {
                            h.place = Place::On(t.stage);
                            if t.stage == OnMachine::Running {
                                h.ran_at.get_or_insert(view.now);
                            }
                        }
                    }
                }
                listed.insert(key);
            }
            _ => {
                if self.adopt(machine, t, rec, view) {
                    listed.insert(key);
                } else {
                    commands.push(Command::Stop(t.job.clone(), t.task, t.attempt, 0));
                }
            }
        }
    }

    /// A task on a machine that we didn't start: a former owner did. Whether it
    /// may stay.
    pub(super) fn adopt(
        &mut self,
        machine: &str,
        t: &crate::worker_protocol::ReportedTask,
        rec: Option<&JobRecord>,
        view: &View<'_>,
    ) -> bool {
        let over = view.over(&t.job);
        if let (true, Some(spec)) = (over, rec.and_then(|r| r.spec.as_ref())) {
            // Cancelled, but still there: counts against the limit until gone.
            let narrow_to = narrow_type(spec, view.replica);
            self.jobs.entry(t.job.clone()).or_insert_with(|| Job {
                over: true,
                ..Job::new(spec, narrow_to, view.now)
            });
        }
        let Some(job) = self.jobs.get(&t.job) else {
            log::info!("region: {}/{}: on {machine}, but not ours", t.job, t.task);
            return false;
        };
        if job.out.get(&t.task).is_some_and(|m| **m != *machine) {
            log::error!(
                "region: {}/{}: on {machine} and on {} at once",
                t.job,
                t.task,
                job.out[&t.task]
            );
            return false;
        }
        if !over && !job.unsettled.contains(t.task) && !job.out.contains_key(&t.task) {
            log::info!("region: {}/{}: on {machine}, not expected", t.job, t.task);
            if !job.waiting.contains(t.task) {
                return false;
            }
        }
        log::debug!("region: {}/{}: found on {machine}", t.job, t.task);
        self.transition(
            &t.job,
            t.task,
            Place::On(t.stage),
            Some((machine, t.attempt)),
            view.now,
        );
        true
    }

    pub(super) fn on_ended(
        &mut self,
        machine: &str,
        t: &crate::worker_protocol::ReportedTask,
        end: End,
        ours: bool,
        view: &View<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let service = job.spec.kind == Kind::Service;
        if end == End::Done && !service {
            if job.over || job.done.contains(t.task) || !job.mine.contains(t.task) {
                if ours {
                    self.transition(&t.job, t.task, Place::Done, None, view.now);
                    self.after_out(&t.job);
                }
                return;
            }
            // Only what is on no other machine can be settled here; a result
            // is final wherever it was found.
            let tasks: Vec<u32> = if job.spec.kind == Kind::Gang {
                job.mine.numbers().collect()
            } else {
                vec![t.task]
            };
            job.failures.succeeded();
            let gang = job.spec.kind == Kind::Gang;
            for n in tasks {
                // Done, yet held on another machine: it counts there until that
                // machine is rid of it. Guards against a gang of which one
                // member hangs at the end: its place is not free yet.
                let at = self
                    .jobs
                    .get(&t.job)
                    .and_then(|j| j.out.get(&n).filter(|m| ***m != *machine).cloned());
                let held = at
                    .as_ref()
                    .and_then(|at| self.machines.get_mut(at))
                    .and_then(|m| m.tasks.get_mut(&(t.job.clone(), n)))
                    .filter(|h| h.place != Place::Assigned);
                if let Some(h) = held {
                    if !gang {
                        log::error!(
                            "region: {}/{n}: done on {machine}, but out elsewhere",
                            t.job
                        );
                        h.stop = Some(0);
                    }
                    if let Some(j) = self.jobs.get_mut(&t.job) {
                        j.done.insert(n);
                        j.pending.insert(n);
                        self.unwritten.insert(t.job.clone());
                    }
                    continue;
                }
                self.transition(&t.job, n, Place::Done, None, view.now);
            }
            if let Some(m) = self.machines.get_mut(machine) {
                m.failures.succeeded();
            }
            self.after_out(&t.job);
            self.write_progress(&t.job, view);
            return;
        }
        if !ours {
            return;
        }
        log::debug!("region: {}/{}: ended on {machine}: {end:?}", t.job, t.task);
        let wait = match end {
            End::Error => self.on_failed(machine, &t.job, view),
            End::Unknown => 5 * SECOND,
            End::Full => {
                log::info!("region: {machine}: refused {}/{}: full", t.job, t.task);
                SECOND
            }
            End::Busy => SECOND,
            _ => 0,
        };
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        if wait > 0 {
            job.not_before = job.not_before.max(view.now + wait);
            self.wake.insert((job.not_before, t.job.clone()));
        }
        let suspect = job.failures.is_suspect();
        self.lost(&t.job, t.task, "ended", view);
        if suspect {
            self.withdraw_unsent(&t.job, view);
            let again = view.now + failure_attribution::TRY_AGAIN_AFTER + SECOND;
            self.wake.insert((again, t.job.clone()));
        }
    }

    /// Adds stops and starts for a machine that was just heard from.
    pub(super) fn command(&mut self, machine: &str, view: &View<'_>, commands: &mut Vec<Command>) {
        let mut withdrawn = Vec::new();
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        commands.truncate(MAX_COMMANDS);
        for ((id, n), h) in m.tasks.iter_mut() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            match (h.place, h.stop) {
                (Place::Assigned, Some(_)) => withdrawn.push((id.clone(), *n)),
                (Place::On(_) | Place::Sent, Some(grace)) => {
                    commands.push(Command::Stop(id.clone(), *n, h.attempt, grace));
                }
                _ => {}
            }
        }
        for ((id, n), h) in m.tasks.iter_mut() {
            // Guards against starts of jobs whose cancellation was confirmed while
            // the state service refuses us: what we know is some seconds old.
            if commands.len() >= MAX_COMMANDS || !view.starts {
                break;
            }
            if h.place == Place::Assigned && h.stop.is_none() && !h.wait_go {
                self.unsent.remove(&(h.since, id.clone(), *n));
                h.place = Place::Sent;
                h.since = view.now;
                log::debug!(
                    "region: {id}/{n}: start on {machine}, attempt {}",
                    h.attempt
                );
                commands.push(Command::Start(id.clone(), *n, h.attempt));
            }
        }
        for (id, n) in withdrawn {
            self.transition(&id, n, Place::Waiting, None, view.now);
            self.rekey(&id, view);
        }
    }
}
