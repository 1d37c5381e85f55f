//! Requests to the state service, and its answers.

use salttiller_protocol::state_service::{Changes, Page};
use salttiller_records::units::{Micros, MILLISECOND};
use salttiller_records::PREFIX;

/// Records asked for in one page, the most that the state service gives.
const PAGE_RECORDS: u32 = 1000;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The current revision.
    Revision,
    /// A page of records in the order of their keys.
    Page {
        /// The page starts after this key; `None`: at the first.
        after: Option<String>,
    },
    /// The changes after a revision.
    Watch {
        /// The revision.
        from: u64,
        /// How long the state service may wait for a change before it answers.
        wait: Micros,
    },
}

impl Request {
    /// Path and query of the request, always a `GET`.
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

    /// How long the state service may wait for a change before it answers.
    #[must_use]
    pub fn wait(&self) -> Micros {
        match self {
            Request::Watch { wait, .. } => *wait,
            Request::Revision | Request::Page { .. } => 0,
        }
    }
}

/// A usable answer of the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of records.
    Page(Page),
    /// Changes.
    Changes(Changes),
    /// The changes that were asked for are no longer kept.
    Compacted,
}
