//! Checks of what a soak has recorded against what the configuration demanded at each moment.

use crate::bounds::{CONFIG_APPLY, CONTACT, EXPOSURE_RATIO, EXPOSURE_SLACK, MAX_STRETCH, REVOKE};
use crate::clients::is_added_route;
use crate::orders::unacknowledged;
use crate::records::{Demand, Disturbance, Exchange, Expectation, Records, Time};

/// Fewer requests than this say nothing of how often routes are served.
const MIN_REQUESTS: usize = 20;
/// Added routes have to be served at least this often, against the first ones.
const MIN_SERVED_RATIO: f64 = 0.25;

/// When machines, and the core, were undisturbed.
struct Contact {
    voters: u8,
    disturbances: Vec<Disturbance>,
}

impl Contact {
    fn is_machine_calm(&self, machine: u8, at: Time) -> bool {
        self.disturbances.iter().filter(|one| one.machine == machine).all(|one| !one.touches(at))
    }

    fn is_core_stable(&self, at: Time) -> bool {
        self.disturbances.iter().filter(|one| one.machine <= self.voters).all(|one| !one.touches(at))
    }

    fn is_in_touch(&self, machine: u8, at: Time) -> bool {
        self.is_machine_calm(machine, at) && self.is_core_stable(at)
    }

    /// Whether more than half of the core has run undisturbed from one time to another.
    fn had_majority(&self, from: Time, to: Time) -> bool {
        let is_disturbed = |voter: &u8| {
            let mut own = self.disturbances.iter().filter(|one| one.machine == *voter);
            own.any(|one| one.from <= to && one.to.is_none_or(|end| end + CONTACT >= from))
        };
        let disturbed = (1..=self.voters).filter(is_disturbed).count();
        usize::from(self.voters) > 2 * disturbed
    }
}

impl Disturbance {
    /// Whether it was under way within the contact time before `at`.
    fn touches(&self, at: Time) -> bool {
        self.from <= at && self.to.is_none_or(|end| end + CONTACT >= at)
    }
}

/// Everything that broke a rule, a line each.
pub fn violations(records: &Records, voters: u8) -> Vec<String> {
    let contact = Contact { voters, disturbances: records.disturbances.lock().unwrap().clone() };
    let exchanges = records.exchanges.lock().unwrap();
    let expectations = records.expectations.lock().unwrap();
    let mut found = records.violations.lock().unwrap().clone();
    for expectation in expectations.iter() {
        let of_it = exchanges.iter().filter(|e| e.path == expectation.path && e.key == expectation.key);
        for exchange in of_it.filter(|exchange| is_bound(&contact, expectation, exchange)) {
            if let Some(what) = broken_demand(&expectation.demand, exchange) {
                let acknowledged = expectation.acknowledged_at;
                found.push(format!("CONFIG: {what}; acknowledged at {acknowledged:?}: {exchange:?}"));
            }
        }
    }
    let orders = records.orders.lock().unwrap();
    found.extend(unacknowledged(&orders, |at| contact.is_core_stable(at)));
    found.extend(unserved_added_routes(&contact, &expectations, &exchanges));
    found
}

/// Whether a request was sent while the demand had to be in force at its machine.
fn is_bound(contact: &Contact, expectation: &Expectation, exchange: &Exchange) -> bool {
    let (acknowledged_at, sent_at) = (expectation.acknowledged_at, exchange.sent_at);
    if expectation.until.is_some_and(|until| sent_at >= until) {
        return false;
    }
    if expectation.demand == Demand::Revoked {
        return sent_at > acknowledged_at + REVOKE;
    }
    if sent_at <= acknowledged_at + CONFIG_APPLY || !contact.is_machine_calm(exchange.machine, sent_at) {
        return false;
    }
    let stretched = sent_at > acknowledged_at + CONFIG_APPLY + MAX_STRETCH;
    contact.is_in_touch(exchange.machine, sent_at)
        || (stretched && contact.had_majority(acknowledged_at, sent_at))
}

fn broken_demand(demand: &Demand, exchange: &Exchange) -> Option<&'static str> {
    match demand {
        Demand::Allowed if exchange.is_denied() => Some("a key that is there was refused"),
        Demand::RunBy(_) if exchange.is_denied() => Some("a route that is there was refused"),
        Demand::RunBy(service) if exchange.service.as_deref().is_some_and(|ran| ran != *service) => {
            Some("the old service ran it")
        }
        Demand::Unrouted if exchange.service.is_some() => Some("a route that isn't there was served"),
        Demand::Revoked if exchange.service.is_some() => Some("a key that was taken away was served"),
        _ => None,
    }
}

/// Whether machines in touch serve added routes far less often than the first ones.
fn unserved_added_routes(
    contact: &Contact,
    expectations: &[Expectation],
    exchanges: &[Exchange],
) -> Option<String> {
    let in_touch: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| contact.is_in_touch(exchange.machine, exchange.sent_at)).collect();
    let added: Vec<&&Exchange> = in_touch
        .iter()
        .filter(|exchange| {
            let mut of_it = expectations.iter().filter(|expectation| expectation.path == exchange.path);
            of_it.any(|expectation| {
                is_added_route(&expectation.demand) && is_bound(contact, expectation, exchange)
            })
        })
        .collect();
    let first: Vec<&&Exchange> =
        in_touch.iter().filter(|exchange| exchange.path.starts_with("/stable-")).collect();
    if added.len() < MIN_REQUESTS || first.len() < MIN_REQUESTS {
        return None;
    }
    let ratio = |set: &[&&Exchange]| {
        set.iter().filter(|exchange| exchange.is_success()).count() as f64 / set.len() as f64
    };
    let (added_ratio, first_ratio) = (ratio(&added), ratio(&first));
    (added_ratio < MIN_SERVED_RATIO * first_ratio)
        .then(|| format!("CONFIG: added routes are served {added_ratio:.2}, the first ones {first_ratio:.2}"))
}

/// How much of a service's traffic a version got in a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    pub all: usize,
    pub exposed: usize,
}

impl Exposure {
    /// Of the requests that reached endpoints of a service from one time to another.
    pub fn measure(records: &Records, service: &str, version: &str, from: Time, to: Time) -> Self {
        let runs = records.runs.lock().unwrap();
        let in_time: Vec<_> =
            runs.iter().filter(|run| run.service == service && run.at >= from && run.at <= to).collect();
        let exposed = in_time.iter().filter(|run| run.version == version).count();
        Exposure { all: in_time.len(), exposed }
    }

    pub fn is_within_bound(self) -> bool {
        self.exposed as f64 <= EXPOSURE_RATIO * self.all as f64 + EXPOSURE_SLACK
    }
}
