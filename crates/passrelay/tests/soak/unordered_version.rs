//! Users of a service got answers of a version that nobody had ordered, and half of those failed.
//!
//! Order of events: endpoints of a second version start beside the first and register; nobody orders a roll-out, or the order is
//! refused. From their first heartbeat on they got requests in proportion to their capacity, 838 of 1,680 in 5 s.
//!
//! Cause: the version in a heartbeat was not read, so an endpoint of any version was one of the service.
//! Evidence: the share of the second version at its endpoints, on a calm fleet without a single fault.

use crate::checks::Exposure;
use crate::endpoints::{Endpoint, Quality};
use crate::operator::SERVICES;
use crate::scenario::SoakFleet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long the second version is there.
const DEADLINE: Duration = Duration::from_secs(5);

#[test]
fn a_version_that_nobody_ordered_gets_no_requests() {
    let soak = SoakFleet::start(7, 4);
    let clients = soak.clients(7);
    let records = soak.records.clone();
    let stop = AtomicBool::new(false);
    let (before, during) = thread::scope(|scope| {
        for client in &clients {
            scope.spawn(|| client.run(&stop));
        }
        let began = records.now();
        thread::sleep(Duration::from_secs(2));
        let second_from = records.now();
        let bad: Vec<_> = (0..4).map(|_| soak.endpoints.start(SERVICES[0], "v2", Quality::Bad)).collect();
        thread::sleep(DEADLINE);
        let second_to = records.now();
        stop.store(true, Ordering::SeqCst);
        bad.iter().for_each(Endpoint::end);
        (
            Exposure::measure(&records, SERVICES[0], "v2", began, second_from),
            Exposure::measure(&records, SERVICES[0], "v2", second_from, second_to),
        )
    });
    soak.in_service.iter().for_each(Endpoint::end);
    assert!(before.all > 100 && during.all > 100, "there is traffic: {before:?}, {during:?}");
    assert!(during.is_within_bound(), "{during:?}");
    assert_eq!(during.exposed, 0, "{during:?}");
}
