//! Whether this process can serve: what the readiness probe reports, and what requests at start-up wait for.

use crate::data_plane::DataPlane;
use crate::freshness::Freshness;
use crate::graceful_shutdown::GracefulShutdown;
use std::rc::Rc;

/// Combines configuration, endpoints, freshness and shutdown into one verdict.
pub struct Readiness {
    data_plane: Rc<DataPlane>,
    freshness: Rc<Freshness>,
    shutdown: Rc<GracefulShutdown>,
}

impl Readiness {
    /// Reads the given state.
    pub fn new(data_plane: Rc<DataPlane>, freshness: Rc<Freshness>, shutdown: Rc<GracefulShutdown>) -> Self {
        Readiness { data_plane, freshness, shutdown }
    }

    /// Whether the platform should send clients here.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.can_serve() && self.freshness.is_fresh_for_readiness()
    }

    /// Whether requests can be forwarded: a current configuration and ready endpoints are known.
    pub fn can_serve(&self) -> bool {
        self.data_plane.configuration.is_present()
            && self.data_plane.balancer.borrow().has_ready_endpoint()
            && self.freshness.is_fresh()
    }
}
