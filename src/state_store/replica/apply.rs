//! Applies changes to the replica: those that the state service reports and those that this
//! process committed.

use std::collections::BTreeMap;

use salttiller_records::key::Key;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{ActivationKey, ProgressKey, Replica, Versioned};

/// Puts or deletes a record of a kind with many records.
fn write_entry<K: Ord, T: DeserializeOwned>(
    records: &mut BTreeMap<K, Versioned<T>>,
    key: K,
    value: Option<Value>,
    version: u64,
) -> Result<(), serde_json::Error> {
    match value {
        Some(value) => {
            let value = serde_json::from_value(value)?;
            records.insert(key, Versioned { value, version });
        }
        None => {
            records.remove(&key);
        }
    }
    Ok(())
}

/// Puts or deletes the record of a kind with a single record.
fn write_single<T: DeserializeOwned>(
    record: &mut Option<Versioned<T>>,
    value: Option<Value>,
    version: u64,
) -> Result<(), serde_json::Error> {
    let value = parse(value)?;
    *record = value.map(|value| Versioned { value, version });
    Ok(())
}

fn parse<T: DeserializeOwned>(value: Option<Value>) -> Result<Option<T>, serde_json::Error> {
    value.map(serde_json::from_value).transpose()
}

impl Replica {
    /// Applies a change that the state service reported. Returns the key if the replica
    /// changed.
    pub fn apply_event(&mut self, key: &str, value: Option<Value>, version: u64) -> Option<Key> {
        let Some(key) = Key::parse(key) else {
            log::debug!("key={key}: unknown kind of record, ignored");
            return None;
        };
        // Guards against a late response to an older read. The replica is complete up to its
        // revision, and a record in such a response may have been deleted since.
        if version <= self.revision || self.is_known(&key, version) {
            return None;
        }
        self.write(&key, value, version).then_some(key)
    }

    /// Applies a change that this controller committed with the revision `version`.
    pub fn apply_own(&mut self, key: &Key, value: Option<Value>, version: u64) {
        if self.is_known(key, version) {
            return;
        }
        if version > self.revision {
            self.own_changes.insert(key.clone(), version);
        }
        self.write(key, value, version);
    }

    /// Whether this version of a record, or a later one, has been applied.
    fn is_known(&self, key: &Key, version: u64) -> bool {
        version <= self.version(key) || self.own_changes.get(key).is_some_and(|own| version <= *own)
    }

    /// Marks the replica as complete up to `revision`.
    pub fn complete_up_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let complete = self.revision;
        self.own_changes.retain(|_, version| *version > complete);
    }

    /// Writes a record and updates the indexes. Returns whether the value could be decoded.
    fn write(&mut self, key: &Key, value: Option<Value>, version: u64) -> bool {
        let written = self.write_record(key, value, version);
        if let Err(error) = &written {
            // The replica keeps the last readable value. An unreadable record is damaged or
            // was written by a later version of this program.
            log::error!("key={}: record can't be read: {error}", key.text());
        }
        let is_machine_record = matches!(
            key,
            Key::Machine(_) | Key::MachineBatch(_) | Key::Activation(..)
        );
        if is_machine_record && written.is_ok() {
            self.unreadable_machine_records.remove(key);
        } else if is_machine_record {
            self.unreadable_machine_records.insert(key.clone());
        }
        written.is_ok()
    }

    fn write_record(
        &mut self,
        key: &Key,
        value: Option<Value>,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        match key {
            Key::Leader => write_single(&mut self.leader, value, version),
            Key::Token => write_single(&mut self.token, value, version),
            Key::DataLossHold => write_single(&mut self.data_loss_hold, value, version),
            Key::Region(region) => write_entry(&mut self.regions, region.clone(), value, version),
            Key::Machine(machine) => {
                self.set_machine(machine, parse(value)?, version);
                Ok(())
            }
            Key::MachineBatch(batch) => {
                self.set_batch(batch, parse(value)?, version);
                Ok(())
            }
            Key::Activation(region, number) => {
                self.write_activation(region, *number, value, version)
            }
            Key::Job(job) => self.write_job(job, value, version),
            Key::Quota(team) => write_entry(&mut self.quotas, team.clone(), value, version),
            Key::MachineType(name) => {
                write_entry(&mut self.machine_types, name.clone(), value, version)
            }
            Key::Progress(job, region, chunk) => {
                self.write_progress(job, region, *chunk, value, version)
            }
        }
    }

    fn write_activation(
        &mut self,
        region: &str,
        number: u32,
        value: Option<Value>,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        let key = ActivationKey {
            region: region.to_owned(),
            number,
        };
        write_entry(&mut self.activations, key.clone(), value, version)?;
        self.activate_machines(&key);
        Ok(())
    }

    fn write_job(
        &mut self,
        job: &str,
        value: Option<Value>,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        let dependencies = self
            .open_spec(job)
            .map_or_else(Vec::new, |spec| spec.dependencies.clone());
        self.remove_from_indexes(job);
        let written = write_entry(&mut self.jobs, job.to_owned(), value, version);
        self.add_to_indexes(job);
        written?;
        self.update_dependents(job);
        // The dependencies of a job no longer inherit from the job once it has ended.
        if self.open_spec(job).is_none() {
            for dependency in dependencies {
                self.propagate(&dependency);
            }
        }
        Ok(())
    }

    fn write_progress(
        &mut self,
        job: &str,
        region: &str,
        chunk: u32,
        value: Option<Value>,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        let chunks = self.progress.entry(job.to_owned()).or_default();
        let key = ProgressKey {
            region: region.to_owned(),
            chunk,
        };
        let written = write_entry(chunks, key, value, version);
        if chunks.is_empty() {
            self.progress.remove(job);
        }
        written
    }
}
