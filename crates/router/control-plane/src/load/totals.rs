//! Aggregation of load reports on the primary.

use super::endpoint_outcomes::EndpointOutcomes;
use super::messages::LoadMessage;
use passrelay_dissemination::EndpointLoad;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A sidecar's load counts until it has sent no report for this long.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum interval between computations of the totals. Reports in between receive the cached totals, so that the cost
/// does not grow with the square of the number of sidecars.
const TOTALS_REFRESH_INTERVAL: Duration = Duration::from_millis(15);

/// The last report of a sidecar.
#[derive(Debug)]
struct Report {
    received_at: Duration,
    loads: Vec<EndpointLoad>,
}

/// Totals of load and outcomes over all sidecars, with the reports from which they are computed.
#[derive(Debug, Default)]
pub struct LoadTotals {
    /// Last report of each sidecar; those that timed out are removed when totals are computed.
    reports: BTreeMap<SocketAddrV4, Report>,
    /// Outcomes by endpoint, accumulated over all reports.
    outcomes: BTreeMap<u64, EndpointOutcomes>,
    /// Most recently computed totals, ordered by endpoint.
    totals: Vec<EndpointLoad>,
    totals_computed_at: Option<Duration>,
}

impl LoadTotals {
    /// Handles a load report: replaces the load of the sidecar `from`, accumulates the reported outcomes, and returns
    /// the response with the totals, which may be some milliseconds old.
    pub fn handle_report(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        request_id: u64,
        loads: Vec<EndpointLoad>,
    ) -> LoadMessage {
        for load in loads.iter().filter(|load| load.succeeded + load.failed > 0) {
            self.outcomes.entry(load.endpoint).or_default().add(now, from, load);
        }
        self.reports.insert(from, Report { received_at: now, loads });
        if self.totals_computed_at.is_none_or(|at| now.saturating_sub(at) >= TOTALS_REFRESH_INTERVAL) {
            self.compute_totals(now);
        }
        let sidecars = u32::try_from(self.reporter_count()).unwrap_or(u32::MAX);
        LoadMessage::Totals { request_id, sidecars, loads: self.totals.clone() }
    }

    /// Returns the number of sidecars with a recent report. Reports that have timed out are counted until the totals
    /// are computed again.
    pub fn reporter_count(&self) -> usize {
        self.reports.len()
    }

    fn compute_totals(&mut self, now: Duration) {
        self.totals_computed_at = Some(now);
        let mut totals = BTreeMap::new();
        self.add_loads(now, &mut totals);
        self.add_outcomes(now, &mut totals);
        self.totals = totals.into_values().collect();
    }

    /// Removes reports that have timed out, and adds the load of the others to `totals`.
    fn add_loads(&mut self, now: Duration, totals: &mut BTreeMap<u64, EndpointLoad>) {
        self.reports.retain(|_, report| now.saturating_sub(report.received_at) < REPORT_TIMEOUT);
        for load in self.reports.values().flat_map(|report| &report.loads) {
            let total = total_entry(totals, load.endpoint);
            total.pending_prompt_tokens =
                total.pending_prompt_tokens.saturating_add(load.pending_prompt_tokens);
            total.in_flight = total.in_flight.saturating_add(load.in_flight);
        }
    }

    /// Adds the outcomes that count at `now` to `totals`, and removes endpoints without any.
    fn add_outcomes(&mut self, now: Duration, totals: &mut BTreeMap<u64, EndpointLoad>) {
        self.outcomes.retain(|endpoint, outcomes| {
            let rounded = outcomes.rounded_outcomes(now);
            if !rounded.is_empty() {
                let total = total_entry(totals, *endpoint);
                total.succeeded = rounded.answered;
                total.failed = rounded.failed;
            }
            !rounded.is_empty() || outcomes.has_failure_reporters()
        });
    }
}

/// Returns the entry of an endpoint in `totals`, inserting a zero total if there is none.
fn total_entry(totals: &mut BTreeMap<u64, EndpointLoad>, endpoint: u64) -> &mut EndpointLoad {
    totals.entry(endpoint).or_insert(EndpointLoad { endpoint, ..EndpointLoad::default() })
}
