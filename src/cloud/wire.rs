//! MessagePack encoding of the cloud's API. The API's field names appear only in this module.

use serde::{Deserialize, Serialize};

use super::client::CloudError;
use super::inventory::ListedMachine;
use super::offer::Offer;
use salttiller_records::model::MachineType;
use salttiller_records::units;

/// State in which the cloud lists a machine that has stopped without having been released.
const FAILED_STATE: &str = "failed";
/// Error with which the cloud refuses a rental for lack of capacity.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// Response with the machine types that the cloud offers.
#[derive(Deserialize)]
struct MachineTypesMessage {
    #[serde(rename = "plots")]
    machine_types: Vec<MachineTypeMessage>,
}

#[derive(Deserialize)]
struct MachineTypeMessage {
    #[serde(rename = "label")]
    name: String,
    #[serde(rename = "cores")]
    cpus: f64,
    #[serde(default, rename = "cards")]
    gpus: f64,
    #[serde(rename = "memoryGb")]
    memory_gb: f64,
    #[serde(default, rename = "pullGbPerS")]
    fetch_gb_per_second: f64,
    price: f64,
    #[serde(default, rename = "lowPrice")]
    spot_price: f64,
    #[serde(default, rename = "startupS")]
    boot_seconds: f64,
    #[serde(default, rename = "fields")]
    zones: Vec<String>,
}

impl From<MachineTypeMessage> for MachineType {
    fn from(message: MachineTypeMessage) -> Self {
        MachineType {
            name: message.name,
            cpus: units::round_down_to_millionths(message.cpus),
            gpus: units::round_down_to_millionths(message.gpus),
            memory: units::round_down_to_millionths(message.memory_gb),
            fetch_rate: units::round_down_to_millionths(message.fetch_gb_per_second),
            price: units::round_down_to_millionths(message.price),
            spot_price: units::round_down_to_millionths(message.spot_price),
            boot_time: units::from_seconds(message.boot_seconds),
            zones: message.zones,
        }
    }
}

/// Body of a rental request. The fields are sent in this order, sorted by their wire names.
#[derive(Serialize)]
struct RentMessage<'a> {
    count: u32,
    #[serde(rename = "fallow")]
    spot: bool,
    #[serde(rename = "field")]
    zone: &'a str,
    #[serde(rename = "plot")]
    machine_type: &'a str,
    #[serde(rename = "tenancy")]
    idempotency_key: &'a str,
}

/// Names of machines: the machines to release, or the machines that were rented.
#[derive(Serialize, Deserialize)]
struct MachineNamesMessage {
    #[serde(rename = "tillers")]
    names: Vec<String>,
}

/// Response with a page of the inventory.
#[derive(Deserialize)]
struct InventoryMessage {
    #[serde(rename = "tillers")]
    machines: Vec<ListedMachineMessage>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct ListedMachineMessage {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(rename = "plot")]
    machine_type: String,
    #[serde(rename = "field")]
    zone: String,
    #[serde(default, rename = "fallow")]
    spot: bool,
    #[serde(default, rename = "stage")]
    state: String,
    #[serde(default, rename = "heldS")]
    age_seconds: f64,
}

impl From<ListedMachineMessage> for ListedMachine {
    fn from(message: ListedMachineMessage) -> Self {
        ListedMachine {
            name: message.name,
            offer: Offer {
                machine_type: message.machine_type,
                zone: message.zone,
                spot: message.spot,
            },
            failed: message.state == FAILED_STATE,
            age: units::from_seconds(message.age_seconds),
        }
    }
}

/// Body of the response to a refused request.
#[derive(Deserialize)]
struct RefusalMessage {
    error: String,
}

/// A decoded page of the inventory.
pub(super) struct InventoryPage {
    /// Machines of the page, ordered by name.
    pub(super) machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    pub(super) more: bool,
}

/// Encodes the body of a rental request.
pub(super) fn encode_rent(offer: &Offer, count: u32, idempotency_key: &str) -> Vec<u8> {
    encode(&RentMessage {
        count,
        spot: offer.spot,
        zone: &offer.zone,
        machine_type: &offer.machine_type,
        idempotency_key,
    })
}

/// Encodes the body of a release request.
pub(super) fn encode_release(names: &[String]) -> Vec<u8> {
    encode(&MachineNamesMessage {
        names: names.to_vec(),
    })
}

/// Decodes the machine types that the cloud offers.
pub(super) fn decode_machine_types(body: &[u8]) -> Result<Vec<MachineType>, CloudError> {
    let message: MachineTypesMessage = rmp_serde::from_slice(body)?;
    Ok(message.machine_types.into_iter().map(Into::into).collect())
}

/// Decodes the names of the machines that were rented.
pub(super) fn decode_rented(body: &[u8]) -> Result<Vec<String>, CloudError> {
    let message: MachineNamesMessage = rmp_serde::from_slice(body)?;
    Ok(message.names)
}

/// Decodes a page of the inventory.
pub(super) fn decode_inventory(body: &[u8]) -> Result<InventoryPage, CloudError> {
    let message: InventoryMessage = rmp_serde::from_slice(body)?;
    Ok(InventoryPage {
        machines: message.machines.into_iter().map(Into::into).collect(),
        more: message.more,
    })
}

/// Whether the body of a refusal reports a lack of capacity.
pub(super) fn is_no_capacity(body: &[u8]) -> bool {
    rmp_serde::from_slice::<RefusalMessage>(body)
        .is_ok_and(|refusal| refusal.error == NO_CAPACITY_ERROR)
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    // Encoding can't fail: messages consist only of maps, lists, strings, booleans and numbers.
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
