//! The faults that a scenario may hold, and how each is brought about.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    Crash(usize),
    StoreDown(Micros),
    /// A controller's way to the state service is cut; what it had sent is
    /// delivered late.
    CutStore(usize, Micros),
    CutWorkers(usize, Micros),
    CutMesh(usize, Micros),
    CloudDown(Micros),
    MachineDies,
    MachineHangs(Micros),
    /// A machine's reports arrive, but the answers don't reach it.
    MachineDeaf(Micros),
    /// A machine is back at once, with its numbering started afresh.
    MachineBlinks,
    /// Copies of reports come late, up to three leases.
    Copies(Micros),
    /// A controller loses the state service and the others, but not its workers;
    /// by a cut that holds back, or one that resets.
    Alone(usize, Micros, bool),
    /// A controller ends and is back within a fraction of a second.
    Blink(usize),
    /// The same for the one that leads.
    LeaderBlinks,
    /// The state service refuses whoever leads, and nobody else.
    RefuseLeader(Micros),
    /// Users call off this many jobs that run, within a fifth of a second; their
    /// machines may hang for a while from then on.
    CancelRunning(usize, Micros),
    /// Jobs are called off at the moment at which their last task ends.
    CancelAtEnd(Micros),
    /// A third of the transactions get no answer and are carried out 2 to 12 s later.
    LateWrites(Micros),
    /// Half of the machines reach no controller.
    Mute(Micros),
    /// The state service answers slowly.
    SlowStore(Micros),
    /// All controllers are away for so long.
    AllAway(Micros),
    /// Answers to workers are held up, by up to 6 s.
    HeldAnswers(Micros),
    /// From now on the state service takes only 4 changes a transaction and 2 KiB values.
    LowerLimits,
    /// A controller stands still while its clocks run on; all that comes to it waits.
    Freeze(usize, Micros),
    /// The same for the one that leads.
    FreezeLeader(Micros),
    /// Machines that are rented come up ten times as late, every third never.
    BadBoots(Micros),
    /// Users ask thirty times as often.
    QuestionStorm(Micros),
    /// Users don't reach this controller.
    CutUsers(usize, Micros),
    /// The state service's records are copied, to be set back to later.
    Backup,
    /// The state service loses records.
    LoseRecords(Loss),
    /// A zone is cut off: this controller and the machines that report to it.
    Zone(usize, Micros),
}

/// What the state service loses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Loss {
    /// Everything.
    All,
    /// What came after the copy.
    SinceBackup,
    /// The same, and its revision is past the one that was lost.
    SinceBackupAndGrown,
    /// Every other job, with nothing to show it.
    SomeJobs,
}

impl World {
    pub(super) fn fault(&mut self, f: Fault) {
        let now = self.now;
        match f {
            Fault::Crash(i) => {
                if self.controllers[i].node.take().is_some() {
                    for requester in std::mem::take(&mut self.controllers[i].conns).into_values() {
                        self.fail(requester);
                    }
                    let wait = [SECOND / 5, 5 * SECOND][self.rng.usize(0..2)];
                    self.at(now + wait, Event::Boot(i));
                }
            }
            Fault::StoreDown(d) => {
                self.store.down = now + d;
                // After an outage every lease has its full time again.
                for (life, until) in self.store.leases.values_mut() {
                    *until = now + d + *life;
                }
            }
            Fault::RefuseLeader(d) => {
                let i = self.leads();
                self.controllers[i].refused = now + d;
            }
            Fault::CancelRunning(n, hang) => {
                let mut ids: Vec<String> = Vec::new();
                let mut on: Vec<String> = Vec::new();
                for (m, w) in &self.workers {
                    for (t, s) in &w.tasks {
                        let id = salttiller_records::model::parse_task(t)
                            .unwrap()
                            .0
                            .to_owned();
                        if s.stage != "ended" && !ids.contains(&id) && ids.len() < n {
                            ids.push(id);
                            on.push(m.clone());
                        }
                    }
                }
                for id in ids {
                    let at = now + self.rng.u64(0..200) * MILLISECOND;
                    self.at(at, Event::User(id, Action::Abort));
                }
                for m in on {
                    if let Some(w) = self.workers.get_mut(&m) {
                        w.hangs = w.hangs.max(now + hang);
                    }
                }
            }
            Fault::Backup => {
                self.store.backup = Backup {
                    revision: self.store.revision,
                    data: self.store.data.clone(),
                    log: self.store.log.clone(),
                };
            }
            Fault::LoseRecords(loss) => self.lose_records(loss),
            Fault::CancelAtEnd(d) => self.cancel_at_end = now + d,
            Fault::LowerLimits => (self.ops_most, self.value_most) = (4, 2048),
            Fault::HeldAnswers(d) => self.held_answers = now + d,
            Fault::Zone(i, d) => {
                self.fault(Fault::Alone(i, d, false));
                for w in self.workers.values_mut() {
                    if w.at == i {
                        w.zone = (i, now + d);
                    }
                }
            }
            Fault::LateWrites(d) => self.late_writes = now + d,
            Fault::BadBoots(d) => self.bad_boots = now + d,
            Fault::QuestionStorm(d) => self.storm = now + d,
            Fault::Freeze(i, d) => self.controllers[i].frozen = now + d,
            Fault::FreezeLeader(d) => {
                let i = self.leads();
                self.fault(Fault::Freeze(i, d));
            }
            Fault::CutUsers(i, d) => self.controllers[i].cut_users = now + d,
            Fault::SlowStore(d) => self.slow_store = now + d,
            Fault::Mute(d) => {
                for w in self.workers.values_mut() {
                    if self.rng.bool() {
                        w.mute = now + d;
                    }
                }
            }
            Fault::AllAway(d) => {
                for i in 0..3 {
                    self.controllers[i].away = now + d;
                    self.fault(Fault::Blink(i));
                }
            }
            Fault::CutStore(i, d) => self.controllers[i].cut_store = now + d,
            Fault::CutWorkers(i, d) => self.controllers[i].cut_workers = now + d,
            Fault::CutMesh(i, d) => self.controllers[i].cut_mesh = now + d,
            Fault::CloudDown(d) => self.cloud_down = now + d,
            Fault::Copies(d) => self.copies = now + d,
            Fault::Alone(i, d, resets) => {
                let c = &mut self.controllers[i];
                c.cut_store = now + d;
                c.cut_mesh = now + d;
                c.resets = resets;
            }
            Fault::LeaderBlinks => {
                let i = self.leads();
                self.fault(Fault::Blink(i));
            }
            Fault::Blink(i) => {
                if self.controllers[i].node.take().is_some() {
                    for requester in std::mem::take(&mut self.controllers[i].conns).into_values() {
                        self.fail(requester);
                    }
                    let wait = self.rng.u64(50..900) * MILLISECOND;
                    let at = (now + wait).max(self.controllers[i].away + wait);
                    self.at(at, Event::Boot(i));
                }
            }
            Fault::MachineDies
            | Fault::MachineHangs(_)
            | Fault::MachineDeaf(_)
            | Fault::MachineBlinks => {
                let names: Vec<String> = self.workers.keys().cloned().collect();
                if names.is_empty() {
                    return;
                }
                let name = &names[self.rng.usize(0..names.len())];
                if let Some(w) = self.workers.get_mut(name) {
                    match f {
                        Fault::MachineHangs(d) => w.hangs = now + d,
                        Fault::MachineDeaf(d) => w.deaf = now + d,
                        Fault::MachineBlinks => {
                            (w.season, w.tally, w.token) = (1, 0, 0);
                            w.tasks.clear();
                            w.answered = now;
                        }
                        _ => {
                            w.dead = true;
                            w.tasks.clear();
                        }
                    }
                }
            }
        }
    }
}
