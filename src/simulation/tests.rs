//! The tests that play days, by what the days are about.

pub(super) mod failures;
pub(super) mod lost_records;
pub(super) mod partial_failures;
pub(super) mod pipelines;
mod scale;
pub(super) mod seeded;
