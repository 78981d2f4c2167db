//! Users of a service got answers of a version that nobody had ordered, and half of those failed.
//!
//! Order of events: endpoints of a second version start beside the first and register; nobody orders a roll-out, or the order is
//! refused. From their first heartbeat on they got requests in proportion to their capacity, 838 of 1,680 in 5 s.
//!
//! Cause: the version in a heartbeat was not read, so an endpoint of any version was one of the service.
//! Evidence: the share of the second version at its endpoints, on a calm fleet without a single fault.

use crate::bounds::CONFIG_APPLY;
use crate::checks::Exposure;
use crate::endpoints::{Endpoint, Quality};
use crate::operator::{service_of_version, SERVICES};
use crate::scenario::SoakFleet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long the second version is there.
const DEADLINE: Duration = Duration::from_secs(5);

/// A fleet under traffic, in which endpoints of a second version have just come up.
struct TwoVersions {
    soak: SoakFleet,
    bad: Vec<Endpoint>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl TwoVersions {
    fn start(seed: u64) -> Self {
        let soak = SoakFleet::start(seed, 4);
        let stop = Arc::new(AtomicBool::new(false));
        let clients = soak.clients(seed).into_iter().map(|client| {
            let stop = stop.clone();
            thread::spawn(move || client.run(&stop))
        });
        let clients = clients.collect();
        thread::sleep(Duration::from_secs(2));
        let bad = (0..4).map(|_| soak.endpoints.start(SERVICES[0], "v2", Quality::Bad)).collect();
        TwoVersions { soak, bad, stop, clients }
    }

    /// How many of the service's requests reach the second version from now on, in some time.
    fn exposure(&self, time: Duration) -> Exposure {
        let records = &self.soak.records;
        let from = records.now();
        thread::sleep(time);
        let exposure = Exposure::measure(records, SERVICES[0], "v2", from, records.now());
        assert!(exposure.all > 100, "there is traffic: {exposure:?}");
        exposure
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("a client"));
        self.bad.iter().chain(&self.soak.in_service).for_each(Endpoint::end);
    }
}

#[test]
fn a_version_that_nobody_ordered_gets_no_requests() {
    let fleet = TwoVersions::start(7);
    let exposure = fleet.exposure(DEADLINE);
    assert!(exposure.is_within_bound(), "{exposure:?}");
    assert_eq!(exposure.exposed, 0, "{exposure:?}");
    let status = fleet.soak.processes[3].status();
    assert_eq!(status["service_versions"][SERVICES[0]], "v1", "{status}");
    assert_eq!(status["endpoints_by_version"][SERVICES[0]]["v2"], 4, "{status}");
    fleet.end();
}

// Guards against a version that can't be brought in at all, and against one that comes back when the configuration no longer names it.
#[test]
fn the_configuration_moves_a_service_to_another_version() {
    let fleet = TwoVersions::start(9);
    let core = fleet.soak.operator.caller.clone();
    core.patch_once(1, 5, &service_of_version("v2"));
    thread::sleep(CONFIG_APPLY);
    let moved = fleet.exposure(Duration::from_secs(2));
    assert_eq!(moved.exposed, moved.all, "{moved:?}");
    core.patch_once(5, 6, &service_of_version(""));
    thread::sleep(CONFIG_APPLY);
    let kept = fleet.exposure(Duration::from_secs(2));
    assert_eq!(kept.exposed, kept.all, "{kept:?}");
    core.patch_once(6, 7, &service_of_version("v1"));
    thread::sleep(CONFIG_APPLY);
    let back = fleet.exposure(Duration::from_secs(2));
    assert_eq!(back.exposed, 0, "{back:?}");
    fleet.end();
}
