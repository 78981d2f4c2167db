//! A client's links: one voter at a time, another when that one says nothing.

use crate::net::{Happened, LinkNumber, Net};
use crate::plan::Plan;
use crate::{drawn, now};
use passrelay_lease_consensus::client::{Client, News};
use passrelay_lease_consensus::wire::{Answer, Frame, Say};
use passrelay_lease_consensus::VoterId;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A voter that answers no question for so long is left for another.
const PATIENCE: Duration = Duration::from_millis(800);
/// A link that doesn't come up is given up after so long.
const COMES_UP: Duration = Duration::from_millis(500);

/// A process of the fleet that votes not.
pub struct Member {
    /// Its session.
    pub client: Client,
    net: Net,
    /// Those of the file, and those it was told of.
    named: BTreeMap<VoterId, SocketAddr>,
    voters: Vec<SocketAddr>,
    at: usize,
    link: Option<(LinkNumber, bool)>,
    call_at: Duration,
    called_at: Duration,
    /// Failed calls in a row: each makes the next wait longer, up to two seconds.
    failed: u32,
    /// Asked without a session, and again at each new voter.
    questions: Vec<Say>,
    /// Since when a question has been without an answer of any kind.
    unanswered: Option<Duration>,
}

impl Member {
    /// A process of this name.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no poller.
    pub fn new(plan: &Plan, name: &str, ttl: Duration) -> io::Result<Member> {
        let voters: Vec<SocketAddr> = plan.voters.values().copied().collect();
        let at = drawn() as usize % voters.len();
        Ok(Member {
            client: Client::new(name, drawn(), ttl),
            net: Net::open(&plan.fleet, None)?,
            named: plan.voters.clone(),
            voters,
            at,
            link: None,
            call_at: Duration::ZERO,
            called_at: Duration::ZERO,
            failed: 0,
            questions: Vec::new(),
            unanswered: None,
        })
    }

    /// A question that needs no session; it is asked at each voter until an answer comes.
    pub fn question(&mut self, say: Say) {
        self.ask(&say);
        self.questions.push(say);
    }

    /// Asks the voter something that is of no use at the next one: whether it is still there.
    pub fn ask(&mut self, say: &Say) {
        if let Some((link, true)) = self.link {
            self.net.send(link, &Frame::Client(say.clone()));
            self.unanswered.get_or_insert_with(now);
        }
    }

    /// Whether a session is wanted; a question alone needs none.
    fn only_asks(&self) -> bool {
        !self.questions.is_empty()
    }

    /// Lets up to this time pass, and gives what happened.
    ///
    /// # Errors
    ///
    /// Fails where the poller does.
    pub fn step(&mut self, longest: Duration) -> io::Result<Vec<News>> {
        let time = now();
        let silent = self.link.is_some_and(|(_, up)| !up) && time >= self.called_at + COMES_UP;
        // Guards against a question to a voter that was stopped, which would wait for as long as that lasts.
        let unheard = self.unanswered.is_some_and(|since| time >= since + PATIENCE);
        if silent || unheard || self.client.wants_another(time) {
            self.leave(time);
        }
        if self.link.is_none() && time >= self.call_at {
            self.called_at = time;
            match self.net.call(self.voters[self.at]) {
                Ok(link) => self.link = Some((link, false)),
                Err(_) => self.leave(time),
            }
        }
        if !self.only_asks() {
            self.client.tick(time);
        }
        self.speak();
        for (link, happened) in self.net.wait(longest)? {
            if self.link.map(|(l, _)| l) != Some(link) {
                continue;
            }
            match happened {
                Happened::Up => {
                    self.link = Some((link, true));
                    for say in self.questions.clone() {
                        self.ask(&say);
                    }
                    if !self.only_asks() {
                        self.client.up(now());
                    }
                }
                Happened::Frame(Frame::Answer(Answer::Voters(voters))) => self.learn(&voters),
                Happened::Frame(Frame::Answer(answer)) => {
                    (self.failed, self.unanswered) = (0, None);
                    self.client.receive(answer, now());
                }
                Happened::Gone => self.leave(now()),
                Happened::Frame(_) | Happened::Came => {}
            }
        }
        self.speak();
        Ok(self.client.news())
    }

    /// Who votes now. Guards against a process that outlives all voters of its file, each replaced in its time.
    fn learn(&mut self, told: &[(VoterId, Option<String>)]) {
        for (voter, address) in told {
            if let Some(address) = address.as_ref().and_then(|a| a.parse().ok()) {
                self.named.entry(*voter).or_insert(address);
            }
        }
        let votes = |voter: &VoterId| told.iter().any(|(v, _)| v == voter);
        let voters: Vec<SocketAddr> =
            self.named.iter().filter(|(voter, _)| votes(voter)).map(|(_, address)| *address).collect();
        if !voters.is_empty() {
            // It stays with its voter; if that one is no more, the link will end.
            let current = self.voters[self.at];
            self.at = voters.iter().position(|a| *a == current).unwrap_or(0);
            self.voters = voters;
        }
    }

    fn speak(&mut self) {
        let says = self.client.says();
        if let Some((link, true)) = self.link {
            for say in says {
                self.net.send(link, &Frame::Client(say));
            }
        }
    }

    /// Leaves this voter for the next.
    fn leave(&mut self, time: Duration) {
        if let Some((link, _)) = self.link.take() {
            self.net.close(link);
        }
        self.client.down();
        self.unanswered = None;
        self.at = (self.at + 1) % self.voters.len();
        // The first few at once, so that a lost voter costs no lease; then spread, so that a returning one
        // isn't called by all.
        self.failed += 1;
        let most = (20u64 << self.failed.min(7)).min(2000);
        self.call_at = time + Duration::from_millis(drawn() % most);
    }
}
