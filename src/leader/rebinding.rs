//! Moving waiting tasks to regions with free capacity.

use super::*;

impl Leader {
    /// Rebinds tasks that have found no room for a short while to the region
    /// with the most free room.
    pub(super) fn move_waiting(
        &mut self,
        context: &SchedulingContext<'_>,
        waits: &mut [UnplacedJob],
        rooms: &mut [PlannedCapacity],
    ) {
        // Guards against room that is spoken for by tasks which their team's limit keeps
        // from it, while others wait where there is none: those come last.
        waits.sort_by_key(|w| w.short);
        let split = waits.partition_point(|w| !w.short);
        // Each is a change of a record.
        let mut most = (context.settings.min_store_write_rate * 0.4 * 0.2).ceil() as u32;
        let (free, short) = waits.split_at_mut(split);
        for part in [free, short] {
            self.move_part(context, part, rooms, &mut most);
        }
    }

    pub(super) fn move_part(
        &mut self,
        context: &SchedulingContext<'_>,
        waits: &mut [UnplacedJob],
        rooms: &mut [PlannedCapacity],
        most: &mut u32,
    ) {
        // PlannedCapacity at home comes first and is spoken for.
        for w in waits.iter_mut() {
            let (narrow, mut left) = (w.narrow.is_some(), w.count);
            // Guards against a job for which there seems to be room at home and that
            // waits all the same: then it isn't counted on.
            if w.whole() && w.since > DOUBTFUL && !w.short {
                continue;
            }
            for r in rooms.iter_mut().filter(|r| r.live && r.region == w.region) {
                if left == 0 {
                    break;
                }
                left -= r.take(&w.spec, narrow, left);
            }
            w.count = left;
        }
        for w in waits.iter_mut() {
            let narrow = w.narrow.is_some();
            let whole = w.whole();
            let patient = w.since < 700 * MILLISECOND || self.moved.contains_key(&w.id);
            // Guards against a job that fails wherever it runs being spread over all
            // regions, each of which would have to find that out anew.
            let holds =
                |r: &PlannedCapacity| r.region == w.region && r.at_most(&w.spec, narrow) > 0;
            if w.suspect && rooms.iter().any(holds) {
                continue;
            }
            if w.count == 0
                || patient
                || *most == 0
                || (whole && w.count != w.spec.task_count as u64)
            {
                continue;
            }
            let mut per_region: BTreeMap<&str, (BTreeMap<&str, u64>, f64)> = BTreeMap::new();
            for r in rooms.iter().filter(|r| r.live && r.region != w.region) {
                let n = r.takes(&w.spec, narrow);
                let e = per_region.entry(&r.region).or_default();
                *e.0.entry(&r.zone).or_default() += n;
                e.1 += r.free.cpus as f64 * r.machines;
            }
            let need = if whole { w.spec.task_count as u64 } else { 1 };
            let room = |zones: &BTreeMap<&str, u64>| {
                if w.spec.single_zone {
                    zones.values().copied().max().unwrap_or(0)
                } else {
                    zones.values().sum()
                }
            };
            let to = per_region
                .iter()
                .filter(|(r, (z, _))| room(z) >= need && context.replica.regions.contains_key(**r))
                .max_by(|a, b| a.1 .1.total_cmp(&b.1 .1));
            let Some((to, (zones, _))) = to else {
                continue;
            };
            let (to, count) = ((*to).to_owned(), room(zones).min(w.count));
            log::debug!(
                "leader: {}: {count} waiting tasks from {} to {to}",
                w.id,
                w.region
            );
            let mut todo = count;
            for r in rooms.iter_mut().filter(|r| r.live && r.region == to) {
                todo -= r.take(&w.spec, narrow, todo);
            }
            w.count -= count;
            *most -= 1;
            self.moved.insert(w.id.clone(), context.now);
            self.out.push(Action::Tell(Message::RebindTasks {
                job: w.id.clone(),
                from: w.region.clone(),
                to,
                count: count as u32,
            }));
        }
    }
}
