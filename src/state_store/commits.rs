//! Commits: queues by urgency, the rate of changes, retries.

use super::*;

impl StateStore {
    /// Queues a commit; its end comes as [`StateStoreEvent::Committed`].
    pub fn commit(
        &mut self,
        txn: Transaction,
        urgency: CommitPriority,
        give_up: Option<Micros>,
    ) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let c = Commit {
            ticket,
            txn,
            urgency,
            asked: self.now,
            give_up,
            not_before: 0,
            unsure: false,
        };
        self.queues[urgency as usize].push_back(c);
        ticket
    }

    /// Commits that wait to be sent.
    pub fn backlog(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Times that commits took since the last call, for the admission limit.
    pub fn take_times(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.commit_times)
    }

    pub(super) fn pump_commits(
        &mut self,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
        next: &mut Micros,
    ) {
        for class in 0..self.queues.len() {
            let urgent = class == 0;
            let mut held = VecDeque::new();
            let mut queue = std::mem::take(&mut self.queues[class]);
            while let Some(c) = queue.pop_front() {
                if c.give_up.is_some_and(|g| now >= g) {
                    let end = if c.unsure {
                        CommitOutcome::Unknown
                    } else {
                        CommitOutcome::Refused
                    };
                    events.push(StateStoreEvent::Committed(c.ticket, end));
                    continue;
                }
                let cost = c.txn.changes.len() as f64;
                let at_once = COMMITS_AT_ONCE - class;
                // What can wait leaves some for what can't.
                let cost = cost + self.writes.cap * [0.0, 0.2, 0.5][class];
                if now < c.not_before
                    || self.in_flight >= at_once
                    || !self.requests.has(1.0)
                    || !self.writes.has(cost)
                {
                    let at = c
                        .not_before
                        .max(now + self.requests.wait(1.0))
                        .max(now + self.writes.wait(cost));
                    if at > now {
                        *next = (*next).min(at);
                    }
                    if let Some(g) = c.give_up {
                        *next = (*next).min(g);
                    }
                    held.push_back(c);
                    continue;
                }
                self.writes.level -= c.txn.changes.len() as f64;
                self.in_flight += 1;
                let body = encode(&txn_value(&c.txn));
                let timeout = if urgent {
                    1200 * MILLISECOND
                } else {
                    2 * SECOND
                };
                self.commit_sent.insert(c.ticket, now);
                self.send(
                    Operation::Commit(Box::new(c)),
                    "POST",
                    "/commit".into(),
                    body,
                    timeout,
                );
            }
            self.queues[class] = held;
        }
    }

    pub(super) fn on_commit(
        &mut self,
        mut c: Commit,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        self.in_flight -= 1;
        match &result {
            Ok(r) if r.status == 429 => {
                let leads = self.lease_id(LeaseRole::Leader).is_some();
                let floor = write_floor(self.writes_least, self.controllers, leads);
                self.writes.rate = (self.writes.rate * 0.7).max(floor);
            }
            Ok(r) if r.status == 200 => {
                self.writes.rate = (self.writes.rate + 0.05).min(self.write_most);
            }
            _ => {}
        }
        let sent_at = self.commit_sent.remove(&c.ticket).unwrap_or(now);
        let end = match &result {
            Ok(r) if r.status == 200 => {
                decode::<Revision>(&r.body).map(|a| CommitOutcome::Committed(a.revision))
            }
            Ok(r) if r.status == 409 => {
                decode::<Revision>(&r.body).map(|a| CommitOutcome::Conflict(a.revision))
            }
            Ok(r) if r.status == 400 => {
                log_refusal(&c.txn, &r.body);
                Some(if c.unsure {
                    CommitOutcome::Unknown
                } else {
                    CommitOutcome::Refused
                })
            }
            // Users are told at once when the state service can't be had.
            Ok(r) if r.status == 503 && c.give_up.is_some() => Some(if c.unsure {
                CommitOutcome::Unknown
            } else {
                CommitOutcome::Refused
            }),
            _ => None,
        };
        if let Some(end) = end {
            if let CommitOutcome::Committed(version) = end {
                self.commit_times.push(now - sent_at);
                log::debug!(
                    "registry: commit: {} changes, first {}, {} ms after it was asked for, {} waiting",
                    c.txn.changes.len(),
                    c.txn.changes.first().map_or_else(String::new, |(k, _)| k.text()),
                    (now - c.asked) / MILLISECOND,
                    self.backlog()
                );
                let mut keys = Vec::new();
                for (k, v) in c.txn.changes {
                    self.replica.own(&k, v, version);
                    keys.push(k);
                }
                events.push(StateStoreEvent::Committed(c.ticket, end));
                events.push(StateStoreEvent::Changed(keys));
            } else {
                if matches!(end, CommitOutcome::Conflict(_)) {
                    self.barrier_wanted = true;
                }
                events.push(StateStoreEvent::Committed(c.ticket, end));
            }
            return;
        }
        // 429 and 503 were not executed; silence may have been. Either way the
        // same conditions go out again.
        c.unsure |= matches!(result, Err(CallError::NoAnswer | CallError::TooLarge));
        c.not_before = now + 100 * MILLISECOND + fastrand::u64(0..150 * MILLISECOND);
        self.queues[c.urgency as usize].push_front(c);
    }
}

/// The rate of changes below which a controller doesn't go, however often it is refused.
/// The leader binds every job and records every machine beside what its own region asks
/// for. With an even share its changes waited for up to 20 s under a lowered limit, and
/// every step of a pipeline with them, while the others wrote down progress.
pub(super) fn write_floor(all: f64, controllers: f64, leads: bool) -> f64 {
    /// What the leader needs, in shares of the others.
    const LEADER_SHARES: f64 = 2.5;
    /// Some is left for clocks that run apart and requests that are tried again.
    const USABLE: f64 = 0.95;
    let share = all * USABLE / (controllers - 1.0 + LEADER_SHARES);
    if leads {
        share * LEADER_SHARES
    } else {
        share
    }
}

/// A lease that ended is part of losing a region, and said there; anything else that is
/// refused for good is a fault of ours. Neither is sent again.
fn log_refusal(txn: &Transaction, body: &[u8]) {
    let reason = rmp_serde::from_slice::<Refused>(body).map(|e| e.error);
    let reason = reason.unwrap_or_default();
    let first = txn
        .changes
        .first()
        .map_or_else(String::new, |(k, _)| k.text());
    if reason.contains("lease") {
        log::info!("registry: commit: {first}: the lease has ended");
    } else {
        log::error!("registry: commit: {first}: refused, {reason}");
    }
}

fn txn_value(t: &Transaction) -> Value {
    let conditions: &[_] = if is_disabled(Safeguard::RevisionConditions) {
        &[]
    } else {
        &t.conditions
    };
    let when: Vec<Value> = conditions
        .iter()
        .map(|(k, m)| json!({"k": k.text(), "mark": m}))
        .collect();
    let apply: Vec<Value> = t
        .changes
        .iter()
        .map(|(k, v)| match v {
            None => json!({"delete": k.text()}),
            Some(v) => match &t.lease {
                Some((lk, id)) if lk == k => {
                    json!({"put": k.text(), "value": v, "tenure": id})
                }
                _ => json!({"put": k.text(), "value": v}),
            },
        })
        .collect();
    json!({"when": when, "apply": apply})
}
