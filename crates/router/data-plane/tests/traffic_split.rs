//! Shares of split routes over short stretches.

use passrelay_configuration::Configuration;
use passrelay_data_plane::traffic_split::TrafficSplits;
use rstest::rstest;
use serde_json::json;

fn configuration(weights: &[f64]) -> Configuration {
    let service = |n: usize| format!("s{n}");
    let split: Vec<_> =
        weights.iter().enumerate().map(|(n, w)| json!({ "backend": service(n), "weight": w })).collect();
    let services: Vec<_> = (0..weights.len()).map(|n| json!({ "name": service(n) })).collect();
    let document = json!({ "generation": 1, "services": services, "routes": [{ "name": "r", "hostname": "h",
        "path-prefix": "/", "timeout-ms": 1000, "traffic-split": split }] });
    Configuration::read(&document).expect("it is valid")
}

#[rstest]
#[case(&[90.0, 10.0])]
#[case(&[50.0, 50.0])]
#[case(&[70.0, 20.0, 10.0])]
#[case(&[1.0, 99.0])]
fn twelve_sidecars_together_keep_the_shares_over_200_requests(#[case] weights: &[f64]) {
    let configuration = configuration(weights);
    let route = &configuration.routes[0];
    let all: f64 = weights.iter().sum();
    for seed in 0..50 {
        let mut sidecars: Vec<TrafficSplits> = (0..12).map(|n| TrafficSplits::new(seed * 100 + n)).collect();
        let mut counts = vec![0.0; weights.len()];
        for request in 0..200 {
            let service = sidecars[request % 12].choose(route);
            let index: usize = service[1..].parse().expect("its number");
            counts[index] += 1.0;
        }
        for (count, weight) in counts.iter().zip(weights) {
            let off = (count / 200.0 - weight / all).abs();
            assert!(off < 0.04, "seed {seed}: {counts:?} for {weights:?}");
        }
    }
}

#[test]
fn a_service_of_no_weight_gets_nothing() {
    let configuration = configuration(&[0.0, 5.0]);
    let mut splits = TrafficSplits::new(7);
    assert!((0..50).all(|_| splits.choose(&configuration.routes[0]) == "s1"));
}
