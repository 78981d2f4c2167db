//! Sends load reports of this process to the primary and applies the totals that it returns.
//!
//! A total includes this process's own report, which the balancer subtracts. Only totals that respond to the
//! last report are applied, because only then is the included report known.

use passrelay_control_plane::load::LoadMessage;
use passrelay_data_plane::balancer::Balancer;
use passrelay_dissemination::EndpointLoad;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Base interval between load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Extension of the interval for each reporting sidecar, which bounds the load on the primary in a large
/// fleet.
const LOAD_REPORT_INTERVAL_PER_SIDECAR: Duration = Duration::from_millis(2);

/// A report of the load that this process puts on each endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Sequence number of the report, starting at 1. The totals echo it.
    pub request_id: u64,
    /// Load and outcomes for each endpoint with anything to report.
    pub loads: Vec<EndpointLoad>,
}

/// Creates numbered load reports and applies the totals.
pub struct LoadReporter {
    /// Last load report sent to the primary. Its sequence number is 0 before the first report.
    last_load_report: RefCell<LoadReport>,
    /// Number of sidecars that report to the primary; at least 1.
    reporting_sidecars: Cell<u32>,
}

impl LoadReporter {
    /// Creates a reporter that has not sent a report yet.
    pub fn new() -> Self {
        LoadReporter { last_load_report: RefCell::default(), reporting_sidecars: Cell::new(1) }
    }

    /// Returns the time until the next report is due.
    pub fn interval(&self) -> Duration {
        LOAD_REPORT_INTERVAL + LOAD_REPORT_INTERVAL_PER_SIDECAR * self.reporting_sidecars.get()
    }

    /// Returns the next report, which the caller sends to the primary.
    pub fn next_report(&self, balancer: &RefCell<Balancer>) -> LoadReport {
        let loads = balancer.borrow_mut().take_load_report();
        let request_id = self.last_load_report.borrow().request_id + 1;
        let report = LoadReport { request_id, loads };
        *self.last_load_report.borrow_mut() = report.clone();
        report
    }

    /// Applies the totals of all sidecars to the balancer. Responses to earlier reports are ignored.
    pub fn apply_totals(&self, now: Duration, balancer: &RefCell<Balancer>, totals: LoadMessage) {
        let LoadMessage::Totals { request_id, sidecars, loads } = totals else { return };
        let report = self.last_load_report.borrow();
        if report.request_id != request_id {
            return;
        }
        self.reporting_sidecars.set(sidecars.max(1));
        let totals: HashMap<u64, EndpointLoad> =
            loads.into_iter().map(|load| (load.endpoint, load)).collect();
        balancer.borrow_mut().observe_fleet_load(now, &report.loads, &totals);
    }
}
