//! Callers: calls as they come, tries, and what callers hear.

use super::*;

impl World {
    pub(super) fn try_call(&mut self, at: u32) {
        let now = self.queue.now();
        let Some(call) = self.calls.get_mut(at as usize) else { return };
        call.tries += 1;
        // Guards against an event for an earlier call that stood in this place.
        self.tries += 1;
        call.present = self.tries;
        let (number, salt, tries) = (call.present, call.salt, call.tries);
        let (class, tenant, work) = (call.class, call.tenant, call.work);
        let patience = call.patience.min(call.ends.saturating_sub(now));
        // A plain front layer: any sidecar that it takes to be there, by the call's own number.
        let there = |s: &&u32| self.sidecars[**s as usize].seen;
        let n = self.front.iter().filter(there).count();
        let pick = salt.wrapping_mul(u64::from(2 * tries + 1)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let sidecar = if n == 0 {
            None
        } else if n == self.front.len() {
            Some(self.front[pick as usize % n])
        } else {
            self.front.iter().filter(there).nth(pick as usize % n).copied()
        };
        let Some(sidecar) = sidecar else {
            let (heard, cause) = (Heard::Unreachable, Some(Cause::NoSidecar));
            return self.queue.put(now, Event::Heard { call: at, number, heard, cause });
        };
        let zone = self.sidecars[sidecar as usize].zone;
        let delay = self.net.delay(zone, zone);
        let origin = Origin::Caller { call: at, number };
        let id = self.add_request(sidecar, origin, class, tenant, work, now + patience);
        if let Some(call) = self.calls.get_mut(at as usize) {
            call.request = id;
        }
        self.queue.put(now + delay, Event::Come { id });
        self.queue.put(now + patience, Event::Impatient { call: at, number });
    }

    pub(super) fn add_request(
        &mut self,
        sidecar: u32,
        origin: Origin,
        class: u16,
        tenant: u16,
        work: f64,
        deadline: Nanos,
    ) -> u64 {
        self.number += 1;
        let entry = self.requests.vacant_entry();
        let id = (self.number << PLACE_BITS) | entry.key() as u64;
        let (taken, answered, attempts) = (false, false, Vec::new());
        entry.insert(Request {
            id,
            sidecar,
            origin,
            class,
            tenant,
            work,
            deadline,
            taken,
            answered,
            attempts,
        });
        id
    }

    pub(super) fn request(&mut self, id: u64) -> Option<&mut Request> {
        let place = place_of(id);
        self.requests.get_mut(place).filter(|r| r.id == id)
    }

    pub(super) fn forget(&mut self, id: u64) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|a| a.phase == Phase::Over);
        if self.request(id).is_some_and(|r| over(r)) {
            self.requests.remove(place_of(id));
        }
    }

    /// A request has reached its sidecar.
    pub(super) fn come(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let (sidecar, class, tenant, deadline, origin) = (r.sidecar, r.class, r.tenant, r.deadline, r.origin);
        if r.answered {
            return self.forget(id);
        }
        let up = self.sidecars[sidecar as usize].up;
        if let Some(r) = self.request(id) {
            (r.taken, r.answered) = (up, !up);
        }
        if !up {
            self.forget(id);
            return match origin {
                Origin::Caller { call, number } => {
                    let (heard, cause) = (Heard::Unreachable, Some(Cause::NoSidecar));
                    self.queue.put(now, Event::Heard { call, number, heard, cause });
                }
                // A node's own sidecar starts and stops with it.
                Origin::Job { .. } => {}
            };
        }
        let spec = &self.e.class[class as usize];
        let left = seconds(deadline.saturating_sub(now));
        let is_call = matches!(origin, Origin::Job { .. });
        let budget = if is_call && !self.e.callers.pass_budget { spec.deadline_s } else { left };
        let repeat = self.e.callers.mark_repeats
            && matches!(origin, Origin::Caller { call, .. } if self.calls.get(call as usize).is_some_and(|c| c.tries > 1));
        let arrival = Arrival {
            class: ClassId(class as usize),
            tenant: (!self.e.tenant.is_empty()).then_some(TenantId(tenant as usize)),
            client_timeout: budget,
            work_hint: None,
            repeat,
        };
        self.observer.taken(now, id, sidecar, now + nanos(budget), spec.safe);
        self.with(sidecar, |dispatcher, now, transport| {
            dispatcher.request_arrived(now, RequestId(id), arrival, transport)
        });
    }

    /// A caller has waited long enough.
    pub(super) fn impatient(&mut self, at: u32, number: u32) {
        let now = self.queue.now();
        let Some(call) = self.calls.get(at as usize).filter(|c| c.present == number) else { return };
        let id = call.request;
        if let Some(sidecar) = self.request(id).filter(|r| !r.answered).map(|r| r.sidecar) {
            let zone = self.sidecars[sidecar as usize].zone;
            let delay = self.net.delay(zone, zone);
            self.queue.put(now + delay, Event::Gone { id });
        }
        self.heard(at, number, Heard::Nothing, Some(Cause::GivenUp));
    }

    pub(super) fn caller_gone(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(r) = self.request(id).filter(|r| !r.answered) else { return };
        r.answered = true;
        let (sidecar, taken) = (r.sidecar, r.taken);
        if taken {
            self.observer.gone(now, id);
            self.with(sidecar, |dispatcher, now, transport| {
                dispatcher.client_disconnected(now, RequestId(id), transport)
            });
        }
        self.forget(id);
    }

    /// A caller hears how its try ended.
    pub(super) fn heard(&mut self, at: u32, number: u32, heard: Heard, cause: Option<Cause>) {
        let now = self.queue.now();
        let call = self.calls.get(at as usize).copied().filter(|c| c.present == number);
        let Some(call) = call else { return };
        if heard == Heard::Served {
            self.meter.over(now, &call, None);
            self.calls.remove(at as usize);
            return;
        }
        let safe = self.e.class[call.class as usize].safe;
        let wait = next_try(&call, &self.e.callers, safe, heard).filter(|w| now + w < call.ends);
        match wait {
            Some(wait) => {
                // The try is over: its own patience says nothing any more.
                self.calls[at as usize].present = 0;
                self.queue.put(now + wait.max(1), Event::Try(at));
            }
            None => {
                self.meter.over(now, &call, Some(cause.unwrap_or(Cause::GivenUp)));
                self.calls.remove(at as usize);
            }
        }
    }
}
