//! Scale-out: rents machines for pending divisible jobs.
//!
//! Inputs are the pending tasks without capacity on available machines or machines being
//! provisioned, the demand forecast and the cloud's offers. No machines are rented for work that
//! the existing machines, including busy ones, complete within the start horizon. The paper has no
//! counterpart, because its number of processors is fixed.

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
use super::{Leader, MILLIONTHS_PER_CPU};

/// Maximum number of pending rental requests. The calls to the cloud are rate-limited, and a
/// request that waits long in the queue is based on outdated reports.
const MAX_RENTAL_REQUESTS: usize = 8;

/// The rental requests that a plan may still make.
pub(super) struct RentalRequests<'a> {
    cloud_client: &'a mut CloudClient,
    remaining: usize,
}

impl<'a> RentalRequests<'a> {
    fn new(cloud_client: &'a mut CloudClient) -> Self {
        let pending = cloud_client.pending_rentals().len();
        RentalRequests {
            cloud_client,
            remaining: MAX_RENTAL_REQUESTS.saturating_sub(pending),
        }
    }

    fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }
}

/// Pending jobs for which machines are rented together: all flexible jobs, or the constrained jobs
/// that fit on the same machine type.
#[derive(Debug, Default)]
struct JobGroup<'a> {
    /// Jobs in the order of the plan; never empty.
    jobs: Vec<&'a UnplacedJob>,
    /// Number of tasks without capacity on available machines or machines being provisioned.
    uncovered_tasks: u64,
}

impl JobGroup<'_> {
    fn allows_spot(&self) -> bool {
        self.jobs.iter().any(|job| job.spec.allows_spot)
    }

    /// Returns the processors needed to start all pending tasks within their start horizon.
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

/// Capacity that a group still lacks while machines are rented for it.
#[derive(Debug)]
struct Shortage {
    tasks: u64,
    /// Processors available, being provisioned or requested, in millionths.
    available_cpus: f64,
    /// Processors required, in millionths.
    wanted_cpus: f64,
}

impl fmt::Display for Shortage {
    /// Formats the shortage for log messages, in whole processors.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "waiting_tasks={} cpus_available={:.0} cpus_wanted={:.0}",
            self.tasks,
            self.available_cpus / MILLIONTHS_PER_CPU,
            self.wanted_cpus / MILLIONTHS_PER_CPU
        )
    }
}

impl Shortage {
    fn lacks_cpus(&self) -> bool {
        self.available_cpus < self.wanted_cpus
    }

    /// Returns how many machines of an offer to request: at most as many as cover the missing
    /// processors and as the tasks fill, and at least one.
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
    /// Rents the cheapest machines needed to start pending work within its start horizon, for
    /// indivisible jobs first.
    pub(super) fn scale_out(
        &mut self,
        unplaced: &[UnplacedJob],
        context: &SchedulingContext<'_>,
        cloud_client: &mut CloudClient,
    ) {
        if cloud_client.is_unavailable() {
            return;
        }
        let mut requests = RentalRequests::new(cloud_client);
        let (indivisible, divisible): (Vec<_>, Vec<_>) = unplaced
            .iter()
            .filter(|job| job.unplaced_tasks > 0)
            .partition(|job| job.is_indivisible());
        for job in indivisible {
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

    /// Groups jobs by the only type on which they fit, with all flexible jobs in the first group,
    /// and claims the capacity of machines being provisioned for them.
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
        // A job that fits on no existing machine needs a new one, regardless of the total
        // processors.
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

    /// Whether any existing machine could hold a task of the job if the machine were empty.
    fn could_hold(&self, job: &UnplacedJob) -> bool {
        let mut machines = self.capacity.iter();
        machines.any(|c| c.max_tasks(&job.spec, job.flexibility()) > 0)
    }

    /// Queues a rental request with a new idempotency key that was never used before.
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
