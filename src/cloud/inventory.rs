//! The cloud's inventory: the list of rented machines, read page by page.

use super::offer::Offer;
use super::wire::InventoryPage;
use salttiller_records::units::Micros;

/// Machines of a page: the most that the cloud gives.
const PAGE_SIZE: usize = 500;
/// Most machines that are read; those beyond it are not found if they are unknown. Some 100
/// bytes each, for as long as the inventory is read.
const MAX_MACHINES: usize = 50_000;

/// A machine in the cloud's inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// Name.
    pub name: String,
    /// The offer it was rented from.
    pub offer: Offer,
    /// Whether it has stopped by itself.
    pub failed: bool,
    /// Time since it was rented, by the cloud's clock.
    pub age: Micros,
}

/// An inventory that is being read: the pages so far.
#[derive(Debug, Clone, Default)]
pub(super) struct InventoryRead {
    machines: Vec<ListedMachine>,
}

/// What follows a page of the inventory.
pub(super) enum NextPage {
    /// Another page is to be read.
    Follows(InventoryRead),
    /// The inventory is complete, or as long as is read.
    Complete(Vec<ListedMachine>),
}

impl InventoryRead {
    /// Path and query of the next page.
    pub(super) fn target(&self) -> String {
        match self.machines.last() {
            Some(last) => format!("/machines?from={}&page={PAGE_SIZE}", last.name),
            None => format!("/machines?page={PAGE_SIZE}"),
        }
    }

    /// Adds a page.
    pub(super) fn add(&self, page: InventoryPage) -> NextPage {
        let mut machines = self.machines.clone();
        machines.extend(page.machines);
        if page.more && machines.len() < MAX_MACHINES {
            return NextPage::Follows(InventoryRead { machines });
        }
        if page.more {
            log::error!("the cloud lists more than {MAX_MACHINES} machines");
        }
        NextPage::Complete(machines)
    }
}
