//! Progress of a full read, for the log and the status page.

use std::fmt;

use salttiller_records::units::{to_seconds, Micros, SECOND};

use crate::state_store::answer::AnswerError;

/// Interval between two lines in the log on the progress, and between two on failed requests.
const LOG_INTERVAL: Micros = 5 * SECOND;

/// Why all records are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::state_store) enum ReadReason {
    /// The process has just started.
    Startup,
    /// The state service no longer has the changes after the known revision.
    ChangesCompacted,
    /// The changes after the known revision exceed the size limit of a response.
    TooManyChanges,
    /// The state service lost records, and the known ones were discarded.
    RecordsLost,
}

impl fmt::Display for ReadReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadReason::Startup => "startup",
            ReadReason::ChangesCompacted => "changes after this revision are no longer available",
            ReadReason::TooManyChanges => "too many changes for one response",
            ReadReason::RecordsLost => "the state service lost records",
        })
    }
}

/// Progress of the full read since it was requested.
#[derive(Debug)]
pub(super) struct Progress {
    started_at: Micros,
    next_log_at: Micros,
    next_failure_log_at: Micros,
    /// Number of pages that were added.
    pages: u64,
    /// Number of records in these pages.
    records: u64,
    /// Number of requests that were refused with status 429.
    rate_limited: u64,
    /// Number of requests that failed otherwise.
    failed: u64,
}

impl Progress {
    /// Starts and logs a read.
    pub(super) fn start(reason: ReadReason, now: Micros) -> Self {
        log::info!("full read started: {reason}");
        Progress {
            started_at: now,
            next_log_at: now + LOG_INTERVAL,
            next_failure_log_at: now,
            pages: 0,
            records: 0,
            rate_limited: 0,
            failed: 0,
        }
    }

    /// Counts a page that was added.
    pub(super) fn page_added(&mut self, records: usize, now: Micros) {
        self.pages += 1;
        self.records += records as u64;
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            log::info!("full read: {}", self.describe(now));
        }
    }

    /// Counts a failed request, and logs it unless another one was logged within the interval.
    pub(super) fn request_failed(&mut self, error: &AnswerError, now: Micros) {
        if error.is_rate_limited() {
            self.rate_limited += 1;
        } else {
            self.failed += 1;
        }
        if now >= self.next_failure_log_at {
            self.next_failure_log_at = now + LOG_INTERVAL;
            log::info!("full read: request failed: {error}; {}", self.describe(now));
        }
    }

    /// Logs that the read is complete.
    pub(super) fn log_complete(&self, now: Micros) {
        log::info!("full read complete: {}", self.describe(now));
    }

    /// Describes the progress in one line.
    pub(super) fn describe(&self, now: Micros) -> String {
        format!(
            "{} records in {} pages after {:.1} s, {} requests refused by the rate limit, {} failed",
            self.records,
            self.pages,
            to_seconds(now.saturating_sub(self.started_at)),
            self.rate_limited,
            self.failed,
        )
    }
}
