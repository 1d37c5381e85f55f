//! What answers of the state service, or their absence, mean for the archive.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::history::Fingerprint;
use salttiller_records::units::Micros;

use super::history::RecordedHistory;
use super::snapshot_read::SnapshotRead;
use super::{Action, Phase, Recorder};
use crate::clock::ClockReading;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::model::{Change, ChangeBatch, Gap, GapCause, InvalidChange, KeyedRecord};

/// How far before a new segment its preceding changes are asked for at first, in revisions.
/// Enough for the changes that a history is recognised by if every second revision has one.
const PRECEDING_REVISIONS: u64 = 64;
/// If the state service doesn't keep so many, a part of them is asked for: one in so many.
const PRECEDING_REVISIONS_DIVISOR: u64 = 4;

impl Recorder {
    /// After a failure the history is compared before anything else is recorded.
    pub(super) fn on_interruption(&mut self, now: Micros, retry_after: Micros) {
        self.schedule.back_off(now, retry_after);
        if self.phase == Phase::Recording {
            self.phase = Phase::VerifyingHistory;
        }
        // Pages ahead of the archived changes can't be compared.
        let cursor = self.history.cursor();
        let is_ahead = |snapshot: &mut SnapshotRead| snapshot.last_page_revision() > cursor;
        if !is_disabled(Safeguard::PagesAheadDiscarded) && self.snapshot.take_if(is_ahead).is_some()
        {
            self.schedule.set_next_snapshot(now);
        }
    }

    /// The changes that were asked for are no longer kept.
    pub(super) fn on_compacted(&mut self, clock: ClockReading) -> Vec<Action> {
        let Phase::ReadingPrecedingChanges { gap, after, depth } = &mut self.phase else {
            // What came since the last comparison can no longer be compared.
            let verified_until = self.history.verified_until();
            return self.end_segment(GapCause::ChangesCompacted, verified_until, clock);
        };
        if *depth > 0 {
            *depth /= PRECEDING_REVISIONS_DIVISOR;
            return Vec::new();
        }
        // Without preceding changes the segment is recognised by what it records itself.
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
            // A page that promises more and shows nothing leads nowhere.
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
                tracing::warn!(%error, "invalid change in an answer of the state service");
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
                let last_own = self.history.last_revision_before(&known);
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
        self.history = RecordedHistory::starting(after, preceding_changes);
        self.phase = Phase::Recording;
        // A segment can be read from its first snapshot on: that one is due at once.
        self.schedule.set_next_snapshot(0);
        vec![
            Action::BeginSegment { gap, after },
            Action::SetPrecedingChanges(self.history.recent().to_vec()),
        ]
    }

    /// Continuity is lost: the segment ends, with all after `after_revision` dropped. The next
    /// one starts with a snapshot.
    fn end_segment(
        &mut self,
        cause: GapCause,
        after_revision: u64,
        clock: ClockReading,
    ) -> Vec<Action> {
        if let Phase::ReadingPrecedingChanges { gap, .. } = &self.phase {
            // The next segment has not begun yet: look for its start again.
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
        // On disk at once: guards against a process killed here that would go on with the
        // segment as if nothing had been lost, should the histories agree up to its end.
        actions.push(Action::EndSegment(gap.clone()));
        self.phase = Phase::StartingSegment { gap };
        self.history.forget_changes();
        actions
    }

    /// The state service has the recorded history; `new` changes follow it.
    fn on_history_verified(
        &mut self,
        new: Vec<Change>,
        revision: u64,
        clock: ClockReading,
    ) -> Vec<Action> {
        let mut actions = vec![self.append(new, revision, clock)];
        self.history.verify();
        actions.push(Action::MarkVerified(self.history.verified_until()));
        self.phase = Phase::Recording;
        self.schedule.history_verified(clock.monotonic);
        actions.extend(self.complete_snapshot(clock.monotonic));
        actions
    }

    /// Completes the snapshot once all its pages are within the verified history.
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

/// Splits an answer into the changes up to a revision, as fingerprints, and those after it.
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

/// The changes of an answer in the order of their revisions. All must be within what was
/// asked for.
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
    // Changes of one transaction share a revision and come in no promised order.
    changes.sort_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
    Ok(changes)
}
