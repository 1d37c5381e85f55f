//! Leases, and the records that are deleted when their lease ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// Time to live after a renewal.
    duration: Duration,
    expires_at: Instant,
}

/// All leases.
#[derive(Debug, Default)]
pub(super) struct Leases {
    leases: BTreeMap<u64, Lease>,
    /// Lease ids by the keys of the attached records.
    attached: BTreeMap<String, u64>,
    /// Last lease id that was assigned.
    last_id: u64,
}

impl Leases {
    /// Grants a lease and returns its id.
    pub(super) fn grant(&mut self, duration: Duration) -> u64 {
        self.last_id += 1;
        let expires_at = Instant::now() + duration;
        self.leases.insert(
            self.last_id,
            Lease {
                duration,
                expires_at,
            },
        );
        self.last_id
    }

    /// Renews a lease for its full duration. Returns whether the lease exists.
    #[must_use]
    pub(super) fn renew(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = Instant::now() + lease.duration;
        true
    }

    pub(super) fn exists(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Attaches a record to a lease, or detaches it from its lease.
    pub(super) fn attach(&mut self, key: &str, lease: Option<u64>) {
        match lease {
            Some(id) => self.attached.insert(key.to_owned(), id),
            None => self.attached.remove(key),
        };
    }

    /// Ends all expired leases. Returns the keys of the attached records of each lease.
    pub(super) fn expire(&mut self) -> Vec<Vec<String>> {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
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

    /// Ends all leases. Lease ids are not reused.
    pub(super) fn clear(&mut self) {
        self.leases.clear();
        self.attached.clear();
    }
}
