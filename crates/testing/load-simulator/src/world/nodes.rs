//! Nodes: their work, crashes, restarts and announcements.

use super::*;

impl World {
    /// Schedules a node's next completion and jam check after a change of its state.
    pub(super) fn schedule_node_events(&mut self, at: u32) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        let next_check = node.update_jam(now).unwrap_or(0);
        if next_check > now && next_check != self.jam_checks[at as usize] {
            self.jam_checks[at as usize] = next_check;
            self.queue.put(next_check, Event::JamCheck { node: at, life: node.life });
        }
        if let Some((when, generation)) = node.next_done(now) {
            self.queue.put(when, Event::CoreDone { node: at, generation });
        }
        if self.policy == Policy::Oracle {
            let fails = node.faults.fails.is_some_and(|f| f.0 > 0.0);
            let answers = node.state == State::Up && !node.faults.cut && !node.faults.gray && !fails;
            let pace = if answers { node.pace(now) * f64::from(node.kind.cores) } else { 0.0 };
            self.true_states.borrow_mut()[at as usize] = TrueState { held: node.held() as f64, pace };
        }
    }

    /// Reports to the observer the jobs that got a slot after waiting.
    pub(super) fn report_newly_begun(&mut self, at: u32) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        while let Some(key) = node.newly_begun.pop() {
            self.observer.work_begun(now, key.0, key.1, at);
        }
    }

    pub(super) fn core_done(&mut self, at: u32, generation: u64) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        if node.generation != generation || !node.is_running() {
            return;
        }
        let mut finished = std::mem::take(&mut self.finished);
        node.done(now, &mut finished);
        for place in finished.drain(..) {
            self.piece_done(at, place);
        }
        self.finished = finished;
        self.report_newly_begun(at);
        self.schedule_node_events(at);
    }

    pub(super) fn piece_done(&mut self, at: u32, place: usize) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        let Some(job) = node.jobs.get_mut(place) else { return };
        if job.calls > 0 {
            job.calls -= 1;
            let (class, tenant, work, deadline, number) =
                (job.class, job.tenant, job.work, job.deadline, job.number);
            let Some(sidecar) = node.sidecar else { return };
            let origin = Origin::Job { node: at, life: node.life, at: place as u32, number };
            let id = self.add_request(sidecar, origin, class, tenant, work, deadline);
            return self.queue.put(now, Event::RequestArrived { id });
        }
        self.finish_job(at, place);
    }

    pub(super) fn finish_job(&mut self, at: u32, place: usize) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        let Some(job) = node.remove(now, place) else { return };
        let ending = if job.fails { Ending::UpstreamError } else { Ending::Served };
        if !job.fails {
            node.served();
        }
        let report = node.report(now);
        self.reply(at, &job, ending, report);
    }

    /// Handles the answer to a job's call to the next tier.
    pub(super) fn job_call_ended(&mut self, at: u32, life: u32, place: u32, number: u64, served: bool) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        if node.life != life {
            return;
        }
        node.catch_up(now);
        let Some(job) = node.jobs.get_mut(place as usize).filter(|j| j.number == number) else { return };
        if served {
            node.start_piece(place as usize);
        } else {
            job.fails = true;
            job.calls = 0;
            self.finish_job(at, place as usize);
            self.report_newly_begun(at);
        }
        self.schedule_node_events(at);
    }

    /// Ends a node's process and its own sidecar.
    pub(super) fn kill(&mut self, at: u32) {
        let now = self.queue.now();
        if !self.nodes[at as usize].is_running() {
            return;
        }
        let lost = self.nodes[at as usize].terminate(now);
        self.nodes[at as usize].newly_begun.clear();
        for job in lost {
            self.reply(at, &job, Ending::ConnectionLost, None);
        }
        if let Some(sidecar) = self.nodes[at as usize].sidecar {
            self.stop_sidecar(sidecar);
        }
        self.schedule_node_events(at);
        self.announce(at, EndpointState::Removed);
    }

    /// Restarts a node's process, under its id or as a new node at its address. Returns the index of the running node.
    pub(super) fn restart(&mut self, at: u32, new_id: bool) -> Result<u32, RunError> {
        let now = self.queue.now();
        if self.nodes[at as usize].is_running() {
            return Ok(at);
        }
        let restarted = if new_id {
            let old = &self.nodes[at as usize];
            let (tier, zone, address) = (old.tier, old.zone, old.address);
            let kind = self.e.tier[tier].kind.iter().position(|k| *k == old.kind).unwrap_or(0);
            let life = old.life;
            let restarted = self.add_node(tier, kind, zone, Some(address));
            // Connections to the old node are no longer valid at this address.
            self.nodes[restarted as usize].life = life + 1;
            self.tiers[tier].retain(|n| *n != at);
            restarted
        } else {
            at
        };
        self.nodes[restarted as usize].start(now);
        let tier = self.nodes[restarted as usize].tier;
        if tier + 1 < self.e.tier.len() {
            match self.nodes[restarted as usize].sidecar {
                Some(sidecar) => self.start_sidecar(sidecar, None)?,
                None => {
                    let (zone, rank) = (self.nodes[restarted as usize].zone, self.tiers[tier].len() - 1);
                    let sidecar = self.add_sidecar(tier + 1, zone, rank, Some(restarted))?;
                    self.nodes[restarted as usize].sidecar = Some(sidecar);
                    self.deliver_known_list(sidecar);
                }
            }
        }
        self.schedule_node_events(restarted);
        self.announce(restarted, EndpointState::Running);
        Ok(restarted)
    }

    pub(super) fn list_entry(&self, at: u32, condition: EndpointState) -> ListEntry {
        let node = &self.nodes[at as usize];
        ListEntry { node: at, zone: node.zone, condition, started_at: node.started_at }
    }

    /// Publishes a node's state in discovery after a random delay.
    pub(super) fn announce(&mut self, at: u32, condition: EndpointState) {
        let now = self.queue.now();
        let delay = nanos(uniform(self.e.discovery.notice_s, &mut self.notice));
        let when = (now + delay).max(self.last_published[at as usize] + 1);
        self.last_published[at as usize] = when;
        let entry = Box::new(self.list_entry(at, condition));
        let tier = self.nodes[at as usize].tier as u8;
        self.queue.put(when, Event::Publish { tier, entry });
    }

    pub(super) fn probe_node(&mut self, sidecar: u32, life: u32, at: u32, sent: Nanos) {
        let now = self.queue.now();
        let target = self.node_at_address[self.nodes[at as usize].address as usize];
        let delay = self.delay_to_node(sidecar, target);
        let cut = self.is_cut(sidecar, target);
        let node = &mut self.nodes[target as usize];
        let (when, ending, report) = if cut {
            (sent + nanos(0.2), Ending::TimedOut, None)
        } else if node.is_running() {
            node.add_background_work(now, node.kind.probe_ms / 1e3);
            (now + delay, Ending::Served, node.report(now).map(Box::new))
        } else {
            (now + delay, Ending::ConnectFailed, None)
        };
        if !cut {
            self.schedule_node_events(target);
        }
        self.queue.put(when, Event::Probed { sidecar, life, node: at, sent, ending, report });
    }
}
