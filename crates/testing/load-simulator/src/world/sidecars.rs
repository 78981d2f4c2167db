//! Starts and stops of sidecars, and their discovery calls.

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
        let idle_connections = std::mem::take(&mut sidecar.idle_connections);
        for idle in idle_connections.into_values().flatten() {
            self.close(Some((idle.node, idle.life)));
        }
        let tier = self.sidecars[at as usize].tier;
        self.lists[tier].watches.retain(|(s, _, _)| *s != at);
        self.observer.sidecar_stopped(at);
        let own = |r: &Request| r.sidecar == at;
        let mut ids: Vec<u64> = self.requests.iter().filter(|(_, r)| own(r)).map(|(_, r)| r.id).collect();
        ids.sort_unstable();
        for id in ids {
            let place = slab_key(id);
            if !self.requests[place].taken {
                // Still on its way; it will be refused on arrival.
                continue;
            }
            let r = self.requests.remove(place);
            for (n, a) in r.attempts.iter().enumerate().filter(|(_, a)| a.phase == Phase::InFlight) {
                if let Some(Connection { node, life, .. }) = a.connection {
                    let key = (id, n as u32);
                    self.queue.put(now.max(a.delivered_at) + 1, Event::ConnectionClosed { node, life, key });
                }
            }
            if let (Origin::Caller { call, number }, false) = (r.origin, r.answered) {
                let (result, cause) = (TryResult::Failed, Some(Cause::SidecarLost));
                self.queue.put(now, Event::TryEnded { call, number, result, cause });
            }
        }
    }

    /// Restarts a sidecar with no state except a node list, by default the last one that it had.
    pub(super) fn start_sidecar(
        &mut self,
        at: u32,
        known: Option<(u64, Vec<ListEntry>)>,
    ) -> Result<(), RunError> {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        let (tier, zone, rank, life) = (s.tier, s.zone, s.rank, s.life);
        let seed =
            self.seed ^ (u64::from(at) + 1 + (u64::from(life) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let dispatcher = self.decider(tier, zone, rank, self.balancers(tier), seed)?;
        let s = &mut self.sidecars[at as usize];
        (s.up, s.began, s.dispatcher, s.call_pending) = (true, now, dispatcher, false);
        s.call += 1;
        if let Some((seq, entries)) = known {
            (s.seq, s.known) = (Some(seq), entries);
        }
        self.deliver_known_list(at);
        Ok(())
    }

    /// Delivers the known node list to the dispatcher of a starting sidecar.
    pub(super) fn deliver_known_list(&mut self, at: u32) {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        let entries: Vec<EndpointEntry> = s.known.iter().map(|l| l.entry(s.began)).collect();
        for entry in s.known.clone() {
            self.observer.node_announced(now, at, entry.node, entry.condition == EndpointState::Running);
        }
        self.with_dispatcher(at, |dispatcher, now, transport| {
            dispatcher.update_endpoints(now, true, entries, transport)
        });
    }

    pub(super) fn call_discovery(&mut self, at: u32) {
        let now = self.queue.now();
        let zone = self.sidecars[at as usize].zone;
        let delay = self.net.delay(zone, zone);
        let s = &mut self.sidecars[at as usize];
        if std::mem::replace(&mut s.call_pending, true) {
            return;
        }
        s.call += 1;
        let event = Event::DiscoveryCall { sidecar: at, life: s.life, call: s.call };
        self.queue.put(now + delay, event);
    }

    pub(super) fn discovery_call_arrived(&mut self, at: u32, life: u32, call: u64) {
        let s = &self.sidecars[at as usize];
        if s.life != life {
            return;
        }
        let (tier, since) = (s.tier, s.seq);
        self.queue_discovery_call(tier, at, life, call, since, true);
    }

    pub(super) fn queue_discovery_call(
        &mut self,
        tier: usize,
        at: u32,
        life: u32,
        call: u64,
        since: Option<u64>,
        watch: bool,
    ) {
        let now = self.queue.now();
        match self.lists[tier].schedule_call(now) {
            CallTurn::FailsAt(when) => {
                self.queue.put(when, Event::ListReceived { sidecar: at, life, call, update: None });
            }
            CallTurn::AnsweredAt(when) => {
                self.queue.put(when, Event::DiscoveryAnswer { sidecar: at, life, call, since, watch });
            }
        }
    }

    pub(super) fn answer_discovery_call(
        &mut self,
        at: u32,
        life: u32,
        call: u64,
        since: Option<u64>,
        watch: bool,
    ) {
        let now = self.queue.now();
        let s = &self.sidecars[at as usize];
        if s.life != life {
            return;
        }
        let (tier, zone) = (s.tier, s.zone);
        let list = &mut self.lists[tier];
        if list.down {
            return self.queue.put(now, Event::ListReceived { sidecar: at, life, call, update: None });
        }
        match since {
            Some(known) if watch && !list.has_changes(known) => {
                list.watches.push((at, call, known));
                let ends = now + list.watch_duration();
                self.queue.put(ends, Event::WatchEnds { sidecar: at, call });
            }
            _ => {
                let update = Some(Box::new(list.update_since(since)));
                let delay = self.net.delay(zone, zone);
                self.queue.put(now + delay, Event::ListReceived { sidecar: at, life, call, update });
            }
        }
    }

    pub(super) fn watch_ends(&mut self, at: u32, call: u64) {
        let s = &self.sidecars[at as usize];
        let (tier, life, seq) = (s.tier, s.life, s.seq);
        let open = self.lists[tier].watches.iter().position(|(w, c, _)| (*w, *c) == (at, call));
        if let Some(place) = open {
            self.lists[tier].watches.swap_remove(place);
            self.queue_discovery_call(tier, at, life, call, seq, false);
        }
    }

    pub(super) fn publish(&mut self, tier: usize, entry: ListEntry) {
        self.lists[tier].publish(entry);
        for (at, call, since) in std::mem::take(&mut self.lists[tier].watches) {
            let life = self.sidecars[at as usize].life;
            self.queue_discovery_call(tier, at, life, call, Some(since), false);
        }
    }

    pub(super) fn list_received(&mut self, at: u32, life: u32, call: u64, update: Option<Box<ListUpdate>>) {
        let now = self.queue.now();
        let s = &mut self.sidecars[at as usize];
        if s.life != life || s.call != call {
            return;
        }
        s.call_pending = false;
        let Some(update) = update else {
            return self.with_dispatcher(at, |dispatcher, now, transport| {
                dispatcher.discovery_failed(now, transport)
            });
        };
        s.seq = Some(update.seq);
        let mut entries: Vec<EndpointEntry> = update.entries.iter().map(|l| l.entry(s.began)).collect();
        if update.is_full {
            let previous: Vec<u32> = s.known.iter().map(|l| l.node).collect();
            s.known.clone_from(&update.entries);
            for node in previous.into_iter().filter(|n| !update.entries.iter().any(|l| l.node == *n)) {
                self.observer.node_announced(now, at, node, false);
            }
        } else {
            for entry in &update.entries {
                s.known.retain(|l| l.node != entry.node);
                if entry.condition != EndpointState::Removed {
                    s.known.push(*entry);
                }
            }
        }
        for entry in &update.entries {
            self.observer.node_announced(now, at, entry.node, entry.condition == EndpointState::Running);
        }
        if self.options.mutant == Mutant::Drain {
            entries.retain(|e| e.state == EndpointState::Running);
        }
        let whole = update.is_full && self.options.mutant != Mutant::Drain;
        self.with_dispatcher(at, |dispatcher, now, transport| {
            dispatcher.update_endpoints(now, whole, entries, transport)
        });
        // The next watch starts at once.
        self.call_discovery(at);
    }
}
