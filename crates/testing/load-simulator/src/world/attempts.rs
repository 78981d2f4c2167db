//! Attempts of requests at nodes: connections, transmission, replies and cancellation.

use super::*;

impl World {
    pub(super) fn start_attempt(&mut self, sidecar: u32, id: u64, attempt: u32, to: u32) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        while r.attempts.len() < attempt as usize {
            // Attempts that the dispatcher ended by itself were never passed to the transport.
            r.attempts.push(Attempt {
                to,
                phase: Phase::Ended,
                connection: None,
                delivered_at: 0,
                ending: None,
            });
        }
        r.attempts.push(Attempt {
            to,
            phase: Phase::Connecting,
            connection: None,
            delivered_at: now,
            ending: None,
        });
        let idle_for = nanos(self.e.limits.conn_idle_s);
        let pool = self.sidecars[sidecar as usize].idle_connections.entry(to).or_default();
        while let Some(idle) = pool.pop() {
            let node = &mut self.nodes[idle.node as usize];
            if node.life != idle.life {
                // It was closed when the node's process ended.
                continue;
            }
            if now - idle.since >= idle_for {
                node.connections = node.connections.saturating_sub(1);
                continue;
            }
            return self.send(sidecar, id, attempt, idle);
        }
        let target = self.node_at_address[self.nodes[to as usize].address as usize];
        let trip = self.delay_to_node(sidecar, target) + self.delay_to_node(sidecar, target);
        let patience = nanos(self.e.limits.connect_timeout_ms / 1e3);
        if self.is_cut(sidecar, target) {
            return self.queue.put(now + patience, Event::ConnectEnded { id, attempt, up: None });
        }
        let node = &mut self.nodes[target as usize];
        if !node.is_running() || node.connections >= node.kind.connections {
            return self.queue.put(now + trip, Event::ConnectEnded { id, attempt, up: None });
        }
        let handshake = (trip as f64 * node.kind.handshake_trips) as Nanos;
        if handshake > patience {
            return self.queue.put(now + patience, Event::ConnectEnded { id, attempt, up: None });
        }
        node.connections += 1;
        let work = node.kind.handshake_ms / 1e3;
        if work > 0.0 {
            node.add_background_work(now, work);
            self.schedule_node_events(target);
        }
        let up = Some((target, self.nodes[target as usize].life));
        self.queue.put(now + handshake, Event::ConnectEnded { id, attempt, up });
    }

    pub(super) fn connect_ended(&mut self, id: u64, attempt: u32, up: Option<(u32, u32)>) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return self.close(up) };
        let sidecar = r.sidecar;
        let waits = r.attempts.get(attempt as usize).is_some_and(|a| a.phase == Phase::Connecting);
        if !waits || !self.sidecars[sidecar as usize].up {
            return self.close(up);
        }
        let Some((node, life)) = up.filter(|(node, life)| self.nodes[*node as usize].life == *life) else {
            return self.attempt_over(id, attempt, Ending::ConnectFailed, None);
        };
        let idle = Connection { since: now, node, life };
        let clock = seconds(now - self.sidecars[sidecar as usize].began);
        if self.sidecars[sidecar as usize].dispatcher.may_send(clock, RequestId(id), attempt).is_none() {
            let to = self.request(id).map_or(node, |r| r.attempts[attempt as usize].to);
            self.sidecars[sidecar as usize].idle_connections.entry(to).or_default().push(idle);
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

    /// Writes a request to an established connection.
    pub(super) fn send(&mut self, sidecar: u32, id: u64, attempt: u32, connection: Connection) {
        let now = self.queue.now();
        let delay = self.delay_to_node(sidecar, connection.node);
        let lost = self.is_cut(sidecar, connection.node);
        let life = self.sidecars[sidecar as usize].life;
        let address = self.nodes[connection.node as usize].address;
        let Some(r) = self.request(id) else { return };
        let a = &mut r.attempts[attempt as usize];
        (a.phase, a.connection, a.delivered_at) = (Phase::InFlight, Some(connection), now + delay);
        let to = a.to;
        let (class, tenant, work, deadline) = (r.class, r.tenant, r.work, r.deadline);
        self.observer.sent(now, id, attempt, to);
        if lost {
            return;
        }
        let flight = self.requests_in_transit.insert(Job {
            key: (id, attempt),
            from: (sidecar, life),
            class,
            tenant,
            work,
            deadline,
            number: u64::from(connection.life),
            piece: 0.0,
            calls: 0,
            fails: false,
            waits: false,
        });
        self.queue.put(now + delay, Event::AtNode { flight: flight as u32, address });
    }

    /// Handles the arrival of a request's last byte at a node.
    pub(super) fn at_node(&mut self, flight: u32, address: u32) {
        let now = self.queue.now();
        let mut job = self.requests_in_transit.remove(flight as usize);
        let at = self.node_at_address[address as usize];
        let node = &mut self.nodes[at as usize];
        if node.faults.cut {
            return;
        }
        if !node.is_running() || u64::from(node.life) != job.number {
            return self.reply(at, &job, Ending::ConnectionLost, None);
        }
        let tier = node.tier;
        let spec = &self.e.tier[tier];
        let next = self.e.tier.get(tier + 1);
        let calls = next.map_or([0.0, 0.0], |t| t.calls);
        let noise = self.e.class[job.class as usize].attempt_noise;
        (job.piece, job.calls) = node.draw_pieces(job.work * spec.work, noise, calls);
        let key = job.key;
        let usual = self.e.class[job.class as usize].work_ms / 1e3 * spec.work;
        let copy = job.clone();
        let started_at = node.started_at;
        let knows = |s: &Sidecar| s.known.iter().any(|l| l.node == at && l.started_at == started_at);
        let informed = node.warm_up_factor(now) < 1.0 && knows(&self.sidecars[job.from.0 as usize]);
        match node.admit(now, job, usual, informed, &self.e.rules) {
            Admission::Shed => {
                let report = node.report(now);
                self.reply(at, &copy, Ending::Shed, report);
            }
            Admission::Overloaded { informed } => {
                if informed {
                    // Only counted if sidecars could know of the cold start; otherwise the simulation itself is at
                    // fault.
                    self.observer.cold_node_overloaded(now, at);
                }
                self.reply(at, &copy, Ending::ConnectionLost, None);
                self.kill(at);
            }
            Admission::Taken(place) => {
                if !node.jobs[place].waits && !node.faults.gray {
                    self.observer.work_begun(now, key.0, key.1, at);
                }
                self.schedule_node_events(at);
            }
        }
    }

    /// Sends an answer, or the end of a connection, from a node to the sidecar that sent the request.
    pub(super) fn reply(&mut self, node: u32, job: &Job, ending: Ending, report: Option<LoadReport>) {
        let now = self.queue.now();
        let (sidecar, life) = job.from;
        let delay = self.delay_to_node(sidecar, node);
        if self.is_cut(sidecar, node) && ending != Ending::ConnectionLost {
            return;
        }
        let (id, attempt) = job.key;
        let reply = self.replies.insert(NodeReply { sidecar, life, id, attempt, ending, report });
        self.queue.put(now + delay, Event::Reply(reply as u32));
    }

    pub(super) fn reply_arrived(&mut self, at: u32) {
        let NodeReply { sidecar, life, id, attempt, ending, report } = self.replies.remove(at as usize);
        if self.sidecars[sidecar as usize].life == life {
            self.attempt_over(id, attempt, ending, report);
        }
    }

    /// Handles the end of an attempt at its sidecar.
    pub(super) fn attempt_over(&mut self, id: u64, attempt: u32, ending: Ending, report: Option<LoadReport>) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let sidecar = r.sidecar;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.phase != Phase::Ended);
        let Some(a) = a else { return };
        let sent = a.phase == Phase::InFlight;
        (a.phase, a.ending) = (Phase::Ended, Some(ending));
        let (to, connection) = (a.to, a.connection);
        if let Some(idle) = connection.filter(|_| ending != Ending::ConnectionLost) {
            let pool = self.sidecars[sidecar as usize].idle_connections.entry(to).or_default();
            pool.push(Connection { since: now, ..idle });
        }
        if sent {
            self.observer.ended(now, id, attempt, ending);
        }
        self.with_dispatcher(sidecar, |dispatcher, now, transport| {
            dispatcher.attempt_ended(now, RequestId(id), attempt, ending, report, transport);
        });
        self.remove_if_done(id);
    }

    pub(super) fn cancel_attempt(&mut self, id: u64, attempt: u32) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let sidecar = r.sidecar;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.phase != Phase::Ended);
        let Some(a) = a else { return };
        let (connection, delivered_at, sent) = (a.connection, a.delivered_at, a.phase == Phase::InFlight);
        (a.phase, a.ending) = (Phase::Ended, Some(Ending::TimedOut));
        if let Some(Connection { node, life, .. }) = connection {
            let delay = self.delay_to_node(sidecar, node);
            // Closing a connection does not overtake the data written to it.
            let at = (now + delay).max(delivered_at + 1);
            self.queue.put(at, Event::ConnectionClosed { node, life, key: (id, attempt) });
        }
        if sent {
            self.observer.ended(now, id, attempt, Ending::TimedOut);
        }
        // The request may be done now, if this attempt was cancelled together with the answer.
        self.remove_if_done(id);
    }

    pub(super) fn connection_closed(&mut self, at: u32, life: u32, key: (u64, u32)) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        if node.life != life || node.faults.cut {
            return;
        }
        node.connections = node.connections.saturating_sub(1);
        let before = node.jobs.len();
        let job = node.cancel(now, key);
        if job.is_some() || node.jobs.len() != before {
            self.report_newly_begun(at);
            self.schedule_node_events(at);
        }
    }

    /// Sends the final answer of a request to its origin.
    pub(super) fn answer(&mut self, id: u64, answer: Answer) {
        let now = self.queue.now();
        let held_back = if self.options.mutant == Mutant::Late { nanos(0.1) } else { 0 };
        let event = match answer {
            Answer::Served { .. } => RequestEvent::Served,
            Answer::Rejected { .. } => RequestEvent::Refused,
            Answer::Failed { .. } | Answer::Invalid => RequestEvent::Failed,
        };
        self.observer.answered(now + held_back, id, event);
        let Some(r) = self.request(id) else { return };
        r.answered = true;
        let (sidecar, origin) = (r.sidecar, r.origin);
        let last = r.attempts.iter().rev().find_map(|a| a.ending);
        let behind = r.attempts.iter().rev().find(|a| a.ending == Some(Ending::UpstreamError)).map(|a| a.to);
        let sent = r.attempts.iter().any(|a| a.connection.is_some());
        let zone = self.sidecars[sidecar as usize].zone;
        match origin {
            Origin::Caller { call, number } => {
                let delay = self.net.delay(zone, zone) + held_back;
                let (result, cause) = match (answer, last) {
                    (Answer::Served { .. }, _) => (TryResult::Served, None),
                    (Answer::Rejected { retry_after }, ending) => (
                        TryResult::Refused(retry_after),
                        Some(match ending {
                            _ if !sent => Cause::RefusedUnsent,
                            Some(Ending::UpstreamError) => self.error_cause(behind),
                            Some(Ending::ConnectionLost) => Cause::NodeLost,
                            Some(Ending::TimedOut) => Cause::NodeSilent,
                            _ => Cause::RefusedAfterAttempts,
                        }),
                    ),
                    (_, Some(Ending::UpstreamError)) => (TryResult::Failed, Some(self.error_cause(behind))),
                    (_, Some(Ending::ConnectionLost)) => (TryResult::Failed, Some(Cause::NodeLost)),
                    _ => (TryResult::Failed, Some(Cause::NodeSilent)),
                };
                self.queue.put(now + delay, Event::TryEnded { call, number, result, cause });
            }
            Origin::Job { node, life, at, number } => {
                let served = matches!(answer, Answer::Served { .. });
                self.queue.put(now, Event::JobCallEnded { node, life, at, number, served });
            }
        }
        self.remove_if_done(id);
    }

    pub(super) fn error_cause(&self, node: Option<u32>) -> Cause {
        let Some(node) = node.map(|n| &self.nodes[n as usize]) else { return Cause::NodeError };
        let own = node.faults.fails.is_some() || node.tier + 1 == self.e.tier.len();
        if own {
            Cause::NodeError
        } else {
            Cause::TierBehind
        }
    }
}
