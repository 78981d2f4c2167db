//! A client's session with the fleet.

use passrelay_lease_consensus::client::Client;
use passrelay_lease_consensus::lease_table::Reply;
use passrelay_lease_consensus::wire::{Answer, Say};
use std::time::Duration;

// Guards against a session that nobody is behind: it would keep its name and its place for its time to live.
#[test]
fn a_client_that_was_closed_opens_nothing_again() {
    let mut client = Client::new("a", 1, Duration::from_secs(10));
    client.up(Duration::ZERO);
    assert!(matches!(client.says()[..], [Say::Open { .. }]));
    client.receive(Answer::Open { nonce: 1, reply: Reply::Opened { session: 5 } }, Duration::ZERO);
    client.says();
    client.close();
    client.tick(Duration::from_secs(1));
    assert_eq!(client.says(), [Say::Close { session: 5 }]);
    client.down();
    client.up(Duration::from_secs(2));
    client.tick(Duration::from_secs(3));
    assert_eq!(client.says(), []);
}
