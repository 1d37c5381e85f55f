//! Tests of quota.

use super::*;
use proptest::prelude::*;

fn a(cpus: u64, gpus: u64) -> QuotaAmount {
    QuotaAmount { cpus, gpus }
}

#[test]
fn limits() {
    for (kind, tasks, each, fits) in [
        (JobKind::Array, 1000, a(5, 0), true),
        (JobKind::Array, 1, a(11, 0), false),
        (JobKind::Gang, 2, a(5, 0), true),
        (JobKind::Gang, 3, a(5, 0), false),
        (JobKind::Service, 3, a(5, 0), false),
        (JobKind::Array, 1, a(1, 1), false),
        (JobKind::Gang, u32::MAX, a(u64::MAX, 0), false),
    ] {
        assert_eq!(
            fits_within_limit(kind, tasks, each, Some(a(10, 0))),
            fits,
            "{kind:?} {tasks}"
        );
        assert!(
            fits_within_limit(kind, tasks, each, None),
            "{kind:?} {tasks}"
        );
    }
}

proptest! {
    /// Whatever regions ask for, in any order, the shares never exceed the limit.
    #[test]
    fn shares_stay_inside(asks in proptest::collection::vec((0usize..4, 0u64..30, 0u64..5), 0..40)) {
        let limit = a(20, 3);
        let mut rec = QuotaRecord::default();
        for (r, c, g) in asks {
            let region = format!("r{r}");
            if let Some(change) = with_share(Some(&rec), &region, limit, a(c, g)) {
                prop_assert!(change.share.within(a(c, g)));
                rec = change.record;
            }
            let sum = rec.shares.values().fold(a(0, 0), |s, share| s.plus(*share));
            prop_assert!(sum.within(limit));
        }
    }
}
