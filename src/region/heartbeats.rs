//! Workers' reports, and the commands that answer them.

use super::*;

impl Region {
    /// Takes a report and says what to answer. The caller has checked our
    /// authority and checks it again when the answer is written.
    pub fn on_heartbeat(
        &mut self,
        r: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some((name, m)) = self.inventory.machines.get_key_value(&*r.machine) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        let name = name.clone();
        // Guards against reports that were held back, and copies: they are as
        // old as their number says, and what they list may long be untrue.
        let believe = is_disabled(Safeguard::ReportOrder);
        if r.id <= m.last_heartbeat && !believe {
            return HeartbeatOutcome::Stale;
        }
        // Guards against one that comes in after we have found the machine's lease
        // over: had it been sent since, its session would be a later one.
        if m.state == MachineState::LeaseExpired
            && r.id.incarnation <= m.last_heartbeat.incarnation
            && !believe
        {
            return HeartbeatOutcome::Stale;
        }
        // A report that a machine sent before the cloud took it back.
        if m.is_gone {
            return HeartbeatOutcome::UnknownMachine;
        }
        if r.token > self.token {
            return HeartbeatOutcome::Superseded;
        }
        if r.token < self.token {
            return self.acknowledge_outdated_token(&name, context);
        }
        let first = m.state != MachineState::Ready;
        let booted = m.last_heartbeat == HeartbeatId::NONE
            && m.assigned_at > self.reconciliation.acquired_at;
        let sent = m.tasks.values().any(|h| h.state == TaskState::Dispatched);
        let rose = self.record_heartbeat(&name, r, context);
        if first {
            log::info!("region: {name}: live in {}", self.name);
            if booted {
                self.note_provisioned(&name, context.now);
            }
            self.reconciliation.unreconciled.remove(&name);
            self.triggers.machines.insert(name.clone());
        }
        let mut commands = Vec::new();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for t in &r.tasks {
            self.on_reported(&name, t, context, &mut listed, &mut commands);
        }
        let missing: Vec<(JobId, u32, TaskState)> = self.inventory.machines[&name]
            .tasks
            .iter()
            .filter(|(k, h)| h.state != TaskState::Assigned && !listed.contains(*k))
            .map(|(k, h)| (k.0.clone(), k.1, h.state))
            .collect();
        let unheeded = missing.iter().any(|(_, _, p)| *p == TaskState::Dispatched);
        let heeded = sent.then_some(!unheeded);
        for (id, n, _) in missing {
            self.return_to_pending(&id, n, "not on its machine", context);
        }
        self.update_reachability(&name, rose, heeded, context);
        self.reindex(&name);
        if !self.reconciliation.is_complete {
            self.try_finish_recovery(context);
        }
        self.place_pending(context);
        self.reassign_to_reporting(&name, context);
        self.append_commands(&name, context, &mut commands);
        HeartbeatOutcome::Accepted(commands)
    }

    pub(super) fn on_reported(
        &mut self,
        machine: &Rc<str>,
        t: &crate::worker_protocol::ReportedTask,
        context: &SchedulingContext<'_>,
        listed: &mut BTreeSet<(JobId, u32)>,
        commands: &mut Vec<Command>,
    ) {
        let rec = context.replica.jobs.get(&*t.job).map(|r| &r.value);
        let held = self.inventory.machines[machine]
            .tasks
            .get(&(t.job.clone(), t.task))
            .map(|h| (h.attempt, h.state));
        if let ReportedState::Ended(end) = t.state {
            let ours = held.is_some_and(|(a, p)| a == t.attempt && p != TaskState::Assigned);
            if ours || end == ExitReason::Done {
                self.on_ended(machine, t, end, ours, context);
            }
            let open = !context.is_job_over(&t.job);
            let recorded = self
                .jobs
                .get(&t.job)
                .is_none_or(|j| j.done.contains(t.task) && !j.unrecorded_done.contains(t.task));
            // A result is forgotten only once it is on record.
            if end != ExitReason::Done || !open || recorded {
                commands.push(Command::reap(t.job.clone(), t.task, t.attempt));
            }
            return;
        }
        let key = (t.job.clone(), t.task);
        match held {
            Some((a, p)) if a == t.attempt => {
                if p != TaskState::Reported(t.state) {
                    if let Some(m) = self.inventory.machines.get_mut(machine) {
                        if let Some(h) = m.tasks.get_mut(&key) {
                            h.state = TaskState::Reported(t.state);
                            if t.state == ReportedState::Running {
                                h.running_since.get_or_insert(context.now);
                            }
                        }
                    }
                }
                listed.insert(key);
            }
            _ => {
                if self.adopt(machine, t, rec, context) {
                    listed.insert(key);
                } else {
                    commands.push(Command::stop(t.job.clone(), t.task, t.attempt, 0));
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
        context: &SchedulingContext<'_>,
    ) -> bool {
        let over = context.is_job_over(&t.job);
        if let (true, Some(spec)) = (over, rec.and_then(|r| r.spec.as_ref())) {
            // Cancelled, but still there: counts against the limit until gone.
            let narrow_to = only_fitting_type(spec, context.replica);
            self.jobs.entry(t.job.clone()).or_insert_with(|| Job {
                is_over: true,
                ..Job::new(spec, narrow_to, context.now)
            });
        }
        let Some(job) = self.jobs.get(&t.job) else {
            log::info!("region: {}/{}: on {machine}, but not ours", t.job, t.task);
            return false;
        };
        if job
            .on_machines
            .get(&t.task)
            .is_some_and(|m| **m != *machine)
        {
            log::error!(
                "region: {}/{}: on {machine} and on {} at once",
                t.job,
                t.task,
                job.on_machines[&t.task]
            );
            return false;
        }
        if !over && !job.unreconciled.contains(t.task) && !job.on_machines.contains_key(&t.task) {
            log::info!("region: {}/{}: on {machine}, not expected", t.job, t.task);
            if !job.pending.contains(t.task) {
                return false;
            }
        }
        log::debug!("region: {}/{}: found on {machine}", t.job, t.task);
        self.transition(
            &t.job,
            t.task,
            TaskState::Reported(t.state),
            Some((machine, t.attempt)),
            context.now,
        );
        true
    }

    pub(super) fn on_ended(
        &mut self,
        machine: &str,
        t: &crate::worker_protocol::ReportedTask,
        end: ExitReason,
        ours: bool,
        context: &SchedulingContext<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        let service = job.spec.kind == JobKind::Service;
        if end == ExitReason::Done && !service {
            if job.is_over || job.done.contains(t.task) || !job.bound.contains(t.task) {
                if ours {
                    self.transition(&t.job, t.task, TaskState::Done, None, context.now);
                    self.after_tasks_left(&t.job);
                }
                return;
            }
            // Only what is on no other machine can be settled here; a result
            // is final wherever it was found.
            let tasks: Vec<u32> = if job.spec.kind == JobKind::Gang {
                job.bound.numbers().collect()
            } else {
                vec![t.task]
            };
            job.failures.succeeded();
            let gang = job.spec.kind == JobKind::Gang;
            for n in tasks {
                // Done, yet held on another machine: it counts there until that
                // machine is rid of it. Guards against a gang of which one
                // member hangs at the end: its place is not free yet.
                let at = self
                    .jobs
                    .get(&t.job)
                    .and_then(|j| j.on_machines.get(&n).filter(|m| ***m != *machine).cloned());
                let held = at
                    .as_ref()
                    .and_then(|at| self.inventory.machines.get_mut(at))
                    .and_then(|m| m.tasks.get_mut(&(t.job.clone(), n)))
                    .filter(|h| h.state != TaskState::Assigned);
                if let Some(h) = held {
                    if !gang {
                        log::error!(
                            "region: {}/{n}: done on {machine}, but out elsewhere",
                            t.job
                        );
                        h.stop_grace = Some(0);
                    }
                    if let Some(j) = self.jobs.get_mut(&t.job) {
                        j.done.insert(n);
                        j.unrecorded_done.insert(n);
                        self.unrecorded_jobs.insert(t.job.clone());
                    }
                    continue;
                }
                self.transition(&t.job, n, TaskState::Done, None, context.now);
            }
            if let Some(m) = self.inventory.machines.get_mut(machine) {
                m.failures.succeeded();
            }
            self.after_tasks_left(&t.job);
            self.record_progress(&t.job, context);
            return;
        }
        if !ours {
            return;
        }
        log::debug!("region: {}/{}: ended on {machine}: {end:?}", t.job, t.task);
        let wait = match end {
            ExitReason::Failed => self.on_failed(machine, &t.job, context),
            ExitReason::UnknownTask => 5 * SECOND,
            ExitReason::NoCapacity => {
                log::info!("region: {machine}: refused {}/{}: full", t.job, t.task);
                SECOND
            }
            ExitReason::AttemptConflict => SECOND,
            _ => 0,
        };
        let Some(job) = self.jobs.get_mut(&t.job) else {
            return;
        };
        if wait > 0 {
            job.not_before = job.not_before.max(context.now + wait);
            self.queue.wakeups.insert((job.not_before, t.job.clone()));
        }
        let suspect = job.failures.is_suspect();
        self.return_to_pending(&t.job, t.task, "ended", context);
        if suspect {
            self.withdraw_undispatched(&t.job, context);
            let again = context.now + failure_attribution::TRY_AGAIN_AFTER + SECOND;
            self.queue.wakeups.insert((again, t.job.clone()));
        }
    }

    /// Adds stops and starts for a machine that was just heard from.
    pub(super) fn append_commands(
        &mut self,
        machine: &str,
        context: &SchedulingContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        let mut withdrawn = Vec::new();
        let Some(m) = self.inventory.machines.get_mut(machine) else {
            return;
        };
        commands.truncate(MAX_COMMANDS);
        for ((id, n), h) in m.tasks.iter_mut() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            match (h.state, h.stop_grace) {
                (TaskState::Assigned, Some(_)) => withdrawn.push((id.clone(), *n)),
                (TaskState::Reported(_) | TaskState::Dispatched, Some(grace)) => {
                    commands.push(Command::stop(id.clone(), *n, h.attempt, grace));
                }
                _ => {}
            }
        }
        for ((id, n), h) in m.tasks.iter_mut() {
            // Guards against starts of jobs whose cancellation was confirmed while
            // the state service refuses us: what we know is some seconds old.
            if commands.len() >= MAX_COMMANDS || !context.may_start {
                break;
            }
            if h.state == TaskState::Assigned && h.stop_grace.is_none() && !h.awaits_start_barrier {
                self.undispatched.remove(&(h.since, id.clone(), *n));
                h.state = TaskState::Dispatched;
                h.since = context.now;
                log::debug!(
                    "region: {id}/{n}: start on {machine}, attempt {}",
                    h.attempt
                );
                commands.push(Command::start(id.clone(), *n, h.attempt));
            }
        }
        for (id, n) in withdrawn {
            self.transition(&id, n, TaskState::Pending, None, context.now);
            self.update_queue_position(&id, context);
        }
    }
}
