//! A machine of the region as the region's owner knows it.
//!
//! The records of machines are kept by [`MachineInventory`](super::machine_inventory), which
//! alone changes them: all other modules of the region read the fields only, since the
//! inventory's indexes must follow each change.

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

/// The boot time that is assumed of a machine whose type is not known yet.
const DEFAULT_BOOT_TIME: Micros = 60 * SECOND;

/// What the heartbeats of a machine show of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// No heartbeat under this ownership's fencing token yet.
    Provisioning,
    /// It has sent a heartbeat under this ownership's fencing token.
    Ready,
    /// No heartbeat for longer than its lease: it runs no task any more.
    LeaseExpired,
}

/// Why a machine gets no more tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// Not needed: drained, then released. The only reason that is taken back.
    Surplus,
    /// Idle for longer than its idle timeout.
    Idle,
    /// No heartbeat while most other machines send theirs, or past its lease.
    Silent,
    /// The cloud announced a spot interruption, and the heartbeats ended.
    Interrupted,
    /// No heartbeat within the provisioning timeout.
    ProvisioningTimeout,
    /// The cloud no longer has it.
    Gone,
    /// The region's answers did not reach it several times.
    Unreachable,
    /// Tasks keep failing on it.
    Faulty,
}

impl fmt::Display for CordonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CordonReason::Surplus => "surplus",
            CordonReason::Idle => "idle",
            CordonReason::Silent => "no heartbeat",
            CordonReason::Interrupted => "spot interruption",
            CordonReason::ProvisioningTimeout => "provisioning timeout",
            CordonReason::Gone => "gone from the cloud",
            CordonReason::Unreachable => "unreachable",
            CordonReason::Faulty => "faulty",
        })
    }
}

/// A machine with its record, its tasks and the state derived from its heartbeats. Times are
/// those of the steady clock.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) record: MachineRecord,
    pub(super) pool: MachinePool,
    /// What the machine type provides; zero while the type is unknown.
    pub(super) capacity: Resources,
    /// What the assigned tasks take.
    used: Resources,
    /// The part of `used` taken by flexible tasks, which fit on other machine types too.
    used_by_flexible: Resources,
    /// Where the machine index lists it.
    pub(super) index_entry: IndexEntry,
    pub(super) state: MachineState,
    /// The newest heartbeat under this ownership's fencing token.
    pub(super) last_heartbeat: HeartbeatId,
    /// When a heartbeat was last answered by this owner, or the last time at which a former
    /// owner may have answered one. The machine's lease runs from here at the latest.
    pub(super) last_answered_at: Micros,
    /// When `last_heartbeat` came in; before the first, when the machine became known.
    pub(super) last_heartbeat_at: Micros,
    /// Since when its heartbeats have come in and been answered without a gap.
    answered_without_gap_since: Micros,
    /// Answers to heartbeats with an outdated token since the last one with the current token.
    pub(super) unconfirmed_answers: u32,
    pub(super) reachability: Reachability,
    /// When the machine was assigned to the region, or first seen by this owner.
    pub(super) assigned_at: Micros,
    /// How long machines of its type usually take to boot.
    pub(super) boot_time: Micros,
    /// When the cloud takes the machine away, once it has announced that.
    pub(super) interruption_at: Option<Micros>,
    /// Tasks on the machine or assigned to it, by job and number.
    pub(super) tasks: BTreeMap<(JobId, u32), Assignment>,
    pub(super) idle_since: Micros,
    pub(super) failures: MachineFailures,
    /// Container images that it has or that assigned tasks bring to it.
    images: BTreeSet<String>,
    /// Why it gets no more tasks, if so.
    pub(super) cordoned: Option<CordonReason>,
    /// A request for its release is under way.
    pub(super) releasing: bool,
    /// The cloud has confirmed that it no longer exists.
    pub(super) is_gone: bool,
    /// It should have booted by now.
    pub(super) is_overdue: bool,
    /// When it is checked next; `Micros::MAX` if no check is scheduled.
    pub(super) next_check_at: Micros,
}

impl Machine {
    /// A machine that becomes known at `now`.
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

    /// Capacity that no task takes.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// The part of its free capacity that flexible tasks may take, which fit on other machine
    /// types too. `reserved`: what is reserved on each machine of its pool.
    fn free_for_flexible(&self, reserved: Option<Resources>) -> Resources {
        match reserved {
            Some(reserved) => {
                let open = self.capacity.minus(reserved);
                self.free().min_each(open.minus(self.used_by_flexible))
            }
            None => self.free(),
        }
    }

    /// How the index is to list it. `reserved`: what is reserved on each machine of its pool.
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

    /// Whether it has a container image, or an assigned task brings it.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }

    /// Whether the machine index may list it, now or once it has booted.
    pub(super) fn is_usable(&self) -> bool {
        self.cordoned.is_none()
            && self.interruption_at.is_none()
            && !self.is_gone
            && self.capacity != Resources::ZERO
    }

    /// Whether it holds tasks of the kind that justify its cost: of a `reserved` pool those of
    /// constrained jobs, of any other pool all.
    pub(super) fn serves_its_purpose(&self, reserved: bool) -> bool {
        self.tasks
            .values()
            .any(|assignment| assignment.constrained || !reserved)
    }

    /// Whether tasks may be assigned to it, reachability aside.
    pub(super) fn accepts_tasks(&self) -> bool {
        self.state == MachineState::Ready && self.record.activated && self.is_usable()
    }

    /// Whether the region's answers are known not to reach it.
    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unreachable { .. })
    }

    /// Whether it has sent no heartbeat under this ownership's fencing token.
    pub(super) fn has_never_reported(&self) -> bool {
        self.last_heartbeat == HeartbeatId::NONE
    }

    /// Whether it was assigned to the region under this ownership and has not reported yet. No
    /// former owner can have started tasks on it.
    pub(super) fn is_booting_for(&self, acquired_at: Micros) -> bool {
        self.has_never_reported() && self.assigned_at > acquired_at
    }

    /// Adds a task, which brings its image to the machine.
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

    /// Removes a task. The machine is idle from `now` on if the task was on it and no other
    /// task justifies its cost; see [`Machine::serves_its_purpose`] for `reserved`.
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
        let served_its_purpose = assignment.constrained || !reserved;
        if served_its_purpose
            && !self.serves_its_purpose(reserved)
            && assignment.state != TaskState::Assigned
        {
            self.idle_since = now;
        }
        Some(assignment)
    }

    /// A task that was to bring an image to the machine is not started there: unless another
    /// task of its job is, the machine won't have the image.
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

    /// Takes over a newer heartbeat under the current token. Returns whether the worker's
    /// session restarted although its heartbeats had been answered without a gap, which shows
    /// that the answers do not arrive.
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
        // Answered without a gap for the better part of a lease: one answer alone may have
        // been to a heartbeat that came late.
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
