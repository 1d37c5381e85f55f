//! The region's machines over their lives: opened, watched, closed, returned.

use super::placing::fits;
use super::*;

const SLACK: Micros = SECOND;

const SURPLUS: &str = "surplus";

/// A machine costs a minute at least: it isn't returned before it is nearly over.
pub const LEAST_AGE: Micros = 50 * SECOND;

impl Region {
    pub(super) fn open_machine(&mut self, name: &str) {
        let mark = self.mark;
        let region = Key::Region(self.name.clone());
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.rec.opened || m.opening {
            return;
        }
        m.opening = true;
        let mut rec = m.rec.clone();
        rec.opened = true;
        self.out.push(Effect::Commit(
            Txn {
                when: vec![(region, mark)],
                apply: vec![(Key::Machine(name.into()), Some(value(&rec)))],
                lease: None,
            },
            Urgency::First,
            Purpose::Open(name.into()),
        ));
    }

    /// Has tasks that can save stopped in good time on machines that the cloud
    /// is about to take; the others run on as long as they can. A gang's tasks are
    /// told together, since it can only save as a whole.
    pub(super) fn save_before_notice(&mut self, v: &View<'_>) {
        let mut stop: BTreeSet<JobId> = BTreeSet::new();
        for m in self.machines.values() {
            let Some(at) = m.notice else { continue };
            for (id, _) in m.tasks.keys() {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                // Told at its next report, and all of a gang at theirs.
                let needs = job.spec.save + 2 * v.settings.report + SECOND;
                if job.spec.checkpoint > 0 && !job.over && at < v.now + needs {
                    stop.insert(id.clone());
                }
            }
        }
        for id in stop {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let (gang, save) = (job.spec.kind == Kind::Gang, job.spec.save);
            for (n, name) in job.out.clone() {
                let Some(m) = self.machines.get_mut(&name) else {
                    continue;
                };
                if !gang && m.notice.is_none() {
                    continue;
                }
                if let Some(h) = m.tasks.get_mut(&(id.clone(), n)) {
                    if h.stop.is_none() {
                        log::info!(
                            "region: {id}/{n}: to be saved, its machine or a mate's is taken"
                        );
                        h.stop = Some(save + SECOND);
                    }
                }
            }
        }
    }

    /// Finds machines that are silent, idle or in the way.
    pub(super) fn watch_machines(&mut self, v: &View<'_>) {
        let mut clear = Vec::new();
        let mut release = Vec::new();
        let waiting: Vec<(Rc<JobSpec>, bool)> = self
            .jobs
            .values()
            .filter(|j| !j.waiting.is_empty())
            .map(|j| (j.spec.clone(), j.narrow_to.is_some()))
            .collect();
        // A few machines that fall silent among others that report are gone or
        // cut off: the cloud's answer to their return proves them empty long
        // before their lease would. Were most silent, the fault would be ours.
        let opened = self
            .machines
            .values()
            .filter(|m| m.rec.opened && !m.gone)
            .count();
        let heard = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Live && v.now < m.heard_at + 3 * v.settings.report)
            .count();
        let others_report = heard * 2 >= opened;
        for (name, m) in self.machines.iter_mut() {
            if m.gone {
                continue;
            }
            // Nobody else can have answered it since we took the region, and
            // what it was last told by anyone is older than its lease.
            let silent_for = v.now.saturating_sub(m.last_ok);
            if m.standing != Standing::Empty
                && silent_for > stretch(v.settings.lease) + SLACK
                && (m.rec.opened || m.standing == Standing::Live)
            {
                log::info!("region: {name}: silent for {:.0} s", to_secs(silent_for));
                clear.push(name.clone());
            }
            if m.standing == Standing::Empty && silent_for > stretch(v.settings.lease) + 5 * SECOND
            {
                m.closed = Some("silent");
                release.push(name.clone());
                m.releasing = true;
                continue;
            }
            let unheard = v.now.saturating_sub(m.heard_at);
            if m.rec.opened
                && m.standing != Standing::Empty
                && others_report
                && unheard > 5 * v.settings.report
            {
                log::info!(
                    "region: {name}: unheard for {:.0} s, returned",
                    to_secs(unheard)
                );
                m.closed = Some("silent");
                release.push(name.clone());
                m.releasing = true;
                continue;
            }
            if m.standing == Standing::Expected
                && !m.rec.opened
                && v.now > m.dealt_at + 3 * m.boot + 30 * SECOND
            {
                m.closed = Some("never came up");
                release.push(name.clone());
                m.releasing = true;
                continue;
            }
            if m.standing != Standing::Live || !m.tasks.is_empty() {
                continue;
            }
            let age = v.now - m.dealt_at;
            let idle = v.now.saturating_sub(m.idle_since.max(m.dealt_at));
            let kept = !m.rec.spot && self.narrow.kept_for(&m.rec.flavor, v.now).is_some();
            let wanted = waiting.iter().any(|(s, narrow)| {
                (*narrow || !kept)
                    && (s.spot || !m.rec.spot)
                    && fits(m.cap, s)
                    && s.types.as_ref().is_none_or(|t| t.contains(&m.rec.flavor))
            });
            // To stand idle for as long as a new one takes to boot costs as much
            // as that boot: beyond it, returning is the cheaper guess.
            let patience = v.settings.operator.idle.unwrap_or(m.boot);
            if m.closed.is_some() || (!wanted && idle > patience && age > LEAST_AGE) {
                let why = *m.closed.get_or_insert("idle");
                log::info!("region: {name}: returned, {why}");
                release.push(name.clone());
                m.releasing = true;
            }
        }
        for name in clear {
            self.clear_machine(&name, v);
        }
        if !release.is_empty() {
            self.out.push(Effect::Release(release));
        }
        if !self.settled {
            self.try_settle(v);
        }
    }

    /// Work waits: machines that were closed as not needed serve again, unless
    /// they are already on their way back to the cloud.
    pub(super) fn reopen(&mut self, v: &View<'_>) {
        let waiting = self
            .jobs
            .values()
            .any(|j| !j.waiting.is_empty() && j.narrow_to.is_none());
        if waiting {
            let (narrow, now) = (&self.narrow, v.now);
            for m in self.machines.values_mut() {
                let kept = !m.rec.spot && narrow.kept_for(&m.rec.flavor, now).is_some();
                if m.closed == Some(SURPLUS) && !m.releasing && !kept {
                    m.closed = None;
                    self.dirty = true;
                }
            }
        }
    }

    /// The leader says that all regions together can do without a machine: it
    /// gets no more tasks and goes back once it is empty. Tasks are never moved
    /// or stopped for it.
    pub fn close(&mut self, machine: &str, v: &View<'_>) {
        if let Some(m) = self.machines.get_mut(machine) {
            if m.closed.is_none() && v.now > m.dealt_at + LEAST_AGE {
                log::debug!("region: {machine}: closed, {} tasks left", m.tasks.len());
                m.closed = Some(SURPLUS);
            }
        }
    }

    /// The cloud has answered a return: `gone` if the machines are surely gone.
    pub fn on_released(&mut self, names: &[String], gone: bool, v: &View<'_>) {
        for name in names {
            if !self.machines.contains_key(name) {
                continue;
            }
            if gone {
                self.clear_machine(name, v);
                if let Some(m) = self.machines.get_mut(name) {
                    m.gone = true;
                    m.closed.get_or_insert("gone");
                }
                let txn = Txn {
                    when: self.when(),
                    apply: vec![(Key::Machine(name.clone()), None)],
                    lease: None,
                };
                self.out.push(Effect::Commit(
                    txn,
                    Urgency::Later,
                    Purpose::Forget(name.clone()),
                ));
            } else if let Some(m) = self.machines.get_mut(name) {
                // Sent but unanswered: it may be carried out late, so the
                // machine stays closed and is asked for again.
                m.releasing = false;
            }
        }
        self.try_settle(v);
    }
}
