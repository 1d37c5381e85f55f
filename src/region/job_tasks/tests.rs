//! Tests of a job's tasks by state.

use super::*;
use salttiller_records::units::SECOND;

fn numbers(tasks: &RangeSet) -> Vec<u32> {
    tasks.iter().collect()
}

fn bind(tasks: &mut JobTasks, range: (u32, u32), recorded: (u32, u32), origin: BindingOrigin) {
    let bound = RangeSet::from_range(range.0, range.1);
    let recorded = RangeSet::from_range(recorded.0, recorded.1);
    let change = tasks.binding_change(&bound).expect("no change");
    tasks.bind(bound, change, &recorded, origin, 2 * SECOND);
}

/// Tasks that are bound are pending, or unreconciled if a former owner may have started them;
/// those with a result are neither, and those bound elsewhere leave.
#[test]
fn binding() {
    for origin in [BindingOrigin::New, BindingOrigin::Inherited] {
        let mut tasks = JobTasks::new(SECOND);
        bind(&mut tasks, (0, 6), (1, 3), origin);
        let (entered, other) = match origin {
            BindingOrigin::New => (tasks.pending(), tasks.unreconciled()),
            BindingOrigin::Inherited => (tasks.unreconciled(), tasks.pending()),
        };
        assert_eq!(numbers(entered), [0, 3, 4, 5], "{origin:?}");
        assert!(other.is_empty(), "{origin:?}");
        assert!(tasks.binding_change(&RangeSet::from_range(0, 6)).is_none());
        bind(&mut tasks, (0, 4), (1, 3), origin);
        tasks.reconcile(3 * SECOND);
        assert_eq!(numbers(tasks.pending()), [0, 3], "{origin:?}");
    }
}

/// The time since when tasks are pending begins anew only once none was.
#[test]
fn pending_since() {
    let mut tasks = JobTasks::new(SECOND);
    bind(&mut tasks, (0, 2), (0, 0), BindingOrigin::New);
    assert_eq!(tasks.pending_since(), 2 * SECOND);
    tasks.leave(0);
    tasks.enter_machine(0, Rc::from("m-1"));
    assert!(tasks.enter_pending(0, 3 * SECOND));
    assert_eq!(tasks.pending_since(), 2 * SECOND);
    tasks.leave(0);
    tasks.leave(1);
    assert!(tasks.enter_pending(1, 4 * SECOND));
    assert_eq!(tasks.pending_since(), 4 * SECOND);
}

/// A task with a result isn't pending again; a failed hand-over gives its tasks back.
#[test]
fn results_and_hand_overs() {
    let mut tasks = JobTasks::new(SECOND);
    bind(&mut tasks, (0, 4), (0, 0), BindingOrigin::New);
    tasks.leave(0);
    tasks.add_result(0);
    assert!(!tasks.enter_pending(0, 3 * SECOND));
    for (committed, pending) in [(false, &[1, 2, 3][..]), (true, &[1][..])] {
        tasks.begin_hand_over(RangeSet::from_range(2, 4));
        assert_eq!(numbers(tasks.pending()), [1]);
        tasks.end_hand_over(committed);
        assert_eq!(numbers(tasks.pending()), pending, "{committed}");
    }
}
