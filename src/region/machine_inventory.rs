//! The region's machines over their lives: entered, heard, opened, watched,
//! closed, returned, forgotten.

use super::*;

impl Region {
    /// Enters a machine's record.
    pub fn on_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        let rec = context.replica.machines.get(name).map(|r| &r.value);
        let Some(rec) = rec.filter(|r| r.region == self.name) else {
            // Its record goes only once it is proved gone, by us.
            self.drop_machine(name, context);
            return;
        };
        let f = context
            .replica
            .machine_types
            .get(&rec.machine_type)
            .map(|f| &f.value);
        let cap = f.map_or((0, 0, 0), |f| (f.cpus, f.gpus, f.mem));
        if let Some(m) = self.machines.get_mut(name) {
            let opened = rec.opened && !m.rec.opened;
            m.rec = rec.clone();
            if opened {
                if m.order != (0, 0) {
                    self.heard.insert((m.heard_at, Rc::from(name)));
                }
                self.dirty_machines.insert(Rc::from(name));
                self.relist(name);
            }
            return;
        }
        let key: Rc<str> = Rc::from(name);
        let group = self.group_of(rec);
        let m = Machine {
            rec: rec.clone(),
            group,
            cap,
            used: (0, 0, 0),
            wide: (0, 0, 0),
            listed: IndexEntry::Unlisted,
            standing: MachineState::Provisioning,
            order: (0, 0),
            last_ok: context.now,
            heard_at: context.now,
            answered_since: 0,
            greeted: 0,
            reachability: Reachability::Reachable,
            dealt_at: context.now,
            boot: f.map_or(60 * SECOND, |f| f.boot),
            notice: None,
            tasks: BTreeMap::new(),
            idle_since: context.now,
            failures: MachineFailures::default(),
            images: BTreeSet::new(),
            closed: None,
            releasing: false,
            gone: false,
            late: false,
            due: Micros::MAX,
        };
        if rec.opened {
            self.heard.insert((m.heard_at, key.clone()));
        }
        self.machines.insert(key, m);
        self.revisit_at(name, context.now + 2 * SECOND);
        self.relist(name);
    }

    fn group_of(&self, rec: &MachineRecord) -> GroupKey {
        let key = (
            Rc::from(rec.machine_type.as_str()),
            Rc::from(rec.zone.as_str()),
            rec.spot,
        );
        // One copy of the names for all machines of a group.
        match self.list.groups.get_key_value(&key) {
            Some((k, _)) => k.clone(),
            None => key,
        }
    }

    /// Machine types became known or changed.
    pub fn on_flavors(&mut self, context: &SchedulingContext<'_>) {
        let names: Vec<Rc<str>> = self.machines.keys().cloned().collect();
        for n in &names {
            self.list_as(n, IndexEntry::Unlisted);
        }
        for n in &names {
            if let Some(m) = self.machines.get_mut(n) {
                if let Some(f) = context
                    .replica
                    .machine_types
                    .get(&m.rec.machine_type)
                    .map(|f| &f.value)
                {
                    m.cap = (f.cpus, f.gpus, f.mem);
                    m.boot = f.boot;
                }
            }
            self.relist(n);
        }
        self.keep_clear(context);
        self.dirty_all = true;
    }

    fn drop_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.clear_machine(name, context);
        self.forget_boot(name);
        self.list_as(name, IndexEntry::Unlisted);
        if let Some((key, m)) = self.machines.remove_entry(name) {
            self.heard.remove(&(m.heard_at, key.clone()));
            self.due.remove(&(m.due, key.clone()));
            self.noticed.remove(&key);
            self.to_open.remove(&key);
            self.to_forget.remove(&key);
            self.surplus.remove(&key);
            self.awaited.remove(&key);
        }
        self.try_finish_recovery(context);
    }

    /// Brings the level-two list up to date with what is known of a machine.
    pub(super) fn relist(&mut self, name: &str) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let hears = !matches!(m.reachability, Reachability::Unreachable { .. });
        let to = if m.open() && hears {
            let free = m.free();
            let wide = match self.list.kept(&m.group) {
                Some(k) => machine_index::least(
                    free,
                    machine_index::less(machine_index::less(m.cap, k), m.wide),
                ),
                None => free,
            };
            IndexEntry::Available {
                free,
                wide,
                held: m.tasks.len() as u32,
            }
        } else if m.usable() && hears && m.standing != MachineState::LeaseExpired && !m.late {
            IndexEntry::Provisioning
        } else {
            IndexEntry::Unlisted
        };
        self.list_as(name, to);
    }

    fn list_as(&mut self, name: &str, to: IndexEntry) {
        let Some((key, _)) = self.machines.get_key_value(name) else {
            return;
        };
        let key = key.clone();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.listed != to {
            let was = std::mem::replace(&mut m.listed, to);
            self.list.change(&m.group, m.cap, &key, was, to);
        }
    }

    /// Follows what is kept clear for jobs that fit on one type only.
    pub(super) fn keep_clear(&mut self, context: &SchedulingContext<'_>) {
        let changed: Vec<(GroupKey, Option<Room>)> = self
            .list
            .groups
            .iter()
            .filter(|(k, _)| !k.2)
            .map(|(k, g)| (k, g, self.narrow.kept_for(&k.0, context.now)))
            .filter(|(_, g, kept)| g.kept != *kept)
            .map(|(k, _, kept)| (k.clone(), kept))
            .collect();
        for (key, kept) in changed {
            let Some(g) = self.list.groups.get_mut(&key) else {
                continue;
            };
            let names: Vec<Rc<str>> = g.names().cloned().collect();
            g.kept = kept;
            for n in names {
                self.relist(&n);
            }
            self.dirty_all = true;
        }
    }

    /// Has a machine looked at at this time, if not before.
    pub(super) fn revisit_at(&mut self, name: &str, at: Micros) {
        let Some((key, _)) = self.machines.get_key_value(name) else {
            return;
        };
        let key = key.clone();
        if let Some(m) = self.machines.get_mut(name) {
            if at < m.due {
                self.due.remove(&(m.due, key.clone()));
                m.due = at;
                self.due.insert((at, key));
            }
        }
    }

    /// Has tasks that can save stopped in good time on machines that the cloud
    /// is about to take; the others run on as long as they can. A gang's tasks are
    /// told together, since it can only save as a whole.
    pub(super) fn save_before_notice(&mut self, context: &SchedulingContext<'_>) {
        let mut stop: BTreeSet<JobId> = BTreeSet::new();
        for m in self.noticed.iter().filter_map(|n| self.machines.get(n)) {
            let Some(at) = m.notice else { continue };
            for (id, _) in m.tasks.keys() {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                // Told at its next report, and all of a gang at theirs.
                let needs = job.spec.save + 2 * context.settings.report + SECOND;
                if job.spec.checkpoint > 0 && !job.over && at < context.now + needs {
                    stop.insert(id.clone());
                }
            }
        }
        for id in stop {
            self.stop_saving(&id, "its machine or a mate's is taken", |_, m| {
                m.notice.is_some()
            });
        }
    }

    /// Has a job's tasks stopped with enough time to save: all of a gang's, of
    /// others those on machines that `on` picks.
    pub(super) fn stop_saving(
        &mut self,
        id: &JobId,
        why: &str,
        on: impl Fn(&str, &Machine) -> bool,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (gang, save) = (job.spec.kind == JobKind::Gang, job.spec.save);
        let grace = if job.spec.checkpoint > 0 {
            save + SECOND
        } else {
            0
        };
        for (n, name) in &job.out {
            let Some(m) = self.machines.get_mut(name) else {
                continue;
            };
            if !gang && !on(name, m) {
                continue;
            }
            if let Some(h) = m.tasks.get_mut(&(id.clone(), *n)) {
                if h.stop.is_none() {
                    log::info!("region: {id}/{n}: to be stopped, {why}");
                    h.stop = Some(grace);
                }
            }
        }
    }
}
