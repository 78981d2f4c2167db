//! Callers: tries of calls, their arrival at sidecars, and their results.

use super::*;

impl World {
    pub(super) fn try_call(&mut self, at: u32) {
        let now = self.queue.now();
        let Some(call) = self.calls.get_mut(at as usize) else { return };
        call.tries += 1;
        // The number is unique over all calls, so that events of an earlier call with the same slab key are ignored.
        self.tries += 1;
        call.current_try = self.tries;
        let (number, salt, tries) = (call.current_try, call.wait_seed, call.tries);
        let (class, tenant, work) = (call.class, call.tenant, call.work);
        let patience = call.patience.min(call.give_up_at.saturating_sub(now));
        // A plain front layer: picks any sidecar that it considers up, by the call's own number.
        let is_up = |s: &&u32| self.sidecars[**s as usize].seen_by_front;
        let n = self.front.iter().filter(is_up).count();
        let pick = salt.wrapping_mul(u64::from(2 * tries + 1)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let sidecar = if n == 0 {
            None
        } else if n == self.front.len() {
            Some(self.front[pick as usize % n])
        } else {
            self.front.iter().filter(is_up).nth(pick as usize % n).copied()
        };
        let Some(sidecar) = sidecar else {
            let (result, cause) = (TryResult::Unreachable, Some(Cause::NoSidecar));
            return self.queue.put(now, Event::TryEnded { call: at, number, result, cause });
        };
        let zone = self.sidecars[sidecar as usize].zone;
        let delay = self.net.delay(zone, zone);
        let origin = Origin::Caller { call: at, number };
        let id = self.add_request(sidecar, origin, class, tenant, work, now + patience);
        if let Some(call) = self.calls.get_mut(at as usize) {
            call.request = id;
        }
        self.queue.put(now + delay, Event::RequestArrived { id });
        self.queue.put(now + patience, Event::PatienceExpired { call: at, number });
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
        let id = (self.number << SLAB_KEY_BITS) | entry.key() as u64;
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
        let place = slab_key(id);
        self.requests.get_mut(place).filter(|r| r.id == id)
    }

    pub(super) fn remove_if_done(&mut self, id: u64) {
        let over = |r: &Request| r.answered && r.attempts.iter().all(|a| a.phase == Phase::Ended);
        if self.request(id).is_some_and(|r| over(r)) {
            self.requests.remove(slab_key(id));
        }
    }

    /// Handles the arrival of a request at its sidecar.
    pub(super) fn request_arrived(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(r) = self.request(id) else { return };
        let (sidecar, class, tenant, deadline, origin) = (r.sidecar, r.class, r.tenant, r.deadline, r.origin);
        if r.answered {
            return self.remove_if_done(id);
        }
        let up = self.sidecars[sidecar as usize].up;
        if let Some(r) = self.request(id) {
            (r.taken, r.answered) = (up, !up);
        }
        if !up {
            self.remove_if_done(id);
            return match origin {
                Origin::Caller { call, number } => {
                    let (result, cause) = (TryResult::Unreachable, Some(Cause::NoSidecar));
                    self.queue.put(now, Event::TryEnded { call, number, result, cause });
                }
                // A node's own sidecar starts and stops with the node.
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
        self.observer.request_accepted(now, id, sidecar, now + nanos(budget), spec.safe);
        self.with_dispatcher(sidecar, |dispatcher, now, transport| {
            dispatcher.request_arrived(now, RequestId(id), arrival, transport)
        });
    }

    /// Ends a try that got no answer within the caller's patience.
    pub(super) fn patience_expired(&mut self, at: u32, number: u32) {
        let now = self.queue.now();
        let Some(call) = self.calls.get(at as usize).filter(|c| c.current_try == number) else { return };
        let id = call.request;
        if let Some(sidecar) = self.request(id).filter(|r| !r.answered).map(|r| r.sidecar) {
            let zone = self.sidecars[sidecar as usize].zone;
            let delay = self.net.delay(zone, zone);
            self.queue.put(now + delay, Event::CallerLeft { id });
        }
        self.try_ended(at, number, TryResult::Nothing, Some(Cause::GivenUp));
    }

    /// Handles a caller's disconnect at the sidecar.
    pub(super) fn caller_left(&mut self, id: u64) {
        let now = self.queue.now();
        let Some(r) = self.request(id).filter(|r| !r.answered) else { return };
        r.answered = true;
        let (sidecar, taken) = (r.sidecar, r.taken);
        if taken {
            self.observer.caller_left(now, id);
            self.with_dispatcher(sidecar, |dispatcher, now, transport| {
                dispatcher.client_disconnected(now, RequestId(id), transport)
            });
        }
        self.remove_if_done(id);
    }

    /// Handles the result of a try at its caller, which ends the call or schedules a retry.
    pub(super) fn try_ended(&mut self, at: u32, number: u32, result: TryResult, cause: Option<Cause>) {
        let now = self.queue.now();
        let call = self.calls.get(at as usize).copied().filter(|c| c.current_try == number);
        let Some(call) = call else { return };
        if result == TryResult::Served {
            self.meter.call_ended(now, &call, None);
            self.calls.remove(at as usize);
            return;
        }
        let safe = self.e.class[call.class as usize].safe;
        let wait = retry_wait(&call, &self.e.callers, safe, result).filter(|w| now + w < call.give_up_at);
        match wait {
            Some(wait) => {
                // The try has ended, so its patience event has to be ignored.
                self.calls[at as usize].current_try = 0;
                self.queue.put(now + wait.max(1), Event::Try(at));
            }
            None => {
                self.meter.call_ended(now, &call, Some(cause.unwrap_or(Cause::GivenUp)));
                self.calls.remove(at as usize);
            }
        }
    }
}
