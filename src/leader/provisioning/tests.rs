//! Tests of the rental limits for degraded pools.

use super::*;

fn offer(machine_type: &str) -> Offer {
    Offer {
        machine_type: machine_type.into(),
        zone: "a".into(),
        spot: false,
    }
}

fn health(machine_type: &str, overdue: u32, arrived: u32) -> ProvisioningHealth {
    ProvisioningHealth {
        machine_type: machine_type.into(),
        zone: "a".into(),
        spot: false,
        overdue,
        arrived,
        overdue_us: SECOND,
    }
}

/// Guards against repeated rentals from a pool whose machines don't boot. The reports of all
/// regions together determine whether a pool is degraded. From a degraded pool, only the machines
/// wanted beyond the overdue ones or periodic probes are rented. Reports expire.
#[test]
fn degraded_pools_are_rented_by_probes() {
    // Overdue and booted machines in each of two regions, wanted machines; expected limit at 1 s
    // and at 5 s.
    for (first, second, wanted, at_1_s, at_5_s) in [
        ((0, 0), (0, 0), 40, 40, 40),
        ((1, 0), (0, 0), 40, 40, 40),
        ((3, 0), (2, 9), 40, 40, 40),
        ((3, 0), (2, 0), 40, 35, 35),
        ((12, 0), (0, 0), 12, 2, 0),
        ((12, 0), (0, 0), 1, 1, 0),
        ((30, 4), (0, 0), 12, 2, 0),
    ] {
        let mut reports = ProvisioningReports::default();
        reports.on_report("t-0".into(), vec![health("big", first.0, first.1)], SECOND);
        reports.on_report(
            "t-1".into(),
            vec![health("big", second.0, second.1)],
            SECOND,
        );
        let case = format!("{first:?} {second:?} {wanted}");
        assert_eq!(
            reports.limit(&offer("big"), wanted, SECOND),
            at_1_s,
            "{case}"
        );
        assert_eq!(
            reports.limit(&offer("big"), wanted, 5 * SECOND),
            at_5_s,
            "{case}"
        );
        let again = reports.limit(&offer("big"), wanted, 30 * SECOND);
        assert_eq!(again, at_1_s, "{case}");
        assert_eq!(
            reports.limit(&offer("box"), wanted, SECOND),
            wanted,
            "{case}"
        );
        let is_degraded = reports.cost_factor(&offer("big")) > 1.0;
        assert_eq!(is_degraded, at_1_s < wanted || at_5_s < wanted, "{case}");
        assert_eq!(
            reports.degraded_pools().len(),
            usize::from(is_degraded),
            "{case}"
        );
        reports.expire(8 * SECOND);
        assert_eq!(reports.limit(&offer("big"), wanted, 8 * SECOND), wanted);
    }
}
