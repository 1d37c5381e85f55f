//! The regions' reports as this controller has received them.

use std::collections::BTreeMap;

use crate::peer_protocol::RegionReport;
use salttiller_records::units::Micros;

/// A region's report and when it was received.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: RegionReport,
    /// On the steady clock.
    pub received_at: Micros,
}

impl ReceivedReport {
    /// How old the report is at `now`.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.received_at)
    }
}

/// The last report of each region.
pub type Reports = BTreeMap<String, ReceivedReport>;
