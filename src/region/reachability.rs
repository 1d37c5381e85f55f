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
    pub(super) fn request_activation(&mut self, name: &Rc<str>) {
        if self
            .inventory
            .machines
            .get(name)
            .is_some_and(|m| !m.record.activated)
        {
            self.machine_records.to_activate.insert(name.clone());
        }
    }

    /// A report that doesn't carry our token: from a machine that hasn't heard
    /// from us yet, or a copy from a former owner's time. It proves nothing, not
    /// even that the machine is there; but it is answered, so that the machine
    /// learns our token. Guards against a machine that never does, because our
    /// answers don't reach it or all we get are copies: each answer might renew its
    /// lease, so after a few there are none, and its lease runs out for sure.
    pub(super) fn acknowledge_outdated_token(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> HeartbeatOutcome {
        let Some(m) = self.inventory.machines.get_mut(name) else {
            return HeartbeatOutcome::UnknownMachine;
        };
        if m.unconfirmed_answers >= GREETINGS || m.cordoned.is_some() {
            return HeartbeatOutcome::Stale;
        }
        m.unconfirmed_answers += 1;
        m.last_answered_at = context.now;
        self.request_activation(name);
        HeartbeatOutcome::Accepted(Vec::new())
    }

    /// Notes a newer report under our token. Returns whether it shows that our
    /// answers don't arrive: the session rose although we had answered.
    pub(super) fn record_heartbeat(
        &mut self,
        name: &Rc<str>,
        r: &Heartbeat,
        context: &SchedulingContext<'_>,
    ) -> bool {
        self.request_activation(name);
        let Some(m) = self.inventory.machines.get_mut(name) else {
            return false;
        };
        let rose =
            m.last_heartbeat.incarnation != 0 && r.id.incarnation > m.last_heartbeat.incarnation;
        // Answered without a break for the better part of a lease: one answer alone
        // may have been to a report that came late.
        if context.now > m.last_answered_at + 2 * context.settings.heartbeat_interval + SECOND {
            m.answered_without_gap_since = context.now;
        }
        let answered =
            context.now > m.answered_without_gap_since + context.settings.worker_lease * 3 / 4;
        if m.record.activated {
            self.inventory
                .by_last_heartbeat
                .remove(&(m.last_heartbeat_at, name.clone()));
            self.inventory
                .by_last_heartbeat
                .insert((context.now, name.clone()));
        }
        m.last_heartbeat = r.id;
        m.last_heartbeat_at = context.now;
        m.last_answered_at = context.now;
        m.unconfirmed_answers = 0;
        m.state = MachineState::Ready;
        m.interruption_at = r.interruption_in.map(|n| context.now + n);
        if m.interruption_at.is_some() {
            self.inventory.interrupted.insert(name.clone());
        } else {
            self.inventory.interrupted.remove(name);
        }
        rose && answered
    }

    /// Judges from a report whether our answers reach the machine.
    pub(super) fn update_reachability(
        &mut self,
        name: &Rc<str>,
        rose: bool,
        heeded: Option<bool>,
        context: &SchedulingContext<'_>,
    ) {
        let Some(m) = self.inventory.machines.get_mut(name) else {
            return;
        };
        let bad = rose || heeded == Some(false);
        let lease = add_drift(context.settings.worker_lease) + context.settings.heartbeat_interval;
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
            if times >= DEAF_TIMES && m.cordoned.is_none() {
                m.cordoned = Some("deaf");
            }
            let meant: Vec<(JobId, u32)> = m
                .tasks
                .iter()
                .filter(|(_, h)| h.state == TaskState::Assigned)
                .map(|(k, _)| k.clone())
                .collect();
            for (id, n) in meant {
                self.return_to_pending(&id, n, "its machine is deaf", context);
            }
            self.revisit_at(name, context.now);
        } else if matches!(was, Reachability::Unreachable { .. }) {
            log::info!("region: {name}: hears us again");
            self.triggers.machines.insert(name.clone());
        }
    }
}
