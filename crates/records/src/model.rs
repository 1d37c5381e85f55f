//! The words all slices share: jobs, what a task needs, machine types, ranges
//! of task numbers.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::amount::QuotaAmount;
use crate::resources::Resources;
use crate::units::Micros;

/// A job's name, as its user chose it.
pub type JobId = Rc<str>;

/// Whether `s` has the form of a job id: `req-` and digits.
pub fn is_job_id(s: &str) -> bool {
    s.strip_prefix("req-")
        .is_some_and(|d| (1..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// Splits a task's name (`req-000412/3`) into job and number.
pub fn parse_task(s: &str) -> Option<(&str, u32)> {
    let (job, n) = s.split_once('/')?;
    if !is_job_id(job) || n.is_empty() || n.len() > 6 || (n.len() > 1 && n.starts_with('0')) {
        return None;
    }
    Some((job, n.parse().ok()?))
}

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

/// Priority; the order is that of importance, least first.
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

fn is_false(b: &bool) -> bool {
    !*b
}
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// A job as submitted, in whole units. The short names are those of our own
/// record in the state service, where room is dear.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class.
    #[serde(rename = "c")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// JobKind.
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
    /// Cards of a task, millionths.
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
    /// Checkpoint interval; 0: saves nothing.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub checkpoint_interval: Micros,
    /// Time to save when stopped.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub checkpoint_time: Micros,
    /// Time to be complete after submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Time of day at submission; of a job that waited for others, as the replica shows
    /// it, that of the end of the last of them.
    #[serde(rename = "a")]
    pub submitted_at: Micros,
    /// Jobs that must be done before any task of this one starts. Left out where there
    /// are none, so that such a record is the same as those of versions before 0.3.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
    /// The job as it stands on record, if what is said here differs: priority and deadline
    /// that it has from jobs that need it, times from its readiness.
    #[serde(skip)]
    pub stored_spec: Option<Rc<JobSpec>>,
}

impl JobSpec {
    /// Processors and cards of one task.
    pub fn quota_per_task(&self) -> QuotaAmount {
        QuotaAmount {
            cpus: self.cpus,
            gpus: self.gpus,
        }
    }

    /// Whether a task may be on a machine of this type, zone and kind at all.
    pub fn permits_machine(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        self.fits_machine_type(machine_type)
            && (!spot || self.allows_spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
    }

    /// Whether an empty machine of this type could hold a task.
    pub fn fits_machine_type(&self, f: &MachineType) -> bool {
        self.allowed_types
            .as_ref()
            .is_none_or(|ts| ts.contains(&f.name))
            && self.task_fits_in(f.resources())
    }

    /// What one task takes of a machine.
    pub fn resources_per_task(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// Whether one task fits into this free capacity.
    pub fn task_fits_in(&self, free: Resources) -> bool {
        self.resources_per_task().fits_in(free)
    }

    /// How many tasks an empty machine of this type holds.
    pub fn tasks_per_machine(&self, machine_type: &MachineType) -> u64 {
        if !self.fits_machine_type(machine_type) {
            return 0;
        }
        self.tasks_fitting_in(machine_type.resources())
    }

    /// How many tasks fit into this free capacity, at most all of them.
    pub fn tasks_fitting_in(&self, free: Resources) -> u64 {
        let fitting = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        fitting(free.cpus, self.cpus)
            .min(fitting(free.gpus, self.gpus))
            .min(fitting(free.memory, self.memory))
            .min(u64::from(self.task_count))
    }

    /// Whether type, zone and kind of a machine are allowed, whatever its size.
    pub fn permits_placement(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (!spot || self.allows_spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .allowed_types
                .as_ref()
                .is_none_or(|ts| ts.iter().any(|t| t == machine_type))
    }
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// Processors, millionths.
    pub cpus: u64,
    /// Cards, millionths.
    pub gpus: u64,
    /// Memory, millionths of a GB.
    #[serde(rename = "mem")]
    pub memory: u64,
    /// Image fetch, millionths of a GB a second.
    #[serde(rename = "fetch")]
    pub fetch_rate: u64,
    /// Price an hour, millionths.
    pub price: u64,
    /// Spot price an hour, millionths.
    pub spot_price: u64,
    /// Nominal boot time.
    #[serde(rename = "boot")]
    pub boot_time: Micros,
    /// Zones where it may be had.
    pub zones: Vec<String>,
}

impl MachineType {
    /// What an empty machine of this type offers.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory: self.memory,
        }
    }

    /// What a machine costs an hour, ordinary or spot.
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot {
            self.spot_price
        } else {
            self.price
        }
    }

    /// The same for one of its processors.
    pub fn per_cpu(&self, spot: bool) -> f64 {
        self.price_of(spot) as f64 / self.cpus.max(1) as f64
    }
}

/// A set of task numbers as ranges, so that 100,000 tasks in a row cost as
/// little as one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RangeSet {
    ranges: BTreeMap<u32, u32>,
    len: u32,
}

impl RangeSet {
    /// The numbers from `start` up to, not including, `end`.
    pub fn from_range(start: u32, end: u32) -> Self {
        let mut s = RangeSet::default();
        s.add(start, end);
        s
    }

    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The smallest number.
    pub fn first(&self) -> Option<u32> {
        self.ranges.first_key_value().map(|(s, _)| *s)
    }

    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.ranges
            .range(..=n)
            .next_back()
            .is_some_and(|(_, e)| n < *e)
    }

    /// Adds a range.
    pub fn add(&mut self, start: u32, end: u32) {
        if start >= end {
            return;
        }
        let (mut s, mut e) = (start, end);
        // Swallow every range that touches the new one.
        while let Some((&rs, &re)) = self.ranges.range(..=e).next_back() {
            if re < s {
                break;
            }
            s = s.min(rs);
            e = e.max(re);
            self.len -= re - rs;
            self.ranges.remove(&rs);
        }
        self.len += e - s;
        self.ranges.insert(s, e);
    }

    /// Removes a range.
    pub fn remove(&mut self, start: u32, end: u32) {
        if start >= end {
            return;
        }
        while let Some((&rs, &re)) = self.ranges.range(..end).next_back() {
            if re <= start {
                break;
            }
            self.ranges.remove(&rs);
            self.len -= re - rs;
            if rs < start {
                self.ranges.insert(rs, start);
                self.len += start - rs;
            }
            if re > end {
                self.ranges.insert(end, re);
                self.len += re - end;
            }
        }
    }

    /// Adds one number.
    pub fn insert(&mut self, n: u32) {
        self.add(n, n + 1);
    }

    /// Removes one number; whether it was there.
    pub fn take(&mut self, n: u32) -> bool {
        let had = self.contains(n);
        self.remove(n, n + 1);
        had
    }

    /// The ranges in order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(s, e)| (*s, *e))
    }

    /// Every number in order.
    pub fn numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.iter().flat_map(|(s, e)| s..e)
    }

    /// Adds all of `o`.
    pub fn add_all(&mut self, o: &RangeSet) {
        for (s, e) in o.iter() {
            self.add(s, e);
        }
    }

    /// Removes all of `o`.
    pub fn remove_all(&mut self, o: &RangeSet) {
        for (s, e) in o.iter() {
            self.remove(s, e);
        }
    }

    /// The last `n` numbers of the set, as a set.
    pub fn last_n(&self, n: u32) -> RangeSet {
        let mut out = RangeSet::default();
        let mut left = n;
        for (&s, &e) in self.ranges.iter().rev() {
            if left == 0 {
                break;
            }
            let take = left.min(e - s);
            out.add(e - take, e);
            left -= take;
        }
        out
    }
}

#[cfg(test)]
mod tests;
