//! The committed configuration as the request path reads it: an immutable snapshot, replaced whole.
//!
//! A request that holds a snapshot keeps its view; whether it is still the current one is decided by the
//! index.

use passrelay_configuration::{Rollouts, ServiceVersions};
use passrelay_data_plane::routing::RoutingTable;
use std::cell::RefCell;
use std::rc::Rc;

/// One committed configuration.
pub struct ConfigurationSnapshot {
    /// Routes, services, tenants and limits.
    pub table: RoutingTable,
    /// Position in the sequence of committed changes.
    pub index: u64,
    /// The version of each service whose endpoints get requests.
    pub service_versions: ServiceVersions,
    /// The roll-outs.
    pub rollouts: Rollouts,
}

/// The snapshot in force, none before the first configuration has arrived.
#[derive(Default)]
pub struct CurrentConfiguration {
    snapshot: RefCell<Option<Rc<ConfigurationSnapshot>>>,
}

impl CurrentConfiguration {
    /// The snapshot in force.
    pub fn snapshot(&self) -> Option<Rc<ConfigurationSnapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Whether any configuration is in force.
    pub fn is_present(&self) -> bool {
        self.snapshot.borrow().is_some()
    }

    /// Puts a snapshot in force.
    pub fn replace(&self, snapshot: ConfigurationSnapshot) {
        *self.snapshot.borrow_mut() = Some(Rc::new(snapshot));
    }
}
