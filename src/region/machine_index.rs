//! The level-two list: the region's machines by type, zone and kind, by free
//! room and by tasks held. Kept up to date by each change, so that no event has
//! to walk all machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::model::JobSpec;
use salttiller_records::QuotaAmount;

/// Processors, cards and memory, in millionths.
pub type Room = (u64, u64, u64);

/// Type, zone, and whether spot.
pub type GroupKey = (Rc<str>, Rc<str>, bool);

/// What is left of `a` without `b`.
pub fn less(a: Room, b: Room) -> Room {
    (
        a.0.saturating_sub(b.0),
        a.1.saturating_sub(b.1),
        a.2.saturating_sub(b.2),
    )
}

/// Both together.
pub fn sum(a: Room, b: Room) -> Room {
    (a.0 + b.0, a.1 + b.1, a.2 + b.2)
}

/// The smaller of each.
pub fn least(a: Room, b: Room) -> Room {
    (a.0.min(b.0), a.1.min(b.1), a.2.min(b.2))
}

/// Whether a task goes into this much room.
pub fn fits(free: Room, s: &JobSpec) -> bool {
    s.cpus <= free.0 && s.gpus <= free.1 && s.mem <= free.2
}

/// Room in steps of a 32nd of the machine: machines in the same step stand
/// together in the list.
type Step = (u8, u8, u8);

fn step(free: Room, cap: Room) -> Step {
    let one = |f: u64, c: u64| (f * 32).checked_div(c).unwrap_or(32).min(32) as u8;
    (one(free.0, cap.0), one(free.1, cap.1), one(free.2, cap.2))
}

/// The least room that a machine in this step has.
fn floor(s: Step, cap: Room) -> Room {
    let one = |s: u8, c: u64| (c * s as u64).div_ceil(32);
    (one(s.0, cap.0), one(s.1, cap.1), one(s.2, cap.2))
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
        free: Room,
        /// Free room for tasks that fit on other types too.
        wide: Room,
        /// Tasks held.
        held: u32,
    },
}

impl IndexEntry {
    /// Free room of an open machine, for tasks that fit on other types too if `wide`.
    pub fn room(self, for_wide: bool) -> Option<Room> {
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
    pub cap: Room,
    /// Kept clear on each for tasks that fit nowhere else.
    pub kept: Option<Room>,
    open: Steps,
    wide: Steps,
    /// Expected to come up.
    pub booting: BTreeSet<Rc<str>>,
    /// How many are open.
    pub up: u32,
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
        if wide && self.kept.is_some() {
            &self.wide
        } else {
            &self.open
        }
    }

    /// Machines by step, with the least room that each has.
    pub fn rooms(&self) -> impl Iterator<Item = (Room, u32)> + '_ {
        self.open
            .iter()
            .map(|(s, set)| (floor(*s, self.cap), set.len() as u32))
    }

    /// How many open machines hold no task.
    pub fn idle(&self) -> usize {
        let top = self.open.get(&step(self.cap, self.cap));
        let set = top.into_iter().flatten();
        set.take_while(|(held, _)| *held == 0).count()
    }

    /// All open machines, those with the fewest tasks of each step first.
    pub fn names(&self) -> impl Iterator<Item = &Rc<str>> + '_ {
        self.open.values().flatten().map(|(_, n)| n)
    }
}

/// The list.
#[derive(Debug, Default)]
pub struct MachineIndex {
    /// By type, zone and kind.
    pub groups: BTreeMap<GroupKey, PoolIndex>,
}

impl MachineIndex {
    /// All processors and cards of the machines that are up or coming up.
    pub fn capacity(&self) -> QuotaAmount {
        let mut sum = QuotaAmount::default();
        for g in self.groups.values() {
            let each = QuotaAmount {
                cpus: g.cap.0,
                gpus: g.cap.1,
            };
            sum = sum.plus(each.times(u64::from(g.up) + g.booting.len() as u64));
        }
        sum
    }

    /// What is kept clear on machines of a group for jobs that fit nowhere else.
    pub fn kept(&self, key: &GroupKey) -> Option<Room> {
        self.groups.get(key)?.kept
    }

    /// Changes how a machine stands.
    pub fn change(
        &mut self,
        key: &GroupKey,
        cap: Room,
        name: &Rc<str>,
        was: IndexEntry,
        now: IndexEntry,
    ) {
        let g = self.groups.entry(key.clone()).or_default();
        match was {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                g.booting.remove(name);
            }
            IndexEntry::Available { free, wide, held } => {
                g.up -= 1;
                take(&mut g.open, step(free, g.cap), held, name);
                take(&mut g.wide, step(wide, g.cap), held, name);
            }
        }
        if g.up == 0 {
            g.cap = cap;
        }
        match now {
            IndexEntry::Unlisted => {}
            IndexEntry::Provisioning => {
                g.booting.insert(name.clone());
            }
            IndexEntry::Available { free, wide, held } => {
                g.up += 1;
                put(&mut g.open, step(free, g.cap), held, name);
                put(&mut g.wide, step(wide, g.cap), held, name);
            }
        }
    }

    /// The fitting machine with the lowest priority: the groups are those that
    /// `allowed` names, and `priority` orders their machines (`None`: does not fit).
    /// Of each step only the machines with the fewest tasks are looked at.
    pub fn best<K: Ord>(
        &self,
        s: &JobSpec,
        wide: bool,
        allowed: impl Fn(&GroupKey) -> bool,
        priority: impl Fn(&GroupKey, u32, &Rc<str>) -> Option<K>,
    ) -> Option<Rc<str>> {
        const LOOK: usize = 6;
        let mut best: Option<(K, &Rc<str>)> = None;
        for (key, g) in &self.groups {
            if g.up == 0 || !fits(g.cap, s) || !allowed(key) {
                continue;
            }
            let need = step((s.cpus, s.gpus, s.mem), g.cap);
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
    pub fn count(
        &self,
        s: &JobSpec,
        wide: bool,
        allowed: impl Fn(&GroupKey) -> bool,
        free: impl Fn(&str) -> Room,
        most: u64,
    ) -> u64 {
        let mut n = 0u64;
        for (key, g) in &self.groups {
            if g.up == 0 || !fits(g.cap, s) || !allowed(key) {
                continue;
            }
            let need = step((s.cpus, s.gpus, s.mem), g.cap);
            for (st, set) in g.steps(wide).range((need.0, 0, 0)..) {
                let each = s.count_in(floor(*st, g.cap));
                if each > 0 {
                    n += each * set.len() as u64;
                } else if st.1 >= need.1 && st.2 >= need.2 {
                    n += set.iter().map(|(_, m)| s.count_in(free(m))).sum::<u64>();
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
    pub fn potential(&self, s: &JobSpec, wide: bool, allowed: impl Fn(&GroupKey) -> bool) -> u64 {
        self.groups
            .iter()
            .filter(|(k, g)| fits(g.cap, s) && allowed(k))
            .map(|(_, g)| {
                let room = match g.kept {
                    Some(k) if wide => less(g.cap, k),
                    _ => g.cap,
                };
                s.count_in(room) * (g.up as u64 + g.booting.len() as u64)
            })
            .sum()
    }
}

#[cfg(test)]
mod tests;
