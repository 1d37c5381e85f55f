//! The level-two list: the region's machines by type, zone and kind, by free
//! room and by tasks held. Kept up to date by each change, so that no event has
//! to walk all machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::{QuotaAmount, Resources};

use super::machine_pool::MachinePool;

/// Room in steps of a 32nd of the machine: machines in the same step stand
/// together in the list.
type Step = (u8, u8, u8);

fn step(free: Resources, cap: Resources) -> Step {
    let one = |f: u64, c: u64| (f * 32).checked_div(c).unwrap_or(32).min(32) as u8;
    (
        one(free.cpus, cap.cpus),
        one(free.gpus, cap.gpus),
        one(free.memory, cap.memory),
    )
}

/// The least room that a machine in this step has.
fn floor(s: Step, cap: Resources) -> Resources {
    let one = |s: u8, c: u64| (c * s as u64).div_ceil(32);
    Resources {
        cpus: one(s.0, cap.cpus),
        gpus: one(s.1, cap.gpus),
        memory: one(s.2, cap.memory),
    }
}

/// How a machine stands in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum IndexEntry {
    /// Not at all.
    #[default]
    Unlisted,
    /// Expected to come up.
    Provisioning,
    /// Open to placing.
    Available {
        /// Free room.
        free: Resources,
        /// Free room for tasks that fit on other types too.
        wide: Resources,
        /// Tasks held.
        held: u32,
    },
}

impl IndexEntry {
    /// Free room of an open machine, for tasks that fit on other types too if `wide`.
    pub fn free_for(self, for_wide: bool) -> Option<Resources> {
        match self {
            IndexEntry::Available { wide, .. } if for_wide => Some(wide),
            IndexEntry::Available { free, .. } => Some(free),
            IndexEntry::Unlisted | IndexEntry::Provisioning => None,
        }
    }
}

type Steps = BTreeMap<Step, BTreeSet<(u32, Rc<str>)>>;

/// Machines of one type, zone and kind.
#[derive(Debug, Default)]
pub struct PoolIndex {
    /// What each has in all.
    pub capacity: Resources,
    /// Kept clear on each for tasks that fit nowhere else.
    pub reserved: Option<Resources>,
    by_free_capacity: Steps,
    by_flexible_capacity: Steps,
    /// Expected to come up.
    pub provisioning: BTreeSet<Rc<str>>,
    /// How many are open.
    pub available_count: u32,
}

fn put(steps: &mut Steps, s: Step, held: u32, name: &Rc<str>) {
    steps.entry(s).or_default().insert((held, name.clone()));
}

fn take(steps: &mut Steps, s: Step, held: u32, name: &Rc<str>) {
    if let Some(set) = steps.get_mut(&s) {
        set.remove(&(held, name.clone()));
        if set.is_empty() {
            steps.remove(&s);
        }
    }
}

impl PoolIndex {
    fn steps(&self, wide: bool) -> &Steps {
        if wide && self.reserved.is_some() {
            &self.by_flexible_capacity
        } else {
            &self.by_free_capacity
        }
    }

    /// Machines by step, with the least room that each has.
    pub fn free_capacity_steps(&self) -> impl Iterator<Item = (Resources, u32)> + '_ {
        self.by_free_capacity
            .iter()
            .map(|(s, set)| (floor(*s, self.capacity), set.len() as u32))
    }

    /// How many open machines hold no task.
    pub fn idle_count(&self) -> usize {
        let top = self
            .by_free_capacity
            .get(&step(self.capacity, self.capacity));
        let set = top.into_iter().flatten();
        set.take_while(|(held, _)| *held == 0).count()
    }

    /// All open machines, those with the fewest tasks of each step first.
    pub fn available_machines(&self) -> impl Iterator<Item = &Rc<str>> + '_ {
        self.by_free_capacity.values().flatten().map(|(_, n)| n)
    }
}

/// The list.
#[derive(Debug, Default)]
pub struct MachineIndex {
    /// By type, zone and kind.
    pub pools: BTreeMap<MachinePool, PoolIndex>,
}

impl MachineIndex {
    /// All processors and cards of the machines that are up or coming up.
    pub fn total_quota(&self) -> QuotaAmount {
        let mut sum = QuotaAmount::default();
        for g in self.pools.values() {
            let each = QuotaAmount {
                cpus: g.capacity.cpus,
                gpus: g.capacity.gpus,
            };
            sum = sum.plus(each.times(u64::from(g.available_count) + g.provisioning.len() as u64));
        }
        sum
    }

    /// What is kept clear on machines of a group for jobs that fit nowhere else.
    pub fn reserved(&self, key: &MachinePool) -> Option<Resources> {
        self.pools.get(key)?.reserved
    }

    /// Changes how a machine stands.
    pub fn update(
        &mut self,
        key: &MachinePool,
        cap: Resources,
        name: &Rc<str>,
        was: IndexEntry,
        now: IndexEntry,
    ) {
        let g = self.pools.entry(key.clone()).or_default();
        match was {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                g.provisioning.remove(name);
            }
            IndexEntry::Available { free, wide, held } => {
                g.available_count -= 1;
                take(&mut g.by_free_capacity, step(free, g.capacity), held, name);
                take(
                    &mut g.by_flexible_capacity,
                    step(wide, g.capacity),
                    held,
                    name,
                );
            }
        }
        if g.available_count == 0 {
            g.capacity = cap;
        }
        match now {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                g.provisioning.insert(name.clone());
            }
            IndexEntry::Available { free, wide, held } => {
                g.available_count += 1;
                put(&mut g.by_free_capacity, step(free, g.capacity), held, name);
                put(
                    &mut g.by_flexible_capacity,
                    step(wide, g.capacity),
                    held,
                    name,
                );
            }
        }
    }

    /// The fitting machine with the lowest priority: the groups are those that
    /// `allowed` names, and `priority` orders their machines (`None`: does not fit).
    /// Of each step only the machines with the fewest tasks are looked at.
    pub fn best_machine<K: Ord>(
        &self,
        s: &JobSpec,
        wide: bool,
        allowed: impl Fn(&MachinePool) -> bool,
        priority: impl Fn(&MachinePool, u32, &Rc<str>) -> Option<K>,
    ) -> Option<Rc<str>> {
        const LOOK: usize = 6;
        let mut best: Option<(K, &Rc<str>)> = None;
        for (key, g) in &self.pools {
            if g.available_count == 0 || !s.task_fits_in(g.capacity) || !allowed(key) {
                continue;
            }
            let need = step(s.resources_per_task(), g.capacity);
            for (st, set) in g.steps(wide).range((need.0, 0, 0)..) {
                if st.1 < need.1 || st.2 < need.2 {
                    continue;
                }
                let mut seen = 0;
                for (held, name) in set {
                    let Some(k) = priority(key, *held, name) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(b, _)| k < *b) {
                        best = Some((k, name));
                    }
                    seen += 1;
                    if seen >= LOOK {
                        break;
                    }
                }
            }
        }
        best.map(|(_, n)| n.clone())
    }

    /// How many tasks of a job the open machines of the allowed groups take now,
    /// at least; counted up to `most`.
    pub fn tasks_fitting_now(
        &self,
        s: &JobSpec,
        wide: bool,
        allowed: impl Fn(&MachinePool) -> bool,
        free: impl Fn(&str) -> Resources,
        most: u64,
    ) -> u64 {
        let mut n = 0u64;
        for (key, g) in &self.pools {
            if g.available_count == 0 || !s.task_fits_in(g.capacity) || !allowed(key) {
                continue;
            }
            let need = step(s.resources_per_task(), g.capacity);
            for (st, set) in g.steps(wide).range((need.0, 0, 0)..) {
                let each = s.tasks_fitting_in(floor(*st, g.capacity));
                if each > 0 {
                    n += each * set.len() as u64;
                } else if st.1 >= need.1 && st.2 >= need.2 {
                    n += set
                        .iter()
                        .map(|(_, m)| s.tasks_fitting_in(free(m)))
                        .sum::<u64>();
                }
                if n >= most {
                    return most;
                }
            }
        }
        n
    }

    /// How many tasks of a job the machines of the allowed groups would take with
    /// nothing else on them, those that are expected included.
    pub fn tasks_fitting_when_empty(
        &self,
        s: &JobSpec,
        wide: bool,
        allowed: impl Fn(&MachinePool) -> bool,
    ) -> u64 {
        self.pools
            .iter()
            .filter(|(k, g)| s.task_fits_in(g.capacity) && allowed(k))
            .map(|(_, g)| {
                let room = match g.reserved {
                    Some(k) if wide => g.capacity.minus(k),
                    _ => g.capacity,
                };
                s.tasks_fitting_in(room) * (g.available_count as u64 + g.provisioning.len() as u64)
            })
            .sum()
    }
}

#[cfg(test)]
mod tests;
