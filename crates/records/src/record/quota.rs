//! The record of a team's quota.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::amount::QuotaAmount;

/// `quota/TEAM`: how a team's limit is shared out among the regions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuotaRecord {
    /// Each region's share. Regions without one have no entry.
    pub shares: BTreeMap<String, QuotaAmount>,
}
