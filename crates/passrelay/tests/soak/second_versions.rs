//! Second versions of a service, faulty and good ones, brought up and ordered one after the other while faults go on.

use crate::bounds::ACK;
use crate::checks::Exposure;
use crate::endpoints::{Endpoint, Endpoints, Quality};
use crate::http::call;
use crate::operator::SERVICES;
use crate::records::{Records, Time};
use crate::scenario::ENDPOINTS_PER_SERVICE;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Operators give an order up after this time without a clear answer.
const GIVE_UP: Duration = Duration::from_secs(2 * ACK.as_secs());
/// A fleet that was disturbed tells the end of a roll-out after this time.
const END_KNOWN: Duration = Duration::from_secs(6);

/// Time between two reads of a roll-out.
const PAUSE: Duration = Duration::from_millis(200);

/// Brings second versions up until a time. A faulty one must get little and never be completed.
pub fn start_second_versions(
    endpoints: &Endpoints,
    records: &Records,
    controls: &[SocketAddr],
    seed: u64,
    until: Time,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ec0);
    for number in 2.. {
        thread::sleep(Duration::from_millis(rng.random_range(500..3_000)));
        let deadline = Duration::from_secs(rng.random_range(5..10));
        let is_good = rng.random_bool(0.3);
        let from = records.now();
        if from + deadline + END_KNOWN > until {
            return;
        }
        let mut version = SecondVersion {
            name: format!("v{number}"),
            deadline,
            from,
            records,
            controls,
            rng: ChaCha8Rng::seed_from_u64(seed ^ number),
        };
        let is_ordered = version.order();
        let quality = if is_good { Quality::Good } else { Quality::Bad };
        let second: Vec<_> = (0..ENDPOINTS_PER_SERVICE)
            .map(|_| endpoints.start(SERVICES[0], &version.name, quality))
            .collect();
        while records.now() < from + deadline {
            thread::sleep(Duration::from_millis(50));
        }
        if is_good {
            version.check_end(is_ordered, None);
            // The next ones are judged against it where it was completed.
            continue;
        }
        version.check_exposure(is_ordered);
        version.check_end(is_ordered, Some("completed"));
        second.iter().for_each(Endpoint::end);
    }
}

/// One second version and its order.
struct SecondVersion<'a> {
    name: String,
    deadline: Duration,
    from: Time,
    records: &'a Records,
    controls: &'a [SocketAddr],
    rng: ChaCha8Rng,
}

impl SecondVersion<'_> {
    /// Sends the order, again and to any process, until it has a clear answer. Whether that was an acknowledgement.
    fn order(&mut self) -> bool {
        let order = json!({ "backend": SERVICES[0], "target-version": self.name,
            "deadline-s": self.deadline.as_secs() });
        let mut status = None;
        while status.is_none() && self.records.now() < self.from + GIVE_UP {
            let at = *self.controls.choose(&mut self.rng).expect("a process");
            let answer = call(at, "POST", "/rollouts", "", &order.to_string());
            status = answer.map(|(status, _)| status).filter(|status| *status < 500);
            if status.is_none() {
                thread::sleep(Duration::from_millis(100));
            }
        }
        let (name, deadline) = (&self.name, self.deadline);
        self.records.order(&format!("roll-out of {name}"), self.from, status.is_some());
        self.records.operation(format!("roll-out of {name} within {deadline:?}: {status:?}"));
        if status.is_some_and(|status| status != 200) {
            self.records.violation(format!("SHORT: the proper order of {name} was refused: {status:?}"));
        }
        status == Some(200)
    }

    fn check_exposure(&self, is_ordered: bool) {
        let to = self.from + self.deadline;
        let exposure = Exposure::measure(self.records, SERVICES[0], &self.name, self.from, to);
        self.records.operation(format!("faulty {}: {exposure:?}", self.name));
        if !exposure.is_within_bound() || (!is_ordered && exposure.exposed > 0) {
            self.records.violation(format!("EXPOSURE: {}, ordered {is_ordered}: {exposure:?}", self.name));
        }
    }

    /// The order is still known, and hasn't ended as it must not.
    fn check_end(&mut self, is_ordered: bool, forbidden: Option<&str>) {
        let path = format!("/rollouts/{}", SERVICES[0]);
        let until = self.records.now() + END_KNOWN;
        while self.records.now() < until {
            let at = *self.controls.choose(&mut self.rng).expect("a process");
            let answer = call(at, "GET", &path, "", "");
            let body = answer.filter(|(status, _)| [200, 404].contains(status)).map(|(_, body)| body);
            let Some(body) = body else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let told: Value = serde_json::from_str(&body).unwrap_or_default();
            // The end of the one before is told for a while, also by a controller that has just begun.
            if is_ordered && told["target-version"] != self.name && self.records.now() + PAUSE < until {
                thread::sleep(PAUSE);
                continue;
            }
            self.records.operation(format!("{} ended as {body}", self.name));
            if is_ordered && told["target-version"] != self.name {
                self.records.violation(format!("LOST: the order of {}: {body}", self.name));
            }
            if told["target-version"] == self.name && forbidden.is_some_and(|state| told["state"] == state) {
                self.records.violation(format!("EXPOSURE: faulty {} ended as {body}", self.name));
            }
            return;
        }
    }
}
