//! Nodes: their work, their end and their return.

use super::*;

impl World {
    /// Something at a node has changed: when is the next piece of work done, and does it turn slow?
    pub(super) fn changed(&mut self, at: u32) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        let look = node.watch_crowd(now).unwrap_or(0);
        if look > now && look != self.looks[at as usize] {
            self.looks[at as usize] = look;
            self.queue.put(look, Event::Crowd { node: at, life: node.life });
        }
        if let Some((when, generation)) = node.next_done(now) {
            self.queue.put(when, Event::Core { node: at, generation });
        }
        if self.policy == Policy::Oracle {
            let fails = node.ills.fails.is_some_and(|f| f.0 > 0.0);
            let there = node.state == State::Up && !node.ills.cut && !node.ills.gray && !fails;
            let pace = if there { node.pace(now) * f64::from(node.kind.cores) } else { 0.0 };
            self.sights.borrow_mut()[at as usize] = True { held: node.held() as f64, pace };
        }
    }

    /// A job that had waited has got a slot.
    pub(super) fn begin_next(&mut self, at: u32) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        while let Some(key) = node.begun.pop() {
            self.observer.begun(now, key.0, key.1, at);
        }
    }

    pub(super) fn core(&mut self, at: u32, generation: u64) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        if node.generation != generation || !node.is_there() {
            return;
        }
        let mut finished = std::mem::take(&mut self.finished);
        node.done(now, &mut finished);
        for place in finished.drain(..) {
            self.piece_done(at, place);
        }
        self.finished = finished;
        self.begin_next(at);
        self.changed(at);
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
            return self.queue.put(now, Event::Come { id });
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

    /// A call to the next tier has been answered.
    pub(super) fn called(&mut self, at: u32, life: u32, place: u32, number: u64, served: bool) {
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
            self.begin_next(at);
        }
        self.changed(at);
    }

    /// A node's process ends. Its own sidecar ends with it.
    pub(super) fn kill(&mut self, at: u32) {
        let now = self.queue.now();
        if !self.nodes[at as usize].is_there() {
            return;
        }
        let lost = self.nodes[at as usize].die(now);
        self.nodes[at as usize].begun.clear();
        for job in lost {
            self.reply(at, &job, Ending::ConnectionLost, None);
        }
        if let Some(sidecar) = self.nodes[at as usize].sidecar {
            self.stop_sidecar(sidecar);
        }
        self.changed(at);
        self.announce(at, EndpointState::Removed);
    }

    /// Starts a node's process again, under its id or as a new node at its address.
    pub(super) fn restart(&mut self, at: u32, new_id: bool) -> Result<u32, RunError> {
        let now = self.queue.now();
        if self.nodes[at as usize].is_there() {
            return Ok(at);
        }
        let born = if new_id {
            let old = &self.nodes[at as usize];
            let (tier, zone, address) = (old.tier, old.zone, old.address);
            let kind = self.e.tier[tier].kind.iter().position(|k| *k == old.kind).unwrap_or(0);
            let life = old.life;
            let born = self.add_node(tier, kind, zone, Some(address));
            // The old number's connections are no longer valid at this address.
            self.nodes[born as usize].life = life + 1;
            self.tiers[tier].retain(|n| *n != at);
            born
        } else {
            at
        };
        self.nodes[born as usize].start(now);
        let tier = self.nodes[born as usize].tier;
        if tier + 1 < self.e.tier.len() {
            match self.nodes[born as usize].sidecar {
                Some(sidecar) => self.start_sidecar(sidecar, None)?,
                None => {
                    let (zone, rank) = (self.nodes[born as usize].zone, self.tiers[tier].len() - 1);
                    let sidecar = self.add_sidecar(tier + 1, zone, rank, Some(born))?;
                    self.nodes[born as usize].sidecar = Some(sidecar);
                    self.learn_known(sidecar);
                }
            }
        }
        self.changed(born);
        self.announce(born, EndpointState::Running);
        Ok(born)
    }

    pub(super) fn line(&self, at: u32, condition: EndpointState) -> Line {
        let node = &self.nodes[at as usize];
        Line { node: at, zone: node.zone, condition, born: node.born }
    }

    /// Discovery hears of a node some time later.
    pub(super) fn announce(&mut self, at: u32, condition: EndpointState) {
        let now = self.queue.now();
        let late = nanos(between(self.e.discovery.notice_s, &mut self.notice));
        let when = (now + late).max(self.published[at as usize] + 1);
        self.published[at as usize] = when;
        let line = Box::new(self.line(at, condition));
        let tier = self.nodes[at as usize].tier as u8;
        self.queue.put(when, Event::Publish { tier, line });
    }

    pub(super) fn probe_there(&mut self, sidecar: u32, life: u32, at: u32, sent: Nanos) {
        let now = self.queue.now();
        let target = self.listens[self.nodes[at as usize].address as usize];
        let delay = self.delay_to_node(sidecar, target);
        let cut = self.is_cut(sidecar, target);
        let node = &mut self.nodes[target as usize];
        let (when, ending, report) = if cut {
            (sent + nanos(0.2), Ending::TimedOut, None)
        } else if node.is_there() {
            node.chore(now, node.kind.probe_ms / 1e3);
            (now + delay, Ending::Served, node.report(now).map(Box::new))
        } else {
            (now + delay, Ending::ConnectFailed, None)
        };
        if !cut {
            self.changed(target);
        }
        self.queue.put(when, Event::Probed { sidecar, life, node: at, sent, ending, report });
    }
}
