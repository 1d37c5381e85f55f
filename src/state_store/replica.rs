//! A controller's copy of the state service's records, kept up by watching.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::pipelines::{PipelineEnd, Pipelines, Readiness};
use salttiller_records::bitmap::{count_bits, read_bitmap};
use salttiller_records::key::Key;
use salttiller_records::model::{JobSpec, MachineType, RangeSet};
use salttiller_records::record::{
    ActivationRecord, DataLossHoldRecord, JobRecord, JobStage, LeaderRecord, MachineBatchRecord,
    MachineRecord, QuotaRecord, RegionRecord,
};
use salttiller_records::QuotaAmount;

/// A record with the revision of its last change.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// Its revision.
    pub version: u64,
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
    /// That records were lost, and what operators decided.
    pub hold: Option<Versioned<DataLossHoldRecord>>,
    /// Regions' owners.
    pub regions: BTreeMap<String, Versioned<RegionRecord>>,
    /// Machines, of lots and with records of their own.
    pub machines: BTreeMap<String, Versioned<MachineRecord>>,
    /// Lots of machines.
    pub batches: BTreeMap<String, Versioned<MachineBatchRecord>>,
    /// Which machines of lots were opened.
    pub opened: BTreeMap<(String, u32), Versioned<ActivationRecord>>,
    /// Machines by region, type, zone and kind, counted.
    pub stock: BTreeMap<String, BTreeMap<(String, String, bool), u32>>,
    /// Jobs.
    pub jobs: BTreeMap<String, Versioned<JobRecord>>,
    /// Names of the jobs that are not over and wait for no others.
    pub open: std::collections::BTreeSet<String>,
    /// Names of the open jobs that are bound to no region.
    pub unbound: std::collections::BTreeSet<String>,
    /// The level-one list: open jobs of each region.
    pub level_one: BTreeMap<String, u32>,
    /// Open jobs of each team by time of submission, with what they need.
    pub teams: BTreeMap<String, BTreeMap<(u64, String), QuotaAmount>>,
    /// Finished tasks by job, region and chunk.
    pub progress: BTreeMap<String, BTreeMap<(String, u32), Versioned<String>>>,
    /// Shares of limits.
    pub quotas: BTreeMap<String, Versioned<QuotaRecord>>,
    /// Machine types.
    pub machine_types: BTreeMap<String, Versioned<MachineType>>,
    /// Our own changes beyond `revision`: key and version (also of deletions), so
    /// that an older event that comes in later can't undo them.
    ahead: BTreeMap<Key, u64>,
    /// Open jobs that are gangs over several regions.
    pub joint: std::collections::BTreeSet<String>,
    /// Machine records that can't be read. While there are any, nobody may take
    /// the machines that are known for all there are.
    pub unreadable: std::collections::BTreeSet<Key>,
    /// Machines whose view changed since they were last asked for.
    touched: std::collections::BTreeSet<String>,
    /// Jobs that need others.
    pub pipelines: Pipelines,
    /// Jobs that another job's record has changed, since they were last asked for.
    respecified: std::collections::BTreeSet<String>,
}

fn set<K: Ord, T: DeserializeOwned>(
    map: &mut BTreeMap<K, Versioned<T>>,
    k: K,
    value: Option<Value>,
    version: u64,
) -> Result<(), serde_json::Error> {
    match value {
        Some(v) => {
            let value = serde_json::from_value(v)?;
            map.insert(k, Versioned { value, version });
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
    pub fn version(&self, key: &Key) -> u64 {
        match key {
            Key::Leader => self.leader.as_ref().map_or(0, |v| v.version),
            Key::Token => self.token.as_ref().map_or(0, |v| v.version),
            Key::Region(r) => self.regions.get(r).map_or(0, |v| v.version),
            Key::Machine(m) => self
                .machines
                .get(m)
                .filter(|v| v.value.batch_position.is_none())
                .map_or(0, |v| v.version),
            Key::MachineBatch(l) => self.batches.get(l).map_or(0, |v| v.version),
            Key::Activation(r, n) => self.opened.get(&(r.clone(), *n)).map_or(0, |v| v.version),
            Key::Job(j) => self.jobs.get(j).map_or(0, |v| v.version),
            Key::Progress(j, r, c) => self
                .progress
                .get(j)
                .and_then(|p| p.get(&(r.clone(), *c)))
                .map_or(0, |v| v.version),
            Key::Quota(t) => self.quotas.get(t).map_or(0, |v| v.version),
            Key::MachineType(f) => self.machine_types.get(f).map_or(0, |v| v.version),
            Key::DataLossHold => self.hold.as_ref().map_or(0, |v| v.version),
        }
    }

    /// Enters a change that the state service told us of. Returns the key if it
    /// changed anything here.
    pub fn event(&mut self, key: &str, value: Option<Value>, version: u64) -> Option<Key> {
        let Some(key) = Key::parse(key) else {
            log::debug!("registry: {key}: not ours, passed over");
            return None;
        };
        // Guards against an answer to an older read that comes in late: the copy is
        // complete up to its revision, and what such an answer shows as there may
        // have been deleted since.
        if version <= self.revision
            || version <= self.version(&key)
            || self.ahead.get(&key).is_some_and(|m| version <= *m)
        {
            return None;
        }
        self.write(&key, value, version).then_some(key)
    }

    /// Enters a change of our own that was answered with `version`.
    pub fn own(&mut self, key: &Key, value: Option<Value>, version: u64) {
        if version <= self.version(key) || self.ahead.get(key).is_some_and(|m| version <= *m) {
            return;
        }
        if version > self.revision {
            self.ahead.insert(key.clone(), version);
        }
        self.write(key, value, version);
    }

    fn write(&mut self, key: &Key, value: Option<Value>, version: u64) -> bool {
        let done = match key {
            Key::Leader => match value {
                None => {
                    self.leader = None;
                    Ok(())
                }
                Some(v) => serde_json::from_value(v)
                    .map(|value| self.leader = Some(Versioned { value, version })),
            },
            Key::Token => match value {
                None => {
                    self.token = None;
                    Ok(())
                }
                Some(v) => serde_json::from_value(v)
                    .map(|value| self.token = Some(Versioned { value, version })),
            },
            Key::DataLossHold => match value {
                None => {
                    self.hold = None;
                    Ok(())
                }
                Some(v) => serde_json::from_value(v)
                    .map(|value| self.hold = Some(Versioned { value, version })),
            },
            Key::Region(r) => set(&mut self.regions, r.clone(), value, version),
            Key::Machine(m) => match value.map(serde_json::from_value).transpose() {
                Ok(rec) => {
                    self.enter_machine(m, rec, version);
                    Ok(())
                }
                Err(e) => Err(e),
            },
            Key::MachineBatch(l) => match value.map(serde_json::from_value).transpose() {
                Ok(rec) => {
                    self.enter_batch(l, rec, version);
                    Ok(())
                }
                Err(e) => Err(e),
            },
            Key::Activation(r, n) => {
                let res = set(&mut self.opened, (r.clone(), *n), value, version);
                if res.is_ok() {
                    self.enter_opened(r, *n);
                }
                res
            }
            Key::Job(j) => {
                let needed = self.jobs.get(j).and_then(|r| r.value.open_spec());
                let needed = needed.map_or_else(Vec::new, |s| s.dependencies.clone());
                self.count_job(j, false);
                let res = set(&mut self.jobs, j.clone(), value, version);
                self.count_job(j, true);
                if res.is_ok() {
                    self.update_dependents(j);
                    // One that is over asks no more of those that it needed.
                    if self
                        .jobs
                        .get(j)
                        .is_none_or(|r| r.value.open_spec().is_none())
                    {
                        for n in needed {
                            self.propagate(&n);
                        }
                    }
                }
                res
            }
            Key::Quota(t) => set(&mut self.quotas, t.clone(), value, version),
            Key::MachineType(f) => set(&mut self.machine_types, f.clone(), value, version),
            Key::Progress(j, r, c) => {
                let chunks = self.progress.entry(j.clone()).or_default();
                let res = set(chunks, (r.clone(), *c), value, version);
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
        if matches!(
            key,
            Key::Machine(_) | Key::MachineBatch(_) | Key::Activation(..)
        ) {
            if done.is_ok() {
                self.unreadable.remove(key);
            } else {
                self.unreadable.insert(key.clone());
            }
        }
        done.is_ok()
    }

    /// Jobs that are to be served otherwise because of another's record, since the last
    /// call.
    pub fn take_respecified(&mut self) -> Vec<String> {
        std::mem::take(&mut self.respecified).into_iter().collect()
    }

    /// Where a job stands: as on record, or cancelled along with one that it needs.
    pub fn stage(&self, id: &str) -> Option<JobStage> {
        let on_record = self.jobs.get(id)?.value.stage;
        if self.pipelines.cancelled_upstream().contains(id) {
            return Some(JobStage::Cancelled);
        }
        Some(on_record)
    }

    /// Whether all that a job needs is done.
    pub fn is_ready(&self, spec: &JobSpec) -> bool {
        spec.dependencies.is_empty()
            || self.pipelines.readiness(spec, &self.jobs) == Readiness::Ready
    }

    /// The job that ends a pipeline of which this one is a step: the nearest with a
    /// deadline of its own among those that need it, on the way that presses most.
    pub fn pipeline_end<'a>(&'a self, id: &'a str) -> Option<PipelineEnd<'a>> {
        const MAX_STEPS: usize = 64;
        let mut at = id;
        for _ in 0..MAX_STEPS {
            let spec = self.jobs.get(at)?.value.open_spec()?;
            let own = spec.stored_spec.as_ref().unwrap_or(spec);
            let in_pipeline = at != id || !own.dependencies.is_empty();
            if let (Some(deadline), true) = (own.deadline, in_pipeline) {
                let class = &own.class;
                return Some(PipelineEnd {
                    id: at,
                    class,
                    deadline,
                });
            }
            at = self.most_pressing_dependent(at)?;
        }
        None
    }

    fn most_pressing_dependent(&self, id: &str) -> Option<&str> {
        let due = |id: &str| {
            let spec = self.jobs.get(id)?.value.open_spec()?;
            Some(spec.submitted_at + spec.deadline?)
        };
        let dependents = self.pipelines.dependents(id);
        let pressing = dependents.filter_map(|d| Some((due(d)?, d.as_str())));
        pressing.min().map(|(_, d)| d)
    }

    /// Jobs that wait for others of which there is no record.
    pub fn waiting_for_unknown(&self) -> Vec<&String> {
        let unknown = |id: &&String| {
            let spec = self.jobs.get(*id).and_then(|r| r.value.open_spec());
            spec.is_some_and(|s| s.dependencies.iter().any(|n| !self.jobs.contains_key(n)))
        };
        self.pipelines.waiting().iter().filter(unknown).collect()
    }

    /// A job's record changed: those that need it may be ready, or cancelled along, and
    /// those that it needs are to be served otherwise.
    fn update_dependents(&mut self, id: &str) {
        let mut todo = vec![id.to_owned()];
        while let Some(id) = todo.pop() {
            if self.stage(&id).is_none_or(|s| s == JobStage::Open) {
                continue;
            }
            let dependents: Vec<String> = self.pipelines.dependents(&id).cloned().collect();
            for dependent in dependents {
                // Guards against a job that is come to by many ways being followed on as
                // often: with a few dozen steps two wide that would never end.
                if self.pipelines.cancelled_upstream().contains(&dependent) {
                    continue;
                }
                self.count_job(&dependent, false);
                self.count_job(&dependent, true);
                if self.stage(&dependent) != Some(JobStage::Open) {
                    log::debug!("registry: {dependent}: cancelled along with {id}");
                    todo.push(dependent);
                } else if self.open.contains(&dependent) {
                    log::debug!("registry: {dependent}: ready, {id} was the last that it needs");
                    self.propagate(&dependent);
                }
            }
        }
        self.propagate(id);
    }

    fn propagate(&mut self, id: &str) {
        let changed = self.pipelines.propagate(id, &mut self.jobs);
        self.respecified.extend(changed);
    }

    /// Whether a change of priority or deadline is still to be handed on along a chain.
    pub fn has_unpropagated(&self) -> bool {
        self.pipelines.has_unpropagated()
    }

    /// Hands such a change on by a bounded number of steps.
    pub fn continue_propagation(&mut self) {
        let changed = self.pipelines.continue_propagation(&mut self.jobs);
        self.respecified.extend(changed);
    }

    /// Machines whose view changed since the last call.
    pub fn take_touched(&mut self) -> Vec<String> {
        std::mem::take(&mut self.touched).into_iter().collect()
    }

    fn enter_machine(&mut self, name: &str, rec: Option<MachineRecord>, version: u64) {
        if let Some(old) = self.machines.remove(name) {
            let m = old.value;
            if let Some(kinds) = self.stock.get_mut(&m.region) {
                let kind = (m.machine_type, m.zone, m.spot);
                if let Some(n) = kinds.get_mut(&kind) {
                    *n -= 1;
                    if *n == 0 {
                        kinds.remove(&kind);
                    }
                }
            }
        }
        if let Some(value) = rec {
            let kind = (value.machine_type.clone(), value.zone.clone(), value.spot);
            let kinds = self.stock.entry(value.region.clone()).or_default();
            *kinds.entry(kind).or_default() += 1;
            self.machines
                .insert(name.to_owned(), Versioned { value, version });
        }
        self.touched.insert(name.to_owned());
    }

    fn enter_batch(&mut self, id: &str, rec: Option<MachineBatchRecord>, version: u64) {
        let old = self.batches.remove(id).map(|l| l.value);
        for (i, name) in old.iter().flat_map(|l| l.machines.iter().enumerate()) {
            let stays = rec
                .as_ref()
                .is_some_and(|r| r.machines.get(i) == Some(name));
            let ours = self.machines.get(name).is_some_and(|m| {
                m.value
                    .batch_position
                    .as_ref()
                    .is_some_and(|(l, _)| &**l == id)
            });
            if !stays && ours {
                self.enter_machine(name, None, version);
            }
        }
        let Some(rec) = rec else { return };
        let lot: Rc<str> = Rc::from(id);
        let opened = self.opened_in(&rec.region, id);
        for (i, name) in rec.machines.iter().enumerate() {
            // A record of its own, written by an earlier version, goes first.
            let own = self.machines.get(name).is_some_and(|m| {
                m.value
                    .batch_position
                    .as_ref()
                    .is_none_or(|(l, _)| &**l != id)
            });
            if name.is_empty() || own {
                continue;
            }
            let value = MachineRecord {
                region: rec.region.clone(),
                machine_type: rec.machine_type.clone(),
                zone: rec.zone.clone(),
                spot: rec.spot,
                activated: opened.contains(i as u32),
                batch_position: Some((lot.clone(), i)),
            };
            if self.machines.get(name).is_none_or(|m| m.value != value) {
                self.enter_machine(name, Some(value), version);
            }
        }
        self.batches.insert(
            id.to_owned(),
            Versioned {
                value: rec,
                version,
            },
        );
    }

    /// Which places of a lot were opened.
    fn opened_in(&self, region: &str, lot: &str) -> RangeSet {
        let mut set = RangeSet::default();
        let rolls = self
            .opened
            .range((region.to_owned(), 0)..=(region.to_owned(), u32::MAX));
        for (_, roll) in rolls {
            if let Some(bits) = roll.value.0.get(lot) {
                read_bitmap(bits, 0, &mut set);
            }
        }
        set
    }

    fn enter_opened(&mut self, region: &str, n: u32) {
        let Some(roll) = self.opened.get(&(region.to_owned(), n)) else {
            return;
        };
        for (lot, bits) in &roll.value.0 {
            let Some(l) = self.batches.get(lot) else {
                continue;
            };
            let mut set = RangeSet::default();
            read_bitmap(bits, 0, &mut set);
            for i in set.numbers() {
                let Some(name) = l.value.machines.get(i as usize) else {
                    break;
                };
                if let Some(m) = self.machines.get_mut(name) {
                    let here = m
                        .value
                        .batch_position
                        .as_ref()
                        .is_some_and(|(l, _)| **l == **lot);
                    if here && !m.value.activated {
                        m.value.activated = true;
                        self.touched.insert(name.clone());
                    }
                }
            }
        }
    }

    /// Enters an open job into the lists by region and team, or takes it out.
    fn count_job(&mut self, id: &str, enter: bool) {
        let Some(rec) = self.jobs.get(id) else { return };
        let Some(spec) = rec.value.open_spec() else {
            return;
        };
        let readiness = if enter {
            let spec = spec.stored_spec.as_ref().unwrap_or(spec).clone();
            let readiness = self.pipelines.insert(id, &spec, &self.jobs);
            // As it is to be served, from the first on: the lists go by it.
            let as_served = self.jobs.get(id).and_then(|r| r.value.spec.clone());
            let shaped = as_served.and_then(|s| self.pipelines.effective_spec(id, &s, &self.jobs));
            if let (Some(s), Some(r)) = (shaped, self.jobs.get_mut(id)) {
                r.value.spec = Some(s);
            }
            readiness
        } else {
            self.pipelines.remove(id, spec)
        };
        if readiness != Readiness::Ready {
            return;
        }
        let Some(rec) = self.jobs.get(id) else { return };
        let Some(spec) = rec.value.open_spec() else {
            return;
        };
        let key = (spec.submitted_at, id.to_owned());
        let need = spec.quota_per_task().times(spec.task_count as u64);
        let mut regions: Vec<&str> = rec
            .value
            .task_ranges
            .iter()
            .map(|range| &*range.region)
            .collect();
        regions.sort_unstable();
        regions.dedup();
        for r in regions {
            let n = self.level_one.entry(r.to_owned()).or_default();
            *n = if enter { *n + 1 } else { n.saturating_sub(1) };
        }
        let team = self.teams.entry(spec.team.clone()).or_default();
        if enter {
            team.insert(key, need);
            self.open.insert(id.to_owned());
            if rec.value.task_ranges.is_empty() {
                self.unbound.insert(id.to_owned());
            }
            if rec.value.multi_region.is_some() {
                self.joint.insert(id.to_owned());
            }
        } else {
            team.remove(&key);
            self.open.remove(id);
            self.unbound.remove(id);
            self.joint.remove(id);
        }
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

    /// How many tasks of a job are done on record. Counts the bits of a record as they
    /// stand, since it is asked for with every question about a job.
    pub fn done_count(&self, job: &str) -> u32 {
        let Some(chunks) = self.progress.get(job) else {
            return 0;
        };
        let mut by_chunk = chunks.iter();
        if let (Some((_, only)), None) = (by_chunk.next(), by_chunk.next()) {
            return count_bits(&only.value);
        }
        // Several regions may have found the same task done.
        self.done_tasks(job).len()
    }

    /// The submissions of jobs that are not over, by name.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord, &Rc<JobSpec>)> {
        self.open.iter().filter_map(|id| {
            let r = &self.jobs.get(id)?.value;
            Some((id, r, r.open_spec()?))
        })
    }
}

#[cfg(test)]
mod tests;
