//! Links over loopback sockets: their ends, and who hears of them.

use passrelay_lease_consensus::wire::{ClientRequest, Frame};
use passrelay_lease_runtime::links::{LinkEvent, LinkNumber, Links};
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Generous: a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(20);

fn caller() -> Links {
    Links::open("test", None).unwrap()
}

/// Waits until this happens on the link.
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

/// A link that is up, and the other side's end of it.
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

// Guards against a voter that is never called again: its death was first seen in sending, and nobody was told.
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

// Guards against the same for a voter that is stopped and reads nothing for long.
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

// Guards against what is said of a link that is gone and taken for the next one's: a voter's call that came up was
// counted for another voter, whose old number it had, and the one that was called was never linked.
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
