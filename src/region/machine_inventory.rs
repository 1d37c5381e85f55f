//! The region's machines over their lives: entered, heard, opened, watched,
//! closed, returned, forgotten.

use super::*;

/// The region's machines, and the indexes by which they are found.
#[derive(Debug, Default)]
pub(super) struct MachineInventory {
    pub(super) machines: BTreeMap<Rc<str>, Machine>,
    /// Free capacity by pool.
    pub(super) index: MachineIndex,
    /// Activated machines by the time of their last heartbeat.
    pub(super) by_last_heartbeat: BTreeSet<(Micros, Rc<str>)>,
    /// Machines by the time of their next check.
    pub(super) next_checks: BTreeSet<(Micros, Rc<str>)>,
    /// Machines with a spot interruption notice.
    pub(super) interrupted: BTreeSet<Rc<str>>,
    /// Machines cordoned as not needed that still hold tasks.
    pub(super) draining: BTreeSet<Rc<str>>,
    /// How machines of each pool come up.
    pub(super) provisioning: BTreeMap<MachinePool, ProvisioningHistory>,
    pub(super) constrained_types: ConstrainedTypes,
}

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
        let cap = f.map_or(Resources::ZERO, MachineType::resources);
        if let Some(m) = self.inventory.machines.get_mut(name) {
            let opened = rec.activated && !m.record.activated;
            m.record = rec.clone();
            if opened {
                if m.last_heartbeat != HeartbeatId::NONE {
                    self.inventory
                        .by_last_heartbeat
                        .insert((m.last_heartbeat_at, Rc::from(name)));
                }
                self.triggers.machines.insert(Rc::from(name));
                self.reindex(name);
            }
            return;
        }
        let key: Rc<str> = Rc::from(name);
        let group = self.group_of(rec);
        let m = Machine {
            record: rec.clone(),
            pool: group,
            capacity: cap,
            used: Resources::ZERO,
            used_by_flexible: Resources::ZERO,
            index_entry: IndexEntry::Unlisted,
            state: MachineState::Provisioning,
            last_heartbeat: HeartbeatId::NONE,
            last_answered_at: context.now,
            last_heartbeat_at: context.now,
            answered_without_gap_since: 0,
            unconfirmed_answers: 0,
            reachability: Reachability::Reachable,
            assigned_at: context.now,
            boot_time: f.map_or(60 * SECOND, |f| f.boot_time),
            interruption_at: None,
            tasks: BTreeMap::new(),
            idle_since: context.now,
            failures: MachineFailures::default(),
            images: BTreeSet::new(),
            cordoned: None,
            releasing: false,
            is_gone: false,
            is_overdue: false,
            next_check_at: Micros::MAX,
        };
        if rec.activated {
            self.inventory
                .by_last_heartbeat
                .insert((m.last_heartbeat_at, key.clone()));
        }
        self.inventory.machines.insert(key, m);
        self.revisit_at(name, context.now + 2 * SECOND);
        self.reindex(name);
    }

    fn group_of(&self, rec: &MachineRecord) -> MachinePool {
        let key = MachinePool::new(&rec.machine_type, &rec.zone, rec.spot);
        // One copy of the names for all machines of a group.
        match self.inventory.index.pools.get_key_value(&key) {
            Some((k, _)) => k.clone(),
            None => key,
        }
    }

    /// Machine types became known or changed.
    pub fn on_machine_types_changed(&mut self, context: &SchedulingContext<'_>) {
        let names: Vec<Rc<str>> = self.inventory.machines.keys().cloned().collect();
        for n in &names {
            self.set_index_entry(n, IndexEntry::Unlisted);
        }
        for n in &names {
            if let Some(m) = self.inventory.machines.get_mut(n) {
                if let Some(f) = context
                    .replica
                    .machine_types
                    .get(&m.record.machine_type)
                    .map(|f| &f.value)
                {
                    m.capacity = f.resources();
                    m.boot_time = f.boot_time;
                }
            }
            self.reindex(n);
        }
        self.update_reserved_capacity(context);
        self.triggers.all = true;
    }

    fn drop_machine(&mut self, name: &str, context: &SchedulingContext<'_>) {
        if !self.inventory.machines.contains_key(name) {
            return;
        }
        self.machine_is_empty(name, context);
        self.forget_provisioning(name);
        self.set_index_entry(name, IndexEntry::Unlisted);
        if let Some((key, m)) = self.inventory.machines.remove_entry(name) {
            self.inventory
                .by_last_heartbeat
                .remove(&(m.last_heartbeat_at, key.clone()));
            self.inventory
                .next_checks
                .remove(&(m.next_check_at, key.clone()));
            self.inventory.interrupted.remove(&key);
            self.machine_records.to_activate.remove(&key);
            self.machine_records.to_remove.remove(&key);
            self.inventory.draining.remove(&key);
            self.reconciliation.unreconciled.remove(&key);
        }
        self.try_finish_recovery(context);
    }

    /// Brings the level-two list up to date with what is known of a machine.
    pub(super) fn reindex(&mut self, name: &str) {
        let Some(m) = self.inventory.machines.get(name) else {
            return;
        };
        let hears = !matches!(m.reachability, Reachability::Unreachable { .. });
        let to = if m.accepts_tasks() && hears {
            let free = m.free();
            let wide = match self.inventory.index.reserved(&m.pool) {
                Some(k) => free.min_each(m.capacity.minus(k).minus(m.used_by_flexible)),
                None => free,
            };
            IndexEntry::Available {
                free,
                wide,
                held: m.tasks.len() as u32,
            }
        } else if m.is_usable() && hears && m.state != MachineState::LeaseExpired && !m.is_overdue {
            IndexEntry::Provisioning
        } else {
            IndexEntry::Unlisted
        };
        self.set_index_entry(name, to);
    }

    fn set_index_entry(&mut self, name: &str, to: IndexEntry) {
        let Some((key, _)) = self.inventory.machines.get_key_value(name) else {
            return;
        };
        let key = key.clone();
        let Some(m) = self.inventory.machines.get_mut(name) else {
            return;
        };
        if m.index_entry != to {
            let was = std::mem::replace(&mut m.index_entry, to);
            self.inventory
                .index
                .update(&m.pool, m.capacity, &key, was, to);
        }
    }

    /// Follows what is kept clear for jobs that fit on one type only.
    pub(super) fn update_reserved_capacity(&mut self, context: &SchedulingContext<'_>) {
        let changed: Vec<(MachinePool, Option<Resources>)> = self
            .inventory
            .index
            .pools
            .iter()
            .filter(|(k, _)| !k.spot)
            .map(|(k, g)| {
                (
                    k,
                    g,
                    self.inventory
                        .constrained_types
                        .reserved_on(&k.machine_type, context.now),
                )
            })
            .filter(|(_, g, kept)| g.reserved != *kept)
            .map(|(k, _, kept)| (k.clone(), kept))
            .collect();
        for (key, kept) in changed {
            let Some(g) = self.inventory.index.pools.get_mut(&key) else {
                continue;
            };
            let names: Vec<Rc<str>> = g.available_machines().cloned().collect();
            g.reserved = kept;
            for n in names {
                self.reindex(&n);
            }
            self.triggers.all = true;
        }
    }

    /// Has a machine looked at at this time, if not before.
    pub(super) fn revisit_at(&mut self, name: &str, at: Micros) {
        let Some((key, _)) = self.inventory.machines.get_key_value(name) else {
            return;
        };
        let key = key.clone();
        if let Some(m) = self.inventory.machines.get_mut(name) {
            if at < m.next_check_at {
                self.inventory
                    .next_checks
                    .remove(&(m.next_check_at, key.clone()));
                m.next_check_at = at;
                self.inventory.next_checks.insert((at, key));
            }
        }
    }

    /// Has tasks that can save stopped in good time on machines that the cloud
    /// is about to take; the others run on as long as they can. A gang's tasks are
    /// told together, since it can only save as a whole.
    pub(super) fn checkpoint_before_interruption(&mut self, context: &SchedulingContext<'_>) {
        let mut stop: BTreeSet<JobId> = BTreeSet::new();
        for m in self
            .inventory
            .interrupted
            .iter()
            .filter_map(|n| self.inventory.machines.get(n))
        {
            let Some(at) = m.interruption_at else {
                continue;
            };
            for (id, _) in m.tasks.keys() {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                // Told at its next report, and all of a gang at theirs.
                let needs =
                    job.spec.checkpoint_time + 2 * context.settings.heartbeat_interval + SECOND;
                if job.spec.checkpoint_interval > 0 && !job.is_over && at < context.now + needs {
                    stop.insert(id.clone());
                }
            }
        }
        for id in stop {
            self.stop_with_checkpoint(&id, "its machine or a mate's is taken", |_, m| {
                m.interruption_at.is_some()
            });
        }
    }

    /// Has a job's tasks stopped with enough time to save: all of a gang's, of
    /// others those on machines that `on` picks.
    pub(super) fn stop_with_checkpoint(
        &mut self,
        id: &JobId,
        why: &str,
        on: impl Fn(&str, &Machine) -> bool,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (gang, save) = (job.spec.kind == JobKind::Gang, job.spec.checkpoint_time);
        let grace = if job.spec.checkpoint_interval > 0 {
            save + SECOND
        } else {
            0
        };
        for (n, name) in &job.on_machines {
            let Some(m) = self.inventory.machines.get_mut(name) else {
                continue;
            };
            if !gang && !on(name, m) {
                continue;
            }
            if let Some(h) = m.tasks.get_mut(&(id.clone(), *n)) {
                if h.stop_grace.is_none() {
                    log::info!("region: {id}/{n}: to be stopped, {why}");
                    h.stop_grace = Some(grace);
                }
            }
        }
    }
}
