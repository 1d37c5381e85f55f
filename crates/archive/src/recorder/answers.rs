//! Handles responses of the state service, and failed requests.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::history::Fingerprint;
use salttiller_records::units::Micros;

use super::history::RecordedHistory;
use super::snapshot_read::SnapshotRead;
use super::{Action, Phase, Recorder};
use crate::clock::ClockReading;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::model::{Change, ChangeBatch, Gap, GapCause, InvalidChange, KeyedRecord};

/// Number of revisions before a new segment that the first request for its preceding changes
/// covers. If every second revision has a change, the response has enough changes to identify a
/// history.
const PRECEDING_REVISIONS: u64 = 64;
/// Divisor of the number of requested revisions if the state service no longer retains them all.
const PRECEDING_REVISIONS_DIVISOR: u64 = 4;

impl Recorder {
    /// Handles a failed request: backs off, and compares the history before anything else is
    /// recorded.
    pub(super) fn on_interruption(&mut self, now: Micros, retry_after: Micros) {
        self.schedule.back_off(now, retry_after);
        if self.phase == Phase::Recording {
            self.phase = Phase::VerifyingHistory;
        }
        // A comparison covers the archived changes only. Pages ahead of them can't be verified.
        let cursor = self.history.cursor();
        let is_ahead = |snapshot: &mut SnapshotRead| snapshot.last_page_revision() > cursor;
        if !is_disabled(Safeguard::PagesAheadDiscarded) && self.snapshot.take_if(is_ahead).is_some()
        {
            self.schedule.set_next_snapshot(now);
        }
    }

    /// Handles a response that the requested changes are no longer retained.
    pub(super) fn on_compacted(&mut self, clock: ClockReading) -> Vec<Action> {
        let Phase::ReadingPrecedingChanges { gap, after, depth } = &mut self.phase else {
            // Changes after the last comparison can no longer be verified.
            let verified_until = self.history.verified_until();
            return self.end_segment(GapCause::ChangesCompacted, verified_until, clock);
        };
        if *depth > 0 {
            *depth /= PRECEDING_REVISIONS_DIVISOR;
            return Vec::new();
        }
        // Without preceding changes, the segment's own changes identify its history.
        let (gap, after) = (gap.clone(), *after);
        self.begin_segment(gap, after, Vec::new())
    }

    pub(super) fn on_page(&mut self, page: &Page, clock: ClockReading) -> Vec<Action> {
        if let Phase::StartingSegment { gap } = &self.phase {
            self.phase = Phase::ReadingPrecedingChanges {
                gap: gap.clone(),
                after: page.revision,
                depth: PRECEDING_REVISIONS,
            };
            return Vec::new();
        }
        let cursor = self.history.cursor();
        let Some(snapshot) = &mut self.snapshot else {
            return Vec::new();
        };
        let seen = cursor.max(snapshot.last_page_revision());
        if page.revision < seen && !is_disabled(Safeguard::RevisionOrder) {
            let to = page.revision;
            return self.end_segment(GapCause::RevisionWentBack { to }, cursor, clock);
        }
        let mut actions = Vec::new();
        if snapshot.is_at_start() {
            actions.push(Action::BeginSnapshot {
                first_page_revision: page.revision,
            });
        }
        snapshot.advance(page);
        if page.more && page.pairs.is_empty() {
            // An empty page that announces further pages has no last key to continue from.
            self.on_interruption(clock.monotonic, 0);
            return actions;
        }
        actions.push(Action::AddRecords(
            page.pairs.iter().map(KeyedRecord::from).collect(),
        ));
        self.last_contact = clock.wall_clock;
        actions
    }

    pub(super) fn on_changes(
        &mut self,
        from: u64,
        answer: &Changes,
        clock: ClockReading,
    ) -> Vec<Action> {
        let revision = answer.revision;
        let known_until = match &self.phase {
            Phase::ReadingPrecedingChanges { after, .. } => *after,
            _ => self.history.cursor(),
        };
        if revision < known_until && !is_disabled(Safeguard::RevisionOrder) {
            let cause = GapCause::RevisionWentBack { to: revision };
            return self.end_segment(cause, self.history.cursor(), clock);
        }
        let (known, new) = match split_changes(answer, from, known_until) {
            Ok(split) => split,
            Err(error) => {
                tracing::warn!(%error, "invalid change in a response of the state service");
                self.on_interruption(clock.monotonic, 0);
                return Vec::new();
            }
        };
        match &self.phase {
            Phase::ReadingPrecedingChanges { gap, after, .. } => {
                let mut actions = self.begin_segment(gap.clone(), *after, known);
                actions.extend(self.on_history_verified(new, revision, clock));
                actions
            }
            Phase::VerifyingHistory if !self.history.agrees_with(&known) => {
                let last_own = self.history.last_own_revision(&known);
                self.end_segment(GapCause::HistoryReplaced, last_own, clock)
            }
            Phase::VerifyingHistory => self.on_history_verified(new, revision, clock),
            Phase::StartingSegment { .. } | Phase::Recording => {
                vec![self.append(new, revision, clock)]
            }
        }
    }

    fn begin_segment(
        &mut self,
        gap: Gap,
        after: u64,
        preceding_changes: Vec<Fingerprint>,
    ) -> Vec<Action> {
        self.history = RecordedHistory::at_segment_start(after, preceding_changes);
        self.phase = Phase::Recording;
        // A segment is readable from its first snapshot on, so the first snapshot is due at once.
        self.schedule.set_next_snapshot(0);
        vec![
            Action::BeginSegment { gap, after },
            Action::SetPrecedingChanges(self.history.recent().to_vec()),
        ]
    }

    /// Ends the segment after a loss of continuity and drops its changes after `after_revision`.
    /// The next segment starts with a snapshot.
    fn end_segment(
        &mut self,
        cause: GapCause,
        after_revision: u64,
        clock: ClockReading,
    ) -> Vec<Action> {
        if let Phase::ReadingPrecedingChanges { gap, .. } = &self.phase {
            // The next segment has not begun yet. Request its start revision again.
            self.phase = Phase::StartingSegment { gap: gap.clone() };
            return Vec::new();
        }
        tracing::warn!(
            ?cause,
            after_revision,
            "continuity lost; a new segment begins"
        );
        let mut actions = Vec::new();
        if self.snapshot.take().is_some() {
            actions.push(Action::AbandonSnapshot);
        }
        let has_foreign_changes = self.history.cursor() > after_revision;
        if has_foreign_changes && !is_disabled(Safeguard::UnverifiedChangesDropped) {
            actions.push(Action::DropChangesAfter(after_revision));
        }
        let gap = Gap {
            cause,
            after_revision,
            last_contact: self.last_contact,
            detected: clock.wall_clock,
        };
        // Guards against a restart that continues the segment as if nothing had been lost: if the
        // process is killed here and the two histories agree up to the segment's end, the
        // comparison after the restart finds no difference. The end is therefore stored at once.
        actions.push(Action::EndSegment(gap.clone()));
        self.phase = Phase::StartingSegment { gap };
        self.history.clear_changes();
        actions
    }

    /// Handles a successful comparison: the state service has the recorded history, followed by
    /// the `new` changes.
    fn on_history_verified(
        &mut self,
        new: Vec<Change>,
        revision: u64,
        clock: ClockReading,
    ) -> Vec<Action> {
        let mut actions = vec![self.append(new, revision, clock)];
        self.history.mark_verified();
        actions.push(Action::MarkVerified(self.history.verified_until()));
        self.phase = Phase::Recording;
        self.schedule.history_verified(clock.monotonic);
        actions.extend(self.complete_snapshot(clock.monotonic));
        actions
    }

    /// Completes the snapshot if all its pages have been read and are within the verified history.
    fn complete_snapshot(&mut self, now: Micros) -> Option<Action> {
        let cursor = self.history.cursor();
        let snapshot = self
            .snapshot
            .take_if(|s| s.pages_done() && s.last_page_revision() <= cursor)?;
        let revision = snapshot.last_page_revision();
        self.schedule.snapshot_completed(now);
        self.snapshots_completed += 1;
        tracing::info!(revision, "snapshot complete");
        Some(Action::CompleteSnapshot { revision })
    }

    fn append(&mut self, changes: Vec<Change>, revision: u64, clock: ClockReading) -> Action {
        let after = self.history.cursor();
        self.history.append(&changes, revision);
        self.last_contact = clock.wall_clock;
        if changes.is_empty() {
            return Action::AdvanceTo(revision);
        }
        Action::AddChanges(ChangeBatch {
            after,
            until: revision,
            received: clock.wall_clock,
            changes,
        })
    }
}

/// Splits a response into the fingerprints of the changes up to a revision, and the changes after
/// that revision.
fn split_changes(
    answer: &Changes,
    from: u64,
    known_until: u64,
) -> Result<(Vec<Fingerprint>, Vec<Change>), InvalidChange> {
    let mut known = ordered_changes(answer, from)?;
    let first_new = known.partition_point(|change| change.version <= known_until);
    let new = known.split_off(first_new);
    Ok((known.iter().map(Change::fingerprint).collect(), new))
}

/// Returns the changes of a response in revision order, or an error if a change is outside of the
/// requested range.
fn ordered_changes(answer: &Changes, from: u64) -> Result<Vec<Change>, InvalidChange> {
    let read = |event| {
        let change = Change::try_from(event)?;
        if change.version <= from || change.version > answer.revision {
            return Err(InvalidChange::OutOfRange {
                revision: change.version,
                after: from,
                until: answer.revision,
            });
        }
        Ok(change)
    };
    let mut changes = answer
        .events
        .iter()
        .map(read)
        .collect::<Result<Vec<_>, _>>()?;
    // Changes of one transaction share a revision; their order in a response is unspecified.
    changes.sort_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
    Ok(changes)
}
