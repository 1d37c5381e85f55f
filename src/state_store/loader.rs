//! The paged full read of all records, at startup and whenever the changes since the known
//! revision are not available.

mod progress;

use salttiller_protocol::state_service::Page;
use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::answer::AnswerError;
use super::calls::{Calls, Operation, WakeTime};
use super::replica::Replica;
use progress::Progress;
pub(super) use progress::ReadReason;

/// Number of records per page.
const PAGE_SIZE: u32 = 500;
/// Timeout of a page.
const PAGE_TIMEOUT: Micros = 4 * SECOND;
/// Minimum delay before the read restarts after a failed page.
const RETRY_DELAY: Micros = 300 * MILLISECOND;
/// Upper bound of the jitter added to the delay, so that controllers don't restart their reads
/// simultaneously.
const MAX_RETRY_JITTER: Micros = 200 * MILLISECOND;

/// A completed full read.
pub(super) struct CompleteRead {
    /// Replica built from the pages.
    pub replica: Replica,
    /// Send time of the first page.
    pub sent_at: Micros,
    /// Revision that was known before the first page was requested.
    pub known_revision: u64,
}

/// A full read in progress.
struct PagedRead {
    replica: Replica,
    /// Last key read; the next page begins after it.
    last_key: Option<String>,
    /// Revision of the first page.
    first_revision: Option<u64>,
    /// Send time of the first page.
    sent_at: Option<Micros>,
    page_outstanding: bool,
    known_revision: u64,
}

enum LoadState {
    Needed { not_before: Micros },
    Reading(Box<PagedRead>),
    Done,
}

/// State of the full read.
pub(super) struct Loader {
    state: LoadState,
    reason: ReadReason,
    /// Progress of the read that is needed or in progress, over all its attempts.
    progress: Option<Progress>,
}

impl Loader {
    /// Returns a loader that starts a full read at the first pump.
    pub(super) fn new() -> Self {
        Loader {
            state: LoadState::Needed { not_before: 0 },
            reason: ReadReason::Startup,
            progress: None,
        }
    }

    /// Returns a loader that has finished.
    #[cfg(test)]
    pub(super) fn done() -> Self {
        Loader {
            state: LoadState::Done,
            reason: ReadReason::Startup,
            progress: None,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.state, LoadState::Done)
    }

    /// Restarts the full read, at `not_before` at the earliest.
    pub(super) fn restart(&mut self, reason: ReadReason, not_before: Micros) {
        self.state = LoadState::Needed { not_before };
        self.reason = reason;
    }

    /// Describes the progress of the read, unless it is complete.
    pub(super) fn describe_progress(&self, now: Micros) -> Option<String> {
        let progress = self.progress.as_ref()?;
        Some(progress.describe(now))
    }

    /// Requests the next page if none is outstanding.
    pub(super) fn pump(
        &mut self,
        known_revision: u64,
        now: Micros,
        calls: &mut Calls,
        wake: &mut WakeTime,
    ) {
        if let LoadState::Needed { not_before } = self.state {
            if now < not_before {
                wake.no_later_than(not_before);
                return;
            }
            self.state = LoadState::Reading(Box::new(PagedRead::new(known_revision)));
        }
        if let LoadState::Reading(read) = &mut self.state {
            let reason = self.reason;
            self.progress
                .get_or_insert_with(|| Progress::start(reason, now));
            read.request_page(now, calls);
        }
    }

    /// Adds a page to the read. Returns the read when it is complete.
    #[must_use]
    pub(super) fn on_page(
        &mut self,
        page: Result<Page, AnswerError>,
        now: Micros,
    ) -> Option<CompleteRead> {
        let (LoadState::Reading(read), Some(progress)) = (&mut self.state, &mut self.progress)
        else {
            return None;
        };
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                progress.request_failed(&error, now);
                let retry_at = now + RETRY_DELAY + fastrand::u64(0..MAX_RETRY_JITTER);
                self.restart(self.reason, retry_at);
                return None;
            }
        };
        progress.page_added(page.pairs.len(), now);
        if read.add(page) {
            return None;
        }
        progress.log_complete(now);
        self.progress = None;
        let LoadState::Reading(read) = std::mem::replace(&mut self.state, LoadState::Done) else {
            return None;
        };
        Some(read.complete())
    }
}

impl PagedRead {
    fn new(known_revision: u64) -> Self {
        PagedRead {
            replica: Replica::default(),
            last_key: None,
            first_revision: None,
            sent_at: None,
            page_outstanding: false,
            known_revision,
        }
    }

    fn request_page(&mut self, now: Micros, calls: &mut Calls) {
        if self.page_outstanding {
            return;
        }
        self.page_outstanding = true;
        self.sent_at.get_or_insert(now);
        let mut target = format!("/store?under={PREFIX}&page={PAGE_SIZE}");
        if let Some(key) = &self.last_key {
            target.push_str("&from=");
            target.push_str(key);
        }
        calls.get(Operation::Page, target, PAGE_TIMEOUT);
    }

    /// Adds a page. Returns whether there are more pages.
    fn add(&mut self, page: Page) -> bool {
        self.page_outstanding = false;
        self.first_revision.get_or_insert(page.revision);
        let last_key = page.pairs.last().map(|pair| pair.key.clone());
        for pair in page.pairs {
            self.replica
                .apply_event(&pair.key, Some(pair.value), pair.version);
        }
        let more = page.more && last_key.is_some();
        if more {
            self.last_key = last_key;
        }
        more
    }

    fn complete(mut self) -> CompleteRead {
        // Watches from the first page's revision report the changes made during the read
        // again. The versions show which of them the replica already contains.
        self.replica
            .complete_up_to(self.first_revision.unwrap_or(0));
        CompleteRead {
            replica: self.replica,
            sent_at: self.sent_at.unwrap_or(0),
            known_revision: self.known_revision,
        }
    }
}
