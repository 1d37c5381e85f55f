//! Definitions of simulated days, and the tables of days that tests run.

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

/// XORed with a day's seed to seed the generator that draws the day's faults.
const FAULTS_SEED: u64 = 0x3ee7;

/// Parameters of a day, fixed before the day begins.
pub(super) struct Plan {
    pub seed: u64,
    pub faults: Vec<PlannedFault>,
    /// Number of jobs drawn.
    pub jobs: u32,
    /// Nominal end of the day; jobs are submitted in the first half.
    pub end: Micros,
    pub workload: Workload,
}

impl Plan {
    /// Returns a day of four minutes with 24 jobs of all kinds and no faults, as the base for other
    /// plans.
    pub(super) fn without_faults(seed: u64) -> Self {
        Plan {
            seed,
            faults: Vec::new(),
            jobs: 24,
            end: 240 * SECOND,
            workload: Workload::Mixed,
        }
    }
}

/// A day of a table. A day whose intended situation never occurs proves nothing, so each day has a
/// condition that verifies the occurrence.
pub(super) struct Day {
    pub name: &'static str,
    /// Draws the faults.
    pub faults: fn(&mut fastrand::Rng) -> Vec<PlannedFault>,
    pub workload: Workload,
    /// Whether the situation that the day tests has occurred.
    pub occurred: fn(&Observations) -> bool,
}

impl Day {
    /// Returns the day's plan for a seed.
    pub(super) fn plan(&self, seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed ^ FAULTS_SEED);
        let jobs = match self.workload {
            Workload::Overload => 60,
            Workload::Pipelines => 32,
            Workload::Mixed
            | Workload::UnevenTasks
            | Workload::StaggeredTasks
            | Workload::FailingJobs => 24,
        };
        Plan {
            faults: (self.faults)(&mut rng),
            jobs,
            workload: self.workload,
            ..Plan::without_faults(seed)
        }
    }
}

/// Returns the days with compound failures and those with partial failures.
pub(super) fn all() -> impl Iterator<Item = &'static Day> {
    compound_failures::days().chain(partial_failures::days())
}

/// Returns the day with a given name. Panics if there is none.
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
