//! Simulated clients of leases: their reaction to news and their requests.

use super::*;

impl ClientHost {
    pub(super) fn new(name: &str, nonce: u64, voter: usize, voters: Vec<ProcId>) -> ClientHost {
        ClientHost {
            client: Client::new(name, nonce, Duration::from_millis(TTLS_MS[nonce as usize % 3])),
            conn: None,
            voter,
            voters,
            connect_at: 0.0,
            activity: Activity::Idle { until: 0.0 },
            pending_effects: BTreeMap::new(),
            deferred_effect: None,
            beliefs: BTreeMap::new(),
            grants_after_healing: 0,
            healed: false,
        }
    }

    /// Handles one piece of news. Returns an effect that the fleet has acknowledged, for the history.
    pub(super) fn handle_news(
        &mut self,
        news: ClientEvent,
        local: Duration,
        now: f64,
        name: &str,
    ) -> Option<AcknowledgedEffect> {
        match news {
            ClientEvent::Answered(seq, reply) => {
                if let Some((lease, token, requested)) = self.pending_effects.remove(&seq) {
                    let process = name.to_owned();
                    return (reply == Reply::Done).then_some(AcknowledgedEffect {
                        process,
                        lease,
                        token,
                        requested,
                        answered: now,
                    });
                }
                match &self.activity {
                    Activity::Leaving { seq: leaving } if *leaving == seq => {
                        self.activity = Activity::Idle { until: now + 0.05 };
                    }
                    Activity::Waiting { .. } if matches!(reply, Reply::Refused(_)) => {
                        self.activity = Activity::Idle { until: now + 0.1 };
                    }
                    _ => {}
                }
            }
            ClientEvent::Response(ClientResponse::Voters(voters)) => {
                let current = self.voters[self.voter % self.voters.len()];
                self.voters = voters.iter().map(|(voter, _)| *voter as usize - 1).collect();
                self.voter = self.voters.iter().position(|v| *v == current).unwrap_or(0);
            }
            // A lease that this client did not request was transferred by another process; it is released.
            ClientEvent::LeaseAcquired(grant) => {
                let requested = match &self.activity {
                    Activity::Waiting { lease, .. } | Activity::Acting { lease, .. } => *lease == grant.lease,
                    Activity::Idle { .. } | Activity::Leaving { .. } => false,
                };
                if !requested {
                    self.client.request(Op::Release { lease: grant.lease }, local);
                }
            }
            ClientEvent::SessionEnded | ClientEvent::GrantMissed(_) | ClientEvent::LeaseLost(_) => {
                if let Activity::Waiting { lease, ttl_ms, wait, .. } = self.activity.clone() {
                    self.client.request(Op::Acquire { lease, ttl_ms, wait }, local);
                }
            }
            _ => {}
        }
        None
    }

    /// Performs the client's next step. Returns an act that is to be delivered to a target.
    pub(super) fn act(
        &mut self,
        local: Duration,
        now: f64,
        name: &str,
        healing: bool,
        plan: &Plan,
        random: &mut Stream,
    ) -> Option<Act> {
        if let Some((_, op, lease, token)) = self.deferred_effect.take_if(|(at, ..)| now >= *at) {
            let seq = self.client.request(op, local);
            self.pending_effects.insert(seq, (lease, token, now));
        }
        match self.activity.clone() {
            Activity::Idle { until } if now >= until => {
                let lease = format!("lease-{}", random.random_range(0..plan.clients.div_ceil(2)));
                let ttl_ms = TTLS_MS[random.random_range(0..3)];
                let wait = healing || random.random_bool(0.7);
                self.client.request(Op::Acquire { lease: lease.clone(), ttl_ms, wait }, local);
                self.activity = Activity::Waiting { lease, since: now, ttl_ms, wait };
            }
            Activity::Waiting { lease, since, .. } => {
                if self.client.guard(&lease, local).is_some() {
                    self.grants_after_healing += u32::from(self.healed);
                    let hold = if healing { 0.2 } else { random.random_range(0.05..2.5) };
                    self.activity = Activity::Acting { lease, next: now, end: now + hold, busy: now };
                } else if now > since + MAX_WAIT && !healing {
                    self.activity =
                        Activity::Leaving { seq: self.client.request(Op::Release { lease }, local) };
                }
            }
            Activity::Acting { lease, next, end, busy } => {
                let Some(guard) = self.client.guard(&lease, local) else {
                    // Acts under way have to arrive before the lease is released, or they could overlap with
                    // those of the next holder.
                    if now < busy {
                        if random.random_bool(0.1) {
                            self.activity =
                                Activity::Leaving { seq: self.client.request(Op::Abandon { lease }, local) };
                        }
                        return None;
                    }
                    // Most clients keep an expired lease and continue if a renewal confirms it.
                    if !healing && self.client.in_last_renewal(&lease) && random.random_bool(0.98) {
                        return None;
                    }
                    self.activity =
                        Activity::Leaving { seq: self.client.request(Op::Release { lease }, local) };
                    return None;
                };
                if now >= end {
                    // A correct holder releases the lease once all its acts have arrived.
                    if now >= busy && self.pending_effects.is_empty() {
                        let to = format!("client-{}", random.random_range(0..plan.clients as u64));
                        let op = match random.random_range(0..10) {
                            0 | 1 if !healing => Op::Transfer { lease, to },
                            _ => Op::Release { lease },
                        };
                        self.activity = Activity::Leaving { seq: self.client.request(op, local) };
                    }
                } else if now >= next {
                    let next = now + random.random_range(0.01..0.2);
                    if self.deferred_effect.is_none() && random.random_bool(0.1) {
                        let (op, token) = (guard.effect(name), guard.token());
                        self.deferred_effect =
                            Some((now + random.random_range(0.5..4.0), op, lease.clone(), token));
                    }
                    if random.random_bool(0.2) && self.pending_effects.is_empty() {
                        let seq = self.client.request(guard.effect(name), local);
                        self.pending_effects.insert(seq, (lease.clone(), guard.token(), now));
                        self.activity = Activity::Acting { lease, next, end, busy };
                        return None;
                    }
                    let slow = random.random_bool(0.03);
                    let delay = if slow {
                        random.random_range(0.0..5.0)
                    } else {
                        plan.lock_delay * random.random_range(0.0..0.9)
                    };
                    let busy = busy.max(now + delay);
                    self.activity = Activity::Acting { lease: lease.clone(), next, end, busy };
                    let (process, token) = (name.to_owned(), guard.token());
                    return Some(Act {
                        process,
                        lease,
                        token,
                        checked: now,
                        arrived: now + delay,
                        accepted: false,
                    });
                }
            }
            _ => {}
        }
        None
    }
}
