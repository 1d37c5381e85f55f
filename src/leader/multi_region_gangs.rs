//! Coordination of multi-region gangs: starts all parts of a gang together.
//!
//! Each owner reserves capacity for its part and reports the reservation. The leader requests the
//! start once all parts have capacity, and otherwise decides on another attempt or another
//! binding. Inputs are only the records and the regions' reports, so that a new leader continues
//! where the previous one stopped. The paper binds each computation to one sphere; multi-region
//! gangs are an extension.

use crate::peer_protocol::{Message, RegionReport};
use crate::region::SchedulingContext;
use crate::state_store::replica::Versioned;
use crate::state_store::CommitPriority;
use salttiller_records::key::Key;
use salttiller_records::record::{value, JobRecord, MultiRegionAttempt, TaskRange};
use salttiller_records::units::{Micros, SECOND};

use super::outbox::RecordChange;
use super::reports::{ReceivedReport, Reports};
use super::Leader;

/// Maximum wait of a part. After this time the part is unbound, so that the gang is bound again.
const MAX_PART_WAIT: Micros = 60 * SECOND;

/// A gang whose record binds it to several regions.
struct MultiRegionGang<'a> {
    id: &'a str,
    record: &'a Versioned<JobRecord>,
    attempt: &'a MultiRegionAttempt,
}

/// Status of one region's part of a gang by the region's last report; the default if there is no
/// report.
#[derive(Debug, Clone, Copy, Default)]
struct PartStatus {
    /// Whether capacity is reserved for the current attempt.
    is_ready: bool,
    /// Whether all tasks of the part are pending.
    is_pending: bool,
    /// Time for which the part has had pending tasks without interruption.
    pending_for: Micros,
    /// Whether the attempt failed, or the gang failed on several machines without a result.
    needs_new_attempt: bool,
}

impl Leader {
    /// Coordinates all multi-region gangs. A gang is started once all parts have capacity, gets
    /// another attempt after a failed one, and is unbound once one of its parts was unbound.
    pub(super) fn coordinate_multi_region_gangs(
        &mut self,
        context: &SchedulingContext<'_>,
        reports: &Reports,
    ) {
        let mut changes = Vec::new();
        for id in &context.replica.multi_region_gangs {
            let Some(record) = context.replica.jobs.get(id) else {
                continue;
            };
            let Some(attempt) = &record.value.multi_region else {
                continue;
            };
            let gang = MultiRegionGang {
                id,
                record,
                attempt,
            };
            changes.extend(self.coordinate_gang(&gang, reports));
        }
        self.commit(changes, CommitPriority::Normal, context);
    }

    /// Queues the messages for one gang. Returns the gang's record with another attempt if the gang
    /// needs one.
    fn coordinate_gang(
        &mut self,
        gang: &MultiRegionGang<'_>,
        reports: &Reports,
    ) -> Option<RecordChange> {
        let parts: Vec<(&TaskRange, PartStatus)> = gang
            .record
            .value
            .task_ranges
            .iter()
            .map(|range| (range, gang.part_status(range, reports)))
            .collect();
        let has_unbound_part = parts.iter().any(|(range, _)| range.is_unbound());
        for (range, status) in &parts {
            let has_waited_too_long = status.pending_for > MAX_PART_WAIT;
            if status.is_pending && (has_unbound_part || has_waited_too_long) {
                self.outbox.send(gang.unbind_request(range));
            }
        }
        if has_unbound_part {
            return None;
        }
        if parts.iter().all(|(_, status)| status.is_ready) {
            for (range, _) in &parts {
                self.outbox.send(gang.start_request(range));
            }
            return None;
        }
        let all_parts_pending = parts.iter().all(|(_, s)| s.is_ready || s.is_pending);
        let has_failed_attempt = parts.iter().any(|(_, s)| s.needs_new_attempt);
        (all_parts_pending && has_failed_attempt).then(|| self.retry(gang))
    }

    /// Returns a change of the gang's record to the next attempt.
    fn retry(&mut self, gang: &MultiRegionGang<'_>) -> RecordChange {
        let attempt = MultiRegionAttempt {
            attempt: self.term.next_attempt(),
            zone: gang.attempt.zone.clone(),
        };
        log::info!(
            "job={}: attempt {} failed, starting attempt {}",
            gang.id,
            gang.attempt.attempt,
            attempt.attempt
        );
        let record = JobRecord {
            multi_region: Some(attempt),
            ..gang.record.value.clone()
        };
        RecordChange {
            key: Key::Job(gang.id.to_owned()),
            expected_version: gang.record.version,
            value: value(&record),
        }
    }
}

impl MultiRegionGang<'_> {
    fn part_status(&self, range: &TaskRange, reports: &Reports) -> PartStatus {
        let Some(ReceivedReport { report, .. }) = reports.get(&range.region) else {
            return PartStatus::default();
        };
        let pending = report.pending_jobs.iter().find(|p| p.job == self.id);
        PartStatus {
            is_ready: self.is_reserved_in(report),
            is_pending: pending.is_some_and(|p| p.pending_tasks == range.end - range.first),
            pending_for: pending.map_or(0, |p| p.waiting_us),
            needs_new_attempt: pending.is_some_and(|p| p.needs_new_attempt),
        }
    }

    fn is_reserved_in(&self, report: &RegionReport) -> bool {
        report
            .gang_parts_ready
            .iter()
            .any(|(job, attempt)| job == self.id && *attempt == self.attempt.attempt)
    }

    /// Returns a request to a part's owner to unbind the part's tasks from the region.
    fn unbind_request(&self, range: &TaskRange) -> Message {
        Message::RebindTasks {
            job: self.id.to_owned(),
            from: range.region.clone(),
            to: String::new(),
            count: range.end - range.first,
        }
    }

    /// Returns a request to a part's owner to start the part, because all parts have capacity.
    fn start_request(&self, range: &TaskRange) -> Message {
        Message::StartGang {
            job: self.id.to_owned(),
            attempt: self.attempt.attempt,
            region: range.region.clone(),
        }
    }
}
