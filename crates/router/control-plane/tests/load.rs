//! Totals of load and outcomes over all sidecars, and the serialised form of the messages.

use passrelay_control_plane::load::{LoadMessage, LoadTotals};
use passrelay_dissemination::EndpointLoad;
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sidecar(number: u8) -> SocketAddrV4 {
    format!("10.0.0.{number}:1").parse().unwrap()
}

/// Returns a load of one request with 100 prompt tokens in flight at endpoint 7, and the given outcomes.
fn load(succeeded: u32, failed: u32) -> Vec<EndpointLoad> {
    vec![EndpointLoad { endpoint: 7, pending_prompt_tokens: 100, in_flight: 1, succeeded, failed }]
}

/// Reports the load of a sidecar. Returns the total of the first endpoint in the response.
fn report(
    totals: &mut LoadTotals,
    now: Duration,
    from: u8,
    loads: Vec<EndpointLoad>,
) -> Option<EndpointLoad> {
    let LoadMessage::Totals { loads, .. } = totals.handle_report(now, sidecar(from), 1, loads) else {
        return None;
    };
    loads.first().copied()
}

#[test]
fn load_in_flight_is_summed_until_its_report_times_out() {
    let mut totals = LoadTotals::default();
    report(&mut totals, ms(0), 1, load(0, 0));
    let both_sidecars = report(&mut totals, ms(100), 2, load(0, 0)).unwrap();
    assert_eq!((both_sidecars.pending_prompt_tokens, both_sidecars.in_flight), (200, 2));
    let one_sidecar = report(&mut totals, ms(1_590), 2, load(0, 0)).unwrap();
    assert_eq!((one_sidecar.pending_prompt_tokens, one_sidecar.in_flight), (100, 1));
}

#[test]
fn failures_count_with_a_quorum_of_two_reporters_and_decay() {
    let mut totals = LoadTotals::default();
    let one_reporter = report(&mut totals, ms(0), 1, load(2, 4)).unwrap();
    assert_eq!(one_reporter.failed, 0, "a single reporter is not a quorum");
    let two_reporters = report(&mut totals, ms(100), 2, load(1, 1)).unwrap();
    assert_eq!((two_reporters.succeeded, two_reporters.failed), (3, 5));
    assert_eq!(report(&mut totals, ms(30_000), 2, load(0, 0)).unwrap().failed, 0);
}

#[test]
fn messages_serialise_to_their_fixed_form() {
    let report = LoadMessage::Report { request_id: 5, loads: load(2, 0) };
    let totals = LoadMessage::Totals { request_id: 5, sidecars: 3, loads: Vec::new() };
    assert_eq!(
        serde_json::to_value([report, totals]).unwrap(),
        json!([
            { "Tell": { "nonce": 5, "loads": [{ "e": 7, "t": 100, "o": 1, "a": 2 }] } },
            { "Sums": { "nonce": 5, "sidecars": 3, "loads": [] } },
        ])
    );
}
