//! The record of a hold after records were lost.

use serde::{Deserialize, Serialize};

use crate::units::Micros;

/// `hold`: a controller found that the state service lost records, and all controllers hold
/// until operators decide. Versions before 0.6 ignore it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataLossHoldRecord {
    /// A random number that identifies the loss.
    pub incident: u64,
    /// Host name of the controller that found it.
    pub by: String,
    /// Time of day at which it was found.
    pub at: Micros,
    /// The finding, for operators.
    pub seen: String,
    /// Set when operators decided to go on with the records that there are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<AcceptedLoss>,
}

/// An operator's decision to go on with the records that there are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedLoss {
    /// Name of the operator.
    pub by: String,
    /// Time of day of the decision.
    pub at: Micros,
    /// Reason given.
    pub why: String,
}
