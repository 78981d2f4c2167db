//! Connections of a voter: the handshake between voters and the handling of received frames.

use super::*;

impl Voter {
    /// Handles a new connection that this voter opened.
    pub fn outbound_up(&mut self, voter: VoterId) {
        self.outbound.insert(voter);
        self.greet(voter);
    }

    pub(super) fn greet(&mut self, voter: VoterId) {
        let (disk_id, write_count, incarnation) = (self.disk_id, self.write_count, self.config.incarnation);
        let joining = self.membership.voter_ids().is_empty();
        let own = self.membership.members().get(&self.config.voter).and_then(Option::as_ref);
        let address = own.map(|info| info.address.clone());
        let hello =
            Frame::Hello { voter: self.config.voter, disk_id, write_count, incarnation, joining, address };
        self.frames.push((Recipient::Voter(voter), hello));
    }

    /// Handles the loss of a connection that this voter opened.
    pub fn outbound_down(&mut self, voter: VoterId) {
        self.outbound.remove(&voter);
        self.replica.report_unreachable(voter);
    }

    /// Handles the loss of a connection that the peer opened.
    pub fn inbound_closed(&mut self, link: LinkId) {
        if let Some(session) = self.inbound.remove(&link).and_then(|g| g.session) {
            if self.sessions.get(&session) == Some(&link) {
                self.sessions.remove(&session);
            }
        }
        self.pending_reads.retain(|_, (l, _)| *l != link);
    }

    /// Handles a frame from a voter on the connection that this voter opened.
    pub fn receive_from_voter(&mut self, voter: VoterId, frame: Frame) {
        match frame {
            Frame::HelloAccepted => {
                self.accepted_by.insert(voter);
                self.update_may_vote();
            }
            Frame::HelloRejected { reason } => self.rejected = Some(format!("voter {voter}: {reason}")),
            _ => {}
        }
    }

    /// Handles a frame on a connection that the peer opened. Returns `false` if the connection has to be
    /// closed.
    pub fn receive(&mut self, link: LinkId, frame: Frame, now: Duration) -> bool {
        match frame {
            Frame::Hello { voter, disk_id, write_count, incarnation, joining, address } => {
                self.handle_hello(
                    link,
                    voter,
                    PeerState { disk_id, write_count, incarnation },
                    joining,
                    address,
                );
                true
            }
            Frame::WriteCounts(counts) => {
                if self.inbound.get(&link).is_none_or(|g| g.voter.is_none()) {
                    return false;
                }
                for (voter, write_count, incarnation) in counts {
                    self.update_peer(voter, write_count, incarnation);
                }
                true
            }
            Frame::Consensus { write_count, message } => {
                let Some(caller_link) = self.inbound.get_mut(&link) else { return false };
                let (Some(voter), incarnation) = (caller_link.voter, caller_link.incarnation) else {
                    return false;
                };
                // Two processes on copies of one disk have different incarnations, and only one of them may
                // vote.
                let other = self.peers.get(&voter).is_some_and(|known| known.incarnation != incarnation);
                if (other || caller_link.write_count > write_count) && !is_active(Mutant::LostDiskVotes) {
                    return false;
                }
                caller_link.write_count = write_count;
                self.update_peer(voter, write_count, incarnation);
                if self.is_voting() {
                    // An outdated message is no reason to close the connection.
                    self.replica.receive(voter, &message);
                    self.apply_committed(now);
                }
                true
            }
            Frame::Request(request) => {
                if !self.inbound.contains_key(&link) && self.inbound.len() >= MAX_CLIENTS {
                    return false;
                }
                self.handle_request(link, request);
                self.apply_committed(now);
                true
            }
            Frame::HelloAccepted | Frame::HelloRejected { .. } | Frame::Response(_) => false,
        }
    }

    /// Records the write count that a voter reached in an incarnation of its process.
    pub(super) fn update_peer(&mut self, voter: VoterId, write_count: u64, incarnation: u64) {
        if let Some(known) = self.peers.get_mut(&voter).filter(|k| k.write_count < write_count) {
            (known.write_count, known.incarnation) = (write_count, incarnation);
            self.unsaved_peers.insert(voter);
        }
    }

    pub(super) fn handle_hello(
        &mut self,
        link: LinkId,
        voter: VoterId,
        caller: PeerState,
        joining: bool,
        address: Option<String>,
    ) {
        let not_eligible = if voter == self.config.voter {
            Some("another process uses this voter's own number".to_owned())
        } else if self.membership.was_removed(voter) {
            Some(format!("voter {voter} was removed; its process can come back under a new number"))
        } else if joining && self.membership.members().get(&voter).is_some_and(Option::is_none) {
            // The membership doesn't name the disk of a founder, so it could vote before all others know its
            // disk.
            Some(format!("voter {voter} began the fleet; it can't be added"))
        } else {
            None
        };
        // A voter that lost its votes and accepted entries could contradict them.
        let stale_disk = match self.peers.get(&voter) {
            _ if is_active(Mutant::LostDiskVotes) => None,
            Some(known) if known.disk_id != caller.disk_id => {
                Some(format!("voter {voter} had another disk; remove it and add it anew"))
            }
            // Within one incarnation, a slow connection may report a lower count than other voters have
            // passed on.
            Some(known) if known.write_count > caller.write_count && known.incarnation != caller.incarnation => Some(format!(
                "voter {voter}'s disk is an older copy (write {}, {} were heard of); remove it and add it anew",
                caller.write_count, known.write_count
            )),
            _ => None,
        };
        if let Some(reason) = not_eligible.or(stale_disk) {
            self.frames.push((Recipient::Link(link), Frame::HelloRejected { reason }));
            return;
        }
        // Only the newest connection counts, so that delayed frames of an older one have no effect.
        self.inbound.retain(|_, g| g.voter != Some(voter));
        let (incarnation, write_count) = (caller.incarnation, caller.write_count);
        self.inbound.insert(
            link,
            InboundLink { voter: Some(voter), incarnation, write_count, ..InboundLink::default() },
        );
        let nobody = self.membership.voter_ids().is_empty() && self.config.voters.contains(&voter);
        if self.membership.contains(voter) || nobody {
            let before = self.peers.get(&voter).copied().unwrap_or_default();
            let known = PeerState { write_count: before.write_count.max(write_count), ..caller };
            if self.peers.insert(voter, known) != Some(known) {
                self.pending_records.push(Record::Peer(voter, known));
            }
        } else if let Some(address) = address.filter(|_| self.unlisted_voters.len() < MAX_VOTERS) {
            // This voter may lag behind the membership and must not reject the peer that can update it.
            // Voters that count this one's votes know its disk.
            self.unlisted_voters.insert(voter, address);
        }
        self.frames.push((Recipient::Link(link), Frame::HelloAccepted));
    }

    pub(super) fn handle_request(&mut self, link: LinkId, request: ClientRequest) {
        let caller_link = self.inbound.entry(link).or_default();
        let entry = match request {
            ClientRequest::OpenSession { name, nonce, ttl_ms } => {
                caller_link.nonce = Some(nonce);
                Entry::OpenSession { name, nonce, ttl_ms }
            }
            ClientRequest::RenewSession { session, count } => {
                self.bind_session(link, session);
                Entry::RenewSession { session, count }
            }
            ClientRequest::Operation { session, seq, op } => {
                self.bind_session(link, session);
                Entry::Operation { session, seq, op }
            }
            ClientRequest::CloseSession { session } => Entry::CloseSession { session },
            ClientRequest::List { request_id } => {
                let number = self.add_pending_read(link, request_id);
                Entry::ReadMarker { voter: self.config.voter, request_id: number }
            }
            ClientRequest::Status { request_id } => {
                let status = self.status();
                self.frames.push((
                    Recipient::Link(link),
                    Frame::Response(ClientResponse::Status { request_id, status }),
                ));
                return;
            }
            ClientRequest::Watch => {
                caller_link.watching = true;
                return;
            }
            ClientRequest::ChangeMembership { request_id, change } => {
                return self.propose_membership_change(link, request_id, &change)
            }
        };
        if !self.is_voting() || !self.replica.propose(&entry) {
            self.frames.push((Recipient::Link(link), Frame::Response(ClientResponse::Unavailable)));
        }
    }

    /// Proposes a membership change. The response is sent when the change is applied, as for a read.
    pub(super) fn propose_membership_change(
        &mut self,
        link: LinkId,
        request_id: u64,
        change: &MembershipChange,
    ) {
        let number = self.add_pending_read(link, request_id);
        if !self.is_voting() || !self.replica.propose_change(self.config.voter, number, change) {
            self.frames.push((Recipient::Link(link), Frame::Response(ClientResponse::Unavailable)));
        }
    }

    pub(super) fn add_pending_read(&mut self, link: LinkId, request_id: u64) -> u64 {
        if self.pending_reads.len() >= MAX_READS {
            self.pending_reads.pop_first();
        }
        self.next_read_id += 1;
        self.pending_reads.insert(self.next_read_id, (link, request_id));
        self.next_read_id
    }

    pub(super) fn bind_session(&mut self, link: LinkId, session: SessionId) {
        self.inbound.entry(link).or_default().session = Some(session);
        self.sessions.insert(session, link);
    }
}
