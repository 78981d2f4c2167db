//! Digests of long pseudo-random histories: a change of code that isn't meant to change a decision leaves them as they
//! are. What each decision should be is tested beside this, in `balancer.rs`, `limits.rs` and `traffic_split.rs`.
//!
//! A digest that differs shows that some decision differs, not which one: bisect the history by its length.

use passrelay_configuration::Configuration;
use passrelay_data_plane::balancer::{Balancer, CallEnd, LoadReport, Pick, PickRequest};
use passrelay_data_plane::prompt::Prompt;
use passrelay_data_plane::quota::{Grant, QuotaShares, TenantTokens};
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::traffic_split::TrafficSplits;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState};
use rstest::rstest;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// `SplitMix64`: the draws of a history depend on nothing but its seed.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}

/// FNV-1a with 64 bits.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }
}

/// A call that has been sent and not ended.
struct Call {
    pick: Pick,
    is_answered: bool,
}

struct BalancerHistory {
    draws: Draws,
    digest: Digest,
    now: Duration,
    balancer: Balancer,
    records: BTreeMap<String, EndpointRecord>,
    calls: Vec<Call>,
    /// Prefixes that prompts are drawn from.
    prefixes: u64,
    /// Longest time between two ordinary steps, in microseconds; the occasional gap is up to a hundred times as long.
    max_step_us: u64,
    next_instance: u16,
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
            calls: Vec::new(),
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
        };
        self.records.insert(id, record);
    }

    /// Changes the state of one endpoint; a removed one is replaced by another instance.
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
        let target = Duration::from_millis(200 + self.draws.below(5_000));
        let attempted: Vec<Arc<str>> =
            (0..self.draws.below(4)).map(|_| format!("i-{}", self.draws.below(14)).into()).collect();
        let request = PickRequest { service, prompt, target, attempted: &attempted };
        let Some(pick) = self.balancer.pick(self.now, &request) else {
            return self.digest.number(u64::MAX);
        };
        self.digest.bytes(pick.id.as_bytes());
        self.digest.bytes(pick.address.to_string().as_bytes());
        self.digest.number(pick.prefill_tokens);
        *self.picks.entry(pick.id.clone()).or_default() += 1;
        // Some endpoints accept hardly any connection, so that their pauses grow to the longest one.
        let refuses = pick.id.ends_with('5');
        if self.draws.percent(if refuses { 95 } else { 3 }) {
            self.balancer.connect_failed(self.now, &pick.id);
        } else {
            self.balancer.request_sent(self.now, &pick, prompt.as_ref());
            self.calls.push(Call { pick, is_answered: false });
        }
    }

    fn advance_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.draws.below(self.calls.len() as u64) as usize;
        let pick = self.calls[index].pick.clone();
        // One endpoint in five fails a good part of its requests.
        let is_faulty = pick.id.ends_with('3') || pick.id.ends_with('7');
        let fails = self.draws.percent(if is_faulty { 45 } else { 1 });
        if !self.calls[index].is_answered && self.draws.percent(85) {
            let report = self.draws.percent(80).then(|| LoadReport {
                running: self.draws.below(9) as f64,
                waiting: self.draws.below(5) as f64,
                slots: self.draws.below(9) as f64,
            });
            self.balancer.response_head_received(self.now, &pick, report, fails);
            self.calls[index].is_answered = true;
        } else if self.calls[index].is_answered && self.draws.percent(40) {
            self.balancer.response_chunk_received(self.now, &pick.id);
        } else {
            let call = self.calls.swap_remove(index);
            let end = match self.draws.below(20) {
                0 => CallEnd::Abandoned,
                1 => CallEnd::Rejected,
                _ if fails => CallEnd::Failed,
                _ => CallEnd::Completed,
            };
            self.balancer.request_ended(self.now, &call.pick, call.is_answered, end);
        }
    }

    /// Reports the own load and takes in the fleet's, which is the own one and that of drawn other sidecars.
    fn exchange_loads(&mut self) {
        let mut own = self.balancer.take_load_report();
        own.sort_by_key(|load| load.endpoint);
        let mut fleet = HashMap::new();
        for load in &own {
            self.digest.number(load.endpoint);
            self.digest.number(u64::from(load.pending_prompt_tokens));
            self.digest.number(u64::from(load.in_flight));
            self.digest.number(u64::from(load.answered));
            self.digest.number(u64::from(load.failed));
            if self.draws.percent(80) {
                let total = EndpointLoad {
                    endpoint: load.endpoint,
                    pending_prompt_tokens: load.pending_prompt_tokens + self.draws.below(9_000) as u32,
                    in_flight: load.in_flight + self.draws.below(6) as u32,
                    answered: load.answered + self.draws.below(12) as u32,
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
            28..=93 => self.advance_call(),
            94..=98 => self.exchange_loads(),
            _ => self.change_endpoints(),
        }
        let id = format!("i-{}", self.draws.below(20));
        self.digest.number(u64::from(self.balancer.may_send(&id)));
        self.digest.number(u64::from(self.balancer.has_ready()));
        self.digest.number(self.balancer.tracked_prefixes() as u64);
    }
}

#[rstest]
#[case::few_prefixes(1, 30, 20_000, 0x4f55_c039_decd_b46d)]
#[case::many_prefixes(2, 5_000, 20_000, 0x0fef_4db5_9885_41a8)]
#[case::more_prefixes_than_are_tracked(3, u64::MAX, 200, 0x587f_f038_2776_f566)]
#[case::one_prefix(4, 1, 60_000, 0x5a73_d026_cb18_66c8)]
fn picks_of_a_history_are_those_on_record(
    #[case] seed: u64,
    #[case] prefixes: u64,
    #[case] max_step_us: u64,
    #[case] expected: u64,
) {
    let mut history = BalancerHistory::new(seed, prefixes, max_step_us);
    (0..60_000).for_each(|_| history.step());
    assert!(history.picks.len() > 14, "the history reaches many endpoints: {:?}", history.picks);
    assert_eq!(history.digest.0, expected, "0x{:016x}", history.digest.0);
}

struct QuotaHistory {
    draws: Draws,
    digest: Digest,
    now: Duration,
    shares: QuotaShares,
    /// Requests that wait: tenant and tokens.
    waiting: Vec<(u64, u64)>,
    /// Chance in a hundred that the grantor's answer to a request arrives when its turn comes.
    answer_chance: u64,
    /// Open token requests: number and what is wanted, by tenant.
    open: Vec<(u64, Vec<TenantTokens>)>,
}

impl QuotaHistory {
    fn request_tokens(&mut self) {
        let Some(request) = self.shares.next_request(self.now) else { return };
        self.digest.number(request.request_id);
        let mut wanted = request.wanted;
        let mut overdrawn = request.overdrawn;
        // The order of tenants in a request is that of a hash map, which differs from run to run.
        wanted.sort_by_key(|wanted| wanted.tenant);
        overdrawn.sort_by_key(|overdrawn| overdrawn.tenant);
        for TenantTokens { tenant, tokens } in wanted.iter().chain(&overdrawn) {
            self.digest.number(*tenant);
            self.digest.number(*tokens);
        }
        self.digest.number(wanted.len() as u64);
        self.open.push((request.request_id, wanted));
    }

    fn answer_request(&mut self) {
        if self.open.is_empty() || !self.draws.percent(self.answer_chance) {
            return;
        }
        let index = self.draws.below(self.open.len() as u64) as usize;
        let (request_id, wanted) = self.open.swap_remove(index);
        let mut grants = Vec::new();
        for TenantTokens { tenant, tokens } in wanted {
            if self.draws.percent(90) {
                let granted = if self.draws.percent(60) { tokens * 2 } else { self.draws.below(tokens + 1) };
                grants.push(Grant { tenant, tokens: granted, reserve: self.draws.below(900) });
            }
        }
        self.shares.apply_grants(self.now, request_id, &grants);
    }

    fn advance_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let index = self.draws.below(self.waiting.len() as u64) as usize;
        let (tenant, tokens) = self.waiting[index];
        let spent = self.shares.spend(self.now, tenant, tokens);
        self.digest.number(u64::from(spent));
        if spent && self.draws.percent(10) {
            self.shares.refund(self.now, tenant, tokens);
        }
        if spent || self.draws.percent(15) {
            self.waiting.swap_remove(index);
            self.shares.remove_demand(tenant, tokens);
        }
    }

    fn step(&mut self) {
        // Now and then the grantor is silent for long.
        self.now += Duration::from_micros(self.draws.below(15_000));
        if self.draws.percent(1) {
            self.now += Duration::from_millis(self.draws.below(3_000));
        }
        match self.draws.below(100) {
            0..=29 => {
                let tenant = self.draws.below(6);
                let tokens = self.draws.below(300);
                self.shares.add_demand(tenant, tokens);
                self.waiting.push((tenant, tokens));
            }
            30..=54 => self.request_tokens(),
            55..=69 => self.answer_request(),
            70..=98 => self.advance_waiting(),
            _ => {
                let dropped = self.draws.below(40);
                self.shares.retain(|tenant| tenant != dropped);
            }
        }
        let tenant = self.draws.below(7);
        let since = self.now.saturating_sub(Duration::from_millis(self.draws.below(400)));
        self.digest.number(u64::from(self.shares.is_exhausted_since(tenant, since)));
        self.digest.number(u64::from(self.shares.is_grantor_unreachable(tenant, self.now)));
    }
}

#[rstest]
#[case::grantor_answers(11, 100, 0xf5c0_3348_f443_8e9c)]
#[case::some_answers_are_lost(12, 60, 0xf679_9049_3b26_00f4)]
#[case::grantor_is_mostly_silent(13, 5, 0x59ed_aea8_5154_8791)]
fn quota_shares_of_a_history_are_those_on_record(
    #[case] seed: u64,
    #[case] answer_chance: u64,
    #[case] expected: u64,
) {
    let mut history = QuotaHistory {
        draws: Draws(seed),
        digest: Digest::new(),
        now: Duration::ZERO,
        shares: QuotaShares::new(Duration::from_millis(1_500)),
        waiting: Vec::new(),
        answer_chance,
        open: Vec::new(),
    };
    (0..40_000).for_each(|_| history.step());
    assert_eq!(history.digest.0, expected, "0x{:016x}", history.digest.0);
}

#[test]
fn retries_of_a_history_are_those_on_record() {
    let mut draws = Draws(21);
    let mut digest = Digest::new();
    let mut budget = RetryBudget::new(0.2);
    let services = ["chat", "embed", "rank"];
    for _ in 0..20_000 {
        let service = services[draws.below(3) as usize];
        match draws.below(100) {
            0..=69 => budget.deposit(service),
            70..=98 => digest.number(u64::from(budget.withdraw(service))),
            _ => budget.retain(|name| name != service),
        }
    }
    assert_eq!(digest.0, 0xe734_46cc_83f7_afa5, "0x{:016x}", digest.0);
}

fn split_configuration(weights: &[&[f64]]) -> Configuration {
    let service = |index: usize| format!("s{index}");
    let route = |(number, weights): (usize, &&[f64])| {
        let split: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| json!({ "backend": service(index), "weight": weight }))
            .collect();
        json!({ "name": format!("r{number}"), "hostname": format!("h{number}"), "path-prefix": "/",
            "timeout-ms": 1000, "traffic-split": split })
    };
    let routes: Vec<_> = weights.iter().enumerate().map(route).collect();
    let services: Vec<_> = (0..4).map(|index| json!({ "name": service(index) })).collect();
    let document = json!({ "generation": 1, "services": services, "routes": routes });
    Configuration::read(&document).expect("the document is valid")
}

#[test]
fn splits_of_a_history_are_those_on_record() {
    let mut draws = Draws(31);
    let mut digest = Digest::new();
    let configuration = split_configuration(&[
        &[90.0, 10.0],
        &[0.3, 0.0, 0.7],
        &[1.0, 2.0, 3.0, 4.0],
        &[0.0, 5.0],
        &[33.3, 33.3, 33.4],
    ]);
    let fewer = split_configuration(&[&[90.0, 10.0], &[1.0, 1.0]]);
    let mut sidecars: Vec<TrafficSplits> = (0..5).map(|_| TrafficSplits::new(draws.next())).collect();
    for _ in 0..20_000 {
        let sidecar = &mut sidecars[draws.below(5) as usize];
        if draws.below(1_000) == 0 {
            sidecar.retain(&fewer);
        }
        let route = &configuration.routes[draws.below(5) as usize];
        digest.bytes(sidecar.choose(route).as_bytes());
    }
    assert_eq!(digest.0, 0xc2f8_7f98_a94e_059b, "0x{:016x}", digest.0);
}
