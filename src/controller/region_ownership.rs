//! State of the ownership of regions: which are owned, which are being acquired.
//!
//! | state | represented by | left when |
//! | --- | --- | --- |
//! | unowned | no entry; `unowned_since` while no owner is on record | the home, or after the grace period any controller, acquires it |
//! | acquiring | [`Acquisition::Committing`] | the commit ends |
//! | catching up | [`Acquisition::CatchingUp`] | the replica has reached the commit's revision |
//! | owned | an entry of `owned` | the lease is lost, another owner is on record, or it is released |
//! | releasing | [`Acquisition::Committing`], no longer in `owned` | the commit ends; after a failure it is acquired again under a new token |
//!
//! Fencing does not depend on this state: each transaction names the version of the region's
//! record, and the token drawn with it is above all earlier ones. `regions.rs` drives it.

use std::collections::{BTreeMap, BTreeSet};

use salttiller_records::units::{Micros, SECOND};

use crate::region::Region;
use crate::state_store::CommitOutcome;

/// Regions whose lease was found lost so short a time before records were lost went with them.
const LEASE_LOST_WITH_RECORDS: Micros = SECOND;

/// State of a transaction on an ownership record (a region's, the leader's, a hold's).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acquisition {
    /// The commit is in progress.
    Committing,
    /// Nothing is concluded before the replica has reached this revision.
    CatchingUp(u64),
}

impl Acquisition {
    /// The state after the commit ended with this outcome.
    pub(super) fn after(outcome: &CommitOutcome) -> Self {
        match outcome {
            CommitOutcome::Conflict(revision) => Acquisition::CatchingUp(*revision),
            _ => Acquisition::CatchingUp(0),
        }
    }

    /// Whether it is still in progress, now that the replica has reached `revision`.
    pub(super) fn is_pending(self, revision: u64) -> bool {
        match self {
            Acquisition::Committing => true,
            Acquisition::CatchingUp(awaited) => revision < awaited,
        }
    }
}

/// Regions that were owned until the owner lease was found lost.
#[derive(Debug)]
struct LostWithLease {
    noticed_at: Micros,
    regions: BTreeSet<String>,
}

/// The regions that this controller owns or acquires.
#[derive(Debug, Default)]
pub(super) struct RegionOwnership {
    owned: BTreeMap<String, Region>,
    acquisitions: BTreeMap<String, Acquisition>,
    /// Since when regions have been seen without an owner on record.
    unowned_since: BTreeMap<String, Micros>,
    /// Regions that are to be acquired again under a new token.
    to_reacquire: BTreeSet<String>,
    lost_with_lease: Option<LostWithLease>,
}

impl RegionOwnership {
    /// Whether a region is owned.
    pub(super) fn owns(&self, region: &str) -> bool {
        self.owned.contains_key(region)
    }

    /// An owned region.
    pub(super) fn get(&self, region: &str) -> Option<&Region> {
        self.owned.get(region)
    }

    /// An owned region.
    pub(super) fn get_mut(&mut self, region: &str) -> Option<&mut Region> {
        self.owned.get_mut(region)
    }

    /// The owned regions by name.
    pub(super) fn regions(&self) -> impl Iterator<Item = &Region> {
        self.owned.values()
    }

    /// The owned regions by name.
    pub(super) fn regions_mut(&mut self) -> impl Iterator<Item = &mut Region> {
        self.owned.values_mut()
    }

    /// Whether a transaction on a region's record is in progress, at this replica revision.
    pub(super) fn is_pending(&self, region: &str, revision: u64) -> bool {
        let acquisition = self.acquisitions.get(region);
        acquisition.is_some_and(|a| a.is_pending(revision))
    }

    /// Whether a region is to be acquired under a new token although it is owned on record.
    pub(super) fn is_to_be_reacquired(&self, region: &str) -> bool {
        self.to_reacquire.contains(region)
    }

    /// Has a region acquired again under a new token.
    pub(super) fn reacquire(&mut self, region: &str) {
        self.to_reacquire.insert(region.to_owned());
    }

    /// Since when a region has had no owner on record; from now on if it was not known.
    pub(super) fn unowned_since(&mut self, region: &str, now: Micros) -> Micros {
        *self.unowned_since.entry(region.to_owned()).or_insert(now)
    }

    /// A region has an owner on record.
    pub(super) fn on_owner_recorded(&mut self, region: &str) {
        self.unowned_since.remove(region);
    }

    /// The acquisition of a region was sent to be committed.
    pub(super) fn on_acquisition_sent(&mut self, region: &str) {
        self.to_reacquire.remove(region);
        self.owned.remove(region);
        self.acquisitions
            .insert(region.to_owned(), Acquisition::Committing);
    }

    /// The commit of an acquisition ended.
    pub(super) fn on_acquisition_committed(&mut self, region: String, outcome: &CommitOutcome) {
        self.acquisitions
            .insert(region, Acquisition::after(outcome));
    }

    /// The acquisition shows on record: the region is owned.
    pub(super) fn on_acquired(&mut self, region: Region) {
        self.acquisitions.remove(&region.name);
        self.owned.insert(region.name.clone(), region);
    }

    /// The release of a region was sent to be committed. From here on nothing is commanded for
    /// it, whatever becomes of the commit.
    pub(super) fn on_release_sent(&mut self, region: &str) {
        self.owned.remove(region);
        self.acquisitions
            .insert(region.to_owned(), Acquisition::Committing);
    }

    /// The commit of a release ended.
    pub(super) fn on_release_committed(&mut self, region: String, outcome: &CommitOutcome) {
        if !outcome.is_committed() {
            // If it is still owned on record, then only under another token from now on.
            self.to_reacquire.insert(region.clone());
        }
        self.acquisitions
            .insert(region, Acquisition::after(outcome));
    }

    /// A region is no longer owned on record.
    pub(super) fn on_lost(&mut self, region: &str) {
        self.owned.remove(region);
    }

    /// The owner lease is lost, and with it all regions.
    pub(super) fn on_lease_lost(&mut self, now: Micros) {
        self.lost_with_lease = Some(LostWithLease {
            noticed_at: now,
            regions: self.owned.keys().cloned().collect(),
        });
        for (name, region) in std::mem::take(&mut self.owned) {
            log::info!("region={name} token={}: lost with the lease", region.token);
        }
    }

    /// Takes the names of the regions that were owned until records were lost. The first sign
    /// of that may have been that the lease was lost with the rest.
    pub(super) fn take_owned_before_loss(&mut self, now: Micros) -> BTreeSet<String> {
        let mut regions: BTreeSet<String> = self.owned.keys().cloned().collect();
        if let Some(lost) = self.lost_with_lease.take() {
            if now < lost.noticed_at + LEASE_LOST_WITH_RECORDS {
                regions.extend(lost.regions);
            }
        }
        regions
    }

    /// A hold began after records were lost: nothing is owned or acquired outside it.
    pub(super) fn on_hold_began(&mut self) {
        self.owned.clear();
        self.acquisitions.clear();
        self.to_reacquire.clear();
    }

    /// A hold ended. Regions that it kept are owned on record and are reconciled as after a
    /// takeover.
    pub(super) fn on_hold_ended(&mut self) {
        self.acquisitions.clear();
    }
}

#[cfg(test)]
mod tests;
