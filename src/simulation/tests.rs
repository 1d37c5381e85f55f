//! Tests that run simulated days, grouped by subject.

pub(super) mod failures;
mod full_reads;
pub(super) mod lost_records;
pub(super) mod partial_failures;
mod partly_done;
pub(super) mod pipelines;
mod scale;
pub(super) mod seeded;
