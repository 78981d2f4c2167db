//! History of picks, request outcomes, load reports and endpoint changes at a `Balancer`.

use crate::support::{Digest, Draws};
use passrelay_data_plane::balancer::{Balancer, LoadReport, Pick, PickRequest, RequestOutcome};
use passrelay_data_plane::prompt::Prompt;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A request that was sent and has not ended.
struct RequestInFlight {
    pick: Pick,
    has_response: bool,
}

struct BalancerHistory {
    draws: Draws,
    digest: Digest,
    now: Duration,
    balancer: Balancer,
    records: BTreeMap<String, EndpointRecord>,
    in_flight: Vec<RequestInFlight>,
    /// Number of distinct prefixes that prompts are drawn from.
    prefixes: u64,
    /// Maximum time between two ordinary steps, in microseconds. Occasional gaps are up to a hundred times as
    /// long.
    max_step_us: u64,
    next_instance: u16,
    /// Number of picks by instance id.
    picks: BTreeMap<Arc<str>, u64>,
}

impl BalancerHistory {
    fn new(seed: u64, prefixes: u64, max_step_us: u64) -> Self {
        let mut history = BalancerHistory {
            draws: Draws(seed),
            digest: Digest::new(),
            now: Duration::ZERO,
            balancer: Balancer::new("zone-a"),
            records: BTreeMap::new(),
            in_flight: Vec::new(),
            prefixes,
            max_step_us,
            next_instance: 0,
            picks: BTreeMap::new(),
        };
        (0..14).for_each(|_| history.add_endpoint());
        history.balancer.update(history.records.values());
        history
    }

    fn add_endpoint(&mut self) {
        let instance = self.next_instance;
        self.next_instance += 1;
        let id = format!("i-{instance}");
        let record = EndpointRecord {
            id: id.clone(),
            service: if self.draws.percent(75) { "chat" } else { "embed" }.to_owned(),
            address: format!("10.0.0.1:{}", 1_000 + instance).parse().unwrap(),
            zone: if self.draws.percent(60) { "zone-a" } else { "zone-b" }.to_owned(),
            capacity: self.draws.below(12) as u32,
            state: EndpointState::Ready,
            sequence: 1,
            version: String::new(),
        };
        self.records.insert(id, record);
    }

    /// Changes the state of one endpoint. In half of the removals, a new instance replaces the endpoint.
    fn change_endpoints(&mut self) {
        let index = self.draws.below(self.records.len() as u64) as usize;
        let id = self.records.keys().nth(index).unwrap().clone();
        let state = match self.draws.below(10) {
            0..=5 => EndpointState::Ready,
            6 => EndpointState::Draining,
            7..=8 => EndpointState::Expired,
            _ => EndpointState::Removed,
        };
        if state == EndpointState::Removed && self.draws.percent(50) {
            self.records.remove(&id);
            self.add_endpoint();
        } else if let Some(record) = self.records.get_mut(&id) {
            record.state = state;
        }
        self.balancer.update(self.records.values());
    }

    fn draw_prompt(&mut self) -> Option<Prompt> {
        if self.draws.percent(30) {
            return None;
        }
        let shared_prefix = self.draws.percent(80).then_some(self.draws.below(self.prefixes));
        Some(Prompt {
            input_tokens: 200 + self.draws.below(8_000),
            output_tokens: self.draws.below(500),
            shared_prefix,
            shared_prefix_tokens: if shared_prefix.is_some() { self.draws.below(6_000) } else { 0 },
        })
    }

    fn send_request(&mut self) {
        let prompt = self.draw_prompt();
        let service = match self.draws.below(20) {
            0 => "unknown",
            1..=4 => "embed",
            _ => "chat",
        };
        let latency_target = Duration::from_millis(200 + self.draws.below(5_000));
        let attempted: Vec<Arc<str>> =
            (0..self.draws.below(4)).map(|_| format!("i-{}", self.draws.below(14)).into()).collect();
        let request = PickRequest {
            service,
            version: None,
            endpoint_share: None,
            prompt,
            latency_target,
            attempted: &attempted,
        };
        let Some(pick) = self.balancer.pick(self.now, &request) else {
            return self.digest.number(u64::MAX);
        };
        self.digest.bytes(pick.id.as_bytes());
        self.digest.bytes(pick.address.to_string().as_bytes());
        self.digest.number(pick.prefill_tokens);
        *self.picks.entry(pick.id.clone()).or_default() += 1;
        // Some endpoints refuse nearly all connections, so that their ejection times grow to the maximum.
        let refuses_connections = pick.id.ends_with('5');
        if self.draws.percent(if refuses_connections { 95 } else { 3 }) {
            self.balancer.connect_failed(self.now, &pick.id);
        } else {
            self.balancer.request_sent(self.now, &pick, prompt.as_ref());
            self.in_flight.push(RequestInFlight { pick, has_response: false });
        }
    }

    fn advance_request(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.draws.below(self.in_flight.len() as u64) as usize;
        let pick = self.in_flight[index].pick.clone();
        // One in five endpoints fails 45 % of its requests.
        let is_faulty = pick.id.ends_with('3') || pick.id.ends_with('7');
        let fails = self.draws.percent(if is_faulty { 45 } else { 1 });
        if !self.in_flight[index].has_response && self.draws.percent(85) {
            let report = self.draws.percent(80).then(|| LoadReport {
                running: self.draws.below(9) as f64,
                waiting: self.draws.below(5) as f64,
                slots: self.draws.below(9) as f64,
            });
            self.balancer.response_head_received(self.now, &pick, report, fails);
            self.in_flight[index].has_response = true;
        } else if self.in_flight[index].has_response && self.draws.percent(40) {
            self.balancer.response_chunk_received(self.now, &pick.id);
        } else {
            let request = self.in_flight.swap_remove(index);
            let outcome = match self.draws.below(20) {
                0 => RequestOutcome::Abandoned,
                1 => RequestOutcome::Rejected,
                _ if fails => RequestOutcome::Failed,
                _ => RequestOutcome::Completed,
            };
            self.balancer.request_ended(self.now, &request.pick, request.has_response, outcome);
        }
    }

    /// Takes the balancer's load report and applies fleet-wide totals, which add random load of other routers
    /// to it.
    fn exchange_loads(&mut self) {
        let mut own = self.balancer.take_load_report();
        own.sort_by_key(|load| load.endpoint);
        let mut fleet = HashMap::new();
        for load in &own {
            self.digest.number(load.endpoint);
            self.digest.number(u64::from(load.pending_prompt_tokens));
            self.digest.number(u64::from(load.in_flight));
            self.digest.number(u64::from(load.succeeded));
            self.digest.number(u64::from(load.failed));
            if self.draws.percent(80) {
                let total = EndpointLoad {
                    endpoint: load.endpoint,
                    pending_prompt_tokens: load.pending_prompt_tokens + self.draws.below(9_000) as u32,
                    in_flight: load.in_flight + self.draws.below(6) as u32,
                    succeeded: load.succeeded + self.draws.below(12) as u32,
                    failed: load.failed + self.draws.below(3) as u32,
                };
                fleet.insert(load.endpoint, total);
            }
        }
        if self.draws.percent(85) {
            self.balancer.observe_fleet_load(self.now, &own, &fleet);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_micros(self.draws.below(self.max_step_us));
        if self.draws.percent(1) {
            self.now += Duration::from_micros(self.draws.below(self.max_step_us * 100));
        }
        match self.draws.below(100) {
            0..=27 => self.send_request(),
            28..=93 => self.advance_request(),
            94..=98 => self.exchange_loads(),
            _ => self.change_endpoints(),
        }
        let id = format!("i-{}", self.draws.below(20));
        self.digest.number(u64::from(self.balancer.may_send(&id)));
        self.digest.number(u64::from(self.balancer.has_ready_endpoint()));
        self.digest.number(self.balancer.tracked_prefixes() as u64);
    }
}

#[rstest]
#[case::few_prefixes(1, 30, 20_000, 0x4f55_c039_decd_b46d)]
#[case::many_prefixes(2, 5_000, 20_000, 0x0fef_4db5_9885_41a8)]
#[case::more_prefixes_than_are_tracked(3, u64::MAX, 200, 0x587f_f038_2776_f566)]
#[case::one_prefix(4, 1, 60_000, 0x5a73_d026_cb18_66c8)]
fn picks_match_the_recorded_digest(
    #[case] seed: u64,
    #[case] prefixes: u64,
    #[case] max_step_us: u64,
    #[case] expected: u64,
) {
    let mut history = BalancerHistory::new(seed, prefixes, max_step_us);
    (0..60_000).for_each(|_| history.step());
    assert!(history.picks.len() > 14, "too few endpoints were picked: {:?}", history.picks);
    assert_eq!(history.digest.0, expected, "the new digest is 0x{:016x}", history.digest.0);
}
