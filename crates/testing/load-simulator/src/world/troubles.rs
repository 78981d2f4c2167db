//! Troubles of an experiment, as they begin and end.

use super::*;

impl World {
    /// The nodes that a trouble strikes, drawn anew for each trouble and always the same for one seed.
    pub(super) fn strike(&mut self, n: usize) -> Vec<u32> {
        let trouble = &self.e.trouble[n];
        let mut nodes: Vec<u32> = self.tiers[self.e.tier_of(trouble)].clone();
        let count = ((nodes.len() as f64 * trouble.part).round() as usize).clamp(1, nodes.len().max(1));
        nodes.shuffle(&mut self.streams.of("trouble", n as u64));
        nodes.truncate(count);
        nodes.sort_unstable();
        self.struck[n].clone_from(&nodes);
        nodes
    }

    pub(super) fn ill(&mut self, at: u32, change: impl FnOnce(&mut Ills)) {
        let now = self.queue.now();
        let node = &mut self.nodes[at as usize];
        node.catch_up(now);
        change(&mut node.ills);
        self.changed(at);
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
            TroubleKind::Slow => self.strike_all(n, |ills| ills.slow = Some(size)),
            TroubleKind::FailFast => self.strike_all(n, |ills| ills.fails = Some((size, class))),
            TroubleKind::Gray => self.strike_all(n, |ills| ills.gray = true),
            TroubleKind::Cut => self.strike_all(n, |ills| ills.cut = true),
            TroubleKind::Jam => {
                for at in self.strike(n) {
                    self.nodes[at as usize].jam(now);
                    self.changed(at);
                }
            }
            TroubleKind::Crash => self.strike(n).into_iter().for_each(|at| self.kill(at)),
            TroubleKind::ZoneCut => self.net.cut[trouble.zone] = true,
            TroubleKind::StaleReports => {
                for at in self.strike(n) {
                    self.nodes[at as usize].reporter().stale = true;
                }
            }
            TroubleKind::FalseReports => {
                for at in self.strike(n) {
                    self.nodes[at as usize].reporter().lie = Some(size);
                }
            }
            TroubleKind::RollingRelease => {
                let tier = self.e.tier_of(&trouble);
                self.struck[n].clone_from(&self.tiers[tier]);
                self.queue.put(now, Event::Release { trouble: n as u32, step: 0, stage: 0 });
            }
            TroubleKind::SidecarRestart => {
                let notice = nanos(self.e.callers.front_notice_s);
                for at in self.front.clone() {
                    self.stop_sidecar(at);
                    self.queue.put(now + notice, Event::Seen { sidecar: at, up: false });
                }
            }
            TroubleKind::DiscoveryDown => {
                let tier = self.e.tier_of(&trouble);
                self.lists[tier].down = true;
                for (at, call, _) in std::mem::take(&mut self.lists[tier].watches) {
                    let life = self.sidecars[at as usize].life;
                    self.queue.put(now, Event::Listed { sidecar: at, life, call, told: None });
                }
            }
            TroubleKind::HeavyTail => match class {
                Some(class) => self.source.heavy[class as usize] = size,
                None => self.source.heavy.iter_mut().for_each(|h| *h = size),
            },
            TroubleKind::Storm => self.source.storm = size.max(0.001),
        }
    }

    pub(super) fn strike_all(&mut self, n: usize, change: impl Fn(&mut Ills)) {
        for at in self.strike(n) {
            self.ill(at, &change);
        }
    }

    pub(super) fn trouble_ends(&mut self, n: usize) -> Result<(), RunError> {
        let now = self.queue.now();
        let trouble = self.e.trouble[n].clone();
        let class = self.class_of(n);
        let struck = std::mem::take(&mut self.struck[n]);
        match trouble.kind {
            TroubleKind::Slow => struck.into_iter().for_each(|at| self.ill(at, |i| i.slow = None)),
            TroubleKind::FailFast => struck.into_iter().for_each(|at| self.ill(at, |i| i.fails = None)),
            TroubleKind::Gray => struck.into_iter().for_each(|at| self.ill(at, |i| i.gray = false)),
            TroubleKind::Cut => struck.into_iter().for_each(|at| self.ill(at, |i| i.cut = false)),
            TroubleKind::Jam => {}
            TroubleKind::Crash => {
                for at in struck {
                    self.restart(at, trouble.new_ids)?;
                }
            }
            TroubleKind::ZoneCut => self.net.cut[trouble.zone] = false,
            TroubleKind::StaleReports => {
                struck.into_iter().for_each(|at| self.nodes[at as usize].reporter().stale = false);
            }
            TroubleKind::FalseReports => {
                struck.into_iter().for_each(|at| self.nodes[at as usize].reporter().lie = None);
            }
            TroubleKind::RollingRelease => self.struck[n] = struck,
            TroubleKind::SidecarRestart => {
                let notice = nanos(self.e.callers.front_notice_s);
                let old = self.first_list.clone();
                for at in self.front.clone() {
                    // The list of the start of the run, however old it is by now.
                    self.start_sidecar(at, Some((old.seq, old.lines.clone())))?;
                    self.queue.put(now + notice, Event::Seen { sidecar: at, up: true });
                }
            }
            TroubleKind::DiscoveryDown => {
                let tier = self.e.tier_of(&trouble);
                self.lists[tier].down = false;
            }
            TroubleKind::HeavyTail => match class {
                Some(class) => self.source.heavy[class as usize] = 0.0,
                None => self.source.heavy.iter_mut().for_each(|h| *h = 0.0),
            },
            TroubleKind::Storm => self.source.storm = 1.0,
        }
        Ok(())
    }

    /// A rolling release: each node in turn drains, ends, and starts again.
    pub(super) fn release(&mut self, n: usize, step: u32, stage: u8) -> Result<(), RunError> {
        let now = self.queue.now();
        let trouble = &self.e.trouble[n];
        let (new_ids, span) = (trouble.new_ids, nanos(trouble.for_s));
        let count = self.struck[n].len().max(1) as u64;
        let each = span / count;
        let Some(at) = self.struck[n].get(step as usize).copied() else { return Ok(()) };
        let trouble = n as u32;
        match stage {
            0 => {
                if self.nodes[at as usize].is_there() {
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
        if self.wanted.nodes {
            for (at, load) in self.meter.nodes.iter_mut().enumerate() {
                let node = &mut self.nodes[at];
                let busy = node.busy(now);
                let before = std::mem::replace(&mut node.sampled, busy);
                // A restart begins the count anew.
                let util = (busy - before).max(0.0) / f64::from(node.kind.cores);
                load.util.push(util as f32);
                load.held.push(node.held() as u32);
            }
        }
        if (now / 1_000_000_000) % 10 == 0 {
            let idle_for = nanos(self.e.limits.conn_idle_s);
            for s in &mut self.sidecars {
                for lot in s.lots.values_mut() {
                    lot.retain(|idle| {
                        let node = &mut self.nodes[idle.node as usize];
                        let old = now - idle.since >= idle_for;
                        if old && node.life == idle.life {
                            node.connections = node.connections.saturating_sub(1);
                        }
                        !old && node.life == idle.life
                    });
                }
            }
        }
    }
}
