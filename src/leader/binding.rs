//! Level one: which region each job is bound to.

use super::*;

impl Leader {
    /// Puts on record that jobs were cancelled along with those that they need. Everybody
    /// derives it from the records, so nothing hangs on when this comes: it is for the
    /// versions before 0.3, should one ever be brought back, and for the index.
    pub(super) fn write_cancelled_upstream(&mut self, context: &SchedulingContext<'_>) {
        const AT_ONCE: usize = 4;
        let ids = context.replica.pipelines.cancelled_upstream().iter();
        let ids = ids.filter(|id| !self.writing.contains(&Key::Job((*id).clone())));
        let changes: Vec<_> = ids
            .take(AT_ONCE)
            .filter_map(|id| {
                let r = context.replica.jobs.get(id)?;
                Some((Key::Job(id.clone()), r.version, value(&r.value.cancelled())))
            })
            .collect();
        if !changes.is_empty() {
            self.commit(changes, CommitPriority::Background, context);
        }
    }

    /// Binds every job that is not bound yet.
    pub fn bind(&mut self, context: &SchedulingContext<'_>) {
        self.write_cancelled_upstream(context);
        if context.replica.unbound_jobs.is_empty() {
            return;
        }
        let mut unbound: Vec<_> = context
            .replica
            .unbound_jobs
            .iter()
            .filter(|id| !self.writing.contains(&Key::Job((*id).clone())))
            .filter_map(|id| {
                let r = context.replica.jobs.get(id)?;
                Some((r.value.open_spec()?.clone(), id, r))
            })
            .collect();
        if unbound.is_empty() {
            return;
        }
        unbound.sort_by_key(|(s, id, _)| (s.submitted_at, (*id).clone()));
        let mut level_one: BTreeMap<String, u32> = context
            .settings
            .regions()
            .into_iter()
            .map(|r| {
                let n = context
                    .replica
                    .jobs_per_region
                    .get(&r)
                    .copied()
                    .unwrap_or(0);
                (r, n)
            })
            .collect();
        let mut changes = Vec::new();
        for (spec, id, rec) in unbound {
            self.narrow.note(&spec, context.replica, context.now);
            let narrow = only_fitting_type(&spec, context.replica);
            if narrow.is_none() {
                let size = spec.cpus as f64 * spec.task_count as f64;
                let ago = context.wall.saturating_sub(spec.submitted_at);
                self.inflow.add(
                    size * spec.estimated_run_time as f64,
                    context.now.saturating_sub(ago),
                );
                self.job_size += (size - self.job_size) * 0.1;
            }
            let bound = match self.joint(&spec, narrow.is_some(), context) {
                Some((parts, joint)) => {
                    log::info!("leader: {id}: too large for a region, over several: {parts:?}");
                    JobRecord {
                        task_ranges: parts,
                        multi_region: Some(joint),
                        ..rec.value.clone()
                    }
                }
                None => {
                    let region = self.choose_region(&spec, narrow.as_deref(), &level_one, context);
                    let Some(region) = region else { continue };
                    *level_one.entry(region.clone()).or_default() += 1;
                    log::debug!("leader: {id}: bound to {region}");
                    JobRecord {
                        task_ranges: vec![TaskRange::new(0, spec.task_count, region)],
                        multi_region: None,
                        ..rec.value.clone()
                    }
                }
            };
            changes.push((Key::Job(id.clone()), rec.version, value(&bound)));
        }
        self.commit(changes, CommitPriority::Normal, context);
    }

    /// How many tasks of a job a region's machines take, in the zone where they
    /// take the most if they must be together.
    pub(super) fn in_region(
        &self,
        s: &JobSpec,
        region: &str,
        of: impl Fn(&PlannedCapacity) -> u64,
    ) -> u64 {
        let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
        for r in self.rooms.iter().filter(|r| r.region == region) {
            *by_zone.entry(&r.zone).or_default() += of(r);
        }
        if s.single_zone {
            by_zone.into_values().max().unwrap_or(0)
        } else if s.spread_zones {
            let half = s.task_count.div_ceil(2) as u64;
            by_zone.into_values().map(|n| n.min(half)).sum()
        } else {
            by_zone.into_values().sum()
        }
    }

    pub(super) fn choose_region(
        &mut self,
        s: &JobSpec,
        narrow: Option<&str>,
        level_one: &BTreeMap<String, u32>,
        context: &SchedulingContext<'_>,
    ) -> Option<String> {
        let is_narrow = narrow.is_some();
        let need = if keeps_together(s) {
            s.task_count as u64
        } else {
            1
        };
        let mut now = BTreeSet::new();
        let mut able = BTreeSet::new();
        for r in level_one.keys() {
            if self.in_region(s, r, |x| if x.live { x.takes(s, is_narrow) } else { 0 }) >= need {
                now.insert(r.clone());
            }
            let stock = context.replica.machine_counts.get(r).is_some_and(|kinds| {
                kinds.keys().any(|pool| {
                    context
                        .replica
                        .machine_types
                        .get(&pool.machine_type)
                        .is_some_and(|f| s.permits_machine(&f.value, &pool.zone, pool.spot))
                })
            });
            let holds = |x: &PlannedCapacity| x.at_most(s, is_narrow);
            if stock && (need == 1 || self.in_region(s, r, holds) >= need) {
                able.insert(r.clone());
            }
        }
        if keeps_together(s) {
            // Where the cloud would bring what it needs.
            for o in offers(&context.replica.machine_types) {
                let f = context
                    .replica
                    .machine_types
                    .get(&o.machine_type)
                    .map(|f| &f.value);
                if f.is_some_and(|f| s.permits_machine(f, &o.zone, o.spot))
                    && !self.refusals.closed(&o, context.now)
                {
                    able.insert(self.region_for(&o, context));
                }
            }
        }
        let owned = |r: &String| context.replica.regions.contains_key(r);
        let best = |filter: &dyn Fn(&String) -> bool| {
            level_one
                .iter()
                .filter(|(r, _)| filter(r))
                .min_by_key(|(_, n)| **n)
                .map(|(r, _)| r.clone())
        };
        let region = if keeps_together(s) {
            best(&|r| owned(r) && now.contains(r))
                .or_else(|| best(&|r| owned(r) && able.contains(r)))
        } else {
            best(&|r| owned(r) && able.contains(r))
        };
        let region = region
            .or_else(|| best(&|r| owned(r)))
            .or_else(|| best(&|_| true))?;
        if keeps_together(s) {
            let mut left = s.task_count as u64;
            for r in self
                .rooms
                .iter_mut()
                .filter(|r| r.region == region && r.live)
            {
                left -= r.take(s, is_narrow, left);
            }
        }
        Some(region)
    }
}
