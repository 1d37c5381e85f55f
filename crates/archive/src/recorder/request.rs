//! Requests to the state service and their decoded responses.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::units::{Micros, MILLISECOND};
use salttiller_records::PREFIX;

/// Number of records requested per page, the maximum of the state service.
const PAGE_RECORDS: u32 = 1000;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The current revision.
    Revision,
    /// A page of records in key order.
    Page {
        /// The page starts after this key; `None` requests the first page.
        after: Option<String>,
    },
    /// The changes after a revision.
    Watch {
        /// The revision after which changes are requested.
        from: u64,
        /// Maximum time that the state service waits for a change before it responds.
        wait: Micros,
    },
}

impl Request {
    /// Returns the path and query of the request. The method is always `GET`.
    #[must_use]
    pub fn target(&self) -> String {
        match self {
            Request::Revision => format!("/store?under={PREFIX}&page=1"),
            Request::Page { after: None } => format!("/store?under={PREFIX}&page={PAGE_RECORDS}"),
            Request::Page { after: Some(key) } => {
                format!("/store?under={PREFIX}&page={PAGE_RECORDS}&from={key}")
            }
            Request::Watch { from, wait } => {
                let wait_ms = wait / MILLISECOND;
                format!("/follow?under={PREFIX}&from={from}&waitMs={wait_ms}")
            }
        }
    }

    /// Returns the maximum time that the state service waits for a change before it responds.
    #[must_use]
    pub fn wait(&self) -> Micros {
        match self {
            Request::Watch { wait, .. } => *wait,
            Request::Revision | Request::Page { .. } => 0,
        }
    }
}

/// A usable response of the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of records.
    Page(Page),
    /// The changes after a revision.
    Changes(Changes),
    /// The requested changes are no longer retained.
    Compacted,
}
