//! The cloud's inventory: the list of rented machines, which is read page by page.

use super::offer::Offer;
use super::wire::InventoryPage;
use salttiller_records::units::{Micros, SECOND};

/// Number of machines per page; the cloud's maximum.
const PAGE_SIZE: usize = 500;
/// Maximum number of machines that are read; unknown machines beyond it are not detected. Each
/// machine takes about 100 bytes while the inventory is being read.
const MAX_MACHINES: usize = 50_000;
/// Age of the first page from which a failed read begins again instead of being continued. An
/// older list would be of little use, because it lacks the machines rented meanwhile.
const MAX_READ_AGE: Micros = 30 * SECOND;

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

/// A complete inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// All machines, in the order of their names.
    pub machines: Vec<ListedMachine>,
    /// Time at which the first page was requested. No page is older, apart from the delay of the
    /// cloud's list.
    pub read_since: Micros,
}

/// Pages of the inventory that have been read so far.
#[derive(Debug, Clone, Default)]
pub(super) struct InventoryRead {
    machines: Vec<ListedMachine>,
    /// Time at which the first page was requested, if it was.
    read_since: Option<Micros>,
}

/// Result of adding a page to the inventory.
pub(super) enum PageOutcome {
    /// The cloud has more pages, and another one must be read.
    Incomplete(InventoryRead),
    /// The inventory is complete, or has reached [`MAX_MACHINES`].
    Complete(Inventory),
}

impl InventoryRead {
    /// Returns the path and query of the next page.
    pub(super) fn target(&self) -> String {
        match self.machines.last() {
            Some(last) => format!("/machines?from={}&page={PAGE_SIZE}", last.name),
            None => format!("/machines?page={PAGE_SIZE}"),
        }
    }

    /// Records that the next page is requested.
    pub(super) fn sent(&mut self, now: Micros) {
        self.read_since.get_or_insert(now);
    }

    /// Whether pages have been read with which a failed read can be continued.
    pub(super) fn is_worth_continuing(&self, now: Micros) -> bool {
        let is_recent = self
            .read_since
            .is_some_and(|since| now < since + MAX_READ_AGE);
        is_recent && !self.machines.is_empty()
    }

    /// Adds a page that was read.
    pub(super) fn add_page(mut self, page: InventoryPage) -> PageOutcome {
        self.machines.extend(page.machines);
        if page.more && self.machines.len() < MAX_MACHINES {
            return PageOutcome::Incomplete(self);
        }
        if page.more {
            log::error!("the cloud lists more than {MAX_MACHINES} machines, ignoring the rest");
        }
        PageOutcome::Complete(Inventory {
            machines: self.machines,
            read_since: self.read_since.unwrap_or(0),
        })
    }
}
