//! Days with compound failures. Each day injects one combination of faults.

use super::{at, connection_failure, Day};
use crate::simulation::controllers::ConnectionFailure;
use crate::simulation::faults::{Fault, PlannedFault};
use crate::simulation::workload::Workload;
use salttiller_records::units::{Micros, SECOND};

/// Returns all days with compound failures.
pub(crate) fn days() -> impl Iterator<Item = &'static Day> {
    let tables = [CANCELLATIONS, LEADER_CHANGES, NETWORK, CAPACITY, PIPELINES];
    tables.into_iter().flatten()
}

/// Plans a period in which the state service refuses only the leader, cancellations that the other
/// controllers can confirm during this period, and then an outage of the state service that lasts
/// longer than `cancel_s`.
fn store_refusal_then_outage(rng: &mut fastrand::Rng, machine_pause: Micros) -> Vec<PlannedFault> {
    let start = 30.0 + rng.f64() * 20.0;
    let outage_after = 0.5 + rng.f64() * 9.5;
    vec![
        at(start, Fault::StoreRefusesLeader(14 * SECOND)),
        at(
            start + outage_after * 0.3,
            Fault::cancel_running_and_pause(8, machine_pause),
        ),
        at(start + outage_after, Fault::StoreOutage(60 * SECOND)),
    ]
}

/// Cancellations during refusals and outages of the state service, and as jobs complete.
const CANCELLATIONS: &[Day] = &[
    Day {
        name: "the gap",
        faults: |rng| store_refusal_then_outage(rng, 0),
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.cancels_confirmed_in_refusal > 0
                && observations.running_tasks_cancelled > 0
                && observations.heartbeats_accepted_without_store > 0
        },
    },
    Day {
        name: "the gap, and the machines hang",
        faults: |rng| {
            let machine_pause = rng.u64(3..40) * SECOND;
            store_refusal_then_outage(rng, machine_pause)
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.cancels_confirmed_in_refusal > 0
                && observations.running_tasks_cancelled > 0
        },
    },
    Day {
        name: "a cancellation meets the end",
        faults: |_| vec![at(5.0, Fault::CancelOnCompletion(150 * SECOND))],
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.late_cancels_answered_done > 0
                && observations.late_cancels_answered_cancelled > 0
        },
    },
    Day {
        name: "cancellations at the end while the state service is slow",
        faults: |rng| {
            vec![
                at(5.0, Fault::CancelOnCompletion(150 * SECOND)),
                at(20.0 + rng.f64() * 60.0, Fault::SlowStore(40 * SECOND)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.late_cancels_answered_done + observations.late_cancels_answered_cancelled
                > 0
        },
    },
];

/// Changes of the leader and of region owners while machines or controllers are unreachable or
/// down.
const LEADER_CHANGES: &[Day] = &[
    Day {
        name: "machines reach no controller while the leader changes",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 60.0;
            vec![
                at(start, Fault::PartitionWorkers(rng.u64(5..60) * SECOND)),
                at(start + 2.0, Fault::RestartLeader),
                at(start + 4.0, Fault::cancel_running(4)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.leader_elections > 1 && observations.leases_expired_with_tasks > 0
        },
    },
    Day {
        name: "all controllers are away for longer than a lease",
        faults: |rng| {
            vec![
                at(
                    20.0 + rng.f64() * 60.0,
                    Fault::AllControllersDown(rng.u64(17..40) * SECOND),
                ),
                at(100.0, Fault::AllControllersDown(rng.u64(1..3) * SECOND)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.leases_expired_with_tasks > 0 && observations.region_acquisitions >= 6
        },
    },
    Day {
        name: "the leader is cut off with its workers, jobs are cancelled elsewhere",
        faults: |rng| {
            let start = 25.0 + rng.f64() * 60.0;
            let index = rng.usize(0..3);
            vec![
                at(
                    start,
                    Fault::IsolateController(index, 60 * SECOND, connection_failure(rng)),
                ),
                at(start + 1.0, Fault::cancel_running(8)),
                at(
                    start + 12.0,
                    Fault::cancel_running_and_pause(8, 10 * SECOND),
                ),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.running_tasks_cancelled > 0,
    },
    Day {
        name: "transactions are carried out late, after newer ones",
        faults: |rng| {
            vec![
                at(10.0, Fault::DelayCommits(120 * SECOND)),
                at(30.0 + rng.f64() * 60.0, Fault::RestartLeader),
                at(
                    40.0 + rng.f64() * 60.0,
                    Fault::CrashController(rng.usize(0..3)),
                ),
                at(50.0, Fault::cancel_running(4)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.delayed_commits > 10,
    },
    Day {
        name: "ten leaders in two minutes, also inside an outage",
        faults: |rng| {
            let mut faults: Vec<PlannedFault> = (0..10)
                .map(|i| {
                    at(
                        15.0 + f64::from(i) * 11.0 + rng.f64() * 3.0,
                        Fault::RestartLeader,
                    )
                })
                .collect();
            faults.push(at(40.0 + rng.f64() * 40.0, Fault::StoreOutage(25 * SECOND)));
            faults.push(at(60.0, Fault::cancel_running(4)));
            faults
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.leader_elections >= 8,
    },
    Day {
        name: "the leader ends while machines are cut off or deaf",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 60.0;
            let duration = rng.u64(5..40) * SECOND;
            vec![
                at(start, Fault::PauseMachine(duration)),
                at(start, Fault::LoseResponsesToMachine(duration)),
                at(start, Fault::LoseResponsesToMachine(duration)),
                at(start + 1.0, Fault::RestartLeader),
                at(start + 3.0, Fault::cancel_running(2)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.leader_elections > 1 && observations.region_acquisitions > 3
        },
    },
];

/// A slow state service, delayed messages and partitioned zones.
const NETWORK: &[Day] = &[
    Day {
        name: "the state service is slow, refuses the leader, and is out",
        faults: |rng| {
            let start = 25.0 + rng.f64() * 40.0;
            vec![
                at(start, Fault::SlowStore(20 * SECOND)),
                at(start + 15.0, Fault::StoreRefusesLeader(14 * SECOND)),
                at(start + 15.2, Fault::cancel_running(8)),
                at(start + 16.0, Fault::StoreOutage(50 * SECOND)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.running_tasks_cancelled > 0
                && observations.heartbeats_accepted_without_store > 0
        },
    },
    Day {
        name: "old reports arrive at a new leader",
        faults: |rng| {
            vec![
                at(10.0, Fault::DuplicateHeartbeats(120 * SECOND)),
                at(40.0 + rng.f64() * 40.0, Fault::RestartLeader),
                at(
                    60.0 + rng.f64() * 40.0,
                    Fault::PartitionFromWorkers(rng.usize(0..3), 25 * SECOND),
                ),
                at(90.0, Fault::RebootMachine),
                at(95.0, Fault::CrashController(rng.usize(0..3))),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.region_acquisitions > 3,
    },
    Day {
        name: "answers are held up for seconds while jobs are cancelled",
        faults: |rng| {
            vec![
                at(15.0, Fault::DelayWorkerResponses(100 * SECOND)),
                at(
                    30.0 + rng.f64() * 40.0,
                    Fault::cancel_running_and_pause(8, 8 * SECOND),
                ),
                at(60.0 + rng.f64() * 40.0, Fault::RestartLeader),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.late_responses > 10 && observations.running_tasks_cancelled > 0
        },
    },
    Day {
        name: "a zone with workers and a controller is cut off for longer than a lease",
        faults: |rng| {
            let start = 25.0 + rng.f64() * 60.0;
            vec![
                at(
                    start,
                    Fault::PartitionZone(rng.usize(0..3), rng.u64(20..70) * SECOND),
                ),
                at(start + 3.0, Fault::cancel_running(8)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.running_tasks_cancelled > 0 && observations.leases_expired_with_tasks > 0
        },
    },
];

/// Teams at their quota limits, jobs with tasks of uneven length, and more work than capacity.
const CAPACITY: &[Day] = &[
    Day {
        name: "a team at its limit, a new leader, machines that can't be asked",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 50.0;
            let duration = rng.u64(10..40) * SECOND;
            let mut faults: Vec<PlannedFault> = (0..4)
                .map(|_| at(start, Fault::PauseMachine(duration)))
                .collect();
            faults.push(at(start + 1.0, Fault::RestartLeader));
            faults.push(at(start + 1.5, Fault::CrashController(rng.usize(0..3))));
            faults.push(at(start + 3.0, Fault::cancel_running(6)));
            faults
        },
        workload: Workload::Overload,
        occurred: |observations| {
            observations.peak_quota_use > 0.99
                && observations.region_acquisitions > 3
                && observations.running_tasks_cancelled > 0
        },
    },
    Day {
        name: "jobs of two or three tasks end far apart across new leaders",
        faults: |rng| {
            let mut faults: Vec<PlannedFault> = (0..6)
                .map(|i| {
                    at(
                        20.0 + f64::from(i) * 17.0 + rng.f64() * 9.0,
                        Fault::RestartLeader,
                    )
                })
                .collect();
            faults.push(at(30.0, Fault::DuplicateHeartbeats(100 * SECOND)));
            faults.push(at(
                50.0 + rng.f64() * 50.0,
                Fault::CrashController(rng.usize(0..3)),
            ));
            faults
        },
        workload: Workload::UnevenTasks,
        occurred: |observations| {
            observations.results_across_elections > 2 && observations.leader_elections > 3
        },
    },
    Day {
        name: "more work than room, urgent and not",
        faults: |rng| {
            vec![
                at(30.0 + rng.f64() * 60.0, Fault::SlowStore(30 * SECOND)),
                at(
                    60.0 + rng.f64() * 60.0,
                    Fault::CrashController(rng.usize(0..3)),
                ),
            ]
        },
        workload: Workload::Overload,
        occurred: |observations| observations.capacity_shortages > 5,
    },
    Day {
        name: "controllers hand over and back, all end, and one returns within a second",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 30.0;
            let index = rng.usize(0..3);
            vec![
                at(
                    start,
                    Fault::IsolateController(index, 25 * SECOND, ConnectionFailure::Reset),
                ),
                at(start + 45.0, Fault::CrashController((index + 1) % 3)),
                at(start + 45.2, Fault::CrashController((index + 2) % 3)),
                at(start + 45.4, Fault::RestartController(index)),
                at(start + 46.5, Fault::RestartController(index)),
                at(start + 50.0, Fault::cancel_running(4)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.region_acquisitions > 5,
    },
];

/// Jobs with dependencies, and gangs that lose machines.
const PIPELINES: &[Day] = &[
    Day {
        name: "pipelines on a quiet day",
        faults: |_| Vec::new(),
        workload: Workload::Pipelines,
        occurred: |observations| {
            observations.dependent_starts > 10 && observations.cascaded_cancellations > 0
        },
    },
    Day {
        name: "pipelines: ends and cancellations across new leaders",
        faults: |rng| {
            let mut faults: Vec<PlannedFault> = (0..5)
                .map(|i| {
                    at(
                        25.0 + f64::from(i) * 23.0 + rng.f64() * 9.0,
                        Fault::RestartLeader,
                    )
                })
                .collect();
            faults.push(at(5.0, Fault::CancelOnCompletion(150 * SECOND)));
            faults.push(at(
                60.0 + rng.f64() * 50.0,
                Fault::CrashController(rng.usize(0..3)),
            ));
            faults
        },
        workload: Workload::Pipelines,
        occurred: |observations| {
            observations.dependent_starts > 5
                && observations.cascaded_cancellations > 0
                && observations.leader_elections > 3
        },
    },
    Day {
        name: "pipelines: the gap, and an outage",
        faults: |rng| store_refusal_then_outage(rng, 0),
        workload: Workload::Pipelines,
        occurred: |observations| {
            observations.dependent_starts > 5
                && observations.cascaded_cancellations > 0
                && observations.heartbeats_accepted_without_store > 0
        },
    },
    Day {
        name: "pipelines: late writes, a lone leader, all controllers away",
        faults: |rng| {
            vec![
                at(10.0, Fault::DelayCommits(100 * SECOND)),
                at(
                    30.0 + rng.f64() * 30.0,
                    Fault::IsolateController(rng.usize(0..3), 30 * SECOND, connection_failure(rng)),
                ),
                at(
                    95.0 + rng.f64() * 20.0,
                    Fault::AllControllersDown(20 * SECOND),
                ),
                // The limits are lowered during the takeovers that follow the restarts.
                at(116.0, Fault::LowerStoreLimits),
                at(40.0, Fault::DuplicateHeartbeats(80 * SECOND)),
            ]
        },
        workload: Workload::Pipelines,
        occurred: |observations| {
            observations.dependent_starts > 5 && observations.delayed_commits > 5
        },
    },
    Day {
        name: "gangs and arrays lose machines",
        faults: |rng| {
            let start = 25.0 + rng.f64() * 60.0;
            let mut faults: Vec<PlannedFault> = (0..5)
                .map(|i| at(start + f64::from(i) * 2.0, Fault::FailMachine))
                .collect();
            faults.push(at(start + 3.0, Fault::RestartLeader));
            faults.push(at(start + 30.0, Fault::RebootMachine));
            faults
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.leader_elections > 1,
    },
];
