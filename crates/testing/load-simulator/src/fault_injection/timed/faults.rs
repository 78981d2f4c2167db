//! Random faults and their ends.

use super::*;

impl World {
    pub(super) fn schedule_undo(&mut self, from: f64, to: f64, undo: Undo) {
        let time = self.now + self.random.random_range(from..to);
        self.schedule(time, Event::Undo(undo));
    }

    pub(super) fn cut_link(&mut self, from: ProcId, to: ProcId, max_duration: f64) {
        if from != to && !self.cut[from][to] {
            self.cut[from][to] = true;
            self.schedule_undo(0.1, max_duration, Undo::RestoreLink(from, to));
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let (voter_hosts, size) = (self.voter_hosts(), self.procs.len());
        let (voter, voters) = (self.random.random_range(0..size), self.configured_voters());
        // The leader is chosen more often than other voters, as most faults concern it.
        let leader = self.leader().filter(|_| self.random.random_bool(0.3));
        let voter = leader.unwrap_or(voters[voter % voters.len()]);
        let client = voter_hosts + self.random.random_range(0..self.plan.clients);
        let any = self.random.random_range(0..size);
        let name = |w: &World, p: ProcId| w.procs[p].name.clone();
        match self.random.random_range(0..100) {
            0..14 => {
                let other = voters[self.random.random_range(0..voters.len())];
                let both = self.random.random_bool(0.4);
                self.log_fault(format!(
                    "link from {} to {} cut, both directions: {both}",
                    name(self, any),
                    name(self, other)
                ));
                self.cut_link(any, other, 3.0);
                if both || self.random.random_bool(0.2) {
                    self.cut_link(other, any, 3.0);
                }
            }
            14..20 => {
                let client = self.holder().unwrap_or(client);
                // For about one time to live; what the client sends meanwhile arrives late and all at once.
                let ttl = match &self.procs[client].role {
                    Role::Client(client_host) => client_host.client.ttl().as_secs_f64(),
                    Role::Voter(_) | Role::Operator(_) => 1.0,
                };
                let time = self.now + ttl * self.random.random_range(0.9..1.2);
                self.log_fault(format!("messages from {} held back until {time:.3}", name(self, client)));
                self.silence(client, time);
                // Then the link is restored for a moment, delivers everything held back, and is cut again.
                if self.random.random_bool(0.8) {
                    let (again, long) =
                        (time + self.random.random_range(0.01..0.3), self.random.random_range(0.5..2.0));
                    self.schedule(again, Event::Undo(Undo::Silence(client, again + long)));
                }
            }
            20..24 => {
                let (outgoing, incoming) =
                    [(true, true), (true, false), (false, true)][self.random.random_range(0..3)];
                let p = if self.random.random_bool(0.7) { voter } else { client };
                self.log_fault(format!(
                    "{} isolated: outgoing cut {outgoing}, incoming cut {incoming}",
                    name(self, p)
                ));
                for other in 0..size {
                    if outgoing {
                        self.cut_link(p, other, 3.0);
                    }
                    if incoming {
                        self.cut_link(other, p, 3.0);
                    }
                }
            }
            24..32 => {
                let open: Vec<ConnId> = (0..self.conns.len()).filter(|c| self.conns[*c].open[0]).collect();
                if open.is_empty() {
                    return;
                }
                let conn = open[self.random.random_range(0..open.len())];
                let [a, b] = self.conns[conn].ends;
                self.log_fault(format!("connection from {} to {} broken", name(self, a), name(self, b)));
                self.break_conn(conn);
            }
            32..50 => {
                let p = if self.random.random_bool(0.5) { voter } else { client };
                self.log_fault(format!("{} suspended", name(self, p)));
                if self.procs[p].up && !self.procs[p].stopped {
                    self.procs[p].stopped = true;
                    self.schedule_undo(0.05, 4.0, Undo::Resume(p));
                }
            }
            50..60 => {
                let power_lost = self.random.random_bool(0.5);
                self.log_fault(format!("{} killed, power lost: {power_lost}", name(self, voter)));
                self.kill_voter(voter, power_lost);
                self.schedule_undo(0.05, 3.0, Undo::Restart(voter));
            }
            60..63 => {
                self.log_fault("all voters killed".to_owned());
                for v in voters {
                    self.kill_voter(v, true);
                    self.schedule_undo(0.05, 1.5, Undo::Restart(v));
                }
            }
            63..73 => {
                self.log_fault(format!("{} killed", name(self, client)));
                self.kill(client);
                self.schedule_undo(0.02, 2.0, Undo::Restart(client));
            }
            73..77 => {
                let fault = if self.random.random_bool(0.6) { Fault::Full } else { Fault::SyncFails };
                let count = self.random.random_range(1..=2);
                self.log_fault(format!(
                    "disk fault {fault:?} at {} and {} more voters",
                    name(self, voter),
                    count - 1
                ));
                let first = voters.iter().position(|v| *v == voter).unwrap_or(0);
                for v in (0..count).map(|n| voters[(first + n) % voters.len()]) {
                    if let Role::Voter(host) = &self.procs[v].role {
                        host.disk.set_fault(fault);
                    }
                    self.schedule_undo(0.2, 3.0, Undo::RepairDisk(v));
                }
            }
            77..80 => self.lose_or_roll_back_disk(voter),
            80..84 => self.change_membership(voter),
            84..86 => {
                let rate = [0.902, 1.0, 1.098][self.random.random_range(0..3)];
                self.log_fault(format!("clock of {} runs at {rate:.3}", name(self, any)));
                let now = self.now;
                self.procs[any].clock.set_rate(now, rate);
            }
            86..91 => {
                // Small jumps would end some sessions and not others if any code measured time by the wall clock.
                let most = if self.random.random_bool(0.8) { 2.5 } else { 3600.0 };
                let jump = self.random.random_range(0.0..most);
                self.log_fault(format!("wall clock of {} set ahead by {jump:.0} s", name(self, voter)));
                self.procs[voter].wall_ahead += jump;
                if self.random.random_bool(0.7) {
                    let time = self.now + self.random.random_range(0.3..1.5);
                    self.log_fault(format!("messages from {} held back until {time:.3}", name(self, client)));
                    self.silence(client, time);
                }
            }
            _ => {
                self.delay = if self.delay > 0.01 { 0.001 } else { self.random.random_range(0.02..0.2) };
                self.log_fault(format!("link delays around {:.0} ms", self.delay * 1000.0));
            }
        }
    }

    /// Holds back everything that a process sends to voters, until the given time.
    pub(super) fn silence(&mut self, proc: ProcId, until: f64) {
        for voter in 0..self.voter_hosts() {
            if !std::mem::replace(&mut self.cut[proc][voter], true) {
                self.schedule(until, Event::Undo(Undo::RestoreLink(proc, voter)));
            }
        }
    }

    pub(super) fn break_conn(&mut self, conn: ConnId) {
        for end in 0..2 {
            if self.conns[conn].open[end] {
                self.arrive(conn, end, Segment::Close);
            }
        }
    }

    pub(super) fn kill_voter(&mut self, voter: ProcId, power_lost: bool) {
        self.kill(voter);
        let keep = self.random.random_range(0..200);
        if let Role::Voter(host) = &self.procs[voter].role {
            if power_lost {
                host.disk.lose_power(keep);
            }
        }
    }

    /// Returns the voters with a configuration file, including removed ones.
    pub(super) fn configured_voters(&self) -> Vec<ProcId> {
        let started = |p: &&ProcId| matches!(&self.procs[**p].role, Role::Voter(d) if !d.config.is_empty());
        (0..self.voter_hosts()).collect::<Vec<_>>().iter().filter(started).copied().collect()
    }

    /// Returns the process that most voters consider the leader.
    pub(super) fn leader(&self) -> Option<ProcId> {
        let named = |p: &Proc| match &p.role {
            Role::Voter(host) if p.up => Some(host.durable.as_ref()?.voter()?.leader()? as usize - 1),
            _ => None,
        };
        let named: Vec<ProcId> = self.procs.iter().filter_map(named).collect();
        named.iter().copied().max_by_key(|l| named.iter().filter(|n| *n == l).count())
    }

    /// Returns the first client that believes it holds a lease.
    pub(super) fn holder(&self) -> Option<ProcId> {
        let holds = |p: &ProcId| matches!(&self.procs[*p].role, Role::Client(m) if !m.beliefs.is_empty());
        (self.voter_hosts()..self.procs.len()).find(holds)
    }

    /// Returns the number of members whose disk was not lost or replaced by an older copy.
    pub(super) fn voters_with_valid_disk(&self) -> usize {
        let valid = |p: &&ProcId| matches!(&self.procs[**p].role, Role::Voter(host) if !host.disk_invalid);
        self.membership.iter().filter(valid).count()
    }

    pub(super) fn operator(&mut self) -> &mut Operator {
        match self.procs.last_mut().map(|p| &mut p.role) {
            Some(Role::Operator(operator)) => operator,
            _ => unreachable!("the operator is the last process"),
        }
    }

    pub(super) fn request_change(&mut self, order: PlannedChange) {
        self.log_fault(format!("membership change requested: {order:?}"));
        match order {
            PlannedChange::Add(which) => self.membership.push(which),
            PlannedChange::Remove(which) => self.membership.retain(|p| *p != which),
        }
        self.operator().pending_changes.push_back(order);
    }

    /// Starts a spare and requests that it be added. Returns `false` if no spare is left.
    pub(super) fn add_spare(&mut self) -> bool {
        let file: Vec<VoterId> = self.membership.iter().map(|p| *p as u64 + 1).collect();
        let Some(spare) = (0..self.voter_hosts()).find(|p| !self.configured_voters().contains(p)) else {
            return false;
        };
        if let Role::Voter(host) = &mut self.procs[spare].role {
            host.config = [file, vec![spare as u64 + 1]].concat();
        }
        self.start(spare);
        self.request_change(PlannedChange::Add(spare));
        true
    }

    /// Adds a voter, removes one, or replaces one by another.
    pub(super) fn change_membership(&mut self, voter: ProcId) {
        if !self.operator().pending_changes.is_empty() {
            return;
        }
        let how = self.random.random_range(0..3);
        if how != 1 && self.membership.len() < 7 {
            self.add_spare();
        }
        let enough = self.voters_with_valid_disk().saturating_sub(1) > (self.membership.len() - 1) / 2
            && self.membership.len() > 2;
        if how != 0 && self.membership.contains(&voter) && enough {
            self.request_change(PlannedChange::Remove(voter));
        }
    }

    /// Restarts a voter with an empty disk or an older copy of it, at most a minority at a time. In half of the cases,
    /// another voter replaces it.
    pub(super) fn lose_or_roll_back_disk(&mut self, voter: ProcId) {
        let (empty, replaced) = (self.random.random_bool(0.5), self.random.random_bool(0.5));
        let too_few_valid =
            self.membership.len() - self.voters_with_valid_disk() >= (self.membership.len() - 1) / 2;
        if !self.operator().pending_changes.is_empty() || too_few_valid || !self.membership.contains(&voter) {
            return;
        }
        let Role::Voter(host) = &mut self.procs[voter].role else { return };
        if host.disk_invalid {
            return;
        }
        if !empty {
            let Some(old) = host.older_copy.take() else {
                host.older_copy = Some(host.disk.deep_copy());
                return;
            };
            host.disk = old;
        } else {
            host.disk = MemoryDisk::default();
        }
        host.disk_invalid = true;
        let name = self.procs[voter].name.clone();
        self.log_fault(format!(
            "{name} killed, its disk {}",
            if empty { "lost" } else { "replaced by an older copy" }
        ));
        self.kill(voter);
        self.schedule_undo(0.05, 1.0, Undo::Restart(voter));
        if replaced && self.membership.len() > 1 {
            self.request_change(PlannedChange::Remove(voter));
            self.add_spare();
        }
    }

    pub(super) fn undo(&mut self, undo: &Undo) {
        match *undo {
            Undo::RestoreLink(from, to) => self.restore_link(from, to),
            Undo::Resume(proc) => {
                if std::mem::replace(&mut self.procs[proc].stopped, false) {
                    let waiting: Vec<_> = self.procs[proc].inbox.drain(..).collect();
                    for (conn, end, segment) in waiting {
                        self.arrive(conn, end, segment);
                    }
                }
            }
            Undo::Restart(proc) => {
                if !self.procs[proc].up {
                    self.start(proc);
                }
            }
            Undo::Silence(proc, until) if !self.healing => self.silence(proc, until),
            Undo::Silence(..) => {}
            Undo::RepairDisk(proc) => {
                if let Role::Voter(host) = &self.procs[proc].role {
                    host.disk.set_fault(Fault::None);
                }
            }
        }
    }

    pub(super) fn heal_all(&mut self) {
        self.healing = true;
        self.delay = 0.001;
        for from in 0..self.procs.len() {
            for to in 0..self.procs.len() {
                self.restore_link(from, to);
            }
            self.undo(&Undo::RepairDisk(from));
            self.undo(&Undo::Resume(from));
            self.undo(&Undo::Restart(from));
            if let Role::Client(client_host) = &mut self.procs[from].role {
                client_host.healed = true;
            }
        }
    }
}
