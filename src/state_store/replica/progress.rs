//! Finished tasks on record.

use salttiller_records::bitmap::{count_bits, decode_bitmap};
use salttiller_records::model::RangeSet;

use super::{ProgressKey, Replica, Versioned};

impl Replica {
    /// The bitmap of finished tasks of a job's chunk that a region recorded.
    pub fn progress(&self, job: &str, region: &str, chunk: u32) -> Option<&Versioned<String>> {
        self.progress.get(job)?.get(&ProgressKey {
            region: region.to_owned(),
            chunk,
        })
    }

    /// Finished tasks of a job that are on record, over all regions.
    pub fn done_tasks(&self, job: &str) -> RangeSet {
        let mut done = RangeSet::default();
        for (key, bitmap) in self.progress.get(job).into_iter().flatten() {
            decode_bitmap(&bitmap.value, key.chunk, &mut done);
        }
        done
    }

    /// How many tasks of a job are done on record. Counts the bits of a single record as
    /// they are, since it is called with every request about a job.
    pub fn done_count(&self, job: &str) -> u32 {
        let Some(chunks) = self.progress.get(job) else {
            return 0;
        };
        let mut bitmaps = chunks.values();
        if let (Some(only), None) = (bitmaps.next(), bitmaps.next()) {
            return count_bits(&only.value);
        }
        // Several regions may have found the same task done.
        self.done_tasks(job).len()
    }
}
