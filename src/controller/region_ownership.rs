//! Ownership state of regions: which regions this controller owns, acquires or releases.
//!
//! | state | represented by | left when |
//! | --- | --- | --- |
//! | unowned | no entry; `unowned_since` while no owner is on record | the home, or after the grace period any controller, acquires the region |
//! | acquiring | [`Acquisition::Committing`] | the commit ends |
//! | catching up | [`Acquisition::CatchingUp`] | the replica has reached the commit's revision |
//! | owned | an entry of `owned` | the lease is lost, another owner is on record, or the region is released |
//! | releasing | [`Acquisition::Committing`], no longer in `owned` | the commit ends; after a failure the region is acquired again under a new token |
//!
//! Fencing does not depend on this state: each transaction is conditional on the version of the
//! region's record, and the token issued with it is above all earlier ones. The transitions are
//! in `regions.rs`.

use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::units::{Micros, SECOND};

use crate::region::Region;
use crate::state_store::CommitOutcome;

/// Maximum time between the detection of a lost owner lease and of lost records for which both are
/// considered the same loss.
const LEASE_LOSS_WINDOW: Micros = SECOND;

/// State of a transaction on an ownership record (a region's or the leader's) or a hold's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acquisition {
    /// The commit is in progress.
    Committing,
    /// The commit has ended; the replica must reach this revision before the next decision.
    CatchingUp(u64),
}

impl Acquisition {
    /// Returns the state after the commit ended with this outcome.
    pub(super) fn after(outcome: &CommitOutcome) -> Self {
        match outcome {
            CommitOutcome::Conflict(revision) => Acquisition::CatchingUp(*revision),
            _ => Acquisition::CatchingUp(0),
        }
    }

    /// Whether the transaction is still in progress when the replica has reached `revision`.
    pub(super) fn is_pending(self, revision: u64) -> bool {
        match self {
            Acquisition::Committing => true,
            Acquisition::CatchingUp(awaited) => revision < awaited,
        }
    }
}

/// Regions that were owned when the loss of the owner lease was detected.
#[derive(Debug)]
struct LostWithLease {
    noticed_at: Micros,
    regions: BTreeSet<String>,
}

/// Ownership state of all regions.
#[derive(Debug, Default)]
pub(super) struct RegionOwnership {
    owned: BTreeMap<String, Region>,
    acquisitions: BTreeMap<String, Acquisition>,
    /// Time at which each region was first seen without an owner on record.
    unowned_since: BTreeMap<String, Micros>,
    /// Regions to acquire again under a new token.
    to_reacquire: BTreeSet<String>,
    lost_with_lease: Option<LostWithLease>,
}

impl RegionOwnership {
    /// Whether this controller owns a region.
    pub(super) fn owns(&self, region: &str) -> bool {
        self.owned.contains_key(region)
    }

    /// Returns an owned region.
    pub(super) fn get(&self, region: &str) -> Option<&Region> {
        self.owned.get(region)
    }

    /// Returns an owned region.
    pub(super) fn get_mut(&mut self, region: &str) -> Option<&mut Region> {
        self.owned.get_mut(region)
    }

    /// Returns the owned regions, sorted by name.
    pub(super) fn regions(&self) -> impl Iterator<Item = &Region> {
        self.owned.values()
    }

    /// Returns the owned regions, sorted by name.
    pub(super) fn regions_mut(&mut self) -> impl Iterator<Item = &mut Region> {
        self.owned.values_mut()
    }

    /// Whether a transaction on a region's record is in progress at this replica revision.
    pub(super) fn is_pending(&self, region: &str, revision: u64) -> bool {
        let acquisition = self.acquisitions.get(region);
        acquisition.is_some_and(|a| a.is_pending(revision))
    }

    /// Whether a region must be acquired under a new token although this controller owns it on
    /// record.
    pub(super) fn needs_reacquisition(&self, region: &str) -> bool {
        self.to_reacquire.contains(region)
    }

    /// Schedules the acquisition of a region under a new token.
    pub(super) fn request_reacquisition(&mut self, region: &str) {
        self.to_reacquire.insert(region.to_owned());
    }

    /// Returns the time since which a region has had no owner on record, which is `now` at the
    /// first call.
    pub(super) fn unowned_since(&mut self, region: &str, now: Micros) -> Micros {
        *self.unowned_since.entry(region.to_owned()).or_insert(now)
    }

    /// Resets the unowned time of a region that has an owner on record.
    pub(super) fn on_owner_recorded(&mut self, region: &str) {
        self.unowned_since.remove(region);
    }

    /// Marks a region as being acquired, when its acquisition is sent to the state service.
    pub(super) fn on_acquisition_sent(&mut self, region: &str) {
        self.to_reacquire.remove(region);
        self.owned.remove(region);
        self.acquisitions
            .insert(region.to_owned(), Acquisition::Committing);
    }

    /// Handles the end of an acquisition's commit.
    pub(super) fn on_acquisition_committed(&mut self, region: String, outcome: &CommitOutcome) {
        self.acquisitions
            .insert(region, Acquisition::after(outcome));
    }

    /// Adds a region whose acquisition is on record to the owned regions.
    pub(super) fn on_acquired(&mut self, region: Region) {
        self.acquisitions.remove(&region.name);
        self.owned.insert(region.name.clone(), region);
    }

    /// Marks a region as being released, when its release is sent to the state service. From then
    /// on, no command is sent for the region, whatever the outcome of the commit.
    pub(super) fn on_release_sent(&mut self, region: &str) {
        self.owned.remove(region);
        self.acquisitions
            .insert(region.to_owned(), Acquisition::Committing);
    }

    /// Handles the end of a release's commit.
    pub(super) fn on_release_committed(&mut self, region: String, outcome: &CommitOutcome) {
        if !outcome.is_committed() {
            // If the region is still owned on record, it must be owned under a new token.
            self.to_reacquire.insert(region.clone());
        }
        self.acquisitions
            .insert(region, Acquisition::after(outcome));
    }

    /// Drops a region that this controller no longer owns on record.
    pub(super) fn on_lost(&mut self, region: &str) {
        self.owned.remove(region);
    }

    /// Handles the loss of the owner lease, which ends the ownership of all regions.
    pub(super) fn on_lease_lost(&mut self, now: Micros) {
        self.lost_with_lease = Some(LostWithLease {
            noticed_at: now,
            regions: self.owned.keys().cloned().collect(),
        });
        for (name, region) in std::mem::take(&mut self.owned) {
            log::info!(
                "region={name} token={}: ownership lost: \
                 the owner lease expired or its record is gone",
                region.token
            );
        }
    }

    /// Returns the names of the regions that were owned until records were lost. The lost records
    /// may include the owner lease, whose loss may be detected first; regions lost with it shortly
    /// before are included.
    pub(super) fn take_owned_before_loss(&mut self, now: Micros) -> BTreeSet<String> {
        let mut regions: BTreeSet<String> = self.owned.keys().cloned().collect();
        if let Some(lost) = self.lost_with_lease.take() {
            if now < lost.noticed_at + LEASE_LOSS_WINDOW {
                regions.extend(lost.regions);
            }
        }
        regions
    }

    /// Handles the start of a data-loss hold: drops all regions and acquisitions. The hold itself
    /// tracks the regions that are owned during the hold.
    pub(super) fn on_hold_began(&mut self) {
        self.owned.clear();
        self.acquisitions.clear();
        self.to_reacquire.clear();
    }

    /// Handles the end of a data-loss hold. Regions that were owned during the hold are owned on
    /// record and are reconciled as after a takeover.
    pub(super) fn on_hold_ended(&mut self) {
        self.acquisitions.clear();
    }
}

#[cfg(test)]
mod tests;
