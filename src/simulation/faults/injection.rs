//! Injection of the faults of a day's plan into the simulated components.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::simulation::controllers::{ConnectionFailure, Partitions, SimulatedController};
use crate::simulation::events::Event;
use crate::simulation::users::UserAction;
use crate::simulation::workers::{task_id, Worker, ZonePartition};
use crate::simulation::world::World;
use crate::simulation::CONTROLLERS;

use super::{CancelRunning, Fault};

/// Maximum number of changes per transaction after [`Fault::LowerStoreLimits`].
const LOWERED_TRANSACTION_CHANGES: usize = 4;
/// Maximum length of a value after [`Fault::LowerStoreLimits`].
const LOWERED_VALUE_BYTES: usize = 2048;

/// Delays after which a crashed controller restarts; one of them is drawn.
const CRASH_RESTART_DELAYS: [Micros; 2] = [SECOND / 5, 5 * SECOND];

impl World {
    /// Injects a fault now.
    pub(crate) fn inject(&mut self, fault: Fault) {
        let now = self.now;
        let until = now + fault.duration();
        match fault {
            Fault::CrashController(index) => self.crash_controller(index),
            Fault::RestartController(index) => self.restart_controller(index),
            Fault::RestartLeader => self.restart_controller(self.leader()),
            Fault::AllControllersDown(_) => self.take_all_controllers_down(until),
            Fault::PauseController(index, _) => self.controllers[index].paused_until = until,
            Fault::PauseLeader(_) => self.leading_controller().paused_until = until,

            Fault::PartitionFromStore(index, _) => self.partitions(index).store_until = until,
            Fault::PartitionFromWorkers(index, _) => self.partitions(index).workers_until = until,
            Fault::PartitionFromPeers(index, _) => self.partitions(index).peers_until = until,
            Fault::PartitionFromUsers(index, _) => self.partitions(index).users_until = until,
            Fault::IsolateController(index, _, failure) => self.isolate(index, until, failure),
            Fault::PartitionZone(index, _) => self.partition_zone(index, until),
            Fault::PartitionWorkers(_) => self.partition_half_of_workers(until),
            Fault::DuplicateHeartbeats(_) => self.network.heartbeats_duplicated_until = until,
            Fault::DelayWorkerResponses(_) => self.network.worker_responses_delayed_until = until,

            Fault::DuplicateWorkerResponses(_) => {
                self.network.worker_responses_duplicated_until = until;
            }

            Fault::StoreOutage(_) => self.store.begin_outage(until),
            Fault::StoreRefusesLeader(_) => self.leading_controller().refused_until = until,
            Fault::SlowStore(_) => self.network.store_slow_until = until,
            Fault::ShedStoreRequests(_) => self.store.shed_until(until),
            Fault::DelayCommits(_) => self.network.commits_delayed_until = until,
            Fault::LowerStoreLimits => self.lower_store_limits(),
            Fault::BackUpStore => self.store.back_up(),
            Fault::LoseRecords(loss) => self.lose_records(loss),

            Fault::CloudOutage(_) => self.cloud.begin_outage(until),
            Fault::SlowProvisioning(_) => self.cloud.slow_provisioning(until),
            Fault::FailMachine => self.change_random_worker(Worker::fail),
            Fault::PauseMachine(_) => self.change_random_worker(|w| w.paused_until = until),
            Fault::RebootMachine => self.change_random_worker(|w| w.reboot(now)),
            Fault::LoseResponsesToMachine(_) => {
                self.change_random_worker(|w| w.responses_lost_until = until);
            }

            Fault::CancelRunningJobs(cancel) => self.cancel_running_jobs(cancel),
            Fault::CancelOnCompletion(_) => self.users.cancel_on_completion_until = until,
            Fault::QueryBurst(_) => self.users.query_burst_until = until,
        }
    }

    fn partitions(&mut self, index: usize) -> &mut Partitions {
        &mut self.controllers[index].partitions
    }

    fn leading_controller(&mut self) -> &mut SimulatedController {
        let leader = self.leader();
        &mut self.controllers[leader]
    }

    /// Applies a change to the worker of a random machine.
    fn change_random_worker(&mut self, change: impl FnOnce(&mut Worker)) {
        if self.workers.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.workers.len());
        if let Some(worker) = self.workers.values_mut().nth(index) {
            change(worker);
        }
    }

    fn lower_store_limits(&mut self) {
        self.store
            .set_limits(LOWERED_TRANSACTION_CHANGES, LOWERED_VALUE_BYTES);
    }

    fn take_all_controllers_down(&mut self, until: Micros) {
        for index in 0..CONTROLLERS {
            self.controllers[index].down_until = until;
            self.restart_controller(index);
        }
    }

    fn partition_half_of_workers(&mut self, until: Micros) {
        for worker in self.workers.values_mut() {
            if self.rng.bool() {
                worker.unreachable_until = until;
            }
        }
    }

    fn crash_controller(&mut self, index: usize) {
        if self.kill_controller(index) {
            let delay = CRASH_RESTART_DELAYS[self.rng.usize(0..CRASH_RESTART_DELAYS.len())];
            self.schedule(self.now + delay, Event::StartController(index));
        }
    }

    fn restart_controller(&mut self, index: usize) {
        if self.kill_controller(index) {
            let delay = self.rng.u64(50..900) * MILLISECOND;
            let earliest = self.now.max(self.controllers[index].down_until);
            self.schedule(earliest + delay, Event::StartController(index));
        }
    }

    /// Kills a controller's process. Returns false if the process was not running.
    fn kill_controller(&mut self, index: usize) -> bool {
        let Some(requesters) = self.controllers[index].kill() else {
            return false;
        };
        for requester in requesters {
            self.fail_request(requester);
        }
        true
    }

    fn isolate(&mut self, index: usize, until: Micros, failure: ConnectionFailure) {
        let partitions = self.partitions(index);
        partitions.store_until = until;
        partitions.store_failure = failure;
        partitions.peers_until = until;
    }

    fn partition_zone(&mut self, index: usize, until: Micros) {
        self.isolate(index, until, ConnectionFailure::Hang);
        let is_inside = |worker: &&mut Worker| worker.controller == index;
        for worker in self.workers.values_mut().filter(is_inside) {
            worker.zone_partition = ZonePartition {
                controller: index,
                until,
            };
        }
    }

    fn cancel_running_jobs(&mut self, cancel: CancelRunning) {
        let mut jobs: Vec<String> = Vec::new();
        for worker in self.workers.values_mut() {
            let mut any_cancelled = false;
            for (task, _) in worker.tasks.iter().filter(|(_, t)| !t.has_ended()) {
                let (job, _) = task_id(task);
                if jobs.len() < cancel.jobs && !jobs.iter().any(|known| known == job) {
                    jobs.push(job.to_owned());
                    any_cancelled = true;
                }
            }
            if any_cancelled {
                let resumed_at = self.now + cancel.machine_pause;
                worker.paused_until = worker.paused_until.max(resumed_at);
            }
        }
        for job in jobs {
            let at = self.now + self.rng.u64(0..200) * MILLISECOND;
            self.schedule_user(at, &job, UserAction::Cancel);
        }
    }
}
