//! The full read of all records, page by page: at the start, and whenever the changes since
//! the known revision can't be had.

use salttiller_protocol::state_service::Page;
use salttiller_records::key::PREFIX;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use super::calls::{Calls, Operation, WakeTime};
use super::replica::Replica;

/// Records of a page.
const PAGE_SIZE: u32 = 500;
/// Longest time a page may take.
const PAGE_TIMEOUT: Micros = 4 * SECOND;
/// Least time after a failed page until the read begins anew.
const RETRY: Micros = 300 * MILLISECOND;
/// A random time up to this is added, so that controllers don't all begin at once.
const RETRY_JITTER: Micros = 200 * MILLISECOND;

/// A read of all pages that is complete.
pub(super) struct CompleteRead {
    /// The records as read.
    pub replica: Replica,
    /// Send time of the first page.
    pub sent_at: Micros,
    /// The revision that was known before the first page was asked for.
    pub known_revision: u64,
}

/// A read of which pages are missing.
struct PagedRead {
    replica: Replica,
    /// Key after which the next page begins.
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

/// The full read and how far it has come.
pub(super) struct Loader {
    state: LoadState,
}

impl Loader {
    /// A loader that reads all records at the first pump.
    pub(super) fn new() -> Self {
        Loader {
            state: LoadState::Needed { not_before: 0 },
        }
    }

    /// A loader that is done.
    #[cfg(test)]
    pub(super) fn done() -> Self {
        Loader {
            state: LoadState::Done,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.state, LoadState::Done)
    }

    /// Reads all records again, not before this time.
    pub(super) fn restart(&mut self, not_before: Micros) {
        self.state = LoadState::Needed { not_before };
    }

    /// Asks for the next page if none is outstanding.
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
            read.request_page(now, calls);
        }
    }

    /// Adds a page to the read; `None` if the page couldn't be had. Returns the read when
    /// it is complete.
    #[must_use]
    pub(super) fn on_page(&mut self, page: Option<Page>, now: Micros) -> Option<CompleteRead> {
        let LoadState::Reading(read) = &mut self.state else {
            return None;
        };
        let Some(page) = page else {
            self.restart(now + RETRY + fastrand::u64(0..RETRY_JITTER));
            return None;
        };
        if read.add(page) {
            return None;
        }
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

    /// Adds a page. Returns whether more are to be read.
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
        // Changes made while the pages were read come again by watching from the first
        // page's revision; the versions tell which are known.
        self.replica
            .complete_up_to(self.first_revision.unwrap_or(0));
        CompleteRead {
            replica: self.replica,
            sent_at: self.sent_at.unwrap_or(0),
            known_revision: self.known_revision,
        }
    }
}
