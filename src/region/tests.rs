//! Tests of the region scheduler by topic, with a fixture for single steps and a test cluster for
//! longer runs.

pub(in crate::region) mod fixture;
mod job_ends;
mod ownership;
mod placement;
mod quotas;
mod scheduling_order;
mod start_copies;
mod test_cluster;

pub(super) use test_cluster::TestCluster;
