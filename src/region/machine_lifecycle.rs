//! Machines that are silent, late, idle or not needed: watched, closed, returned.

use super::*;

const SLACK: Micros = SECOND;
const SURPLUS: &str = "surplus";
/// A machine costs a minute at least: it isn't returned before it is nearly over.
pub const LEAST_AGE: Micros = 50 * SECOND;
/// How long machines beyond what is likely to be asked for next stand idle.
const SPARE_PATIENCE: Micros = 5 * SECOND;
/// How long a machine that only some jobs fit on stands idle while its kind boots badly.
const MAX_IDLE: Micros = 300 * SECOND;
/// How long a machine that is heard no more is given while others report.
fn unheard(context: &SchedulingContext<'_>) -> Micros {
    context.settings.heartbeat_interval * 18 / 5
}
/// The same after a taking, for machines not accounted for: the longest interval, one
/// report to a controller that is gone, a second to the next, and some more. Work
/// that was bound before waits for them all.
fn unaccounted(context: &SchedulingContext<'_>) -> Micros {
    (context.settings.heartbeat_interval * 5 / 4 + 8 * SECOND).min(unheard(context))
}

impl Region {
    /// Looks at the machines whose time has come.
    pub(super) fn check_due_machines(&mut self, context: &SchedulingContext<'_>) {
        let mut release = Vec::new();
        let mut others = None;
        while let Some((at, name)) = self.inventory.next_checks.first().cloned() {
            if at > context.now {
                break;
            }
            self.inventory.next_checks.remove(&(at, name.clone()));
            if let Some(m) = self.inventory.machines.get_mut(&name) {
                m.next_check_at = Micros::MAX;
            }
            let next = self.check_machine(&name, context, &mut others, &mut release);
            self.reindex(&name);
            if let Some(next) = next {
                self.revisit_at(&name, next.max(context.now + SECOND / 2));
            }
        }
        if !release.is_empty() {
            self.commits.actions.push(Action::Release(release));
        }
    }

    /// A few machines that fall silent among others that report are gone or cut
    /// off: the cloud's answer to their return proves them empty long before their
    /// lease would. Were most silent, the fault would be ours.
    pub(super) fn most_machines_report(&self, context: &SchedulingContext<'_>) -> bool {
        let since = context
            .now
            .saturating_sub(3 * context.settings.heartbeat_interval);
        let recent = self
            .inventory
            .by_last_heartbeat
            .range((since, Rc::from(""))..)
            .count();
        recent * 2 >= self.inventory.by_last_heartbeat.len()
    }

    /// Finds out whether a machine is silent, idle or in the way. Returns when to
    /// look at it again.
    pub(super) fn check_machine(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
        others: &mut Option<bool>,
        release: &mut Vec<String>,
    ) -> Option<Micros> {
        let lease = if is_disabled(Safeguard::LeaseWait) {
            context.settings.heartbeat_interval
        } else {
            add_drift(context.settings.worker_lease)
        };
        let awaited = self.reconciliation.unreconciled.contains(name);
        let patience = if awaited {
            unaccounted(context)
        } else {
            unheard(context)
        };
        let m = self.inventory.machines.get(name)?;
        if m.is_gone || m.releasing {
            return None;
        }
        // Nobody else can have answered it since we took the region, and what it
        // was last told by anyone is older than its lease.
        let silent = m.last_answered_at + lease + SLACK;
        // Dealt by us and never heard: it is still coming up.
        let coming = m.last_heartbeat == HeartbeatId::NONE
            && m.assigned_at > self.reconciliation.acquired_at;
        if m.state != MachineState::LeaseExpired
            && (m.record.activated || m.state == MachineState::Ready)
            && !coming
        {
            if context.now > silent {
                log::info!("region: {name}: silent past its lease");
                self.machine_is_empty(name, context);
                self.try_finish_recovery(context);
            } else if m.interruption_at.is_some_and(|n| context.now > n + SECOND)
                && context.now > m.last_heartbeat_at + context.settings.heartbeat_interval * 3 / 2
            {
                // Its time was up and it fell silent: taken. The cloud's answer
                // proves it at once.
                return self.release_machine(name, "taken", release);
            } else if context.now > m.last_heartbeat_at + patience && m.record.activated {
                if others.is_none() {
                    *others = Some(self.most_machines_report(context));
                }
                if *others == Some(true) {
                    return self.release_machine(name, "silent", release);
                }
            }
        }
        let m = self.inventory.machines.get_mut(name)?;
        match m.state {
            MachineState::LeaseExpired => {
                // Found at the taking and never heard by us: it may be coming up.
                let boot = if m.last_heartbeat == HeartbeatId::NONE {
                    3 * m.boot_time
                } else {
                    0
                };
                let last = m.last_heartbeat_at + boot + lease + 5 * SECOND;
                if context.now > last {
                    return self.release_machine(name, "silent", release);
                }
                return Some(last);
            }
            MachineState::Provisioning => {
                // Late: whoever rents counts on it no more; but it may yet come.
                let late = m.assigned_at + m.boot_time * 8 / 5 + 4 * SECOND;
                let dealt = m.assigned_at;
                if m.record.activated && !coming {
                    return Some(
                        (context.now + SECOND).max((m.last_heartbeat_at + patience).min(silent)),
                    );
                }
                m.is_overdue = context.now > late;
                if context.now > late {
                    self.note_overdue(name, context.now);
                }
                let last = dealt + self.provisioning_timeout(self.inventory.machines.get(name)?);
                if context.now > last {
                    return self.release_machine(name, "never came up", release);
                }
                return Some(if context.now > late {
                    last.min(context.now + 10 * SECOND)
                } else {
                    late
                });
            }
            MachineState::Ready => m.is_overdue = false,
        }
        let mut next = (m.last_heartbeat_at + unheard(context))
            .max(context.now + context.settings.heartbeat_interval);
        if let Some(n) = m.interruption_at {
            next = next.min(n + 2 * SECOND);
        }
        let kept = self.inventory.index.reserved(&m.pool).is_some();
        if m.serves_its_purpose(kept) {
            return Some(next);
        }
        let old = m.assigned_at + LEAST_AGE;
        // To stand idle for as long as a new one takes to boot costs as much as
        // that boot: beyond it, returning is the cheaper guess.
        // But of a type that is kept for some jobs no more wait than its largest gang
        // would take: those beyond are needed later than a new one would be up.
        let m = self.inventory.machines.get(name)?;
        let mut patience = context.settings.operator.idle_timeout.unwrap_or_else(|| {
            // A cheap machine's idle time costs less than the dear ones that work
            // would go to instead: those are to leave first.
            (m.boot_time as f64 * self.price_advantage(&m.pool, context)) as Micros
        });
        let group = self
            .inventory
            .index
            .pools
            .get(&m.pool)
            .filter(|g| g.reserved.is_some());
        if group.is_some() && self.is_provisioning_in_trouble(&m.pool) {
            // What is up can't be replaced just now.
            patience = patience.max(MAX_IDLE);
        } else if group.is_some_and(|g| {
            g.idle_count()
                > self
                    .inventory
                    .constrained_types
                    .largest_gang(&m.record.machine_type) as usize
        }) {
            patience = patience.min(SPARE_PATIENCE);
        }
        let idle = m.idle_since.max(m.assigned_at) + patience;
        if m.cordoned.is_some()
            || (context.now > old && context.now > idle && !self.is_wanted_by_pending_jobs(name))
        {
            if m.tasks.is_empty() {
                return self.release_machine(name, "idle", release);
            }
            // Guards against a large machine that stays for the sake of small tasks in
            // the corner that is left beside a large one: it gets no more of them.
            let m = self.inventory.machines.get_mut(name)?;
            if m.cordoned.is_none() {
                log::debug!("region: {name}: closed, only small work left on it");
                m.cordoned = Some(SURPLUS);
                self.inventory.draining.insert(name.clone());
            }
            return Some(next);
        }
        let again = old.max(idle);
        Some(next.min(if again > context.now {
            again
        } else {
            context.now + 2 * SECOND
        }))
    }

    /// How many times as dear as this kind's the dearest processors open to all
    /// work are.
    pub(super) fn price_advantage(
        &self,
        key: &MachinePool,
        context: &SchedulingContext<'_>,
    ) -> f64 {
        let price = |k: &MachinePool| {
            Some(
                context
                    .replica
                    .machine_types
                    .get(&*k.machine_type)?
                    .value
                    .per_cpu(k.spot),
            )
        };
        let open = self
            .inventory
            .index
            .pools
            .iter()
            .filter(|(_, g)| g.available_count > 0);
        let dear = open
            .filter(|(_, g)| g.reserved.is_none())
            .filter_map(|(k, _)| price(k));
        let dear = dear.fold(0.0, f64::max);
        price(key)
            .filter(|p| *p > 0.0)
            .map_or(1.0, |p| (dear / p).clamp(1.0, 10.0))
    }

    /// Whether waiting work may run on a machine.
    pub(super) fn is_wanted_by_pending_jobs(&self, name: &str) -> bool {
        const LOOK: usize = 20;
        let Some(m) = self.inventory.machines.get(name) else {
            return false;
        };
        let kept = self.inventory.index.reserved(&m.pool);
        self.queue
            .ready
            .values()
            .take(LOOK)
            .filter_map(|id| self.jobs.get(id))
            .filter(|j| kept.is_none() || j.only_type.is_some())
            .any(|j| {
                j.spec.task_fits_in(m.capacity)
                    && j.spec.permits_placement(
                        &m.record.machine_type,
                        &m.record.zone,
                        m.record.spot,
                    )
            })
    }

    pub(super) fn release_machine(
        &mut self,
        name: &Rc<str>,
        why: &'static str,
        release: &mut Vec<String>,
    ) -> Option<Micros> {
        self.forget_provisioning(name);
        let m = self.inventory.machines.get_mut(name)?;
        let why = *m.cordoned.get_or_insert(why);
        log::info!("region: {name}: returned, {why}");
        m.releasing = true;
        release.push(name.to_string());
        None
    }

    /// Work waits: machines that were closed as not needed serve again, unless
    /// they are already on their way back to the cloud; those of types that are kept
    /// for some jobs only when such a job waits.
    pub(super) fn uncordon(&mut self, for_kept: bool) {
        for name in std::mem::take(&mut self.inventory.draining) {
            if let Some(m) = self.inventory.machines.get_mut(&name) {
                if self.inventory.index.reserved(&m.pool).is_some() != for_kept {
                    self.inventory.draining.insert(name);
                } else if m.cordoned == Some(SURPLUS) && !m.releasing {
                    m.cordoned = None;
                    self.reindex(&name);
                    self.triggers.machines.insert(name);
                }
            }
        }
    }

    /// The leader says that all regions together can do without some machines of
    /// a kind: those with the fewest tasks get no more and go back once they are
    /// empty. Tasks are never moved or stopped for it.
    pub fn cordon_surplus(
        &mut self,
        kind: (&str, &str, bool),
        count: u32,
        context: &SchedulingContext<'_>,
    ) {
        let key = MachinePool::new(kind.0, kind.1, kind.2);
        let Some(g) = self.inventory.index.pools.get(&key) else {
            return;
        };
        let mut names: Vec<(u32, Rc<str>)> = g
            .available_machines()
            .filter_map(|n| Some((n, self.inventory.machines.get(n)?)))
            .filter(|(_, m)| context.now > m.assigned_at + LEAST_AGE)
            .map(|(n, m)| (m.tasks.len() as u32, n.clone()))
            .collect();
        names.sort();
        for (held, name) in names.into_iter().take(count as usize) {
            if let Some(m) = self.inventory.machines.get_mut(&name) {
                log::debug!("region: {name}: closed, {held} tasks left");
                m.cordoned = Some(SURPLUS);
                self.inventory.draining.insert(name.clone());
                self.reindex(&name);
                self.revisit_at(&name, context.now);
            }
        }
    }

    /// The cloud has answered a return: `gone` if the machines are surely gone.
    pub fn on_released(&mut self, names: &[String], gone: bool, context: &SchedulingContext<'_>) {
        for name in names {
            let Some((key, _)) = self.inventory.machines.get_key_value(name.as_str()) else {
                continue;
            };
            let key = key.clone();
            if gone {
                if let Some(m) = self.inventory.machines.get_mut(&key) {
                    m.is_gone = true;
                    m.cordoned.get_or_insert("gone");
                    self.inventory
                        .by_last_heartbeat
                        .remove(&(m.last_heartbeat_at, key.clone()));
                }
                self.machine_is_empty(&key, context);
                self.machine_records.to_remove.insert(key);
            } else if let Some(m) = self.inventory.machines.get_mut(&key) {
                // Sent but unanswered: it may be carried out late, so the
                // machine stays closed and is asked for again.
                m.releasing = false;
            }
        }
        self.try_finish_recovery(context);
    }
}
