//! State of a single machine as the region's owner knows it.
//!
//! Only the [`MachineInventory`](super::machine_inventory) changes a [`Machine`], because its
//! indexes must follow each change. All other modules of the region read the fields only.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use salttiller_records::model::{JobId, MachineType};
use salttiller_records::record::MachineRecord;
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::Resources;

use super::failure_attribution::MachineFailures;
use super::machine_index::IndexEntry;
use super::machine_pool::MachinePool;
use super::reachability::Reachability;
use super::task::{Assignment, TaskState};
use crate::settings::Settings;
use crate::worker_protocol::{Heartbeat, HeartbeatId};

/// Boot time assumed for a machine whose type is not known yet.
const DEFAULT_BOOT_TIME: Micros = 60 * SECOND;

/// State of a machine as derived from its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// The machine has not sent a heartbeat under this ownership's fencing token yet.
    Provisioning,
    /// The machine has sent a heartbeat under this ownership's fencing token.
    Ready,
    /// The machine has sent no heartbeat for longer than its lease, so it runs no task.
    LeaseExpired,
}

/// Reason for which a machine is cordoned and receives no more tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// The machine is not needed: it is drained, then released. Only this cordon can be reverted.
    Surplus,
    /// The machine was idle for longer than its idle timeout.
    Idle,
    /// The machine sent no heartbeat while most other machines did, or its lease expired.
    NoHeartbeat,
    /// The cloud announced a spot interruption, and heartbeats stopped.
    Interrupted,
    /// The machine sent no heartbeat within the provisioning timeout.
    ProvisioningTimeout,
    /// The machine no longer exists in the cloud.
    Gone,
    /// The machine was found unreachable by the region's answers several times.
    Unreachable,
    /// Tasks keep failing on the machine.
    Faulty,
}

impl fmt::Display for CordonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CordonReason::Surplus => "surplus",
            CordonReason::Idle => "idle",
            CordonReason::NoHeartbeat => "no heartbeat",
            CordonReason::Interrupted => "spot interruption",
            CordonReason::ProvisioningTimeout => "provisioning timeout",
            CordonReason::Gone => "gone from the cloud",
            CordonReason::Unreachable => "unreachable",
            CordonReason::Faulty => "faulty",
        })
    }
}

/// A machine with its record, its tasks and the state derived from its heartbeats. All times are
/// times of the monotonic clock.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) record: MachineRecord,
    pub(super) pool: MachinePool,
    /// Resources that the machine type provides; zero while the type is unknown.
    pub(super) capacity: Resources,
    /// Resources in use by the assigned tasks.
    used: Resources,
    /// Part of `used` that flexible tasks take, which fit on other machine types too.
    used_by_flexible: Resources,
    /// The machine's current entry in the machine index.
    pub(super) index_entry: IndexEntry,
    pub(super) state: MachineState,
    /// Newest heartbeat under this ownership's fencing token.
    pub(super) last_heartbeat: HeartbeatId,
    /// Time at which this owner last answered a heartbeat, or the last time at which a former
    /// owner may have answered one. The machine's lease starts at this time at the latest.
    pub(super) last_answered_at: Micros,
    /// Time at which `last_heartbeat` arrived, or at which the machine became known if there was
    /// no heartbeat yet.
    pub(super) last_heartbeat_at: Micros,
    /// Time since which heartbeats have arrived and been answered without a gap.
    answered_without_gap_since: Micros,
    /// Number of answers to heartbeats with an outdated token since the last heartbeat with the
    /// current token.
    pub(super) unconfirmed_answers: u32,
    pub(super) reachability: Reachability,
    /// Time at which the machine was assigned to the region, or was first seen by this owner.
    pub(super) assigned_at: Micros,
    /// Usual boot time of the machine type.
    pub(super) boot_time: Micros,
    /// Time of the spot interruption that the cloud has announced.
    pub(super) interruption_at: Option<Micros>,
    /// Tasks on the machine or assigned to it, by job and number.
    pub(super) tasks: BTreeMap<(JobId, u32), Assignment>,
    pub(super) idle_since: Micros,
    pub(super) failures: MachineFailures,
    /// Container images that are on the machine, or that assigned tasks will fetch to it.
    images: BTreeSet<String>,
    /// Reason of the cordon if the machine is cordoned.
    pub(super) cordoned: Option<CordonReason>,
    /// Whether a release request is in flight.
    pub(super) releasing: bool,
    /// Whether the cloud has confirmed that the machine no longer exists.
    pub(super) is_gone: bool,
    /// Whether the machine has exceeded its expected boot time.
    pub(super) is_overdue: bool,
    /// Time of the next check; `Micros::MAX` if no check is scheduled.
    pub(super) next_check_at: Micros,
}

impl Machine {
    /// Creates a machine that becomes known at `now`.
    pub(super) fn new(
        record: MachineRecord,
        pool: MachinePool,
        machine_type: Option<&MachineType>,
        now: Micros,
    ) -> Self {
        Machine {
            record,
            pool,
            capacity: machine_type.map_or(Resources::ZERO, MachineType::resources),
            used: Resources::ZERO,
            used_by_flexible: Resources::ZERO,
            index_entry: IndexEntry::Unlisted,
            state: MachineState::Provisioning,
            last_heartbeat: HeartbeatId::NONE,
            last_answered_at: now,
            last_heartbeat_at: now,
            answered_without_gap_since: 0,
            unconfirmed_answers: 0,
            reachability: Reachability::Reachable,
            assigned_at: now,
            boot_time: machine_type.map_or(DEFAULT_BOOT_TIME, |known| known.boot_time),
            interruption_at: None,
            tasks: BTreeMap::new(),
            idle_since: now,
            failures: MachineFailures::default(),
            images: BTreeSet::new(),
            cordoned: None,
            releasing: false,
            is_gone: false,
            is_overdue: false,
            next_check_at: Micros::MAX,
        }
    }

    /// Free capacity of the machine.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// Part of the free capacity that flexible tasks may use. `reserved` is the capacity reserved
    /// on each machine of the pool.
    fn free_for_flexible(&self, reserved: Option<Resources>) -> Resources {
        match reserved {
            Some(reserved) => {
                let open = self.capacity.minus(reserved);
                self.free().min_each(open.minus(self.used_by_flexible))
            }
            None => self.free(),
        }
    }

    /// Index entry that matches the machine's current state. `reserved` is the capacity reserved
    /// on each machine of the pool.
    pub(super) fn expected_index_entry(&self, reserved: Option<Resources>) -> IndexEntry {
        if self.is_unreachable() {
            IndexEntry::Unlisted
        } else if self.accepts_tasks() {
            IndexEntry::Available {
                free: self.free(),
                free_for_flexible: self.free_for_flexible(reserved),
                task_count: self.tasks.len() as u32,
            }
        } else if self.is_usable() && self.state != MachineState::LeaseExpired && !self.is_overdue {
            IndexEntry::Provisioning
        } else {
            IndexEntry::Unlisted
        }
    }

    /// Whether a container image is on the machine, or an assigned task will fetch it.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }

    /// Whether the machine can accept tasks, now or once it has booted.
    pub(super) fn is_usable(&self) -> bool {
        self.cordoned.is_none()
            && self.interruption_at.is_none()
            && !self.is_gone
            && self.capacity != Resources::ZERO
    }

    /// Whether a task on the machine justifies its cost. In a pool with reserved capacity
    /// (`reserved`) only tasks of constrained jobs do, in any other pool all tasks.
    pub(super) fn justifies_its_cost(&self, reserved: bool) -> bool {
        self.tasks
            .values()
            .any(|assignment| assignment.constrained || !reserved)
    }

    /// Whether tasks may be assigned to the machine, regardless of its reachability.
    pub(super) fn accepts_tasks(&self) -> bool {
        self.state == MachineState::Ready && self.record.activated && self.is_usable()
    }

    /// Whether the region's answers are known not to reach the machine.
    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unreachable { .. })
    }

    /// Whether the machine has sent no heartbeat under this ownership's fencing token.
    pub(super) fn has_never_reported(&self) -> bool {
        self.last_heartbeat == HeartbeatId::NONE
    }

    /// Whether the machine was assigned to the region after `acquired_at` and has not sent a
    /// heartbeat yet. No former owner can have started tasks on such a machine.
    pub(super) fn is_booting_since(&self, acquired_at: Micros) -> bool {
        self.has_never_reported() && self.assigned_at > acquired_at
    }

    /// Adds a task and its container image to the machine.
    pub(super) fn add_assignment(
        &mut self,
        task: (JobId, u32),
        assignment: Assignment,
        image: &str,
    ) {
        self.used = self.used.plus(assignment.resources());
        if !assignment.constrained {
            self.used_by_flexible = self.used_by_flexible.plus(assignment.resources());
        }
        if !self.has_image(image) {
            self.images.insert(image.to_owned());
        }
        self.tasks.insert(task, assignment);
    }

    /// Removes a task. The machine counts as idle from `now` on if the task was dispatched and
    /// was the last one that justified the machine's cost; see [`Machine::justifies_its_cost`]
    /// for `reserved`.
    pub(super) fn remove_assignment(
        &mut self,
        task: &(JobId, u32),
        reserved: bool,
        now: Micros,
    ) -> Option<Assignment> {
        let assignment = self.tasks.remove(task)?;
        self.used = self.used.minus(assignment.resources());
        if !assignment.constrained {
            self.used_by_flexible = self.used_by_flexible.minus(assignment.resources());
        }
        let justified_cost = assignment.constrained || !reserved;
        if justified_cost
            && !self.justifies_its_cost(reserved)
            && assignment.state != TaskState::Assigned
        {
            self.idle_since = now;
        }
        Some(assignment)
    }

    /// Handles the removal of an undispatched task that would have fetched an image. The image
    /// is removed from the machine unless another task of the same job will fetch it.
    pub(super) fn forget_image(&mut self, id: &JobId, image: &str) {
        let first = (id.clone(), 0);
        let mut others = self.tasks.range_mut(first..);
        match others.next().filter(|((job, _), _)| job == id) {
            Some((_, other)) => other.image_missing = true,
            None => {
                self.images.remove(image);
            }
        }
    }

    /// Applies a newer heartbeat under the current token. Returns whether the worker's session
    /// restarted although its heartbeats had been answered without a gap, which shows that the
    /// answers do not reach the machine.
    pub(super) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        settings: &Settings,
        now: Micros,
    ) -> bool {
        let restarted = self.last_heartbeat.incarnation != 0
            && heartbeat.id.incarnation > self.last_heartbeat.incarnation;
        if now > self.last_answered_at + 2 * settings.heartbeat_interval + SECOND {
            self.answered_without_gap_since = now;
        }
        // A single answer is no evidence, since it may have answered a delayed heartbeat. The
        // answers must have been without a gap for three quarters of a lease.
        let answered = now > self.answered_without_gap_since + settings.worker_lease * 3 / 4;
        self.last_heartbeat = heartbeat.id;
        self.last_heartbeat_at = now;
        self.last_answered_at = now;
        self.unconfirmed_answers = 0;
        self.state = MachineState::Ready;
        self.interruption_at = heartbeat.interruption_in.map(|left| now + left);
        restarted && answered
    }
}
