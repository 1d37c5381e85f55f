//! The leader's term and the identifiers that are unique because of it.

use salttiller_records::units::Micros;

/// Set in every attempt number of a gang over several regions, so that it never equals an
/// attempt number that a region's owner chooses for its own gangs.
const MULTI_REGION_ATTEMPT_FLAG: u64 = 1 << 62;
/// Bits of such an attempt number that hold the sequence number within the term.
const ATTEMPT_SEQUENCE_BITS: u32 = 20;

/// One term of leadership, named by the revision of the leader's record.
///
/// Invariant: no two terms have the same version, so what is derived from the version and the
/// sequence number is never issued twice, by no other controller either.
#[derive(Debug)]
pub(super) struct Term {
    version: u64,
    started_at: Micros,
    last_sequence: u64,
}

impl Term {
    /// A term that begins with the leader's record at this revision.
    pub(super) fn new(version: u64, now: Micros) -> Self {
        Term {
            version,
            started_at: now,
            last_sequence: 0,
        }
    }

    /// Revision of the leader's record; every write names it as a condition.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// How long the term has lasted.
    pub(super) fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }

    /// A name that nobody has ever used: host, term, sequence number. Names machine batches and
    /// serves as idempotency key of rental requests.
    pub(super) fn next_unique_name(&mut self, host: &str) -> String {
        let sequence = self.next_sequence();
        format!("{host}-{}-{sequence}", self.version)
    }

    /// An attempt number that no owner and no other term ever uses.
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
