//! Model checking of the lease protocol: all interleavings within the stated bounds. The table, the expiry
//! tracker and the client are the real ones; the log, the connections and time belong to the model.
//!
//! Three voters apply the log, each at its own pace, and each may detect an expired session. Two processes
//! compete for one lease. Messages are delayed arbitrarily but stay in order; clocks run as fast or slow as
//! the drift bound allows. One voter may crash and restart its timers, and one process may be stopped between
//! its check and its act.

use passrelay_lease_consensus::client::{Client, DRIFT_PERCENT};
use passrelay_lease_consensus::expiry::ExpiryTracker;
use passrelay_lease_consensus::lease_table::{Entry, LeaseTable, Op};
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse};
use passrelay_lease_consensus::{SessionId, Token};
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::VecDeque;
use std::time::Duration;

/// True time advances in steps of this many milliseconds.
const STEP_MS: u64 = 300;
const TTL_MS: u64 = 600;
/// Maximum number of messages in flight per connection and direction; further ones are lost.
const WAITING: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    table: LeaseTable,
    expiry: ExpiryTracker,
    applied: usize,
    /// Whether the clock runs fast, by the full drift bound, instead of slow.
    fast: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    client: Client,
    requests: VecDeque<ClientRequest>,
    answers: VecDeque<ClientResponse>,
    fast: bool,
    /// A token that the process has checked and not acted with yet.
    hand: Option<Token>,
    stopped: bool,
    acted: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// True time, in steps.
    time: u64,
    log: Vec<Entry>,
    voters: Vec<Voter>,
    processes: Vec<Process>,
    /// The highest token that the target accepted, and whether it accepted an older one later.
    highest: Token,
    older_taken: bool,
    crashes: usize,
    stops: usize,
    extra_drift: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    /// A voter receives a request and appends it to the log.
    Hear(usize),
    /// A voter applies all log entries that are new to it.
    Apply(usize),
    /// A voter proposes the expirations that are due.
    Due(usize),
    /// A process receives a response.
    Answer(usize),
    Check(usize),
    Act(usize),
    Stop(usize),
    Continue(usize),
    Crash(usize),
}

/// Which clocks run fast, one bit each: the voters', the first process's, the second process's.
const CLOCKS: [u8; 4] = [0b001, 0b110, 0b101, 0b011];

/// Bounds of the model, and protections to leave out to verify that the checker detects their absence.
#[derive(Clone, Debug)]
struct Leases {
    steps: u64,
    entries: usize,
    /// Number of [`CLOCKS`] to check.
    clocks: usize,
    crashes: usize,
    /// Whether processes act.
    acts: bool,
    /// Whether the target remembers the highest token and rejects older ones.
    fence: bool,
    /// Percentage by which clocks deviate beyond the assumed drift bound.
    extra_drift: u32,
}

fn clock(time: u64, fast: bool, extra: u32) -> Duration {
    let drift = DRIFT_PERCENT + extra;
    let percent = if fast { 100 + drift } else { 100 - drift };
    Duration::from_millis(time * STEP_MS * u64::from(percent) / 100)
}

impl State {
    fn now(&self, process: usize) -> Duration {
        clock(self.time, self.processes[process].fast, self.extra_drift)
    }

    fn believes(&self, process: usize) -> bool {
        self.processes[process].client.guard("l", self.now(process)).is_some()
    }

    /// Puts a client's requests on its connection.
    fn speak(&mut self, process: usize) {
        let p = &mut self.processes[process];
        p.client.take_events();
        p.requests.extend(p.client.take_requests());
        p.requests.truncate(WAITING);
    }

    fn propose(&mut self, say: ClientRequest) {
        self.log.push(match say {
            ClientRequest::RenewSession { session, count } => Entry::RenewSession { session, count },
            ClientRequest::Operation { session, seq, op } => Entry::Operation { session, seq, op },
            ClientRequest::OpenSession { name, nonce, ttl_ms } => Entry::OpenSession { name, nonce, ttl_ms },
            say => panic!("not in this model: {say:?}"),
        });
    }

    /// Applies the next entry on a voter, which responds to the process connected to it.
    fn apply(&mut self, voter: usize) {
        let now = clock(self.time, self.voters[voter].fast, self.extra_drift);
        let v = &mut self.voters[voter];
        let entry = self.log[v.applied].clone();
        v.applied += 1;
        let (reply, events) = v.table.apply(&entry);
        events.iter().for_each(|e| v.expiry.record(e, now));
        let (Some(p), Some(reply)) = (self.processes.get_mut(voter), reply) else { return };
        let mine = |session: SessionId| p.client.session() == Some(session);
        let answer = match entry {
            Entry::RenewSession { session, count } if mine(session) => {
                ClientResponse::SessionRenewed { session, count, reply }
            }
            Entry::Operation { session, seq, .. } if mine(session) => {
                ClientResponse::Operation { session, seq, reply }
            }
            Entry::OpenSession { nonce, .. } if nonce == voter as u64 => {
                ClientResponse::SessionOpened { nonce, reply }
            }
            _ => return,
        };
        p.answers.push_back(answer);
        p.answers.truncate(WAITING);
    }

    /// Delivers and answers all pending messages at once.
    fn settle(&mut self) {
        loop {
            for process in 0..self.processes.len() {
                while let Some(say) = self.processes[process].requests.pop_front() {
                    self.propose(say);
                }
            }
            let behind: Vec<usize> =
                (0..self.voters.len()).filter(|v| self.voters[*v].applied < self.log.len()).collect();
            if behind.is_empty() && self.processes.iter().all(|p| p.answers.is_empty()) {
                return;
            }
            behind.into_iter().for_each(|v| self.apply(v));
            for process in 0..self.processes.len() {
                let now = self.now(process);
                while let Some(answer) = self.processes[process].answers.pop_front() {
                    self.processes[process].client.receive(answer, now);
                    self.speak(process);
                }
            }
        }
    }
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    /// The first process holds the lease and the second one waits in the queue, for each set of clocks.
    fn init_states(&self) -> Vec<State> {
        let begin = |clocks: u8| {
            let voter = |_| Voter {
                table: LeaseTable::default(),
                expiry: ExpiryTracker::new(Duration::ZERO),
                applied: 0,
                fast: clocks & 1 > 0,
            };
            let process = |at: u64| Process {
                client: Client::new(&format!("p{at}"), at, Duration::from_millis(TTL_MS)),
                requests: VecDeque::new(),
                answers: VecDeque::new(),
                fast: clocks & (2 << at) > 0,
                hand: None,
                stopped: false,
                acted: 0,
            };
            let mut state = State {
                time: 0,
                log: Vec::new(),
                voters: (0..3).map(voter).collect(),
                processes: (0..2).map(process).collect(),
                highest: 0,
                older_taken: false,
                crashes: self.crashes,
                stops: 1,
                extra_drift: self.extra_drift,
            };
            for at in 0..2 {
                state.processes[at].client.connected(Duration::ZERO);
                state.speak(at);
                state.settle();
                let op = Op::Acquire { lease: "l".to_owned(), ttl_ms: TTL_MS, wait: true };
                state.processes[at].client.request(op, Duration::ZERO);
                state.speak(at);
                state.settle();
            }
            // Earlier entries have been applied everywhere.
            state.log.clear();
            state.voters.iter_mut().for_each(|v| v.applied = 0);
            state
        };
        CLOCKS.into_iter().take(self.clocks).map(begin).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Time passes between a check and its act only while the process is stopped.
        if state.time < self.steps && state.processes.iter().all(|p| p.hand.is_none() || p.stopped) {
            actions.push(Action::Time);
        }
        for voter in 0..state.voters.len() {
            let v = &state.voters[voter];
            if v.applied < state.log.len() {
                actions.push(Action::Apply(voter));
            }
            if state.log.len() < self.entries {
                actions.push(Action::Due(voter));
            }
            if state.crashes > 0 {
                actions.push(Action::Crash(voter));
            }
        }
        for at in 0..state.processes.len() {
            let p = &state.processes[at];
            if !p.requests.is_empty() && state.log.len() < self.entries {
                actions.push(Action::Hear(at));
            }
            if p.stopped {
                actions.push(Action::Continue(at));
                continue;
            }
            if !p.answers.is_empty() {
                actions.push(Action::Answer(at));
            }
            match p.hand {
                Some(_) => {
                    actions.push(Action::Act(at));
                    actions.extend((state.stops > 0).then_some(Action::Stop(at)));
                }
                None if self.acts && p.acted < 1 && state.believes(at) => actions.push(Action::Check(at)),
                None => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Time => {
                state.time += 1;
                for at in 0..state.processes.len() {
                    if !state.processes[at].stopped {
                        let now = state.now(at);
                        state.processes[at].client.tick(now);
                        state.speak(at);
                    }
                }
            }
            Action::Hear(at) => {
                let say = state.processes[at].requests.pop_front()?;
                state.propose(say);
            }
            Action::Apply(voter) => {
                while state.voters[voter].applied < state.log.len() {
                    state.apply(voter);
                }
            }
            Action::Due(voter) => {
                let now = clock(state.time, state.voters[voter].fast, state.extra_drift);
                let v = &mut state.voters[voter];
                let due = v.expiry.due_entries(&v.table, now);
                if due.is_empty() {
                    return None;
                }
                state.log.extend(due);
            }
            Action::Answer(at) => {
                let now = state.now(at);
                let answer = state.processes[at].answers.pop_front()?;
                state.processes[at].client.receive(answer, now);
                state.speak(at);
            }
            Action::Check(at) => {
                let guard = state.processes[at].client.guard("l", state.now(at))?;
                state.processes[at].hand = Some(guard.token());
            }
            Action::Act(at) => {
                let p = &mut state.processes[at];
                let token = p.hand.take()?;
                p.acted += 1;
                if token >= state.highest {
                    state.highest = token;
                } else if !self.fence {
                    state.older_taken = true;
                }
            }
            Action::Stop(at) => {
                state.processes[at].stopped = true;
                state.stops -= 1;
            }
            Action::Continue(at) => state.processes[at].stopped = false,
            Action::Crash(voter) => {
                let now = clock(state.time, state.voters[voter].fast, state.extra_drift);
                let v = &mut state.voters[voter];
                v.expiry = ExpiryTracker::new(Duration::ZERO);
                v.expiry.reset(&v.table, now);
                if let Some(p) = state.processes.get_mut(voter) {
                    p.answers.clear();
                }
                state.crashes -= 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two processes believe at once", |_, s: &State| {
                !(s.believes(0) && s.believes(1))
            }),
            Property::always("no older effect after a newer one", |_, s: &State| !s.older_taken),
            // The model must not pass because nothing happens in it.
            Property::sometimes("the second process gets the lease", |_, s: &State| s.believes(1)),
            Property::sometimes("both have acted", |m: &Leases, s: &State| {
                !m.acts || s.processes.iter().all(|p| p.acted > 0)
            }),
        ]
    }
}

/// Checks every interleaving. Returns the number of states and the violated properties.
fn checked(model: &Leases, enough: HasDiscoveries) -> (usize, Vec<&'static str>) {
    let checker = model.clone().checker().threads(4).finish_when(enough).spawn_dfs().join();
    let found = checker.discoveries();
    let wrong = |p: &Property<Leases>| match p.expectation {
        Expectation::Sometimes => !found.contains_key(p.name),
        _ => found.contains_key(p.name),
    };
    let wrong = model.properties().into_iter().filter(wrong).map(|p| p.name).collect();
    (checker.unique_state_count(), wrong)
}

const TIMING: Leases =
    Leases { steps: 2, entries: 4, clocks: 4, crashes: 0, acts: false, fence: true, extra_drift: 0 };

fn holds(model: &Leases) {
    let (states, wrong) = checked(model, HasDiscoveries::All);
    println!("{states} states: {model:?}");
    assert_eq!(wrong, [] as [&str; 0]);
}

#[test]
fn no_two_processes_believe_at_once() {
    holds(&TIMING);
}

#[test]
fn no_two_processes_believe_at_once_though_a_voter_counts_anew() {
    holds(&Leases { clocks: 1, crashes: 1, ..TIMING });
}

#[test]
fn no_older_effect_is_taken_from_a_process_that_was_stopped_before_it_acts() {
    holds(&Leases { clocks: 1, acts: true, ..TIMING });
}

// The model must detect a process that is stopped between its check and its act when the fence is missing.
#[test]
fn without_the_fence_an_older_effect_is_taken() {
    let (_, wrong) =
        checked(&Leases { clocks: 1, acts: true, fence: false, ..TIMING }, HasDiscoveries::AnyFailures);
    assert!(wrong.contains(&"no older effect after a newer one"), "{wrong:?}");
}

// The model must detect clocks beyond the drift bound.
#[test]
fn with_clocks_further_apart_two_processes_believe_at_once() {
    let (_, wrong) = checked(&Leases { extra_drift: 25, ..TIMING }, HasDiscoveries::AnyFailures);
    assert!(wrong.contains(&"no two processes believe at once"), "{wrong:?}");
}
