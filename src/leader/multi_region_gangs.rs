//! Coordination of gangs over several regions: when their parts start together.
//!
//! Each owner reserves capacity for its part and reports it; the leader has all parts start once
//! every one has some, and decides on another attempt or another binding if they can't. Inputs
//! are the records and the regions' reports alone, so that a new leader goes on where the last
//! one ended. The paper gives each computation to one sphere; this is the project's own.

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

/// A part that has waited longer is unbound, so that the gang is bound anew.
const MAX_PART_WAIT: Micros = 60 * SECOND;

/// A gang on record as bound to several regions.
struct MultiRegionGang<'a> {
    id: &'a str,
    record: &'a Versioned<JobRecord>,
    attempt: &'a MultiRegionAttempt,
}

/// One region's part of a gang, by the region's last report; nothing of it is known without.
#[derive(Debug, Clone, Copy, Default)]
struct PartStatus {
    /// Capacity is reserved for this attempt.
    is_ready: bool,
    /// All tasks of the part wait.
    is_waiting: bool,
    /// How long they have waited.
    waiting_for: Micros,
    /// The attempt failed.
    needs_new_attempt: bool,
}

impl Leader {
    /// Coordinates the gangs over several regions: started once all parts have capacity, given
    /// another attempt when one failed, unbound when a part was given back.
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

    /// Takes one gang a step further. Returns its record with another attempt if it needs one.
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
        let is_given_up = parts.iter().any(|(range, _)| range.is_unbound());
        for (range, status) in &parts {
            let has_waited_too_long = status.waiting_for > MAX_PART_WAIT;
            if status.is_waiting && (is_given_up || has_waited_too_long) {
                self.outbox.send(gang.unbind_request(range));
            }
        }
        if is_given_up {
            return None;
        }
        if parts.iter().all(|(_, status)| status.is_ready) {
            for (range, _) in &parts {
                self.outbox.send(gang.start_request(range));
            }
            return None;
        }
        let is_idle = parts.iter().all(|(_, s)| s.is_ready || s.is_waiting);
        let has_failed = parts.iter().any(|(_, s)| s.needs_new_attempt);
        (is_idle && has_failed).then(|| self.retry(gang))
    }

    /// The record of a gang with another attempt.
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
            is_waiting: pending.is_some_and(|p| p.pending_tasks == range.end - range.first),
            waiting_for: pending.map_or(0, |p| p.waiting_us),
            needs_new_attempt: pending.is_some_and(|p| p.needs_new_attempt),
        }
    }

    fn is_reserved_in(&self, report: &RegionReport) -> bool {
        report
            .gang_parts_ready
            .iter()
            .any(|(job, attempt)| job == self.id && *attempt == self.attempt.attempt)
    }

    /// Asks a part's owner to bind its tasks to no region.
    fn unbind_request(&self, range: &TaskRange) -> Message {
        Message::RebindTasks {
            job: self.id.to_owned(),
            from: range.region.clone(),
            to: String::new(),
            count: range.end - range.first,
        }
    }

    /// Tells a part's owner that all parts have capacity.
    fn start_request(&self, range: &TaskRange) -> Message {
        Message::StartGang {
            job: self.id.to_owned(),
            attempt: self.attempt.attempt,
            region: range.region.clone(),
        }
    }
}
