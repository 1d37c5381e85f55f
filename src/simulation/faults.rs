//! The faults that a day may hold: which there are, how long they last, and how each is
//! brought about.

mod injection;

use salttiller_records::units::{Micros, SECOND};

use super::controllers::ConnectionFailure;

/// Delayed commits are executed within this time.
const LONGEST_COMMIT_DELAY: Micros = 12 * SECOND;
/// How long a fault that happens at one moment excuses a lack of progress.
const SETTLING_TIME: Micros = 5 * SECOND;

/// A fault of a day's plan and when it happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedFault {
    pub at: Micros,
    pub fault: Fault,
}

impl PlannedFault {
    /// From then on invariants about progress hold, if there are no other faults.
    pub(super) fn settled_at(&self) -> Micros {
        self.at + self.fault.duration() + self.fault.settling_time()
    }
}

/// Plans a fault at a time in seconds since the day began.
pub(super) fn at(seconds: f64, fault: Fault) -> PlannedFault {
    PlannedFault {
        at: (seconds * SECOND as f64) as Micros,
        fault,
    }
}

/// A fault; a `usize` is the index of a controller, a time how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// A controller's process ends, and starts again after 0.2 s or 5 s.
    CrashController(usize),
    /// A controller's process ends, and starts again within a second.
    RestartController(usize),
    /// The same for the leader.
    RestartLeader,
    /// No controller runs for so long.
    AllControllersDown(Micros),
    /// A controller's process is paused while its clocks go on; all that comes to it waits.
    PauseController(usize, Micros),
    /// The same for the leader.
    PauseLeader(Micros),

    /// A controller can't reach the state service; half of what it had sent is executed when
    /// the partition ends.
    PartitionFromStore(usize, Micros),
    /// A controller and all workers can't reach each other; half of their heartbeats arrive when
    /// the partition ends.
    PartitionFromWorkers(usize, Micros),
    /// A controller and its peers can't reach each other; their messages are lost.
    PartitionFromPeers(usize, Micros),
    /// Users can't reach a controller and turn to the others.
    PartitionFromUsers(usize, Micros),
    /// A controller can reach neither the state service nor its peers, but its workers.
    IsolateController(usize, Micros, ConnectionFailure),
    /// The same, and the machines that report to it reach no other controller.
    PartitionZone(usize, Micros),
    /// Half of the machines reach no controller.
    PartitionWorkers(Micros),
    /// Duplicates of heartbeats arrive late, up to three leases.
    DuplicateHeartbeats(Micros),
    /// Responses to workers are delayed by up to 6 s.
    DelayWorkerResponses(Micros),

    /// The state service refuses all controllers.
    StoreOutage(Micros),
    /// The state service refuses the leader alone.
    StoreRefusesLeader(Micros),
    /// The state service answers slowly.
    SlowStore(Micros),
    /// A third of the commits get no answer and are executed 2 to 12 s later.
    DelayCommits(Micros),
    /// The state service takes only 4 changes a transaction and values of 2 KiB from now on.
    LowerStoreLimits,
    /// The state service's records are backed up, to be restored later.
    BackUpStore,
    /// The state service loses records.
    LoseRecords(RecordLoss),

    /// The cloud refuses all calls.
    CloudOutage(Micros),
    /// Machines that are rented come up ten times as late, every third never.
    SlowProvisioning(Micros),
    /// A machine fails for good.
    FailMachine,
    /// A machine's worker and tasks stand still.
    PauseMachine(Micros),
    /// A machine reboots at once, with its numbering started afresh.
    RebootMachine,
    /// Responses don't arrive at a machine, though its heartbeats are received.
    LoseResponsesToMachine(Micros),

    /// Users cancel jobs that run, within a fifth of a second.
    CancelRunningJobs(CancelRunning),
    /// Jobs are cancelled as their last task is done.
    CancelOnCompletion(Micros),
    /// Users query thirty times as often.
    QueryBurst(Micros),
}

/// Which running jobs are cancelled, and what else befalls their machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CancelRunning {
    /// Most jobs to cancel.
    pub jobs: usize,
    /// The machines on which they run are paused for so long.
    pub machine_pause: Micros,
}

/// What the state service loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordLoss {
    /// Everything.
    All,
    /// What came after the backup.
    SinceBackup,
    /// The same, and its revision is past the one that was lost.
    SinceBackupAndGrown,
    /// Every other job, with nothing to show it.
    SomeJobs,
}

impl Fault {
    /// Cancels up to `jobs` running jobs.
    pub(super) fn cancel_running(jobs: usize) -> Self {
        Self::cancel_running_and_pause(jobs, 0)
    }

    /// Cancels up to `jobs` running jobs, and pauses the machines on which they run.
    pub(super) fn cancel_running_and_pause(jobs: usize, machine_pause: Micros) -> Self {
        Fault::CancelRunningJobs(CancelRunning {
            jobs,
            machine_pause,
        })
    }

    /// How long the fault lasts; 0 if it happens at one moment.
    pub(super) fn duration(&self) -> Micros {
        match self {
            Fault::AllControllersDown(duration)
            | Fault::PauseController(_, duration)
            | Fault::PauseLeader(duration)
            | Fault::PartitionFromStore(_, duration)
            | Fault::PartitionFromWorkers(_, duration)
            | Fault::PartitionFromPeers(_, duration)
            | Fault::PartitionFromUsers(_, duration)
            | Fault::IsolateController(_, duration, _)
            | Fault::PartitionZone(_, duration)
            | Fault::PartitionWorkers(duration)
            | Fault::DuplicateHeartbeats(duration)
            | Fault::DelayWorkerResponses(duration)
            | Fault::StoreOutage(duration)
            | Fault::StoreRefusesLeader(duration)
            | Fault::SlowStore(duration)
            | Fault::DelayCommits(duration)
            | Fault::CloudOutage(duration)
            | Fault::SlowProvisioning(duration)
            | Fault::PauseMachine(duration)
            | Fault::LoseResponsesToMachine(duration)
            | Fault::CancelOnCompletion(duration)
            | Fault::QueryBurst(duration) => *duration,
            Fault::CancelRunningJobs(cancel) => cancel.machine_pause,
            Fault::CrashController(_)
            | Fault::RestartController(_)
            | Fault::RestartLeader
            | Fault::LowerStoreLimits
            | Fault::BackUpStore
            | Fault::LoseRecords(_)
            | Fault::FailMachine
            | Fault::RebootMachine => 0,
        }
    }

    /// How long after its end the fault still has effects that excuse a lack of progress.
    fn settling_time(&self) -> Micros {
        match self {
            Fault::DelayCommits(_) => LONGEST_COMMIT_DELAY,
            Fault::CancelRunningJobs(_) => 0,
            momentary if momentary.duration() == 0 => SETTLING_TIME,
            _ => 0,
        }
    }
}
