//! Attempts of requests at nodes: connections, sendings, answers on their way back.

use super::*;

impl World {
    pub(super) fn set_out(&mut self, sidecar: u32, id: u64, attempt: u32, to: u32) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        while r.attempts.len() < attempt as usize {
            // Attempts that the dispatcher ended by itself never came this way.
            r.attempts.push(Attempt { to, phase: Phase::Over, over: None, there: 0, ending: None });
        }
        r.attempts.push(Attempt { to, phase: Phase::Dialing, over: None, there: now, ending: None });
        let idle_for = nanos(self.e.limits.conn_idle_s);
        let lot = self.sidecars[sidecar as usize].lots.entry(to).or_default();
        while let Some(idle) = lot.pop() {
            let node = &mut self.nodes[idle.node as usize];
            if node.life != idle.life {
                // The end of it was heard when its process died.
                continue;
            }
            if now - idle.since >= idle_for {
                node.connections = node.connections.saturating_sub(1);
                continue;
            }
            return self.send(sidecar, id, attempt, idle);
        }
        let target = self.listens[self.nodes[to as usize].address as usize];
        let trip = self.delay_to_node(sidecar, target) + self.delay_to_node(sidecar, target);
        let patience = nanos(self.e.limits.connect_timeout_ms / 1e3);
        if self.is_cut(sidecar, target) {
            return self.queue.put(now + patience, Event::Dialed { id, attempt, up: None });
        }
        let node = &mut self.nodes[target as usize];
        if !node.is_there() || node.connections >= node.kind.connections {
            return self.queue.put(now + trip, Event::Dialed { id, attempt, up: None });
        }
        let shake = (trip as f64 * node.kind.handshake_trips) as Nanos;
        if shake > patience {
            return self.queue.put(now + patience, Event::Dialed { id, attempt, up: None });
        }
        node.connections += 1;
        let work = node.kind.handshake_ms / 1e3;
        if work > 0.0 {
            node.chore(now, work);
            self.changed(target);
        }
        let up = Some((target, self.nodes[target as usize].life));
        self.queue.put(now + shake, Event::Dialed { id, attempt, up });
    }

    pub(super) fn dialed(&mut self, id: u64, attempt: u32, up: Option<(u32, u32)>) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return self.close(up) };
        let sidecar = r.sidecar;
        let waits = r.attempts.get(attempt as usize).is_some_and(|a| a.phase == Phase::Dialing);
        if !waits || !self.sidecars[sidecar as usize].up {
            return self.close(up);
        }
        let Some((node, life)) = up.filter(|(node, life)| self.nodes[*node as usize].life == *life) else {
            return self.attempt_over(id, attempt, Ending::ConnectFailed, None);
        };
        let idle = Idle { since: now, node, life };
        let clock = seconds(now - self.sidecars[sidecar as usize].began);
        if self.sidecars[sidecar as usize].dispatcher.may_send(clock, RequestId(id), attempt).is_none() {
            let to = self.request(id).map_or(node, |r| r.attempts[attempt as usize].to);
            self.sidecars[sidecar as usize].lots.entry(to).or_default().push(idle);
            return self.attempt_over(id, attempt, Ending::NotSent, None);
        }
        self.send(sidecar, id, attempt, idle);
    }

    pub(super) fn close(&mut self, connection: Option<(u32, u32)>) {
        let Some((node, life)) = connection else { return };
        let node = &mut self.nodes[node as usize];
        if node.life == life {
            node.connections = node.connections.saturating_sub(1);
        }
    }

    /// Writes a request to a connection that is up.
    pub(super) fn send(&mut self, sidecar: u32, id: u64, attempt: u32, over: Idle) {
        let now = self.queue.now();
        let delay = self.delay_to_node(sidecar, over.node);
        let lost = self.is_cut(sidecar, over.node);
        let life = self.sidecars[sidecar as usize].life;
        let address = self.nodes[over.node as usize].address;
        let Some(r) = self.request(id) else { return };
        let a = &mut r.attempts[attempt as usize];
        (a.phase, a.over, a.there) = (Phase::Out, Some(over), now + delay);
        let to = a.to;
        let (class, tenant, work, deadline) = (r.class, r.tenant, r.work, r.deadline);
        self.observer.sent(now, id, attempt, to);
        if lost {
            return;
        }
        let flight = self.flights.insert(Job {
            key: (id, attempt),
            from: (sidecar, life),
            class,
            tenant,
            work,
            deadline,
            number: u64::from(over.life),
            piece: 0.0,
            calls: 0,
            fails: false,
            waits: false,
        });
        self.queue.put(now + delay, Event::AtNode { flight: flight as u32, address });
    }

    /// A request's last byte is at a node.
    pub(super) fn at_node(&mut self, flight: u32, address: u32) {
        let now = self.queue.now();
        let mut job = self.flights.remove(flight as usize);
        let at = self.listens[address as usize];
        let node = &mut self.nodes[at as usize];
        if node.ills.cut {
            return;
        }
        if !node.is_there() || u64::from(node.life) != job.number {
            return self.reply(at, &job, Ending::ConnectionLost, None);
        }
        let tier = node.tier;
        let spec = &self.e.tier[tier];
        let next = self.e.tier.get(tier + 1);
        let calls = next.map_or([0.0, 0.0], |t| t.calls);
        let noise = self.e.class[job.class as usize].attempt_noise;
        (job.piece, job.calls) = node.pieces(job.work * spec.work, noise, calls);
        let key = job.key;
        let usual = self.e.class[job.class as usize].work_ms / 1e3 * spec.work;
        let copy = job.clone();
        let born = node.born;
        let knows = |s: &Sidecar| s.known.iter().any(|l| l.node == at && l.born == born);
        let told = node.warmth(now) < 1.0 && knows(&self.sidecars[job.from.0 as usize]);
        match node.admit(now, job, usual, told, &self.e.rules) {
            Admission::Shed => {
                let report = node.report(now);
                self.reply(at, &copy, Ending::Shed, report);
            }
            Admission::Fell { told } => {
                if told {
                    // What fell because nobody could know is the world's fault.
                    self.observer.fell(now, at);
                }
                self.reply(at, &copy, Ending::ConnectionLost, None);
                self.kill(at);
            }
            Admission::Taken(place) => {
                if !node.jobs[place].waits && !node.ills.gray {
                    self.observer.begun(now, key.0, key.1, at);
                }
                self.changed(at);
            }
        }
    }

    /// An answer, or the end of a connection, goes from a node to the sidecar that sent the request.
    pub(super) fn reply(&mut self, node: u32, job: &Job, ending: Ending, report: Option<LoadReport>) {
        let now = self.queue.now();
        let (sidecar, life) = job.from;
        let delay = self.delay_to_node(sidecar, node);
        if self.is_cut(sidecar, node) && ending != Ending::ConnectionLost {
            return;
        }
        let (id, attempt) = job.key;
        let back = self.backs.insert(Back { sidecar, life, id, attempt, ending, report });
        self.queue.put(now + delay, Event::Back(back as u32));
    }

    pub(super) fn back(&mut self, at: u32) {
        let Back { sidecar, life, id, attempt, ending, report } = self.backs.remove(at as usize);
        if self.sidecars[sidecar as usize].life == life {
            self.attempt_over(id, attempt, ending, report);
        }
    }

    /// An attempt has ended at its sidecar.
    pub(super) fn attempt_over(&mut self, id: u64, attempt: u32, ending: Ending, report: Option<LoadReport>) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let sidecar = r.sidecar;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.phase != Phase::Over);
        let Some(a) = a else { return };
        let sent = a.phase == Phase::Out;
        (a.phase, a.ending) = (Phase::Over, Some(ending));
        let (to, over) = (a.to, a.over);
        if let Some(idle) = over.filter(|_| ending != Ending::ConnectionLost) {
            let lot = self.sidecars[sidecar as usize].lots.entry(to).or_default();
            lot.push(Idle { since: now, ..idle });
        }
        if sent {
            self.observer.ended(now, id, attempt, ending);
        }
        self.with(sidecar, |dispatcher, now, transport| {
            dispatcher.attempt_ended(now, RequestId(id), attempt, ending, report, transport);
        });
        self.forget(id);
    }

    pub(super) fn withdraw(&mut self, id: u64, attempt: u32) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let sidecar = r.sidecar;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.phase != Phase::Over);
        let Some(a) = a else { return };
        let (over, there, sent) = (a.over, a.there, a.phase == Phase::Out);
        (a.phase, a.ending) = (Phase::Over, Some(Ending::TimedOut));
        if let Some(Idle { node, life, .. }) = over {
            let delay = self.delay_to_node(sidecar, node);
            // The end of a connection does not overtake what was written to it.
            let at = (now + delay).max(there + 1);
            self.queue.put(at, Event::Hangup { node, life, key: (id, attempt) });
        }
        if sent {
            self.observer.ended(now, id, attempt, Ending::TimedOut);
        }
        // What was passed in the same breath as the answer is over with it.
        self.forget(id);
    }

    pub(super) fn hang_up(&mut self, at: u32, life: u32, key: (u64, u32)) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        if node.life != life || node.ills.cut {
            return;
        }
        node.connections = node.connections.saturating_sub(1);
        let before = node.jobs.len();
        let job = node.cancel(now, key);
        if job.is_some() || node.jobs.len() != before {
            self.begin_next(at);
            self.changed(at);
        }
    }

    /// A final answer goes out.
    pub(super) fn answer(&mut self, id: u64, answer: Answer) {
        let now = self.queue.now();
        let held_back = if self.wanted.mutant == Mutant::Late { nanos(0.1) } else { 0 };
        let note = match answer {
            Answer::Served { .. } => Note::Served,
            Answer::Rejected { .. } => Note::Refused,
            Answer::Failed { .. } | Answer::Invalid => Note::Failed,
        };
        self.observer.answered(now + held_back, id, note);
        let Some(r) = self.request(id) else { return };
        r.answered = true;
        let (sidecar, origin) = (r.sidecar, r.origin);
        let last = r.attempts.iter().rev().find_map(|a| a.ending);
        let behind = r.attempts.iter().rev().find(|a| a.ending == Some(Ending::UpstreamError)).map(|a| a.to);
        let sent = r.attempts.iter().any(|a| a.over.is_some());
        let zone = self.sidecars[sidecar as usize].zone;
        match origin {
            Origin::Caller { call, number } => {
                let delay = self.net.delay(zone, zone) + held_back;
                let (heard, cause) = match (answer, last) {
                    (Answer::Served { .. }, _) => (Heard::Served, None),
                    (Answer::Rejected { retry_after }, ending) => (
                        Heard::Refused(retry_after),
                        Some(match ending {
                            _ if !sent => Cause::RefusedUnsent,
                            Some(Ending::UpstreamError) => self.error_cause(behind),
                            Some(Ending::ConnectionLost) => Cause::NodeLost,
                            Some(Ending::TimedOut) => Cause::NodeSilent,
                            _ => Cause::RefusedAfterAttempts,
                        }),
                    ),
                    (_, Some(Ending::UpstreamError)) => (Heard::Failed, Some(self.error_cause(behind))),
                    (_, Some(Ending::ConnectionLost)) => (Heard::Failed, Some(Cause::NodeLost)),
                    _ => (Heard::Failed, Some(Cause::NodeSilent)),
                };
                self.queue.put(now + delay, Event::Heard { call, number, heard, cause });
            }
            Origin::Job { node, life, at, number } => {
                let served = matches!(answer, Answer::Served { .. });
                self.queue.put(now, Event::Called { node, life, at, number, served });
            }
        }
        self.forget(id);
    }

    pub(super) fn error_cause(&self, node: Option<u32>) -> Cause {
        let Some(node) = node.map(|n| &self.nodes[n as usize]) else { return Cause::NodeError };
        let own = node.ills.fails.is_some() || node.tier + 1 == self.e.tier.len();
        if own {
            Cause::NodeError
        } else {
            Cause::TierBehind
        }
    }
}
