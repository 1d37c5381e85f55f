//! Gangs: placed whole, parts of joint ones, places held for the one whose turn it is.

use super::placement::AHEAD;
use super::*;

/// A gang has been with us for so long when places begin to be kept for it. Until
/// then smaller ones go ahead, since more of them are in time that way; a minute
/// leaves three for the places to fill up, of the four in which it must begin.
const HOLD_AFTER: Micros = 60 * SECOND;

impl Region {
    pub(super) fn place_gang(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        // Of a gang over several regions, only this region's part is placed here.
        let n = job.mine.len();
        let whole = n == spec.tasks || job.joint.is_some();
        if job.breaking
            || !job.out.is_empty()
            || job.waiting.len() != n
            || !whole
            || job.stuck()
            || job.given_up
        {
            return;
        }
        let need = spec.amount().times(n as u64);
        let half = spec.tasks.div_ceil(2);
        let tasks: Vec<u32> = job.waiting.numbers().collect();
        let (since, joint) = (job.wait_since, job.joint.clone());
        for zone in self.zones_for(job) {
            if self.room_for(id, zone.as_deref(), n as u64, context) < n as u64 {
                continue;
            }
            if !need.within(self.headroom(&spec.team, context)) {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.short = true;
                }
                return;
            }
            let attempt = match &joint {
                Some(j) => j.0,
                None => self.next_attempt(),
            };
            let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
            let mut full = BTreeSet::new();
            let mut placed = 0;
            for t in &tasks {
                let Some(name) = self.best_machine(id, zone.as_deref(), &full, context) else {
                    break;
                };
                if spec.spread {
                    if let Some(m) = self.machines.get(&name) {
                        let c = per_zone.entry(m.rec.zone.clone()).or_default();
                        *c += 1;
                        if *c >= half {
                            full.insert(m.rec.zone.clone());
                        }
                    }
                }
                self.transition(
                    id,
                    *t,
                    TaskState::Assigned,
                    Some((&name, attempt)),
                    context.now,
                );
                placed += 1;
            }
            if placed < tasks.len() {
                for t in &tasks[..placed] {
                    self.transition(id, *t, TaskState::Pending, None, context.now);
                }
                self.dirty_jobs.remove(id);
                if let Some(j) = self.jobs.get_mut(id) {
                    j.wait_since = since;
                }
                continue;
            }
            if self.hold.as_ref().is_some_and(|h| h.job == *id) {
                self.hold = None;
                self.dirty_all = true;
            }
            if joint.is_some() {
                log::info!("region: {id}: room held for our part, attempt {attempt}");
                if let Some(j) = self.jobs.get_mut(id) {
                    j.held_since = Some(context.now);
                }
                self.wake
                    .insert((context.now + context.settings.gang_wait, id.clone()));
            }
            return;
        }
        self.hold_for(id, context);
    }

    /// Parts of gangs over several regions for which room is held here.
    pub(super) fn ready_parts(&self) -> impl Iterator<Item = (&JobId, u64)> {
        self.jobs.iter().filter_map(|(id, j)| {
            let joint = j.joint.as_ref()?;
            j.held_since.map(|_| (id, joint.0))
        })
    }

    /// All parts of a gang over several regions have room: start ours.
    pub fn go(&mut self, id: &str, attempt: u64, context: &SchedulingContext<'_>) {
        let Some((id, job)) = self.jobs.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        let held = job.held_since.is_some() && job.joint.as_ref().is_some_and(|j| j.0 == attempt);
        if !held || job.over {
            return;
        }
        log::info!("region: {id}: all parts have room, attempt {attempt} starts");
        let out: Vec<(u32, Rc<str>)> = job.out.iter().map(|(n, m)| (*n, m.clone())).collect();
        if let Some(j) = self.jobs.get_mut(&id) {
            j.held_since = None;
            j.tried = attempt;
        }
        for (n, name) in out {
            if let Some(h) = self.held_mut(&id, n, &name) {
                h.wait_go = false;
                h.since = context.now;
            }
        }
    }

    /// A gang finds no room: if it is the first in line to wait, the places that
    /// fall free are kept for it.
    pub(super) fn hold_for(&mut self, id: &JobId, context: &SchedulingContext<'_>) {
        if self.hold.is_some() {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.failures.is_suspect() {
            return;
        }
        // Since its submission: it may have been moved here.
        let age = context.wall.saturating_sub(job.spec.submitted);
        if age < HOLD_AFTER {
            self.wake
                .insert((context.now + HOLD_AFTER - age, id.clone()));
            return;
        }
        let n = job.mine.len() as u64;
        let wide = job.narrow_to.is_none();
        let best = self
            .zones_for(job)
            .into_iter()
            .map(|zone| {
                let could = self.list.potential(&job.spec, wide, |k| {
                    job.spec.permits(&k.0, &k.1, k.2) && zone.as_ref().is_none_or(|z| *z == k.1)
                });
                let room = self.room_for(id, zone.as_deref(), n, context);
                (could >= n, room, zone)
            })
            .max();
        let Some((true, room, zone)) = best else {
            return;
        };
        log::info!("region: {id}: places are kept for it, {room} of {n} free");
        self.hold = Some(GangReservation {
            job: id.clone(),
            priority: job.spec.priority,
            team: job.spec.team.clone(),
            short: false,
            outranked: false,
            zone,
            until: 0,
            looked: 0,
        });
        self.watch_hold(context);
    }

    /// Looks whether places must still be held, and until when they will fill.
    pub(super) fn watch_hold(&mut self, context: &SchedulingContext<'_>) {
        let Some(h) = &self.hold else { return };
        let stays = self
            .jobs
            .get(&h.job)
            .filter(|j| !j.over && j.key.is_some() && !j.stuck() && !j.writing);
        let Some(job) = stays else {
            self.hold = None;
            self.dirty_all = true;
            return;
        };
        if context.now < h.looked + 2 * SECOND {
            return;
        }
        let short = job.short;
        let priority = job.spec.priority;
        let next = self.ready.values().take(AHEAD);
        let outranked = next
            .filter_map(|id| self.jobs.get(id))
            .any(|j| j.spec.priority > priority && !j.short);
        let n = job.mine.len() as u64;
        // When each machine will have been left by all that is on it now.
        let mut free_at: Vec<(Micros, u64)> = Vec::new();
        for (k, g) in &self.list.groups {
            if !job.spec.permits(&k.0, &k.1, k.2) || h.zone.as_ref().is_some_and(|z| *z != k.1) {
                continue;
            }
            let each = job.spec.count_in(g.cap);
            for m in g.names().filter_map(|n| self.machines.get(n)) {
                let ends = m
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.narrow || g.kept.is_none())
                    .filter_map(|((id, _), t)| {
                        let est = self.jobs.get(id)?.spec.estimate;
                        Some(t.ran_at.unwrap_or(context.now) + est)
                    })
                    .max();
                free_at.push((ends.unwrap_or(0).max(context.now), each));
            }
        }
        free_at.sort_unstable();
        let mut have = 0;
        let until = free_at.iter().find_map(|(at, each)| {
            have += each;
            (have >= n).then_some(*at)
        });
        if let Some(h) = &mut self.hold {
            h.until = until.unwrap_or(0);
            h.looked = context.now;
            h.short = short;
            h.outranked = outranked;
        }
        self.dirty_all = true;
    }
}
