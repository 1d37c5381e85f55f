//! Index of the region's machines by pool, free capacity and number of tasks.
//!
//! Placement searches this index. The machine inventory updates it with each change of a
//! machine, so that no event has to iterate over all machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::{QuotaAmount, Resources};

use super::machine_pool::MachinePool;

/// Number of equal divisions of each resource of a machine.
const DIVISIONS_PER_RESOURCE: u8 = 32;
/// Number of machines of a bucket that are compared, those with the fewest tasks first.
const CANDIDATES_PER_BUCKET: usize = 6;

/// Free processors, GPUs and memory in divisions of the machine's capacity. Machines with equal
/// values are indexed together.
type CapacityBucket = (u8, u8, u8);

/// Bucket of a machine with this free capacity, rounded down.
fn bucket_of(free: Resources, capacity: Resources) -> CapacityBucket {
    let divisions = |free: u64, capacity: u64| {
        let all = u64::from(DIVISIONS_PER_RESOURCE);
        (free * all).checked_div(capacity).unwrap_or(all).min(all) as u8
    };
    (
        divisions(free.cpus, capacity.cpus),
        divisions(free.gpus, capacity.gpus),
        divisions(free.memory, capacity.memory),
    )
}

/// Minimum free capacity of a machine in this bucket.
fn least_free(bucket: CapacityBucket, capacity: Resources) -> Resources {
    let least = |divisions: u8, capacity: u64| {
        (capacity * u64::from(divisions)).div_ceil(u64::from(DIVISIONS_PER_RESOURCE))
    };
    Resources {
        cpus: least(bucket.0, capacity.cpus),
        gpus: least(bucket.1, capacity.gpus),
        memory: least(bucket.2, capacity.memory),
    }
}

/// Entry of a machine in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum IndexEntry {
    /// The machine is not in the index.
    #[default]
    Unlisted,
    /// The machine is expected to boot.
    Provisioning,
    /// Tasks may be assigned to the machine.
    Available {
        /// Free capacity.
        free: Resources,
        /// Part of the free capacity that flexible tasks may use.
        free_for_flexible: Resources,
        /// Number of tasks on the machine or assigned to it.
        task_count: u32,
    },
}

impl IndexEntry {
    /// Free capacity of an available machine for flexible or constrained tasks; `None` if the
    /// machine is not available.
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

/// Available machines by bucket, then by number of tasks.
#[derive(Debug, Default)]
struct MachinesByBucket(BTreeMap<CapacityBucket, BTreeSet<(u32, Rc<str>)>>);

impl MachinesByBucket {
    fn insert(&mut self, bucket: CapacityBucket, task_count: u32, name: &Rc<str>) {
        let machines = self.0.entry(bucket).or_default();
        machines.insert((task_count, name.clone()));
    }

    fn remove(&mut self, bucket: CapacityBucket, task_count: u32, name: &Rc<str>) {
        if let Some(machines) = self.0.get_mut(&bucket) {
            machines.remove(&(task_count, name.clone()));
            if machines.is_empty() {
                self.0.remove(&bucket);
            }
        }
    }
}

/// Index of the machines of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    /// Capacity of each machine.
    pub capacity: Resources,
    /// Capacity reserved on each machine for constrained tasks.
    pub reserved: Option<Resources>,
    by_free_capacity: MachinesByBucket,
    by_flexible_capacity: MachinesByBucket,
    /// Machines that are expected to boot.
    pub provisioning: BTreeSet<Rc<str>>,
    /// Number of available machines.
    pub available_count: u32,
}

impl PoolIndex {
    /// Available machines by their free capacity for flexible or constrained tasks.
    fn by_capacity_for(&self, flexible: bool) -> &MachinesByBucket {
        if flexible && self.reserved.is_some() {
            &self.by_flexible_capacity
        } else {
            &self.by_free_capacity
        }
    }

    /// Returns the minimum free capacity and the number of machines of each non-empty bucket.
    pub(super) fn free_capacity_buckets(&self) -> impl Iterator<Item = (Resources, u32)> + '_ {
        let buckets = self.by_free_capacity.0.iter();
        buckets
            .map(|(bucket, machines)| (least_free(*bucket, self.capacity), machines.len() as u32))
    }

    /// Number of available machines without tasks.
    pub(super) fn idle_count(&self) -> usize {
        let all_free = bucket_of(self.capacity, self.capacity);
        let machines = self.by_free_capacity.0.get(&all_free).into_iter().flatten();
        machines
            .take_while(|(task_count, _)| *task_count == 0)
            .count()
    }

    /// All available machines by bucket, within a bucket ordered by number of tasks.
    pub(super) fn available_machines(&self) -> impl Iterator<Item = &Rc<str>> + '_ {
        let machines = self.by_free_capacity.0.values().flatten();
        machines.map(|(_, name)| name)
    }

    /// Number of machines that are available or expected to boot.
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
                let (bucket, flexible_bucket) = self.buckets_of(free, free_for_flexible);
                self.by_free_capacity.remove(bucket, task_count, name);
                self.by_flexible_capacity
                    .remove(flexible_bucket, task_count, name);
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
                let (bucket, flexible_bucket) = self.buckets_of(free, free_for_flexible);
                self.by_free_capacity.insert(bucket, task_count, name);
                self.by_flexible_capacity
                    .insert(flexible_bucket, task_count, name);
            }
        }
    }

    fn buckets_of(
        &self,
        free: Resources,
        free_for_flexible: Resources,
    ) -> (CapacityBucket, CapacityBucket) {
        (
            bucket_of(free, self.capacity),
            bucket_of(free_for_flexible, self.capacity),
        )
    }
}

/// The index of all pools.
#[derive(Debug, Default)]
pub(super) struct MachineIndex {
    pools: BTreeMap<MachinePool, PoolIndex>,
}

impl MachineIndex {
    /// All pools that have ever had an indexed machine, ordered by key.
    pub(super) fn pools(&self) -> impl Iterator<Item = (&MachinePool, &PoolIndex)> + '_ {
        self.pools.iter()
    }

    /// Index of a pool's machines.
    pub(super) fn pool(&self, key: &MachinePool) -> Option<&PoolIndex> {
        self.pools.get(key)
    }

    /// Returns the index's copy of a pool's key, so that machines of a pool share its strings.
    pub(super) fn shared_key(&self, key: MachinePool) -> MachinePool {
        match self.pools.get_key_value(&key) {
            Some((shared, _)) => shared.clone(),
            None => key,
        }
    }

    /// Total processors and GPUs of machines that are available or expected to boot.
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

    /// Capacity reserved on each machine of a pool for constrained tasks.
    pub(super) fn reserved(&self, key: &MachinePool) -> Option<Resources> {
        self.pools.get(key)?.reserved
    }

    /// Sets the capacity reserved on each machine of a pool. Returns the available machines,
    /// whose entries the caller must update.
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
        // Buckets are relative to the pool's capacity, so it may change only while no machine is
        // available.
        if pool.available_count == 0 {
            pool.capacity = capacity;
        }
        pool.insert(name, new);
    }

    /// Returns the machine with the lowest rank among the pools that `allowed` selects. `rank`
    /// returns `None` for a machine that does not fit. Of each bucket only the
    /// `CANDIDATES_PER_BUCKET` fitting machines with the fewest tasks are compared.
    pub(super) fn best_machine<K: Ord>(
        &self,
        spec: &JobSpec,
        flexible: bool,
        allowed: impl Fn(&MachinePool) -> bool,
        rank: impl Fn(&MachinePool, u32, &Rc<str>) -> Option<K>,
    ) -> Option<Rc<str>> {
        let mut best: Option<(K, &Rc<str>)> = None;
        for (key, pool) in self.candidate_pools(spec, &allowed) {
            let needed = bucket_of(spec.resources_per_task(), pool.capacity);
            let buckets = pool.by_capacity_for(flexible).0.range((needed.0, 0, 0)..);
            for (_, machines) in buckets.filter(|(bucket, _)| has_gpus_and_memory(**bucket, needed))
            {
                let ranked = machines.iter().filter_map(|(task_count, name)| {
                    rank(key, *task_count, name).map(|rank| (rank, name))
                });
                for (rank, name) in ranked.take(CANDIDATES_PER_BUCKET) {
                    if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                        best = Some((rank, name));
                    }
                }
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Lower bound of the number of tasks of a job that fit now on the available machines of the
    /// allowed pools, counted up to `limit`.
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
            let needed = bucket_of(spec.resources_per_task(), pool.capacity);
            for (bucket, machines) in pool.by_capacity_for(flexible).0.range((needed.0, 0, 0)..) {
                let each = spec.tasks_fitting_in(least_free(*bucket, pool.capacity));
                if each > 0 {
                    count += each * machines.len() as u64;
                } else if has_gpus_and_memory(*bucket, needed) {
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

    /// Number of tasks of a job that would fit on the machines of the allowed pools if the
    /// machines were empty. Machines that are expected to boot are included.
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

    /// Allowed pools with available machines whose total capacity fits a task of the job.
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

/// Whether a bucket has at least the needed GPUs and memory.
fn has_gpus_and_memory(bucket: CapacityBucket, needed: CapacityBucket) -> bool {
    bucket.1 >= needed.1 && bucket.2 >= needed.2
}

#[cfg(test)]
mod tests;
