//! Faults as they come and are undone.

use super::*;

impl World {
    pub(super) fn undo_in(&mut self, from: f64, to: f64, undo: Undo) {
        let time = self.now + self.random.random_range(from..to);
        self.at(time, Event::Undo(undo));
    }

    pub(super) fn cut_link(&mut self, from: ProcId, to: ProcId, longest: f64) {
        if from != to && !self.cut[from][to] {
            self.cut[from][to] = true;
            self.undo_in(0.1, longest, Undo::Heal(from, to));
        }
    }

    pub(super) fn fault(&mut self) {
        let (desks, size) = (self.desks(), self.procs.len());
        let (voter, voters) = (self.random.random_range(0..size), self.started());
        // A leader more often than others: most of what can go wrong goes wrong there.
        let leader = self.leader().filter(|_| self.random.random_bool(0.3));
        let voter = leader.unwrap_or(voters[voter % voters.len()]);
        let client = desks + self.random.random_range(0..self.plan.clients);
        let any = self.random.random_range(0..size);
        let name = |w: &World, p: ProcId| w.procs[p].name.clone();
        match self.random.random_range(0..100) {
            0..14 => {
                let other = voters[self.random.random_range(0..voters.len())];
                let both = self.random.random_bool(0.4);
                self.say(format!(
                    "link cut from {} to {}, both ways: {both}",
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
                // For about as long as a time to live: what it said meanwhile arrives late, all at once.
                let ttl = match &self.procs[client].role {
                    Role::Client(member) => member.client.ttl().as_secs_f64(),
                    Role::Voter(_) | Role::Operator(_) => 1.0,
                };
                let time = self.now + ttl * self.random.random_range(0.9..1.2);
                self.say(format!("{} not heard until {time:.3}", name(self, client)));
                self.mute(client, time);
                // Heard for a moment, with all it had said, and then not again.
                if self.random.random_bool(0.8) {
                    let (again, long) =
                        (time + self.random.random_range(0.01..0.3), self.random.random_range(0.5..2.0));
                    self.at(again, Event::Undo(Undo::Mute(client, again + long)));
                }
            }
            20..24 => {
                let (out, back) =
                    [(true, true), (true, false), (false, true)][self.random.random_range(0..3)];
                let p = if self.random.random_bool(0.7) { voter } else { client };
                self.say(format!("{} alone: not heard {out}, hears nothing {back}", name(self, p)));
                for other in 0..size {
                    if out {
                        self.cut_link(p, other, 3.0);
                    }
                    if back {
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
                self.say(format!("connection from {} to {} lost", name(self, a), name(self, b)));
                self.break_conn(conn);
            }
            32..50 => {
                let p = if self.random.random_bool(0.5) { voter } else { client };
                self.say(format!("{} stopped", name(self, p)));
                if self.procs[p].up && !self.procs[p].stopped {
                    self.procs[p].stopped = true;
                    self.undo_in(0.05, 4.0, Undo::Go(p));
                }
            }
            50..60 => {
                let power = self.random.random_bool(0.5);
                self.say(format!("{} killed, power lost: {power}", name(self, voter)));
                self.kill_voter(voter, power);
                self.undo_in(0.05, 3.0, Undo::Start(voter));
            }
            60..63 => {
                self.say("all voters killed".to_owned());
                for v in voters {
                    self.kill_voter(v, true);
                    self.undo_in(0.05, 1.5, Undo::Start(v));
                }
            }
            63..73 => {
                self.say(format!("{} killed", name(self, client)));
                self.kill(client);
                self.undo_in(0.02, 2.0, Undo::Start(client));
            }
            73..77 => {
                let fault = if self.random.random_bool(0.6) { Fault::Full } else { Fault::SyncFails };
                let count = self.random.random_range(1..=2);
                self.say(format!("disk of {} (and {} more): {fault:?}", name(self, voter), count - 1));
                let first = voters.iter().position(|v| *v == voter).unwrap_or(0);
                for v in (0..count).map(|n| voters[(first + n) % voters.len()]) {
                    if let Role::Voter(desk) = &self.procs[v].role {
                        desk.disk.set_fault(fault);
                    }
                    self.undo_in(0.2, 3.0, Undo::Disk(v));
                }
            }
            77..80 => self.lose_disk(voter),
            80..84 => self.change_membership(voter),
            84..86 => {
                let rate = [0.902, 1.0, 1.098][self.random.random_range(0..3)];
                self.say(format!("clock of {} runs at {rate:.3}", name(self, any)));
                let now = self.now;
                self.procs[any].clock.run_at(now, rate);
            }
            86..91 => {
                // Small ones end some sessions and not others, if anybody counts by it.
                let most = if self.random.random_bool(0.8) { 2.5 } else { 3600.0 };
                let jump = self.random.random_range(0.0..most);
                self.say(format!("wall clock of {} set ahead by {jump:.0} s", name(self, voter)));
                self.procs[voter].wall += jump;
                if self.random.random_bool(0.7) {
                    let time = self.now + self.random.random_range(0.3..1.5);
                    self.say(format!("{} not heard until {time:.3}", name(self, client)));
                    self.mute(client, time);
                }
            }
            _ => {
                self.delay = if self.delay > 0.01 { 0.001 } else { self.random.random_range(0.02..0.2) };
                self.say(format!("delays of {:.0} ms", self.delay * 1000.0));
            }
        }
    }

    /// No voter hears this process until then.
    pub(super) fn mute(&mut self, proc: ProcId, until: f64) {
        for voter in 0..self.desks() {
            if !std::mem::replace(&mut self.cut[proc][voter], true) {
                self.at(until, Event::Undo(Undo::Heal(proc, voter)));
            }
        }
    }

    pub(super) fn break_conn(&mut self, conn: ConnId) {
        for end in 0..2 {
            if self.conns[conn].open[end] {
                self.arrive(conn, end, Item::Close);
            }
        }
    }

    pub(super) fn kill_voter(&mut self, voter: ProcId, power: bool) {
        self.kill(voter);
        let keep = self.random.random_range(0..200);
        if let Role::Voter(desk) = &self.procs[voter].role {
            if power {
                desk.disk.lose_power(keep);
            }
        }
    }

    /// Voters that run or will, removed ones too.
    pub(super) fn started(&self) -> Vec<ProcId> {
        let started = |p: &&ProcId| matches!(&self.procs[**p].role, Role::Voter(d) if !d.file.is_empty());
        (0..self.desks()).collect::<Vec<_>>().iter().filter(started).copied().collect()
    }

    /// Whom most voters take for the leader.
    pub(super) fn leader(&self) -> Option<ProcId> {
        let named = |p: &Proc| match &p.role {
            Role::Voter(desk) if p.up => Some(desk.durable.as_ref()?.voter()?.leader()? as usize - 1),
            _ => None,
        };
        let named: Vec<ProcId> = self.procs.iter().filter_map(named).collect();
        named.iter().copied().max_by_key(|l| named.iter().filter(|n| *n == l).count())
    }

    /// A process that believes in a lease now.
    pub(super) fn holder(&self) -> Option<ProcId> {
        let holds = |p: &ProcId| matches!(&self.procs[*p].role, Role::Client(m) if !m.beliefs.is_empty());
        (self.desks()..self.procs.len()).find(holds)
    }

    /// Voters of the membership whose disk is as it should be.
    pub(super) fn sound(&self) -> usize {
        let sound = |p: &&ProcId| matches!(&self.procs[**p].role, Role::Voter(desk) if !desk.out);
        self.membership.iter().filter(sound).count()
    }

    pub(super) fn operator(&mut self) -> &mut Operator {
        match self.procs.last_mut().map(|p| &mut p.role) {
            Some(Role::Operator(operator)) => operator,
            _ => unreachable!("the operator is the last process"),
        }
    }

    pub(super) fn order(&mut self, order: Order) {
        self.say(format!("asked for: {order:?}"));
        match order {
            Order::Add(which) => self.membership.push(which),
            Order::Remove(which) => self.membership.retain(|p| *p != which),
        }
        self.operator().orders.push_back(order);
    }

    /// Starts a spare, which waits to be added.
    pub(super) fn add_spare(&mut self) -> bool {
        let file: Vec<VoterId> = self.membership.iter().map(|p| *p as u64 + 1).collect();
        let Some(spare) = (0..self.desks()).find(|p| !self.started().contains(p)) else { return false };
        if let Role::Voter(desk) = &mut self.procs[spare].role {
            desk.file = [file, vec![spare as u64 + 1]].concat();
        }
        self.start(spare);
        self.order(Order::Add(spare));
        true
    }

    /// A voter more, a voter less, or one in the place of another.
    pub(super) fn change_membership(&mut self, voter: ProcId) {
        if !self.operator().orders.is_empty() {
            return;
        }
        let how = self.random.random_range(0..3);
        if how != 1 && self.membership.len() < 7 {
            self.add_spare();
        }
        let enough =
            self.sound().saturating_sub(1) > (self.membership.len() - 1) / 2 && self.membership.len() > 2;
        if how != 0 && self.membership.contains(&voter) && enough {
            self.order(Order::Remove(voter));
        }
    }

    /// A voter comes back with an empty disk or an older copy. No more than a minority may at a time; in most
    /// cases another comes in its place.
    pub(super) fn lose_disk(&mut self, voter: ProcId) {
        let (empty, replaced) = (self.random.random_bool(0.5), self.random.random_bool(0.5));
        let few = self.membership.len() - self.sound() >= (self.membership.len() - 1) / 2;
        if !self.operator().orders.is_empty() || few || !self.membership.contains(&voter) {
            return;
        }
        let Role::Voter(desk) = &mut self.procs[voter].role else { return };
        if desk.out {
            return;
        }
        if !empty {
            let Some(old) = desk.old.take() else {
                desk.old = Some(desk.disk.deep_copy());
                return;
            };
            desk.disk = old;
        } else {
            desk.disk = MemoryDisk::default();
        }
        desk.out = true;
        let name = self.procs[voter].name.clone();
        self.say(format!("{name} killed, its disk {}", if empty { "lost" } else { "an older copy" }));
        self.kill(voter);
        self.undo_in(0.05, 1.0, Undo::Start(voter));
        if replaced && self.membership.len() > 1 {
            self.order(Order::Remove(voter));
            self.add_spare();
        }
    }

    pub(super) fn undo(&mut self, undo: &Undo) {
        match *undo {
            Undo::Heal(from, to) => self.heal(from, to),
            Undo::Go(proc) => {
                if std::mem::replace(&mut self.procs[proc].stopped, false) {
                    let waiting: Vec<_> = self.procs[proc].inbox.drain(..).collect();
                    for (conn, end, item) in waiting {
                        self.arrive(conn, end, item);
                    }
                }
            }
            Undo::Start(proc) => {
                if !self.procs[proc].up {
                    self.start(proc);
                }
            }
            Undo::Mute(proc, until) if !self.healing => self.mute(proc, until),
            Undo::Mute(..) => {}
            Undo::Disk(proc) => {
                if let Role::Voter(desk) = &self.procs[proc].role {
                    desk.disk.set_fault(Fault::None);
                }
            }
        }
    }

    pub(super) fn heal_all(&mut self) {
        self.healing = true;
        self.delay = 0.001;
        for from in 0..self.procs.len() {
            for to in 0..self.procs.len() {
                self.heal(from, to);
            }
            self.undo(&Undo::Disk(from));
            self.undo(&Undo::Go(from));
            self.undo(&Undo::Start(from));
            if let Role::Client(member) = &mut self.procs[from].role {
                member.calm = true;
            }
        }
    }
}
