//! The regions' reports received by this controller.

use std::collections::BTreeMap;

use crate::peer_protocol::RegionReport;
use salttiller_records::units::Micros;

/// A region's report and the time at which it was received.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: RegionReport,
    /// Time of receipt on the monotonic clock.
    pub received_at: Micros,
}

impl ReceivedReport {
    /// Age of the report at `now`.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.received_at)
    }
}

/// The last report of each region.
pub type Reports = BTreeMap<String, ReceivedReport>;
