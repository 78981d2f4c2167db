//! Periodic work of voters, clients and the operator, and the tracking of clients' beliefs.

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
        self.schedule(next, Event::Tick { proc, life });
    }

    pub(super) fn tick_voter(&mut self, proc: ProcId) {
        let now = self.local_time(proc);
        let Role::Voter(host) = &mut self.procs[proc].role else { return };
        let Some(durable) = &mut host.durable else {
            // A successful start schedules the ticks of the new life.
            return self.start(proc);
        };
        let reset = durable.tick(now).reset;
        if reset {
            self.close_connections(proc);
        }
        for other in self.known_voters(proc) {
            let Role::Voter(host) = &mut self.procs[proc].role else { return };
            if other == proc || host.outgoing[other].is_some() || self.now < host.connect_at[other] {
                continue;
            }
            let wait = self.random.random_range(0.05..0.3);
            let conn = self.connect(proc, other);
            let Role::Voter(host) = &mut self.procs[proc].role else { return };
            host.outgoing[other] = Some(conn);
            host.connect_at[other] = self.now + wait;
            if let Some(durable) = &mut host.durable {
                durable.outbound_up(other as u64 + 1);
            }
        }
        self.run_voter(proc);
    }

    /// Returns the voters that a voter knows, or those in its configuration file while it knows none.
    pub(super) fn known_voters(&self, proc: ProcId) -> Vec<ProcId> {
        let Role::Voter(host) = &self.procs[proc].role else { return Vec::new() };
        let known = host.durable.as_ref().and_then(DurableVoter::voter).map(|v| {
            let visitors =
                v.unlisted_voters().keys().copied().filter(|_| !v.membership().members().is_empty());
            v.membership().voter_ids().into_iter().chain(visitors).collect::<Vec<_>>()
        });
        let voters = known.filter(|k| !k.is_empty()).unwrap_or_else(|| host.config.clone());
        voters.iter().map(|v| *v as usize - 1).collect()
    }

    pub(super) fn tick_operator(&mut self, proc: ProcId) {
        let voter = self.membership[self.random.random_range(0..self.membership.len())];
        let Role::Operator(operator) = &mut self.procs[proc].role else { return };
        let Some(order) =
            operator.pending_changes.front().copied().filter(|_| self.now >= operator.request_at)
        else {
            return;
        };
        operator.request_at = self.now + 0.6;
        let (before, ticket) = (operator.conn.take(), operator.ticket);
        if let Some(conn) = before {
            self.close(conn, 0);
        }
        let change = match order {
            PlannedChange::Remove(which) => MembershipChange::Remove { voter: which as u64 + 1 },
            PlannedChange::Add(which) => {
                let Role::Voter(host) = &self.procs[which].role else { return };
                // The disk identifier counts once it is durable.
                let Some(disk) = host.durable.as_ref().map(|s| s.status().disk_id).filter(|d| *d > 0) else {
                    return;
                };
                let info = VoterInfo { address: format!("127.0.0.1:{}", which + 1), disk_id: disk };
                MembershipChange::Add { voter: which as u64 + 1, info }
            }
        };
        let conn = self.connect(proc, voter);
        if let Role::Operator(operator) = &mut self.procs[proc].role {
            operator.conn = Some(conn);
        }
        self.send(
            conn,
            0,
            Segment::Bytes(encode(
                FLEET,
                &Frame::Request(ClientRequest::ChangeMembership { request_id: ticket, change }),
            )),
        );
    }

    /// Closes all connections of a voter.
    pub(super) fn close_connections(&mut self, proc: ProcId) {
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                if self.conns[conn].ends[end] == proc {
                    self.close(conn, end);
                }
            }
        }
        if let Role::Voter(host) = &mut self.procs[proc].role {
            host.outgoing.fill(None);
        }
    }

    pub(super) fn run_voter(&mut self, proc: ProcId) {
        let now = self.local_time(proc);
        let Role::Voter(host) = &mut self.procs[proc].role else { return };
        let Some(durable) = &mut host.durable else { return };
        let outcome = durable.finish_turn(now);
        let outgoing = host.outgoing.clone();
        if outcome.reset {
            return self.close_connections(proc);
        }
        for (to, frame) in outcome.frames {
            let (conn, end) = match to {
                Recipient::Voter(voter) => (outgoing[voter as usize - 1], 0),
                Recipient::Link(link) => (Some(link as usize), 1),
            };
            if let Some(conn) = conn.filter(|c| self.conns[*c].open[end]) {
                self.send(conn, end, Segment::Bytes(encode(FLEET, &frame)));
            }
        }
    }

    pub(super) fn tick_client(&mut self, proc: ProcId) {
        let now = self.local_time(proc);
        let Role::Client(client_host) = &mut self.procs[proc].role else { return };
        if client_host.client.should_switch_voter(now) {
            if let Some(conn) = client_host.conn.take() {
                client_host.client.disconnected();
                self.close(conn, 0);
            }
        }
        let Role::Client(client_host) = &mut self.procs[proc].role else { return };
        if client_host.conn.is_none() && self.now >= client_host.connect_at {
            if !is_active(Mutant::NeverLeaves) {
                client_host.voter = (client_host.voter + 1) % client_host.voters.len();
            }
            let voter = client_host.voters[client_host.voter % client_host.voters.len()];
            let conn = self.connect(proc, voter);
            let wait = self.random.random_range(0.02..0.15);
            let Role::Client(client_host) = &mut self.procs[proc].role else { return };
            client_host.conn = Some(conn);
            client_host.connect_at = self.now + wait;
            client_host.client.connected(now);
        }
        let Role::Client(client_host) = &mut self.procs[proc].role else { return };
        client_host.client.tick(now);
        self.run_client(proc);
    }

    /// Lets a client react to its news and act, and sends its pending requests.
    pub(super) fn run_client(&mut self, proc: ProcId) {
        let (local, now) = (self.local_time(proc), self.now);
        let p = &mut self.procs[proc];
        let Role::Client(client_host) = &mut p.role else { return };
        for news in client_host.client.take_events() {
            if let Some(effect) = client_host.handle_news(news, local, now, &p.name) {
                self.history.acknowledged.push(effect);
            }
        }
        let act = client_host.act(local, now, &p.name, self.healing, &self.plan, &mut self.random);
        let (requests, conn) = (client_host.client.take_requests(), client_host.conn);
        if let Some(act) = act {
            self.schedule(act.arrived, Event::ActArrival(act));
        }
        self.update_beliefs(proc);
        if let Some(conn) = conn.filter(|c| self.conns[*c].open[0]) {
            for request in requests {
                self.send(conn, 0, Segment::Bytes(encode(FLEET, &Frame::Request(request))));
            }
        }
    }

    /// Records an act on arrival at its target, which stores the highest token it has seen.
    pub(super) fn record_act(&mut self, act: Act) {
        let highest = self.target_tokens.entry(act.lease.clone()).or_default();
        let accepted = act.token >= *highest;
        *highest = act.token.max(*highest);
        self.history.acts.push(Act { accepted, ..act });
    }

    /// Updates a client's beliefs from the guards it holds, and records those that have ended.
    pub(super) fn update_beliefs(&mut self, proc: ProcId) {
        let (local, now) = (self.local_time(proc), self.now);
        let Role::Client(client_host) = &mut self.procs[proc].role else { return };
        let guards = client_host.client.guards(local);
        let believed = |key: &(String, u64)| guards.iter().any(|g| g.lease() == key.0 && g.token() == key.1);
        // A released lease ends now, an expired one at its announced end.
        let ended: Vec<_> = client_host
            .beliefs
            .iter()
            .filter(|(key, _)| !believed(key))
            .map(|(k, v)| (k.clone(), *v))
            .collect();
        for guard in &guards {
            let key = (guard.lease().to_owned(), guard.token());
            let (_, until) = client_host.beliefs.entry(key).or_insert((now, guard.valid_until()));
            *until = guard.valid_until();
        }
        for (key, _) in &ended {
            client_host.beliefs.remove(key);
        }
        for (key, (from, until)) in ended {
            self.record_belief(proc, key, from, until);
        }
    }

    pub(super) fn record_belief(
        &mut self,
        proc: ProcId,
        (lease, token): (String, u64),
        from: f64,
        until: Duration,
    ) {
        let p = &self.procs[proc];
        let wall = if is_active(Mutant::WallClock) { p.wall_ahead } else { 0.0 };
        let to = p.clock.true_time(until.saturating_sub(Duration::from_secs_f64(wall)));
        let process = format!("{}.{}", p.name, p.life);
        self.history.beliefs.push(Belief { process, lease, token, from, to: to.min(self.now).max(from) });
    }

    /// Ends all beliefs of a client now, or earlier if they expired before.
    pub(super) fn end_beliefs(&mut self, proc: ProcId) {
        self.update_beliefs(proc);
        let Role::Client(client_host) = &mut self.procs[proc].role else { return };
        for (key, (from, until)) in std::mem::take(&mut client_host.beliefs) {
            self.record_belief(proc, key, from, until);
        }
    }
}
