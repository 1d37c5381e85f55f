//! Answers that bring changes, of long polls and of barriers alike, and their way into the
//! replica.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::Changes;
use salttiller_records::units::Micros;
use salttiller_recovery::{Finding, RecentChanges};

use super::answer::{read_answer, AnswerError};
use super::{StateStore, StateStoreEvent};
use crate::reactor::CallError;

/// Status of an answer whose revision is too old to list the changes after it.
const STATUS_GONE: u16 = 410;

/// What was asked for.
#[derive(Debug)]
pub(super) struct Watch {
    /// Changes after this revision.
    pub from: u64,
    /// The changes that the answer must show, if the history is to be verified.
    pub verified: Option<RecentChanges>,
}

/// Why an answer brought no changes.
#[derive(Debug, thiserror::Error)]
pub(super) enum ChangesError {
    /// More changed than is read at once.
    #[error("too many changes at once")]
    TooMany,
    /// The state service doesn't keep the changes that far back.
    #[error("revision too old")]
    RevisionTooOld,
    /// The state service lost records.
    #[error("records lost: {0:?}")]
    RecordsLost(Finding),
    /// There is no answer that can be used.
    #[error(transparent)]
    Answer(AnswerError),
}

impl From<AnswerError> for ChangesError {
    fn from(error: AnswerError) -> Self {
        match error {
            AnswerError::Call(CallError::TooLarge) => ChangesError::TooMany,
            AnswerError::Status(STATUS_GONE) => ChangesError::RevisionTooOld,
            error => ChangesError::Answer(error),
        }
    }
}

impl StateStore {
    /// Applies the changes of an answer. Returns whether the replica is complete up to the
    /// answer's revision.
    #[must_use]
    pub(super) fn on_changes(
        &mut self,
        watch: &Watch,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) -> bool {
        match self.apply_changes(watch, result) {
            Ok(changed) => {
                events.extend(changed);
                true
            }
            Err(error) => {
                self.on_changes_failed(error, now, events);
                false
            }
        }
    }

    fn apply_changes(
        &mut self,
        watch: &Watch,
        result: Result<Response, CallError>,
    ) -> Result<Option<StateStoreEvent>, ChangesError> {
        let answer: Changes = read_answer(result)?;
        if let Some(finding) = self.history.check(watch, &answer, self.pumped_at) {
            return Err(ChangesError::RecordsLost(finding));
        }
        let mut changed = Vec::new();
        for event in answer.events {
            if let Some(key) = &event.put {
                changed.extend(self.replica.apply_event(key, event.value, event.version));
            } else if let Some(key) = &event.delete {
                changed.extend(self.replica.apply_event(key, None, event.version));
            }
        }
        self.replica.complete_up_to(answer.revision);
        Ok((!changed.is_empty()).then_some(StateStoreEvent::Changed(changed)))
    }

    fn on_changes_failed(
        &mut self,
        error: ChangesError,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        match error {
            // Guards against a controller that was away while so much changed that the
            // answer is never read: pages are bounded.
            ChangesError::TooMany => {
                log::info!("watch: {error}, reading all records again");
                self.loader.restart(now);
            }
            ChangesError::RevisionTooOld => {
                log::info!("watch: {error}, reading all records again");
                if self.is_loaded() {
                    self.loader.restart(now);
                }
            }
            ChangesError::RecordsLost(finding) => {
                events.push(StateStoreEvent::RecordsLost(finding));
            }
            ChangesError::Answer(error) => error.log("watch"),
        }
    }
}
