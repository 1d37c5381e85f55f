//! How many machines there should be, and which are not needed.

use super::*;

impl Leader {
    /// Follows how many processors work that fits many types takes, and what should
    /// be there for it: what is usual and some more, and enough to get through what
    /// waits within the horizon.
    pub(super) fn look_at_demand(
        &mut self,
        context: &SchedulingContext<'_>,
        waits: &[UnplacedJob],
        reports: &Reports,
    ) {
        // Owners' estimates may be off by half, all in one direction: what finished
        // lately tells. Little of it says nothing.
        let sum = |of: fn(&RegionReport) -> f64| reports.values().map(|(r, _)| of(r)).sum::<f64>();
        let (said, took) = (sum(|r| r.estimated), sum(|r| r.actual));
        if said > 20.0 * SECOND as f64 * self.job_size {
            self.truth = (took / said).clamp(0.3, 3.0);
        }
        let wide = || self.rooms.iter().filter(|r| r.processors(false) > 0.0);
        let used: f64 = wide()
            .filter(|r| r.live && (r.spot || r.reserved.is_none()))
            .map(|r| (r.cap.cpus - r.free.cpus) as f64 * r.all)
            .sum();
        if self.usual == 0.0 {
            self.usual = used;
        }
        self.usual += (used - self.usual) * 0.04;
        let mut backlog = 0.0;
        for w in waits
            .iter()
            .filter(|w| w.narrow.is_none() && !w.whole() && !w.suspect)
        {
            // No more than all at once.
            let span = self.truth * w.spec.estimated_run_time.max(SECOND) as f64;
            let part = span / horizon(&w.spec, context) as f64;
            backlog += (w.count * w.spec.cpus) as f64 * part.min(1.0);
        }
        // What came in lately is what will be needed.
        let came = self.inflow.rate(context.now);
        let flow = came.map_or(self.usual, |c| c * self.truth);
        // More stays than would be rented, so that machines don't come and go with
        // every burst: each that goes cost a minute at least.
        self.target = flow + backlog;
        self.keep = flow * (1.0 + context.settings.operator.headroom) + self.job_size + backlog;
    }

    /// Has machines closed that all regions together can do without: of those
    /// that leave enough the dearest by what a processor costs, emptier ones first.
    pub(super) fn close_surplus(&mut self, context: &SchedulingContext<'_>) {
        // Guards against a new leader that knows of no demand yet, in the middle of a
        // burst perhaps: what it closed would be rented anew a little later.
        if context.now < self.next_close {
            return;
        }
        let Some(came) = self.inflow.rate(context.now) else {
            return;
        };
        let open = || self.rooms.iter().filter(|r| r.spot || r.reserved.is_none());
        let cap: f64 = open().map(|r| r.processors(false)).sum();
        let mut spare = cap - self.keep;
        let mut vain: Vec<(f64, &PlannedCapacity)> = open()
            .filter(|r| r.live)
            .filter_map(|r| {
                let price = context
                    .replica
                    .machine_types
                    .get(&r.machine_type)?
                    .value
                    .per_cpu(r.spot);
                Some((
                    price * (0.5 + r.free.cpus as f64 / r.cap.cpus.max(1) as f64),
                    r,
                ))
            })
            .collect();
        vain.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Some at a time, so that what follows from it is seen before the next.
        let machines: f64 = open().map(|r| r.all).sum();
        let mut most = (machines / 20.0).max(1.0);
        let mut closing: BTreeMap<(&str, &str, &str, bool), u32> = BTreeMap::new();
        for (_, r) in vain {
            let each = r.cap.cpus.max(1) as f64;
            let count = (spare / each).floor().min(r.all).min(most.floor());
            if count >= 1.0 {
                spare -= count * each;
                most -= count;
                let kind = (&*r.region, &*r.machine_type, &*r.zone, r.spot);
                *closing.entry(kind).or_default() += count as u32;
            }
        }
        if closing.is_empty() {
            return;
        }
        self.next_close = context.now + 500 * MILLISECOND;
        log::debug!(
            "leader: {} machines not needed, {:.0} processors up, {:.0} enough, {:.0} in use, {:.0} asked for, of which {:.2} true",
            closing.values().sum::<u32>(),
            cap / 1e6,
            self.keep / 1e6,
            self.usual / 1e6,
            came / 1e6,
            self.truth
        );
        for ((region, machine_type, zone, spot), count) in closing {
            self.out.push(Action::Tell(Message::CordonMachines {
                region: region.to_owned(),
                machine_type: machine_type.to_owned(),
                zone: zone.to_owned(),
                spot,
                count,
            }));
        }
    }
}
