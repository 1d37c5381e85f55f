//! Machines that were rented and are not in their region's report yet.

use std::collections::{BTreeMap, BTreeSet};

use crate::cloud::Offer;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::reports::Reports;

/// A report that came this much later than the batch's record was committed shows its machines:
/// the owner needs a moment to learn of the record and to report.
const REPORT_DELAY: Micros = 500 * MILLISECOND;
/// A batch is forgotten after this time, whatever the reports show: its record can't be
/// committed any more, or its owner doesn't report at all.
const BATCH_TTL: Micros = 30 * SECOND;

/// Machines of one rental that share a record.
#[derive(Debug)]
pub(super) struct ProvisioningBatch {
    pub(super) offer: Offer,
    pub(super) region: String,
    pub(super) machines: Vec<String>,
    pub(super) created_at: Micros,
    /// When its record was committed.
    recorded_at: Option<Micros>,
}

impl ProvisioningBatch {
    /// A batch whose record is about to be committed.
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

/// Batches by the name of their record.
#[derive(Debug, Default)]
pub(super) struct ProvisioningBatches {
    by_name: BTreeMap<String, ProvisioningBatch>,
}

impl ProvisioningBatches {
    pub(super) fn insert(&mut self, name: String, batch: ProvisioningBatch) {
        self.by_name.insert(name, batch);
    }

    /// The commit of a batch's record has ended: the batch is on record, or given up. Its
    /// machines are then found again in the cloud's list.
    pub(super) fn on_commit_finished(&mut self, name: &str, committed: bool, now: Micros) {
        if !committed {
            self.by_name.remove(name);
        } else if let Some(batch) = self.by_name.get_mut(name) {
            batch.recorded_at = Some(now);
        }
    }

    /// Forgets batches that their region's report shows, and old ones.
    pub(super) fn expire(&mut self, reports: &Reports, now: Micros) {
        self.by_name
            .retain(|_, batch| !batch.is_reported(reports) && now < batch.created_at + BATCH_TTL);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ProvisioningBatch> {
        self.by_name.values()
    }

    /// Batches that the records don't show yet.
    pub(super) fn unrecorded(&self) -> impl Iterator<Item = &ProvisioningBatch> {
        self.iter().filter(|batch| batch.recorded_at.is_none())
    }

    /// Names of all machines in batches.
    pub(super) fn machine_names(&self) -> BTreeSet<&str> {
        self.iter()
            .flat_map(|batch| &batch.machines)
            .map(String::as_str)
            .collect()
    }
}

#[cfg(test)]
mod tests;
