//! The spec of a job: the resources that its tasks need and the machines that they may run on.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::MachineType;
use crate::amount::QuotaAmount;
use crate::resources::Resources;
use crate::units::Micros;

/// Kind of a job, which determines how its tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "a")]
    Array,
    /// Tasks that run all at the same time or not at all.
    #[serde(rename = "g")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

/// Priority of a job. The variants are in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest priority.
    #[serde(rename = "0")]
    Low,
    /// Normal priority.
    #[serde(rename = "1")]
    Normal,
    /// Priority above normal.
    #[serde(rename = "2")]
    High,
    /// Highest priority.
    #[serde(rename = "3")]
    Production,
}

// Serde passes references to `skip_serializing_if` functions.
fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Spec of a job. Times and amounts are integers in small units. The serde names are short because
/// the size of records in the state service is limited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Workload class of the job.
    #[serde(rename = "c")]
    pub class: String,
    /// Team that the job belongs to.
    #[serde(rename = "t")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "r")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Processors per task, in millionths.
    #[serde(rename = "u")]
    pub cpus: u64,
    /// Accelerators per task, in millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: u64,
    /// Memory per task, in millionths of a GB.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub memory: u64,
    /// Machine types that tasks may run on; `None` allows all types.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub allowed_types: Option<Vec<String>>,
    /// Zone that tasks must run in; `None` allows all zones.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub single_zone: bool,
    /// Whether at most half of the tasks may run in the same zone.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub spread_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub allows_spot: bool,
    /// Name of the image.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image, in millionths of a GB.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub image_size: u64,
    /// Estimated run time of a task.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub estimated_run_time: Micros,
    /// Interval between checkpoints. 0 if the tasks take no checkpoints.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub checkpoint_interval: Micros,
    /// Duration of the checkpoint that a task takes when it is stopped.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub checkpoint_time: Micros,
    /// Time from the submission to the deadline.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Wall-clock time of the submission. In the effective spec of a ready job with dependencies,
    /// the wall-clock time at which the job became ready.
    #[serde(rename = "a")]
    pub submitted_at: Micros,
    /// Jobs that must be done before any task of this job starts. The field is omitted if it is
    /// empty, so that the record is identical to those of versions before 0.3.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
    /// Spec as stored. Set only in an effective spec, which differs from the stored spec in two
    /// ways: the job inherits priority and deadline from its dependents, and times count from the
    /// moment at which the job became ready.
    #[serde(skip)]
    pub stored_spec: Option<Rc<JobSpec>>,
}

impl JobSpec {
    /// Returns the processors and accelerators of one task, which count against the team's quota.
    #[must_use]
    pub fn quota_per_task(&self) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus,
            gpus: self.gpus,
        }
    }

    /// Whether a task may run on a machine of this type in this zone, and an empty machine has
    /// enough capacity for a task. `spot` is whether the machine is a spot machine.
    #[must_use]
    pub fn permits_machine(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        self.fits_machine_type(machine_type) && self.allows_zone_and_spot(zone, spot)
    }

    /// Whether a task may run on this machine type, and an empty machine has enough capacity for a
    /// task.
    #[must_use]
    pub fn fits_machine_type(&self, machine_type: &MachineType) -> bool {
        self.allows_machine_type(&machine_type.name) && self.task_fits_in(machine_type.resources())
    }

    /// Whether all tasks of the job are bound to the same region as long as one region can hold
    /// them, because their placements depend on each other.
    #[must_use]
    pub fn is_indivisible(&self) -> bool {
        self.kind == JobKind::Gang || self.single_zone || self.spread_zones
    }

    /// Returns the resources that one task needs.
    #[must_use]
    pub fn resources_per_task(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// Whether one task fits into the free capacity `free`.
    #[must_use]
    pub fn task_fits_in(&self, free: Resources) -> bool {
        self.resources_per_task().fits_in(free)
    }

    /// Returns how many tasks fit on an empty machine of this type.
    #[must_use]
    pub fn tasks_per_machine(&self, machine_type: &MachineType) -> u64 {
        if !self.fits_machine_type(machine_type) {
            return 0;
        }
        self.tasks_fitting_in(machine_type.resources())
    }

    /// Returns how many of the job's tasks fit into the free capacity `free`.
    #[must_use]
    pub fn tasks_fitting_in(&self, free: Resources) -> u64 {
        let fitting = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        fitting(free.cpus, self.cpus)
            .min(fitting(free.gpus, self.gpus))
            .min(fitting(free.memory, self.memory))
            .min(u64::from(self.task_count))
    }

    /// Whether tasks may run on machines of this type in this zone, regardless of the machines'
    /// capacity. `spot` is whether the machines are spot machines.
    #[must_use]
    pub fn permits_placement(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.allows_zone_and_spot(zone, spot) && self.allows_machine_type(machine_type)
    }

    fn allows_zone_and_spot(&self, zone: &str, spot: bool) -> bool {
        (!spot || self.allows_spot) && self.zone.as_deref().is_none_or(|only| only == zone)
    }

    fn allows_machine_type(&self, name: &str) -> bool {
        self.allowed_types
            .as_ref()
            .is_none_or(|types| types.iter().any(|allowed| allowed == name))
    }
}
