//! Clients of leases: what they hear and what they ask for next.

use super::*;

impl Member {
    pub(super) fn new(name: &str, nonce: u64, voter: usize, voters: Vec<ProcId>) -> Member {
        Member {
            client: Client::new(name, nonce, Duration::from_millis(TTLS_MS[nonce as usize % 3])),
            conn: None,
            voter,
            voters,
            call_at: 0.0,
            doing: Doing::Idle { until: 0.0 },
            asked: BTreeMap::new(),
            late: None,
            beliefs: BTreeMap::new(),
            served: 0,
            calm: false,
        }
    }

    /// Takes in news; an effect that was acknowledged goes to the history.
    pub(super) fn hear(&mut self, news: ClientEvent, local: Duration, now: f64, name: &str) -> Option<Noted> {
        match news {
            ClientEvent::Answered(seq, reply) => {
                if let Some((lease, token, asked)) = self.asked.remove(&seq) {
                    let process = name.to_owned();
                    return (reply == Reply::Done).then_some(Noted {
                        process,
                        lease,
                        token,
                        asked,
                        answered: now,
                    });
                }
                match &self.doing {
                    Doing::Leaving { seq: leaving } if *leaving == seq => {
                        self.doing = Doing::Idle { until: now + 0.05 };
                    }
                    Doing::Wanting { .. } if matches!(reply, Reply::Refused(_)) => {
                        self.doing = Doing::Idle { until: now + 0.1 };
                    }
                    _ => {}
                }
            }
            ClientEvent::Response(ClientResponse::Voters(voters)) => {
                let current = self.voters[self.voter % self.voters.len()];
                self.voters = voters.iter().map(|(voter, _)| *voter as usize - 1).collect();
                self.voter = self.voters.iter().position(|v| *v == current).unwrap_or(0);
            }
            // Handed on by another process: nothing to do with it here.
            ClientEvent::LeaseAcquired(grant) => {
                let mine = match &self.doing {
                    Doing::Wanting { lease, .. } | Doing::Acting { lease, .. } => *lease == grant.lease,
                    Doing::Idle { .. } | Doing::Leaving { .. } => false,
                };
                if !mine {
                    self.client.request(Op::Release { lease: grant.lease }, local);
                }
            }
            ClientEvent::SessionEnded | ClientEvent::GrantMissed(_) | ClientEvent::LeaseLost(_) => {
                if let Doing::Wanting { lease, ttl_ms, wait, .. } = self.doing.clone() {
                    self.client.request(Op::Acquire { lease, ttl_ms, wait }, local);
                }
            }
            _ => {}
        }
        None
    }

    /// Does the next thing; gives an act that is to reach a target.
    pub(super) fn act(
        &mut self,
        local: Duration,
        now: f64,
        name: &str,
        healing: bool,
        plan: &Plan,
        random: &mut Stream,
    ) -> Option<Act> {
        if let Some((_, op, lease, token)) = self.late.take_if(|(at, ..)| now >= *at) {
            let seq = self.client.request(op, local);
            self.asked.insert(seq, (lease, token, now));
        }
        match self.doing.clone() {
            Doing::Idle { until } if now >= until => {
                let lease = format!("lease-{}", random.random_range(0..plan.clients.div_ceil(2)));
                let ttl_ms = TTLS_MS[random.random_range(0..3)];
                let wait = healing || random.random_bool(0.7);
                self.client.request(Op::Acquire { lease: lease.clone(), ttl_ms, wait }, local);
                self.doing = Doing::Wanting { lease, since: now, ttl_ms, wait };
            }
            Doing::Wanting { lease, since, .. } => {
                if self.client.guard(&lease, local).is_some() {
                    self.served += u32::from(self.calm);
                    let hold = if healing { 0.2 } else { random.random_range(0.05..2.5) };
                    self.doing = Doing::Acting { lease, next: now, end: now + hold, busy: now };
                } else if now > since + PATIENCE && !healing {
                    self.doing = Doing::Leaving { seq: self.client.request(Op::Release { lease }, local) };
                }
            }
            Doing::Acting { lease, next, end, busy } => {
                let Some(guard) = self.client.guard(&lease, local) else {
                    // What is still under way has to arrive before the lease is let go, else nothing would
                    // keep it from the next holder's.
                    if now < busy {
                        if random.random_bool(0.1) {
                            self.doing =
                                Doing::Leaving { seq: self.client.request(Op::Abandon { lease }, local) };
                        }
                        return None;
                    }
                    // Most hope that it is still theirs, and go on if a renewal says so.
                    if !healing && self.client.in_last_renewal(&lease) && random.random_bool(0.98) {
                        return None;
                    }
                    self.doing = Doing::Leaving { seq: self.client.request(Op::Release { lease }, local) };
                    return None;
                };
                if now >= end {
                    // A well-behaved holder lets go when all that it did has arrived.
                    if now >= busy && self.asked.is_empty() {
                        let to = format!("client-{}", random.random_range(0..plan.clients as u64));
                        let op = match random.random_range(0..10) {
                            0 | 1 if !healing => Op::Transfer { lease, to },
                            _ => Op::Release { lease },
                        };
                        self.doing = Doing::Leaving { seq: self.client.request(op, local) };
                    }
                } else if now >= next {
                    let next = now + random.random_range(0.01..0.2);
                    if self.late.is_none() && random.random_bool(0.1) {
                        let (op, token) = (guard.effect(name), guard.token());
                        self.late = Some((now + random.random_range(0.5..4.0), op, lease.clone(), token));
                    }
                    if random.random_bool(0.2) && self.asked.is_empty() {
                        let seq = self.client.request(guard.effect(name), local);
                        self.asked.insert(seq, (lease.clone(), guard.token(), now));
                        self.doing = Doing::Acting { lease, next, end, busy };
                        return None;
                    }
                    let slow = random.random_bool(0.03);
                    let delay = if slow {
                        random.random_range(0.0..5.0)
                    } else {
                        plan.lock_delay * random.random_range(0.0..0.9)
                    };
                    let busy = busy.max(now + delay);
                    self.doing = Doing::Acting { lease: lease.clone(), next, end, busy };
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
