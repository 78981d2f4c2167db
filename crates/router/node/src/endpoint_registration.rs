//! Registration of endpoints: heartbeats and planned deregistration.
//!
//! That an endpoint drains binds all sidecars once it is acknowledged, so the core has to know of it first.
//! An endpoint without an acknowledgement repeats its call at another sidecar.

use crate::coordinator_driver::CoordinatorDriver;
use passrelay_dissemination::{EndpointState, Heartbeat};
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for the core to confirm that an endpoint drains or is gone; then 503. Endpoints time out after 1
/// s, so this stays below it.
const DRAIN_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Takes endpoints' calls.
pub struct EndpointRegistration {
    driver: Rc<CoordinatorDriver>,
}

impl EndpointRegistration {
    /// Registers at the coordinator.
    pub fn new(driver: Rc<CoordinatorDriver>) -> Self {
        EndpointRegistration { driver }
    }

    /// A heartbeat of an endpoint. Returns whether it may be acknowledged: at once, but for one that drains
    /// only after the core has confirmed it.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        self.driver.step(|coordinator, now, actions| coordinator.heartbeat(now, heartbeat, actions));
        heartbeat.record.state != EndpointState::Draining || self.is_confirmed(&heartbeat.record.id).await
    }

    /// An endpoint has ended as planned, or is about to. Returns whether that may be acknowledged; not for an
    /// endpoint that is unknown here, because nobody could be notified of its end.
    pub async fn deregister(&self, id: &str) -> bool {
        self.driver.step(|coordinator, now, actions| coordinator.deregister(now, id, actions));
        self.driver.knows_endpoint(id) && self.is_confirmed(id).await
    }

    /// Waits until the core has confirmed the endpoint's state as it is known here; false after the timeout.
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
