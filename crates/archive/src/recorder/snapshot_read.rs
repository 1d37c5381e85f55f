//! Progress of a snapshot that is being read.

use salttiller_protocol::state_service::Page;

use super::request::Request;

/// While a snapshot is read, changes are asked for after so many requests for pages, so that
/// the watch does not fall behind what the state service keeps.
const PAGES_PER_WATCH: u32 = 8;

/// A snapshot that is being read.
#[derive(Debug, Default)]
pub(super) struct SnapshotRead {
    /// Key of the last record that was read; `None` before the first.
    last_key: Option<String>,
    /// Revision of the last page that was read.
    last_page_revision: u64,
    /// All pages were read; what is left is a comparison of the history up to the last.
    pages_done: bool,
    /// Pages asked for since the last request for changes.
    pages_since_watch: u32,
}

impl SnapshotRead {
    pub(super) fn last_page_revision(&self) -> u64 {
        self.last_page_revision
    }

    pub(super) fn pages_done(&self) -> bool {
        self.pages_done
    }

    /// No page with a record was read yet.
    pub(super) fn is_at_start(&self) -> bool {
        self.last_key.is_none()
    }

    /// The next page, or changes when it is their turn.
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

    /// A page arrived.
    pub(super) fn advance(&mut self, page: &Page) {
        self.last_page_revision = page.revision;
        self.pages_done = !page.more;
        if let Some(last) = page.pairs.last() {
            self.last_key = Some(last.key.clone());
        }
    }
}
