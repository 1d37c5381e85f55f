//! Request routing by method and path, and watches.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use salttiller_protocol::http::{query_value, Request, Response};
use salttiller_protocol::state_service::decode;

use super::store::{ok_response, PageRange};
use super::wire::{GrantRequest, Transaction};
use super::{RequestFault, Shared, State};
use crate::server::Handler;

/// Interval at which a waiting watch checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Value of `Retry-After` in a response with status 429, in seconds.
const RETRY_AFTER_S: u32 = 1;

impl Handler for Shared {
    fn handle(&self, request: &Request) -> Option<Response> {
        let mut state = self.lock();
        state.request_times.push(Instant::now());
        state.store.expire_leases();
        if let Some(fault) = state.fault {
            return fault_response(fault);
        }
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        if (request.method.as_str(), path.as_slice()) == ("GET", &["follow"]) {
            drop(state);
            return self.watch(&WatchQuery::parse(&request.query));
        }
        let response = state.handle(request, &path);
        drop(state);
        self.changed.notify_all();
        Some(response)
    }
}

impl State {
    /// Handles a request other than a watch.
    fn handle(&mut self, request: &Request, path: &[&str]) -> Response {
        let store = &mut self.store;
        let bad_request = || Response::new(400, Vec::new());
        match (request.method.as_str(), path) {
            ("GET", ["store"]) => store.page(page_range(&request.query)),
            ("GET", ["store", ..]) => store.get(&request.path["/store/".len()..]),
            ("POST", ["commit"]) => match decode::<Transaction>(&request.body) {
                Ok(transaction) => store.transact(transaction),
                Err(_) => bad_request(),
            },
            ("POST", ["grants"]) => match decode::<GrantRequest>(&request.body) {
                Ok(grant) => store.grant(Duration::from_millis(grant.duration_ms)),
                Err(_) => bad_request(),
            },
            ("POST", ["grants", id, "renew"]) => id
                .parse()
                .map_or_else(|_| bad_request(), |lease| store.renew(lease)),
            _ => bad_request(),
        }
    }
}

fn page_range(query: &str) -> PageRange<'_> {
    PageRange {
        prefix: query_value(query, "under").unwrap_or(""),
        after: query_value(query, "from").unwrap_or(""),
        limit: query_value(query, "page").and_then(|n| n.parse().ok()),
    }
}

/// Query parameters of a watch.
struct WatchQuery<'a> {
    /// Revision after which changes are requested.
    from: u64,
    /// Prefix of the keys of the requested records.
    prefix: &'a str,
    /// Maximum time to wait for a change.
    wait: Duration,
}

impl<'a> WatchQuery<'a> {
    fn parse(query: &'a str) -> Self {
        let number = |name| query_value(query, name).and_then(|n| n.parse().ok());
        WatchQuery {
            from: number("from").unwrap_or(0),
            prefix: query_value(query, "under").unwrap_or(""),
            wait: Duration::from_millis(number("waitMs").unwrap_or(0)),
        }
    }
}

impl Shared {
    /// Returns the response to a watch once there are changes or the wait time has passed.
    fn watch(&self, query: &WatchQuery<'_>) -> Option<Response> {
        let deadline = Instant::now() + query.wait;
        let mut state = self.lock();
        let restore_count = state.restore_count;
        loop {
            state.store.expire_leases();
            if state.restore_count != restore_count {
                return None;
            }
            if let Some(fault) = state.fault {
                return fault_response(fault);
            }
            if !state.store.retains_changes_after(query.from) {
                return Some(Response::new(410, Vec::new()));
            }
            let changes = state.store.changes_after(query.from, query.prefix);
            let went_back = changes.revision < query.from;
            let now = Instant::now();
            if !changes.events.is_empty() || went_back || now >= deadline {
                return Some(ok_response(&changes));
            }
            let wait = (deadline - now).min(LEASE_CHECK_INTERVAL);
            let result = self.changed.wait_timeout(state, wait);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Returns the response to a request during a fault.
fn fault_response(fault: RequestFault) -> Option<Response> {
    match fault {
        RequestFault::NoResponse => None,
        RequestFault::Status(429) => Some(Response::refusal(429, RETRY_AFTER_S)),
        RequestFault::Status(status) => Some(Response::new(status, Vec::new())),
    }
}
