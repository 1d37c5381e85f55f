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
        let cap = (8, 0, 8);
        let key: GroupKey = (Rc::from("box"), Rc::from("a"), false);
        let mut list = MachineIndex::default();
        let mut now: BTreeMap<usize, IndexEntry> = BTreeMap::new();
        for (m, c, g, held) in changes {
            let name: Rc<str> = Rc::from(format!("m-{m:02}"));
            let free = (c, 0, g);
            let to = if held == 5 { IndexEntry::Unlisted } else { IndexEntry::Available { free, wide: free, held } };
            let was = now.insert(m, to).unwrap_or_default();
            list.change(&key, cap, &name, was, to);
        }
        let s = spec(cpus, mem);
        let free = |name: &str| match now[&name[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { free, .. } => free,
            _ => (0, 0, 0),
        };
        let got = list.best(&s, false, |_| true, |_, held, n| fits(free(n), &s).then_some(held));
        let want = now.values().filter_map(|l| match l {
            IndexEntry::Available { free, held, .. } if fits(*free, &s) => Some(*held),
            _ => None,
        }).min();
        prop_assert_eq!(got.as_ref().map(|n| match now[&n[2..].parse::<usize>().unwrap()] {
            IndexEntry::Available { held, .. } => held,
            _ => 99,
        }), want);
        let all: u64 = now.values().map(|l| match l {
            IndexEntry::Available { free, .. } => s.count_in(*free),
            _ => 0,
        }).sum();
        let counted = list.count(&s, false, |_| true, free, u64::MAX);
        prop_assert!(counted <= all && (counted > 0) == (all > 0));
    }
}
