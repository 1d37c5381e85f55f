//! Tests of the rule by which tasks may leave their region.

use std::rc::Rc;

use serde_json::json;

use super::*;
use crate::fault_injection::with_disabled;

fn spec(kind: &str, single_zone: bool, spread_zones: bool) -> Rc<JobSpec> {
    let spec = json!({"c": "x", "t": "red", "k": kind, "r": "1", "n": 8, "u": 1, "i": "img", "a": 0,
        "o": single_zone, "p": spread_zones});
    Rc::new(serde_json::from_value(spec).unwrap())
}

fn remaining(open: u32, pending: u32, on_machines: u32) -> RemainingTasks {
    RemainingTasks {
        open,
        pending,
        on_machines,
    }
}

/// Guards against a job that can't leave its region because some of its tasks are done, and against
/// an indivisible job that leaves while a task may be on a machine.
#[test]
fn an_indivisible_job_leaves_as_a_whole_whatever_is_done() {
    let divisible = spec("a", false, false);
    for indivisible in [
        spec("a", true, false),
        spec("s", false, true),
        spec("g", false, false),
    ] {
        for (tasks, may_leave) in [
            (remaining(8, 8, 0), true),
            (remaining(4, 4, 0), true),
            (remaining(1, 1, 0), true),
            (remaining(4, 3, 0), false),
            (remaining(4, 3, 1), false),
            (remaining(4, 4, 1), false),
            (remaining(4, 0, 0), false),
            (remaining(0, 0, 0), false),
        ] {
            assert_eq!(
                tasks.may_leave_region(&indivisible),
                may_leave,
                "{tasks}, {:?}",
                indivisible.kind
            );
            assert_eq!(tasks.min_fitting(&indivisible), tasks.open);
            assert_eq!(tasks.may_leave_region(&divisible), tasks.pending > 0);
            assert_eq!(tasks.min_fitting(&divisible), 1);
        }
    }
}

/// Each safeguard of the rule, disabled alone, lets a job leave that must not.
#[test]
fn disabled_safeguards_let_a_job_leave() {
    let job = spec("a", true, false);
    for (tasks, safeguard) in [
        (remaining(4, 3, 0), Safeguard::WholeJobMoves),
        (remaining(4, 4, 1), Safeguard::EmptyMachinesLeft),
    ] {
        assert!(!tasks.may_leave_region(&job), "{tasks}");
        with_disabled(safeguard, || {
            assert!(tasks.may_leave_region(&job), "{tasks}");
        });
    }
}
