//! Tests of the limits on pools whose machines don't come up.

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

/// What all regions report together decides; of a pool in trouble no more is rented than its
/// overdue machines leave and a probe now and then, and old reports are forgotten.
#[test]
fn a_pool_in_trouble_is_rented_by_probes() {
    // Overdue and arrived in two regions, asked for, allowed at once, allowed at 5 s.
    for (first, second, asked, at_once, soon) in [
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
        let case = format!("{first:?} {second:?} {asked}");
        assert_eq!(
            reports.limit(&offer("big"), asked, SECOND),
            at_once,
            "{case}"
        );
        assert_eq!(
            reports.limit(&offer("big"), asked, 5 * SECOND),
            soon,
            "{case}"
        );
        let again = reports.limit(&offer("big"), asked, 30 * SECOND);
        assert_eq!(again, at_once, "{case}");
        assert_eq!(reports.limit(&offer("box"), asked, SECOND), asked, "{case}");
        let dearer = reports.cost_factor(&offer("big")) > 1.0;
        assert_eq!(dearer, at_once < asked || soon < asked, "{case}");
        assert_eq!(reports.in_trouble().len(), usize::from(dearer), "{case}");
        reports.expire(8 * SECOND);
        assert_eq!(reports.limit(&offer("big"), asked, 8 * SECOND), asked);
    }
}
