//! Load reports of this process to the primary, and the totals that come back.
//!
//! A total includes this process's own report; the balancer needs that very report to subtract it. So only
//! totals that answer the last report are applied.

use passrelay_control_plane::load::LoadMessage;
use passrelay_data_plane::balancer::Balancer;
use passrelay_dissemination::EndpointLoad;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Base interval between load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the interval for each reporting sidecar, so that the primary's work stays bounded in a large
/// fleet.
const LOAD_REPORT_INTERVAL_PER_SIDECAR: Duration = Duration::from_millis(2);

/// Load of this process on each endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Sequence number of the report, from 1; totals repeat it.
    pub request_id: u64,
    /// Load by endpoint.
    pub loads: Vec<EndpointLoad>,
}

/// Numbers the load reports and applies the totals.
pub struct LoadReporter {
    /// Last load report sent to the primary; before the first its sequence number is 0.
    last_load_report: RefCell<LoadReport>,
    /// Sidecars that report to the primary, at least 1.
    reporting_sidecars: Cell<u32>,
}

impl LoadReporter {
    /// No report sent yet.
    pub fn new() -> Self {
        LoadReporter { last_load_report: RefCell::default(), reporting_sidecars: Cell::new(1) }
    }

    /// Time until the next report is due.
    pub fn interval(&self) -> Duration {
        LOAD_REPORT_INTERVAL + LOAD_REPORT_INTERVAL_PER_SIDECAR * self.reporting_sidecars.get()
    }

    /// The next report, to be sent to the primary now.
    pub fn next_report(&self, balancer: &RefCell<Balancer>) -> LoadReport {
        let loads = balancer.borrow_mut().take_load_report();
        let request_id = self.last_load_report.borrow().request_id + 1;
        let report = LoadReport { request_id, loads };
        *self.last_load_report.borrow_mut() = report.clone();
        report
    }

    /// Applies the totals of all sidecars to the balancer; those that answer an earlier report are ignored.
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
