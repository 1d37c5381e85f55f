//! Tests of boot reports.

use super::*;

fn offer(machine_type: &str) -> Offer {
    Offer {
        machine_type: machine_type.into(),
        zone: "a".into(),
        spot: false,
    }
}

fn line(machine_type: &str, overdue: u32, arrived: u32) -> ProvisioningHealth {
    ProvisioningHealth {
        machine_type: machine_type.into(),
        zone: "a".into(),
        spot: false,
        overdue,
        arrived,
        overdue_us: SECOND,
    }
}

/// What the regions say together decides; of a kind in trouble no more is rented than its
/// overdue machines leave and a probe now and then, and old words are forgotten.
#[test]
fn a_kind_in_trouble_is_rented_by_probes() {
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
        let mut boots = ProvisioningReports::default();
        boots.note("t-0".into(), vec![line("big", first.0, first.1)], SECOND);
        boots.note("t-1".into(), vec![line("big", second.0, second.1)], SECOND);
        let what = format!("{first:?} {second:?} {asked}");
        assert_eq!(boots.limit(&offer("big"), asked, SECOND), at_once, "{what}");
        assert_eq!(
            boots.limit(&offer("big"), asked, 5 * SECOND),
            soon,
            "{what}"
        );
        let again = boots.limit(&offer("big"), asked, 30 * SECOND);
        assert_eq!(again, at_once, "{what}");
        assert_eq!(boots.limit(&offer("box"), asked, SECOND), asked, "{what}");
        let dearer = boots.penalty(&offer("big")) > 1.0;
        assert_eq!(dearer, at_once < asked || soon < asked, "{what}");
        assert_eq!(boots.in_trouble().len(), usize::from(dearer), "{what}");
        boots.expire(8 * SECOND);
        assert_eq!(boots.limit(&offer("big"), asked, 8 * SECOND), asked);
    }
}
