//! Distributes the requests of a route over its services by weight, such that the shares are accurate over
//! few requests too.
//!
//! Independent random draws deviate by several percent over some hundred requests. Instead, each route has a
//! position between 0 and 1 that advances by the golden ratio with each request, modulo 1. In this
//! low-discrepancy sequence, the positions of any consecutive requests are evenly distributed. Each router
//! starts at a different position, so that the shares are accurate over all routers together as well.

use passrelay_configuration::{Backend, Configuration, Route};
use siphasher::sip::SipHasher13;
use std::collections::{HashMap, HashSet};
use std::hash::Hasher;

/// Fractional part of the golden ratio. Of all step widths, its multiples modulo 1 are distributed most
/// evenly.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_894_9;

/// Terminates a route's name in the hash input. This byte does not occur in UTF-8.
const ROUTE_NAME_TERMINATOR: u8 = 0xff;

/// Positions of all routes with a traffic split at one router.
#[derive(Debug)]
pub struct TrafficSplits {
    /// Determines the initial position of each route; differs between routers.
    seed: u64,
    /// Positions by route name, at least 0 and below 1.
    positions: HashMap<String, f64>,
}

impl TrafficSplits {
    /// Creates traffic splits whose initial positions are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        TrafficSplits { seed, positions: HashMap::new() }
    }

    /// Returns the service for the next request of a route, or an empty name if the route has no backends.
    pub fn choose<'a>(&mut self, route: &'a Route) -> &'a str {
        let mut weighted = route.backends.iter().filter(|backend| backend.weight > 0.0);
        let is_split = weighted.clone().nth(1).is_some();
        if !is_split {
            return service_of(weighted.next().or(route.backends.last()));
        }
        let total_weight: f64 = weighted.clone().map(|backend| backend.weight).sum();
        let mut remaining = self.next_position(&route.name) * total_weight;
        let chosen = weighted.clone().find(|backend| {
            remaining -= backend.weight;
            remaining < 0.0
        });
        // Due to rounding, a remainder may be left after the last backend.
        service_of(chosen.or(weighted.next_back()))
    }

    /// Drops the positions of routes that are not in the configuration.
    pub fn retain(&mut self, configuration: &Configuration) {
        let names: HashSet<&str> = configuration.routes.iter().map(|route| route.name.as_str()).collect();
        self.positions.retain(|name, _| names.contains(name.as_str()));
    }

    fn next_position(&mut self, route: &str) -> f64 {
        let seed = self.seed;
        let position =
            self.positions.entry(route.to_owned()).or_insert_with(|| initial_position(seed, route));
        *position = (*position + GOLDEN_RATIO_STEP).fract();
        *position
    }
}

fn service_of(backend: Option<&Backend>) -> &str {
    backend.map_or("", |backend| backend.service.as_str())
}

/// Returns the initial position of a route at one router, 0 to 1.
fn initial_position(seed: u64, route: &str) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&seed.to_le_bytes());
    hasher.write(route.as_bytes());
    hasher.write_u8(ROUTE_NAME_TERMINATOR);
    hasher.finish() as f64 / u64::MAX as f64
}
