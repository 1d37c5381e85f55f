//! A job as submitted: what its tasks need and where they may run.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::MachineType;
use crate::amount::QuotaAmount;
use crate::resources::Resources;
use crate::units::Micros;

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each runs to its end.
    #[serde(rename = "a")]
    Array,
    /// All at once or none.
    #[serde(rename = "g")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

/// Priority, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest.
    #[serde(rename = "0")]
    Low,
    /// Usual.
    #[serde(rename = "1")]
    Normal,
    /// Above usual.
    #[serde(rename = "2")]
    High,
    /// Highest.
    #[serde(rename = "3")]
    Production,
}

// Serde calls these with references.
fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// A job as submitted, in whole units. The serde names are short since the size of records
/// in the state service is limited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class.
    #[serde(rename = "c")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Kind.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "r")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Processors of a task, millionths.
    #[serde(rename = "u")]
    pub cpus: u64,
    /// Accelerators of a task, millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: u64,
    /// Memory of a task, millionths of a GB.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub memory: u64,
    /// Allowed machine types.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub allowed_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub single_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub spread_zones: bool,
    /// May run on spot machines.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub allows_spot: bool,
    /// Image.
    #[serde(rename = "i")]
    pub image: String,
    /// Image size, millionths of a GB.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub image_size: u64,
    /// Estimated run time.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub estimated_run_time: Micros,
    /// Checkpoint interval; 0: takes no checkpoints.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub checkpoint_interval: Micros,
    /// Time that a checkpoint takes when the task is stopped.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub checkpoint_time: Micros,
    /// Deadline, as time from the submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Time of day at submission; in the effective spec of a job that waited for others, that
    /// of the end of the last of them.
    #[serde(rename = "a")]
    pub submitted_at: Micros,
    /// Jobs that must be done before any task of this one starts. Left out where there
    /// are none, so that such a record is the same as those of versions before 0.3.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
    /// Only in an effective spec: the spec as stored. The effective spec differs in priority
    /// and deadline, inherited from the jobs that need it, and in times, which count from its
    /// readiness.
    #[serde(skip)]
    pub stored_spec: Option<Rc<JobSpec>>,
}

impl JobSpec {
    /// Processors and accelerators of one task.
    #[must_use]
    pub fn quota_per_task(&self) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus,
            gpus: self.gpus,
        }
    }

    /// Whether a task may run on a machine of this type in this zone, spot or on-demand.
    #[must_use]
    pub fn permits_machine(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        self.fits_machine_type(machine_type) && self.allows_zone_and_spot(zone, spot)
    }

    /// Whether an empty machine of this type could hold a task.
    #[must_use]
    pub fn fits_machine_type(&self, machine_type: &MachineType) -> bool {
        self.allows_machine_type(&machine_type.name) && self.task_fits_in(machine_type.resources())
    }

    /// What one task needs of a machine.
    #[must_use]
    pub fn resources_per_task(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// Whether one task fits into this free capacity.
    #[must_use]
    pub fn task_fits_in(&self, free: Resources) -> bool {
        self.resources_per_task().fits_in(free)
    }

    /// How many tasks an empty machine of this type holds.
    #[must_use]
    pub fn tasks_per_machine(&self, machine_type: &MachineType) -> u64 {
        if !self.fits_machine_type(machine_type) {
            return 0;
        }
        self.tasks_fitting_in(machine_type.resources())
    }

    /// How many tasks fit into this free capacity, at most all of them.
    #[must_use]
    pub fn tasks_fitting_in(&self, free: Resources) -> u64 {
        let fitting = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        fitting(free.cpus, self.cpus)
            .min(fitting(free.gpus, self.gpus))
            .min(fitting(free.memory, self.memory))
            .min(u64::from(self.task_count))
    }

    /// Whether tasks may run on machines of this type in this zone, spot or on-demand,
    /// whatever their size.
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
