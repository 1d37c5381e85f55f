//! Gangs over several regions.

use super::*;

impl Leader {
    /// The parts of a gang that no region can hold, if several together can and
    /// the cloud has no more: tasks by region, and what they have in common.
    pub(super) fn joint(
        &mut self,
        s: &JobSpec,
        narrow: bool,
        context: &SchedulingContext<'_>,
    ) -> Option<(Vec<TaskRange>, MultiRegionAttempt)> {
        if s.kind != JobKind::Gang || s.task_count < 2 || context.now < self.began + 2 * SECOND {
            return None;
        }
        let regions = context.settings.regions();
        let n = s.task_count as u64;
        let most = |r: &PlannedCapacity| r.at_most(s, narrow);
        if regions.iter().any(|r| self.in_region(s, r, most) >= n) {
            return None;
        }
        let for_rent = offers(&context.replica.machine_types).into_iter().any(|o| {
            let f = context
                .replica
                .machine_types
                .get(&o.machine_type)
                .map(|f| &f.value);
            f.is_some_and(|f| s.permits_machine(f, &o.zone, o.spot))
                && !self.refusals.is_backing_off(&o, context.now)
        });
        if for_rent {
            return None;
        }
        let mut by_zone: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for r in &self.rooms {
            let m = most(r);
            if m > 0 && context.replica.regions.contains_key(&r.region) {
                let zone = by_zone.entry(&r.zone).or_default();
                *zone.entry(&r.region).or_default() += m;
            }
        }
        let half = s.task_count.div_ceil(2) as u64;
        let mut share: BTreeMap<&str, u64> = BTreeMap::new();
        let mut zone = None;
        if s.single_zone {
            let (z, rs) = by_zone
                .iter()
                .max_by_key(|(_, rs)| rs.values().sum::<u64>())?;
            zone = Some((*z).to_owned());
            share.extend(rs);
        } else {
            // Of each zone no more than its half, if it must be spread; the regions
            // see to that among their own machines.
            for rs in by_zone.values() {
                let mut left = if s.spread_zones { half } else { n };
                for (r, m) in rs {
                    let take = left.min(*m);
                    left -= take;
                    *share.entry(r).or_default() += take;
                }
            }
        }
        // As few regions as will do.
        let mut share: Vec<(u64, &str)> = share.into_iter().map(|(r, m)| (m, r)).collect();
        share.sort_unstable_by(|a, b| b.cmp(a));
        let mut parts = Vec::new();
        let mut at = 0u32;
        for (m, r) in share {
            let take = (m.min(n - at as u64)) as u32;
            if take > 0 {
                parts.push(TaskRange::new(at, at + take, r));
                at += take;
            }
        }
        if at < s.task_count || parts.len() > 12 || (s.spread_zones && parts.len() > 1) {
            // A spread gang over several regions would need one bound per zone over
            // all of them: it waits for a region that can hold it.
            return None;
        }
        Some((
            parts,
            MultiRegionAttempt {
                attempt: self.next_attempt(),
                zone,
            },
        ))
    }

    /// An attempt that no owner and no other term ever uses.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.counter += 1;
        (1 << 62) | (self.version << 20) | (self.counter & 0xf_ffff)
    }

    /// Gangs over several regions: started once all parts have room, given another
    /// attempt when one failed, bound anew when a part was given back. All of it
    /// follows from the records and the regions' last reports, so that a new leader
    /// goes on where the last one ended.
    pub(super) fn lead_joint(&mut self, context: &SchedulingContext<'_>, reports: &Reports) {
        let mut changes = Vec::new();
        for id in &context.replica.joint {
            let Some(rec) = context.replica.jobs.get(id) else {
                continue;
            };
            let Some(MultiRegionAttempt { attempt, zone }) = &rec.value.multi_region else {
                continue;
            };
            let parts = &rec.value.task_ranges;
            let given_up = parts.iter().any(TaskRange::is_unbound);
            let (mut ready, mut idle, mut stuck) = (true, true, false);
            for TaskRange { first, end, region } in parts {
                let Some((r, _)) = reports.get(region) else {
                    (ready, idle) = (false, false);
                    continue;
                };
                let has_room = r
                    .gang_parts_ready
                    .iter()
                    .any(|(j, n)| j == id && n == attempt);
                let wait = r.pending_jobs.iter().find(|w| w.job == *id);
                let waits = wait.is_some_and(|w| w.pending_tasks == end - first);
                ready &= has_room;
                idle &= has_room || waits;
                stuck |= wait.is_some_and(|w| w.needs_new_attempt);
                if waits && (given_up || wait.is_some_and(|w| w.waiting_us > PART_PATIENCE)) {
                    self.out.push(Action::Tell(Message::RebindTasks {
                        job: id.clone(),
                        from: region.clone(),
                        to: String::new(),
                        count: end - first,
                    }));
                }
            }
            if given_up {
                continue;
            }
            if ready {
                for TaskRange { region, .. } in parts {
                    self.out.push(Action::Tell(Message::StartGang {
                        job: id.clone(),
                        attempt: *attempt,
                        region: region.clone(),
                    }));
                }
            } else if idle && stuck {
                changes.push((id.clone(), rec, zone.clone()));
            }
        }
        let changes = changes
            .into_iter()
            .map(|(id, rec, zone)| {
                let joint = Some(MultiRegionAttempt {
                    attempt: self.next_attempt(),
                    zone,
                });
                log::info!("leader: {id}: tried in vain, another attempt");
                let new = JobRecord {
                    multi_region: joint,
                    ..rec.value.clone()
                };
                (Key::Job(id), rec.version, value(&new))
            })
            .collect();
        self.commit(changes, CommitPriority::Normal, context);
    }
}
