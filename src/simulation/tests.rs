//! The tests that play days, by what the days are about.

pub mod failures;
pub mod lost_records;
pub mod partial_failures;
pub mod pipelines;
mod scale;
pub mod seeded;
