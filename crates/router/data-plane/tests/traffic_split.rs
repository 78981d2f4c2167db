//! Accuracy of traffic splits over few requests.

use passrelay_configuration::Configuration;
use passrelay_data_plane::traffic_split::TrafficSplits;
use rstest::rstest;
use serde_json::json;

const ROUTERS: usize = 12;
const REQUESTS: u32 = 200;
const MAX_DEVIATION: f64 = 0.04;

/// Returns a configuration with one route that is split over the services `s0`, `s1`, ..., one for each
/// weight.
fn configuration(weights: &[f64]) -> Configuration {
    let service = |index: usize| format!("s{index}");
    let split: Vec<_> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| json!({ "backend": service(index), "weight": weight }))
        .collect();
    let services: Vec<_> = (0..weights.len()).map(|index| json!({ "name": service(index) })).collect();
    let document = json!({ "generation": 1, "services": services, "routes": [{ "name": "r", "hostname": "h",
        "path-prefix": "/", "timeout-ms": 1000, "traffic-split": split }] });
    Configuration::read(&document).expect("the document is valid")
}

#[rstest]
#[case(&[90.0, 10.0])]
#[case(&[50.0, 50.0])]
#[case(&[70.0, 20.0, 10.0])]
#[case(&[1.0, 99.0])]
fn twelve_routers_together_adhere_to_the_shares_over_200_requests(#[case] weights: &[f64]) {
    let configuration = configuration(weights);
    let route = &configuration.routes[0];
    let total_weight: f64 = weights.iter().sum();
    for seed in 0..50 {
        let mut routers: Vec<TrafficSplits> =
            (0..ROUTERS as u64).map(|router| TrafficSplits::new(seed * 100 + router)).collect();
        let mut counts = vec![0.0; weights.len()];
        for request in 0..REQUESTS as usize {
            let service = routers[request % ROUTERS].choose(route);
            let index: usize = service[1..].parse().expect("the index of the service");
            counts[index] += 1.0;
        }
        for (count, weight) in counts.iter().zip(weights) {
            let deviation = (count / f64::from(REQUESTS) - weight / total_weight).abs();
            assert!(deviation < MAX_DEVIATION, "seed {seed}: {counts:?} for {weights:?}");
        }
    }
}

#[test]
fn a_service_of_weight_0_gets_no_request() {
    let configuration = configuration(&[0.0, 5.0]);
    let mut splits = TrafficSplits::new(7);
    assert!((0..50).all(|_| splits.choose(&configuration.routes[0]) == "s1"));
}
