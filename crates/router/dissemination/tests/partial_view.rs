//! Tests of the partial view: its size limit, expiry and the order of selection.

use passrelay_dissemination::{PartialView, PeerDescriptor};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::time::Duration;

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), 7_000)
}

fn descriptor(host: u8, age_ms: u32) -> PeerDescriptor {
    PeerDescriptor { address: address(host), age_ms }
}

#[test]
fn a_view_is_bounded_and_never_contains_its_owner() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut view = PartialView::new(address(1));
    let sample: Vec<PeerDescriptor> = (1..=100).map(|host| descriptor(host, 0)).collect();
    view.merge(Duration::ZERO, &sample, &mut rng);
    assert_eq!(view.len(), 32);
    assert!(!view.select(Duration::ZERO, 100, &mut rng).contains(&address(1)));
}

#[test]
fn a_peer_expires_after_its_last_contact_with_any_sidecar() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut view = PartialView::new(address(1));
    let now = Duration::from_secs(60);
    view.merge(now, &[descriptor(2, 24_000), descriptor(3, 25_000)], &mut rng);
    assert_eq!(view.select(now, 10, &mut rng), [address(2)]);
    view.expire(now + Duration::from_secs(1));
    assert!(view.is_empty());
}

#[test]
fn responsive_peers_are_selected_first() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut view = PartialView::new(address(1));
    let now = Duration::from_secs(60);
    view.merge(now, &[descriptor(2, 3_000), descriptor(3, 10_000)], &mut rng);
    view.record_contact(now, address(4), &mut rng);
    assert_eq!(view.select(now, 1, &mut rng), [address(4)]);
    assert_eq!(view.select(now, 3, &mut rng).len(), 3);
}
