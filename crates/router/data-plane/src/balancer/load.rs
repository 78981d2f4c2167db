//! Estimates of an endpoint's load: utilization of its slots, and prompt tokens queued for prefill.
//!
//! This router's requests are known exactly. The requests of other routers are taken from the fleet-wide load
//! totals while these are recent. Otherwise they are estimated from the endpoint's last load report, less the
//! requests that this router had in flight when the report arrived. That remainder decays, because this
//! router does not learn when those requests end. The `weight` module derives a weight from the estimate.

use super::in_flight::InFlight;
use super::load_report::LoadReport;
use passrelay_dissemination::EndpointLoad;
use std::time::Duration;

/// Time constant of the exponential decay of the part of a load report that is due to other routers: it falls
/// to 1/e.
const REPORT_DECAY: Duration = Duration::from_millis(1_500);
/// Load of other routers is used for this long after it was received. Totals usually arrive several times in
/// this period, so older ones mean that the exchange is interrupted.
const PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An endpoint's load report, with the requests that this router had there when it arrived, since the report
/// includes them.
#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Duration,
    /// This router's requests in flight when the report arrived.
    in_flight: u32,
    /// Those of them that awaited a response when the report arrived.
    awaiting_response: u32,
}

impl ReceivedReport {
    /// Returns the fraction of the other routers' part that still counts, 0 to 1.
    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.received_at).as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp()
    }
}

/// Load of the other routers at an endpoint.
#[derive(Debug)]
struct PeerLoad {
    /// Prompt tokens and requests in flight exclude this router's; outcomes are the totals over all routers.
    load: EndpointLoad,
    received_at: Duration,
}

/// Known load of one endpoint, by source.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// This router's requests.
    pub(super) in_flight: InFlight,
    /// The endpoint's last load report; `None` before the first one.
    report: Option<ReceivedReport>,
    /// The last load of the other routers; `None` before the first one.
    peers: Option<PeerLoad>,
}

impl Load {
    /// Stores a report received with a response. The response head must have been recorded before.
    pub(super) fn observe_report(&mut self, now: Duration, report: LoadReport) {
        self.report = Some(ReceivedReport {
            report,
            received_at: now,
            in_flight: self.in_flight.requests,
            awaiting_response: self.in_flight.awaiting_response,
        });
    }

    /// Stores the load of the other routers.
    pub(super) fn observe_peers(&mut self, now: Duration, load: EndpointLoad) {
        self.peers = Some(PeerLoad { load, received_at: now });
    }

    /// Returns the load of the other routers, or `None` if it is older than [`PEER_LOAD_TIMEOUT`].
    pub(super) fn recent_peer_load(&self, now: Duration) -> Option<EndpointLoad> {
        let peers = self.peers.as_ref()?;
        (now.saturating_sub(peers.received_at) < PEER_LOAD_TIMEOUT).then_some(peers.load)
    }

    /// Returns whether nothing is known about the load: no report yet and no request in flight.
    pub(super) fn is_unknown(&self) -> bool {
        self.report.is_none() && self.in_flight.requests == 0
    }

    /// Returns the number of requests of all routers per slot of the endpoint: 0 is idle; above 1, requests
    /// queue. `capacity` is used as the number of slots until the endpoint has reported it.
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

    /// Returns the number of prompt tokens, of all routers' requests, that are prefilled before those of a
    /// new request. Where the requests of other routers are known from a load report only, each counts
    /// `mean_prefill_tokens`.
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
