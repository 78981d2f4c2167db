//! The policy: every decision of the balancer. Its types, events and actions stand in `src/api.rs`.
//!
//! Four layers, in this order: factors (reports to weights), the ready set (who may be picked now,
//! where all exceptions act), turns (smooth weighted round robin) and the life of a request.

use crate::api::*;
use crate::state::{Attempt, Balancer, Held, Request, Upstream};
use crate::turns::{take_turn, Candidate};
use std::collections::{BTreeMap, BTreeSet};

/// Factor before a first report: half of the scale says "nothing known".
const CONFIGURED: f64 = 50.0;
/// A spare worker told of is believed for this many typical times; beyond, idle ones go round as unknown.
const TRUST: f64 = 10.0;
/// Power by which factors are spread apart: turns in plain proportion would send half to busy upstreams.
const SHARPEN: i32 = 2;
/// A factor is recomputed after this part of the typical answer time: load turns over in one answer time.
const REFRESH_PART: f64 = 1.0 / 20.0;
/// ... or after this many calls: one call changes a small upstream's load wholly.
const REFRESH_CALLS: u32 = 1;
/// Probing ahead of a pick is worth this price a request in all: 2 points in 100 buy wrong picks off.
const PROBE_WORTH: f64 = 0.02;
/// An attempt out for this many typical times, while peers answer, means a stall or a very heavy request.
const STALL: f64 = 3.0;
/// A safe call is withdrawn only after this part of the aim: what takes long is mostly heavy, also elsewhere.
const RESCUE_PART: f64 = 0.5;
/// Copies for each upstream among those that a copy keeps to: more would hear less often from each.
const SHARED: f64 = 3.0;
/// Part of what a cold upstream may be sent that is used: with less, warm ones carry all and jam.
const COLD_PART: f64 = 0.8;
/// Trust above which an upstream is taken for one that serves what it gets.
const SOUND: f64 = 0.5;
/// Part of the requests that may be tried again after they may have run, so that retries stay few.
const RETRY_PART: f64 = 0.2;
/// So many bad upstreams make a zone suspect: one or two may be on their own.
const ZONE_BAD: usize = 3;
/// A call's own work weighs so much against what is out already: the latter is half done, on several cores.
const OWN_WORK: f64 = 3.0;
/// Loads this near to the least, in mean calls, are alike.
const ALIKE: f64 = 0.2;
/// A call of this many times the usual work is out of reach if this part of its time is past its aim: where
/// nothing waits, where it may still be lucky, and where others wait for the core that it would take.
const FAR: f64 = 2.0;
const HOPELESS: [f64; 2] = [0.5, 0.9];
/// Upstreams of other zones count as so much busier while nothing waits: crossings have a price.
const CROSSING: f64 = 1.3;
/// With more than this part of all upstreams bad, the fault is elsewhere; a lost zone of two stays below it.
const PANIC_PART: f64 = 0.8;
/// Room over this copy's equal share of all workers: clients do not spread evenly over copies.
const SHARE_ROOM: f64 = 1.2;
/// Requests in flight for each upstream, over all copies: at the start (soon corrected) and at the least.
const START_EACH: f64 = 12.0;
const FLOOR_EACH: f64 = 3.0;
/// A median above the first part of the aim shrinks the limit on requests in flight, if it is twice what it
/// has been at best (which is slowly forgotten) or above the second part: the slower half needs room.
const CROWDED_PART: [f64; 2] = [0.5, 0.7];
const QUEUED: f64 = 2.0;
const FADES: f64 = 1.0003;

/// What one pass over the upstreams counts: who is on, probes out, calls out at those not standing aside.
#[derive(Default)]
struct Survey {
    on: usize,
    able: usize,
    probes: usize,
    in_flight: usize,
}

/// For one class and moment: the part served over all upstreams, and the trust in each as far as asked for.
type Trusts = Option<(f64, Vec<f64>)>;

impl Balancer {
    /// Takes one event at time `now` and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if now.is_finite() && now > self.now {
            self.now = now;
        }
        match event {
            Event::FullList(entries) => {
                for u in self.upstreams.values_mut() {
                    u.entry.condition = Condition::Off;
                }
                self.learn_list(&entries, actions);
            }
            Event::ListChanges(entries) => self.learn_list(&entries, actions),
            Event::ListFailed => {
                // Renewed with growing waits and jitter, well inside the time that counts as informed.
                self.list_waits = (self.list_waits + 1).min(4);
                let wait =
                    self.set.ask_every / 40.0 * f64::from(1 << self.list_waits) * (0.5 + self.rng.next());
                actions.push(Action::Wake { after: wait, token: 1 });
            }
            Event::Request { id, class, tenant, ttl, work_hint, .. } => {
                self.take(id, class, tenant, ttl, work_hint);
            }
            Event::StreamBegan { id, .. } => self.requests.settle(id),
            Event::Outcome(o) => self.outcome(&o, actions),
            Event::Gone(id) => self.finish(id),
            Event::Wake(token) => {
                if token == 1 && self.set.ask_for_list {
                    actions.push(Action::Watch);
                }
                if self.now + self.set.tick >= self.next_wake {
                    self.next_wake = f64::INFINITY;
                }
            }
            Event::Probed { upstream, ending, report, .. } => {
                if let Some(u) = self.upstreams.get_mut(&upstream) {
                    u.probing = None;
                    if ending == Ending::Delivered {
                        self.learn_report(upstream, report);
                    } else {
                        self.failed(upstream);
                    }
                }
            }
        }
        self.dispatch(actions);
    }

    // ---- 1. Factors ----

    /// Keeps the latest report; it becomes a factor when the refresh falls due.
    fn learn_report(&mut self, id: UpstreamId, report: Option<Report>) {
        let (Some(u), Some(report)) = (self.upstreams.get_mut(&id), report) else { return };
        if let (Some(a), Some(w)) = (report.active, report.waiting) {
            if w >= 1.0 && a.is_finite() && w.is_finite() {
                // Reports are noisy: a slow mean, rounded where it is used.
                let handled = (a - w).max(1.0);
                self.workers = Some(self.workers.map_or(handled, |k| k + 0.05 * (handled - k)));
            }
        }
        u.usual += 0.1 * report.cpu.filter(|c| c.is_finite()).map_or(0.0, |c| 100.0 * (1.0 - c) - u.usual);
        u.report = Some((report, self.now, u.out.len()));
    }

    /// The formula: spare workers where held requests are reported, else spare CPU; 0 to 100.
    fn formula(&self, u: &Upstream) -> f64 {
        let (report, at, _) = u.report.unwrap_or((Report::default(), f64::NEG_INFINITY, 0));
        let spare = match (u.holds(), self.workers, report.cpu) {
            (Some(held), Some(workers), _) => 1.0 - held / workers.round(),
            (Some(held), None, _) => 1.0 / (1.0 + held),
            (None, _, Some(cpu)) if cpu.is_finite() => 1.0 - cpu,
            _ => CONFIGURED / 100.0,
        };
        // Danger: an old report starves or floods an upstream. It fades to what has been usual for it.
        let fresh = (-(self.now - at) / (2.0 * self.median).max(self.set.tick)).exp();
        let percent = (spare * 100.0).max(0.0) * fresh + u.usual * (1.0 - fresh);
        percent * (percent / 100.0).powi(if self.set.reports_held { SHARPEN } else { 0 })
    }

    /// Refreshes a factor that is due by time or by calls.
    fn refresh_factor(&self, u: &mut Upstream) {
        if self.now - u.refreshed >= self.median * REFRESH_PART || u.calls >= REFRESH_CALLS {
            u.factor = self.formula(u) * self.warmth(u) * u.health.powi(2);
            (u.refreshed, u.calls) = (self.now, 0);
        }
    }

    /// Part of its capacity that an upstream surely has by now (the proposal's uptime guard, as a ramp).
    fn warmth(&self, u: &Upstream) -> f64 {
        if self.now < u.suspect_until {
            return self.set.cold_from;
        }
        let age = u.entry.started.map_or(f64::INFINITY, |s| (self.now - s).max(0.0));
        (self.set.cold_from + (1.0 - self.set.cold_from) * age / self.set.warm_within.max(self.set.tick))
            .min(1.0)
    }

    // ---- 2. Ready set ----

    fn learn_list(&mut self, entries: &[Entry], actions: &mut Vec<Action>) {
        if self.set.ask_for_list && self.upstreams.is_empty() && self.list_waits == 0 {
            actions.push(Action::Watch);
        }
        self.list_waits = 0;
        for e in entries {
            let known = self.upstreams.get(&e.upstream);
            let restarted = known.is_some_and(|u| u.entry.started != e.started && e.started.is_some());
            if known.is_none() || restarted {
                // Offset by the seed, so that copies do not move in step.
                let tally = self.set.classes.iter().map(|_| self.rng.next() * CONFIGURED).collect();
                let before = self.upstreams.remove(&e.upstream);
                let (out, load) = before.map_or_else(Default::default, |u| (u.out, u.load));
                let mut fresh = Upstream { tally, out, load, ..Upstream::new(*e, CONFIGURED) };
                fresh.cold_until = self.now + self.rng.next() * self.cold_gap(&fresh);
                self.upstreams.insert(e.upstream, fresh);
            } else if let Some(u) = self.upstreams.get_mut(&e.upstream) {
                u.entry = *e;
            }
        }
        self.upstreams.retain(|_, u| u.entry.condition != Condition::Off || !u.out.is_empty());
        // Danger: many copies, few answers each: news of all upstreams is always old, and each copy pays for
        // every bad one and opens a connection to each. It keeps first to some, which it shares with others.
        let on: Vec<_> = self.upstreams.values_mut().filter(|u| u.entry.condition == Condition::On).collect();
        let all = on.len() as f64;
        let (each, rank) = (all / self.set.balancers as f64, self.set.rank as f64);
        let (start, part) = ((rank * each).floor(), (SHARED * each.max(1.0)).ceil().min(all));
        self.copies = (part / each).max(1.0);
        for (i, u) in on.into_iter().enumerate() {
            u.home = (i as f64 - start).rem_euclid(all) < part;
        }
        if self.limit <= 0.0 {
            (self.limit, self.able) = (START_EACH * self.per_copy(), self.upstreams.len() as f64);
        }
    }

    /// Fast failures take an upstream out for a growing time; one trial call brings it back.
    fn failed(&mut self, id: UpstreamId) {
        let Some(u) = self.upstreams.get_mut(&id) else { return };
        u.fails = (u.fails + 1).min(3);
        u.ejected_until = self.now + self.set.connect_timeout * 2.0 * f64::from(1 << u.fails);
    }

    /// Danger: a paused server keeps its factor. It is silent too long for the number of calls it has. One
    /// that is busy with a heavy call is not silent before the call could be over.
    fn silent(&self, u: &Upstream) -> bool {
        let Some((oldest, _, first)) = u.out.first() else { return false };
        let hinted = self.requests.get(oldest).filter(|r| r.work.is_some());
        let needs = hinted.map_or(0.0, |r| r.needs).max(self.median);
        let patience = (1.0 + 4.0 / u.out.len() as f64).min(STALL) * needs;
        self.median > 0.0 && self.now - first.max(u.heard) > patience
    }

    /// One pass over the upstreams before anything is picked: marks who stands aside (silent or ejected
    /// ones, and zones in which most are) and counts what the choices below need.
    fn survey(&mut self) -> Survey {
        while self.served_at.front().is_some_and(|t| *t < self.now - self.set.fall) {
            self.served_at.pop_front();
        }
        let mut zones: BTreeMap<ZoneId, (usize, usize)> = BTreeMap::new();
        let mut bad_ones = Vec::with_capacity(self.upstreams.len());
        let (mut all, mut warm) = ((0, 0), 0);
        let mut seen = Survey::default();
        let mut upstreams = std::mem::take(&mut self.upstreams);
        for u in upstreams.values_mut() {
            self.refresh_factor(u);
            let bad = self.now < u.ejected_until || self.silent(u);
            let good = !bad && u.fails == 0 && self.now - u.heard < STALL * self.median;
            let zone = zones.entry(u.entry.zone).or_default();
            let failing = bad || u.fails > 0;
            *zone = (zone.0 + usize::from(failing), zone.1 + usize::from(good));
            all = (all.0 + usize::from(failing), all.1 + usize::from(good));
            bad_ones.push(bad);
            seen.on += usize::from(u.entry.condition == Condition::On);
            seen.probes += usize::from(u.probing.is_some());
            warm += usize::from(u.entry.condition == Condition::On && self.warmth(u) >= 1.0);
        }
        self.warm_serves = self.served_at.len() as f64 / warm.max(1) as f64;
        let all_bad = bad_ones.iter().filter(|b| **b).count();
        // Panic: when nearly all look bad, it is not the upstreams, and nobody stands aside.
        let panic = all_bad as f64 > PANIC_PART * bad_ones.len() as f64;
        // Danger: a zone is cut off. Judged by those with fresh news, all of it stands aside but for trials.
        let cut = |(bad, good)| bad >= ZONE_BAD && bad > good && all.0 - bad < all.1 - good;
        for (u, bad) in upstreams.values_mut().zip(bad_ones) {
            u.shunned = !panic && (bad || u.fails == 0 && cut(zones[&u.entry.zone]));
            seen.able += usize::from(u.entry.condition == Condition::On && !u.shunned);
            seen.in_flight += if u.shunned { 0 } else { u.out.len() };
        }
        self.upstreams = upstreams;
        seen
    }

    /// Danger: a safe call waits on an upstream that stands aside. It is withdrawn and sent elsewhere.
    fn rescue(&mut self, actions: &mut Vec<Action>) {
        let mut left = if self.set.cancel { self.retry_tokens } else { 0.0 };
        let aims = self.set.classes.iter().map(|c| RESCUE_PART * c.aim);
        let before = self.now - aims.fold(f64::INFINITY, f64::min);
        let shunned = self.upstreams.values().filter(|u| u.shunned && left >= 1.0);
        let waiting = shunned.flat_map(|u| u.out.iter().take_while(|(.., sent)| *sent < before));
        let waiting: BTreeSet<_> = waiting.map(|(id, ..)| *id).collect();
        for id in waiting {
            let Some(r) = self.requests.get_mut(&id).filter(|r| r.safe && !r.done && !r.held) else {
                continue;
            };
            let again =
                (r.attempts.len() as u32) < self.set.max_attempts && self.now + self.median < r.deadline;
            let attempt = r.attempts.len().saturating_sub(1);
            let Some(a) = r.attempts.last_mut().filter(|a| a.out && !a.withdrawn) else { continue };
            let aim = RESCUE_PART * self.set.classes[r.class.0].aim;
            let lost =
                self.upstreams.get(&a.entry.upstream).is_some_and(|u| u.shunned) && self.now - a.sent > aim;
            if left >= 1.0 && again && lost {
                left -= 1.0;
                a.withdrawn = true;
                actions.push(Action::Cancel { id, attempt: attempt as u32 });
            }
        }
    }

    /// Who may be picked now for this request. Every exception to plain turns stands here.
    fn ready_set(&self, r: &Request, trusts: &mut Trusts) -> Vec<(UpstreamId, f64)> {
        let may = |id: &UpstreamId, u: &Upstream| {
            let tried = r.attempts.iter().any(|a| a.entry.upstream == *id);
            let on_trial = u.fails > 0 && !u.out.is_empty();
            // Danger: a queue at a server cannot be taken back. Fill its workers, hold the rest here.
            let filled = self.workers.is_some_and(|w| u.out.len() as f64 >= w.round());
            let out = u.entry.condition != Condition::On || u.shunned || tried || on_trial || filled;
            let cold = (self.now < u.cold_until || !u.home) && self.warmth(u) < 1.0;
            let probing = self.now - u.probing.unwrap_or(f64::NEG_INFINITY) < self.set.connect_timeout;
            !out && !cold && !probing && self.in_group(r, u)
        };
        // Danger: reports are old, and a slow one draws as many turns as its spare CPU says. Who holds more
        // own work, at its own pace, than the least busy stands aside. Failing ones are no measure of that.
        let (served, trusts) =
            trusts.get_or_insert_with(|| (self.served(r.class), vec![f64::NAN; self.upstreams.len()]));
        let may_be = self.upstreams.iter().zip(trusts).filter(|((id, u), _)| may(id, u));
        let trust = |u: &Upstream, known: &mut f64| {
            if known.is_nan() {
                *known = self.trust(u, r.class, *served);
            }
            *known
        };
        let may_be: Vec<_> = may_be.map(|((id, u), known)| (*id, u, trust(u, known))).collect();
        let sound = may_be.iter().filter(|(.., trust)| *trust > SOUND);
        let crossing =
            if self.set.price_cross_zone > 0.0 && self.requests.held().len() <= 1 { CROSSING } else { 1.0 };
        let cost = |u: &Upstream| if u.entry.zone == self.set.zone { 1.0 } else { crossing };
        let busy = |u: &Upstream| (u.load + OWN_WORK * r.load()) * u.pace * cost(u);
        let least = sound.map(|(_, u, _)| busy(u)).fold(f64::INFINITY, f64::min);
        let least = least + ALIKE * self.mean_work.unwrap_or(1.0);
        let near = may_be.into_iter().filter(|(_, u, _)| busy(u) <= least);
        let order = |u: &Upstream| (u.home, self.verified(u));
        let ready: Vec<_> = near.map(|(id, u, trust)| (id, trust, order(u))).collect();
        let best = ready.iter().map(|(.., rank)| *rank).max();
        ready.into_iter().filter(|(.., rank)| Some(*rank) == best).map(|(id, trust, _)| (id, trust)).collect()
    }

    /// Danger: many copies, old reports. Where probes are cheap, one checks a pick before it is used.
    fn verifies(&self) -> bool {
        self.set.probes && 2.0 * self.set.price_probe <= PROBE_WORTH && self.set.reports_queue
    }

    /// Whether recent news tells of a spare worker.
    fn verified(&self, u: &Upstream) -> bool {
        let window = self.median * if self.verifies() { REFRESH_PART } else { TRUST };
        let fresh = u.report.is_some_and(|(_, at, _)| self.now - at <= window);
        fresh && u.holds().is_some_and(|h| h < self.workers.map_or(1.0, f64::round) - 0.5)
    }

    /// Danger: a cold server falls over, even by one call from each of many copies. Only those that keep to
    /// it send, each in its share, by what warm ones serve or what one worker does in a typical time. Danger:
    /// what they are sent is no measure: calls that they turn away come again and would swell it.
    fn cold_gap(&self, u: &Upstream) -> f64 {
        let one_worker = self.set.fall / self.median.max(self.set.tick);
        let serves = (self.warm_serves * self.set.balancers as f64).max(one_worker);
        let warm = if self.median > 0.0 { serves / self.copies } else { 1.0 };
        let budget = COLD_PART * self.set.overload_factor * self.warmth(u) * warm;
        f64::from(u8::from(self.warmth(u) < 1.0)) * (self.set.fall / budget).min(self.set.warm_within)
    }

    /// Once a keyed request may have run, only the group that drops its repeats may get it.
    fn in_group(&self, r: &Request, u: &Upstream) -> bool {
        let Effect::Keyed { scope, .. } = self.set.classes[r.class.0].effect else { return true };
        let Some(first) = r.attempts.iter().find(|a| a.may_have_run) else { return true };
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => u.entry.zone == first.entry.zone,
            DedupScope::Cell => u.entry.cell == first.entry.cell,
        }
    }

    // ---- 3. Turns ----

    /// Danger: some upstreams fail all calls or one class, and fast. Each is trusted with a class by what
    /// became of its last calls of it; where these are few, also by its other classes and by all upstreams.
    fn trust(&self, u: &Upstream, class: ClassId, served: f64) -> f64 {
        let others =
            (0..self.set.classes.len()).filter(|c| *c != class.0).map(|c| u.served(ClassId(c), self.now));
        let others = others.fold((2.0, 2.0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
        let own = u.served(class, self.now);
        ((own.0 + 2.0 * served * others.0 / others.1) / (own.1 + 2.0)).powi(4)
    }

    /// Smooth weighted round robin over the ready set: highest tally wins and pays the sum of factors.
    fn turn(&mut self, ready: &[(UpstreamId, f64)], class: ClassId) -> Option<UpstreamId> {
        let all_zero = ready.iter().all(|(id, _)| self.upstreams[id].factor <= 0.0);
        let mut left = ready;
        take_turn(self.upstreams.iter_mut().filter_map(|(id, u)| {
            let ((_, trust), rest) = left.split_first().filter(|((r, _), _)| r == id)?;
            left = rest;
            let factor = trust * if all_zero { 1.0 } else { u.factor };
            Some(Candidate { item: *id, factor, tally: &mut u.tally[class.0] })
        }))
    }

    // ---- 4. Request life ----

    fn take(&mut self, id: RequestId, class: ClassId, tenant: Option<TenantId>, ttl: f64, work: Option<f64>) {
        let Some(c) = self.set.classes.get(class.0).cloned() else { return };
        let ttl = if ttl.is_finite() { ttl.max(0.0) } else { c.aim };
        let work = work.filter(|w| w.is_finite() && *w > 0.0);
        let mut worth = c.gain;
        if let Some(t) = tenant.and_then(|t| self.set.tenants.get(t.0).map(|s| (t.0, s.allowance_per_s))) {
            worth *= if self.use_allowance(t.0, t.1) { 1.0 } else { self.set.over_share_worth };
        }
        let (deadline, aim) = (self.now + ttl, self.now + c.aim + c.aim_stretch * work.unwrap_or(0.0));
        let aim_at = if c.late_value > 0.0 { deadline } else { aim.min(deadline) };
        let (arrived, attempts, safe) = (self.now, Vec::new(), c.effect == Effect::Safe);
        let mut needs = self.typical[class.0];
        if let Some(work) = work {
            self.learn_work(work);
            needs = self.times[class.0].at(work).unwrap_or(needs);
            // Danger: a few calls ask for more than anyone can do in time, and would keep a core from many
            // others. Usual ones always go: only from them can be seen that all is faster again.
            let more = self.times[class.0].usual().is_some_and(|usual| work > FAR * usual);
            let part = HOPELESS[usize::from(!self.requests.held().is_empty())];
            needs = if more && part * needs > aim_at - self.now { f64::INFINITY } else { needs };
        }
        let (held, done) = (true, false);
        let r = Request { class, arrived, aim_at, deadline, worth, work, needs, safe, attempts, held, done };
        self.retry_tokens = (self.retry_tokens + RETRY_PART).min(20.0);
        let asks = PROBE_WORTH / self.set.price_probe.max(PROBE_WORTH / 100.0);
        self.probe_tokens = (self.probe_tokens.max(0.0) + asks).min(2.0 * asks);
        self.requests.insert(id, r);
    }

    /// The latest time at which a first send can still be answered within the aim.
    fn give_up_at(&self, r: &Held) -> f64 {
        // Danger: where all is slow the typical time passes the aim; even the dearest would go at once.
        let end = r.aim_at.min(r.deadline - self.set.tick);
        (end - r.needs.min(0.5 * (end - r.arrived))).max(r.arrived)
    }

    /// Sends what is held, most worth first, and ends what can no longer be answered in time.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        if self.requests.held().is_empty() && !(self.set.cancel && self.requests.open_safe > 0) {
            return;
        }
        let Survey { on, able, mut probes, in_flight } = self.survey();
        if able > 0 && self.able > 0.0 {
            // Danger: half of the upstreams are gone, and the others get what all of them could carry.
            self.limit *= able as f64 / self.able;
            self.able = able as f64;
        }
        let mut in_flight = in_flight as f64;
        self.rescue(actions);
        // Among equals the newest first: under overload the oldest would all be answered too late.
        let held: Vec<Held> = self.requests.held().iter().copied().collect();
        if held.is_empty() {
            return;
        }
        // Danger: copies that each fill all workers queue at the servers together. Each takes its share.
        let share = |w: f64| (SHARE_ROOM * on as f64 * w.round() / self.set.balancers as f64).ceil();
        let known = self.workers.map_or(f64::INFINITY, share);
        let room = if self.verifies() { f64::MAX } else { known.min(self.limit) };
        let top = self.set.top_gain();
        let small = f64::from(u8::from(room < 1.0));
        let (mut waiting, mut closed) = (0, false);
        let mut trusts: Vec<Trusts> = vec![None; self.set.classes.len()];
        for r in held {
            let (id, worth, class) = (r.id, r.worth, r.class);
            // Danger: cheap calls fill a small room just before a dear one comes. The chance swing
            // of a full room (its root, half of it at most) is kept free, the more the less is at stake.
            let room = room - (room / 2.0).min(room.sqrt()) * (1.0 - worth / top);
            let full = in_flight >= room.max(1.0) + small || self.load() * small >= room;
            // What cannot be answered in time is not sent: for the first time, or again.
            let tried = !self.requests[&id].attempts.is_empty();
            let late = r.needs.is_infinite() || tried && self.now + self.set.tick >= r.aim_at;
            if !full && !closed && !late {
                let ready = self.ready_set(&self.requests[&id], &mut trusts[class.0]);
                // Nobody for a request that may go anywhere: nobody for those behind it.
                closed = ready.is_empty() && self.requests[&id].attempts.is_empty();
                // Danger: in overload all are busy and each held request would ask on and on. Past its part
                // it asks at the pace of answers; where workers are unknown too it goes unasked.
                let paid = self.probe_tokens >= 1.0;
                let unsure = self.verifies() && (paid || self.workers.is_some());
                if unsure && !ready.first().is_some_and(|(u, _)| self.verified(&self.upstreams[u])) {
                    waiting += 1;
                    if probes < waiting && (paid || self.now - self.last_probe > self.median / 4.0) {
                        // Busy ones are asked again only once their state may have turned.
                        let fresh = self.now - self.median / 4.0;
                        let old =
                            |u: &(UpstreamId, f64)| self.upstreams[&u.0].report.is_none_or(|r| r.1 < fresh);
                        let due: Vec<_> = ready.into_iter().filter(old).collect();
                        if let Some(u) = self.turn(&due, class) {
                            probes += 1;
                            (self.probe_tokens, self.last_probe) = (self.probe_tokens - 1.0, self.now);
                            self.upstreams.entry(u).and_modify(|u| u.probing = Some(self.now));
                            actions.push(Action::Probe(u));
                        }
                    }
                } else if let Some(u) = self.turn(&ready, class) {
                    if self.send(id, u, actions) {
                        in_flight += 1.0;
                        continue;
                    }
                }
            }
            if late || self.now >= self.give_up_at(&r) {
                self.end(id, actions);
            }
        }
        self.plan_wake(actions);
    }

    /// One wake-up at the next moment at which a held request needs a look.
    fn plan_wake(&mut self, actions: &mut Vec<Action>) {
        let held = self.requests.held().iter().map(|r| self.give_up_at(r));
        let Some(next) = held.min_by(f64::total_cmp) else { return };
        let look = self.now + (self.median / 8.0).max(self.set.tick);
        let next = next.max(self.now + self.set.tick).min(look);
        if next < self.next_wake {
            self.next_wake = next;
            actions.push(Action::Wake { after: next - self.now, token: 0 });
        }
    }

    /// The gate that every send passes: the four rules are kept here whatever the layers above say.
    fn send(&mut self, id: RequestId, to: UpstreamId, actions: &mut Vec<Action>) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let effect = self.set.classes[r.class.0].effect;
        let ran_at = r.attempts.iter().find(|a| a.may_have_run).map(|a| a.sent);
        let effect_ok = ran_at.is_none_or(|sent| effect.allows_repeat(self.now - sent));
        let one_out = self.set.duplicates || r.attempts.iter().all(|a| !a.out);
        let drained = self.upstreams.get(&to).is_none_or(|u| u.entry.condition != Condition::On);
        let attempt = r.attempts.len() as u32;
        let spent = attempt >= self.set.max_attempts || self.now >= r.deadline;
        if r.done || !effect_ok || !one_out || drained || spent {
            return false;
        }
        let gap = self.upstreams.get(&to).map_or(0.0, |u| self.cold_gap(u));
        self.requests.hold(id, false);
        let r = self.requests.get_mut(&id).expect("looked up above");
        let u = self.upstreams.get_mut(&to).expect("looked up above");
        u.cold_until = self.now + gap;
        let (entry, sent) = (u.entry, self.now);
        r.attempts.push(Attempt { entry, sent, out: true, may_have_run: true, withdrawn: false });
        u.sent(id, attempt, r.load(), self.now);
        self.add_load();
        let mut sent = self.upstreams.remove(&to).expect("looked up above");
        self.refresh_factor(&mut sent);
        self.upstreams.insert(to, sent);
        actions.push(Action::Send { id, upstream: to, patience: None });
        true
    }

    fn outcome(&mut self, o: &Outcome, actions: &mut Vec<Action>) {
        let Outcome { id, attempt, upstream, ending, elapsed, last, report } = *o;
        let request = self.requests.get(&id);
        let (class, load) = (request.map(|r| r.class), request.map_or(0.0, Request::load));
        let work = request.and_then(|r| r.work);
        let expected = work.and_then(|w| self.times[class?.0].at(w)).filter(|t| *t > 0.0);
        // Before the attempt is struck off: a report is older than the answer and still counts it.
        self.learn_report(upstream, report);
        let warm = self.upstreams.get(&upstream).is_some_and(|u| self.warmth(u) >= 1.0);
        if ending == Ending::Delivered && warm {
            self.served_at.push_back(self.now);
        }
        if let Some(u) = self.upstreams.get_mut(&upstream) {
            u.ended(id, attempt, load);
            if let (Some(time), Ending::Delivered | Ending::Expired) = (expected, ending) {
                u.learn_pace(elapsed / time);
            }
            let heard = matches!(ending, Ending::Delivered | Ending::AppError | Ending::Shed);
            u.heard = if heard { self.now } else { u.heard };
            match ending {
                Ending::Delivered => {
                    if u.fails > 0 {
                        // It may have restarted unheard: cold care for one window.
                        u.suspect_until = self.now + self.set.fall;
                    }
                    (u.fails, u.breaks) = (0, 0);
                    u.health += (1.0 - u.health) / 4.0;
                }
                Ending::Expired if elapsed > STALL * self.median && u.heard < self.now - elapsed => {
                    self.failed(upstream);
                }
                // Danger: a broken connection is not a broken upstream. One that is down breaks all of them.
                Ending::Dropped if u.breaks > 0 && u.heard < self.now - elapsed => self.failed(upstream),
                Ending::Expired | Ending::Dropped => {
                    u.breaks += u32::from(ending == Ending::Dropped);
                    u.health = (u.health * 0.75).max(0.1);
                }
                Ending::DialFailed => self.failed(upstream),
                Ending::AppError | Ending::Shed | Ending::Revoked | Ending::Unused => {}
            }
        }
        if let (Some(u), Some(class)) = (self.upstreams.get_mut(&upstream), class) {
            let failed = matches!(ending, Ending::AppError | Ending::Dropped | Ending::Shed);
            if failed || ending == Ending::Delivered {
                u.came_back(class, self.now, !failed);
            }
        }
        if let (Ending::Delivered | Ending::Expired, Some(class)) = (ending, class) {
            if let Some(work) = work {
                self.times[class.0].add(work, elapsed);
            }
            self.learn_time(class, elapsed);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(a) = r.attempts.get_mut(attempt as usize) {
            a.out = false;
            a.may_have_run &= !ending.never_ran();
        }
        if last || r.done {
            return self.finish(id);
        }
        if r.attempts.iter().any(|a| a.out) {
            return;
        }
        let effect = self.set.classes[r.class.0].effect;
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let again =
            (r.attempts.len() as u32) < self.set.max_attempts && self.now + self.set.tick < r.deadline;
        if again && (!ran || (effect != Effect::Unsafe && self.retry_tokens >= 1.0)) {
            self.retry_tokens -= if ran { 1.0 } else { 0.0 };
            self.requests.hold(id, true);
        } else {
            self.end(id, actions);
        }
    }

    /// Learns typical times (a running median) and the limit of requests in flight (slower: fewer).
    fn learn_time(&mut self, class: ClassId, elapsed: f64) {
        let elapsed = if elapsed.is_finite() { elapsed.max(0.0) } else { return };
        for m in [&mut self.typical[class.0], &mut self.median] {
            let step = 0.05 * *m;
            *m = if *m == 0.0 { elapsed } else { *m + step * (elapsed - *m).signum() };
        }
        let in_flight: usize = self.upstreams.values().map(|u| u.out.len()).sum();
        let floor = self.workers.map_or(FLOOR_EACH, |w| w / 2.0) * self.per_copy();
        let in_flight = if self.limit < 1.0 { self.load() } else { in_flight as f64 };
        let (typical, aim) = (self.typical[class.0], self.set.classes[class.0].aim);
        self.quickest[class.0] = (self.quickest[class.0] * FADES).min(typical);
        let queued = QUEUED * self.quickest[class.0];
        if typical > queued.clamp(CROWDED_PART[0] * aim, CROWDED_PART[1] * aim) {
            if self.now - self.last_cut > self.median {
                self.limit = (self.limit.min(in_flight + 1.0) * 0.9).max(floor);
                self.last_cut = self.now;
            }
        } else if 2.0 * in_flight > self.limit || self.limit < START_EACH * self.able {
            // Room that is not used says nothing about whether more of it would do.
            self.limit += 0.1;
        }
    }

    /// The final answer of a request that is not served: refused where that is harmless, else failed.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else { return };
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let effect = self.set.classes[r.class.0].effect;
        let harmless = !ran || matches!(effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        actions.push(if harmless {
            // Danger: late clients come again and crowd out those who can still be served in time.
            let wait = self.set.max_retry_after;
            Action::Refuse { id, retry_after: self.set.retry_after.then_some(wait) }
        } else {
            Action::Fail { id }
        });
        self.finish(id);
    }

    /// Nothing more is owed; the state goes once no attempt is out.
    fn finish(&mut self, id: RequestId) {
        self.requests.settle(id);
        let Some(r) = self.requests.get(&id) else { return };
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(&id);
        }
    }
}
