//! The leader's term and the identifiers that are unique because of it.

use salttiller_records::units::Micros;

/// Flag in every attempt number of a multi-region gang, so that the number never equals an attempt
/// number that a region's owner chooses for its own gangs.
const MULTI_REGION_ATTEMPT_FLAG: u64 = 1 << 62;
/// Number of low bits of a multi-region attempt number that hold the sequence number of the term.
const ATTEMPT_SEQUENCE_BITS: u32 = 20;

/// One term of leadership, identified by the revision of the leader's record.
///
/// Invariant: no two terms have the same version, so an identifier derived from the version and the
/// sequence number is never issued twice, not even by another controller.
#[derive(Debug)]
pub(super) struct Term {
    version: u64,
    started_at: Micros,
    last_sequence: u64,
}

impl Term {
    /// Starts a term. `version` is the revision of the leader's record.
    pub(super) fn new(version: u64, now: Micros) -> Self {
        Term {
            version,
            started_at: now,
            last_sequence: 0,
        }
    }

    /// Revision of the leader's record; every write is conditional on this revision.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Age of the term.
    pub(super) fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }

    /// Returns a globally unique name made of host, term and sequence number. The name serves as
    /// the name of a machine batch or as the idempotency key of a rental request.
    pub(super) fn next_unique_name(&mut self, host: &str) -> String {
        let sequence = self.next_sequence();
        format!("{host}-{}-{sequence}", self.version)
    }

    /// Returns an attempt number that no region's owner and no other term ever uses.
    pub(super) fn next_attempt(&mut self) -> u64 {
        let sequence_mask = (1 << ATTEMPT_SEQUENCE_BITS) - 1;
        let sequence = self.next_sequence() & sequence_mask;
        MULTI_REGION_ATTEMPT_FLAG | (self.version << ATTEMPT_SEQUENCE_BITS) | sequence
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

#[cfg(test)]
mod tests;
