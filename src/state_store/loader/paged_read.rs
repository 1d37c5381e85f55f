//! The records that a full read has received so far, and how they become a consistent replica.
//!
//! Each page shows its range of keys at the page's own revision. `complete_until` is the revision
//! up to which the replica includes all changes of the keys read so far. It begins with the first
//! page's revision. The changes after it are requested at intervals (a catch-up), and once more by
//! the first watch after the read, so they reach the replica in one of these ways:
//!
//! - A put or a deletion of a key that was read, including deletions by an expired lease, is
//!   reported as a change.
//! - A put or a deletion of a key that was not read yet shows in the key's page. It may be
//!   reported as well, before or after the page: the higher version wins, and a record that was
//!   put by a reported change and deleted before its page is deleted by the next report.
//!
//! One request of the read is outstanding at a time. A page that was requested before a deletion
//! was reported can therefore not arrive after the report and restore the record.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::units::{Micros, SECOND};

use crate::state_store::replica::Replica;

/// Interval between two catch-ups. The state service retains the last 10,000 changes, which it
/// accepts in some minutes at the least.
const CATCH_UP_INTERVAL: Micros = 5 * SECOND;

/// A completed full read.
pub(in crate::state_store) struct CompleteRead {
    /// Replica built from the pages.
    pub replica: Replica,
    /// Send time of the last catch-up, or of the first page if there was none. The replica
    /// contains every commit made before this time.
    pub sent_at: Micros,
    /// Revision that was known before the first page was requested.
    pub known_revision: u64,
}

/// Next request of a full read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReadRequest {
    /// The page after this key, or the first page.
    Page { after: Option<String> },
    /// The changes after this revision.
    CatchUp { from: u64 },
}

/// A full read in progress.
pub(super) struct PagedRead {
    replica: Replica,
    /// Last key read; the next page begins after it.
    last_key: Option<String>,
    /// Revision up to which the replica includes all changes of the keys read so far. `None`
    /// before the first page.
    complete_until: Option<u64>,
    /// Send time of the request that `complete_until` comes from.
    complete_at: Micros,
    known_revision: u64,
}

impl PagedRead {
    pub(super) fn new(known_revision: u64) -> Self {
        PagedRead {
            replica: Replica::default(),
            last_key: None,
            complete_until: None,
            complete_at: 0,
            known_revision,
        }
    }

    /// Returns the next request.
    pub(super) fn next_request(&self, now: Micros) -> ReadRequest {
        match self.complete_until {
            Some(from) if now >= self.complete_at + CATCH_UP_INTERVAL => {
                ReadRequest::CatchUp { from }
            }
            _ => ReadRequest::Page {
                after: self.last_key.clone(),
            },
        }
    }

    /// Adds a page that was requested at `sent_at`. Returns whether there are more pages.
    pub(super) fn add_page(&mut self, page: Page, sent_at: Micros) -> bool {
        if self.complete_until.is_none() {
            self.complete_until = Some(page.revision);
            self.complete_at = sent_at;
        }
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

    /// Applies the changes of a catch-up that was requested at `sent_at`.
    pub(super) fn add_changes(&mut self, changes: Changes, sent_at: Micros) {
        for event in changes.events {
            if let Some(key) = &event.put {
                self.replica.apply_event(key, event.value, event.version);
            } else if let Some(key) = &event.delete {
                self.replica.apply_event(key, None, event.version);
            }
        }
        self.complete_until = self.complete_until.max(Some(changes.revision));
        self.complete_at = sent_at;
    }

    /// Returns the replica after the last page.
    pub(super) fn complete(mut self) -> CompleteRead {
        // The versions of the records show which changes after this revision the replica already
        // contains when a watch reports them again.
        self.replica
            .complete_up_to(self.complete_until.unwrap_or(0));
        CompleteRead {
            replica: self.replica,
            sent_at: self.complete_at,
            known_revision: self.known_revision,
        }
    }
}
