use super::*;
use rstest::rstest;

fn sum(limits: SocketLimits) -> usize {
    limits.clients + limits.upstream + limits.control + limits.readiness + limits.peers
}

#[rstest]
#[case(4_100)]
#[case(1_024)]
#[case(600)]
#[case(256)]
fn all_sockets_together_stay_below_the_descriptors(#[case] max_descriptors: usize) {
    let limits = SocketLimits::new(max_descriptors);
    let sockets = sum(limits);
    assert!(sockets < max_descriptors, "{limits:?}");
}

#[test]
fn descriptors_for_files_are_reserved() {
    let limits = SocketLimits::new(4_100);
    let sockets = sum(limits);
    assert!(sockets + RESERVED_DESCRIPTORS <= 4_100, "{limits:?}");
}
