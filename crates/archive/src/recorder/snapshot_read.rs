//! Progress of reading a snapshot page by page.

use salttiller_protocol::state_service::Page;

use super::request::Request;

/// Number of page requests after which changes are requested while a snapshot is read, so that
/// the watch does not fall behind the changes that the state service retains.
const PAGES_PER_WATCH: u32 = 8;

/// A snapshot in progress.
#[derive(Debug, Default)]
pub(super) struct SnapshotRead {
    /// Key of the last record read, or `None` before the first record.
    last_key: Option<String>,
    /// Revision of the last page read.
    last_page_revision: u64,
    /// Whether all pages have been read. The history up to the last page must then still be
    /// compared.
    pages_done: bool,
    /// Number of page requests since the last request for changes.
    pages_since_watch: u32,
}

impl SnapshotRead {
    pub(super) fn last_page_revision(&self) -> u64 {
        self.last_page_revision
    }

    pub(super) fn pages_done(&self) -> bool {
        self.pages_done
    }

    /// Whether no record has been read yet.
    pub(super) fn is_at_start(&self) -> bool {
        self.last_key.is_none()
    }

    /// Returns a request for the next page, or for changes after every `PAGES_PER_WATCH` pages.
    pub(super) fn next_request(&mut self, cursor: u64) -> Request {
        if self.pages_since_watch >= PAGES_PER_WATCH {
            self.pages_since_watch = 0;
            return Request::Watch {
                from: cursor,
                wait: 0,
            };
        }
        self.pages_since_watch += 1;
        Request::Page {
            after: self.last_key.clone(),
        }
    }

    /// Updates the progress with a page.
    pub(super) fn advance(&mut self, page: &Page) {
        self.last_page_revision = page.revision;
        self.pages_done = !page.more;
        if let Some(last) = page.pairs.last() {
            self.last_key = Some(last.key.clone());
        }
    }
}
