//! Links of a voter: who greets whom, and what comes over them.

use super::*;

impl Voter {
    /// A link that this voter called is up.
    pub fn linked(&mut self, voter: VoterId) {
        self.linked.insert(voter);
        self.greet(voter);
    }

    pub(super) fn greet(&mut self, voter: VoterId) {
        let (disk, mark, life) = (self.disk, self.mark, self.identity.life);
        let joins = self.membership.voters().is_empty();
        let own = self.membership.places().get(&self.identity.voter).and_then(Option::as_ref);
        let address = own.map(|place| place.address.clone());
        let hello = Frame::Hello { voter: self.identity.voter, disk, mark, life, joins, address };
        self.frames.push((To::Voter(voter), hello));
    }

    /// A link that this voter called is down.
    pub fn unlinked(&mut self, voter: VoterId) {
        self.linked.remove(&voter);
        self.replica.unreachable(voter);
    }

    /// A link that somebody else called is down.
    pub fn gone(&mut self, link: LinkId) {
        if let Some(session) = self.guests.remove(&link).and_then(|g| g.session) {
            if self.sessions.get(&session) == Some(&link) {
                self.sessions.remove(&session);
            }
        }
        self.reads.retain(|_, (l, _)| *l != link);
    }

    /// A voter that this one called answers.
    pub fn called_back(&mut self, voter: VoterId, frame: Frame) {
        match frame {
            Frame::Welcome => {
                self.welcomed.insert(voter);
                self.begin_to_vote();
            }
            Frame::Unwelcome { reason } => self.unwelcome = Some(format!("voter {voter}: {reason}")),
            _ => {}
        }
    }

    /// A frame came on a link that somebody called. `false` where the link is to be closed.
    pub fn receive(&mut self, link: LinkId, frame: Frame, now: Duration) -> bool {
        match frame {
            Frame::Hello { voter, disk, mark, life, joins, address } => {
                self.hello(link, voter, Known { disk, mark, life }, joins, address);
                true
            }
            Frame::Marks(marks) => {
                if self.guests.get(&link).is_none_or(|g| g.voter.is_none()) {
                    return false;
                }
                for (voter, mark, life) in marks {
                    self.hear(voter, mark, life);
                }
                true
            }
            Frame::Vote { mark, message } => {
                let Some(guest) = self.guests.get_mut(&link) else { return false };
                let (Some(voter), life) = (guest.voter, guest.life) else { return false };
                // Guards against two processes on copies of one disk, each with a life of its own.
                let other = self.known.get(&voter).is_some_and(|known| known.life != life);
                if (other || guest.mark > mark) && !is(Mutant::LostDiskVotes) {
                    return false;
                }
                guest.mark = mark;
                self.hear(voter, mark, life);
                if self.votes() {
                    // One that is out of date is no reason to part.
                    self.replica.receive(voter, &message);
                    self.take_in(now);
                }
                true
            }
            Frame::Client(say) => {
                if !self.guests.contains_key(&link) && self.guests.len() >= MOST_CLIENTS {
                    return false;
                }
                self.say(link, say);
                self.take_in(now);
                true
            }
            Frame::Welcome | Frame::Unwelcome { .. } | Frame::Answer(_) => false,
        }
    }

    /// A voter's disk has taken so many writes in this life of its process.
    pub(super) fn hear(&mut self, voter: VoterId, mark: u64, life: u64) {
        if let Some(known) = self.known.get_mut(&voter).filter(|k| k.mark < mark) {
            (known.mark, known.life) = (mark, life);
            self.heard.insert(voter);
        }
    }

    pub(super) fn hello(
        &mut self,
        link: LinkId,
        voter: VoterId,
        caller: Known,
        joins: bool,
        address: Option<String>,
    ) {
        let stranger = if voter == self.identity.voter {
            Some("it is another process under this voter's own number".to_owned())
        } else if self.membership.removed(voter) {
            Some(format!("voter {voter} was removed; its process can come back under a new number"))
        } else if joins && self.membership.places().get(&voter).is_some_and(Option::is_none) {
            // Guards against a disk that votes before all know it: a founder's is not in the membership.
            Some(format!("voter {voter} began the fleet; it can't be added"))
        } else {
            None
        };
        // Guards against a voter that forgot what it promised: it would promise it again to another.
        let wrong = match self.known.get(&voter) {
            _ if is(Mutant::LostDiskVotes) => None,
            Some(known) if known.disk != caller.disk => {
                Some(format!("voter {voter} had another disk; remove it and add it anew"))
            }
            // In one life a link that was slow may bring less than others have told meanwhile.
            Some(known) if known.mark > caller.mark && known.life != caller.life => Some(format!(
                "voter {voter}'s disk is an older copy (write {}, {} were heard of); remove it and add it anew",
                caller.mark, known.mark
            )),
            _ => None,
        };
        if let Some(reason) = stranger.or(wrong) {
            self.frames.push((To::Link(link), Frame::Unwelcome { reason }));
            return;
        }
        // Guards against frames of an older connection that were held up: only the newest one speaks.
        self.guests.retain(|_, g| g.voter != Some(voter));
        let (life, mark) = (caller.life, caller.mark);
        self.guests.insert(link, Guest { voter: Some(voter), life, mark, ..Guest::default() });
        let nobody = self.membership.voters().is_empty() && self.identity.voters.contains(&voter);
        if self.membership.has(voter) || nobody {
            let before = self.known.get(&voter).copied().unwrap_or_default();
            let known = Known { mark: before.mark.max(mark), ..caller };
            if self.known.insert(voter, known) != Some(known) {
                self.dirty.push(Record::Known(voter, known));
            }
        } else if let Some(address) = address.filter(|_| self.visitors.len() < MOST_VOTERS) {
            // Guards against a voter that lags behind the membership and turns away the one that could tell it.
            // Whoever counts this one's votes knows its disk.
            self.visitors.insert(voter, address);
        }
        self.frames.push((To::Link(link), Frame::Welcome));
    }

    pub(super) fn say(&mut self, link: LinkId, say: Say) {
        let guest = self.guests.entry(link).or_default();
        let entry = match say {
            Say::Open { name, nonce, ttl_ms } => {
                guest.nonce = Some(nonce);
                Entry::Open { name, nonce, ttl_ms }
            }
            Say::Renew { session, count } => {
                self.bind(link, session);
                Entry::Renew { session, count }
            }
            Say::Ask { session, seq, op } => {
                self.bind(link, session);
                Entry::Ask { session, seq, op }
            }
            Say::Close { session } => Entry::Close { session },
            Say::List { ticket } => {
                let number = self.await_read(link, ticket);
                Entry::Mark { by: self.identity.voter, ticket: number }
            }
            Say::Status { ticket } => {
                let status = self.status();
                self.frames.push((To::Link(link), Frame::Answer(Answer::Status { ticket, status })));
                return;
            }
            Say::Watch => {
                guest.watches = true;
                return;
            }
            Say::Change { ticket, change } => return self.wish_change(link, ticket, &change),
        };
        if !self.votes() || !self.replica.propose(&entry) {
            self.frames.push((To::Link(link), Frame::Answer(Answer::NotNow)));
        }
    }

    /// A change of the membership is answered when it comes by in the agreed order, like a read.
    pub(super) fn wish_change(&mut self, link: LinkId, ticket: u64, change: &Change) {
        let number = self.await_read(link, ticket);
        if !self.votes() || !self.replica.propose_change(self.identity.voter, number, change) {
            self.frames.push((To::Link(link), Frame::Answer(Answer::NotNow)));
        }
    }

    pub(super) fn await_read(&mut self, link: LinkId, ticket: u64) -> u64 {
        if self.reads.len() >= MOST_READS {
            self.reads.pop_first();
        }
        self.next_read += 1;
        self.reads.insert(self.next_read, (link, ticket));
        self.next_read
    }

    pub(super) fn bind(&mut self, link: LinkId, session: SessionId) {
        self.guests.entry(link).or_default().session = Some(session);
        self.sessions.insert(session, link);
    }
}
