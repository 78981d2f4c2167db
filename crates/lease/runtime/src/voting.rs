//! A voter's loop: its voter with the disk and its links.

use crate::durable_voter::DurableVoter;
use crate::net::{Happened, LinkNumber, Net};
use crate::plan::Plan;
use crate::{drawn, now};
use passrelay_lease_consensus::voter::{To, VoterIdentity};
use passrelay_lease_consensus::wire::{Answer, Frame, Say};
use passrelay_lease_consensus::VoterId;
use passrelay_lease_journal::RealDisk;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The longest wait for something to happen.
const LONGEST: Duration = Duration::from_millis(10);
/// A voter that can't be reached is called again after so long, and something beside, so that voters that
/// come back together don't call together.
const CALL_AGAIN: Duration = Duration::from_millis(100);

/// One voter.
pub struct Voting {
    voter: VoterId,
    plan: Plan,
    durable: DurableVoter<RealDisk>,
    net: Net,
    called: BTreeMap<VoterId, (LinkNumber, bool)>,
    call_at: BTreeMap<VoterId, Duration>,
}

impl Voting {
    /// Opens the voter's disk and listens. On a new disk, one that `joins` waits to be added to a fleet that goes
    /// on; any other begins one together with all voters of the file.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the disk or the address.
    pub fn open(plan: &Plan, voter: VoterId, joins: bool) -> Result<Voting, String> {
        let listen = *plan.voters.get(&voter).ok_or_else(|| {
            let known: Vec<VoterId> = plan.voters.keys().copied().collect();
            format!("voter {voter} is not in the fleet's file, which has {known:?}")
        })?;
        let folder = plan.data.join(format!("voter-{voter}"));
        let identity = VoterIdentity {
            voter,
            voters: plan.voters.keys().copied().collect(),
            joins,
            lock_delay: plan.lock_delay,
            new_disk: drawn(),
            life: drawn(),
        };
        let disk = Box::new(move || RealDisk::open(&folder));
        let durable = DurableVoter::open(identity, disk, now())?;
        let net = Net::open(&plan.fleet, Some(listen)).map_err(|e| format!("{listen}: {e}"))?;
        let (called, call_at) = (BTreeMap::new(), BTreeMap::new());
        Ok(Voting { voter, plan: plan.clone(), durable, net, called, call_at })
    }

    /// Votes until told to end. `say` gets an event's name and its values for the log.
    ///
    /// # Errors
    ///
    /// Fails where the poller does.
    pub fn run(&mut self, end: &AtomicBool, say: &mut dyn FnMut(&str, &str)) -> Result<(), String> {
        let mut state = String::new();
        while !end.load(Ordering::Relaxed) {
            for (link, happened) in self.net.wait(LONGEST).map_err(|e| e.to_string())? {
                self.take(link, happened);
            }
            if self.durable.tick(now()).reset {
                self.reset();
            }
            self.call_others();
            self.turn();
            let status = self.durable.status();
            let leader = status.leader.map_or_else(|| "-".to_owned(), |l| l.to_string());
            let voters: Vec<VoterId> = status.voters.iter().map(|(voter, _)| *voter).collect();
            let fresh = format!("state={:?} leader={leader} voters={voters:?}", status.state);
            if fresh != state {
                say("voter", &fresh);
                state = fresh;
            }
        }
        Ok(())
    }

    fn take(&mut self, link: LinkNumber, happened: Happened) {
        let called = self.called.iter().find(|(_, (l, _))| *l == link).map(|(v, _)| *v);
        match (called, happened) {
            (Some(voter), Happened::Up) => {
                self.called.insert(voter, (link, true));
                self.durable.linked(voter);
            }
            (Some(voter), Happened::Frame(frame)) => self.durable.called_back(voter, frame),
            (Some(voter), Happened::Gone) => {
                self.called.remove(&voter);
                self.durable.unlinked(voter);
            }
            (None, Happened::Frame(Frame::Client(Say::Status { ticket }))) => {
                // A voter without a disk answers this, and nothing else.
                let mut status = self.durable.status();
                status.refused =
                    self.net.bad().iter().map(|(bad, count)| (bad.to_string(), *count)).collect();
                self.net.send(link, &Frame::Answer(Answer::Status { ticket, status }));
            }
            (None, Happened::Frame(frame)) => {
                if !self.durable.receive(link as u64, frame, now()) {
                    self.durable.gone(link as u64);
                    self.net.close(link);
                }
            }
            (None, Happened::Gone) => self.durable.gone(link as u64),
            (Some(_), Happened::Came) | (None, Happened::Came | Happened::Up) => {}
        }
    }

    /// The other voters as far as it is known where they listen; those of the file while no others are known.
    fn others(&self) -> Vec<(VoterId, SocketAddr)> {
        let file = &self.plan.voters;
        // A file of one's own goes before: it may lead over another address.
        let place = |voter: &VoterId, told: Option<&String>| {
            let address = file.get(voter).copied().or_else(|| told?.parse().ok());
            Some((*voter, address?))
        };
        let mut others: Vec<(VoterId, SocketAddr)> = match self.durable.voter() {
            Some(voter) if !voter.membership().places().is_empty() => {
                let known = voter.membership().places().iter();
                let known = known.map(|(voter, place)| (voter, place.as_ref().map(|p| &p.address)));
                let visitors = voter.visitors().iter().map(|(voter, address)| (voter, Some(address)));
                known.chain(visitors).filter_map(|(voter, told)| place(voter, told)).collect()
            }
            _ => file.iter().map(|(voter, address)| (*voter, *address)).collect(),
        };
        others.retain(|(voter, _)| *voter != self.voter);
        others
    }

    fn call_others(&mut self) {
        let time = now();
        for (voter, address) in self.others() {
            let due = self.call_at.get(&voter).is_none_or(|at| time >= *at);
            if self.called.contains_key(&voter) || !due {
                continue;
            }
            let spread = Duration::from_millis(drawn() % 100);
            self.call_at.insert(voter, time + CALL_AGAIN + spread);
            if let Ok(link) = self.net.call(address) {
                self.called.insert(voter, (link, false));
            }
        }
    }

    fn turn(&mut self) {
        let outcome = self.durable.turn(now());
        if outcome.reset {
            return self.reset();
        }
        for (to, frame) in outcome.frames {
            let link = match to {
                To::Voter(voter) => self.called.get(&voter).filter(|(_, up)| *up).map(|(link, _)| *link),
                To::Link(link) => Some(link as usize),
            };
            if let Some(link) = link {
                self.net.send(link, &frame);
            }
        }
    }

    /// Closes all links: whoever was promised something asks again.
    fn reset(&mut self) {
        for link in self.net.numbers() {
            self.net.close(link);
        }
        self.called.clear();
    }
}
