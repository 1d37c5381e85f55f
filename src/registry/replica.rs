//! A controller's copy of the state service's records, kept up by watching.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::records::{
    read_bitmap, JobRecord, Key, LeaderRecord, MachineRecord, QuotaRecord, RegionRecord,
};
use crate::model::{Flavor, JobSpec, RangeSet};

/// A record with the revision of its last change.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// Its revision.
    pub mark: u64,
}

/// The copy. Equal to the state service as of `revision`, plus our own later
/// changes, which are entered as soon as they are answered.
#[derive(Debug, Default)]
pub struct Replica {
    /// As of when the copy is complete.
    pub revision: u64,
    /// Who leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Last token.
    pub token: Option<Versioned<u64>>,
    /// Regions' owners.
    pub regions: BTreeMap<String, Versioned<RegionRecord>>,
    /// Machines.
    pub machines: BTreeMap<String, Versioned<MachineRecord>>,
    /// Jobs.
    pub jobs: BTreeMap<String, Versioned<JobRecord>>,
    /// Names of the jobs that are not over.
    pub open: std::collections::BTreeSet<String>,
    /// Finished tasks by job, region and chunk.
    pub progress: BTreeMap<String, BTreeMap<(String, u32), Versioned<String>>>,
    /// Shares of limits.
    pub quotas: BTreeMap<String, Versioned<QuotaRecord>>,
    /// Machine types.
    pub flavors: BTreeMap<String, Versioned<Flavor>>,
    /// Our own changes beyond `revision`: key and mark (also of deletions), so
    /// that an older event that comes in later can't undo them.
    ahead: BTreeMap<Key, u64>,
}

fn set<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Versioned<T>>,
    k: K,
    value: Option<Value>,
    mark: u64,
) -> Result<(), serde_json::Error> {
    match value {
        Some(v) => {
            let value = serde_json::from_value(v)?;
            map.insert(k, Versioned { value, mark });
        }
        None => {
            map.remove(&k);
        }
    }
    Ok(())
}

impl Replica {
    /// The revision of a record; 0 if there is none. This is what a transaction
    /// names as its condition.
    pub fn mark(&self, key: &Key) -> u64 {
        match key {
            Key::Leader => self.leader.as_ref().map_or(0, |v| v.mark),
            Key::Token => self.token.as_ref().map_or(0, |v| v.mark),
            Key::Region(r) => self.regions.get(r).map_or(0, |v| v.mark),
            Key::Machine(m) => self.machines.get(m).map_or(0, |v| v.mark),
            Key::Job(j) => self.jobs.get(j).map_or(0, |v| v.mark),
            Key::Progress(j, r, c) => self
                .progress
                .get(j)
                .and_then(|p| p.get(&(r.clone(), *c)))
                .map_or(0, |v| v.mark),
            Key::Quota(t) => self.quotas.get(t).map_or(0, |v| v.mark),
            Key::Flavor(f) => self.flavors.get(f).map_or(0, |v| v.mark),
        }
    }

    /// Enters a change that the state service told us of. Returns the key if it
    /// changed anything here.
    pub fn event(&mut self, key: &str, value: Option<Value>, mark: u64) -> Option<Key> {
        let Some(key) = Key::parse(key) else {
            log::debug!("registry: {key}: not ours, passed over");
            return None;
        };
        if mark <= self.mark(&key) || self.ahead.get(&key).is_some_and(|m| mark <= *m) {
            return None;
        }
        self.write(&key, value, mark).then_some(key)
    }

    /// Enters a change of our own that was answered with `mark`.
    pub fn own(&mut self, key: &Key, value: Option<Value>, mark: u64) {
        if mark <= self.mark(key) || self.ahead.get(key).is_some_and(|m| mark <= *m) {
            return;
        }
        if mark > self.revision {
            self.ahead.insert(key.clone(), mark);
        }
        self.write(key, value, mark);
    }

    fn write(&mut self, key: &Key, value: Option<Value>, mark: u64) -> bool {
        let done = match key {
            Key::Leader => match value {
                None => {
                    self.leader = None;
                    Ok(())
                }
                Some(v) => serde_json::from_value(v)
                    .map(|value| self.leader = Some(Versioned { value, mark })),
            },
            Key::Token => match value {
                None => {
                    self.token = None;
                    Ok(())
                }
                Some(v) => serde_json::from_value(v)
                    .map(|value| self.token = Some(Versioned { value, mark })),
            },
            Key::Region(r) => set(&mut self.regions, r.clone(), value, mark),
            Key::Machine(m) => set(&mut self.machines, m.clone(), value, mark),
            Key::Job(j) => {
                let res = set(&mut self.jobs, j.clone(), value, mark);
                if self.jobs.get(j).is_some_and(|r| r.value.open().is_some()) {
                    self.open.insert(j.clone());
                } else {
                    self.open.remove(j);
                }
                res
            }
            Key::Quota(t) => set(&mut self.quotas, t.clone(), value, mark),
            Key::Flavor(f) => set(&mut self.flavors, f.clone(), value, mark),
            Key::Progress(j, r, c) => {
                let chunks = self.progress.entry(j.clone()).or_default();
                let res = set(chunks, (r.clone(), *c), value, mark);
                if chunks.is_empty() {
                    self.progress.remove(j);
                }
                res
            }
        };
        if let Err(e) = &done {
            // A record that can't be read is left as it was known: whoever
            // wrote it is a later version of us, or broken.
            log::error!("registry: {}: record can't be read: {e}", key.text());
        }
        done.is_ok()
    }

    /// The copy is now complete up to `revision`.
    pub fn reached(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
        }
        if !self.ahead.is_empty() {
            let at = self.revision;
            self.ahead.retain(|_, m| *m > at);
        }
    }

    /// Finished tasks of a job that are on record, over all regions.
    pub fn done_tasks(&self, job: &str) -> RangeSet {
        let mut s = RangeSet::default();
        if let Some(chunks) = self.progress.get(job) {
            for ((_, c), v) in chunks {
                read_bitmap(&v.value, *c, &mut s);
            }
        }
        s
    }

    /// The submissions of jobs that are not over, by name.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord, &Rc<JobSpec>)> {
        self.open.iter().filter_map(|id| {
            let r = &self.jobs.get(id)?.value;
            Some((id, r, r.open()?))
        })
    }

    /// The owner on record of a machine's region.
    pub fn owner_of(&self, machine: &str) -> Option<&RegionRecord> {
        let region = &self.machines.get(machine)?.value.region;
        self.regions.get(region).map(|r| &r.value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// An event that is older than what we wrote ourselves must not undo it:
    /// neither a change nor a deletion.
    #[test]
    fn late_events_do_not_undo() {
        let mut r = Replica::default();
        let m = |region: &str| json!({"region": region, "flavor": "f", "zone": "z", "spot": false});
        assert!(r.event("st/machine/m-1", Some(m("a")), 5).is_some());
        r.reached(5);
        let key = Key::Machine("m-1".into());
        r.own(&key, Some(m("b")), 9);
        assert!(r.event("st/machine/m-1", Some(m("c")), 7).is_none());
        assert_eq!(r.machines["m-1"].value.region, "b");
        r.own(&key, None, 12);
        assert!(r.event("st/machine/m-1", Some(m("c")), 10).is_none());
        assert!(r.machines.is_empty());
        r.reached(12);
        assert!(r.event("st/machine/m-1", Some(m("d")), 13).is_some());
        assert!(r.event("st/machine/m-2", Some(json!(3)), 14).is_none());
        assert!(r.event("st/bad", Some(json!(3)), 14).is_none());
    }
}
