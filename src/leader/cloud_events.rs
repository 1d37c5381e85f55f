//! Handling of the results of calls to the cloud: the leader records machine types, assigns rented
//! and unknown machines to regions, and notes refused offers for the capacity backoff.

use crate::cloud::{CloudEvent, Inventory, Offer};
use crate::region::SchedulingContext;
use crate::state_store::replica::Versioned;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::model::MachineType;
use salttiller_records::record::value;

use super::machine_assignment::describe;
use super::outbox::RecordChange;
use super::Leader;

/// Number of unknown machines assigned to a region at a time. Small groups distribute the machines
/// of pools that are not scarce over the regions.
const UNKNOWN_MACHINES_PER_ASSIGNMENT: usize = 8;
/// A recorded price is updated when it differs from the current price by more than the current
/// price divided by this number. Spot prices change all the time, and each record change counts
/// against the state service's rate limit.
const PRICE_TOLERANCE_DIVISOR: u64 = 10;

impl Leader {
    /// Handles the result of a call to the cloud.
    pub fn on_cloud_event(&mut self, event: &CloudEvent, context: &SchedulingContext<'_>) {
        match event {
            CloudEvent::MachineTypes(machine_types) => {
                self.on_machine_types(machine_types, context);
            }
            CloudEvent::Rented {
                offer,
                region,
                machines,
                requested,
            } => {
                self.on_rented(offer, region, machines, *requested, context);
            }
            CloudEvent::NoCapacity(offer) => {
                log::info!("no capacity for {}", describe(offer));
                self.refusals.record_refusal(offer, context.now);
            }
            CloudEvent::Inventory(inventory) => self.on_list(inventory, context),
            CloudEvent::Unavailable | CloudEvent::Released(_) => {}
        }
    }

    /// Handles a heartbeat from a machine without a record. The heartbeat alone creates no record,
    /// because it may be a delayed duplicate from a machine that was released long ago. The
    /// cloud's list decides, so the next list request is brought forward.
    pub fn on_unknown_machine(&mut self, context: &SchedulingContext<'_>) {
        let any_recorded = !context.replica.machines.is_empty();
        self.cloud_polling
            .on_unknown_machine(any_recorded, context.now);
    }

    fn on_machine_types(&mut self, machine_types: &[MachineType], context: &SchedulingContext<'_>) {
        let changes = machine_types
            .iter()
            .filter_map(|machine_type| {
                let known = context.replica.machine_types.get(&machine_type.name);
                if known.is_some_and(|known| !needs_update(known, machine_type)) {
                    return None;
                }
                Some(RecordChange {
                    key: Key::MachineType(machine_type.name.clone()),
                    expected_version: known.map_or(0, |known| known.version),
                    value: value(machine_type),
                })
            })
            .collect();
        self.commit(changes, CommitPriority::Normal, context);
    }

    fn on_rented(
        &mut self,
        offer: &Offer,
        region: &str,
        machines: &[String],
        requested: u32,
        context: &SchedulingContext<'_>,
    ) {
        log::info!(
            "region={region}: rented {} of {requested} requested {}",
            machines.len(),
            describe(offer)
        );
        if (machines.len() as u32) < requested {
            self.refusals.record_refusal(offer, context.now);
        } else {
            self.refusals.record_success(offer);
        }
        self.assign_machines(offer, machines, region, context);
    }

    /// Assigns the listed machines without a record to regions, which use them like other machines
    /// or return them when they are idle.
    fn on_list(&mut self, inventory: &Inventory, context: &SchedulingContext<'_>) {
        // A record that can't be read may belong to a listed machine.
        if !context.replica.unreadable_machine_records.is_empty() {
            return;
        }
        let provisioning = self.provisioning_batches.machine_names();
        let confirmed = self
            .unknown_machines
            .on_list(inventory, &provisioning, context);
        for (offer, machines) in confirmed {
            for chunk in machines.chunks(UNKNOWN_MACHINES_PER_ASSIGNMENT) {
                let region = self.region_for(&offer, context);
                self.assign_machines(&offer, chunk, &region, context);
            }
        }
        if !self.unknown_machines.is_empty() {
            self.cloud_polling
                .schedule_list_by(context.now + context.settings.cloud_list_lag);
        }
    }
}

/// Whether a machine type's record must be updated.
fn needs_update(known: &Versioned<MachineType>, current: &MachineType) -> bool {
    let known = &known.value;
    let price_changed = |known: u64, current: u64| {
        known.abs_diff(current) * PRICE_TOLERANCE_DIVISOR > current.max(1)
    };
    let hardware = |t: &MachineType| (t.cpus, t.gpus, t.memory, t.boot_time, t.fetch_rate);
    known.zones != current.zones
        || hardware(known) != hardware(current)
        || price_changed(known.price, current.price)
        || price_changed(known.spot_price, current.spot_price)
}
