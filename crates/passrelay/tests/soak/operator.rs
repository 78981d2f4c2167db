//! The operator: changes the configuration, sends what got no clear answer again, and reads it back.

use crate::bounds::CONFIG_APPLY;
use crate::http::call;
use crate::records::{Demand, Records, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub const SERVICES: [&str; 2] = ["alpha", "beta"];
pub const STABLE_KEY: &str = "key-stable";
/// A call without a clear answer is given up after this time.
const GIVE_UP: Duration = Duration::from_secs(12);
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// How a call ended for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Refused { status: u16, body: String },
    Unclear,
}

/// A change as it is sent, so that it can be sent again unchanged.
#[derive(Clone, Debug)]
pub struct Change {
    method: &'static str,
    base: u64,
    body: String,
}

impl Change {
    fn patch(base: u64, body: &Value) -> Self {
        Change { method: "PATCH", base, body: body.to_string() }
    }
}

/// Calls the control interface of any process, as long as it takes.
#[derive(Clone)]
pub struct Caller {
    pub records: Arc<Records>,
    pub controls: Vec<SocketAddr>,
}

impl Caller {
    /// Sends a change until it gets a clear answer.
    pub fn submit(&self, rng: &mut ChaCha8Rng, change: &Change) -> Outcome {
        let sent_at = self.records.now();
        let outcome = self.submit_until(rng, change, sent_at + GIVE_UP);
        let is_answered = outcome != Outcome::Unclear;
        self.records.order(&format!("{} on {}", change.method, change.base), sent_at, is_answered);
        outcome
    }

    fn submit_until(&self, rng: &mut ChaCha8Rng, change: &Change, until: Time) -> Outcome {
        let headers = format!("If-Match: {}\r\nContent-Type: application/json\r\n", change.base);
        let mut pause = FIRST_RETRY_PAUSE;
        while self.records.now() < until {
            let at = *self.controls.choose(rng).expect("a process");
            match call(at, change.method, "/config", &headers, &change.body) {
                Some((200, _)) => return Outcome::Acknowledged,
                Some((status @ (400 | 409 | 412 | 413 | 422), body)) => {
                    return Outcome::Refused { status, body };
                }
                _ => thread::sleep(pause),
            }
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
        Outcome::Unclear
    }

    /// Sends one valid patch.
    ///
    /// # Panics
    ///
    /// Panics where it is not acknowledged.
    pub fn patch_once(&self, base: u64, generation: u64, upsert: &Value) {
        let change = Change::patch(base, &json!({ "generation": generation, "upsert": upsert }));
        let outcome = self.submit(&mut ChaCha8Rng::seed_from_u64(generation), &change);
        assert_eq!(outcome, Outcome::Acknowledged);
    }

    /// Reads the configuration at any process.
    fn read_once(&self, rng: &mut ChaCha8Rng) -> Option<Value> {
        let at = *self.controls.choose(rng).expect("a process");
        match call(at, "GET", "/config", "", "") {
            Some((200, body)) => serde_json::from_str(&body).ok(),
            _ => None,
        }
    }

    /// Reads the configuration, again and again until a time.
    pub fn read_until(&self, rng: &mut ChaCha8Rng, until: Time) -> Option<Value> {
        while self.records.now() < until {
            if let Some(document) = self.read_once(rng) {
                return Some(document);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

/// An acknowledged generation and when that was.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    pub generation: u64,
    pub at: Time,
}

/// The operator and what it knows of the configuration.
pub struct Operator {
    pub caller: Caller,
    rng: ChaCha8Rng,
    /// The newest generation that is known to be in force.
    generation: u64,
    next_generation: u64,
    next_item: u64,
    /// Routes that were added and are there, with their service.
    added: Vec<(String, &'static str)>,
    /// Keys that were added and are there.
    keys: Vec<String>,
    last_change: Option<Change>,
    pub acknowledged: Vec<Acknowledged>,
}

/// The document that a soak begins with.
pub fn first_document(idle_routes: usize) -> Value {
    let stable = (0..8).map(|n| route(&format!("stable-{n}"), SERVICES[n % 2]));
    let idle = (0..idle_routes).map(|n| route(&format!("idle-{n}"), SERVICES[n % 2]));
    json!({
        "generation": 1,
        "routes": stable.chain(idle).collect::<Vec<_>>(),
        "services": SERVICES.map(service),
        "limits": { "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000 },
        "tenants": [tenant("family", &[STABLE_KEY.to_owned()]), tenant("fleet", &[])],
    })
}

pub fn stable_paths() -> Vec<String> {
    (0..8).map(|n| format!("/stable-{n}/")).collect()
}

fn service(name: &str) -> Value {
    json!({ "name": name, "health-path": "/health", "max-connections": 800, "protocol": "h1", "tls": false })
}

/// The items of a patch that sets the version of the first service; an empty one leaves it as it is.
pub fn service_of_version(version: &str) -> Value {
    let mut service = service(SERVICES[0]);
    if !version.is_empty() {
        service["version"] = json!(version);
    }
    json!({ "services": [service] })
}

/// The items of a patch that adds a route.
pub fn added_route(name: &str) -> Value {
    json!({ "routes": [route(name, SERVICES[0])] })
}

/// The items of a patch that adds a key.
pub fn added_key(key: &str) -> Value {
    json!({ "tenants": [tenant("fleet", &[key.to_owned()])] })
}

fn route(name: &str, service: &str) -> Value {
    json!({ "name": name, "hostname": "soak.example", "path-prefix": format!("/{name}/"), "route-type": "safe",
        "timeout-ms": 3_000, "target-latency-ms": 500, "priority": 1, "backend": service, "max-attempts": 2,
        "public": false, "session-affinity": false, "resumable": false })
}

fn tenant(name: &str, keys: &[String]) -> Value {
    json!({ "name": name, "api-keys": keys, "priority": 1 })
}

impl Operator {
    pub fn new(caller: Caller, seed: u64) -> Self {
        Operator {
            caller,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0b5e),
            generation: 0,
            next_generation: 1,
            next_item: 0,
            added: Vec::new(),
            keys: Vec::new(),
            last_change: None,
            acknowledged: Vec::new(),
        }
    }

    fn records(&self) -> &Records {
        &self.caller.records
    }

    /// Puts the first document.
    ///
    /// # Panics
    ///
    /// Panics where it is not acknowledged.
    pub fn put_first(&mut self, document: &Value) {
        let change = Change { method: "PUT", base: 0, body: document.to_string() };
        let outcome = self.caller.submit(&mut self.rng, &change);
        assert_eq!(outcome, Outcome::Acknowledged, "the first configuration");
        self.record_acknowledged(1);
        self.next_generation = 3;
    }

    fn record_acknowledged(&mut self, generation: u64) {
        self.generation = generation;
        let at = self.records().now();
        self.acknowledged.push(Acknowledged { generation, at });
    }

    /// Goes on with one operation after the other until a time.
    pub fn run(&mut self, until: Time) {
        while self.records().now() < until {
            match self.rng.random_range(0..22) {
                0..=4 => self.add_route(),
                5..=6 => self.move_route(),
                7..=8 => self.remove_route(),
                9..=10 => self.add_key(),
                11..=12 => self.revoke_key(),
                13..=14 => self.send_invalid(),
                15 => self.race(),
                16 => self.send_again(),
                17 => self.read(),
                18 => self.storm(),
                19 => self.replace_whole(),
                20 => self.add_split_route(),
                _ => self.grow(),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(50..600)));
        }
    }

    fn take_generation(&mut self) -> u64 {
        let generation = self.next_generation;
        self.next_generation += self.rng.random_range(1..4);
        generation
    }

    fn take_item(&mut self, kind: &str) -> String {
        self.next_item += 1;
        format!("{kind}-{}", self.next_item)
    }

    /// Sends a valid change on the newest generation; returns whether it is in force.
    fn change(&mut self, what: &str, upsert: &Value, remove: &Value) -> bool {
        let generation = self.take_generation();
        let body = json!({ "generation": generation, "upsert": upsert, "remove": remove });
        let change = Change::patch(self.generation, &body);
        self.submit_valid(what, change, generation)
    }

    /// As [`Operator::change`], for a change that is made already.
    fn submit_valid(&mut self, what: &str, change: Change, generation: u64) -> bool {
        let outcome = self.caller.submit(&mut self.rng, &change);
        self.records().operation(format!("{what} as {generation} on {}: {outcome:?}", change.base));
        match outcome {
            Outcome::Acknowledged => {
                self.last_change = Some(change);
                self.record_acknowledged(generation);
                true
            }
            Outcome::Refused { status, body } => {
                self.records().violation(format!("{what} on the newest generation refused: {status} {body}"));
                self.resynchronize(generation)
            }
            Outcome::Unclear => self.resynchronize(generation),
        }
    }

    /// Reads what is in force after a call without a clear answer; returns whether that is this generation.
    fn resynchronize(&mut self, sent: u64) -> bool {
        self.last_change = None;
        let until = self.records().now() + Duration::from_secs(30);
        let Some(document) = self.caller.read_until(&mut self.rng, until) else {
            self.records().violation("no process answers a read for 30 s".to_owned());
            return false;
        };
        let found = document["generation"].as_u64().unwrap_or(0);
        if found != sent && found != self.generation {
            let known = self.generation;
            self.records().violation(format!("{found} is in force, {known} was acknowledged, {sent} sent"));
        }
        if found > self.generation {
            self.record_acknowledged(found);
        }
        found == sent
    }

    fn add_route(&mut self) {
        let name = self.take_item("added");
        let service = *SERVICES.choose(&mut self.rng).expect("a service");
        if self.change("add a route", &json!({ "routes": [route(&name, service)] }), &json!({})) {
            self.records().expect(&format!("/{name}/"), STABLE_KEY, Demand::RunBy(service));
            self.added.push((name, service));
        }
    }

    fn move_route(&mut self) {
        if self.added.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.added.len());
        let (name, service) = self.added[index].clone();
        let other = SERVICES[usize::from(service == SERVICES[0])];
        let path = format!("/{name}/");
        self.records().end_expectations(|expectation| expectation.path == path);
        if self.change("move a route", &json!({ "routes": [route(&name, other)] }), &json!({})) {
            self.records().expect(&path, STABLE_KEY, Demand::RunBy(other));
            self.added[index].1 = other;
        } else {
            self.added.remove(index);
        }
    }

    fn remove_route(&mut self) {
        if self.added.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.added.len());
        let (name, _) = self.added.remove(index);
        let path = format!("/{name}/");
        self.records().end_expectations(|expectation| expectation.path == path);
        if self.change("remove a route", &json!({}), &json!({ "routes": [name] })) {
            self.records().expect(&path, STABLE_KEY, Demand::Unrouted);
        }
    }

    fn add_key(&mut self) {
        let key = self.take_item("key");
        let mut keys = self.keys.clone();
        keys.push(key.clone());
        if self.change("add a key", &json!({ "tenants": [tenant("fleet", &keys)] }), &json!({})) {
            self.records().expect(&stable_paths()[0], &key, Demand::Allowed);
            self.keys = keys;
        }
    }

    fn revoke_key(&mut self) {
        if self.keys.is_empty() {
            return;
        }
        let mut keys = self.keys.clone();
        let key = keys.remove(self.rng.random_range(0..keys.len()));
        self.records().end_expectations(|expectation| expectation.key == key);
        if self.change("revoke a key", &json!({ "tenants": [tenant("fleet", &keys)] }), &json!({})) {
            self.records().expect(&stable_paths()[0], &key, Demand::Revoked);
        }
        self.keys = keys;
    }

    /// The route's requests may be run by either service.
    fn add_split_route(&mut self) {
        let name = self.take_item("split");
        let mut split = route(&name, SERVICES[0]);
        split["traffic-split"] =
            json!([{ "backend": SERVICES[0], "weight": 90 }, { "backend": SERVICES[1], "weight": 10 }]);
        if self.change("add a split route", &json!({ "routes": [split] }), &json!({})) {
            self.records().expect(&format!("/{name}/"), STABLE_KEY, Demand::Allowed);
        }
    }

    /// The whole configuration as it is read, under another generation.
    fn replace_whole(&mut self) {
        let Some(mut document) = self.caller.read_once(&mut self.rng) else { return };
        let generation = self.take_generation();
        document["generation"] = json!(generation);
        let change = Change { method: "PUT", base: self.generation, body: document.to_string() };
        self.submit_valid("replace the whole", change, generation);
    }

    /// Many more routes in one change.
    fn grow(&mut self) {
        let count = if self.rng.random_bool(0.2) { 1_000 } else { self.rng.random_range(20..200) };
        let first = self.next_item;
        self.next_item += count;
        let routes: Vec<Value> =
            (first..first + count).map(|n| route(&format!("more-{n}"), SERVICES[0])).collect();
        self.change("add many routes", &json!({ "routes": routes }), &json!({}));
    }

    fn storm(&mut self) {
        for _ in 0..self.rng.random_range(4..10) {
            self.add_route();
            thread::sleep(Duration::from_millis(40));
        }
    }

    fn send_invalid(&mut self) {
        let base = self.generation;
        let generation = self.next_generation + 1_000;
        let name = self.take_item("invalid");
        let valid = route(&name, SERVICES[0]);
        let with = |field: &str, value: Value| {
            let mut changed = valid.clone();
            changed[field] = value;
            json!({ "generation": generation, "upsert": { "routes": [changed] } })
        };
        let (what, base, body) = match self.rng.random_range(0..8) {
            0 => ("cut short", base, with("priority", json!(1)).to_string()[..60].to_owned()),
            1 => ("of an unknown service", base, with("backend", json!("nobody")).to_string()),
            2 => ("at the place of another", base, with("path-prefix", json!("/stable-0/")).to_string()),
            3 => ("without timeout", base, with("timeout-ms", json!(0)).to_string()),
            4 => {
                let split = json!([{ "backend": "alpha", "weight": 0 }, { "backend": "beta", "weight": 0 }]);
                ("without weight", base, with("traffic-split", split).to_string())
            }
            5 => {
                let body = json!({ "generation": base, "upsert": { "routes": [valid] } });
                ("of the same generation", base, body.to_string())
            }
            6 => ("on an old generation", base.saturating_sub(1), with("priority", json!(1)).to_string()),
            _ => {
                let shared = tenant("thief", &[STABLE_KEY.to_owned()]);
                let body = json!({ "generation": generation, "upsert": { "tenants": [shared] } });
                ("with another's key", base, body.to_string())
            }
        };
        let change = Change { method: "PATCH", base, body };
        let outcome = self.caller.submit(&mut self.rng, &change);
        self.records().operation(format!("invalid change {what} on {base}: {outcome:?}"));
        if outcome == Outcome::Acknowledged {
            self.records().violation(format!("an invalid change {what} was acknowledged"));
        }
        self.records().expect(&format!("/{name}/"), STABLE_KEY, Demand::Unrouted);
    }

    /// Two changes on the same generation at once: one wins at most.
    fn race(&mut self) {
        let base = self.generation;
        let names = [self.take_item("race"), self.take_item("race")];
        let generations = [self.take_generation(), self.take_generation()];
        let changes: Vec<Change> = (0..2)
            .map(|n| {
                let upsert = json!({ "routes": [route(&names[n], SERVICES[n])] });
                Change::patch(base, &json!({ "generation": generations[n], "upsert": upsert }))
            })
            .collect();
        let seeds: [u64; 2] = self.rng.random();
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let racers: Vec<_> = changes
                .iter()
                .zip(seeds)
                .map(|(change, seed)| {
                    let caller = &self.caller;
                    scope.spawn(move || caller.submit(&mut ChaCha8Rng::seed_from_u64(seed), change))
                })
                .collect();
            racers.into_iter().map(|racer| racer.join().expect("a racer")).collect()
        });
        self.records().operation(format!("race {generations:?} on {base}: {outcomes:?}"));
        let winners: Vec<usize> = (0..2).filter(|n| outcomes[*n] == Outcome::Acknowledged).collect();
        match winners.as_slice() {
            [winner] => {
                self.last_change = Some(changes[*winner].clone());
                self.record_acknowledged(generations[*winner]);
                self.records().expect(
                    &format!("/{}/", names[*winner]),
                    STABLE_KEY,
                    Demand::RunBy(SERVICES[*winner]),
                );
                if matches!(outcomes[1 - winner], Outcome::Refused { .. }) {
                    self.records().expect(&format!("/{}/", names[1 - winner]), STABLE_KEY, Demand::Unrouted);
                }
            }
            [] => {
                self.last_change = None;
                let until = self.records().now() + Duration::from_secs(30);
                let found = self.caller.read_until(&mut self.rng, until);
                let found = found.and_then(|document| document["generation"].as_u64()).unwrap_or(0);
                if generations.contains(&found) {
                    self.record_acknowledged(found);
                } else if found != base {
                    self.records().violation(format!("{found} is in force after a race on {base}"));
                }
            }
            _ => self.records().violation(format!("both changes of a race on {base} were acknowledged")),
        }
    }

    /// Sends the last acknowledged change once more.
    fn send_again(&mut self) {
        let Some(change) = self.last_change.clone() else { return };
        let outcome = self.caller.submit(&mut self.rng, &change);
        self.records().operation(format!("the last change again: {outcome:?}"));
        if let Outcome::Refused { status, body } = outcome {
            self.records()
                .violation(format!("the acknowledged change sent again was refused: {status} {body}"));
        }
    }

    fn read(&mut self) {
        let sent_at = self.records().now();
        let Some(document) = self.caller.read_once(&mut self.rng) else { return };
        let found = document["generation"].as_u64().unwrap_or(0);
        let owed = self.acknowledged.iter().rev().find(|acked| acked.at + CONFIG_APPLY < sent_at);
        if owed.is_some_and(|owed| found < owed.generation) {
            self.records().violation(format!("a read finds {found}, {owed:?} was acknowledged"));
        }
    }

    /// One more change, for a fault right after its acknowledgement.
    pub fn change_once_more(&mut self) {
        self.add_route();
    }

    /// Reads the configuration back after the final fault.
    pub fn check_recovered(&mut self, until: Time) {
        let Some(document) = self.caller.read_until(&mut self.rng, until) else {
            self.records().violation("the configuration can't be read after the final fault".to_owned());
            return;
        };
        let found = document["generation"].as_u64().unwrap_or(0);
        if found != self.generation {
            let known = self.generation;
            self.records()
                .violation(format!("{found} is in force after the final fault, {known} was acknowledged"));
        }
    }
}
