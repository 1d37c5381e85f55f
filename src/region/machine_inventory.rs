//! The region's machines and their indexes.
//!
//! Only [`MachineInventory`] changes a [`Machine`]. Each method applies one event to a machine
//! and to all indexes that depend on it. [`Region`](super::Region) calls these methods, and
//! handles the consequences of an event for jobs, quotas and reconciliation.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::{JobId, JobSpec, MachineType};
use salttiller_records::record::MachineRecord;
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::Resources;

use super::constrained_types::ConstrainedTypes;
use super::failure_attribution::MachineFailures;
use super::machine::{CordonReason, Machine, MachineState};
use super::machine_index::{IndexEntry, MachineIndex};
use super::machine_pool::MachinePool;
use super::provisioning::ProvisioningTracker;
use super::reachability::Reachability;
use super::task::Assignment;
use crate::peer_protocol::ProvisioningHealth;
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use crate::worker_protocol::Heartbeat;

/// Delay of the first check of a new machine.
const FIRST_CHECK_DELAY: Micros = 2 * SECOND;

/// The region's machines and their indexes.
#[derive(Debug, Default)]
pub(super) struct MachineInventory {
    machines: BTreeMap<Rc<str>, Machine>,
    /// Machines by pool, free capacity and number of tasks.
    index: MachineIndex,
    /// Activated machines by the time of their last heartbeat.
    by_last_heartbeat: BTreeSet<(Micros, Rc<str>)>,
    /// Machines by the time of their next check.
    next_checks: BTreeSet<(Micros, Rc<str>)>,
    /// Machines with a spot interruption notice.
    interrupted: BTreeSet<Rc<str>>,
    /// Machines cordoned as surplus.
    draining: BTreeSet<Rc<str>>,
    /// Recent boots and overdue machines of each pool.
    provisioning: ProvisioningTracker,
    /// Machine types with capacity reserved for constrained jobs.
    constrained_types: ConstrainedTypes,
}

/// Queries.
impl MachineInventory {
    /// Returns a machine by name.
    pub(super) fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Returns the shared copy of a known machine's name.
    pub(super) fn shared_name(&self, name: &str) -> Option<Rc<str>> {
        let (shared, _) = self.machines.get_key_value(name)?;
        Some(shared.clone())
    }

    /// All machines by name.
    pub(super) fn machines(&self) -> impl Iterator<Item = (&Rc<str>, &Machine)> + '_ {
        self.machines.iter()
    }

    /// Number of machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Index of machines by pool, free capacity and number of tasks.
    pub(super) fn index(&self) -> &MachineIndex {
        &self.index
    }

    /// Number of activated machines, excluding machines that are gone.
    pub(super) fn activated_count(&self) -> usize {
        self.by_last_heartbeat.len()
    }

    /// Number of activated machines whose last heartbeat arrived at `since` or later.
    pub(super) fn count_reported_since(&self, since: Micros) -> usize {
        let reported = self.by_last_heartbeat.range((since, Rc::from(""))..);
        reported.count()
    }

    /// Machines with a spot interruption notice.
    pub(super) fn interrupted(&self) -> impl Iterator<Item = &Machine> + '_ {
        self.interrupted
            .iter()
            .filter_map(|name| self.machines.get(name))
    }

    /// Whether any machine is cordoned as surplus.
    pub(super) fn has_draining(&self) -> bool {
        !self.draining.is_empty()
    }

    /// Whether capacity of the machine's pool is reserved for constrained jobs.
    pub(super) fn is_reserved(&self, machine: &Machine) -> bool {
        self.index.reserved(&machine.pool).is_some()
    }

    /// Tasks on a machine or assigned to it.
    pub(super) fn tasks(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&(JobId, u32), &Assignment)> + '_ {
        let machine = self.machines.get(name);
        machine.into_iter().flat_map(|machine| &machine.tasks)
    }

    /// Recent boots and overdue machines of each pool.
    pub(super) fn provisioning(&self) -> &ProvisioningTracker {
        &self.provisioning
    }

    /// Provisioning health of the pools with overdue machines.
    pub(super) fn provisioning_health(&mut self, now: Micros) -> Vec<ProvisioningHealth> {
        self.provisioning.health(now)
    }

    /// Machine types with capacity reserved for constrained jobs.
    pub(super) fn constrained_types(&self) -> &ConstrainedTypes {
        &self.constrained_types
    }
}

/// Machines, their records and types.
impl MachineInventory {
    /// Adds a machine that becomes known at `now`.
    pub(super) fn add(
        &mut self,
        name: &str,
        record: &MachineRecord,
        machine_type: Option<&MachineType>,
        now: Micros,
    ) {
        let key = MachinePool::new(&record.machine_type, &record.zone, record.spot);
        let pool = self.index.shared_key(key);
        let machine = Machine::new(record.clone(), pool, machine_type, now);
        let shared: Rc<str> = Rc::from(name);
        if record.activated {
            self.by_last_heartbeat
                .insert((machine.last_heartbeat_at, shared.clone()));
        }
        self.machines.insert(shared, machine);
        self.schedule_check(name, now + FIRST_CHECK_DELAY);
        self.reindex(name);
    }

    /// Replaces a known machine's record. Returns whether the new record activates the machine.
    #[must_use]
    pub(super) fn update_record(&mut self, name: &str, record: &MachineRecord) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let activated = record.activated && !machine.record.activated;
        machine.record = record.clone();
        if activated {
            if !machine.has_never_reported() {
                self.by_last_heartbeat
                    .insert((machine.last_heartbeat_at, Rc::from(name)));
            }
            self.reindex(name);
        }
        activated
    }

    /// Removes a machine from the inventory and all indexes.
    pub(super) fn remove(&mut self, name: &str) {
        self.forget_provisioning(name);
        self.set_index_entry(name, IndexEntry::Unlisted);
        let Some((shared, machine)) = self.machines.remove_entry(name) else {
            return;
        };
        self.by_last_heartbeat
            .remove(&(machine.last_heartbeat_at, shared.clone()));
        self.next_checks
            .remove(&(machine.next_check_at, shared.clone()));
        self.interrupted.remove(&shared);
        self.draining.remove(&shared);
    }

    /// Applies new or changed machine types to all machines.
    pub(super) fn update_machine_types(&mut self, replica: &Replica) {
        let names: Vec<Rc<str>> = self.machines.keys().cloned().collect();
        for name in &names {
            self.set_index_entry(name, IndexEntry::Unlisted);
        }
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                let known = replica.machine_types.get(&machine.record.machine_type);
                if let Some(machine_type) = known.map(|record| &record.value) {
                    machine.capacity = machine_type.resources();
                    machine.boot_time = machine_type.boot_time;
                }
            }
            self.reindex(name);
        }
    }

    /// Records a job's demand if the job is constrained. Returns whether the capacity to reserve
    /// has changed.
    #[must_use]
    pub(super) fn record_job(&mut self, spec: &JobSpec, replica: &Replica, now: Micros) -> bool {
        self.constrained_types.record_job(spec, replica, now)
    }

    /// Updates the capacity reserved for recent constrained jobs. Returns whether it changed.
    #[must_use]
    pub(super) fn update_reserved_capacity(&mut self, now: Micros) -> bool {
        let changed: Vec<(MachinePool, Option<Resources>)> = self
            .index
            .pools()
            .filter(|(key, _)| !key.spot)
            .map(|(key, pool)| {
                let reserved = self.constrained_types.reserved_on(&key.machine_type, now);
                (key, pool, reserved)
            })
            .filter(|(_, pool, reserved)| pool.reserved != *reserved)
            .map(|(key, _, reserved)| (key.clone(), reserved))
            .collect();
        for (key, reserved) in &changed {
            for name in self.index.set_reserved(key, *reserved) {
                self.reindex(&name);
            }
        }
        !changed.is_empty()
    }
}

/// Heartbeats and leases.
impl MachineInventory {
    /// Records a newer heartbeat under the current token. Returns whether it shows that earlier
    /// answers did not reach the machine; see [`Machine::record_heartbeat`].
    #[must_use]
    pub(super) fn record_heartbeat(
        &mut self,
        name: &Rc<str>,
        heartbeat: &Heartbeat,
        settings: &Settings,
        now: Micros,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let previous_at = machine.last_heartbeat_at;
        let answers_lost = machine.record_heartbeat(heartbeat, settings, now);
        if machine.record.activated {
            self.by_last_heartbeat.remove(&(previous_at, name.clone()));
            self.by_last_heartbeat.insert((now, name.clone()));
        }
        if machine.interruption_at.is_some() {
            self.interrupted.insert(name.clone());
        } else {
            self.interrupted.remove(name);
        }
        self.reindex(name);
        answers_lost
    }

    /// Records that a heartbeat with an outdated token is answered.
    pub(super) fn record_unconfirmed_answer(&mut self, name: &str, now: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.unconfirmed_answers += 1;
            machine.last_answered_at = now;
        }
    }

    /// Sets whether the region's answers reach the machine.
    pub(super) fn set_reachability(&mut self, name: &str, reachability: Reachability) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reachability = reachability;
            self.reindex(name);
        }
    }

    /// Records that the machine is proven to run no task. Returns the tasks that the inventory
    /// still lists on it, which the caller must remove.
    #[must_use]
    pub(super) fn expire_lease(&mut self, name: &str) -> Vec<(JobId, u32)> {
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        machine.state = MachineState::LeaseExpired;
        machine.unconfirmed_answers = 0;
        let tasks = machine.tasks.keys().cloned().collect();
        self.reindex(name);
        tasks
    }
}

/// Provisioning, cordons and release.
impl MachineInventory {
    /// Records that a machine that was rented for the region has booted.
    pub(super) fn machine_booted(&mut self, name: &str, now: Micros) {
        if let Some(machine) = self.machines.get(name) {
            self.provisioning.machine_booted(&machine.pool, name, now);
        }
    }

    /// Records that a machine exceeds its expected boot time. Returns the number of overdue
    /// machines of its pool if the pool becomes degraded with this one.
    pub(super) fn machine_overdue(&mut self, name: &Rc<str>, now: Micros) -> Option<usize> {
        self.set_overdue(name, true);
        let machine = self.machines.get(name)?;
        self.provisioning.machine_overdue(&machine.pool, name, now)
    }

    /// Sets whether a machine exceeds its expected boot time.
    pub(super) fn set_overdue(&mut self, name: &str, overdue: bool) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.is_overdue = overdue;
            self.reindex(name);
        }
    }

    fn forget_provisioning(&mut self, name: &str) {
        if let Some(machine) = self.machines.get(name) {
            self.provisioning.forget(&machine.pool, name);
        }
    }

    /// Cordons a machine. Returns the effective reason, which is the first one given.
    pub(super) fn cordon(&mut self, name: &str, reason: CordonReason) -> Option<CordonReason> {
        let machine = self.machines.get_mut(name)?;
        let first = *machine.cordoned.get_or_insert(reason);
        self.reindex(name);
        Some(first)
    }

    /// Cordons a machine as surplus. The machine is released once it holds no task, unless it is
    /// uncordoned before that.
    pub(super) fn drain(&mut self, name: &Rc<str>) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.cordoned = Some(CordonReason::Surplus);
            self.draining.insert(name.clone());
            self.reindex(name);
        }
    }

    /// Uncordons surplus machines, either of pools with reserved capacity (`reserved`) or of
    /// pools without, unless their release is in flight. Returns their names.
    #[must_use]
    pub(super) fn uncordon_surplus(&mut self, reserved: bool) -> Vec<Rc<str>> {
        let mut uncordoned = Vec::new();
        for name in std::mem::take(&mut self.draining) {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            if self.index.reserved(&machine.pool).is_some() != reserved {
                self.draining.insert(name);
            } else if machine.cordoned == Some(CordonReason::Surplus) && !machine.releasing {
                machine.cordoned = None;
                self.reindex(&name);
                uncordoned.push(name);
            }
        }
        uncordoned
    }

    /// Cordons a machine and marks it as being released. Returns the reason of its cordon.
    pub(super) fn begin_release(
        &mut self,
        name: &str,
        reason: CordonReason,
    ) -> Option<CordonReason> {
        self.forget_provisioning(name);
        let first = self.cordon(name, reason)?;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.releasing = true;
        }
        Some(first)
    }

    /// Records that the cloud has confirmed that a machine no longer exists.
    pub(super) fn machine_gone(&mut self, name: &Rc<str>) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.is_gone = true;
            machine.cordoned.get_or_insert(CordonReason::Gone);
            self.by_last_heartbeat
                .remove(&(machine.last_heartbeat_at, name.clone()));
            self.reindex(name);
        }
    }

    /// Returns the failures attributed to a machine.
    pub(super) fn failures_mut(&mut self, name: &str) -> Option<&mut MachineFailures> {
        let machine = self.machines.get_mut(name)?;
        Some(&mut machine.failures)
    }
}

/// Tasks on machines.
impl MachineInventory {
    /// Returns the assignment of a task that is on a machine or assigned to it.
    pub(super) fn assignment_mut(
        &mut self,
        machine: &str,
        id: &JobId,
        task: u32,
    ) -> Option<&mut Assignment> {
        let machine = self.machines.get_mut(machine)?;
        machine.tasks.get_mut(&(id.clone(), task))
    }

    /// Returns the assignments of all tasks on a machine or assigned to it.
    pub(super) fn assignments_mut(
        &mut self,
        machine: &str,
    ) -> impl Iterator<Item = (&(JobId, u32), &mut Assignment)> + '_ {
        let machine = self.machines.get_mut(machine);
        machine
            .into_iter()
            .flat_map(|machine| machine.tasks.iter_mut())
    }

    /// Adds a task and its container image to a machine.
    pub(super) fn add_assignment(
        &mut self,
        name: &str,
        task: (JobId, u32),
        assignment: Assignment,
        image: &str,
    ) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.add_assignment(task, assignment, image);
            self.reindex(name);
        }
    }

    /// Removes a task from a machine.
    pub(super) fn remove_assignment(
        &mut self,
        name: &str,
        id: &JobId,
        task: u32,
        now: Micros,
    ) -> Option<Assignment> {
        let machine = self.machines.get_mut(name)?;
        let reserved = self.index.reserved(&machine.pool).is_some();
        let assignment = machine.remove_assignment(&(id.clone(), task), reserved, now)?;
        self.reindex(name);
        Some(assignment)
    }

    /// Handles the removal of an undispatched task that would have fetched an image; see
    /// [`Machine::forget_image`].
    pub(super) fn forget_image(&mut self, name: &str, id: &JobId, image: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.forget_image(id, image);
        }
    }
}

/// The schedule of checks, and the index.
impl MachineInventory {
    /// Schedules a machine's next check at this time unless an earlier check is scheduled.
    pub(super) fn schedule_check(&mut self, name: &str, at: Micros) {
        let Some(shared) = self.shared_name(name) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if at < machine.next_check_at {
            self.next_checks
                .remove(&(machine.next_check_at, shared.clone()));
            machine.next_check_at = at;
            self.next_checks.insert((at, shared));
        }
    }

    /// Removes the machine whose check has been due for the longest time from the schedule, and
    /// returns its name.
    pub(super) fn take_due_check(&mut self, now: Micros) -> Option<Rc<str>> {
        let (at, _) = self.next_checks.first()?;
        if *at > now {
            return None;
        }
        let (_, name) = self.next_checks.pop_first()?;
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.next_check_at = Micros::MAX;
        }
        Some(name)
    }

    /// Updates the index entry of a machine to match its state.
    fn reindex(&mut self, name: &str) {
        if let Some(machine) = self.machines.get(name) {
            let reserved = self.index.reserved(&machine.pool);
            let entry = machine.expected_index_entry(reserved);
            self.set_index_entry(name, entry);
        }
    }

    fn set_index_entry(&mut self, name: &str, entry: IndexEntry) {
        let Some(shared) = self.shared_name(name) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.index_entry != entry {
            let old = std::mem::replace(&mut machine.index_entry, entry);
            self.index
                .update(&machine.pool, machine.capacity, &shared, old, entry);
        }
    }
}
