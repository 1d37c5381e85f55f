//! Records of machines: in batches, or one each as versions before 0.2 wrote them.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Position of a machine in a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPosition {
    /// Id of the batch.
    pub batch: Rc<str>,
    /// Index among the machines of the batch.
    pub index: usize,
}

/// A machine as the records show it: either a record `machine/NAME` of its own, as
/// versions before 0.2 wrote it, or a position in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Region; a machine never changes it.
    pub region: String,
    /// Type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
    /// Set by the owner before it starts the first task on the machine: without it no
    /// controller has ever started one there.
    #[serde(rename = "opened", default)]
    pub activated: bool,
    /// The batch it is in, and its position there.
    #[serde(skip)]
    pub batch_position: Option<BatchPosition>,
}

/// `lot/ID`: a batch of machines of one pool that were provisioned together and are
/// assigned to a region together. One record for many machines: a record for each would
/// cost more changes than the state service allows when thousands are provisioned at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineBatchRecord {
    /// Region; a machine never changes it.
    #[serde(rename = "r")]
    pub region: String,
    /// Type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot or on-demand.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Names; an empty one was a machine that is proved gone. Positions never shift,
    /// since the activation bitmaps count by them.
    #[serde(rename = "m")]
    pub machines: Vec<String>,
}

/// `roll/REGION/N`: which machines of batches were activated. Written by the
/// region's owner before it starts the first task on a machine: on one that isn't in it no
/// controller has ever started a task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ActivationRecord {
    /// By batch, the bitmap of its activated machines.
    pub bitmaps: BTreeMap<String, String>,
}

/// Most machines of a batch: what one scale-out request returns at the most.
pub const MAX_BATCH: usize = 50;
/// Most batches of one activation record, so that it stays below 2 KB.
pub const MAX_ACTIVATION_BATCHES: usize = 40;
