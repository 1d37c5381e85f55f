//! Applies the changes in the responses to long polls and barriers to the replica.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::Changes;
use salttiller_recovery::{Finding, RecentChanges};

use super::answer::{read_answer, AnswerError};
use super::loader::ReadReason;
use super::{StateStore, StateStoreEvent};
use crate::reactor::CallError;

/// Status of the response if the state service no longer has the changes after the requested
/// revision.
const STATUS_GONE: u16 = 410;

/// A request for changes.
#[derive(Debug)]
pub(super) struct Watch {
    /// Revision after which changes are requested.
    pub from: u64,
    /// Changes that the response must contain, if this request verifies the history.
    pub expected: Option<RecentChanges>,
}

/// Error of a request for changes.
#[derive(Debug, thiserror::Error)]
pub(super) enum ChangesError {
    /// The response exceeds the size limit.
    #[error("too many changes for one response")]
    TooMany,
    /// The state service no longer has the changes after the requested revision.
    #[error("changes after this revision are no longer available")]
    RevisionTooOld,
    /// The state service lost records.
    #[error("records lost: {0:?}")]
    RecordsLost(Finding),
    /// The call returned no usable response.
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
    /// Applies the changes in a response. Returns whether the replica is complete up to the
    /// response's revision.
    #[must_use]
    pub(super) fn on_changes(
        &mut self,
        watch: &Watch,
        result: Result<Response, CallError>,
        events: &mut Vec<StateStoreEvent>,
    ) -> bool {
        match self.read_changes(watch, result) {
            Ok(answer) => {
                events.extend(self.apply_changes(answer));
                true
            }
            Err(error) => {
                self.on_changes_failed(watch, error, events);
                false
            }
        }
    }

    /// Decodes a response and compares it with the known history.
    pub(super) fn read_changes(
        &mut self,
        watch: &Watch,
        result: Result<Response, CallError>,
    ) -> Result<Changes, ChangesError> {
        let answer: Changes = read_answer(result)?;
        match self.history.check(watch, &answer, self.pumped_at) {
            Some(finding) => Err(ChangesError::RecordsLost(finding)),
            None => Ok(answer),
        }
    }

    fn apply_changes(&mut self, answer: Changes) -> Option<StateStoreEvent> {
        let mut changed = Vec::new();
        for event in answer.events {
            if let Some(key) = &event.put {
                changed.extend(self.replica.apply_event(key, event.value, event.version));
            } else if let Some(key) = &event.delete {
                changed.extend(self.replica.apply_event(key, None, event.version));
            }
        }
        self.replica.complete_up_to(answer.revision);
        (!changed.is_empty()).then_some(StateStoreEvent::Changed(changed))
    }

    fn on_changes_failed(
        &mut self,
        watch: &Watch,
        error: ChangesError,
        events: &mut Vec<StateStoreEvent>,
    ) {
        match error {
            ChangesError::TooMany => self.reload(watch, ReadReason::TooManyChanges),
            ChangesError::RevisionTooOld => self.reload(watch, ReadReason::ChangesCompacted),
            ChangesError::RecordsLost(finding) => {
                events.push(StateStoreEvent::RecordsLost(finding));
            }
            ChangesError::Answer(error) => error.log("watch"),
        }
    }

    /// Starts a full read, because a request for changes can't succeed any more.
    ///
    /// Guards against a controller that was disconnected while so many records changed that every
    /// response exceeds the size limit, or that the state service no longer has the changes. The
    /// pages of a full read are bounded.
    fn reload(&mut self, watch: &Watch, reason: ReadReason) {
        // Guards against reading twice: the long poll and the barrier may both fail, the second
        // one while the read is in progress or after it.
        let is_outdated = watch.expected.is_none() && watch.from < self.replica.revision;
        if self.is_loaded() && !is_outdated {
            log::info!("watch: {reason}; reloading all records");
            self.loader.restart(reason);
        }
    }
}
