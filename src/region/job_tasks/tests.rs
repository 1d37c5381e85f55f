//! Tests of the state sets of a job's tasks.

use super::*;
use salttiller_records::units::SECOND;

fn task_numbers(tasks: &RangeSet) -> Vec<u32> {
    tasks.iter().collect()
}

fn bind(tasks: &mut JobTasks, range: (u32, u32), recorded: (u32, u32), origin: BindingOrigin) {
    let bound = RangeSet::from_range(range.0, range.1);
    let recorded = RangeSet::from_range(recorded.0, recorded.1);
    let change = tasks.binding_change(&bound).expect("no change");
    tasks.bind(bound, change, &recorded, origin, 2 * SECOND);
}

/// Guards against tasks that are started twice after a change of the binding. Newly bound tasks
/// are pending, or unreconciled if a former owner may have started them. Tasks with a result are
/// neither, and tasks that are no longer bound to the region are removed.
#[test]
fn binding_change_updates_task_states() {
    for origin in [BindingOrigin::New, BindingOrigin::Inherited] {
        let mut tasks = JobTasks::new(SECOND);
        bind(&mut tasks, (0, 6), (1, 3), origin);
        let (entered, other) = match origin {
            BindingOrigin::New => (tasks.pending(), tasks.unreconciled()),
            BindingOrigin::Inherited => (tasks.unreconciled(), tasks.pending()),
        };
        assert_eq!(task_numbers(entered), [0, 3, 4, 5], "{origin:?}");
        assert!(other.is_empty(), "{origin:?}");
        assert!(tasks.binding_change(&RangeSet::from_range(0, 6)).is_none());
        bind(&mut tasks, (0, 4), (1, 3), origin);
        tasks.reconcile(3 * SECOND);
        assert_eq!(task_numbers(tasks.pending()), [0, 3], "{origin:?}");
    }
}

/// Guards against a job that loses its waiting time when one of several pending tasks is
/// assigned and returns: the pending time restarts only after no task was pending.
#[test]
fn pending_since_restarts_only_when_none_was_pending() {
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

/// Guards against a task with a result that is started again, and against tasks that are lost
/// by a failed handover: they become pending again, those of a committed handover do not.
#[test]
fn results_and_handovers() {
    let mut tasks = JobTasks::new(SECOND);
    bind(&mut tasks, (0, 4), (0, 0), BindingOrigin::New);
    tasks.leave(0);
    tasks.add_result(0);
    assert!(!tasks.enter_pending(0, 3 * SECOND));
    for (committed, pending) in [(false, &[1, 2, 3][..]), (true, &[1][..])] {
        tasks.begin_hand_over(RangeSet::from_range(2, 4));
        assert_eq!(task_numbers(tasks.pending()), [1]);
        tasks.end_hand_over(committed);
        assert_eq!(task_numbers(tasks.pending()), pending, "{committed}");
    }
}
