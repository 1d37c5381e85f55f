//! Tests of the region: a fixture, a test cluster, and the tests by what they are about.

mod fixture;
mod job_ends;
mod ownership;
mod placement;
mod quotas;
mod scheduling_order;
mod test_cluster;

pub(super) use test_cluster::TestCluster;
