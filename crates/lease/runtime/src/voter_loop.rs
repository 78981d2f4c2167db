//! The event loop of a voter process, which drives the voter, its journal and its connections.

use crate::durable_voter::DurableVoter;
use crate::fleet_config::FleetConfig;
use crate::links::{LinkEvent, LinkNumber, Links};
use crate::{now, random_id};
use passrelay_lease_consensus::voter::{Recipient, VoterConfig};
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse, Frame};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::DirectoryDisk;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum time to wait for an event.
const POLL_TIMEOUT: Duration = Duration::from_millis(10);
/// Delay before another connection attempt to an unreachable voter. A random part is added, so that voters
/// that restart together don't connect in step.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A voter process.
pub struct VoterLoop {
    voter: VoterId,
    fleet_config: FleetConfig,
    durable: DurableVoter<DirectoryDisk>,
    links: Links,
    outbound: BTreeMap<VoterId, (LinkNumber, bool)>,
    connect_at: BTreeMap<VoterId, Duration>,
}

impl VoterLoop {
    /// Opens the voter's disk and listens on its address. With a new disk, a `joining` voter waits to be
    /// added to a running fleet; any other founds one together with all voters of the file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the configuration, the disk or the address.
    pub fn open(fleet_config: &FleetConfig, voter: VoterId, joining: bool) -> Result<VoterLoop, String> {
        let listen = *fleet_config.voters.get(&voter).ok_or_else(|| {
            let known: Vec<VoterId> = fleet_config.voters.keys().copied().collect();
            format!("voter {voter} is not in the fleet's file, which has {known:?}")
        })?;
        let folder = fleet_config.data.join(format!("voter-{voter}"));
        let config = VoterConfig {
            voter,
            voters: fleet_config.voters.keys().copied().collect(),
            joining,
            lock_delay: fleet_config.lock_delay,
            new_disk_id: random_id(),
            incarnation: random_id(),
        };
        let disk = Box::new(move || DirectoryDisk::open(&folder));
        let durable = DurableVoter::open(config, disk, now())?;
        let links = Links::open(&fleet_config.fleet, Some(listen)).map_err(|e| format!("{listen}: {e}"))?;
        let (outbound, connect_at) = (BTreeMap::new(), BTreeMap::new());
        Ok(VoterLoop { voter, fleet_config: fleet_config.clone(), durable, links, outbound, connect_at })
    }

    /// Runs until `end` is set. `log` receives the name and the values of each event.
    ///
    /// # Errors
    ///
    /// Fails if the poller fails.
    pub fn run(&mut self, end: &AtomicBool, log: &mut dyn FnMut(&str, &str)) -> Result<(), String> {
        let mut state = String::new();
        while !end.load(Ordering::Relaxed) {
            for (link, event) in self.links.wait(POLL_TIMEOUT).map_err(|e| e.to_string())? {
                self.handle_event(link, event);
            }
            if self.durable.tick(now()).reset {
                self.reset();
            }
            self.connect_to_others();
            self.finish_turn();
            let status = self.durable.status();
            let leader = status.leader.map_or_else(|| "-".to_owned(), |l| l.to_string());
            let voters: Vec<VoterId> = status.voters.iter().map(|(voter, _)| *voter).collect();
            let fresh = format!("state={:?} leader={leader} voters={voters:?}", status.state);
            if fresh != state {
                log("voter", &fresh);
                state = fresh;
            }
        }
        Ok(())
    }

    fn handle_event(&mut self, link: LinkNumber, event: LinkEvent) {
        let outbound = self.outbound.iter().find(|(_, (l, _))| *l == link).map(|(v, _)| *v);
        match (outbound, event) {
            (Some(voter), LinkEvent::Connected) => {
                self.outbound.insert(voter, (link, true));
                self.durable.outbound_up(voter);
            }
            (Some(voter), LinkEvent::Frame(frame)) => self.durable.receive_from_voter(voter, frame),
            (Some(voter), LinkEvent::Closed) => {
                self.outbound.remove(&voter);
                self.durable.outbound_down(voter);
            }
            (None, LinkEvent::Frame(Frame::Request(ClientRequest::Status { request_id }))) => {
                // A voter without a working disk responds to status requests only.
                let mut status = self.durable.status();
                status.rejected_links = self
                    .links
                    .rejected_frames()
                    .iter()
                    .map(|(kind, count)| (kind.to_string(), *count))
                    .collect();
                self.links.send(link, &Frame::Response(ClientResponse::Status { request_id, status }));
            }
            (None, LinkEvent::Frame(frame)) => {
                if !self.durable.receive(link as u64, frame, now()) {
                    self.durable.inbound_closed(link as u64);
                    self.links.close(link);
                }
            }
            (None, LinkEvent::Closed) => self.durable.inbound_closed(link as u64),
            (Some(_), LinkEvent::Accepted) | (None, LinkEvent::Accepted | LinkEvent::Connected) => {}
        }
    }

    /// Returns the other voters with known addresses, or those of the file while the membership is unknown.
    fn others(&self) -> Vec<(VoterId, SocketAddr)> {
        let file = &self.fleet_config.voters;
        // The local file takes precedence, since it may route through another address.
        let info = |voter: &VoterId, agreed: Option<&String>| {
            let address = file.get(voter).copied().or_else(|| agreed?.parse().ok());
            Some((*voter, address?))
        };
        let mut others: Vec<(VoterId, SocketAddr)> = match self.durable.voter() {
            Some(voter) if !voter.membership().members().is_empty() => {
                let known = voter.membership().members().iter();
                let known = known.map(|(voter, info)| (voter, info.as_ref().map(|p| &p.address)));
                let unlisted_voters =
                    voter.unlisted_voters().iter().map(|(voter, address)| (voter, Some(address)));
                known.chain(unlisted_voters).filter_map(|(voter, agreed)| info(voter, agreed)).collect()
            }
            _ => file.iter().map(|(voter, address)| (*voter, *address)).collect(),
        };
        others.retain(|(voter, _)| *voter != self.voter);
        others
    }

    fn connect_to_others(&mut self) {
        let time = now();
        for (voter, address) in self.others() {
            let due = self.connect_at.get(&voter).is_none_or(|at| time >= *at);
            if self.outbound.contains_key(&voter) || !due {
                continue;
            }
            let spread = Duration::from_millis(random_id() % 100);
            self.connect_at.insert(voter, time + RECONNECT_DELAY + spread);
            if let Ok(link) = self.links.connect(address) {
                self.outbound.insert(voter, (link, false));
            }
        }
    }

    fn finish_turn(&mut self) {
        let outcome = self.durable.finish_turn(now());
        if outcome.reset {
            return self.reset();
        }
        for (to, frame) in outcome.frames {
            let link = match to {
                Recipient::Voter(voter) => {
                    self.outbound.get(&voter).filter(|(_, up)| *up).map(|(link, _)| *link)
                }
                Recipient::Link(link) => Some(link as usize),
            };
            if let Some(link) = link {
                self.links.send(link, &frame);
            }
        }
    }

    /// Closes all connections, so that peers repeat their unanswered requests.
    fn reset(&mut self) {
        for link in self.links.open_links() {
            self.links.close(link);
        }
        self.outbound.clear();
    }
}
