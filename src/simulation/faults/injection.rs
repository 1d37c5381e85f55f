//! Brings about the faults of a day's plan.

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::simulation::controllers::ConnectionFailure;
use crate::simulation::events::Event;
use crate::simulation::users::UserAction;
use crate::simulation::workers::{task_id, Worker, ZonePartition};
use crate::simulation::world::World;
use crate::simulation::CONTROLLERS;

use super::{CancelRunning, Fault};

/// Limits of the state service after [`Fault::LowerStoreLimits`].
const LOWERED_TRANSACTION_CHANGES: usize = 4;
const LOWERED_VALUE_BYTES: usize = 2048;

/// After a crash a controller is started again at once or after a while.
const CRASH_RESTART_DELAYS: [Micros; 2] = [SECOND / 5, 5 * SECOND];

impl World {
    /// Brings about a fault now.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::CrashController(_)
            | Fault::RestartController(_)
            | Fault::RestartLeader
            | Fault::AllControllersDown(_)
            | Fault::PauseController(..)
            | Fault::PauseLeader(_) => self.inject_controller_fault(fault),
            Fault::StoreOutage(_)
            | Fault::StoreRefusesLeader(_)
            | Fault::SlowStore(_)
            | Fault::DelayCommits(_)
            | Fault::LowerStoreLimits
            | Fault::BackUpStore
            | Fault::LoseRecords(_) => self.inject_store_fault(fault),
            Fault::FailMachine
            | Fault::PauseMachine(_)
            | Fault::RebootMachine
            | Fault::LoseResponsesToMachine(_) => self.inject_machine_fault(fault),
            Fault::CloudOutage(duration) => self.cloud.begin_outage(self.now + duration),
            Fault::SlowProvisioning(duration) => self.cloud.slow_provisioning(self.now + duration),
            Fault::CancelRunningJobs(cancel) => self.cancel_running_jobs(cancel),
            Fault::CancelOnCompletion(duration) => {
                self.users.cancel_on_completion_until = self.now + duration;
            }
            Fault::QueryBurst(duration) => self.users.query_burst_until = self.now + duration,
            partition => self.inject_network_fault(partition),
        }
    }

    fn inject_controller_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CrashController(index) => self.crash_controller(index),
            Fault::RestartController(index) => self.restart_controller(index),
            Fault::RestartLeader => self.restart_controller(self.leader()),
            Fault::AllControllersDown(duration) => {
                for index in 0..CONTROLLERS {
                    self.controllers[index].down_until = self.now + duration;
                    self.restart_controller(index);
                }
            }
            Fault::PauseController(index, duration) => {
                self.controllers[index].paused_until = self.now + duration;
            }
            Fault::PauseLeader(duration) => {
                let leader = self.leader();
                self.controllers[leader].paused_until = self.now + duration;
            }
            _ => unreachable!("{fault:?} is no fault of a controller"),
        }
    }

    fn inject_network_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::PartitionFromStore(index, duration) => {
                self.controllers[index].partitions.store_until = now + duration;
            }
            Fault::PartitionFromWorkers(index, duration) => {
                self.controllers[index].partitions.workers_until = now + duration;
            }
            Fault::PartitionFromPeers(index, duration) => {
                self.controllers[index].partitions.peers_until = now + duration;
            }
            Fault::PartitionFromUsers(index, duration) => {
                self.controllers[index].partitions.users_until = now + duration;
            }
            Fault::IsolateController(index, duration, failure) => {
                self.isolate_controller(index, now + duration, failure);
            }
            Fault::PartitionZone(index, duration) => self.partition_zone(index, now + duration),
            Fault::PartitionWorkers(duration) => {
                for worker in self.workers.values_mut() {
                    if self.rng.bool() {
                        worker.unreachable_until = now + duration;
                    }
                }
            }
            Fault::DuplicateHeartbeats(duration) => {
                self.network.heartbeats_duplicated_until = now + duration;
            }
            Fault::DelayWorkerResponses(duration) => {
                self.network.worker_responses_delayed_until = now + duration;
            }
            _ => unreachable!("{fault:?} is no fault of the network"),
        }
    }

    fn inject_store_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::StoreOutage(duration) => self.store.begin_outage(now + duration),
            Fault::StoreRefusesLeader(duration) => {
                let leader = self.leader();
                self.controllers[leader].refused_until = now + duration;
            }
            Fault::SlowStore(duration) => self.network.store_slow_until = now + duration,
            Fault::DelayCommits(duration) => self.network.commits_delayed_until = now + duration,
            Fault::LowerStoreLimits => self
                .store
                .set_limits(LOWERED_TRANSACTION_CHANGES, LOWERED_VALUE_BYTES),
            Fault::BackUpStore => self.store.back_up(),
            Fault::LoseRecords(loss) => self.lose_records(loss),
            _ => unreachable!("{fault:?} is no fault of the state service"),
        }
    }

    /// Brings about a fault of one machine, any of those there are.
    fn inject_machine_fault(&mut self, fault: Fault) {
        let now = self.now;
        if self.workers.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.workers.len());
        let Some(worker) = self.workers.values_mut().nth(index) else {
            return;
        };
        match fault {
            Fault::FailMachine => worker.fail(),
            Fault::PauseMachine(duration) => worker.paused_until = now + duration,
            Fault::RebootMachine => worker.reboot(now),
            Fault::LoseResponsesToMachine(duration) => {
                worker.responses_lost_until = now + duration;
            }
            _ => unreachable!("{fault:?} is no fault of a machine"),
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

    /// Ends a controller's process; false if there was none.
    fn kill_controller(&mut self, index: usize) -> bool {
        let Some(requesters) = self.controllers[index].kill() else {
            return false;
        };
        for requester in requesters {
            self.fail_request(requester);
        }
        true
    }

    fn isolate_controller(&mut self, index: usize, until: Micros, failure: ConnectionFailure) {
        let partitions = &mut self.controllers[index].partitions;
        partitions.store_until = until;
        partitions.store_failure = failure;
        partitions.peers_until = until;
    }

    fn partition_zone(&mut self, index: usize, until: Micros) {
        self.isolate_controller(index, until, ConnectionFailure::Hang);
        let inside = |worker: &&mut Worker| worker.controller == index;
        for worker in self.workers.values_mut().filter(inside) {
            worker.zone_partition = ZonePartition {
                controller: index,
                until,
            };
        }
    }

    fn cancel_running_jobs(&mut self, cancel: CancelRunning) {
        let mut jobs: Vec<String> = Vec::new();
        for worker in self.workers.values_mut() {
            let mut cancels_any = false;
            for (task, _) in worker.tasks.iter().filter(|(_, t)| !t.has_ended()) {
                let (job, _) = task_id(task);
                if jobs.len() < cancel.jobs && !jobs.iter().any(|known| known == job) {
                    jobs.push(job.to_owned());
                    cancels_any = true;
                }
            }
            if cancels_any {
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
