//! The committed configuration as seen by the request path: an immutable snapshot that is replaced as a whole.
//!
//! A request that holds a snapshot keeps a consistent view. The index tells whether the snapshot is still the
//! current one.

use passrelay_configuration::{Rollouts, ServiceVersions};
use passrelay_data_plane::routing::RoutingTable;
use std::cell::RefCell;
use std::rc::Rc;

/// A committed configuration.
pub struct ConfigurationSnapshot {
    /// Routes, services, tenants and limits, indexed for lookups.
    pub table: RoutingTable,
    /// Position in the sequence of committed changes.
    pub index: u64,
    /// The version in service of each service; only endpoints of this version receive its regular requests.
    pub service_versions: ServiceVersions,
    /// The rollouts by service.
    pub rollouts: Rollouts,
}

/// Holds the snapshot in force; empty before the first configuration has arrived.
#[derive(Default)]
pub struct CurrentConfiguration {
    snapshot: RefCell<Option<Rc<ConfigurationSnapshot>>>,
}

impl CurrentConfiguration {
    /// Returns the snapshot in force, or `None` before the first configuration has arrived.
    pub fn snapshot(&self) -> Option<Rc<ConfigurationSnapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Returns whether a configuration is in force.
    pub fn is_present(&self) -> bool {
        self.snapshot.borrow().is_some()
    }

    /// Puts a snapshot in force.
    pub fn replace(&self, snapshot: ConfigurationSnapshot) {
        *self.snapshot.borrow_mut() = Some(Rc::new(snapshot));
    }
}
