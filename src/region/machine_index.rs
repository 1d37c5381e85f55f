//! The index that placement searches: the region's machines by pool, free capacity and number
//! of tasks.
//!
//! The machine inventory keeps it up to date with each change of a machine, so that no event
//! has to walk all machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::{QuotaAmount, Resources};

use super::machine_pool::MachinePool;

/// Steps into which each resource of a machine is divided.
const STEPS: u8 = 32;
/// How many machines of a step are compared: those with the fewest tasks.
const CANDIDATES_PER_STEP: usize = 6;

/// Free capacity in steps of the machine's capacity: processors, GPUs, memory. Machines of the
/// same step are listed together.
type Step = (u8, u8, u8);

/// The step of a machine with this free capacity.
fn step_of(free: Resources, capacity: Resources) -> Step {
    let steps = |free: u64, capacity: u64| {
        let all = u64::from(STEPS);
        (free * all).checked_div(capacity).unwrap_or(all).min(all) as u8
    };
    (
        steps(free.cpus, capacity.cpus),
        steps(free.gpus, capacity.gpus),
        steps(free.memory, capacity.memory),
    )
}

/// The least free capacity of a machine in this step.
fn least_free(step: Step, capacity: Resources) -> Resources {
    let least = |steps: u8, capacity: u64| (capacity * u64::from(steps)).div_ceil(u64::from(STEPS));
    Resources {
        cpus: least(step.0, capacity.cpus),
        gpus: least(step.1, capacity.gpus),
        memory: least(step.2, capacity.memory),
    }
}

/// How the index lists a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum IndexEntry {
    /// Not at all.
    #[default]
    Unlisted,
    /// Expected to boot.
    Provisioning,
    /// Tasks may be assigned to it.
    Available {
        /// Free capacity.
        free: Resources,
        /// The part of it open to flexible tasks, which fit on other machine types too.
        free_for_flexible: Resources,
        /// Number of tasks on it or assigned to it.
        task_count: u32,
    },
}

impl IndexEntry {
    /// Free capacity of an available machine for flexible or constrained tasks.
    pub(super) fn free_for(self, flexible: bool) -> Option<Resources> {
        match self {
            IndexEntry::Available {
                free_for_flexible, ..
            } if flexible => Some(free_for_flexible),
            IndexEntry::Available { free, .. } => Some(free),
            IndexEntry::Unlisted | IndexEntry::Provisioning => None,
        }
    }
}

/// Available machines by step, then by number of tasks.
#[derive(Debug, Default)]
struct MachinesByStep(BTreeMap<Step, BTreeSet<(u32, Rc<str>)>>);

impl MachinesByStep {
    fn insert(&mut self, step: Step, task_count: u32, name: &Rc<str>) {
        let machines = self.0.entry(step).or_default();
        machines.insert((task_count, name.clone()));
    }

    fn remove(&mut self, step: Step, task_count: u32, name: &Rc<str>) {
        if let Some(machines) = self.0.get_mut(&step) {
            machines.remove(&(task_count, name.clone()));
            if machines.is_empty() {
                self.0.remove(&step);
            }
        }
    }
}

/// The machines of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    /// What each machine provides.
    pub capacity: Resources,
    /// What is reserved on each machine for tasks that fit on no other type.
    pub reserved: Option<Resources>,
    by_free_capacity: MachinesByStep,
    by_flexible_capacity: MachinesByStep,
    /// Machines that are expected to boot.
    pub provisioning: BTreeSet<Rc<str>>,
    /// How many machines are available.
    pub available_count: u32,
}

impl PoolIndex {
    /// Machines by their free capacity for flexible or constrained tasks.
    fn by_capacity_for(&self, flexible: bool) -> &MachinesByStep {
        if flexible && self.reserved.is_some() {
            &self.by_flexible_capacity
        } else {
            &self.by_free_capacity
        }
    }

    /// For each step with available machines the least free capacity and their number.
    pub(super) fn free_capacity_steps(&self) -> impl Iterator<Item = (Resources, u32)> + '_ {
        let steps = self.by_free_capacity.0.iter();
        steps.map(|(step, machines)| (least_free(*step, self.capacity), machines.len() as u32))
    }

    /// How many available machines hold no task.
    pub(super) fn idle_count(&self) -> usize {
        let all_free = step_of(self.capacity, self.capacity);
        let machines = self.by_free_capacity.0.get(&all_free).into_iter().flatten();
        machines
            .take_while(|(task_count, _)| *task_count == 0)
            .count()
    }

    /// All available machines, those with the fewest tasks of each step first.
    pub(super) fn available_machines(&self) -> impl Iterator<Item = &Rc<str>> + '_ {
        let machines = self.by_free_capacity.0.values().flatten();
        machines.map(|(_, name)| name)
    }

    /// Machines that are available or expected to boot.
    fn machine_count(&self) -> u64 {
        u64::from(self.available_count) + self.provisioning.len() as u64
    }

    fn remove(&mut self, name: &Rc<str>, entry: IndexEntry) {
        match entry {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                self.provisioning.remove(name);
            }
            IndexEntry::Available {
                free,
                free_for_flexible,
                task_count,
            } => {
                self.available_count -= 1;
                let (step, flexible_step) = self.steps_of(free, free_for_flexible);
                self.by_free_capacity.remove(step, task_count, name);
                self.by_flexible_capacity
                    .remove(flexible_step, task_count, name);
            }
        }
    }

    fn insert(&mut self, name: &Rc<str>, entry: IndexEntry) {
        match entry {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                self.provisioning.insert(name.clone());
            }
            IndexEntry::Available {
                free,
                free_for_flexible,
                task_count,
            } => {
                self.available_count += 1;
                let (step, flexible_step) = self.steps_of(free, free_for_flexible);
                self.by_free_capacity.insert(step, task_count, name);
                self.by_flexible_capacity
                    .insert(flexible_step, task_count, name);
            }
        }
    }

    fn steps_of(&self, free: Resources, free_for_flexible: Resources) -> (Step, Step) {
        (
            step_of(free, self.capacity),
            step_of(free_for_flexible, self.capacity),
        )
    }
}

/// The index of all pools.
#[derive(Debug, Default)]
pub(super) struct MachineIndex {
    pools: BTreeMap<MachinePool, PoolIndex>,
}

impl MachineIndex {
    /// All pools that machines were ever listed in, in their order.
    pub(super) fn pools(&self) -> impl Iterator<Item = (&MachinePool, &PoolIndex)> + '_ {
        self.pools.iter()
    }

    /// The machines of a pool.
    pub(super) fn pool(&self, key: &MachinePool) -> Option<&PoolIndex> {
        self.pools.get(key)
    }

    /// The index's own copy of a pool's key, so that machines of a pool share its names.
    pub(super) fn shared_key(&self, key: MachinePool) -> MachinePool {
        match self.pools.get_key_value(&key) {
            Some((shared, _)) => shared.clone(),
            None => key,
        }
    }

    /// All processors and GPUs of machines that are available or expected to boot.
    pub(super) fn total_quota(&self) -> QuotaAmount {
        let mut total = QuotaAmount::default();
        for pool in self.pools.values() {
            let each = QuotaAmount {
                cpus: pool.capacity.cpus,
                gpus: pool.capacity.gpus,
            };
            total = total.plus(each.times(pool.machine_count()));
        }
        total
    }

    /// What is reserved on each machine of a pool for tasks that fit on no other type.
    pub(super) fn reserved(&self, key: &MachinePool) -> Option<Resources> {
        self.pools.get(key)?.reserved
    }

    /// Sets what is reserved on each machine of a pool. Returns the available machines, whose
    /// entries the caller must update.
    #[must_use]
    pub(super) fn set_reserved(
        &mut self,
        key: &MachinePool,
        reserved: Option<Resources>,
    ) -> Vec<Rc<str>> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
        pool.reserved = reserved;
        pool.available_machines().cloned().collect()
    }

    /// Replaces a machine's entry.
    pub(super) fn update(
        &mut self,
        key: &MachinePool,
        capacity: Resources,
        name: &Rc<str>,
        old: IndexEntry,
        new: IndexEntry,
    ) {
        let pool = self.pools.entry(key.clone()).or_default();
        pool.remove(name, old);
        // The steps of listed machines refer to the capacity: it changes between machines only.
        if pool.available_count == 0 {
            pool.capacity = capacity;
        }
        pool.insert(name, new);
    }

    /// The fitting machine of the lowest rank. Searched are the pools that `allowed` selects;
    /// `rank` orders their machines (`None`: does not fit). Of each step only the machines
    /// with the fewest tasks are compared.
    pub(super) fn best_machine<K: Ord>(
        &self,
        spec: &JobSpec,
        flexible: bool,
        allowed: impl Fn(&MachinePool) -> bool,
        rank: impl Fn(&MachinePool, u32, &Rc<str>) -> Option<K>,
    ) -> Option<Rc<str>> {
        let mut best: Option<(K, &Rc<str>)> = None;
        for (key, pool) in self.candidate_pools(spec, &allowed) {
            let needed = step_of(spec.resources_per_task(), pool.capacity);
            let steps = pool.by_capacity_for(flexible).0.range((needed.0, 0, 0)..);
            for (_, machines) in steps.filter(|(step, _)| has_gpus_and_memory(**step, needed)) {
                let ranked = machines.iter().filter_map(|(task_count, name)| {
                    rank(key, *task_count, name).map(|rank| (rank, name))
                });
                for (rank, name) in ranked.take(CANDIDATES_PER_STEP) {
                    if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                        best = Some((rank, name));
                    }
                }
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// How many tasks of a job the available machines of the allowed pools take now, at
    /// least; counted up to `limit`.
    pub(super) fn tasks_fitting_now(
        &self,
        spec: &JobSpec,
        flexible: bool,
        allowed: impl Fn(&MachinePool) -> bool,
        free: impl Fn(&str) -> Resources,
        limit: u64,
    ) -> u64 {
        let mut count = 0u64;
        for (_, pool) in self.candidate_pools(spec, &allowed) {
            let needed = step_of(spec.resources_per_task(), pool.capacity);
            for (step, machines) in pool.by_capacity_for(flexible).0.range((needed.0, 0, 0)..) {
                let each = spec.tasks_fitting_in(least_free(*step, pool.capacity));
                if each > 0 {
                    count += each * machines.len() as u64;
                } else if has_gpus_and_memory(*step, needed) {
                    let fitting = machines
                        .iter()
                        .map(|(_, name)| spec.tasks_fitting_in(free(name)));
                    count += fitting.sum::<u64>();
                }
                if count >= limit {
                    return limit;
                }
            }
        }
        count
    }

    /// How many tasks of a job the machines of the allowed pools would take with nothing else
    /// on them, those that are expected to boot included.
    pub(super) fn tasks_fitting_when_empty(
        &self,
        spec: &JobSpec,
        flexible: bool,
        allowed: impl Fn(&MachinePool) -> bool,
    ) -> u64 {
        self.pools
            .iter()
            .filter(|(key, pool)| spec.task_fits_in(pool.capacity) && allowed(key))
            .map(|(_, pool)| {
                let usable = match pool.reserved {
                    Some(reserved) if flexible => pool.capacity.minus(reserved),
                    _ => pool.capacity,
                };
                spec.tasks_fitting_in(usable) * pool.machine_count()
            })
            .sum()
    }

    /// Allowed pools with available machines on which a task of the job fits at all.
    fn candidate_pools<'a>(
        &'a self,
        spec: &'a JobSpec,
        allowed: &'a impl Fn(&MachinePool) -> bool,
    ) -> impl Iterator<Item = (&'a MachinePool, &'a PoolIndex)> + 'a {
        self.pools.iter().filter(|(key, pool)| {
            pool.available_count > 0 && spec.task_fits_in(pool.capacity) && allowed(key)
        })
    }
}

/// Whether a step has at least the GPUs and the memory of another.
fn has_gpus_and_memory(step: Step, needed: Step) -> bool {
    step.1 >= needed.1 && step.2 >= needed.2
}

#[cfg(test)]
mod tests;
