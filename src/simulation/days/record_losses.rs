//! Days on which the state service loses records while workers run tasks.

use super::Plan;
use crate::simulation::faults::{Fault, PlannedFault, RecordLoss};
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{Micros, SECOND};

/// Time at which the state service's records are backed up.
pub(crate) const BACKUP_AT: Micros = 75 * SECOND;
/// Time at which records are lost.
pub(crate) const LOSS_AT: Micros = 90 * SECOND;

/// XORed with a day's seed to seed the generator that draws the day's faults.
const FAULTS_SEED: u64 = 0x105e;

/// A day on which the state service loses records at [`LOSS_AT`].
pub(crate) struct LossDay {
    pub name: &'static str,
    pub loss: RecordLoss,
    /// Draws the faults other than the loss.
    faults: fn(&mut fastrand::Rng) -> Vec<PlannedFault>,
}

impl LossDay {
    /// Draws the plan of this day for one seed.
    pub(crate) fn plan(&self, seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed ^ FAULTS_SEED);
        let mut faults = vec![
            PlannedFault {
                at: BACKUP_AT,
                fault: Fault::BackUpStore,
            },
            relative_to_loss(0.0, Fault::LoseRecords(self.loss)),
        ];
        faults.extend((self.faults)(&mut rng));
        Plan {
            faults,
            jobs: 40,
            end: 200 * SECOND,
            ..Plan::without_faults(seed)
        }
    }

    /// Whether all controllers restart before any of them can detect the loss, so that none of them
    /// has the lost records in memory.
    pub(crate) fn restarts_all_controllers_at_loss(&self) -> bool {
        self.name.contains("all restart")
    }

    /// Whether the cancellations confirmed since the backup are lost permanently, because neither
    /// the records nor any running controller has them. Such cancellations cannot be preserved, see
    /// docs/recovery.md.
    pub(crate) fn loses_cancellations(&self) -> bool {
        self.restarts_all_controllers_at_loss() || self.name.contains("all end later")
    }
}

/// Plans a fault `seconds` after the loss, or before it if `seconds` is negative.
fn relative_to_loss(seconds: f64, fault: Fault) -> PlannedFault {
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
    vec![relative_to_loss(seconds, Fault::AllControllersDown(SECOND))]
}

fn one_restarts(rng: &mut fastrand::Rng) -> Vec<PlannedFault> {
    let seconds = rng.f64() * 4.0 - 2.0;
    let index = rng.usize(0..CONTROLLERS);
    vec![relative_to_loss(seconds, Fault::RestartController(index))]
}

/// Returns all days with a loss of records.
pub(crate) fn days() -> impl Iterator<Item = &'static LossDay> {
    [RESTARTS_AT_LOSS, FAULTS_AFTER_LOSS, FAULTS_NEAR_LOSS]
        .into_iter()
        .flatten()
}

/// Returns the days on which the records are restored from the backup.
pub(crate) fn backup_restore_days() -> impl Iterator<Item = &'static LossDay> {
    days().filter(|day| day.loss == RecordLoss::SinceBackup)
}

/// Returns the day with this name.
pub(crate) fn named(name: &str) -> &'static LossDay {
    let found = days().find(|day| day.name == name);
    found.unwrap_or_else(|| panic!("no day is named {name}"))
}

/// Losses without other faults, or with controllers that restart at the time of the loss.
const RESTARTS_AT_LOSS: &[LossDay] = &[
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
        loss: RecordLoss::SinceBackupThenAdvanced,
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
        loss: RecordLoss::SinceBackupThenAdvanced,
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

/// Losses during an outage, before later restarts of controllers, or before a second loss.
const FAULTS_AFTER_LOSS: &[LossDay] = &[
    LossDay {
        name: "wiped, the leader ends later",
        loss: RecordLoss::All,
        faults: |rng| {
            vec![relative_to_loss(
                5.0 + rng.f64() * 20.0,
                Fault::RestartLeader,
            )]
        },
    },
    LossDay {
        name: "wiped, all end later",
        loss: RecordLoss::All,
        faults: |rng| {
            let seconds = 5.0 + rng.f64() * 20.0;
            let duration = rng.u64(1..5) * SECOND;
            vec![relative_to_loss(
                seconds,
                Fault::AllControllersDown(duration),
            )]
        },
    },
    LossDay {
        name: "wiped in an outage",
        loss: RecordLoss::All,
        faults: |rng| {
            let duration = rng.u64(2..10) * SECOND;
            vec![relative_to_loss(-1.0, Fault::StoreOutage(duration))]
        },
    },
    LossDay {
        name: "wiped twice",
        loss: RecordLoss::All,
        faults: |rng| {
            let again = Fault::LoseRecords(RecordLoss::All);
            vec![relative_to_loss(rng.f64() * 30.0, again)]
        },
    },
];

/// Losses close to machine faults, network faults or users' cancellations.
const FAULTS_NEAR_LOSS: &[LossDay] = &[
    LossDay {
        name: "wiped, machines hang and die",
        loss: RecordLoss::All,
        faults: |rng| {
            let paused_at = rng.f64() * 5.0;
            let pause = Fault::PauseMachine(rng.u64(5..40) * SECOND);
            vec![
                relative_to_loss(paused_at, pause),
                relative_to_loss(rng.f64() * 20.0, Fault::FailMachine),
            ]
        },
    },
    LossDay {
        name: "wiped, old reports come",
        loss: RecordLoss::All,
        faults: |_| {
            vec![relative_to_loss(
                -20.0,
                Fault::DuplicateHeartbeats(60 * SECOND),
            )]
        },
    },
    LossDay {
        name: "wiped right after cancellations",
        loss: RecordLoss::All,
        faults: |_| vec![relative_to_loss(-1.5, Fault::cancel_running(4))],
    },
    LossDay {
        name: "wiped, workers cut off from one for a while",
        loss: RecordLoss::All,
        faults: |rng| {
            let seconds = rng.f64() * 10.0;
            let index = rng.usize(0..CONTROLLERS);
            let partition = Fault::PartitionFromWorkers(index, 9 * SECOND);
            vec![relative_to_loss(seconds, partition)]
        },
    },
];
