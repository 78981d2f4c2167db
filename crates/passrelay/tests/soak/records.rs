//! What clients, endpoints, the operator and the fault injector of a soak have seen, on one clock.

use crate::orders::Order;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time since the soak began.
pub type Time = Duration;

/// A request of a client and what became of it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub machine: u8,
    pub sent_at: Time,
    pub path: String,
    pub key: String,
    /// Status of the answer; 0 without one.
    pub status: u16,
    /// The service whose endpoint ran it, if one did.
    pub service: Option<String>,
}

impl Exchange {
    pub fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Whether the process denied it by its configuration.
    pub fn is_denied(&self) -> bool {
        [401, 403, 404].contains(&self.status)
    }
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Time,
    pub service: String,
    pub version: String,
}

/// What the configuration demands of requests with a path and a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Demand {
    /// The route and the key are there.
    Allowed,
    /// They are there, and only this service may run it.
    RunBy(&'static str),
    /// The route is not there.
    Unrouted,
    /// The key is not there. Binds every process, in touch or not.
    Revoked,
}

/// A demand and the time in which it holds.
#[derive(Clone, Debug)]
pub struct Expectation {
    pub path: String,
    pub key: String,
    pub demand: Demand,
    /// When the change was acknowledged.
    pub acknowledged_at: Time,
    /// When the next change of the same item was sent.
    pub until: Option<Time>,
}

/// A time in which a machine's process did not run undisturbed.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "what happened is for the log of a soak that fails")]
pub struct Disturbance {
    pub machine: u8,
    pub what: String,
    pub from: Time,
    pub to: Option<Time>,
}

/// Everything that was seen.
pub struct Records {
    began: Instant,
    pub exchanges: Mutex<Vec<Exchange>>,
    pub runs: Mutex<Vec<Run>>,
    pub expectations: Mutex<Vec<Expectation>>,
    pub disturbances: Mutex<Vec<Disturbance>>,
    /// Proper orders.
    pub orders: Mutex<Vec<Order>>,
    /// Faults that were seen at once, such as an invalid change that was acknowledged.
    pub violations: Mutex<Vec<String>>,
    /// What the operator did, for the log of a soak that fails.
    pub operations: Mutex<Vec<String>>,
}

impl Records {
    pub fn new() -> Self {
        Records {
            began: Instant::now(),
            exchanges: Mutex::default(),
            runs: Mutex::default(),
            expectations: Mutex::default(),
            disturbances: Mutex::default(),
            orders: Mutex::default(),
            violations: Mutex::default(),
            operations: Mutex::default(),
        }
    }

    pub fn now(&self) -> Time {
        self.began.elapsed()
    }

    pub fn violation(&self, what: String) {
        let at = self.now();
        self.violations.lock().unwrap().push(format!("{at:?}: {what}"));
    }

    /// A proper order has ended.
    pub fn order(&self, what: &str, sent_at: Time, is_answered: bool) {
        let order = Order { what: what.to_owned(), sent_at, ended_at: self.now(), is_answered };
        self.orders.lock().unwrap().push(order);
    }

    pub fn operation(&self, what: String) {
        let at = self.now();
        self.operations.lock().unwrap().push(format!("{at:?}: {what}"));
    }

    /// A change that replaces what is expected of a path and key is about to be sent.
    pub fn end_expectations(&self, applies: impl Fn(&Expectation) -> bool) {
        let now = self.now();
        for expectation in self.expectations.lock().unwrap().iter_mut() {
            if expectation.until.is_none() && applies(expectation) {
                expectation.until = Some(now);
            }
        }
    }

    /// A change was acknowledged.
    pub fn expect(&self, path: &str, key: &str, demand: Demand) {
        let acknowledged_at = self.now();
        let expectation =
            Expectation { path: path.to_owned(), key: key.to_owned(), demand, acknowledged_at, until: None };
        self.expectations.lock().unwrap().push(expectation);
    }

    pub fn begin_disturbance(&self, machine: u8, what: &str) {
        let disturbance = Disturbance { machine, what: what.to_owned(), from: self.now(), to: None };
        self.disturbances.lock().unwrap().push(disturbance);
    }

    /// The process of a machine runs again, undisturbed.
    pub fn end_disturbances(&self, machine: u8) {
        let now = self.now();
        for disturbance in self.disturbances.lock().unwrap().iter_mut() {
            if disturbance.machine == machine && disturbance.to.is_none() {
                disturbance.to = Some(now);
            }
        }
    }
}
