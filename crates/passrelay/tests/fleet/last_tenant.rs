//! Keys that are taken away stay refused, also those of the last tenant, on every machine and after a restart of all.
//!
//! The fault (review/1): once the last tenant was removed, every key worked again, taken away or never held by any configuration, and
//! the endpoint was handed it. A configuration with an empty list of tenants was taken for one that has never had any.

use super::{configuration, ok, request, status, PROGRAM};
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{wait_until, Server};
use rstest::rstest;
use serde_json::{json, Value};

const MACHINES: u8 = 4;
const VOTERS: u8 = 3;
const BEFORE: u64 = 3;
const AFTER: u64 = 4;
/// A key that no configuration has ever held.
const FALSE_KEY: &str = "key-never";
/// The key of the only tenant.
const ONLY_KEY: &str = "key-1";

/// How the last tenant leaves the configuration.
#[derive(Clone, Copy, Debug)]
enum Removal {
    /// `PATCH` that names the tenant in `remove`.
    ByName,
    /// `PUT` of a configuration whose list of tenants is empty.
    EmptyList,
    /// `PUT` of a configuration without the field `tenants`.
    NoList,
    /// `PUT` of a configuration whose tenant has no keys left.
    NoKeys,
}

impl Removal {
    fn call(self) -> (&'static str, Value) {
        let mut document = with_public_route(AFTER);
        match self {
            Removal::ByName => {
                return ("PATCH", json!({ "generation": AFTER, "remove": { "tenants": ["family"] } }))
            }
            Removal::EmptyList => document["tenants"] = json!([]),
            Removal::NoList => drop(document.as_object_mut().unwrap().remove("tenants")),
            Removal::NoKeys => document["tenants"][0]["api-keys"] = json!([]),
        }
        ("PUT", document)
    }

    /// Returns the status of a request without a key. Only a configuration that has `tenants` asks for keys.
    fn keyless_status(self) -> u16 {
        if matches!(self, Removal::NoList) {
            200
        } else {
            401
        }
    }
}

fn with_public_route(generation: u64) -> Value {
    let mut document = configuration(generation);
    document["routes"][1]["public"] = json!(true);
    document
}

/// A request on a route that needs a key (`open`) or on a public one (`look`).
fn with_authorization(path: &str, authorization: &str) -> Vec<u8> {
    let text = String::from_utf8(request(path, "", "")).unwrap();
    text.replace("Authorization: Bearer key-1\r\n", authorization).into_bytes()
}

fn keyed(path: &str, key: &str) -> Vec<u8> {
    with_authorization(path, &format!("Authorization: Bearer {key}\r\n"))
}

fn ask(sidecar: &Sidecar, request: &[u8]) -> u16 {
    status(&sidecar.exchange(request))
}

/// Three voters and a machine without a disk, which serve one endpoint.
struct Running {
    fleet: Fleet,
    sidecars: Vec<Sidecar>,
    endpoint: Server,
    sequence: u64,
}

impl Running {
    fn start(document: &Value) -> Self {
        let mut fleet = Fleet::new(PROGRAM, MACHINES);
        fleet.voters = VOTERS;
        let sidecars = fleet.start_all();
        let endpoint = Server::start(|_| ok("ran"));
        let mut running = Running { fleet, sidecars, endpoint, sequence: 0 };
        wait_until("the first configuration is taken", || {
            running.sidecars[0].put_configuration(0, document) == 200
        });
        running.wait_until_served(BEFORE);
        running
    }

    /// Sends a heartbeat until it is acknowledged, and waits until all machines have the configuration and are ready.
    fn wait_until_served(&mut self, generation: u64) {
        self.sequence += 1;
        let (endpoint, sequence) = (self.endpoint.address, self.sequence);
        wait_until("the heartbeat is taken", || {
            self.sidecars[0].heartbeat("i-0", "bays", endpoint, "ready", sequence) == 200
        });
        wait_until("all have the configuration", || {
            self.sidecars.iter().all(|sidecar| sidecar.status()["generation"] == json!(generation))
        });
        self.sidecars.iter().for_each(Sidecar::wait_until_ready);
    }

    fn change(&self, base: u64, method: &str, body: &Value) {
        let headers = format!("If-Match: {base}\r\n");
        wait_until("the change is acknowledged", || {
            let answer = self.sidecars[0].call_control(method, "/config", &headers, &body.to_string());
            answer.is_some_and(|answer| answer.status() == 200)
        });
    }

    /// Kills all processes and starts them again.
    fn restart(&mut self) {
        self.sidecars.iter().for_each(|sidecar| sidecar.signal("KILL"));
        self.sidecars.clear();
        self.sidecars = (1..=MACHINES).map(|machine| self.fleet.start(machine, false)).collect();
    }

    /// Checks what each machine makes of keys that no configuration in force holds.
    fn check_revoked(&self, removal: Removal, when: &str) {
        let before = self.endpoint.requests().len();
        for (machine, sidecar) in self.sidecars.iter().enumerate() {
            let what = format!("{removal:?}, {when}, machine {machine}");
            for key in [ONLY_KEY, FALSE_KEY] {
                assert_eq!(ask(sidecar, &keyed("/open/1", key)), 401, "{what}, {key}");
            }
            assert_eq!(
                ask(sidecar, &with_authorization("/open/1", "")),
                removal.keyless_status(),
                "{what}, no key"
            );
            assert_eq!(ask(sidecar, &keyed("/look/1", FALSE_KEY)), 200, "{what}, public route");
        }
        for run in &self.endpoint.requests()[before..] {
            assert_eq!(run.header("authorization"), None, "{removal:?}, {when}: the key was passed on");
        }
    }
}

#[rstest]
fn no_key_works_on_any_machine_once_the_last_tenant_is_gone(
    #[values(Removal::ByName, Removal::EmptyList, Removal::NoList, Removal::NoKeys)] removal: Removal,
) {
    let mut running = Running::start(&with_public_route(BEFORE));
    for sidecar in &running.sidecars {
        assert_eq!(ask(sidecar, &keyed("/open/1", ONLY_KEY)), 200);
    }
    let (method, body) = removal.call();
    running.change(BEFORE, method, &body);
    running.wait_until_served(AFTER);
    running.check_revoked(removal, "after the change");
    running.restart();
    running.wait_until_served(AFTER);
    running.check_revoked(removal, "after the restart");
    // A tenant that comes back has its key again, and only that key.
    let back = json!({ "generation": AFTER + 1, "upsert": { "tenants": [{ "name": "family", "api-keys": [ONLY_KEY] }] } });
    running.change(AFTER, "PATCH", &back);
    running.wait_until_served(AFTER + 1);
    for sidecar in &running.sidecars {
        assert_eq!(ask(sidecar, &keyed("/open/1", ONLY_KEY)), 200);
        assert_eq!(ask(sidecar, &keyed("/open/1", FALSE_KEY)), 401);
    }
}

// Guards against the opposite error: a fleet that never had tenants asks for no keys, and what its endpoints do with
// `Authorization` is theirs, also after a change that removes a tenant of a name that isn't there.
#[test]
fn a_fleet_that_never_had_tenants_asks_for_no_key() {
    let mut document = with_public_route(BEFORE);
    document.as_object_mut().unwrap().remove("tenants");
    let mut running = Running::start(&document);
    let nobody =
        json!({ "generation": AFTER, "remove": { "tenants": ["nobody"] }, "upsert": { "tenants": [] } });
    running.change(BEFORE, "PATCH", &nobody);
    running.wait_until_served(AFTER);
    for sidecar in &running.sidecars {
        assert_eq!(ask(sidecar, &with_authorization("/open/1", "")), 200);
        assert_eq!(ask(sidecar, &keyed("/open/1", "of-the-endpoint")), 200);
    }
    let passed_on = running.endpoint.requests();
    assert_eq!(passed_on.last().unwrap().header("authorization"), Some("Bearer of-the-endpoint"));
}
