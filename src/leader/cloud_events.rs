//! What the leader does with the cloud's answers: machine types are put on record, rented and
//! unknown machines are assigned to regions, refusals are remembered.

use crate::cloud::{CloudEvent, ListedMachine, Offer};
use crate::region::SchedulingContext;
use crate::state_store::replica::Versioned;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::model::MachineType;
use salttiller_records::record::value;

use super::machine_assignment::describe;
use super::outbox::RecordChange;
use super::Leader;

/// Unknown machines that are assigned to one region at a time, so that those of a type that no
/// job depends on are spread over the regions.
const UNKNOWN_MACHINES_PER_ASSIGNMENT: usize = 8;
/// A price on record is renewed when it differs by more than one part in so many: spot prices
/// move all the time, and each change of a record counts against the state service's limit.
const PRICE_TOLERANCE_PARTS: u64 = 10;

impl Leader {
    /// Acts on an answer of the cloud.
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
            CloudEvent::Inventory(list) => self.on_list(list, context),
            CloudEvent::Unavailable | CloudEvent::Released(_) => {}
        }
    }

    /// A machine without a record reports. That alone creates no record: it may be a late copy
    /// from a machine that is long gone. The cloud's list decides, and is asked for soon.
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

    /// Machines without a record are assigned like any other and used, or returned when idle.
    fn on_list(&mut self, list: &[ListedMachine], context: &SchedulingContext<'_>) {
        // Records that can't be read may name them.
        if !context.replica.unreadable_machine_records.is_empty() {
            return;
        }
        let provisioning = self.provisioning_batches.machine_names();
        let certain = self.unknown_machines.on_list(list, &provisioning, context);
        for (offer, machines) in certain {
            for some in machines.chunks(UNKNOWN_MACHINES_PER_ASSIGNMENT) {
                let region = self.region_for(&offer, context);
                self.assign_machines(&offer, some, &region, context);
            }
        }
        if !self.unknown_machines.is_empty() {
            self.cloud_polling
                .list_no_later_than(context.now + context.settings.cloud_list_lag);
        }
    }
}

/// Whether a machine type's record must be written anew.
fn needs_update(known: &Versioned<MachineType>, current: &MachineType) -> bool {
    let known = &known.value;
    let has_moved =
        |known: u64, current: u64| known.abs_diff(current) * PRICE_TOLERANCE_PARTS > current.max(1);
    let hardware = |t: &MachineType| (t.cpus, t.gpus, t.memory, t.boot_time, t.fetch_rate);
    known.zones != current.zones
        || hardware(known) != hardware(current)
        || has_moved(known.price, current.price)
        || has_moved(known.spot_price, current.spot_price)
}
