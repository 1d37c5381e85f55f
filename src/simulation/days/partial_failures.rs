//! Days with partial failures: paused controllers, partial network partitions, machines that boot
//! late or never, and jobs that fail on every machine.

use super::{at, Day};
use crate::simulation::faults::Fault;
use crate::simulation::workload::Workload;
use salttiller_records::units::SECOND;

/// Returns all days with partial failures.
pub(crate) fn days() -> impl Iterator<Item = &'static Day> {
    [PARTITIONS, PAUSES, PROVISIONING_AND_JOBS, COPIES]
        .into_iter()
        .flatten()
}

/// A controller is partitioned from workers, peers, users or the state service, but not from all.
const PARTITIONS: &[Day] = &[
    Day {
        name: "a controller is cut off from its workers alone",
        faults: |rng| {
            let start = 40.0 + rng.f64() * 40.0;
            vec![at(
                start,
                Fault::PartitionFromWorkers(rng.usize(0..3), 60 * SECOND),
            )]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.regions_released > 0,
    },
    Day {
        name: "cut off from workers alone, and the state service goes out in the release",
        faults: |rng| {
            let start = 40.0 + rng.f64() * 20.0;
            let index = rng.usize(0..3);
            vec![
                at(start, Fault::PartitionFromWorkers(index, 60 * SECOND)),
                at(
                    start + 6.0 + rng.f64() * 8.0,
                    Fault::StoreOutage(rng.u64(5..50) * SECOND),
                ),
                at(start + 10.0, Fault::cancel_running(4)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.regions_released > 0 && observations.heartbeats_accepted_without_store > 0
        },
    },
    Day {
        name: "one controller after the other is cut off from workers",
        faults: |rng| {
            let start = 40.0 + rng.f64() * 10.0;
            let index = rng.usize(0..3);
            vec![
                at(start, Fault::PartitionFromWorkers(index, 30 * SECOND)),
                at(
                    start + 25.0,
                    Fault::PartitionFromWorkers((index + 1) % 3, 40 * SECOND),
                ),
                at(start + 30.0, Fault::RestartLeader),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.regions_released > 1,
    },
    Day {
        name: "partial cuts in pairs",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 40.0;
            let index = rng.usize(0..3);
            let duration = rng.u64(10..50) * SECOND;
            let partitions = [
                Fault::PartitionFromStore(index, duration),
                Fault::PartitionFromWorkers(index, duration),
                Fault::PartitionFromPeers(index, duration),
                Fault::PartitionFromUsers(index, duration),
            ];
            let first = rng.usize(0..4);
            let second = (first + rng.usize(1..4)) % 4;
            vec![
                at(start, partitions[first]),
                at(start + 1.0, partitions[second]),
                at(start + 4.0, Fault::cancel_running(6)),
                at(start + 70.0, partitions[rng.usize(0..4)]),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| observations.running_tasks_cancelled > 0,
    },
];

/// Paused controllers.
const PAUSES: &[Day] = &[
    Day {
        name: "controllers stand still for one to forty seconds",
        faults: |rng| {
            let mut faults = Vec::new();
            for (index, seconds) in [1, 8, 30, 40].into_iter().enumerate() {
                let start = 20.0 + 45.0 * index as f64 + rng.f64() * 20.0;
                faults.push(at(start, Fault::PauseLeader(seconds * SECOND)));
                faults.push(at(start + rng.f64(), Fault::cancel_running(4)));
                faults.push(at(
                    start + 2.0,
                    Fault::PauseController(rng.usize(0..3), rng.u64(1..20) * SECOND),
                ));
            }
            faults
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.events_delayed_by_pause > 100
                && observations.leader_elections > 1
                && observations.running_tasks_cancelled > 0
        },
    },
    Day {
        name: "the leader stands still while the state service refuses another",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 40.0;
            vec![
                at(start, Fault::PauseLeader(8 * SECOND)),
                at(start + 9.0, Fault::StoreRefusesLeader(14 * SECOND)),
                at(start + 10.0, Fault::cancel_running(8)),
                at(start + 11.0, Fault::PauseLeader(30 * SECOND)),
                at(start + 20.0, Fault::DelayCommits(20 * SECOND)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.events_delayed_by_pause > 50 && observations.leader_elections > 1
        },
    },
];

/// Bursts of status queries, degraded provisioning, and failing machines and jobs.
const PROVISIONING_AND_JOBS: &[Day] = &[
    Day {
        name: "questions thirty times as often, also in a takeover",
        faults: |rng| {
            let start = 30.0 + rng.f64() * 40.0;
            vec![
                at(start, Fault::QueryBurst(60 * SECOND)),
                at(start + 10.0, Fault::CrashController(rng.usize(0..3))),
                at(start + 20.0, Fault::RestartLeader),
                at(start + 25.0, Fault::cancel_running(4)),
                at(start + 30.0, Fault::StoreOutage(3 * SECOND)),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.burst_queries > 500 && observations.region_acquisitions > 3
        },
    },
    Day {
        name: "machines come up late or never, and the leader ends",
        faults: |rng| {
            vec![
                at(1.0, Fault::SlowProvisioning(rng.u64(40..120) * SECOND)),
                at(20.0 + rng.f64() * 60.0, Fault::RestartLeader),
                at(60.0 + rng.f64() * 40.0, Fault::FailMachine),
            ]
        },
        workload: Workload::Mixed,
        occurred: |observations| {
            observations.impaired_boots > 3 && observations.leader_elections > 1
        },
    },
    Day {
        name: "jobs fail wherever they run, teams at their limits, an owner ends",
        faults: |rng| {
            vec![
                at(
                    40.0 + rng.f64() * 60.0,
                    Fault::CrashController(rng.usize(0..3)),
                ),
                at(60.0 + rng.f64() * 40.0, Fault::RestartLeader),
                at(80.0, Fault::FailMachine),
            ]
        },
        workload: Workload::FailingJobs,
        occurred: |observations| {
            observations.task_failures > 10 && observations.region_acquisitions > 3
        },
    },
];

/// Answers that workers have carried out reach them once more.
const COPIES: &[Day] = &[
    Day {
        name: "answers arrive twice while jobs fail and are cancelled",
        faults: |rng| {
            vec![
                at(5.0, Fault::DuplicateWorkerResponses(200 * SECOND)),
                at(30.0 + rng.f64() * 30.0, Fault::cancel_running(4)),
                at(
                    40.0 + rng.f64() * 60.0,
                    Fault::RestartController(rng.usize(0..3)),
                ),
                at(60.0 + rng.f64() * 40.0, Fault::RebootMachine),
                at(80.0 + rng.f64() * 40.0, Fault::cancel_running(6)),
                at(90.0 + rng.f64() * 30.0, Fault::FailMachine),
                at(100.0 + rng.f64() * 20.0, Fault::RestartLeader),
            ]
        },
        workload: Workload::FailingJobs,
        occurred: |observations| observations.copied_starts > 20 && observations.task_failures > 10,
    },
    Day {
        name: "answers arrive twice while tasks are preempted",
        faults: |rng| {
            vec![
                at(5.0, Fault::DuplicateWorkerResponses(200 * SECOND)),
                at(
                    40.0 + rng.f64() * 60.0,
                    Fault::RestartController(rng.usize(0..3)),
                ),
                at(50.0 + rng.f64() * 50.0, Fault::cancel_running(6)),
                at(60.0 + rng.f64() * 40.0, Fault::RebootMachine),
            ]
        },
        workload: Workload::Overload,
        occurred: |observations| observations.copied_starts > 20,
    },
];
