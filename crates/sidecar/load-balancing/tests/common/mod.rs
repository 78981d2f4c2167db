//! A small driver around the public API.
#![allow(dead_code)]

use passrelay_load_balancing::*;

pub fn entry(id: u64) -> Entry {
    Entry { upstream: UpstreamId(id), zone: ZoneId(0), cell: 0, condition: Condition::Running, started: None }
}

pub fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![Class { effect, ..Class::default() }], ..Settings::default() }
}

/// A balancer with a clock and the actions of the last event.
pub struct Rig {
    pub balancer: Balancer,
    pub now: f64,
    pub next: u64,
}

impl Rig {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Self {
        let mut rig = Rig { balancer: Balancer::new(settings, 1, 0.0).unwrap(), now: 0.0, next: 0 };
        rig.at(0.0, Event::FullList(entries));
        rig
    }

    pub fn at(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        actions
    }

    /// Submits a request of class 0 and returns its id with the actions.
    pub fn submit(&mut self, now: f64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let event =
            Event::Request { id, class: ClassId(0), tenant: None, ttl: 2.0, work_hint: None, repeat: false };
        let actions = self.at(now, event);
        (id, actions)
    }

    pub fn end(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
    ) -> Vec<Action> {
        self.end_with(now, id, attempt, to, ending, None)
    }

    pub fn end_with(
        &mut self,
        now: f64,
        id: RequestId,
        attempt: u32,
        to: UpstreamId,
        ending: Ending,
        report: Option<Report>,
    ) -> Vec<Action> {
        let last = ending == Ending::Delivered;
        self.at(
            now,
            Event::Outcome(Outcome { id, attempt, upstream: to, ending, elapsed: 0.1, last, report }),
        )
    }
}

/// Where the first send among the actions goes.
pub fn sent(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|a| match a {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count()
}
