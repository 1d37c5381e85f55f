//! Whether our answers reach a machine, judged from its reports.

use super::*;

/// How many reports without our token are answered before one with it must come.
const GREETINGS: u32 = 4;
/// Starts in a row that were not carried out before a machine counts as deaf.
const UNHEEDED: u32 = 2;
/// How often a machine is found deaf before it is returned.
const DEAF_TIMES: u32 = 4;
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
    pub(super) fn ask_open(&mut self, name: &Rc<str>) {
        if self.machines.get(name).is_some_and(|m| !m.rec.opened) {
            self.to_open.insert(name.clone());
        }
    }

    /// A report that doesn't carry our token: from a machine that hasn't heard
    /// from us yet, or a copy from a former owner's time. It proves nothing, not
    /// even that the machine is there; but it is answered, so that the machine
    /// learns our token. Guards against a machine that never does, because our
    /// answers don't reach it or all we get are copies: each answer might renew its
    /// lease, so after a few there are none, and its lease runs out for sure.
    pub(super) fn greet(&mut self, name: &Rc<str>, view: &View<'_>) -> Verdict {
        let Some(m) = self.machines.get_mut(name) else {
            return Verdict::UnknownMachine;
        };
        if m.greeted >= GREETINGS || m.closed.is_some() {
            return Verdict::Stale;
        }
        m.greeted += 1;
        m.last_ok = view.now;
        self.ask_open(name);
        Verdict::Commands(Vec::new())
    }

    /// Notes a newer report under our token. Returns whether it shows that our
    /// answers don't arrive: the session rose although we had answered.
    pub(super) fn listen(&mut self, name: &Rc<str>, r: &Report, view: &View<'_>) -> bool {
        self.ask_open(name);
        let Some(m) = self.machines.get_mut(name) else {
            return false;
        };
        let rose = m.order.0 != 0 && r.order.0 > m.order.0;
        // Answered without a break for the better part of a lease: one answer alone
        // may have been to a report that came late.
        if view.now > m.last_ok + 2 * view.settings.report + SECOND {
            m.answered_since = view.now;
        }
        let answered = view.now > m.answered_since + view.settings.lease * 3 / 4;
        if m.rec.opened {
            self.heard.remove(&(m.heard_at, name.clone()));
            self.heard.insert((view.now, name.clone()));
        }
        m.order = r.order;
        m.heard_at = view.now;
        m.last_ok = view.now;
        m.greeted = 0;
        m.standing = Standing::Live;
        m.notice = r.notice.map(|n| view.now + n);
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
        view: &View<'_>,
    ) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let bad = rose || heeded == Some(false);
        let lease = stretch(view.settings.lease) + view.settings.report;
        let deaf = |times: u32| Ear::Deaf {
            since: view.now,
            times,
        };
        let next = match m.ear {
            Ear::Good if rose => deaf(1),
            Ear::Good if bad => Ear::Doubt(1),
            Ear::Doubt(n) if rose || (bad && n + 1 >= UNHEEDED) => deaf(1),
            Ear::Doubt(n) if bad => Ear::Doubt(n + 1),
            Ear::Doubt(_) if heeded == Some(true) => Ear::Good,
            Ear::Deaf { times, .. } if bad => deaf(times + 1),
            Ear::Deaf { since, .. } if view.now > since + lease => Ear::Good,
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
                self.lost(&id, n, "its machine is deaf", view);
            }
            self.revisit_at(name, view.now);
        } else if matches!(was, Ear::Deaf { .. }) {
            log::info!("region: {name}: hears us again");
            self.dirty_machines.insert(name.clone());
        }
    }
}
