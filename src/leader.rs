//! The leader: the first of the two levels of scheduling.
//!
//! One controller at a time is the leader. Each of its decisions has its own module:
//!
//! - `binding`: which region a job is bound to. As in the paper, this is the region with the
//!   fewest unfinished jobs.
//! - `rebinding`: which pending tasks move to a region with free capacity.
//! - `multi_region_binding`, `multi_region_gangs`: which gangs are bound to several regions at
//!   once, and when their parts start.
//! - `demand`: a forecast of how many processors flexible jobs need.
//! - `scale_out`, `indivisible_scale_out`: which machines are rented, for divisible and for
//!   indivisible jobs. `offer_selection` finds the cheapest offer; `provisioning` limits rentals
//!   from pools whose machines boot late or never.
//! - `scale_in`: which machines are drained.
//! - `machine_assignment`: which region a machine belongs to. `cloud_events` and
//!   `unknown_machines` supply the machines to assign.
//!
//! The controller calls [`Leader::tick`] and the `on_` methods, then collects the [`Action`]s
//! and carries them out. The leader reads the replica, the settings and the regions' reports
//! from its arguments and changes only its own state, except that it queues its calls to the cloud
//! directly at the cloud client.
//!
//! A superseded leader is fenced by the leader's record alone: every write is conditional on the
//! record's revision. At worst, a superseded leader rents surplus machines.

mod arrival_rate;
mod binding;
mod cloud_events;
mod cloud_polling;
mod demand;
mod horizon;
mod indivisible_scale_out;
mod machine_assignment;
mod machines_on_record;
mod multi_region_binding;
mod multi_region_gangs;
mod offer_selection;
mod outbox;
mod plan;
mod planned_capacity;
mod pool;
mod provisioning;
mod provisioning_batches;
mod rebinding;
mod reports;
mod scale_in;
mod scale_out;
mod term;
mod unknown_machines;
mod unplaced_job;
mod upstream_cancellations;

use crate::cloud::{CapacityBackoff, CloudClient};
use crate::peer_protocol::ProvisioningHealth;
use crate::region::{ConstrainedTypes, SchedulingContext};
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::units::{Micros, MILLISECOND};

use cloud_polling::CloudPolling;
use demand::DemandForecast;
use outbox::{Outbox, RecordChange};
use planned_capacity::PlannedCapacity;
use provisioning::ProvisioningReports;
use provisioning_batches::ProvisioningBatches;
use rebinding::RecentRebindings;
use scale_in::FIRST_SCALE_IN_DELAY;
use term::Term;
use unknown_machines::UnknownMachines;

pub use outbox::Action;
pub use provisioning::PoolProvisioning;
pub use reports::{ReceivedReport, Reports};

/// Interval between plans. The regions report about as often, and each plan processes all
/// pending work.
const PLAN_INTERVAL: Micros = 400 * MILLISECOND;
/// Conversion factor for amounts of processors, which are counted in millionths of a processor.
const MILLIONTHS_PER_CPU: f64 = 1e6;

/// A controller's term as the leader.
pub struct Leader {
    term: Term,
    outbox: Outbox,
    /// Capacity of all machines as of the last plan, less the claims of that plan and of later
    /// bindings.
    capacity: Vec<PlannedCapacity>,
    demand: DemandForecast,
    constrained_types: ConstrainedTypes,
    recent_rebindings: RecentRebindings,
    refusals: CapacityBackoff,
    provisioning_reports: ProvisioningReports,
    provisioning_batches: ProvisioningBatches,
    unknown_machines: UnknownMachines,
    cloud_polling: CloudPolling,
    next_plan_at: Micros,
    next_scale_in_at: Micros,
}

impl Leader {
    /// Starts a term. `version` is the revision of the leader's record.
    pub fn new(version: u64, context: &SchedulingContext<'_>) -> Self {
        let mut constrained_types = ConstrainedTypes::default();
        for (_, _, spec) in context.replica.open_jobs() {
            constrained_types.record_job(spec, context.replica, context.now);
        }
        Leader {
            term: Term::new(version, context.now),
            outbox: Outbox::default(),
            capacity: Vec::new(),
            demand: DemandForecast::new(context.now),
            constrained_types,
            recent_rebindings: RecentRebindings::default(),
            refusals: CapacityBackoff::default(),
            provisioning_reports: ProvisioningReports::default(),
            provisioning_batches: ProvisioningBatches::default(),
            unknown_machines: UnknownMachines::default(),
            cloud_polling: CloudPolling::new(context.now),
            next_plan_at: 0,
            next_scale_in_at: context.now + FIRST_SCALE_IN_DELAY,
        }
    }

    /// Revision of the leader's record, which identifies the term.
    pub fn term_version(&self) -> u64 {
        self.term.version()
    }

    /// Performs the periodic work: records upstream cancellations, binds jobs, polls the cloud and
    /// makes plans. Returns the time of the next call.
    pub fn tick(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
        cloud_client: &mut CloudClient,
    ) -> Micros {
        self.record_upstream_cancellations(context);
        self.bind(context);
        self.poll_cloud(context, cloud_client);
        if context.now >= self.next_plan_at {
            self.next_plan_at = context.now + PLAN_INTERVAL;
            self.plan(context, reports, cloud_client);
        }
        self.next_plan_at.min(self.cloud_polling.next_list_at())
    }

    /// Returns the actions queued since the last call, in order.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// Handles the end of one of the leader's commits. `committed` is false if the commit failed or
    /// its outcome is unknown.
    pub fn on_commit_finished(&mut self, keys: &[Key], committed: bool, now: Micros) {
        for key in keys {
            self.outbox.on_commit_finished(key);
            if let Key::MachineBatch(name) = key {
                self.provisioning_batches
                    .on_commit_finished(name, committed, now);
            }
        }
    }

    /// Handles the removal of a machine's record.
    pub fn on_machine_removed(&mut self, name: &str, now: Micros) {
        self.unknown_machines.on_machine_removed(name, now);
    }

    /// Handles an owner's report on how the machines of its region boot.
    pub fn on_provisioning_report(
        &mut self,
        region: String,
        pools: Vec<ProvisioningHealth>,
        now: Micros,
    ) {
        self.provisioning_reports.on_report(region, pools, now);
    }

    /// Returns the pools whose machines boot late or never.
    pub fn degraded_pools(&self) -> Vec<PoolProvisioning> {
        self.provisioning_reports.degraded_pools()
    }

    /// Whether the cloud refused an offer recently.
    pub fn has_capacity_refusals(&self, now: Micros) -> bool {
        self.refusals.any_backing_off(now)
    }

    fn poll_cloud(&mut self, context: &SchedulingContext<'_>, cloud_client: &mut CloudClient) {
        let any_types_known = !context.replica.machine_types.is_empty();
        if self
            .cloud_polling
            .poll_machine_types(any_types_known, context.now)
        {
            cloud_client.request_machine_types();
        }
        if self.cloud_polling.poll_list(context.now) {
            cloud_client.request_inventory();
        }
    }

    /// Queues record changes. Skips records with a commit in flight.
    fn commit(
        &mut self,
        changes: Vec<RecordChange>,
        priority: CommitPriority,
        context: &SchedulingContext<'_>,
    ) {
        let max_operations = context.settings.max_txn_ops;
        self.outbox
            .commit(changes, priority, &self.term, max_operations);
    }
}
