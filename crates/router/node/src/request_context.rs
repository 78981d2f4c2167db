//! The parts of the process that the request path may use. It has no access to settings, storage or the
//! coordinator.

use crate::clock::Clock;
use crate::coordinator_driver::CoordinatorDriver;
use crate::data_plane::DataPlane;
use crate::freshness::Freshness;
use crate::graceful_shutdown::GracefulShutdown;
use crate::readiness::Readiness;
use crate::resources::Resources;
use crate::tasks::Spawner;
use std::rc::Rc;
use std::time::Duration;

/// State shared by the client listener, its connections and their requests.
pub struct RequestContext {
    /// Clock of the process.
    pub clock: Clock,
    /// Spawner for tasks that end with a connection.
    pub spawner: Spawner,
    /// Configuration, endpoints, quota shares and budgets.
    pub data_plane: Rc<DataPlane>,
    /// Decides whether requests with keys may be forwarded.
    pub freshness: Rc<Freshness>,
    /// Decides whether requests can be forwarded at all.
    pub readiness: Rc<Readiness>,
    /// Decides which requests are accepted during a graceful shutdown.
    pub shutdown: Rc<GracefulShutdown>,
    /// Memory and connections, with their limits.
    pub resources: Rc<Resources>,
    /// Requests quota from its grantor.
    pub driver: Rc<CoordinatorDriver>,
}

impl RequestContext {
    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Requests the currently wanted tokens from the quota's grantor.
    pub fn request_quota(&self) {
        self.driver.request_quota();
    }
}
