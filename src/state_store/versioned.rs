//! A record together with the revision of its last change.

/// A record with the revision of its last change.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// Revision of the record's last change.
    pub version: u64,
}
