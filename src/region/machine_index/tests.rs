//! Tests of region::list.

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
    /// Whatever changes were made, the list finds a machine exactly when one
    /// fits, and one that holds the fewest tasks of those.
    #[test]
    fn finds_the_least_loaded(
        changes in proptest::collection::vec((0usize..12, 0u64..9, 0u64..9, 0u32..6), 1..60),
        cpus in 1u64..9, mem in 0u64..9,
    ) {
        let cap = Resources { cpus: 8, gpus: 0, memory: 8 };
        let key = MachinePool::new("box", "a", false);
        let mut list = MachineIndex::default();
        let mut now: BTreeMap<usize, IndexEntry> = BTreeMap::new();
        for (m, c, g, held) in changes {
            let name: Rc<str> = Rc::from(format!("m-{m:02}"));
            let free = Resources { cpus: c, gpus: 0, memory: g };
            let to = if held == 5 { IndexEntry::Unlisted } else { IndexEntry::Available { free, wide: free, held } };
            let was = now.insert(m, to).unwrap_or_default();
            list.update(&key, cap, &name, was, to);
        }
        let s = spec(cpus, mem);
        let free = |name: &str| match now[&name[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { free, .. } => free,
            _ => Resources::ZERO,
        };
        let got = list.best_machine(&s, false, |_| true, |_, held, n| s.task_fits_in(free(n)).then_some(held));
        let want = now.values().filter_map(|l| match l {
            IndexEntry::Available { free, held, .. } if s.task_fits_in(*free) => Some(*held),
            _ => None,
        }).min();
        prop_assert_eq!(got.as_ref().map(|n| match now[&n[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { held, .. } => held,
            _ => 99,
        }), want);
        let all: u64 = now.values().map(|l| match l {
            IndexEntry::Available { free, .. } => s.tasks_fitting_in(*free),
            _ => 0,
        }).sum();
        let counted = list.tasks_fitting_now(&s, false, |_| true, free, u64::MAX);
        prop_assert!(counted <= all && (counted > 0) == (all > 0));
    }
}
