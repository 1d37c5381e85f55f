//! Days: what a simulated day is made of, and the tables of days that tests play.

pub(super) mod compound_failures;
pub(super) mod partial_failures;
pub(super) mod record_losses;
pub(super) mod seeded;

use salttiller_records::units::{Micros, SECOND};

use super::controllers::ConnectionFailure;
use super::faults::PlannedFault;
use super::observations::Observations;
use super::workload::Workload;

pub(super) use super::faults::at;

/// Mixed into a seed for the draws of a day's faults.
const FAULTS_SEED: u64 = 0x3ee7;

/// Everything that is set about a day before it begins.
pub(super) struct Plan {
    pub seed: u64,
    pub faults: Vec<PlannedFault>,
    /// How many jobs are drawn.
    pub jobs: u32,
    /// Jobs are submitted in the first half of this time.
    pub end: Micros,
    pub workload: Workload,
}

impl Plan {
    /// A day of four minutes with 24 jobs of all kinds and no faults; set what differs.
    pub(super) fn quiet(seed: u64) -> Self {
        Plan {
            seed,
            faults: Vec::new(),
            jobs: 24,
            end: 240 * SECOND,
            workload: Workload::Mixed,
        }
    }
}

/// A day of a table. A day that can't bring about its faults proves nothing, so each says how
/// it is known that it did.
pub(super) struct Day {
    pub name: &'static str,
    /// Draws the faults.
    pub faults: fn(&mut fastrand::Rng) -> Vec<PlannedFault>,
    pub workload: Workload,
    /// Whether what the day is for has occurred.
    pub occurred: fn(&Observations) -> bool,
}

impl Day {
    /// The day of one seed.
    pub(super) fn plan(&self, seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed ^ FAULTS_SEED);
        let jobs = match self.workload {
            Workload::Overload => 60,
            Workload::Pipelines => 32,
            Workload::Mixed | Workload::UnevenTasks | Workload::FailingJobs => 24,
        };
        Plan {
            faults: (self.faults)(&mut rng),
            jobs,
            workload: self.workload,
            ..Plan::quiet(seed)
        }
    }
}

/// The days of both tables of failures.
pub(super) fn all() -> impl Iterator<Item = &'static Day> {
    compound_failures::days().chain(partial_failures::days())
}

/// The day of that name.
pub(super) fn named(name: &str) -> &'static Day {
    let found = all().find(|day| day.name == name);
    found.unwrap_or_else(|| panic!("no day is named {name}"))
}

fn connection_failure(rng: &mut fastrand::Rng) -> ConnectionFailure {
    match rng.bool() {
        true => ConnectionFailure::Reset,
        false => ConnectionFailure::Hang,
    }
}
