//! Days on which the state service loses records while workers run.

use super::Plan;
use crate::simulation::faults::{Fault, PlannedFault, RecordLoss};
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{Micros, SECOND};

/// When the records are backed up.
pub(crate) const BACKUP_AT: Micros = 75 * SECOND;
/// When they are lost.
pub(crate) const LOSS_AT: Micros = 90 * SECOND;

/// Mixed into a seed for the draws of a day's faults.
const FAULTS_SEED: u64 = 0x105e;

/// A day on which records are lost at [`LOSS_AT`].
pub(crate) struct LossDay {
    pub name: &'static str,
    pub loss: RecordLoss,
    /// Draws the other faults.
    faults: fn(&mut fastrand::Rng) -> Vec<PlannedFault>,
}

impl LossDay {
    /// The day of one seed.
    pub(crate) fn plan(&self, seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed ^ FAULTS_SEED);
        let mut faults = vec![
            PlannedFault {
                at: BACKUP_AT,
                fault: Fault::BackUpStore,
            },
            from_loss(0.0, Fault::LoseRecords(self.loss)),
        ];
        faults.extend((self.faults)(&mut rng));
        Plan {
            faults,
            jobs: 40,
            end: 200 * SECOND,
            ..Plan::quiet(seed)
        }
    }

    /// Whether no controller remembers what was lost before the loss can be noticed.
    pub(crate) fn forgets_everything(&self) -> bool {
        self.name.contains("all restart")
    }

    /// Whether cancellations since the backup are known to nobody any more: neither on record
    /// nor to a controller that was there. They can't be kept, see docs/recovery.md.
    pub(crate) fn forgets_cancellations(&self) -> bool {
        self.forgets_everything() || self.name.contains("all end later")
    }
}

/// Plans a fault at a time in seconds before or after the loss.
fn from_loss(seconds: f64, fault: Fault) -> PlannedFault {
    PlannedFault {
        at: (LOSS_AT as f64 + seconds * SECOND as f64) as Micros,
        fault,
    }
}

fn no_other_faults(_: &mut fastrand::Rng) -> Vec<PlannedFault> {
    Vec::new()
}

fn all_restart(rng: &mut fastrand::Rng) -> Vec<PlannedFault> {
    let seconds = rng.f64() * 0.2 - 0.1;
    vec![from_loss(seconds, Fault::AllControllersDown(SECOND))]
}

fn one_restarts(rng: &mut fastrand::Rng) -> Vec<PlannedFault> {
    let seconds = rng.f64() * 4.0 - 2.0;
    let index = rng.usize(0..CONTROLLERS);
    vec![from_loss(seconds, Fault::RestartController(index))]
}

/// All days of lost records.
pub(crate) fn days() -> impl Iterator<Item = &'static LossDay> {
    [AT_THE_LOSS, AFTER_THE_LOSS, BESIDE_THE_LOSS]
        .into_iter()
        .flatten()
}

/// The days on which the records are set back to the backup.
pub(crate) fn set_back_days() -> impl Iterator<Item = &'static LossDay> {
    days().filter(|day| day.loss == RecordLoss::SinceBackup)
}

/// The day of that name.
pub(crate) fn named(name: &str) -> &'static LossDay {
    let found = days().find(|day| day.name == name);
    found.unwrap_or_else(|| panic!("no day is named {name}"))
}

/// No other fault, or controllers that restart at the same moment.
const AT_THE_LOSS: &[LossDay] = &[
    LossDay {
        name: "wiped",
        loss: RecordLoss::All,
        faults: no_other_faults,
    },
    LossDay {
        name: "set back",
        loss: RecordLoss::SinceBackup,
        faults: no_other_faults,
    },
    LossDay {
        name: "set back, grown past",
        loss: RecordLoss::SinceBackupAndGrown,
        faults: no_other_faults,
    },
    LossDay {
        name: "wiped, one restarts",
        loss: RecordLoss::All,
        faults: one_restarts,
    },
    LossDay {
        name: "set back, one restarts",
        loss: RecordLoss::SinceBackup,
        faults: one_restarts,
    },
    LossDay {
        name: "set back, grown past, one restarts",
        loss: RecordLoss::SinceBackupAndGrown,
        faults: one_restarts,
    },
    LossDay {
        name: "wiped, all restart",
        loss: RecordLoss::All,
        faults: all_restart,
    },
    LossDay {
        name: "set back, all restart",
        loss: RecordLoss::SinceBackup,
        faults: all_restart,
    },
    LossDay {
        name: "jobs missing, all restart",
        loss: RecordLoss::SomeJobs,
        faults: all_restart,
    },
];

/// Controllers restart later, or records are lost once more.
const AFTER_THE_LOSS: &[LossDay] = &[
    LossDay {
        name: "wiped, the leader ends later",
        loss: RecordLoss::All,
        faults: |rng| vec![from_loss(5.0 + rng.f64() * 20.0, Fault::RestartLeader)],
    },
    LossDay {
        name: "wiped, all end later",
        loss: RecordLoss::All,
        faults: |rng| {
            let seconds = 5.0 + rng.f64() * 20.0;
            let duration = rng.u64(1..5) * SECOND;
            vec![from_loss(seconds, Fault::AllControllersDown(duration))]
        },
    },
    LossDay {
        name: "wiped in an outage",
        loss: RecordLoss::All,
        faults: |rng| {
            let duration = rng.u64(2..10) * SECOND;
            vec![from_loss(-1.0, Fault::StoreOutage(duration))]
        },
    },
    LossDay {
        name: "wiped twice",
        loss: RecordLoss::All,
        faults: |rng| {
            let again = Fault::LoseRecords(RecordLoss::All);
            vec![from_loss(rng.f64() * 30.0, again)]
        },
    },
];

/// Faults of machines, of the network and of users near the loss.
const BESIDE_THE_LOSS: &[LossDay] = &[
    LossDay {
        name: "wiped, machines hang and die",
        loss: RecordLoss::All,
        faults: |rng| {
            let paused_at = rng.f64() * 5.0;
            let pause = Fault::PauseMachine(rng.u64(5..40) * SECOND);
            vec![
                from_loss(paused_at, pause),
                from_loss(rng.f64() * 20.0, Fault::FailMachine),
            ]
        },
    },
    LossDay {
        name: "wiped, old reports come",
        loss: RecordLoss::All,
        faults: |_| vec![from_loss(-20.0, Fault::DuplicateHeartbeats(60 * SECOND))],
    },
    LossDay {
        name: "wiped right after cancellations",
        loss: RecordLoss::All,
        faults: |_| vec![from_loss(-1.5, Fault::cancel_running(4))],
    },
    LossDay {
        name: "wiped, workers cut off from one for a while",
        loss: RecordLoss::All,
        faults: |rng| {
            let seconds = rng.f64() * 10.0;
            let index = rng.usize(0..CONTROLLERS);
            let partition = Fault::PartitionFromWorkers(index, 9 * SECOND);
            vec![from_loss(seconds, partition)]
        },
    },
];
