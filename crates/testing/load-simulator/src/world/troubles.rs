//! Beginnings and ends of an experiment's troubles, and periodic sampling.

use super::*;

impl World {
    /// Draws the nodes that a trouble affects, from a stream of the trouble's own, so that one seed always gives the
    /// same nodes.
    pub(super) fn choose_nodes(&mut self, n: usize) -> Vec<u32> {
        let trouble = &self.e.trouble[n];
        let mut nodes: Vec<u32> = self.tiers[self.e.tier_of(trouble)].clone();
        let count = ((nodes.len() as f64 * trouble.part).round() as usize).clamp(1, nodes.len().max(1));
        nodes.shuffle(&mut self.streams.of("trouble", n as u64));
        nodes.truncate(count);
        nodes.sort_unstable();
        self.affected_nodes[n].clone_from(&nodes);
        nodes
    }

    pub(super) fn change_faults(&mut self, at: u32, change: impl FnOnce(&mut NodeFaults)) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        node.catch_up(now);
        change(&mut node.faults);
        self.schedule_node_events(at);
    }

    pub(super) fn class_of(&self, n: usize) -> Option<u16> {
        let name = self.e.trouble[n].class.as_deref()?;
        self.e.class.iter().position(|c| c.name == name).map(|c| c as u16)
    }

    pub(super) fn trouble_begins(&mut self, n: usize) {
        let now = self.queue.now();
        let trouble = self.e.trouble[n].clone();
        let (size, class) = (trouble.size(), self.class_of(n));
        match trouble.kind {
            TroubleKind::Slow => self.change_faults_of_all(n, |faults| faults.slow = Some(size)),
            TroubleKind::FailFast => {
                self.change_faults_of_all(n, |faults| faults.fails = Some((size, class)))
            }
            TroubleKind::Gray => self.change_faults_of_all(n, |faults| faults.gray = true),
            TroubleKind::Cut => self.change_faults_of_all(n, |faults| faults.cut = true),
            TroubleKind::Jam => {
                for at in self.choose_nodes(n) {
                    self.nodes[at as usize].jam(now);
                    self.schedule_node_events(at);
                }
            }
            TroubleKind::Crash => self.choose_nodes(n).into_iter().for_each(|at| self.kill(at)),
            TroubleKind::ZoneCut => self.net.cut[trouble.zone] = true,
            TroubleKind::StaleReports => {
                for at in self.choose_nodes(n) {
                    self.nodes[at as usize].reporter().stale = true;
                }
            }
            TroubleKind::FalseReports => {
                for at in self.choose_nodes(n) {
                    self.nodes[at as usize].reporter().false_utilisation = Some(size);
                }
            }
            TroubleKind::RollingRelease => {
                let tier = self.e.tier_of(&trouble);
                self.affected_nodes[n].clone_from(&self.tiers[tier]);
                self.queue.put(now, Event::Release { trouble: n as u32, step: 0, stage: 0 });
            }
            TroubleKind::SidecarRestart => {
                let notice = nanos(self.e.callers.front_notice_s);
                for at in self.front.clone() {
                    self.stop_sidecar(at);
                    self.queue.put(now + notice, Event::FrontNotice { sidecar: at, up: false });
                }
            }
            TroubleKind::DiscoveryDown => {
                let tier = self.e.tier_of(&trouble);
                self.lists[tier].down = true;
                for (at, call, _) in std::mem::take(&mut self.lists[tier].watches) {
                    let life = self.sidecars[at as usize].life;
                    self.queue.put(now, Event::ListReceived { sidecar: at, life, call, update: None });
                }
            }
            TroubleKind::HeavyTail => match class {
                Some(class) => self.source.costly_share[class as usize] = size,
                None => self.source.costly_share.iter_mut().for_each(|h| *h = size),
            },
            TroubleKind::Storm => self.source.rate_factor = size.max(0.001),
        }
    }

    pub(super) fn change_faults_of_all(&mut self, n: usize, change: impl Fn(&mut NodeFaults)) {
        for at in self.choose_nodes(n) {
            self.change_faults(at, &change);
        }
    }

    pub(super) fn trouble_ends(&mut self, n: usize) -> Result<(), RunError> {
        let now = self.queue.now();
        let trouble = self.e.trouble[n].clone();
        let class = self.class_of(n);
        let affected_nodes = std::mem::take(&mut self.affected_nodes[n]);
        match trouble.kind {
            TroubleKind::Slow => {
                affected_nodes.into_iter().for_each(|at| self.change_faults(at, |i| i.slow = None))
            }
            TroubleKind::FailFast => {
                affected_nodes.into_iter().for_each(|at| self.change_faults(at, |i| i.fails = None))
            }
            TroubleKind::Gray => {
                affected_nodes.into_iter().for_each(|at| self.change_faults(at, |i| i.gray = false))
            }
            TroubleKind::Cut => {
                affected_nodes.into_iter().for_each(|at| self.change_faults(at, |i| i.cut = false))
            }
            TroubleKind::Jam => {}
            TroubleKind::Crash => {
                for at in affected_nodes {
                    self.restart(at, trouble.new_ids)?;
                }
            }
            TroubleKind::ZoneCut => self.net.cut[trouble.zone] = false,
            TroubleKind::StaleReports => {
                affected_nodes.into_iter().for_each(|at| self.nodes[at as usize].reporter().stale = false);
            }
            TroubleKind::FalseReports => {
                affected_nodes
                    .into_iter()
                    .for_each(|at| self.nodes[at as usize].reporter().false_utilisation = None);
            }
            TroubleKind::RollingRelease => self.affected_nodes[n] = affected_nodes,
            TroubleKind::SidecarRestart => {
                let notice = nanos(self.e.callers.front_notice_s);
                let old = self.first_list.clone();
                for at in self.front.clone() {
                    // Restarts with the list from the start of the run, however old it is by now.
                    self.start_sidecar(at, Some((old.seq, old.entries.clone())))?;
                    self.queue.put(now + notice, Event::FrontNotice { sidecar: at, up: true });
                }
            }
            TroubleKind::DiscoveryDown => {
                let tier = self.e.tier_of(&trouble);
                self.lists[tier].down = false;
            }
            TroubleKind::HeavyTail => match class {
                Some(class) => self.source.costly_share[class as usize] = 0.0,
                None => self.source.costly_share.iter_mut().for_each(|h| *h = 0.0),
            },
            TroubleKind::Storm => self.source.rate_factor = 1.0,
        }
        Ok(())
    }

    /// Performs one stage of a rolling release, in which each node in turn drains, ends and restarts.
    pub(super) fn release(&mut self, n: usize, step: u32, stage: u8) -> Result<(), RunError> {
        let now = self.queue.now();
        let trouble = &self.e.trouble[n];
        let (new_ids, span) = (trouble.new_ids, nanos(trouble.for_s));
        let count = self.affected_nodes[n].len().max(1) as u64;
        let each = span / count;
        let Some(at) = self.affected_nodes[n].get(step as usize).copied() else { return Ok(()) };
        let trouble = n as u32;
        match stage {
            0 => {
                if self.nodes[at as usize].is_running() {
                    self.nodes[at as usize].state = State::Draining;
                    self.announce(at, EndpointState::Draining);
                }
                self.queue.put(now + each / 2, Event::Release { trouble, step, stage: 1 });
                self.queue.put(now + each, Event::Release { trouble, step: step + 1, stage: 0 });
            }
            1 => {
                self.kill(at);
                self.queue.put(now + each / 4, Event::Release { trouble, step, stage: 2 });
            }
            _ => {
                self.restart(at, new_ids)?;
            }
        }
        Ok(())
    }

    pub(super) fn sample(&mut self) {
        let now = self.queue.now();
        self.queue.put(now + nanos(1.0), Event::Sample);
        if self.options.nodes {
            for (at, load) in self.meter.nodes.iter_mut().enumerate() {
                let node = &mut self.nodes[at];
                let busy = node.busy(now);
                let before = std::mem::replace(&mut node.busy_at_sample, busy);
                // A restart resets the counter, which would make the difference negative.
                let util = (busy - before).max(0.0) / f64::from(node.kind.cores);
                load.util.push(util as f32);
                load.held.push(node.held() as u32);
            }
        }
        if (now / 1_000_000_000) % 10 == 0 {
            let idle_for = nanos(self.e.limits.conn_idle_s);
            for s in &mut self.sidecars {
                for pool in s.idle_connections.values_mut() {
                    pool.retain(|idle| {
                        let node = &mut self.nodes[idle.node as usize];
                        let expired = now - idle.since >= idle_for;
                        if expired && node.life == idle.life {
                            node.connections = node.connections.saturating_sub(1);
                        }
                        !expired && node.life == idle.life
                    });
                }
            }
        }
    }
}
