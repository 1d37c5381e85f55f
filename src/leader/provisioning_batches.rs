//! Provisioning batches: rented machines that their region's report doesn't include yet.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::Offer;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::reports::Reports;

/// Time after the commit of a batch's record from which received reports include the batch's
/// machines. The owner first has to read the record and to report.
const REPORT_DELAY: Micros = 500 * MILLISECOND;
/// Time after which a batch is removed even if no report includes its machines. By then its record
/// can no longer be committed, or its owner doesn't report at all.
const BATCH_TTL: Micros = 30 * SECOND;

/// Machines of one rental that share a record.
#[derive(Debug)]
pub(super) struct ProvisioningBatch {
    pub(super) offer: Offer,
    pub(super) region: String,
    pub(super) machines: Vec<String>,
    pub(super) created_at: Micros,
    /// Time at which the batch's record was committed.
    recorded_at: Option<Micros>,
}

impl ProvisioningBatch {
    /// Creates a batch whose record is about to be committed.
    pub(super) fn new(offer: &Offer, region: &str, machines: &[String], now: Micros) -> Self {
        ProvisioningBatch {
            offer: offer.clone(),
            region: region.to_owned(),
            machines: machines.to_vec(),
            created_at: now,
            recorded_at: None,
        }
    }

    fn is_reported(&self, reports: &Reports) -> bool {
        let Some(received) = reports.get(&self.region) else {
            return false;
        };
        self.recorded_at
            .is_some_and(|recorded_at| received.received_at > recorded_at + REPORT_DELAY)
    }
}

/// Batches by record name.
#[derive(Debug, Default)]
pub(super) struct ProvisioningBatches {
    by_name: BTreeMap<String, ProvisioningBatch>,
}

impl ProvisioningBatches {
    pub(super) fn insert(&mut self, name: String, batch: ProvisioningBatch) {
        self.by_name.insert(name, batch);
    }

    /// Handles the end of the commit of a batch's record. If the commit failed or its outcome is
    /// unknown, the batch is removed, and its machines are found again through the cloud's list.
    pub(super) fn on_commit_finished(&mut self, name: &str, committed: bool, now: Micros) {
        if !committed {
            self.by_name.remove(name);
        } else if let Some(batch) = self.by_name.get_mut(name) {
            batch.recorded_at = Some(now);
        }
    }

    /// Removes batches that their region's report includes, and expired batches.
    pub(super) fn expire(&mut self, reports: &Reports, now: Micros) {
        self.by_name
            .retain(|_, batch| !batch.is_reported(reports) && now < batch.created_at + BATCH_TTL);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ProvisioningBatch> {
        self.by_name.values()
    }

    /// Returns the batches whose record is not committed yet.
    pub(super) fn unrecorded(&self) -> impl Iterator<Item = &ProvisioningBatch> {
        self.iter().filter(|batch| batch.recorded_at.is_none())
    }

    /// Returns the names of all machines in batches.
    pub(super) fn machine_names(&self) -> BTreeSet<&str> {
        self.iter()
            .flat_map(|batch| &batch.machines)
            .map(String::as_str)
            .collect()
    }
}

#[cfg(test)]
mod tests;
