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
    context.settings.report * 18 / 5
}
/// The same after a taking, for machines not accounted for: the longest interval, one
/// report to a controller that is gone, a second to the next, and some more. Work
/// that was bound before waits for them all.
fn unaccounted(context: &SchedulingContext<'_>) -> Micros {
    (context.settings.report * 5 / 4 + 8 * SECOND).min(unheard(context))
}

impl Region {
    /// Looks at the machines whose time has come.
    pub(super) fn watch_machines(&mut self, context: &SchedulingContext<'_>) {
        let mut release = Vec::new();
        let mut others = None;
        while let Some((at, name)) = self.due.first().cloned() {
            if at > context.now {
                break;
            }
            self.due.remove(&(at, name.clone()));
            if let Some(m) = self.machines.get_mut(&name) {
                m.due = Micros::MAX;
            }
            let next = self.watch(&name, context, &mut others, &mut release);
            self.relist(&name);
            if let Some(next) = next {
                self.revisit_at(&name, next.max(context.now + SECOND / 2));
            }
        }
        if !release.is_empty() {
            self.out.push(Action::Release(release));
        }
    }

    /// A few machines that fall silent among others that report are gone or cut
    /// off: the cloud's answer to their return proves them empty long before their
    /// lease would. Were most silent, the fault would be ours.
    pub(super) fn others_report(&self, context: &SchedulingContext<'_>) -> bool {
        let since = context.now.saturating_sub(3 * context.settings.report);
        let recent = self.heard.range((since, Rc::from(""))..).count();
        recent * 2 >= self.heard.len()
    }

    /// Finds out whether a machine is silent, idle or in the way. Returns when to
    /// look at it again.
    pub(super) fn watch(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
        others: &mut Option<bool>,
        release: &mut Vec<String>,
    ) -> Option<Micros> {
        let lease = if is_disabled(Safeguard::LeaseWait) {
            context.settings.report
        } else {
            add_drift(context.settings.lease)
        };
        let awaited = self.awaited.contains(name);
        let patience = if awaited {
            unaccounted(context)
        } else {
            unheard(context)
        };
        let m = self.machines.get(name)?;
        if m.gone || m.releasing {
            return None;
        }
        // Nobody else can have answered it since we took the region, and what it
        // was last told by anyone is older than its lease.
        let silent = m.last_ok + lease + SLACK;
        // Dealt by us and never heard: it is still coming up.
        let coming = m.order == (0, 0) && m.dealt_at > self.taken_at;
        if m.standing != MachineState::LeaseExpired
            && (m.rec.opened || m.standing == MachineState::Ready)
            && !coming
        {
            if context.now > silent {
                log::info!("region: {name}: silent past its lease");
                self.clear_machine(name, context);
                self.try_finish_recovery(context);
            } else if m.notice.is_some_and(|n| context.now > n + SECOND)
                && context.now > m.heard_at + context.settings.report * 3 / 2
            {
                // Its time was up and it fell silent: taken. The cloud's answer
                // proves it at once.
                return self.give_back(name, "taken", release);
            } else if context.now > m.heard_at + patience && m.rec.opened {
                if others.is_none() {
                    *others = Some(self.others_report(context));
                }
                if *others == Some(true) {
                    return self.give_back(name, "silent", release);
                }
            }
        }
        let m = self.machines.get_mut(name)?;
        match m.standing {
            MachineState::LeaseExpired => {
                // Found at the taking and never heard by us: it may be coming up.
                let boot = if m.order == (0, 0) { 3 * m.boot } else { 0 };
                let last = m.heard_at + boot + lease + 5 * SECOND;
                if context.now > last {
                    return self.give_back(name, "silent", release);
                }
                return Some(last);
            }
            MachineState::Provisioning => {
                // Late: whoever rents counts on it no more; but it may yet come.
                let late = m.dealt_at + m.boot * 8 / 5 + 4 * SECOND;
                let dealt = m.dealt_at;
                if m.rec.opened && !coming {
                    return Some((context.now + SECOND).max((m.heard_at + patience).min(silent)));
                }
                m.late = context.now > late;
                if context.now > late {
                    self.note_overdue(name, context.now);
                }
                let last = dealt + self.boot_patience(self.machines.get(name)?);
                if context.now > last {
                    return self.give_back(name, "never came up", release);
                }
                return Some(if context.now > late {
                    last.min(context.now + 10 * SECOND)
                } else {
                    late
                });
            }
            MachineState::Ready => m.late = false,
        }
        let mut next = (m.heard_at + unheard(context)).max(context.now + context.settings.report);
        if let Some(n) = m.notice {
            next = next.min(n + 2 * SECOND);
        }
        let kept = self.list.kept(&m.group).is_some();
        if m.serves(kept) {
            return Some(next);
        }
        let old = m.dealt_at + LEAST_AGE;
        // To stand idle for as long as a new one takes to boot costs as much as
        // that boot: beyond it, returning is the cheaper guess.
        // But of a type that is kept for some jobs no more wait than its largest gang
        // would take: those beyond are needed later than a new one would be up.
        let m = self.machines.get(name)?;
        let mut patience = context.settings.operator.idle.unwrap_or_else(|| {
            // A cheap machine's idle time costs less than the dear ones that work
            // would go to instead: those are to leave first.
            (m.boot as f64 * self.cheaper(&m.group, context)) as Micros
        });
        let group = self.list.groups.get(&m.group).filter(|g| g.kept.is_some());
        if group.is_some() && self.boots_badly(&m.group) {
            // What is up can't be replaced just now.
            patience = patience.max(MAX_IDLE);
        } else if group
            .is_some_and(|g| g.idle() > self.narrow.largest(&m.rec.machine_type) as usize)
        {
            patience = patience.min(SPARE_PATIENCE);
        }
        let idle = m.idle_since.max(m.dealt_at) + patience;
        if m.closed.is_some() || (context.now > old && context.now > idle && !self.is_wanted(name))
        {
            if m.tasks.is_empty() {
                return self.give_back(name, "idle", release);
            }
            // Guards against a large machine that stays for the sake of small tasks in
            // the corner that is left beside a large one: it gets no more of them.
            let m = self.machines.get_mut(name)?;
            if m.closed.is_none() {
                log::debug!("region: {name}: closed, only small work left on it");
                m.closed = Some(SURPLUS);
                self.surplus.insert(name.clone());
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
    pub(super) fn cheaper(&self, key: &GroupKey, context: &SchedulingContext<'_>) -> f64 {
        let price =
            |k: &GroupKey| Some(context.replica.machine_types.get(&*k.0)?.value.per_cpu(k.2));
        let open = self.list.groups.iter().filter(|(_, g)| g.up > 0);
        let dear = open
            .filter(|(_, g)| g.kept.is_none())
            .filter_map(|(k, _)| price(k));
        let dear = dear.fold(0.0, f64::max);
        price(key)
            .filter(|p| *p > 0.0)
            .map_or(1.0, |p| (dear / p).clamp(1.0, 10.0))
    }

    /// Whether waiting work may run on a machine.
    pub(super) fn is_wanted(&self, name: &str) -> bool {
        const LOOK: usize = 20;
        let Some(m) = self.machines.get(name) else {
            return false;
        };
        let kept = self.list.kept(&m.group);
        self.ready
            .values()
            .take(LOOK)
            .filter_map(|id| self.jobs.get(id))
            .filter(|j| kept.is_none() || j.narrow_to.is_some())
            .any(|j| {
                fits(m.cap, &j.spec) && j.spec.permits(&m.rec.machine_type, &m.rec.zone, m.rec.spot)
            })
    }

    pub(super) fn give_back(
        &mut self,
        name: &Rc<str>,
        why: &'static str,
        release: &mut Vec<String>,
    ) -> Option<Micros> {
        self.forget_boot(name);
        let m = self.machines.get_mut(name)?;
        let why = *m.closed.get_or_insert(why);
        log::info!("region: {name}: returned, {why}");
        m.releasing = true;
        release.push(name.to_string());
        None
    }

    /// Work waits: machines that were closed as not needed serve again, unless
    /// they are already on their way back to the cloud; those of types that are kept
    /// for some jobs only when such a job waits.
    pub(super) fn reopen(&mut self, for_kept: bool) {
        for name in std::mem::take(&mut self.surplus) {
            if let Some(m) = self.machines.get_mut(&name) {
                if self.list.kept(&m.group).is_some() != for_kept {
                    self.surplus.insert(name);
                } else if m.closed == Some(SURPLUS) && !m.releasing {
                    m.closed = None;
                    self.relist(&name);
                    self.dirty_machines.insert(name);
                }
            }
        }
    }

    /// The leader says that all regions together can do without some machines of
    /// a kind: those with the fewest tasks get no more and go back once they are
    /// empty. Tasks are never moved or stopped for it.
    pub fn close(&mut self, kind: (&str, &str, bool), count: u32, context: &SchedulingContext<'_>) {
        let key: GroupKey = (Rc::from(kind.0), Rc::from(kind.1), kind.2);
        let Some(g) = self.list.groups.get(&key) else {
            return;
        };
        let mut names: Vec<(u32, Rc<str>)> = g
            .names()
            .filter_map(|n| Some((n, self.machines.get(n)?)))
            .filter(|(_, m)| context.now > m.dealt_at + LEAST_AGE)
            .map(|(n, m)| (m.tasks.len() as u32, n.clone()))
            .collect();
        names.sort();
        for (held, name) in names.into_iter().take(count as usize) {
            if let Some(m) = self.machines.get_mut(&name) {
                log::debug!("region: {name}: closed, {held} tasks left");
                m.closed = Some(SURPLUS);
                self.surplus.insert(name.clone());
                self.relist(&name);
                self.revisit_at(&name, context.now);
            }
        }
    }

    /// The cloud has answered a return: `gone` if the machines are surely gone.
    pub fn on_released(&mut self, names: &[String], gone: bool, context: &SchedulingContext<'_>) {
        for name in names {
            let Some((key, _)) = self.machines.get_key_value(name.as_str()) else {
                continue;
            };
            let key = key.clone();
            if gone {
                if let Some(m) = self.machines.get_mut(&key) {
                    m.gone = true;
                    m.closed.get_or_insert("gone");
                    self.heard.remove(&(m.heard_at, key.clone()));
                }
                self.clear_machine(&key, context);
                self.to_forget.insert(key);
            } else if let Some(m) = self.machines.get_mut(&key) {
                // Sent but unanswered: it may be carried out late, so the
                // machine stays closed and is asked for again.
                m.releasing = false;
            }
        }
        self.try_finish_recovery(context);
    }
}
