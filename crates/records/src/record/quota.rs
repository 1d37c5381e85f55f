//! The record of a team's quota.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::amount::QuotaAmount;

/// `quota/TEAM`: the shares of the regions in a team's limit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuotaRecord {
    /// Share of each region, by the region's name. A region without a share has no entry.
    pub shares: BTreeMap<String, QuotaAmount>,
}
