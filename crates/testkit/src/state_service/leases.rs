//! Leases and the records that end with them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// Time that a renewal gives.
    duration: Duration,
    expires: Instant,
}

/// All leases.
#[derive(Debug, Default)]
pub(super) struct Leases {
    leases: BTreeMap<u64, Lease>,
    /// Lease by key of a record that ends with it.
    attached: BTreeMap<String, u64>,
    /// The last number that was given to a lease.
    last_id: u64,
}

impl Leases {
    /// Grants a lease; returns its number.
    pub(super) fn grant(&mut self, duration: Duration) -> u64 {
        self.last_id += 1;
        let expires = Instant::now() + duration;
        self.leases
            .insert(self.last_id, Lease { duration, expires });
        self.last_id
    }

    /// Gives a lease its full time again; whether there is such a lease.
    #[must_use]
    pub(super) fn renew(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires = Instant::now() + lease.duration;
        true
    }

    pub(super) fn exists(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Lets a record end with a lease, or with none.
    pub(super) fn attach(&mut self, key: &str, lease: Option<u64>) {
        match lease {
            Some(id) => self.attached.insert(key.to_owned(), id),
            None => self.attached.remove(key),
        };
    }

    /// Ends the leases that have expired; returns the keys of the records that end with each.
    pub(super) fn expire(&mut self) -> Vec<Vec<String>> {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        ids.into_iter().map(|id| self.end(id)).collect()
    }

    fn end(&mut self, id: u64) -> Vec<String> {
        self.leases.remove(&id);
        let attached = self.attached.iter().filter(|(_, lease)| **lease == id);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.attached.retain(|_, lease| *lease != id);
        keys
    }

    /// Ends all leases; numbers are not given again.
    pub(super) fn clear(&mut self) {
        self.leases.clear();
        self.attached.clear();
    }
}
