//! Registration of endpoints by heartbeats, and their deregistration.
//!
//! Once the draining of an endpoint is acknowledged, no sidecar may send it new requests, so the core has to
//! know of it first. An endpoint without an acknowledgement repeats its call at another sidecar.

use crate::coordinator_driver::CoordinatorDriver;
use passrelay_dissemination::{EndpointState, Heartbeat};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for the core to confirm that an endpoint is draining or removed, after which the response is 503.
/// Must be below the endpoints' own timeout of 1 s.
const DRAIN_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Processes the calls of endpoints.
pub struct EndpointRegistration {
    driver: Rc<CoordinatorDriver>,
}

impl EndpointRegistration {
    /// Creates a registration that reports to the coordinator through `driver`.
    pub fn new(driver: Rc<CoordinatorDriver>) -> Self {
        EndpointRegistration { driver }
    }

    /// Processes a heartbeat. Returns whether it may be acknowledged: immediately for a ready endpoint, and only
    /// after confirmation by the core for a draining one.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        self.driver.step(|coordinator, now, actions| coordinator.heartbeat(now, heartbeat, actions));
        heartbeat.record.state != EndpointState::Draining || self.is_confirmed(&heartbeat.record.id).await
    }

    /// Deregisters an endpoint. Returns whether this may be acknowledged. It may not for an endpoint that is
    /// unknown here, because no other sidecar could be notified of its removal.
    pub async fn deregister(&self, id: &str) -> bool {
        self.driver.step(|coordinator, now, actions| coordinator.deregister(now, id, actions));
        self.driver.knows_endpoint(id) && self.is_confirmed(id).await
    }

    /// Waits until the core has confirmed the local state of an endpoint. Returns false after the timeout.
    async fn is_confirmed(&self, id: &str) -> bool {
        let confirmation = self.driver.announce(id);
        let timeout = async {
            Timer::after(DRAIN_CONFIRMATION_TIMEOUT).await;
            false
        };
        let confirmed = async { confirmation.confirmed.recv().await.is_ok() };
        let confirmed = smol::future::or(confirmed, timeout).await;
        self.driver.forget_announcement(&confirmation.announcement);
        confirmed
    }
}
