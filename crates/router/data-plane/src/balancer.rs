//! Which endpoint gets the next request.
//!
//! Load reports feed a formula on a time or count trigger and weighted turns pick, as in the sidecar that this
//! fleet grew from. Around it stands the ready set: who may be picked now. For prompts it holds those endpoints at
//! which the prompt would be read soonest: least tokens ahead of it, and shared parts that are kept there already.

use crate::prompt::Prompt;
use passrelay_dissemination::{EndpointLoad, EndpointRecord, EndpointState, Outcomes};
use passrelay_load_balancing::weighted_round_robin::{select, Candidate};
use rustc_hash::FxHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// A factor is recomputed after this time ...
const REFRESH_AFTER: Duration = Duration::from_millis(250);
/// ... or after this many calls sent to the endpoint.
const REFRESH_CALLS: u32 = 4;
/// Factor before a first report.
const UNKNOWN_FACTOR: f64 = 50.0;
/// A report fades over this time to what the sidecar sees itself.
const REPORT_FADES: Duration = Duration::from_millis(1_500);
/// An endpoint with unanswered requests that has sent nothing for this long gets no more.
const SILENCE: Duration = Duration::from_millis(700);
/// An endpoint is suspected where its failures, of late and as far as known, come to this many ...
const SUSPECTED_FROM: f64 = 2.0;
/// ... and to this part of its outcomes.
const SUSPECTED_PART: f64 = 0.25;
/// Where more than this part of a service's endpoints would be suspected the fault is likely elsewhere, and none is.
const MOST_SUSPECTED: f64 = 0.4;
/// First pause for an endpoint that failed; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Weight of endpoints in other zones against those of the own zone, where nothing else tells them apart.
const OTHER_ZONE: f64 = 0.1;
/// Prompt tokens by which endpoints may differ and still take turns.
const ALIKE_TOKENS: f64 = 300.0;
/// A token that has to be read again weighs one token for each of these spans in the request's target: reading again
/// has a price near the request's worth, and waiting costs the more the shorter the target is.
const READ_AGAIN_PER: Duration = Duration::from_millis(50);
/// A shared part counts as kept for this long after it was sent to an endpoint.
const KEPT_FOR: Duration = Duration::from_secs(10);
/// What is known of other sidecars' calls counts for this long.
const SUMS_LAST: Duration = Duration::from_millis(1_200);
/// Shared parts whose endpoints are remembered.
const REMEMBERED_PARTS: usize = 4_096;
/// Pause between searches for parts that can be forgotten, where there are too many.
const FORGET_EVERY: Duration = Duration::from_secs(1);
/// Weight of the newest prompt in the mean length.
const MEAN_STEP: f64 = 0.05;

/// What an endpoint reports in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests running.
    pub running: f64,
    /// Requests waiting.
    pub waiting: f64,
    /// Requests that it works on at the same time.
    pub slots: f64,
}

impl LoadReport {
    /// Reads `RUNNING,WAITING,SLOTS`.
    pub fn read(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(LoadReport { running, waiting, slots })
    }
}

/// How a call to an endpoint ended, as far as placing the next one goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer came.
    Answered,
    /// The endpoint turned it away without running it.
    Rejected,
    /// No connection came up, or it broke, or the answer was no answer.
    Failed,
    /// The caller left.
    Abandoned,
}

/// What is asked of a pick.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The prompt, where requests with the same parts are to be kept together.
    pub prompt: Option<Prompt>,
    /// Time within which an answer earns its full worth.
    pub target: Duration,
    /// Endpoints that were tried already.
    pub tried: &'a [Arc<str>],
}

/// An endpoint that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its instance id.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Prompt tokens that it has to read, without the parts that it keeps.
    pub tokens_to_read: u64,
}

#[derive(Debug)]
struct Endpoint {
    id: Arc<str>,
    address: SocketAddrV4,
    own_zone: bool,
    state: EndpointState,
    capacity: f64,
    factor: f64,
    tally: f64,
    refreshed_at: Option<Duration>,
    calls_since: u32,
    report: Option<(LoadReport, Duration)>,
    /// Own calls out now, and out when the last report came.
    in_flight: u32,
    in_flight_at_report: u32,
    last_heard: Duration,
    last_sent: Duration,
    unanswered: u32,
    unanswered_at_report: u32,
    /// Prompt tokens of own calls that have no answer yet.
    pending_prompt_tokens: f64,
    /// What other sidecars have out here, and when that was known.
    others: Option<(EndpointLoad, Duration)>,
    failures: u32,
    paused_until: Duration,
    /// What became of own requests, and how many of these were not told yet.
    outcomes: Outcomes,
    untold_answered: u32,
    untold_failed: u32,
}

impl Endpoint {
    fn new(record: &EndpointRecord, own_zone: bool) -> Self {
        Endpoint {
            id: record.id.as_str().into(),
            address: record.address,
            own_zone,
            state: record.state,
            capacity: f64::from(record.capacity.max(1)),
            factor: UNKNOWN_FACTOR,
            tally: 0.0,
            refreshed_at: None,
            calls_since: 0,
            report: None,
            in_flight: 0,
            in_flight_at_report: 0,
            last_heard: Duration::ZERO,
            last_sent: Duration::ZERO,
            unanswered: 0,
            unanswered_at_report: 0,
            pending_prompt_tokens: 0.0,
            others: None,
            failures: 0,
            paused_until: Duration::ZERO,
            outcomes: Outcomes::default(),
            untold_answered: 0,
            untold_failed: 0,
        }
    }

    fn others(&self, now: Duration) -> Option<EndpointLoad> {
        let (load, at) = self.others?;
        (now.saturating_sub(at) < SUMS_LAST).then_some(load)
    }

    /// What is out here, and what became of requests since the last account.
    fn account(&mut self) -> EndpointLoad {
        EndpointLoad {
            endpoint: key_of(&self.id),
            pending_prompt_tokens: self.pending_prompt_tokens as u32,
            in_flight: self.in_flight,
            answered: std::mem::take(&mut self.untold_answered),
            failed: std::mem::take(&mut self.untold_failed),
        }
    }

    fn note(&mut self, now: Duration, failed: bool) {
        let (answered, failed) = (u32::from(!failed), u32::from(failed));
        self.outcomes.add(now, answered, failed);
        self.untold_answered += answered;
        self.untold_failed += failed;
    }

    /// Whether many of its answers fail, by own requests or by those of several sidecars.
    fn is_suspected(&self, now: Duration) -> bool {
        let many = |answered: f64, failed: f64| {
            failed >= SUSPECTED_FROM && failed >= SUSPECTED_PART * (answered + failed)
        };
        let (answered, failed) = self.outcomes.at_time(now);
        let told = self.others(now).map(|o| (f64::from(o.answered), f64::from(o.failed)));
        many(answered, failed) || told.is_some_and(|(answered, failed)| many(answered, failed))
    }

    /// Parts of its slots that are taken: the last report, corrected by what was sent and ended here since, fading
    /// to the own calls alone.
    fn utilization(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        if let Some(others) = self.others(now) {
            let slots = self.report.map_or(self.capacity, |(report, _)| report.slots.max(1.0));
            return (own + f64::from(others.in_flight)) / slots;
        }
        let Some((report, at)) = self.report else { return own / self.capacity };
        let reported = report.running + report.waiting;
        let fresh = (-now.saturating_sub(at).as_secs_f64() / REPORT_FADES.as_secs_f64()).exp();
        let others = (reported - f64::from(self.in_flight_at_report)).max(0.0);
        (others * fresh + own) / report.slots.max(1.0)
    }

    /// Prompt tokens that are to be read before a new one: the own ones, and those of requests of others that waited
    /// when the last report was made.
    fn tokens_ahead(&self, now: Duration, mean_tokens: f64) -> f64 {
        if let Some(others) = self.others(now) {
            return self.pending_prompt_tokens + f64::from(others.pending_prompt_tokens);
        }
        let Some((report, at)) = self.report else { return self.pending_prompt_tokens };
        let fresh = (-now.saturating_sub(at).as_secs_f64() / REPORT_FADES.as_secs_f64()).exp();
        let others = (report.waiting - f64::from(self.unanswered_at_report)).max(0.0);
        self.pending_prompt_tokens + others * mean_tokens * fresh
    }

    /// The formula: spare capacity, 0 to 100.
    fn formula(&self, now: Duration) -> f64 {
        if self.report.is_none() && self.in_flight == 0 {
            return UNKNOWN_FACTOR;
        }
        ((1.0 - self.utilization(now)) * 100.0).max(0.0)
    }

    fn refresh(&mut self, now: Duration) {
        let due = self.refreshed_at.is_none_or(|at| now.saturating_sub(at) >= REFRESH_AFTER);
        if due || self.calls_since >= REFRESH_CALLS {
            self.factor = self.formula(now);
            self.refreshed_at = Some(now);
            self.calls_since = 0;
        }
    }

    fn is_silent(&self, now: Duration) -> bool {
        self.unanswered > 0 && now.saturating_sub(self.last_heard.max(self.last_sent)) > SILENCE
    }

    fn is_well(&self, now: Duration) -> bool {
        self.state == EndpointState::Ready && now >= self.paused_until && !self.is_silent(now)
    }
}

/// The endpoints of all services as this sidecar sees them.
#[derive(Debug)]
pub struct Balancer {
    zone: String,
    endpoints: HashMap<Arc<str>, Endpoint>,
    services: HashMap<String, Vec<Arc<str>>>,
    /// Where shared parts were sent lately, and when.
    kept: HashMap<u64, Vec<(Arc<str>, Duration)>>,
    next_forgetting: Duration,
    mean_tokens: f64,
}

impl Balancer {
    /// A balancer of a sidecar in a zone.
    pub fn new(zone: &str) -> Self {
        Balancer {
            zone: zone.to_owned(),
            endpoints: HashMap::new(),
            services: HashMap::new(),
            kept: HashMap::new(),
            next_forgetting: Duration::ZERO,
            mean_tokens: 0.0,
        }
    }

    /// Takes the registry as it is now. What was seen of endpoints that stay is kept.
    pub fn update<'a>(&mut self, records: impl Iterator<Item = &'a EndpointRecord>) {
        let mut services: BTreeMap<&str, Vec<Arc<str>>> = BTreeMap::new();
        let mut before = std::mem::take(&mut self.endpoints);
        for record in records.filter(|r| r.state != EndpointState::Removed) {
            let own_zone = record.zone == self.zone;
            let mut endpoint =
                before.remove(record.id.as_str()).unwrap_or_else(|| Endpoint::new(record, own_zone));
            endpoint.state = record.state;
            endpoint.address = record.address;
            let id = endpoint.id.clone();
            self.endpoints.insert(id.clone(), endpoint);
            services.entry(&record.service).or_default().push(id);
        }
        self.services = services.into_iter().map(|(service, ids)| (service.to_owned(), ids)).collect();
    }

    /// Shared parts whose endpoints are remembered.
    pub fn remembered_parts(&self) -> usize {
        self.kept.len()
    }

    /// Whether any endpoint of any service may be sent to.
    pub fn has_ready(&self) -> bool {
        self.endpoints.values().any(|e| e.state == EndpointState::Ready)
    }

    /// Whether an endpoint may still be sent to.
    pub fn may_send(&self, id: &str) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|e| matches!(e.state, EndpointState::Ready | EndpointState::Expired))
    }

    /// Picks an endpoint.
    pub fn pick(&mut self, now: Duration, request: &PickRequest) -> Option<Pick> {
        let ids = self.services.get(request.service)?;
        let known = |id: &&Arc<str>| {
            let endpoint = &self.endpoints[*id];
            endpoint.state != EndpointState::Draining && !request.tried.contains(id)
        };
        let candidates: Vec<Arc<str>> = ids.iter().filter(known).cloned().collect();
        let suspected: Vec<bool> = candidates.iter().map(|id| self.endpoints[id].is_suspected(now)).collect();
        let count = suspected.iter().filter(|s| **s).count();
        let believes = count as f64 <= MOST_SUSPECTED * candidates.len() as f64;
        let well: Vec<Arc<str>> = candidates
            .iter()
            .zip(&suspected)
            .filter(|(id, suspected)| self.endpoints[*id].is_well(now) && !(believes && **suspected))
            .map(|(id, _)| id.clone())
            .collect();
        // With nobody well, whoever may be there is tried: the trouble may be over.
        let ready = if well.is_empty() { candidates } else { well };
        for id in &ready {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.refresh(now);
            }
        }
        let (chosen, tokens_to_read) = match &request.prompt {
            Some(prompt) => self.pick_for_prompt(now, &ready, prompt, request.target),
            None => self.pick_by_turn(&ready).map(|id| (id, 0)),
        }?;
        let endpoint = self.endpoints.get(&chosen)?;
        Some(Pick { id: endpoint.id.clone(), address: endpoint.address, tokens_to_read })
    }

    /// Turns among all ready endpoints.
    fn pick_by_turn(&mut self, ready: &[Arc<str>]) -> Option<Arc<str>> {
        let spared = ready.iter().any(|id| self.endpoints[id].factor > 0.0);
        let crowded = ready.iter().any(|id| self.endpoints[id].own_zone && self.endpoints[id].factor > 50.0);
        let weight = |e: &Endpoint| {
            let factor = if spared { e.factor } else { 1.0 };
            factor * if e.own_zone || !crowded { 1.0 } else { OTHER_ZONE }
        };
        self.turn(ready, weight)
    }

    /// The endpoints that are taken to keep the shared parts of a prompt: their home, and where they were sent lately.
    fn keepers(&self, now: Duration, ready: &[Arc<str>], prompt: &Prompt) -> Vec<Arc<str>> {
        let Some(part) = prompt.shared_part else { return Vec::new() };
        let home = ready.iter().max_by_key(|id| rendezvous(part, id));
        let places = self.kept.get(&part).into_iter().flatten();
        let lately = places.filter(|(_, when)| now.saturating_sub(*when) < KEPT_FOR).map(|(at, _)| at);
        home.into_iter().chain(lately).cloned().collect()
    }

    /// Turns among the endpoints at which the prompt would be read soonest; with the tokens to be read there.
    fn pick_for_prompt(
        &mut self,
        now: Duration,
        ready: &[Arc<str>],
        prompt: &Prompt,
        target: Duration,
    ) -> Option<(Arc<str>, u64)> {
        let keepers = self.keepers(now, ready, prompt);
        let read_again = target.as_secs_f64() / READ_AGAIN_PER.as_secs_f64();
        let cost = |id: &Arc<str>| {
            let ahead = self.endpoints[id].tokens_ahead(now, self.mean_tokens);
            ahead + if keepers.contains(id) { 0.0 } else { read_again * prompt.shared_tokens as f64 }
        };
        let costs: Vec<f64> = ready.iter().map(cost).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let near = ready.iter().zip(&costs).filter(|(_, cost)| **cost <= least + ALIKE_TOKENS);
        let soonest: Vec<Arc<str>> = near.map(|(id, _)| id.clone()).collect();
        let chosen = self.pick_by_turn(&soonest)?;
        let kept_tokens = if keepers.contains(&chosen) { prompt.shared_tokens } else { 0 };
        Some((chosen, prompt.input_tokens.saturating_sub(kept_tokens)))
    }

    fn remember_part(&mut self, now: Duration, part: u64, id: &Arc<str>) {
        if self.kept.len() >= REMEMBERED_PARTS && !self.kept.contains_key(&part) {
            if now < self.next_forgetting {
                return;
            }
            self.next_forgetting = now + FORGET_EVERY;
            self.kept.retain(|_, places| {
                places.retain(|(_, when)| now.saturating_sub(*when) < KEPT_FOR);
                !places.is_empty()
            });
            if self.kept.len() >= REMEMBERED_PARTS {
                return;
            }
        }
        let places = self.kept.entry(part).or_default();
        places.retain(|(at, when)| at != id && now.saturating_sub(*when) < KEPT_FOR);
        places.push((id.clone(), now));
    }

    fn turn(&mut self, among: &[Arc<str>], weight: impl Fn(&Endpoint) -> f64) -> Option<Arc<str>> {
        let mut chosen: Vec<(&Arc<str>, &mut Endpoint)> =
            self.endpoints.iter_mut().filter(|(id, _)| among.contains(id)).collect();
        chosen.sort_by(|a, b| a.0.cmp(b.0));
        let ids: Vec<Arc<str>> = chosen.iter().map(|(id, _)| (*id).clone()).collect();
        let candidates = chosen.into_iter().enumerate().map(|(index, (_, endpoint))| {
            let factor = weight(endpoint);
            Candidate { item: index, weight: factor, current_weight: &mut endpoint.tally }
        });
        select(candidates).map(|index| ids[index].clone())
    }

    /// What this sidecar has out, by endpoint, and what became of its requests since the last account.
    pub fn account(&mut self) -> Vec<EndpointLoad> {
        let has_news = |e: &&mut Endpoint| e.in_flight + e.untold_answered + e.untold_failed > 0;
        self.endpoints.values_mut().filter(has_news).map(Endpoint::account).collect()
    }

    /// Takes in what all sidecars have out, this one with what it told among them.
    pub fn learn_sums(&mut self, now: Duration, told: &[EndpointLoad], sums: &HashMap<u64, EndpointLoad>) {
        for endpoint in self.endpoints.values_mut() {
            let key = key_of(&endpoint.id);
            let own = told.iter().find(|l| l.endpoint == key);
            let sum = sums.get(&key);
            let rest =
                |part: fn(&EndpointLoad) -> u32| sum.map_or(0, part).saturating_sub(own.map_or(0, part));
            let others = EndpointLoad {
                endpoint: key,
                pending_prompt_tokens: rest(|l| l.pending_prompt_tokens),
                in_flight: rest(|l| l.in_flight),
                answered: sum.map_or(0, |l| l.answered),
                failed: sum.map_or(0, |l| l.failed),
            };
            endpoint.others = Some((others, now));
        }
    }

    /// A call was sent to an endpoint that was picked.
    pub fn sent(&mut self, now: Duration, pick: &Pick, prompt: Option<&Prompt>) {
        if let Some(prompt) = prompt {
            self.mean_tokens += MEAN_STEP * (pick.tokens_to_read as f64 - self.mean_tokens);
            if let Some(part) = prompt.shared_part {
                self.remember_part(now, part, &pick.id);
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&pick.id) {
            endpoint.pending_prompt_tokens += pick.tokens_to_read as f64;
            endpoint.in_flight += 1;
            endpoint.calls_since += 1;
            if endpoint.unanswered == 0 {
                endpoint.last_sent = now;
            }
            endpoint.unanswered += 1;
        }
    }

    /// The head of an answer came; `failed` tells whether it tells of an error at the endpoint.
    pub fn answered(&mut self, now: Duration, pick: &Pick, report: Option<LoadReport>, failed: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(&pick.id) {
            endpoint.note(now, failed);
            endpoint.last_heard = now;
            endpoint.forget_unread(pick);
            endpoint.unanswered = endpoint.unanswered.saturating_sub(1);
            endpoint.failures = 0;
            endpoint.paused_until = Duration::ZERO;
            if let Some(report) = report {
                endpoint.report = Some((report, now));
                endpoint.in_flight_at_report = endpoint.in_flight;
                endpoint.unanswered_at_report = endpoint.unanswered;
            }
        }
    }

    /// A piece of an answer came.
    pub fn heard(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.last_heard = now;
        }
    }

    /// A call that was sent has ended; `answered` tells whether the head of an answer had come.
    pub fn ended(&mut self, now: Duration, pick: &Pick, answered: bool, end: CallEnd) {
        let Some(endpoint) = self.endpoints.get_mut(&pick.id) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if !answered {
            endpoint.unanswered = endpoint.unanswered.saturating_sub(1);
            endpoint.forget_unread(pick);
        }
        let silent = !answered && endpoint.last_heard < endpoint.last_sent;
        if end == CallEnd::Failed || (end == CallEnd::Abandoned && silent) {
            endpoint.note(now, true);
            endpoint.pause(now);
        }
    }

    /// No connection to an endpoint came up.
    pub fn unreachable(&mut self, now: Duration, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.note(now, true);
            endpoint.pause(now);
        }
    }
}

impl Endpoint {
    fn forget_unread(&mut self, pick: &Pick) {
        self.pending_prompt_tokens = (self.pending_prompt_tokens - pick.tokens_to_read as f64).max(0.0);
    }

    fn pause(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }
}

fn key_of(id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    hasher.finish()
}

fn rendezvous(part: u64, id: &str) -> u64 {
    let mut hasher = FxHasher::default();
    (part, id).hash(&mut hasher);
    // FxHasher leaves the low bits weak; one more round of mixing evens the order out.
    let mixed = (hasher.finish() ^ (hasher.finish() >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
