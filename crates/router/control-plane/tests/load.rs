//! Sums of loads and outcomes over sidecars.

use passrelay_control_plane::load::{LoadMessage, LoadTotals};
use passrelay_dissemination::EndpointLoad;
use std::net::SocketAddrV4;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sidecar(n: u8) -> SocketAddrV4 {
    format!("10.0.0.{n}:1").parse().unwrap()
}

fn load(answered: u32, failed: u32) -> Vec<EndpointLoad> {
    vec![EndpointLoad { endpoint: 7, pending_prompt_tokens: 100, in_flight: 1, answered, failed }]
}

fn sums(sums: &mut LoadTotals, now: Duration, from: u8, loads: Vec<EndpointLoad>) -> Option<EndpointLoad> {
    let LoadMessage::Totals { loads, .. } = sums.tell(now, sidecar(from), 1, loads) else { return None };
    loads.first().copied()
}

#[test]
fn what_is_out_is_summed_and_forgotten() {
    let mut all = LoadTotals::default();
    sums(&mut all, ms(0), 1, load(0, 0));
    let both = sums(&mut all, ms(100), 2, load(0, 0)).unwrap();
    assert_eq!((both.pending_prompt_tokens, both.in_flight), (200, 2));
    let one = sums(&mut all, ms(1_590), 2, load(0, 0)).unwrap();
    assert_eq!((one.pending_prompt_tokens, one.in_flight), (100, 1));
}

#[test]
fn failures_count_where_two_sidecars_tell_of_them_and_fade() {
    let mut all = LoadTotals::default();
    assert_eq!(sums(&mut all, ms(0), 1, load(2, 4)).unwrap().failed, 0, "one sidecar alone is not believed");
    let told = sums(&mut all, ms(100), 2, load(1, 1)).unwrap();
    assert_eq!((told.answered, told.failed), (3, 5));
    assert_eq!(sums(&mut all, ms(30_000), 2, load(0, 0)).unwrap().failed, 0);
}
