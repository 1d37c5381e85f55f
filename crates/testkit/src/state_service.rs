//! A stand-in for the state service: records, transactions, leases and watches, with the
//! faults that tests inject.

mod leases;
mod requests;
mod store;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde_json::Value;

use self::store::Store;
use crate::server::Server;
pub use store::{Contents, Record, Records};

/// What happens to all requests while it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The connection is closed without an answer.
    NoAnswer,
    /// The answer has this status; 429 comes with `Retry-After`.
    Status(u16),
}

/// What the handlers of requests share.
struct Shared {
    state: Mutex<State>,
    /// Wakes watches after a change, a restoration or a fault.
    changed: Condvar,
}

struct State {
    store: Store,
    fault: Option<RequestFault>,
    /// How often the store was replaced; a watch of a former one is cut off.
    restorations: u32,
    /// When each request arrived.
    request_times: Vec<Instant>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A test that failed with the lock held has been reported; the others go on.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stand-in; it runs until it is dropped.
pub struct StateService {
    server: Server,
    shared: Arc<Shared>,
}

impl StateService {
    /// Starts an empty one on a free port of the loopback address.
    ///
    /// # Errors
    /// No port can be listened on.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                store: Store::new(),
                fault: None,
                restorations: 0,
                request_times: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let server = Server::start(shared.clone())?;
        Ok(StateService { server, shared })
    }

    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts (`Some`) and deletes (`None`) records in one transaction, without conditions;
    /// returns its revision.
    pub fn commit(&self, changes: &[(&str, Option<Value>)]) -> u64 {
        let changes = changes.iter().map(|(k, v)| ((*k).to_owned(), v.clone()));
        let revision = self.shared.lock().store.commit(changes.collect());
        self.shared.changed.notify_all();
        revision
    }

    /// Remembers all records at each revision from now on.
    pub fn keep_history(&self) {
        self.shared.lock().store.keep_history();
    }

    /// The records as they were at a revision, if that was remembered.
    #[must_use]
    pub fn records_at(&self, revision: u64) -> Option<Records> {
        self.shared.lock().store.records_at(revision)
    }

    /// The last revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.lock().store.contents().revision
    }

    /// What it holds now.
    #[must_use]
    pub fn contents(&self) -> Contents {
        self.shared.lock().store.contents().clone()
    }

    /// Loses everything, or is set back to an earlier copy. Leases end and watches are cut off.
    pub fn restore(&self, contents: Contents) {
        let mut state = self.shared.lock();
        state.store.restore(contents);
        state.restorations += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Keeps so many changes for watches.
    pub fn set_kept_changes(&self, changes: usize) {
        self.shared.lock().store.set_kept_changes(changes);
    }

    /// Injects a fault into all requests; `None` ends it.
    pub fn inject_fault(&self, fault: Option<RequestFault>) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// When each request arrived.
    #[must_use]
    pub fn request_times(&self) -> Vec<Instant> {
        self.shared.lock().request_times.clone()
    }
}
