//! Sidecars that start and stop, and what discovery tells them.

use super::*;

impl World {
    pub(super) fn stop_sidecar(&mut self, at: u32) {
        let now = self.queue.now();
        let sidecar = &mut self.sidecars[at as usize];
        if !sidecar.up {
            return;
        }
        sidecar.up = false;
        sidecar.life += 1;
        let lots = std::mem::take(&mut sidecar.lots);
        for idle in lots.into_values().flatten() {
            self.close(Some((idle.node, idle.life)));
        }
        let tier = self.sidecars[at as usize].tier;
        self.lists[tier].watches.retain(|(s, _, _)| *s != at);
        self.observer.died(at);
        let own = |r: &Request| r.sidecar == at;
        let mut ids: Vec<u64> = self.requests.iter().filter(|(_, r)| own(r)).map(|(_, r)| r.id).collect();
        ids.sort_unstable();
        for id in ids {
            let place = place_of(id);
            if !self.requests[place].taken {
                // Still on its way; it finds nobody.
                continue;
            }
            let r = self.requests.remove(place);
            for (n, a) in r.attempts.iter().enumerate().filter(|(_, a)| a.phase == Phase::Out) {
                if let Some(Idle { node, life, .. }) = a.over {
                    let key = (id, n as u32);
                    self.queue.put(now.max(a.there) + 1, Event::Hangup { node, life, key });
                }
            }
            if let (Origin::Caller { call, number }, false) = (r.origin, r.answered) {
                let (heard, cause) = (Heard::Failed, Some(Cause::SidecarLost));
                self.queue.put(now, Event::Heard { call, number, heard, cause });
            }
        }
    }

    /// Starts a sidecar again from nothing but a node list, by default the one that it had last.
    pub(super) fn start_sidecar(&mut self, at: u32, known: Option<(u64, Vec<Line>)>) -> Result<(), RunError> {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        let (tier, zone, rank, life) = (s.tier, s.zone, s.rank, s.life);
        let seed =
            self.seed ^ (u64::from(at) + 1 + (u64::from(life) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let dispatcher = self.decider(tier, zone, rank, self.balancers(tier), seed)?;
        let s = &mut self.sidecars[at as usize];
        (s.up, s.began, s.dispatcher, s.asking) = (true, now, dispatcher, false);
        s.call += 1;
        if let Some((seq, lines)) = known {
            (s.seq, s.known) = (Some(seq), lines);
        }
        self.learn_known(at);
        Ok(())
    }

    /// Tells a sidecar that starts the list that it has.
    pub(super) fn learn_known(&mut self, at: u32) {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        let entries: Vec<EndpointEntry> = s.known.iter().map(|l| l.entry(s.began)).collect();
        for line in s.known.clone() {
            self.observer.told(now, at, line.node, line.condition == EndpointState::Running);
        }
        self.with(at, |dispatcher, now, transport| {
            dispatcher.update_endpoints(now, true, entries, transport)
        });
    }

    pub(super) fn ask(&mut self, at: u32) {
        let now = self.queue.now();
        let zone = self.sidecars[at as usize].zone;
        let delay = self.net.delay(zone, zone);
        let s = &mut self.sidecars[at as usize];
        if std::mem::replace(&mut s.asking, true) {
            return;
        }
        s.call += 1;
        let event = Event::Ask { sidecar: at, life: s.life, call: s.call };
        self.queue.put(now + delay, event);
    }

    pub(super) fn asked(&mut self, at: u32, life: u32, call: u64) {
        let s = &self.sidecars[at as usize];
        if s.life != life {
            return;
        }
        let (tier, since) = (s.tier, s.seq);
        self.take_turn(tier, at, life, call, since, true);
    }

    pub(super) fn take_turn(
        &mut self,
        tier: usize,
        at: u32,
        life: u32,
        call: u64,
        since: Option<u64>,
        watch: bool,
    ) {
        let now = self.queue.now();
        match self.lists[tier].turn(now) {
            Turn::Fails(when) => {
                self.queue.put(when, Event::Listed { sidecar: at, life, call, told: None });
            }
            Turn::At(when) => {
                self.queue.put(when, Event::Turn { sidecar: at, life, call, since, watch });
            }
        }
    }

    pub(super) fn turn(&mut self, at: u32, life: u32, call: u64, since: Option<u64>, watch: bool) {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        if s.life != life {
            return;
        }
        let (tier, zone) = (s.tier, s.zone);
        let list = &mut self.lists[tier];
        if list.down {
            return self.queue.put(now, Event::Listed { sidecar: at, life, call, told: None });
        }
        match since {
            Some(known) if watch && !list.has_news(known) => {
                list.watches.push((at, call, known));
                let ends = now + list.watch_for();
                self.queue.put(ends, Event::WatchEnds { sidecar: at, call });
            }
            _ => {
                let told = Some(Box::new(list.tell(since)));
                let delay = self.net.delay(zone, zone);
                self.queue.put(now + delay, Event::Listed { sidecar: at, life, call, told });
            }
        }
    }

    pub(super) fn watch_ends(&mut self, at: u32, call: u64) {
        let s = &self.sidecars[at as usize];
        let (tier, life, seq) = (s.tier, s.life, s.seq);
        let open = self.lists[tier].watches.iter().position(|(w, c, _)| (*w, *c) == (at, call));
        if let Some(place) = open {
            self.lists[tier].watches.swap_remove(place);
            self.take_turn(tier, at, life, call, seq, false);
        }
    }

    pub(super) fn publish(&mut self, tier: usize, line: Line) {
        self.lists[tier].publish(line);
        for (at, call, since) in std::mem::take(&mut self.lists[tier].watches) {
            let life = self.sidecars[at as usize].life;
            self.take_turn(tier, at, life, call, Some(since), false);
        }
    }

    pub(super) fn listed(&mut self, at: u32, life: u32, call: u64, told: Option<Box<Told>>) {
        let now = self.queue.now();
        let s = &mut self.sidecars[at as usize];
        if s.life != life || s.call != call {
            return;
        }
        s.asking = false;
        let Some(told) = told else {
            return self.with(at, |dispatcher, now, transport| dispatcher.discovery_failed(now, transport));
        };
        s.seq = Some(told.seq);
        let mut entries: Vec<EndpointEntry> = told.lines.iter().map(|l| l.entry(s.began)).collect();
        if told.whole {
            let gone: Vec<u32> = s.known.iter().map(|l| l.node).collect();
            s.known.clone_from(&told.lines);
            for node in gone.into_iter().filter(|n| !told.lines.iter().any(|l| l.node == *n)) {
                self.observer.told(now, at, node, false);
            }
        } else {
            for line in &told.lines {
                s.known.retain(|l| l.node != line.node);
                if line.condition != EndpointState::Removed {
                    s.known.push(*line);
                }
            }
        }
        for line in &told.lines {
            self.observer.told(now, at, line.node, line.condition == EndpointState::Running);
        }
        if self.wanted.mutant == Mutant::Drain {
            entries.retain(|e| e.state == EndpointState::Running);
        }
        let whole = told.whole && self.wanted.mutant != Mutant::Drain;
        self.with(at, |dispatcher, now, transport| {
            dispatcher.update_endpoints(now, whole, entries, transport)
        });
        // A watch goes on at once.
        self.ask(at);
    }
}
