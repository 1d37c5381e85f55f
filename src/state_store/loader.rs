//! The full read of all records, at startup and whenever the changes since the known revision are
//! not available.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | Needed | `pump` | Reading, with the first page |
//! | Reading | page, more follow | Reading, with the next page |
//! | Reading | request failed | Reading, the same request after a delay |
//! | Reading | catch-up impossible | Needed: the pages can't be brought up to date |
//! | Reading | last page | Done |
//! | any | `restart` | Needed |
//!
//! [`PagedRead`] holds the records, [`PagePace`] the time of the next request.

mod page_pace;
mod paged_read;
mod progress;

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, SECOND};

use super::answer::AnswerError;
use super::calls::{Calls, Operation, WakeTime};
use super::changes::ChangesError;
use page_pace::PagePace;
pub(super) use paged_read::CompleteRead;
use paged_read::{PagedRead, ReadRequest};
use progress::Progress;
pub(super) use progress::ReadReason;

/// Timeout of a request.
const REQUEST_TIMEOUT: Micros = 4 * SECOND;

/// Identifies a request of a full read. The response to a request of an earlier read is ignored:
/// its page would otherwise be taken for the first page of the current read, whose preceding
/// records would be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadCall {
    /// Number of the read.
    read: u64,
    /// Send time of the request.
    sent_at: Micros,
}

/// A full read with its progress.
struct Reading {
    read: PagedRead,
    progress: Progress,
    is_outstanding: bool,
}

enum LoadState {
    Needed(ReadReason),
    Reading(Box<Reading>),
    Done,
}

/// State of the full read.
pub(super) struct Loader {
    state: LoadState,
    /// Number of the current or last read.
    read_number: u64,
    pace: PagePace,
}

impl Loader {
    /// Returns a loader that starts a full read at the first pump. This controller may send
    /// `request_rate` requests per second.
    pub(super) fn new(request_rate: f64) -> Self {
        Loader {
            state: LoadState::Needed(ReadReason::Startup),
            read_number: 0,
            pace: PagePace::new(request_rate),
        }
    }

    /// Marks the read as finished.
    #[cfg(test)]
    pub(super) fn finish(&mut self) {
        self.state = LoadState::Done;
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.state, LoadState::Done)
    }

    /// Restarts the full read. The pace stays as it is.
    pub(super) fn restart(&mut self, reason: ReadReason) {
        self.state = LoadState::Needed(reason);
    }

    /// Whether a call belongs to the read in progress.
    pub(super) fn is_current(&self, call: ReadCall) -> bool {
        matches!(self.state, LoadState::Reading(_)) && call.read == self.read_number
    }

    /// Describes the progress of the read, unless it is complete.
    pub(super) fn describe_progress(&self, now: Micros) -> Option<String> {
        match &self.state {
            LoadState::Needed(reason) => Some(format!("not begun yet: {reason}")),
            LoadState::Reading(reading) => Some(reading.progress.describe(now)),
            LoadState::Done => None,
        }
    }

    /// Sends the next request if none is outstanding and the pace allows it.
    pub(super) fn pump(
        &mut self,
        known_revision: u64,
        now: Micros,
        calls: &mut Calls,
        wake: &mut WakeTime,
    ) {
        if let LoadState::Needed(reason) = self.state {
            self.read_number += 1;
            self.state = LoadState::Reading(Box::new(Reading {
                read: PagedRead::new(known_revision),
                progress: Progress::start(reason, now),
                is_outstanding: false,
            }));
        }
        let LoadState::Reading(reading) = &mut self.state else {
            return;
        };
        if reading.is_outstanding {
            return;
        }
        let next_at = self.pace.next_at();
        if now < next_at || !calls.allows_background_request() {
            wake.no_later_than(next_at.max(now + calls.time_until_background_allowed()));
            return;
        }
        reading.is_outstanding = true;
        let call = ReadCall {
            read: self.read_number,
            sent_at: now,
        };
        let request = reading.read.next_request(now);
        send(request, call, self.pace.page_size(), calls);
        self.pace.sent(now);
    }

    /// Handles the response to a request for a page. Returns the read when it is complete.
    #[must_use]
    pub(super) fn on_page(
        &mut self,
        call: ReadCall,
        page: Result<Page, AnswerError>,
        now: Micros,
    ) -> Option<CompleteRead> {
        let (reading, pace) = self.answered(call)?;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                reading.request_failed(&error, pace, now);
                return None;
            }
        };
        pace.succeeded();
        reading.progress.page_added(page.pairs.len(), now);
        if reading.read.add_page(page, call.sent_at) {
            return None;
        }
        reading.progress.log_complete(now);
        self.complete()
    }

    /// Handles the response to a request for the changes since the pages were read.
    pub(super) fn on_catch_up(
        &mut self,
        call: ReadCall,
        changes: Result<Changes, ChangesError>,
        now: Micros,
    ) {
        let Some((reading, pace)) = self.answered(call) else {
            return;
        };
        match changes {
            Ok(changes) => {
                pace.succeeded();
                reading.read.add_changes(changes, call.sent_at);
            }
            Err(ChangesError::Answer(error)) => reading.request_failed(&error, pace, now),
            // The pages can't be brought up to date any more.
            Err(ChangesError::TooMany) => self.restart(ReadReason::TooManyChanges),
            Err(ChangesError::RevisionTooOld) => self.restart(ReadReason::ChangesCompacted),
            // The caller reports the loss, which discards the read.
            Err(ChangesError::RecordsLost(_)) => {}
        }
    }

    /// Returns the read that a call belongs to, which now has no request outstanding, and its
    /// pace. `None` if the call belongs to an earlier read.
    fn answered(&mut self, call: ReadCall) -> Option<(&mut Reading, &mut PagePace)> {
        if !self.is_current(call) {
            return None;
        }
        let LoadState::Reading(reading) = &mut self.state else {
            return None;
        };
        reading.is_outstanding = false;
        Some((reading, &mut self.pace))
    }

    fn complete(&mut self) -> Option<CompleteRead> {
        match std::mem::replace(&mut self.state, LoadState::Done) {
            LoadState::Reading(reading) => Some(reading.read.complete()),
            LoadState::Needed(_) | LoadState::Done => None,
        }
    }
}

impl Reading {
    /// Delays the next request, which is the same one, after a failure.
    fn request_failed(&mut self, error: &AnswerError, pace: &mut PagePace, now: Micros) {
        pace.failed(error, now);
        self.progress.request_failed(error, now);
    }
}

fn send(request: ReadRequest, call: ReadCall, page_size: u32, calls: &mut Calls) {
    match request {
        ReadRequest::Page { after } => {
            let mut target = format!("/store?under={PREFIX}&page={page_size}");
            if let Some(key) = after {
                target.push_str("&from=");
                target.push_str(&key);
            }
            calls.get(Operation::Page(call), target, REQUEST_TIMEOUT);
        }
        ReadRequest::CatchUp { from } => {
            let target = format!("/follow?under={PREFIX}&from={from}&waitMs=0");
            let operation = Operation::CatchUp { call, from };
            calls.get(operation, target, REQUEST_TIMEOUT);
        }
    }
}

#[cfg(test)]
mod tests;
