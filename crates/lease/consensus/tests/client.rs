//! Tests of the client side of a session.

use passrelay_lease_consensus::client::Client;
use passrelay_lease_consensus::lease_table::Reply;
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse};
use std::time::Duration;

// A session opened after `close` would keep its name and its place in queues for a whole time to live, with
// no process using it.
#[test]
fn a_client_that_was_closed_opens_nothing_again() {
    let mut client = Client::new("a", 1, Duration::from_secs(10));
    client.connected(Duration::ZERO);
    assert!(matches!(client.take_requests()[..], [ClientRequest::OpenSession { .. }]));
    client.receive(
        ClientResponse::SessionOpened { nonce: 1, reply: Reply::Opened { session: 5 } },
        Duration::ZERO,
    );
    client.take_requests();
    client.close();
    client.tick(Duration::from_secs(1));
    assert_eq!(client.take_requests(), [ClientRequest::CloseSession { session: 5 }]);
    client.disconnected();
    client.connected(Duration::from_secs(2));
    client.tick(Duration::from_secs(3));
    assert_eq!(client.take_requests(), []);
}
