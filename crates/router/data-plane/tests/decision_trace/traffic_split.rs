//! History of service choices by `TrafficSplits`.

use crate::support::{Digest, Draws};
use passrelay_configuration::Configuration;
use passrelay_data_plane::traffic_split::TrafficSplits;
use serde_json::json;

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
fn traffic_split_decisions_match_the_recorded_digest() {
    let mut draws = Draws(31);
    let mut digest = Digest::new();
    let configuration = split_configuration(&[
        &[90.0, 10.0],
        &[0.3, 0.0, 0.7],
        &[1.0, 2.0, 3.0, 4.0],
        &[0.0, 5.0],
        &[33.3, 33.3, 33.4],
    ]);
    let with_fewer_routes = split_configuration(&[&[90.0, 10.0], &[1.0, 1.0]]);
    let mut routers: Vec<TrafficSplits> = (0..5).map(|_| TrafficSplits::new(draws.next())).collect();
    for _ in 0..20_000 {
        let router = &mut routers[draws.below(5) as usize];
        if draws.below(1_000) == 0 {
            router.retain(&with_fewer_routes);
        }
        let route = &configuration.routes[draws.below(5) as usize];
        digest.bytes(router.choose(route).as_bytes());
    }
    assert_eq!(digest.0, 0xc2f8_7f98_a94e_059b, "the new digest is 0x{:016x}", digest.0);
}
