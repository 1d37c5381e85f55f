//! Transactions: conditional changes of records, and their form on the wire.

use salttiller_records::key::Key;
use serde_json::{json, Value};

use crate::fault_injection::{is_disabled, Safeguard};

/// An atomic, conditional change of records.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Records that must be unchanged, each with its expected revision (0: absent).
    pub conditions: Vec<(Key, u64)>,
    /// Records to put, or to delete if the value is `None`.
    pub changes: Vec<(Key, Option<Value>)>,
    /// Key whose put is attached to the lease with this id.
    pub lease: Option<(Key, u64)>,
}

impl Transaction {
    /// Returns the key of the first change as text, for logs.
    pub(super) fn first_key(&self) -> String {
        let first = self.changes.first();
        first.map_or_else(String::new, |(key, _)| key.text())
    }

    /// Returns the body of the commit request.
    pub(super) fn request_body(&self) -> Value {
        let conditions: &[_] = if is_disabled(Safeguard::RevisionConditions) {
            &[]
        } else {
            &self.conditions
        };
        let when: Vec<Value> = conditions
            .iter()
            .map(|(key, revision)| json!({"k": key.text(), "mark": revision}))
            .collect();
        let apply: Vec<Value> = self
            .changes
            .iter()
            .map(|(key, value)| self.change(key, value.as_ref()))
            .collect();
        json!({"when": when, "apply": apply})
    }

    fn change(&self, key: &Key, value: Option<&Value>) -> Value {
        match (value, &self.lease) {
            (None, _) => json!({"delete": key.text()}),
            (Some(value), Some((leased, id))) if leased == key => {
                json!({"put": key.text(), "value": value, "tenure": id})
            }
            (Some(value), _) => json!({"put": key.text(), "value": value}),
        }
    }
}
