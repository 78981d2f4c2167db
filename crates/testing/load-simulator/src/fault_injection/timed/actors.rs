//! What voters, clients and the operator do on their own: turns, leases, beliefs.

use super::*;

impl World {
    pub(super) fn tick(&mut self, proc: ProcId, life: u32) {
        if self.procs[proc].life != life || !self.procs[proc].up {
            return;
        }
        if !self.procs[proc].stopped {
            match self.procs[proc].role {
                Role::Voter(_) => self.tick_voter(proc),
                Role::Client(_) => self.tick_client(proc),
                Role::Operator(_) => self.tick_operator(proc),
            }
        }
        let next = self.now + self.random.random_range(0.015..0.025);
        self.at(next, Event::Tick { proc, life });
    }

    pub(super) fn tick_voter(&mut self, proc: ProcId) {
        let now = self.local(proc);
        let Role::Voter(desk) = &mut self.procs[proc].role else { return };
        let Some(durable) = &mut desk.durable else {
            // A new life has a tick of its own.
            return self.start(proc);
        };
        let reset = durable.tick(now).reset;
        if reset {
            self.reset(proc);
        }
        for other in self.others(proc) {
            let Role::Voter(desk) = &mut self.procs[proc].role else { return };
            if other == proc || desk.called[other].is_some() || self.now < desk.call_at[other] {
                continue;
            }
            let wait = self.random.random_range(0.05..0.3);
            let conn = self.call(proc, other);
            let Role::Voter(desk) = &mut self.procs[proc].role else { return };
            desk.called[other] = Some(conn);
            desk.call_at[other] = self.now + wait;
            if let Some(durable) = &mut desk.durable {
                durable.outbound_up(other as u64 + 1);
            }
        }
        self.turn(proc);
    }

    /// The voters that a voter knows of; those of its file while it knows none.
    pub(super) fn others(&self, proc: ProcId) -> Vec<ProcId> {
        let Role::Voter(desk) = &self.procs[proc].role else { return Vec::new() };
        let known = desk.durable.as_ref().and_then(DurableVoter::voter).map(|v| {
            let visitors =
                v.unlisted_voters().keys().copied().filter(|_| !v.membership().members().is_empty());
            v.membership().voter_ids().into_iter().chain(visitors).collect::<Vec<_>>()
        });
        let voters = known.filter(|k| !k.is_empty()).unwrap_or_else(|| desk.file.clone());
        voters.iter().map(|v| *v as usize - 1).collect()
    }

    pub(super) fn tick_operator(&mut self, proc: ProcId) {
        let voter = self.membership[self.random.random_range(0..self.membership.len())];
        let Role::Operator(operator) = &mut self.procs[proc].role else { return };
        let Some(order) = operator.orders.front().copied().filter(|_| self.now >= operator.ask_at) else {
            return;
        };
        operator.ask_at = self.now + 0.6;
        let (before, ticket) = (operator.conn.take(), operator.ticket);
        if let Some(conn) = before {
            self.close(conn, 0);
        }
        let change = match order {
            Order::Remove(which) => MembershipChange::Remove { voter: which as u64 + 1 },
            Order::Add(which) => {
                let Role::Voter(desk) = &self.procs[which].role else { return };
                // Its disk's name counts once it is lasting.
                let Some(disk) = desk.durable.as_ref().map(|s| s.status().disk_id).filter(|d| *d > 0) else {
                    return;
                };
                let info = VoterInfo { address: format!("127.0.0.1:{}", which + 1), disk_id: disk };
                MembershipChange::Add { voter: which as u64 + 1, info }
            }
        };
        let conn = self.call(proc, voter);
        if let Role::Operator(operator) = &mut self.procs[proc].role {
            operator.conn = Some(conn);
        }
        self.send(
            conn,
            0,
            Item::Bytes(encode(
                FLEET,
                &Frame::Request(ClientRequest::ChangeMembership { request_id: ticket, change }),
            )),
        );
    }

    /// Closes all of a voter's links.
    pub(super) fn reset(&mut self, proc: ProcId) {
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                if self.conns[conn].ends[end] == proc {
                    self.close(conn, end);
                }
            }
        }
        if let Role::Voter(desk) = &mut self.procs[proc].role {
            desk.called.fill(None);
        }
    }

    pub(super) fn turn(&mut self, proc: ProcId) {
        let now = self.local(proc);
        let Role::Voter(desk) = &mut self.procs[proc].role else { return };
        let Some(durable) = &mut desk.durable else { return };
        let outcome = durable.finish_turn(now);
        let called = desk.called.clone();
        if outcome.reset {
            return self.reset(proc);
        }
        for (to, frame) in outcome.frames {
            let (conn, end) = match to {
                Recipient::Voter(voter) => (called[voter as usize - 1], 0),
                Recipient::Link(link) => (Some(link as usize), 1),
            };
            if let Some(conn) = conn.filter(|c| self.conns[*c].open[end]) {
                self.send(conn, end, Item::Bytes(encode(FLEET, &frame)));
            }
        }
    }

    pub(super) fn tick_client(&mut self, proc: ProcId) {
        let now = self.local(proc);
        let Role::Client(member) = &mut self.procs[proc].role else { return };
        if member.client.should_switch_voter(now) {
            if let Some(conn) = member.conn.take() {
                member.client.disconnected();
                self.close(conn, 0);
            }
        }
        let Role::Client(member) = &mut self.procs[proc].role else { return };
        if member.conn.is_none() && self.now >= member.call_at {
            if !is_active(Mutant::NeverLeaves) {
                member.voter = (member.voter + 1) % member.voters.len();
            }
            let voter = member.voters[member.voter % member.voters.len()];
            let conn = self.call(proc, voter);
            let wait = self.random.random_range(0.02..0.15);
            let Role::Client(member) = &mut self.procs[proc].role else { return };
            member.conn = Some(conn);
            member.call_at = self.now + wait;
            member.client.connected(now);
        }
        let Role::Client(member) = &mut self.procs[proc].role else { return };
        member.client.tick(now);
        self.serve(proc);
    }

    /// Lets a client's process act on what it heard, and sends what it says.
    pub(super) fn serve(&mut self, proc: ProcId) {
        let (local, now) = (self.local(proc), self.now);
        let p = &mut self.procs[proc];
        let Role::Client(member) = &mut p.role else { return };
        for news in member.client.take_events() {
            if let Some(noted) = member.hear(news, local, now, &p.name) {
                self.history.noted.push(noted);
            }
        }
        let landing = member.act(local, now, &p.name, self.healing, &self.plan, &mut self.random);
        let (says, conn) = (member.client.take_requests(), member.conn);
        if let Some(act) = landing {
            self.at(act.arrived, Event::Land(act));
        }
        self.note_beliefs(proc);
        if let Some(conn) = conn.filter(|c| self.conns[*c].open[0]) {
            for say in says {
                self.send(conn, 0, Item::Bytes(encode(FLEET, &Frame::Request(say))));
            }
        }
    }

    /// An act reaches its target, which keeps the highest token it has seen.
    pub(super) fn land(&mut self, act: Act) {
        let highest = self.targets.entry(act.lease.clone()).or_default();
        let accepted = act.token >= *highest;
        *highest = act.token.max(*highest);
        self.history.acts.push(Act { accepted, ..act });
    }

    // Beliefs.

    pub(super) fn note_beliefs(&mut self, proc: ProcId) {
        let (local, now) = (self.local(proc), self.now);
        let Role::Client(member) = &mut self.procs[proc].role else { return };
        let guards = member.client.guards(local);
        let believed = |key: &(String, u64)| guards.iter().any(|g| g.lease() == key.0 && g.token() == key.1);
        // What was let go ended now; what merely ran out ended when it said it would.
        let ended: Vec<_> =
            member.beliefs.iter().filter(|(key, _)| !believed(key)).map(|(k, v)| (k.clone(), *v)).collect();
        for guard in &guards {
            let key = (guard.lease().to_owned(), guard.token());
            let (_, until) = member.beliefs.entry(key).or_insert((now, guard.valid_until()));
            *until = guard.valid_until();
        }
        for (key, _) in &ended {
            member.beliefs.remove(key);
        }
        for (key, (from, until)) in ended {
            self.keep_belief(proc, key, from, until);
        }
    }

    pub(super) fn keep_belief(
        &mut self,
        proc: ProcId,
        (lease, token): (String, u64),
        from: f64,
        until: Duration,
    ) {
        let p = &self.procs[proc];
        let wall = if is_active(Mutant::WallClock) { p.wall } else { 0.0 };
        let to = p.clock.when(until.saturating_sub(Duration::from_secs_f64(wall)));
        let process = format!("{}.{}", p.name, p.life);
        self.history.beliefs.push(Belief { process, lease, token, from, to: to.min(self.now).max(from) });
    }

    /// Its beliefs end now, at the latest.
    pub(super) fn end_beliefs(&mut self, proc: ProcId) {
        self.note_beliefs(proc);
        let Role::Client(member) = &mut self.procs[proc].role else { return };
        for (key, (from, until)) in std::mem::take(&mut member.beliefs) {
            self.keep_belief(proc, key, from, until);
        }
    }

    // Faults.
}
