//! Estimates of an endpoint's load: utilization of its slots and prompt tokens queued for prefill.
//!
//! Own requests are known exactly. Those of other routers come from the fleet's load totals, while these are recent,
//! and otherwise from the endpoint's last load report, less what this router itself had in flight when the report came;
//! that remainder decays, since nothing tells when those requests end. What weight follows from an estimate is decided
//! in `weight`.

use super::in_flight::InFlight;
use super::load_report::LoadReport;
use passrelay_dissemination::EndpointLoad;
use std::time::Duration;

/// Time in which the part of a load report that is due to other routers decays to 1/e.
const REPORT_DECAY: Duration = Duration::from_millis(1_500);
/// Load of other routers counts for this long after it arrived. Totals usually arrive several times in that time, so
/// older ones mean that the exchange is interrupted.
const PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An endpoint's load report with the own requests at its arrival: a report covers them too.
#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Duration,
    /// Own requests in flight when the report arrived.
    in_flight: u32,
    /// Own requests that awaited a response when the report arrived.
    awaiting_response: u32,
}

impl ReceivedReport {
    /// Share of the other routers' part that still counts, 0 to 1.
    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.received_at).as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp()
    }
}

/// Load of the other routers at an endpoint.
#[derive(Debug)]
struct PeerLoad {
    /// Prompt tokens and requests in flight are the fleet's totals less the own part; outcomes are the fleet's totals.
    load: EndpointLoad,
    received_at: Duration,
}

/// What is known of the load at one endpoint, by source.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// Own requests.
    pub(super) in_flight: InFlight,
    /// The last load report of the endpoint.
    report: Option<ReceivedReport>,
    /// The last load totals of the fleet.
    peers: Option<PeerLoad>,
}

impl Load {
    /// Takes a report that came with a response whose head is already counted.
    pub(super) fn observe_report(&mut self, now: Duration, report: LoadReport) {
        self.report = Some(ReceivedReport {
            report,
            received_at: now,
            in_flight: self.in_flight.requests,
            awaiting_response: self.in_flight.awaiting_response,
        });
    }

    /// Takes the load of the other routers.
    pub(super) fn observe_peers(&mut self, now: Duration, load: EndpointLoad) {
        self.peers = Some(PeerLoad { load, received_at: now });
    }

    /// The load of the other routers, unless it is older than [`PEER_LOAD_TIMEOUT`].
    pub(super) fn recent_peer_load(&self, now: Duration) -> Option<EndpointLoad> {
        let peers = self.peers.as_ref()?;
        (now.saturating_sub(peers.received_at) < PEER_LOAD_TIMEOUT).then_some(peers.load)
    }

    /// Whether nothing is known: no report yet and nothing in flight.
    pub(super) fn is_unknown(&self) -> bool {
        self.report.is_none() && self.in_flight.requests == 0
    }

    /// Requests of all routers per slot of the endpoint: 0 is idle, above 1 requests queue. `capacity` stands for the
    /// slots until the endpoint has reported them.
    pub(super) fn utilization(&self, now: Duration, capacity: f64) -> f64 {
        let own = f64::from(self.in_flight.requests);
        if let Some(peers) = self.recent_peer_load(now) {
            let slots = self.report.as_ref().map_or(capacity, |received| received.report.slots.max(1.0));
            return (own + f64::from(peers.in_flight)) / slots;
        }
        let Some(received) = &self.report else { return own / capacity };
        let reported = received.report.running + received.report.waiting;
        let decay = received.decay(now);
        let others = (reported - f64::from(received.in_flight)).max(0.0);
        (others * decay + own) / received.report.slots.max(1.0)
    }

    /// Prompt tokens that are prefilled before those of a new request: those of own requests, and of the other routers'
    /// requests. Where only a report tells of the latter they count with the mean prompt, `mean_prefill_tokens`.
    pub(super) fn queued_prompt_tokens(&self, now: Duration, mean_prefill_tokens: f64) -> f64 {
        let own = self.in_flight.pending_prompt_tokens;
        if let Some(peers) = self.recent_peer_load(now) {
            return own + f64::from(peers.pending_prompt_tokens);
        }
        let Some(received) = &self.report else { return own };
        let decay = received.decay(now);
        let others = (received.report.waiting - f64::from(received.awaiting_response)).max(0.0);
        own + others * mean_prefill_tokens * decay
    }
}
