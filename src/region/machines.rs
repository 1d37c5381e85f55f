//! The region's machines over their lives: entered, heard, opened, watched,
//! closed, returned, forgotten.

use super::*;
use crate::fault_injection::{is_left_out, Guard};
use crate::registry::records::MachineBatchRecord;

const SLACK: Micros = SECOND;
const SURPLUS: &str = "surplus";
/// A machine costs a minute at least: it isn't returned before it is nearly over.
pub const LEAST_AGE: Micros = 50 * SECOND;
/// How many reports without our token are answered before one with it must come.
const GREETINGS: u32 = 4;
/// Starts in a row that were not carried out before a machine counts as deaf.
const UNHEEDED: u32 = 2;
/// How long machines beyond what is likely to be asked for next stand idle.
const SPARE_PATIENCE: Micros = 5 * SECOND;
/// How long a machine that only some jobs fit on stands idle while its kind boots badly.
const MAX_IDLE: Micros = 300 * SECOND;
/// How often a machine is found deaf before it is returned.
const DEAF_TIMES: u32 = 4;

/// How long a machine that is heard no more is given while others report.
fn unheard(v: &View<'_>) -> Micros {
    v.settings.report * 18 / 5
}

/// The same after a taking, for machines not accounted for: the longest interval, one
/// report to a controller that is gone, a second to the next, and some more. Work
/// that was bound before waits for them all.
fn unaccounted(v: &View<'_>) -> Micros {
    (v.settings.report * 5 / 4 + 8 * SECOND).min(unheard(v))
}

/// Whether our answers reach a machine. Its reports arriving is no sign of it:
/// the way back may be cut alone, and such a machine would draw work again and
/// again and carry out none of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ear {
    /// They do, as far as we know.
    Good,
    /// So many starts in a row were not carried out.
    Doubt(u32),
    /// They don't, as of this time: nothing is placed there. If they did again,
    /// its session would stand; once it has for longer than a lease, they do.
    Deaf { since: Micros, times: u32 },
}

impl Region {
    /// Enters a machine's record.
    pub fn on_machine(&mut self, name: &str, v: &View<'_>) {
        let rec = v.replica.machines.get(name).map(|r| &r.value);
        let Some(rec) = rec.filter(|r| r.region == self.name) else {
            // Its record goes only once it is proved gone, by us.
            self.drop_machine(name, v);
            return;
        };
        let f = v.replica.flavors.get(&rec.flavor).map(|f| &f.value);
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
            listed: Listed::Out,
            standing: Standing::Expected,
            order: (0, 0),
            last_ok: v.now,
            heard_at: v.now,
            answered_since: 0,
            greeted: 0,
            ear: Ear::Good,
            dealt_at: v.now,
            boot: f.map_or(60 * SECOND, |f| f.boot),
            notice: None,
            tasks: BTreeMap::new(),
            idle_since: v.now,
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
        self.revisit_at(name, v.now + 2 * SECOND);
        self.relist(name);
    }

    fn group_of(&self, rec: &MachineRecord) -> GroupKey {
        let key = (
            Rc::from(rec.flavor.as_str()),
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
    pub fn on_flavors(&mut self, v: &View<'_>) {
        let names: Vec<Rc<str>> = self.machines.keys().cloned().collect();
        for n in &names {
            self.list_as(n, Listed::Out);
        }
        for n in &names {
            if let Some(m) = self.machines.get_mut(n) {
                if let Some(f) = v.replica.flavors.get(&m.rec.flavor).map(|f| &f.value) {
                    m.cap = (f.cpus, f.gpus, f.mem);
                    m.boot = f.boot;
                }
            }
            self.relist(n);
        }
        self.keep_clear(v);
        self.dirty_all = true;
    }

    fn drop_machine(&mut self, name: &str, v: &View<'_>) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.clear_machine(name, v);
        self.forget_boot(name);
        self.list_as(name, Listed::Out);
        if let Some((key, m)) = self.machines.remove_entry(name) {
            self.heard.remove(&(m.heard_at, key.clone()));
            self.due.remove(&(m.due, key.clone()));
            self.noticed.remove(&key);
            self.to_open.remove(&key);
            self.to_forget.remove(&key);
            self.surplus.remove(&key);
            self.awaited.remove(&key);
        }
        self.try_finish_recovery(v);
    }

    /// Brings the level-two list up to date with what is known of a machine.
    pub(super) fn relist(&mut self, name: &str) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let hears = !matches!(m.ear, Ear::Deaf { .. });
        let to = if m.open() && hears {
            let free = m.free();
            let wide = match self.list.kept(&m.group) {
                Some(k) => list::least(free, list::less(list::less(m.cap, k), m.wide)),
                None => free,
            };
            Listed::Open {
                free,
                wide,
                held: m.tasks.len() as u32,
            }
        } else if m.usable() && hears && m.standing != Standing::Empty && !m.late {
            Listed::Booting
        } else {
            Listed::Out
        };
        self.list_as(name, to);
    }

    fn list_as(&mut self, name: &str, to: Listed) {
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
    pub(super) fn keep_clear(&mut self, v: &View<'_>) {
        let changed: Vec<(GroupKey, Option<Room>)> = self
            .list
            .groups
            .iter()
            .filter(|(k, _)| !k.2)
            .map(|(k, g)| (k, g, self.narrow.kept_for(&k.0, v.now)))
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

    /// A report that doesn't carry our token: from a machine that hasn't heard
    /// from us yet, or a copy from a former owner's time. It proves nothing, not
    /// even that the machine is there; but it is answered, so that the machine
    /// learns our token. Guards against a machine that never does, because our
    /// answers don't reach it or all we get are copies: each answer might renew its
    /// lease, so after a few there are none, and its lease runs out for sure.
    pub(super) fn greet(&mut self, name: &Rc<str>, v: &View<'_>) -> Verdict {
        let Some(m) = self.machines.get_mut(name) else {
            return Verdict::UnknownMachine;
        };
        if m.greeted >= GREETINGS || m.closed.is_some() {
            return Verdict::Stale;
        }
        m.greeted += 1;
        m.last_ok = v.now;
        self.ask_open(name);
        Verdict::Commands(Vec::new())
    }

    fn ask_open(&mut self, name: &Rc<str>) {
        if self.machines.get(name).is_some_and(|m| !m.rec.opened) {
            self.to_open.insert(name.clone());
        }
    }

    /// Notes a newer report under our token. Returns whether it shows that our
    /// answers don't arrive: the session rose although we had answered.
    pub(super) fn listen(&mut self, name: &Rc<str>, r: &Report, v: &View<'_>) -> bool {
        self.ask_open(name);
        let Some(m) = self.machines.get_mut(name) else {
            return false;
        };
        let rose = m.order.0 != 0 && r.order.0 > m.order.0;
        // Answered without a break for the better part of a lease: one answer alone
        // may have been to a report that came late.
        if v.now > m.last_ok + 2 * v.settings.report + SECOND {
            m.answered_since = v.now;
        }
        let answered = v.now > m.answered_since + v.settings.lease * 3 / 4;
        if m.rec.opened {
            self.heard.remove(&(m.heard_at, name.clone()));
            self.heard.insert((v.now, name.clone()));
        }
        m.order = r.order;
        m.heard_at = v.now;
        m.last_ok = v.now;
        m.greeted = 0;
        m.standing = Standing::Live;
        m.notice = r.notice.map(|n| v.now + n);
        if m.notice.is_some() {
            self.noticed.insert(name.clone());
        } else {
            self.noticed.remove(name);
        }
        rose && answered
    }

    /// Judges from a report whether our answers reach the machine.
    pub(super) fn judge_hearing(
        &mut self,
        name: &Rc<str>,
        rose: bool,
        heeded: Option<bool>,
        v: &View<'_>,
    ) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let bad = rose || heeded == Some(false);
        let lease = stretch(v.settings.lease) + v.settings.report;
        let deaf = |times: u32| Ear::Deaf {
            since: v.now,
            times,
        };
        let next = match m.ear {
            Ear::Good if rose => deaf(1),
            Ear::Good if bad => Ear::Doubt(1),
            Ear::Doubt(n) if rose || (bad && n + 1 >= UNHEEDED) => deaf(1),
            Ear::Doubt(n) if bad => Ear::Doubt(n + 1),
            Ear::Doubt(_) if heeded == Some(true) => Ear::Good,
            Ear::Deaf { times, .. } if bad => deaf(times + 1),
            Ear::Deaf { since, .. } if v.now > since + lease => Ear::Good,
            same => same,
        };
        if next == m.ear {
            return;
        }
        let was = std::mem::replace(&mut m.ear, next);
        if let Ear::Deaf { times, .. } = next {
            log::info!("region: {name}: deaf, our answers don't arrive, time {times}");
            if times >= DEAF_TIMES && m.closed.is_none() {
                m.closed = Some("deaf");
            }
            let meant: Vec<(JobId, u32)> = m
                .tasks
                .iter()
                .filter(|(_, h)| h.place == Place::Assigned)
                .map(|(k, _)| k.clone())
                .collect();
            for (id, n) in meant {
                self.lost(&id, n, "its machine is deaf", v);
            }
            self.revisit_at(name, v.now);
        } else if matches!(was, Ear::Deaf { .. }) {
            log::info!("region: {name}: hears us again");
            self.dirty_machines.insert(name.clone());
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

    /// Puts machines on the roll before their first starts, and takes machines
    /// that are proved gone off the records; the changes of a moment go together.
    pub(super) fn write_machines(&mut self, v: &View<'_>) {
        let n = v.settings.size() as f64;
        self.open_ahead(v);
        if !self.rolling && !self.to_open.is_empty() && v.now >= self.roll_next {
            self.roll_next = v.now + (n / (v.settings.store_writes * 0.4) * 1e6) as Micros;
            self.write_roll(v);
        }
        if !self.forgetting && !self.to_forget.is_empty() && v.now >= self.forget_next {
            self.forget_next = v.now + (n / (v.settings.store_writes * 0.1) * 1e6) as Micros;
            self.write_gone(v);
        }
    }

    /// Puts machines on the roll before they are up, when so many are coming that
    /// opening each as it reports would cost more changes than there are. The price
    /// is that a taker waits for them all, so it isn't done for a few.
    fn open_ahead(&mut self, v: &View<'_>) {
        const MANY: usize = 40;
        let booting: usize = self.list.groups.values().map(|g| g.booting.len()).sum();
        if booting < MANY || self.rolling {
            return;
        }
        for g in self.list.groups.values() {
            for name in &g.booting {
                let Some(m) = self.machines.get(name) else {
                    continue;
                };
                if !m.rec.opened && v.now > m.dealt_at + m.boot * 2 / 5 {
                    self.to_open.insert(name.clone());
                }
            }
        }
    }

    fn write_roll(&mut self, v: &View<'_>) {
        let mut rolls: BTreeMap<u32, OpenedRecord> = BTreeMap::new();
        let mine = (self.name.clone(), 0)..=(self.name.clone(), u32::MAX);
        let mut on_record: BTreeMap<u32, OpenedRecord> = v
            .replica
            .opened
            .range(mine)
            .map(|((_, n), r)| (*n, r.value.clone()))
            .collect();
        let mut names = Vec::new();
        let mut apply = Vec::new();
        let mut when = self.when();
        let most = v.settings.txn_ops.saturating_sub(1).max(1);
        for name in &self.to_open {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let Some((lot, place)) = &m.rec.lot else {
                // As an earlier version kept it.
                if apply.len() + rolls.len() < most {
                    let mut rec = m.rec.clone();
                    rec.opened = true;
                    let key = Key::Machine(name.to_string());
                    when.push((key.clone(), v.replica.mark(&key)));
                    apply.push((key, Some(value(&rec))));
                    names.push(name.clone());
                }
                continue;
            };
            let found = on_record
                .iter()
                .find(|(_, r)| r.0.contains_key(&**lot))
                .or_else(|| {
                    on_record
                        .iter()
                        .find(|(_, r)| r.0.len() < MAX_OPENED_BATCHES)
                })
                .map(|(n, _)| *n);
            let n = found.unwrap_or_else(|| on_record.keys().next_back().map_or(0, |n| n + 1));
            if !rolls.contains_key(&n) && apply.len() + rolls.len() >= most {
                continue;
            }
            let roll = on_record.entry(n).or_default();
            if !rolls.contains_key(&n) {
                // Lots that are gone leave their places.
                roll.0.retain(|l, _| v.replica.batches.contains_key(l));
            }
            let mut set = RangeSet::default();
            if let Some(bits) = roll.0.get(&**lot) {
                read_bitmap(bits, 0, &mut set);
            }
            set.insert(*place as u32);
            roll.0.insert(lot.to_string(), bitmap(&set, 0));
            rolls.insert(n, roll.clone());
            names.push(name.clone());
        }
        for (n, roll) in rolls {
            let key = Key::Opened(self.name.clone(), n);
            when.push((key.clone(), v.replica.mark(&key)));
            apply.push((key, Some(value(&roll))));
        }
        if names.is_empty() {
            return;
        }
        self.rolling = true;
        let txn = Txn {
            when,
            apply,
            lease: None,
        };
        self.out
            .push(Effect::Commit(txn, Urgency::Next, Purpose::Open(names)));
    }

    fn write_gone(&mut self, v: &View<'_>) {
        let mut lots: BTreeMap<Rc<str>, MachineBatchRecord> = BTreeMap::new();
        let mut when = self.when();
        let mut apply = Vec::new();
        let mut names = Vec::new();
        let most = v.settings.txn_ops.saturating_sub(1).max(1);
        for name in &self.to_forget {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            match &m.rec.lot {
                None if apply.len() + lots.len() < most => {
                    let key = Key::Machine(name.to_string());
                    when.push((key.clone(), v.replica.mark(&key)));
                    apply.push((key, None));
                    names.push(name.clone());
                }
                Some((lot, place)) => {
                    if !lots.contains_key(lot) {
                        let known = v.replica.batches.get(&**lot);
                        if let (Some(l), true) = (known, apply.len() + lots.len() < most) {
                            lots.insert(lot.clone(), l.value.clone());
                        }
                    }
                    if let Some(n) = lots.get_mut(lot).and_then(|l| l.machines.get_mut(*place)) {
                        n.clear();
                        names.push(name.clone());
                    }
                }
                None => {}
            }
        }
        for (lot, rec) in lots {
            let key = Key::MachineBatch(lot.to_string());
            when.push((key.clone(), v.replica.mark(&key)));
            let empty = rec.machines.iter().all(String::is_empty);
            apply.push((key, (!empty).then(|| value(&rec))));
        }
        if names.is_empty() {
            return;
        }
        self.forgetting = true;
        let txn = Txn {
            when,
            apply,
            lease: None,
        };
        self.out
            .push(Effect::Commit(txn, Urgency::Later, Purpose::Forget(names)));
    }

    /// Has tasks that can save stopped in good time on machines that the cloud
    /// is about to take; the others run on as long as they can. A gang's tasks are
    /// told together, since it can only save as a whole.
    pub(super) fn save_before_notice(&mut self, v: &View<'_>) {
        let mut stop: BTreeSet<JobId> = BTreeSet::new();
        for m in self.noticed.iter().filter_map(|n| self.machines.get(n)) {
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
        let (gang, save) = (job.spec.kind == Kind::Gang, job.spec.save);
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

    /// Looks at the machines whose time has come.
    pub(super) fn watch_machines(&mut self, v: &View<'_>) {
        let mut release = Vec::new();
        let mut others = None;
        while let Some((at, name)) = self.due.first().cloned() {
            if at > v.now {
                break;
            }
            self.due.remove(&(at, name.clone()));
            if let Some(m) = self.machines.get_mut(&name) {
                m.due = Micros::MAX;
            }
            let next = self.watch(&name, v, &mut others, &mut release);
            self.relist(&name);
            if let Some(next) = next {
                self.revisit_at(&name, next.max(v.now + SECOND / 2));
            }
        }
        if !release.is_empty() {
            self.out.push(Effect::Release(release));
        }
    }

    /// A few machines that fall silent among others that report are gone or cut
    /// off: the cloud's answer to their return proves them empty long before their
    /// lease would. Were most silent, the fault would be ours.
    fn others_report(&self, v: &View<'_>) -> bool {
        let since = v.now.saturating_sub(3 * v.settings.report);
        let recent = self.heard.range((since, Rc::from(""))..).count();
        recent * 2 >= self.heard.len()
    }

    /// Finds out whether a machine is silent, idle or in the way. Returns when to
    /// look at it again.
    fn watch(
        &mut self,
        name: &Rc<str>,
        v: &View<'_>,
        others: &mut Option<bool>,
        release: &mut Vec<String>,
    ) -> Option<Micros> {
        let lease = if is_left_out(Guard::LeaseWait) {
            v.settings.report
        } else {
            stretch(v.settings.lease)
        };
        let awaited = self.awaited.contains(name);
        let patience = if awaited { unaccounted(v) } else { unheard(v) };
        let m = self.machines.get(name)?;
        if m.gone || m.releasing {
            return None;
        }
        // Nobody else can have answered it since we took the region, and what it
        // was last told by anyone is older than its lease.
        let silent = m.last_ok + lease + SLACK;
        // Dealt by us and never heard: it is still coming up.
        let coming = m.order == (0, 0) && m.dealt_at > self.taken_at;
        if m.standing != Standing::Empty
            && (m.rec.opened || m.standing == Standing::Live)
            && !coming
        {
            if v.now > silent {
                log::info!("region: {name}: silent past its lease");
                self.clear_machine(name, v);
                self.try_finish_recovery(v);
            } else if m.notice.is_some_and(|n| v.now > n + SECOND)
                && v.now > m.heard_at + v.settings.report * 3 / 2
            {
                // Its time was up and it fell silent: taken. The cloud's answer
                // proves it at once.
                return self.give_back(name, "taken", release);
            } else if v.now > m.heard_at + patience && m.rec.opened {
                if others.is_none() {
                    *others = Some(self.others_report(v));
                }
                if *others == Some(true) {
                    return self.give_back(name, "silent", release);
                }
            }
        }
        let m = self.machines.get_mut(name)?;
        match m.standing {
            Standing::Empty => {
                // Found at the taking and never heard by us: it may be coming up.
                let boot = if m.order == (0, 0) { 3 * m.boot } else { 0 };
                let last = m.heard_at + boot + lease + 5 * SECOND;
                if v.now > last {
                    return self.give_back(name, "silent", release);
                }
                return Some(last);
            }
            Standing::Expected => {
                // Late: whoever rents counts on it no more; but it may yet come.
                let late = m.dealt_at + m.boot * 8 / 5 + 4 * SECOND;
                let dealt = m.dealt_at;
                if m.rec.opened && !coming {
                    return Some((v.now + SECOND).max((m.heard_at + patience).min(silent)));
                }
                m.late = v.now > late;
                if v.now > late {
                    self.note_overdue(name, v.now);
                }
                let last = dealt + self.boot_patience(self.machines.get(name)?);
                if v.now > last {
                    return self.give_back(name, "never came up", release);
                }
                return Some(if v.now > late {
                    last.min(v.now + 10 * SECOND)
                } else {
                    late
                });
            }
            Standing::Live => m.late = false,
        }
        let mut next = (m.heard_at + unheard(v)).max(v.now + v.settings.report);
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
        let mut patience = v.settings.operator.idle.unwrap_or_else(|| {
            // A cheap machine's idle time costs less than the dear ones that work
            // would go to instead: those are to leave first.
            (m.boot as f64 * self.cheaper(&m.group, v)) as Micros
        });
        let group = self.list.groups.get(&m.group).filter(|g| g.kept.is_some());
        if group.is_some() && self.boots_badly(&m.group) {
            // What is up can't be replaced just now.
            patience = patience.max(MAX_IDLE);
        } else if group.is_some_and(|g| g.idle() > self.narrow.largest(&m.rec.flavor) as usize) {
            patience = patience.min(SPARE_PATIENCE);
        }
        let idle = m.idle_since.max(m.dealt_at) + patience;
        if m.closed.is_some() || (v.now > old && v.now > idle && !self.is_wanted(name)) {
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
        Some(next.min(if again > v.now {
            again
        } else {
            v.now + 2 * SECOND
        }))
    }

    /// How many times as dear as this kind's the dearest processors open to all
    /// work are.
    fn cheaper(&self, key: &GroupKey, v: &View<'_>) -> f64 {
        let price = |k: &GroupKey| Some(v.replica.flavors.get(&*k.0)?.value.per_cpu(k.2));
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
    fn is_wanted(&self, name: &str) -> bool {
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
            .any(|j| fits(m.cap, &j.spec) && j.spec.permits(&m.rec.flavor, &m.rec.zone, m.rec.spot))
    }

    fn give_back(
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
    pub fn close(&mut self, kind: (&str, &str, bool), count: u32, v: &View<'_>) {
        let key: GroupKey = (Rc::from(kind.0), Rc::from(kind.1), kind.2);
        let Some(g) = self.list.groups.get(&key) else {
            return;
        };
        let mut names: Vec<(u32, Rc<str>)> = g
            .names()
            .filter_map(|n| Some((n, self.machines.get(n)?)))
            .filter(|(_, m)| v.now > m.dealt_at + LEAST_AGE)
            .map(|(n, m)| (m.tasks.len() as u32, n.clone()))
            .collect();
        names.sort();
        for (held, name) in names.into_iter().take(count as usize) {
            if let Some(m) = self.machines.get_mut(&name) {
                log::debug!("region: {name}: closed, {held} tasks left");
                m.closed = Some(SURPLUS);
                self.surplus.insert(name.clone());
                self.relist(&name);
                self.revisit_at(&name, v.now);
            }
        }
    }

    /// The cloud has answered a return: `gone` if the machines are surely gone.
    pub fn on_released(&mut self, names: &[String], gone: bool, v: &View<'_>) {
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
                self.clear_machine(&key, v);
                self.to_forget.insert(key);
            } else if let Some(m) = self.machines.get_mut(&key) {
                // Sent but unanswered: it may be carried out late, so the
                // machine stays closed and is asked for again.
                m.releasing = false;
            }
        }
        self.try_finish_recovery(v);
    }
}
