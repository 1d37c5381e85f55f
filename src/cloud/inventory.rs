//! The cloud's inventory: the list of rented machines, which is read page by page.

use super::offer::Offer;
use super::wire::InventoryPage;
use salttiller_records::units::Micros;

/// Number of machines per page; the cloud's maximum.
const PAGE_SIZE: usize = 500;
/// Maximum number of machines that are read; unknown machines beyond it are not detected. Each
/// machine takes about 100 bytes while the inventory is being read.
const MAX_MACHINES: usize = 50_000;

/// A machine in the cloud's inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// Name of the machine.
    pub name: String,
    /// The offer from which the machine was rented.
    pub offer: Offer,
    /// Whether the machine has stopped without having been released.
    pub failed: bool,
    /// Time since the machine was rented, by the cloud's clock.
    pub age: Micros,
}

/// Pages of the inventory that have been read so far.
#[derive(Debug, Clone, Default)]
pub(super) struct InventoryRead {
    machines: Vec<ListedMachine>,
}

/// Result of adding a page to the inventory.
pub(super) enum PageOutcome {
    /// The cloud has more pages, and another one must be read.
    Incomplete(InventoryRead),
    /// The inventory is complete, or has reached [`MAX_MACHINES`].
    Complete(Vec<ListedMachine>),
}

impl InventoryRead {
    /// Returns the path and query of the next page.
    pub(super) fn target(&self) -> String {
        match self.machines.last() {
            Some(last) => format!("/machines?from={}&page={PAGE_SIZE}", last.name),
            None => format!("/machines?page={PAGE_SIZE}"),
        }
    }

    /// Adds a page that was read.
    pub(super) fn add_page(&self, page: InventoryPage) -> PageOutcome {
        let mut machines = self.machines.clone();
        machines.extend(page.machines);
        if page.more && machines.len() < MAX_MACHINES {
            return PageOutcome::Incomplete(InventoryRead { machines });
        }
        if page.more {
            log::error!("the cloud lists more than {MAX_MACHINES} machines, ignoring the rest");
        }
        PageOutcome::Complete(machines)
    }
}
