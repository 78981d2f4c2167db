//! What the path of a client's request may use of the process, and nothing else: no settings, no storage, no
//! coordinator.

use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::coordinator_driver::CoordinatorDriver;
use crate::data_plane::DataPlane;
use crate::freshness::Freshness;
use crate::graceful_shutdown::GracefulShutdown;
use crate::readiness::Readiness;
use crate::tasks::Spawner;
use crate::upstream::ConnectionPool;
use std::rc::Rc;
use std::time::Duration;

/// Shared by the client listener, its connections and their requests.
pub struct RequestContext {
    /// The process's clock.
    pub clock: Clock,
    /// For tasks that end with a connection.
    pub spawner: Spawner,
    /// Configuration, endpoints, quota shares and budgets.
    pub data_plane: Rc<DataPlane>,
    /// Whether requests with keys may be forwarded.
    pub freshness: Rc<Freshness>,
    /// Whether requests can be forwarded at all.
    pub readiness: Rc<Readiness>,
    /// Whether, and until when, requests are accepted.
    pub shutdown: Rc<GracefulShutdown>,
    /// Connections to endpoints.
    pub upstream: ConnectionPool,
    /// Connections of clients.
    pub clients: ClientConnections,
    driver: Rc<CoordinatorDriver>,
}

impl RequestContext {
    /// A context with no connections yet.
    pub fn new(
        clock: Clock,
        spawner: Spawner,
        data_plane: Rc<DataPlane>,
        freshness: Rc<Freshness>,
        readiness: Rc<Readiness>,
        shutdown: Rc<GracefulShutdown>,
        driver: Rc<CoordinatorDriver>,
    ) -> Self {
        RequestContext {
            clock,
            spawner,
            data_plane,
            freshness,
            readiness,
            shutdown,
            upstream: ConnectionPool::default(),
            clients: ClientConnections::default(),
            driver,
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Requests the tokens that are wanted now from the quota's grantor.
    pub fn request_quota(&self) {
        self.driver.request_quota();
    }
}
