//! Tests of connections over loopback sockets: how they end, and that their end is reported.

use passrelay_lease_consensus::wire::{ClientRequest, Frame};
use passrelay_lease_runtime::links::{LinkEvent, LinkNumber, Links};
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Far longer than needed; a test that waits this long has failed.
const PATIENCE: Duration = Duration::from_secs(20);

fn caller() -> Links {
    Links::open("test", None).unwrap()
}

/// Waits for an event on the connection.
fn until(net: &mut Links, link: LinkNumber, what: &str, is: impl Fn(&LinkEvent) -> bool) {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        let happened = net.wait(Duration::from_millis(5)).unwrap();
        if happened.iter().any(|(number, happened)| *number == link && is(happened)) {
            return;
        }
    }
    panic!("waited in vain until {what}");
}

/// Opens a connection and returns it with the peer's socket.
fn link(net: &mut Links, listener: &TcpListener) -> (LinkNumber, TcpStream) {
    let at: SocketAddr = listener.local_addr().unwrap();
    let link = net.connect(at).unwrap();
    let (peer, _) = listener.accept().unwrap();
    until(net, link, "the link is up", |h| matches!(h, LinkEvent::Connected));
    (link, peer)
}

fn frame(bytes: usize) -> Frame {
    Frame::Request(ClientRequest::OpenSession { name: "x".repeat(bytes), nonce: 1, ttl_ms: 1 })
}

// A peer's loss first noticed while sending was not reported, so the voter was never contacted again.
#[test]
fn a_link_lost_in_sending_is_told_to_whoever_holds_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = caller();
    let (number, peer) = link(&mut net, &listener);
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    let began = Instant::now();
    while net.open_links().contains(&number) && began.elapsed() < PATIENCE {
        net.send(number, &frame(1));
    }
    until(&mut net, number, "the lost link is gone", |h| matches!(h, LinkEvent::Closed));
}

// The same for a peer that is stopped and does not read for a long time.
#[test]
fn a_link_that_falls_behind_by_more_than_its_bound_is_told_as_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = caller();
    let (number, _peer) = link(&mut net, &listener);
    let began = Instant::now();
    while net.open_links().contains(&number) && began.elapsed() < PATIENCE {
        net.send(number, &frame(1 << 20));
    }
    until(&mut net, number, "the lost link is gone", |h| matches!(h, LinkEvent::Closed));
}

// When numbers were reused, an event of a closed connection was taken for the next one's: a voter's
// established connection was attributed to another voter with the old number, and the voter that had been
// contacted was never linked.
#[test]
fn no_number_is_given_twice() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = caller();
    let mut given = std::collections::BTreeSet::new();
    for round in 0..20 {
        let (number, peer) = link(&mut net, &listener);
        assert!(given.insert(number), "{number} was given before");
        if round % 2 == 0 {
            net.close(number);
        } else {
            drop(peer);
            until(&mut net, number, "the link is gone", |h| matches!(h, LinkEvent::Closed));
        }
    }
}
