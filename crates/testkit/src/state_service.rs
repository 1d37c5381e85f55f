//! A fake state service with records, transactions, leases and watches. Tests can inject faults
//! into it.

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

/// Fault that affects all requests while it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The connection is closed without a response.
    NoResponse,
    /// The response has this status. A response with status 429 has a `Retry-After` header.
    Status(u16),
}

/// State that all request handlers share.
struct Shared {
    state: Mutex<State>,
    /// Notified when a commit, a restore or a fault may complete a watch.
    changed: Condvar,
}

struct State {
    store: Store,
    fault: Option<RequestFault>,
    /// Number of times that the store was replaced. A watch that began before a replacement is
    /// closed without a response.
    restore_count: u32,
    /// Arrival time of each request.
    request_times: Vec<Instant>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The lock is poisoned if a test failed while holding it. That failure is already reported,
        // and the state remains usable for other threads.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake state service that runs until it is dropped.
pub struct StateService {
    server: Server,
    shared: Arc<Shared>,
}

impl StateService {
    /// Starts an empty state service on a free port of the loopback address.
    ///
    /// # Errors
    /// Returns an error if the server can't listen on a port.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                store: Store::new(),
                fault: None,
                restore_count: 0,
                request_times: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let server = Server::start(shared.clone())?;
        Ok(StateService { server, shared })
    }

    /// Returns the address that the state service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts (`Some`) and deletes (`None`) records in one transaction without conditions. Returns
    /// the revision of the transaction.
    pub fn commit(&self, changes: &[(&str, Option<Value>)]) -> u64 {
        let changes = changes.iter().map(|(k, v)| ((*k).to_owned(), v.clone()));
        let revision = self.shared.lock().store.commit(changes.collect());
        self.shared.changed.notify_all();
        revision
    }

    /// Keeps a copy of all records at each revision, starting with the current one.
    pub fn keep_history(&self) {
        self.shared.lock().store.keep_history();
    }

    /// Returns the records at a revision, if the history was kept.
    #[must_use]
    pub fn records_at(&self, revision: u64) -> Option<Records> {
        self.shared.lock().store.records_at(revision)
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.lock().store.contents().revision
    }

    /// Returns a copy of the current contents.
    #[must_use]
    pub fn contents(&self) -> Contents {
        self.shared.lock().store.contents().clone()
    }

    /// Replaces the contents, for example by empty contents or by an earlier copy. All leases end,
    /// and open watches are closed without a response.
    pub fn restore(&self, contents: Contents) {
        let mut state = self.shared.lock();
        state.store.restore(contents);
        state.restore_count += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Sets the number of changes that are retained for watches.
    pub fn set_retained_changes(&self, changes: usize) {
        self.shared.lock().store.set_retained_changes(changes);
    }

    /// Injects a fault into all requests. `None` ends the fault.
    pub fn inject_fault(&self, fault: Option<RequestFault>) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Returns the arrival time of each request.
    #[must_use]
    pub fn request_times(&self) -> Vec<Instant> {
        self.shared.lock().request_times.clone()
    }
}
