//! Access to the records of finished tasks.

use salttiller_records::bitmap::{count_bits, decode_bitmap};
use salttiller_records::model::RangeSet;

use super::{ProgressKey, Replica, Versioned};

impl Replica {
    /// Returns the bitmap of finished tasks that a region recorded for a chunk of a job.
    pub fn progress(&self, job: &str, region: &str, chunk: u32) -> Option<&Versioned<String>> {
        self.progress.get(job)?.get(&ProgressKey {
            region: region.to_owned(),
            chunk,
        })
    }

    /// Returns the recorded finished tasks of a job, over all regions.
    pub fn done_tasks(&self, job: &str) -> RangeSet {
        let mut done = RangeSet::default();
        for (key, bitmap) in self.progress.get(job).into_iter().flatten() {
            decode_bitmap(&bitmap.value, key.chunk, &mut done);
        }
        done
    }

    /// Returns the number of recorded finished tasks of a job. A single record is counted
    /// without decoding, because every request about a job calls this function.
    pub fn done_count(&self, job: &str) -> u32 {
        let Some(chunks) = self.progress.get(job) else {
            return 0;
        };
        let mut bitmaps = chunks.values();
        if let (Some(only), None) = (bitmaps.next(), bitmaps.next()) {
            return count_bits(&only.value);
        }
        // Several regions may have recorded the same task as finished.
        self.done_tasks(job).len()
    }
}
