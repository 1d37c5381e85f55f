//! The leader: the first of the two levels of scheduling.
//!
//! One controller at a time leads. Its decisions, each in a module of its own:
//!
//! - `binding`: which region a job is bound to. As in the paper, the one with the fewest
//!   unfinished jobs.
//! - `rebinding`: which waiting tasks move to a region with free capacity.
//! - `multi_region_binding`, `multi_region_gangs`: which gangs are bound to several regions at
//!   once, and when their parts start.
//! - `demand`: how many processors flexible jobs need, a forecast.
//! - `scale_out`, `indivisible_scale_out`: which machines are rented, for jobs that may be divided
//!   and for those that keep together; `offer_selection` finds the cheapest offer,
//!   `provisioning` limits pools whose machines don't come up.
//! - `scale_in`: which machines are drained.
//! - `machine_assignment`: which region a machine belongs to; `cloud_events` and
//!   `unknown_machines` find the machines.
//!
//! The controller calls [`Leader::tick`] and the `on_` methods and carries out the [`Action`]s
//! that it collects. The leader reads the replica, the settings and the regions' reports through
//! what is passed to it, and writes nothing but its own state; it queues rentals at the cloud
//! client directly.
//!
//! The leader is fenced by its record alone: every write names it as a condition. One that is
//! superseded can at worst rent a machine too many.

mod arrival_rate;
mod binding;
mod cloud_events;
mod cloud_polling;
mod demand;
mod horizon;
mod indivisible_scale_out;
mod machine_assignment;
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

/// Between plans: the regions report about as often, and a plan goes through all waiting work.
const PLAN_INTERVAL: Micros = 400 * MILLISECOND;
/// One processor, in the millionths that amounts are counted in.
const CPU: f64 = 1e6;

/// A controller's term as the leader.
pub struct Leader {
    term: Term,
    outbox: Outbox,
    /// Capacity of all machines as of the last plan, less what it and later bindings claimed.
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
    /// A term that begins with the leader's record at this revision.
    pub fn new(version: u64, context: &SchedulingContext<'_>) -> Self {
        let mut constrained_types = ConstrainedTypes::default();
        for (_, _, spec) in context.replica.open_jobs() {
            constrained_types.note(spec, context.replica, context.now);
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

    /// Revision of the leader's record, which names the term.
    pub fn term_version(&self) -> u64 {
        self.term.version()
    }

    /// Regular work: binds jobs, polls the cloud, plans. Returns when to call again.
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

    /// Hands over what is to be carried out since the last call, in order.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// A commit of ours has ended; `committed` unless it failed or its outcome is unknown.
    pub fn on_commit_finished(&mut self, keys: &[Key], committed: bool, now: Micros) {
        for key in keys {
            self.outbox.on_commit_finished(key);
            if let Key::MachineBatch(name) = key {
                self.provisioning_batches
                    .on_commit_finished(name, committed, now);
            }
        }
    }

    /// A machine's record was removed.
    pub fn on_machine_removed(&mut self, name: &str, now: Micros) {
        self.unknown_machines.on_machine_removed(name, now);
    }

    /// An owner reports how the machines of its region come up.
    pub fn on_provisioning_report(
        &mut self,
        region: String,
        pools: Vec<ProvisioningHealth>,
        now: Micros,
    ) {
        self.provisioning_reports.on_report(region, pools, now);
    }

    /// The pools whose machines come up late or never.
    pub fn pools_in_trouble(&self) -> Vec<PoolProvisioning> {
        self.provisioning_reports.in_trouble()
    }

    /// Whether the cloud has refused an offer lately.
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

    /// Queues changes of records, leaving out those with a commit in flight.
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
