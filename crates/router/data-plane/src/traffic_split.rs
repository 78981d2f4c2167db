//! Which service of a split route a request goes to: turns by weight, so that shares are kept over short stretches too.
//!
//! A lot drawn for each request strays by several in a hundred over some hundred requests. Here each route has a point in
//! 0 to 1 that moves on by the golden ratio with each request; the points of any stretch lie evenly. Each sidecar starts
//! from another point, so that all together keep the shares as well.

use passrelay_configuration::{Configuration, Route};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Fractional part of the golden ratio: of all steps the one whose multiples lie most evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The turns of all split routes of one sidecar.
#[derive(Debug)]
pub struct TrafficSplits {
    seed: u64,
    points: HashMap<String, f64>,
}

impl TrafficSplits {
    /// Turns that start where `seed` tells.
    pub fn new(seed: u64) -> Self {
        TrafficSplits { seed, points: HashMap::new() }
    }

    /// The service whose turn it is; the empty name where a route has none.
    pub fn choose<'a>(&mut self, route: &'a Route) -> &'a str {
        let mut weighted = route.backends.iter().filter(|b| b.weight > 0.0);
        if weighted.clone().nth(1).is_none() {
            return weighted.next().or(route.backends.last()).map_or("", |b| b.service.as_str());
        }
        let all: f64 = weighted.clone().map(|b| b.weight).sum();
        let mut left = self.next_point(&route.name) * all;
        let chosen = weighted.clone().find(|b| {
            left -= b.weight;
            left < 0.0
        });
        chosen.or(weighted.next_back()).map_or("", |b| b.service.as_str())
    }

    /// Forgets routes that are no more.
    pub fn retain(&mut self, configuration: &Configuration) {
        let names: HashSet<&str> = configuration.routes.iter().map(|r| r.name.as_str()).collect();
        self.points.retain(|name, _| names.contains(name.as_str()));
    }

    fn next_point(&mut self, route: &str) -> f64 {
        let seed = self.seed;
        let point = self.points.entry(route.to_owned()).or_insert_with(|| first_point(seed, route));
        *point = (*point + STEP).fract();
        *point
    }
}

/// Where a route starts at one sidecar, 0 to 1.
fn first_point(seed: u64, route: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, route).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
