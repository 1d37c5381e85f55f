//! Days whose faults are all drawn from the seed.

use super::Plan;
use crate::simulation::controllers::ConnectionFailure;
use crate::simulation::faults::{Fault, PlannedFault};
use crate::simulation::CONTROLLERS;
use salttiller_records::units::{MILLISECOND, SECOND};

use super::connection_failure;

/// XORed with the seed to seed the generator of the additional faults of [`with_more_faults`].
const MORE_FAULTS_SEED: u64 = 0x5eed;

/// Returns a day with crashed controllers, outages, partitions, and failed or paused machines.
pub(crate) fn with_faults(seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    for _ in 0..rng.u32(2..9) {
        let at = SECOND * rng.u64(10..150);
        let duration = SECOND * rng.u64(2..45);
        let index = rng.usize(0..CONTROLLERS);
        let fault = match rng.u32(0..9) {
            0 | 1 => Fault::CrashController(index),
            2 => Fault::StoreOutage(duration),
            3 => Fault::PartitionFromStore(index, duration),
            4 => Fault::PartitionFromWorkers(index, duration),
            5 => Fault::PartitionFromPeers(index, duration),
            6 => Fault::CloudOutage(duration),
            7 => Fault::FailMachine,
            _ => Fault::PauseMachine(duration),
        };
        faults.push(PlannedFault { at, fault });
        if rng.u32(0..6) == 0 {
            faults.extend((0..CONTROLLERS).map(|index| PlannedFault {
                at: at + SECOND,
                fault: Fault::CrashController(index),
            }));
        }
    }
    Plan {
        faults,
        ..Plan::without_faults(seed)
    }
}

/// Returns the day of [`with_faults`] with additional faults: lost and duplicated messages,
/// machine reboots, isolated controllers and fast controller restarts.
pub(crate) fn with_more_faults(seed: u64) -> Plan {
    let mut plan = with_faults(seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ MORE_FAULTS_SEED);
    for _ in 0..rng.u32(2..7) {
        let at = SECOND * rng.u64(10..150) + MILLISECOND * rng.u64(0..1000);
        let duration = SECOND * rng.u64(5..45);
        let index = rng.usize(0..CONTROLLERS);
        let fault = match rng.u32(0..8) {
            0 | 1 => Fault::LoseResponsesToMachine(duration),
            2 => Fault::RebootMachine,
            3 => Fault::DuplicateHeartbeats(duration),
            4 => Fault::IsolateController(index, duration, connection_failure(&mut rng)),
            5 => Fault::RestartController(index),
            _ => Fault::RestartLeader,
        };
        plan.faults.push(PlannedFault { at, fault });
        let is_restart = matches!(fault, Fault::RestartController(_) | Fault::RestartLeader);
        // The second restart occurs during the election that the first restart causes.
        if is_restart && rng.bool() {
            let at = at + rng.u64(300..2500) * MILLISECOND;
            plan.faults.push(PlannedFault { at, fault });
        }
    }
    plan
}

/// Returns the day of [`with_more_faults`] with two additional long faults: 100 s of duplicated
/// heartbeats and a controller that is isolated for 60 s.
pub(crate) fn with_long_isolation(seed: u64) -> Plan {
    let mut plan = with_more_faults(seed);
    let isolation = Fault::IsolateController(0, 60 * SECOND, ConnectionFailure::Reset);
    plan.faults.push(PlannedFault {
        at: 40 * SECOND,
        fault: Fault::DuplicateHeartbeats(100 * SECOND),
    });
    plan.faults.push(PlannedFault {
        at: 60 * SECOND,
        fault: isolation,
    });
    plan
}
