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
pub(super) enum Reachability {
    /// They do, as far as we know.
    Reachable,
    /// So many starts in a row were not carried out.
    Suspect(u32),
    /// They don't, as of this time: nothing is placed there. If they did again,
    /// its session would stand; once it has for longer than a lease, they do.
    Unreachable { since: Micros, times: u32 },
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
    pub(super) fn greet(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some(m) = self.machines.get_mut(name) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        if m.greeted >= GREETINGS || m.closed.is_some() {
            return HeartbeatOutcome::Stale;
        }
        m.greeted += 1;
        m.last_ok = context.now;
        self.ask_open(name);
        HeartbeatOutcome::Accepted(Vec::new())
    }

    /// Notes a newer report under our token. Returns whether it shows that our
    /// answers don't arrive: the session rose although we had answered.
    pub(super) fn listen(
        &mut self,
        name: &Rc<str>,
        r: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.ask_open(name);
        let Some(m) = self.machines.get_mut(name) else {
            return false;
        };
        let rose = m.order.0 != 0 && r.order.0 > m.order.0;
        // Answered without a break for the better part of a lease: one answer alone
        // may have been to a report that came late.
        if context.now > m.last_ok + 2 * context.settings.report + SECOND {
            m.answered_since = context.now;
        }
        let answered = context.now > m.answered_since + context.settings.lease * 3 / 4;
        if m.rec.opened {
            self.heard.remove(&(m.heard_at, name.clone()));
            self.heard.insert((context.now, name.clone()));
        }
        m.order = r.order;
        m.heard_at = context.now;
        m.last_ok = context.now;
        m.greeted = 0;
        m.standing = MachineState::Ready;
        m.notice = r.notice.map(|n| context.now + n);
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
        context: &SchedulingContext<'_>,
    ) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let bad = rose || heeded == Some(false);
        let lease = add_drift(context.settings.lease) + context.settings.report;
        let deaf = |times: u32| Reachability::Unreachable {
            since: context.now,
            times,
        };
        let next = match m.reachability {
            Reachability::Reachable if rose => deaf(1),
            Reachability::Reachable if bad => Reachability::Suspect(1),
            Reachability::Suspect(n) if rose || (bad && n + 1 >= UNHEEDED) => deaf(1),
            Reachability::Suspect(n) if bad => Reachability::Suspect(n + 1),
            Reachability::Suspect(_) if heeded == Some(true) => Reachability::Reachable,
            Reachability::Unreachable { times, .. } if bad => deaf(times + 1),
            Reachability::Unreachable { since, .. } if context.now > since + lease => {
                Reachability::Reachable
            }
            same => same,
        };
        if next == m.reachability {
            return;
        }
        let was = std::mem::replace(&mut m.reachability, next);
        if let Reachability::Unreachable { times, .. } = next {
            log::info!("region: {name}: deaf, our answers don't arrive, time {times}");
            if times >= DEAF_TIMES && m.closed.is_none() {
                m.closed = Some("deaf");
            }
            let meant: Vec<(JobId, u32)> = m
                .tasks
                .iter()
                .filter(|(_, h)| h.place == TaskState::Assigned)
                .map(|(k, _)| k.clone())
                .collect();
            for (id, n) in meant {
                self.lost(&id, n, "its machine is deaf", context);
            }
            self.revisit_at(name, context.now);
        } else if matches!(was, Reachability::Unreachable { .. }) {
            log::info!("region: {name}: hears us again");
            self.dirty_machines.insert(name.clone());
        }
    }
}
