//! The network side of a client. It is connected to one voter at a time and switches to the next when that
//! one is unresponsive.

use crate::fleet_config::FleetConfig;
use crate::links::{LinkEvent, LinkNumber, Links};
use crate::{now, random_id};
use passrelay_lease_consensus::client::{Client, ClientEvent};
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse, Frame};
use passrelay_lease_consensus::VoterId;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A voter without any response for this long is abandoned.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A non-voting process of the fleet.
pub struct FleetClient {
    /// The session of this process.
    pub client: Client,
    links: Links,
    /// Addresses of the voters in the configuration file and of those learned from voters.
    addresses: BTreeMap<VoterId, SocketAddr>,
    voters: Vec<SocketAddr>,
    current: usize,
    link: Option<(LinkNumber, bool)>,
    connect_at: Duration,
    connecting_since: Duration,
    /// Consecutive failed connections. Each one lengthens the delay before the next attempt, up to two
    /// seconds.
    failed_attempts: u32,
    /// Requests that need no session. They are sent to each newly connected voter.
    queries: Vec<ClientRequest>,
    /// When the oldest query without any response was sent.
    unanswered_since: Option<Duration>,
}

impl FleetClient {
    /// Creates a client for a process of this name.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no poller.
    pub fn new(fleet_config: &FleetConfig, name: &str, ttl: Duration) -> io::Result<FleetClient> {
        let voters: Vec<SocketAddr> = fleet_config.voters.values().copied().collect();
        let current = random_id() as usize % voters.len();
        Ok(FleetClient {
            client: Client::new(name, random_id(), ttl),
            links: Links::open(&fleet_config.fleet, None)?,
            addresses: fleet_config.voters.clone(),
            voters,
            current,
            link: None,
            connect_at: Duration::ZERO,
            connecting_since: Duration::ZERO,
            failed_attempts: 0,
            queries: Vec::new(),
            unanswered_since: None,
        })
    }

    /// Sends a request that needs no session, now and again to each newly connected voter.
    pub fn add_query(&mut self, say: ClientRequest) {
        self.send(&say);
        self.queries.push(say);
    }

    /// Sends a request to the current voter only, for example to check that it is alive.
    pub fn send(&mut self, say: &ClientRequest) {
        if let Some((link, true)) = self.link {
            self.links.send(link, &Frame::Request(say.clone()));
            self.unanswered_since.get_or_insert_with(now);
        }
    }

    /// Whether there are queries, which need no session.
    fn is_query_only(&self) -> bool {
        !self.queries.is_empty()
    }

    /// Handles network events for up to `timeout`, and returns the client's events.
    ///
    /// # Errors
    ///
    /// Fails if the poller fails.
    pub fn poll(&mut self, timeout: Duration) -> io::Result<Vec<ClientEvent>> {
        let time = now();
        let connect_timed_out =
            self.link.is_some_and(|(_, up)| !up) && time >= self.connecting_since + CONNECT_TIMEOUT;
        // A query to a stopped process would otherwise wait until that process continues.
        let response_timed_out = self.unanswered_since.is_some_and(|since| time >= since + RESPONSE_TIMEOUT);
        if connect_timed_out || response_timed_out || self.client.should_switch_voter(time) {
            self.switch_voter(time);
        }
        if self.link.is_none() && time >= self.connect_at {
            self.connecting_since = time;
            match self.links.connect(self.voters[self.current]) {
                Ok(link) => self.link = Some((link, false)),
                Err(_) => self.switch_voter(time),
            }
        }
        if !self.is_query_only() {
            self.client.tick(time);
        }
        self.send_client_requests();
        for (link, event) in self.links.wait(timeout)? {
            if self.link.map(|(l, _)| l) != Some(link) {
                continue;
            }
            match event {
                LinkEvent::Connected => {
                    self.link = Some((link, true));
                    for say in self.queries.clone() {
                        self.send(&say);
                    }
                    if !self.is_query_only() {
                        self.client.connected(now());
                    }
                }
                LinkEvent::Frame(Frame::Response(ClientResponse::Voters(voters))) => {
                    self.update_voters(&voters)
                }
                LinkEvent::Frame(Frame::Response(answer)) => {
                    (self.failed_attempts, self.unanswered_since) = (0, None);
                    self.client.receive(answer, now());
                }
                LinkEvent::Closed => self.switch_voter(now()),
                LinkEvent::Frame(_) | LinkEvent::Accepted => {}
            }
        }
        self.send_client_requests();
        Ok(self.client.take_events())
    }

    /// Updates the list of voters. A process may run longer than all voters of its file, which are replaced
    /// one by one.
    fn update_voters(&mut self, members: &[(VoterId, Option<String>)]) {
        for (voter, address) in members {
            if let Some(address) = address.as_ref().and_then(|a| a.parse().ok()) {
                self.addresses.entry(*voter).or_insert(address);
            }
        }
        let votes = |voter: &VoterId| members.iter().any(|(v, _)| v == voter);
        let voters: Vec<SocketAddr> =
            self.addresses.iter().filter(|(voter, _)| votes(voter)).map(|(_, address)| *address).collect();
        if !voters.is_empty() {
            // The client stays with its current voter. If that one was removed, the connection will end.
            let current = self.voters[self.current];
            self.current = voters.iter().position(|a| *a == current).unwrap_or(0);
            self.voters = voters;
        }
    }

    fn send_client_requests(&mut self) {
        let requests = self.client.take_requests();
        if let Some((link, true)) = self.link {
            for say in requests {
                self.links.send(link, &Frame::Request(say));
            }
        }
    }

    /// Disconnects from this voter and schedules a connection to the next.
    fn switch_voter(&mut self, time: Duration) {
        if let Some((link, _)) = self.link.take() {
            self.links.close(link);
        }
        self.client.disconnected();
        self.unanswered_since = None;
        self.current = (self.current + 1) % self.voters.len();
        // The first attempts follow at once, so that the loss of a voter costs no lease. Later ones are
        // spread out, so that a returning voter isn't contacted by all clients together.
        self.failed_attempts += 1;
        let most = (20u64 << self.failed_attempts.min(7)).min(2000);
        self.connect_at = time + Duration::from_millis(random_id() % most);
    }
}
