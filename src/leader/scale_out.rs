//! Renting machines for waiting work.

use super::*;

impl Leader {
    /// Rents the cheapest machines that bring waiting work under way soon
    /// enough. Work that the machines at hand, busy ones included, will get
    /// through within the horizon rents nothing.
    pub(super) fn rent(
        &mut self,
        context: &SchedulingContext<'_>,
        waits: &[UnplacedJob],
        rooms: &mut [PlannedCapacity],
        cloud_client: &mut CloudClient,
    ) {
        const AT_ONCE: usize = 8;
        if cloud_client.is_unavailable() {
            return;
        }
        let mut asks = AT_ONCE.saturating_sub(cloud_client.pending_rentals().len());
        // Jobs that keep together get what each lacks.
        for w in waits.iter().filter(|w| w.whole() && w.count > 0) {
            if asks == 0 {
                return;
            }
            asks -= usize::from(self.rent_whole(context, w, rooms, cloud_client));
        }
        // Other work, by the one type it fits or for all types together.
        let mut groups: BTreeMap<Option<&str>, Vec<&UnplacedJob>> = BTreeMap::new();
        let mut uncovered: BTreeMap<Option<&str>, u64> = BTreeMap::new();
        for w in waits.iter().filter(|w| !w.whole() && w.count > 0) {
            groups.entry(w.narrow.as_deref()).or_default().push(w);
            // What is coming will take some of it.
            let mut left = w.count;
            for r in rooms.iter_mut().filter(|r| !r.live) {
                if left == 0 {
                    break;
                }
                left -= r.take(&w.spec, w.narrow.is_some(), left);
            }
            *uncovered.entry(w.narrow.as_deref()).or_default() += left;
        }
        for (narrow, list) in groups {
            let Some(first) = list.first() else { continue };
            let mut tasks = uncovered.get(&narrow).copied().unwrap_or(0);
            let spot = list.iter().any(|w| w.spec.allows_spot);
            // Capacity at hand or on its way, and what there should be.
            let mut have: f64 = rooms
                .iter()
                .filter(|r| narrow.is_none_or(|f| r.machine_type == f && (spot || !r.spot)))
                .map(|r| r.processors(narrow.is_some()))
                .sum();
            let target = match narrow {
                None => self.target,
                Some(_) => list
                    .iter()
                    .map(|w| {
                        w.count as f64
                            * w.spec.cpus as f64
                            * w.spec.estimated_run_time.max(SECOND) as f64
                            / horizon(&w.spec, context) as f64
                    })
                    .sum(),
            };
            // With nothing that would ever hold the first, one is needed whatever
            // the sums say.
            let shut = |w: &UnplacedJob| {
                let holds = |r: &PlannedCapacity| r.at_most(&w.spec, w.narrow.is_some()) > 0;
                !rooms.iter().any(holds)
            };
            let mut must = list.iter().find(|w| shut(w)).copied();
            while asks > 0 && tasks > 0 && (have < target || must.is_some()) {
                let w = must.take().unwrap_or(first);
                let Some((offer, per)) = self.best_offer(&w.spec, narrow.is_some(), None, context)
                else {
                    break;
                };
                let Some(f) = context
                    .replica
                    .machine_types
                    .get(&offer.machine_type)
                    .map(|f| &f.value)
                else {
                    break;
                };
                let by_work = ((target - have) / f.cpus.max(1) as f64).ceil().max(1.0) as u64;
                let by_tasks = tasks.div_ceil(per.max(1));
                let count = by_work.min(by_tasks).clamp(1, MAX_BATCH as u64);
                let count = u64::from(self.boots.limit(&offer, count as u32, context.now));
                if count == 0 {
                    break;
                }
                log::info!(
                    "leader: renting {count} {} in {}{}: {tasks} tasks wait, {:.0} processors, {:.0} wanted",
                    offer.machine_type,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" },
                    have / 1e6,
                    target / 1e6
                );
                have += (f.cpus * count) as f64;
                tasks = tasks.saturating_sub(per * count);
                asks -= 1;
                let region = self.region_for(&offer, context);
                self.ask(offer, region, count as u32, context, cloud_client);
            }
        }
    }

    /// Rents what a job that keeps together lacks where it is, or has it moved to
    /// where that can be had. Whether anything was asked for. Machines go to the
    /// region that is home to their kind, not to where the job happens to be: a
    /// scarce type cut into pieces holds no large gang.
    pub(super) fn rent_whole(
        &mut self,
        context: &SchedulingContext<'_>,
        w: &UnplacedJob,
        rooms: &mut [PlannedCapacity],
        cloud_client: &mut CloudClient,
    ) -> bool {
        let (s, narrow) = (&w.spec, w.narrow.is_some());
        let need = s.task_count as u64;
        // A zone, or all of them if it may be anywhere.
        let mut places: BTreeSet<Option<String>> = BTreeSet::new();
        if s.single_zone {
            let zones = context
                .replica
                .machine_types
                .values()
                .flat_map(|f| &f.value.zones);
            places.extend(zones.cloned().map(Some));
        } else {
            places.insert(None);
        }
        let inside = |r: &PlannedCapacity, region: &str, zone: &Option<String>| {
            r.region == region && zone.as_ref().is_none_or(|z| *z == r.zone)
        };
        let has = |zone: &Option<String>| -> u64 {
            rooms
                .iter()
                .filter(|r| inside(r, &w.region, zone))
                .map(|r| r.takes(s, narrow))
                .sum()
        };
        let offer =
            |l: &Self, zone: &Option<String>| l.best_offer(s, narrow, zone.as_deref(), context);
        let here = |l: &Self, zone: &Option<String>| {
            offer(l, zone).filter(|(o, _)| l.region_for(o, context) == w.region)
        };
        let best = places
            .iter()
            .map(|z| {
                let n = has(z);
                (n >= need, here(self, z).is_some(), n, z)
            })
            .max();
        let Some((enough, for_rent, have, zone)) = best else {
            return false;
        };
        if enough || for_rent {
            let mut left = have.min(need);
            for r in rooms.iter_mut().filter(|r| inside(r, &w.region, zone)) {
                left -= r.take(s, narrow, left);
            }
        }
        if enough {
            return false;
        }
        if let Some((o, per)) = here(self, zone) {
            let lacking = need - have;
            let count = lacking.div_ceil(per.max(1)).clamp(1, MAX_BATCH as u64) as u32;
            let count = self.boots.limit(&o, count, context.now);
            if count == 0 {
                return false;
            }
            log::info!(
                "leader: {}: {lacking} of its {need} tasks lack machines",
                w.id
            );
            self.ask(o, w.region.clone(), count, context, cloud_client);
            return true;
        }
        if w.since < 2 * SECOND || self.moved.contains_key(&w.id) || w.count != need {
            return false;
        }
        let holds = |r: &str| self.in_region(s, r, |x| x.at_most(s, narrow)) >= need;
        let owned = |r: &String| context.replica.regions.contains_key(r);
        let elsewhere = places
            .iter()
            .filter_map(|z| offer(self, z))
            .map(|(o, _)| self.region_for(&o, context))
            .find(|r| *r != w.region && owned(r));
        let to = match elsewhere {
            Some(r) => r,
            // Its region holds it once others are through.
            None if holds(&w.region) => return false,
            // Another does; or nobody, and it is bound anew, over several.
            None => {
                let mut all = context.settings.regions().into_iter();
                all.find(|r| owned(r) && holds(r)).unwrap_or_default()
            }
        };
        log::info!("leader: {}: can't be had in {}, to {to:?}", w.id, w.region);
        self.moved.insert(w.id.clone(), context.now + 10 * SECOND);
        self.out.push(Action::Tell(Message::RebindTasks {
            job: w.id.clone(),
            from: w.region.clone(),
            to,
            count: s.task_count,
        }));
        false
    }

    /// Asks the cloud, under a request name that nobody ever used: host, term
    /// of leading, number.
    pub(super) fn ask(
        &mut self,
        offer: Offer,
        region: String,
        count: u32,
        context: &SchedulingContext<'_>,
        cloud_client: &mut CloudClient,
    ) {
        self.counter += 1;
        let tenancy = format!(
            "{}-{}-{}",
            context.settings.name, self.version, self.counter
        );
        cloud_client.rent(offer, region, count, tenancy);
    }

    /// The cheapest offer for a job, by price of the processors it would use,
    /// slow boots counted as dearer, and how many of its tasks a machine holds.
    pub(super) fn best_offer(
        &self,
        s: &JobSpec,
        narrow: bool,
        zone: Option<&str>,
        context: &SchedulingContext<'_>,
    ) -> Option<(Offer, u64)> {
        let mut best: Option<(f64, Offer, u64)> = None;
        for o in offers(&context.replica.machine_types) {
            let Some(f) = context
                .replica
                .machine_types
                .get(&o.machine_type)
                .map(|f| &f.value)
            else {
                continue;
            };
            if !s.permits_machine(f, &o.zone, o.spot)
                || self.refusals.is_backing_off(&o, context.now)
                || zone.is_some_and(|z| z != o.zone)
            {
                continue;
            }
            if !narrow
                && !o.spot
                && self
                    .narrow
                    .reserved_on(&o.machine_type, context.now)
                    .is_some()
            {
                continue;
            }
            let per = s.tasks_per_machine(f);
            if per == 0 {
                continue;
            }
            let cost = f.price_of(o.spot) as f64 / (per * s.cpus).max(1) as f64
                * (1.0 + to_secs(f.boot_time) / 100.0)
                * self.boots.penalty(&o);
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, o, per));
            }
        }
        best.map(|(_, o, n)| (o, n))
    }
}
