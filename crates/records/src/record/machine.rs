//! Records of machines. Machines are stored in batches; versions before 0.2 stored one record for
//! each machine.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Position of a machine in a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPosition {
    /// Id of the batch.
    pub batch: Rc<str>,
    /// Index of the machine in the batch.
    pub index: usize,
}

/// A machine according to the records. A machine is stored either in a batch or, by versions before
/// 0.2, in its own record `machine/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Region of the machine, which never changes.
    pub region: String,
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Whether the machine is activated. The region's owner sets this flag before it starts the
    /// first task on the machine, so no controller has ever started a task on a machine without it.
    #[serde(rename = "opened", default)]
    pub activated: bool,
    /// Position in a batch, if the machine is stored in one.
    #[serde(skip)]
    pub batch_position: Option<BatchPosition>,
}

/// `lot/ID`: a batch of machines of one pool that were provisioned together and are assigned to a
/// region together. The machines share a record because the state service's write limit does not
/// allow one record per machine when thousands of machines are provisioned at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineBatchRecord {
    /// Region of the machines, which never changes.
    #[serde(rename = "r")]
    pub region: String,
    /// Name of the machine type.
    #[serde(rename = "f")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machines are spot machines.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Names of the machines. An empty name replaces the name of a machine that is proven gone.
    /// Positions never change, because the activation bitmaps refer to them.
    #[serde(rename = "m")]
    pub machines: Vec<String>,
}

/// `roll/REGION/N`: which machines of a region's batches were activated. The region's owner
/// activates a machine before it starts the first task on it, so no controller has ever started a
/// task on a machine that is not in this record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ActivationRecord {
    /// Bitmaps of the activated machines, by batch id.
    pub bitmaps: BTreeMap<String, String>,
}

/// Maximum number of machines per batch, which is the maximum that one scale-out request returns.
pub const MAX_BATCH: usize = 50;
/// Maximum number of batches per activation record, which keeps the record below 2 KB.
pub const MAX_ACTIVATION_BATCHES: usize = 40;
