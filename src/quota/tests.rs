//! Tests of quota limits and shares.

use super::*;
use proptest::prelude::*;

fn amount(cpus: u64, gpus: u64) -> QuotaAmount {
    QuotaAmount { cpus, gpus }
}

/// Guards against accepting a job that is larger than its team's limit and so can never run.
#[test]
fn jobs_larger_than_the_limit_never_fit() {
    for (kind, tasks, each, fits) in [
        (JobKind::Array, 1000, amount(5, 0), true),
        (JobKind::Array, 1, amount(11, 0), false),
        (JobKind::Gang, 2, amount(5, 0), true),
        (JobKind::Gang, 3, amount(5, 0), false),
        (JobKind::Service, 3, amount(5, 0), false),
        (JobKind::Array, 1, amount(1, 1), false),
        (JobKind::Gang, u32::MAX, amount(u64::MAX, 0), false),
    ] {
        assert_eq!(
            fits_within_limit(kind, tasks, each, Some(amount(10, 0))),
            fits,
            "{kind:?} of {tasks} tasks: expected fits={fits} within the limit"
        );
        assert!(
            fits_within_limit(kind, tasks, each, None),
            "{kind:?} of {tasks} tasks: expected to fit without a limit"
        );
    }
}

proptest! {
    /// The shares of a team never sum to more than its limit, whatever the regions request and
    /// in whatever order.
    #[test]
    fn shares_stay_within_the_limit(requests in proptest::collection::vec((0usize..4, 0u64..30, 0u64..5), 0..40)) {
        let limit = amount(20, 3);
        let mut record = QuotaRecord::default();
        for (region_index, cpus, gpus) in requests {
            let region = format!("r{region_index}");
            if let Some(change) = with_share(Some(&record), &region, limit, amount(cpus, gpus)) {
                prop_assert!(change.share.within(amount(cpus, gpus)));
                record = change.record;
            }
            let sum = record.shares.values().fold(amount(0, 0), |s, share| s.plus(*share));
            prop_assert!(sum.within(limit));
        }
    }
}
