//! Readiness of this process, as reported by the readiness probe and awaited by requests during startup.

use crate::data_plane::DataPlane;
use crate::freshness::Freshness;
use crate::graceful_shutdown::GracefulShutdown;
use std::rc::Rc;

/// Determines readiness from configuration, endpoints, freshness and shutdown state.
pub struct Readiness {
    data_plane: Rc<DataPlane>,
    freshness: Rc<Freshness>,
    shutdown: Rc<GracefulShutdown>,
}

impl Readiness {
    /// Creates a readiness check of the given state.
    pub fn new(data_plane: Rc<DataPlane>, freshness: Rc<Freshness>, shutdown: Rc<GracefulShutdown>) -> Self {
        Readiness { data_plane, freshness, shutdown }
    }

    /// Returns whether the platform should send clients to this process.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.can_serve() && self.freshness.is_fresh_for_readiness()
    }

    /// Returns whether requests can be forwarded: a fresh configuration and ready endpoints are known.
    pub fn can_serve(&self) -> bool {
        self.data_plane.configuration.is_present()
            && self.data_plane.balancer.borrow().has_ready_endpoint()
            && self.freshness.is_fresh()
    }
}
