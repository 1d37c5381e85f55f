//! The faults that can be planned for a day, their durations, and their injection.

mod injection;

use salttiller_records::units::{Micros, SECOND};

use super::controllers::ConnectionFailure;

/// Maximum delay of a commit that is executed late.
const MAX_COMMIT_DELAY: Micros = 12 * SECOND;
/// Time after an instantaneous fault during which a lack of progress is no violation.
const SETTLING_TIME: Micros = 5 * SECOND;

/// A fault of a day's plan and its start time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedFault {
    pub at: Micros,
    pub fault: Fault,
}

impl PlannedFault {
    /// Returns the time from which the invariants on progress apply if there are no other faults.
    pub(super) fn settled_at(&self) -> Micros {
        self.at + self.fault.duration() + self.fault.settling_time()
    }
}

/// Plans a fault; `seconds` is the time since the start of the day.
pub(super) fn at(seconds: f64, fault: Fault) -> PlannedFault {
    PlannedFault {
        at: (seconds * SECOND as f64) as Micros,
        fault,
    }
}

/// A fault. A `usize` is the index of a controller, a [`Micros`] the duration of the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// A controller's process is killed and restarted after 0.2 s or 5 s.
    CrashController(usize),
    /// A controller's process is killed and restarted within a second.
    RestartController(usize),
    /// The leader's process is killed and restarted within a second.
    RestartLeader,
    /// All controllers are down.
    AllControllersDown(Micros),
    /// A controller's process is paused while its clocks advance; events for it are held back until
    /// the pause ends.
    PauseController(usize, Micros),
    /// The leader's process is paused as in [`Fault::PauseController`].
    PauseLeader(Micros),

    /// A controller cannot reach the state service; half of its POST calls are executed when the
    /// partition ends.
    PartitionFromStore(usize, Micros),
    /// A controller and all workers cannot reach each other; half of their heartbeats arrive when
    /// the partition ends.
    PartitionFromWorkers(usize, Micros),
    /// A controller and its peers cannot reach each other; their messages are lost.
    PartitionFromPeers(usize, Micros),
    /// Users cannot reach a controller and send their requests to the others.
    PartitionFromUsers(usize, Micros),
    /// A controller can reach its workers, but neither the state service nor its peers.
    IsolateController(usize, Micros, ConnectionFailure),
    /// A controller is isolated as in [`Fault::IsolateController`], and the machines whose
    /// heartbeats go to that controller cannot reach any other.
    PartitionZone(usize, Micros),
    /// Half of the machines cannot reach any controller.
    PartitionWorkers(Micros),
    /// Duplicates of heartbeats arrive late, by up to three lease durations.
    DuplicateHeartbeats(Micros),
    /// Responses to workers are delayed by up to 6 s.
    DelayWorkerResponses(Micros),

    /// Copies of responses with commands reach the workers that have accepted them, within the time
    /// for which they accept responses.
    DuplicateWorkerResponses(Micros),

    /// The state service refuses all controllers.
    StoreOutage(Micros),
    /// The state service refuses the leader only.
    StoreRefusesLeader(Micros),
    /// The state service responds slowly.
    SlowStore(Micros),
    /// The state service refuses half of the requests with 429.
    ShedStoreRequests(Micros),
    /// A third of the commits get no response and are executed 2 to 12 s later.
    DelayCommits(Micros),
    /// From now on the state service accepts at most 4 changes per transaction and values of at
    /// most 2 KiB.
    LowerStoreLimits,
    /// The state service's records are backed up, for a restore by a later [`Fault::LoseRecords`].
    BackUpStore,
    /// The state service loses records.
    LoseRecords(RecordLoss),

    /// The cloud refuses all calls.
    CloudOutage(Micros),
    /// Rented machines take 60 to 139 s longer to boot, and a third of them never boots.
    SlowProvisioning(Micros),
    /// A machine fails permanently.
    FailMachine,
    /// A machine's worker and tasks are paused.
    PauseMachine(Micros),
    /// A machine reboots immediately, and its incarnations and heartbeats are numbered from the
    /// start again.
    RebootMachine,
    /// Responses do not reach a machine, although its heartbeats are received.
    LoseResponsesToMachine(Micros),

    /// Users cancel running jobs within 0.2 s.
    CancelRunningJobs(CancelRunning),
    /// Users cancel a job within 0.2 s after its last task is done.
    CancelOnCompletion(Micros),
    /// Users query the status of their jobs thirty times as often.
    QueryBurst(Micros),
}

/// How many running jobs are cancelled, and for how long their machines are paused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CancelRunning {
    /// Maximum number of jobs to cancel.
    pub jobs: usize,
    /// Duration for which the machines that run these jobs are paused.
    pub machine_pause: Micros,
}

/// The records that the state service loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordLoss {
    /// All records.
    All,
    /// All changes since the backup.
    SinceBackup,
    /// All changes since the backup, after which new changes raise the revision above the one
    /// before the loss.
    SinceBackupThenAdvanced,
    /// Every other job record, while the revision and all other records stay.
    SomeJobs,
}

impl Fault {
    /// Returns a fault that cancels up to `jobs` running jobs.
    pub(super) fn cancel_running(jobs: usize) -> Self {
        Self::cancel_running_and_pause(jobs, 0)
    }

    /// Returns a fault that cancels up to `jobs` running jobs and pauses the machines that run
    /// them.
    pub(super) fn cancel_running_and_pause(jobs: usize, machine_pause: Micros) -> Self {
        Fault::CancelRunningJobs(CancelRunning {
            jobs,
            machine_pause,
        })
    }

    /// Returns the duration of the fault; 0 if the fault is instantaneous.
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
            | Fault::DuplicateWorkerResponses(duration)
            | Fault::StoreOutage(duration)
            | Fault::StoreRefusesLeader(duration)
            | Fault::SlowStore(duration)
            | Fault::ShedStoreRequests(duration)
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

    /// Returns the time after the fault's end during which its effects excuse a lack of progress.
    fn settling_time(&self) -> Micros {
        match self {
            Fault::DelayCommits(_) => MAX_COMMIT_DELAY,
            Fault::CancelRunningJobs(_) => 0,
            instantaneous if instantaneous.duration() == 0 => SETTLING_TIME,
            _ => 0,
        }
    }
}
