//! The record of a data-loss hold, during which the controllers start and accept no work.

use serde::{Deserialize, Serialize};

use crate::units::Micros;

/// `hold`: a controller found that the state service lost records. All controllers hold until
/// operators decide how to proceed. Versions before 0.6 ignore this record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataLossHoldRecord {
    /// Random id of the loss.
    pub incident: u64,
    /// Host name of the controller that found the loss.
    pub by: String,
    /// Wall-clock time at which the loss was found.
    pub at: Micros,
    /// Text of the finding, for operators.
    pub seen: String,
    /// Decision of operators to continue with the remaining records, once it is made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<AcceptedLoss>,
}

/// An operator's decision to continue with the remaining records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedLoss {
    /// Name of the operator.
    pub by: String,
    /// Wall-clock time of the decision.
    pub at: Micros,
    /// Reason for the decision, as given by the operator.
    pub why: String,
}
