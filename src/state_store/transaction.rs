//! Transactions: changes of records under conditions, as they are sent to the state service.

use salttiller_records::key::Key;
use serde_json::{json, Value};

use crate::fault_injection::{is_disabled, Safeguard};

/// A change of records, all or nothing.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// Records it relies on, with the revision they must have (0: absent).
    pub conditions: Vec<(Key, u64)>,
    /// Puts, and deletions (`None`).
    pub changes: Vec<(Key, Option<Value>)>,
    /// Attach the puts of this key to the lease with this id.
    pub lease: Option<(Key, u64)>,
}

impl Transaction {
    /// The key of the first change as text, for logs.
    pub(super) fn first_key(&self) -> String {
        let first = self.changes.first();
        first.map_or_else(String::new, |(key, _)| key.text())
    }

    /// The body of the request that commits it.
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
