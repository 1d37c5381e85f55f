//! Tests of the machine index.

use super::*;
use proptest::prelude::*;

fn spec(cpus: u64, mem: u64) -> JobSpec {
    serde_json::from_value(
        serde_json::json!({"c":"x","t":"red","k":"a","r":"1","n":1000,
        "u":cpus,"m":mem,"i":"img","a":0}),
    )
    .unwrap()
}

proptest! {
    /// After any sequence of updates, the index finds a machine exactly if one fits, and
    /// returns one with the fewest tasks among those that fit. Guards against stale entries and
    /// against rounding in the buckets.
    #[test]
    fn finds_the_least_loaded(
        changes in proptest::collection::vec((0usize..12, 0u64..9, 0u64..9, 0u32..6), 1..60),
        cpus in 1u64..9, mem in 0u64..9,
    ) {
        let capacity = Resources { cpus: 8, gpus: 0, memory: 8 };
        let key = MachinePool::new("box", "a", false);
        let mut index = MachineIndex::default();
        let mut now: BTreeMap<usize, IndexEntry> = BTreeMap::new();
        for (number, cpus, memory, task_count) in changes {
            let name: Rc<str> = Rc::from(format!("m-{number:02}"));
            let free = Resources { cpus, gpus: 0, memory };
            let new = if task_count == 5 {
                IndexEntry::Unlisted
            } else {
                IndexEntry::Available { free, free_for_flexible: free, task_count }
            };
            let old = now.insert(number, new).unwrap_or_default();
            index.update(&key, capacity, &name, old, new);
        }
        let spec = spec(cpus, mem);
        let free = |name: &str| match now[&name[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { free, .. } => free,
            _ => Resources::ZERO,
        };
        let got = index.best_machine(&spec, false, |_| true, |_, task_count, name| spec.task_fits_in(free(name)).then_some(task_count));
        let want = now.values().filter_map(|entry| match entry {
            IndexEntry::Available { free, task_count, .. } if spec.task_fits_in(*free) => Some(*task_count),
            _ => None,
        }).min();
        prop_assert_eq!(got.as_ref().map(|name| match now[&name[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { task_count, .. } => task_count,
            _ => 99,
        }), want);
        let all: u64 = now.values().map(|entry| match entry {
            IndexEntry::Available { free, .. } => spec.tasks_fitting_in(*free),
            _ => 0,
        }).sum();
        let counted = index.tasks_fitting_now(&spec, false, |_| true, free, u64::MAX);
        prop_assert!(counted <= all && (counted > 0) == (all > 0));
    }
}
