//! Scale-out: renting machines for waiting work that does not have to keep together.
//!
//! Inputs are the waiting work that neither machines at hand nor those being provisioned take,
//! the demand forecast and the cloud's offers. Work that the machines at hand, busy ones
//! included, get through within the horizon rents nothing. The paper has no counterpart: its
//! processors are fixed in number.

use std::collections::BTreeMap;
use std::fmt;

use crate::cloud::{CloudClient, Offer};
use crate::region::SchedulingContext;
use salttiller_records::record::MAX_BATCH;
use salttiller_records::units::SECOND;

use super::horizon::start_horizon;
use super::machine_assignment::describe;
use super::offer_selection::OfferChoice;
use super::planned_capacity::claim_from;
use super::unplaced_job::{Flexibility, UnplacedJob};
use super::{Leader, CPU};

/// Most rental requests under way at a time: the cloud's calls are paced, and what waits in the
/// queue for long was planned on old reports.
const MAX_RENTAL_REQUESTS: usize = 8;

/// The rental requests that a plan may make.
pub(super) struct RentalRequests<'a> {
    cloud_client: &'a mut CloudClient,
    remaining: usize,
}

impl<'a> RentalRequests<'a> {
    fn new(cloud_client: &'a mut CloudClient) -> Self {
        let under_way = cloud_client.pending_rentals().len();
        RentalRequests {
            cloud_client,
            remaining: MAX_RENTAL_REQUESTS.saturating_sub(under_way),
        }
    }

    fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }
}

/// Waiting jobs that machines are rented for together: flexible ones, or those that fit on the
/// same one type.
#[derive(Debug, Default)]
struct JobGroup<'a> {
    /// In the order of the plan, never empty.
    jobs: Vec<&'a UnplacedJob>,
    /// Their tasks that no machine at hand or being provisioned takes.
    uncovered_tasks: u64,
}

impl JobGroup<'_> {
    fn allows_spot(&self) -> bool {
        self.jobs.iter().any(|job| job.spec.allows_spot)
    }

    /// Processors that get all waiting tasks under way within their horizon.
    fn backlog_cpus(&self, context: &SchedulingContext<'_>) -> f64 {
        self.jobs
            .iter()
            .map(|job| {
                job.unplaced_tasks as f64
                    * job.spec.cpus as f64
                    * job.spec.estimated_run_time.max(SECOND) as f64
                    / start_horizon(&job.spec, context) as f64
            })
            .sum()
    }
}

/// What a group still lacks while machines are rented for it.
#[derive(Debug)]
struct Shortage {
    tasks: u64,
    /// Processors at hand, being provisioned or asked for, millionths.
    available_cpus: f64,
    /// Processors that there should be, millionths.
    wanted_cpus: f64,
}

impl fmt::Display for Shortage {
    /// In log messages, whole processors.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "waiting_tasks={} cpus_available={:.0} cpus_wanted={:.0}",
            self.tasks,
            self.available_cpus / CPU,
            self.wanted_cpus / CPU
        )
    }
}

impl Shortage {
    fn lacks_cpus(&self) -> bool {
        self.available_cpus < self.wanted_cpus
    }

    /// How many machines of an offer to ask for: no more than processors are lacking, nor than
    /// the tasks fill; at least one.
    fn machines_to_rent(&self, choice: &OfferChoice) -> u32 {
        let lacking_cpus = self.wanted_cpus - self.available_cpus;
        let for_cpus = (lacking_cpus / choice.cpus_per_machine.max(1) as f64)
            .ceil()
            .max(1.0) as u64;
        let for_tasks = self.tasks.div_ceil(choice.tasks_per_machine.max(1));
        for_cpus.min(for_tasks).clamp(1, MAX_BATCH as u64) as u32
    }

    fn on_requested(&mut self, choice: &OfferChoice, machines: u32) {
        let machines = u64::from(machines);
        self.available_cpus += (choice.cpus_per_machine * machines) as f64;
        self.tasks = self
            .tasks
            .saturating_sub(choice.tasks_per_machine * machines);
    }
}

impl Leader {
    /// Rents the cheapest machines that bring waiting work under way soon enough, first for jobs
    /// that keep together.
    pub(super) fn scale_out(
        &mut self,
        waiting: &[UnplacedJob],
        context: &SchedulingContext<'_>,
        cloud_client: &mut CloudClient,
    ) {
        if cloud_client.is_unavailable() {
            return;
        }
        let mut requests = RentalRequests::new(cloud_client);
        let (together, divisible): (Vec<_>, Vec<_>) = waiting
            .iter()
            .filter(|job| job.unplaced_tasks > 0)
            .partition(|job| job.keeps_together());
        for job in together {
            if requests.is_exhausted() {
                return;
            }
            self.scale_out_for_indivisible(job, &mut requests, context);
        }
        let groups = self.group_by_type(divisible);
        for (only_type, group) in groups {
            self.scale_out_for_group(only_type, &group, &mut requests, context);
        }
    }

    /// Groups jobs by the one type that they fit on, flexible ones together and first, and claims
    /// the capacity of machines being provisioned for them.
    fn group_by_type<'a>(
        &mut self,
        jobs: Vec<&'a UnplacedJob>,
    ) -> BTreeMap<Option<&'a str>, JobGroup<'a>> {
        let mut groups: BTreeMap<Option<&str>, JobGroup<'_>> = BTreeMap::new();
        for job in jobs {
            let provisioning = self.capacity.iter_mut().filter(|c| !c.is_available);
            let uncovered = claim_from(
                provisioning,
                &job.spec,
                job.flexibility(),
                job.unplaced_tasks,
            );
            let group = groups.entry(job.only_type.as_deref()).or_default();
            group.jobs.push(job);
            group.uncovered_tasks += uncovered;
        }
        groups
    }

    fn scale_out_for_group(
        &mut self,
        only_type: Option<&str>,
        group: &JobGroup<'_>,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let Some(&first) = group.jobs.first() else {
            return;
        };
        let flexibility = Flexibility::of(only_type);
        let mut shortage = self.shortage(only_type, group, context);
        // With nothing that would ever hold a job, a machine is needed whatever the sums say.
        let mut unplaceable = group.jobs.iter().find(|job| !self.could_hold(job)).copied();
        while !requests.is_exhausted()
            && shortage.tasks > 0
            && (shortage.lacks_cpus() || unplaceable.is_some())
        {
            let job = unplaceable.take().unwrap_or(first);
            let Some(choice) = self.cheapest_offer(&job.spec, flexibility, None, context) else {
                break;
            };
            let wanted = shortage.machines_to_rent(&choice);
            let machines = self
                .provisioning_reports
                .limit(&choice.offer, wanted, context.now);
            if machines == 0 {
                break;
            }
            log::info!("renting {machines} {}: {shortage}", describe(&choice.offer));
            shortage.on_requested(&choice, machines);
            let region = self.region_for(&choice.offer, context);
            self.rent(choice.offer, region, machines, requests, context);
        }
    }

    fn shortage(
        &self,
        only_type: Option<&str>,
        group: &JobGroup<'_>,
        context: &SchedulingContext<'_>,
    ) -> Shortage {
        let allows_spot = group.allows_spot();
        let flexibility = Flexibility::of(only_type);
        let available_cpus = self
            .capacity
            .iter()
            .filter(|c| only_type.is_none_or(|t| c.machine_type == t && (allows_spot || !c.spot)))
            .map(|c| c.usable_cpus(flexibility))
            .sum();
        Shortage {
            tasks: group.uncovered_tasks,
            available_cpus,
            wanted_cpus: match flexibility {
                Flexibility::Flexible => self.demand.scale_out_threshold(),
                Flexibility::Constrained => group.backlog_cpus(context),
            },
        }
    }

    /// Whether any machine, with nothing else on it, would hold a task of the job.
    fn could_hold(&self, job: &UnplacedJob) -> bool {
        let mut machines = self.capacity.iter();
        machines.any(|c| c.max_tasks(&job.spec, job.flexibility()) > 0)
    }

    /// Asks the cloud for machines, under an idempotency key that nobody ever used.
    pub(super) fn rent(
        &mut self,
        offer: Offer,
        region: String,
        machines: u32,
        requests: &mut RentalRequests<'_>,
        context: &SchedulingContext<'_>,
    ) {
        let idempotency_key = self.term.next_unique_name(&context.settings.name);
        requests.remaining = requests.remaining.saturating_sub(1);
        requests
            .cloud_client
            .rent(offer, region, machines, idempotency_key);
    }
}
