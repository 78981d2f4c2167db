//! One random history: operators that change the configuration, faults within the tolerance, a final fault, and what
//! the checker makes of it.

use crate::checker::{Checker, Violation};
use crate::cluster::{Cluster, ClusterSettings, Seen};
use crate::disk::DiskMutant;
use crate::faults::FaultInjector;
use passrelay_control_plane::orders::{Order, OrderKind};
use passrelay_control_plane::replication::ProtocolFault;
use passrelay_control_plane::{CallId, OperatorAnswer, OperatorRequest};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time until the first order.
const LEAD: Duration = Duration::from_secs(4);
/// Time in which a calm system has to acknowledge.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_secs(6);
/// Pause between looks at what the processes hold.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What a history is made of.
#[derive(Clone, Debug)]
pub struct HistorySettings {
    /// Machines that count.
    pub counted: usize,
    /// All machines.
    pub machines: usize,
    /// Counted machines that may be lost at one time.
    pub tolerated_losses: usize,
    /// A lost machine counts as lost for this long after its return.
    pub catch_up: Duration,
    /// Length before the final fault.
    pub length: Duration,
    /// Share of messages lost.
    pub loss: f64,
    /// Fault of all disks, for checking the checker.
    pub mutant: Option<DiskMutant>,
    /// Fault of all members, for checking the checker.
    pub fault: Option<ProtocolFault>,
    /// Seed of all chance.
    pub seed: u64,
}

/// What came of a history.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Promises broken.
    pub violations: Vec<Violation>,
    /// Orders acknowledged.
    pub acknowledged: usize,
    /// Longest time from the sending of an order to its acknowledgement.
    pub slowest: Duration,
}

#[derive(Clone, Debug)]
enum Purpose {
    Change { generation: u64 },
    Read { acknowledged: u64 },
}

struct OpenOrder {
    order: Order,
    generation: u64,
    sent_at: Duration,
    call: Option<CallId>,
    called_at: Duration,
}

struct History {
    cluster: Cluster,
    checker: Checker,
    faults: FaultInjector,
    calls: BTreeMap<CallId, Purpose>,
    next_call: u64,
    next_generation: u64,
    open: Vec<OpenOrder>,
    known: u64,
    outcome: Outcome,
    last_read: Option<u64>,
    /// The last fault is over.
    calm: bool,
}

/// Plays a history.
pub fn play(settings: &HistorySettings) -> Outcome {
    let cluster = Cluster::new(ClusterSettings {
        counted: settings.counted,
        machines: settings.machines,
        tolerated_losses: settings.tolerated_losses,
        delay: Duration::from_micros(500),
        loss: settings.loss,
        mutant: settings.mutant,
        fault: settings.fault,
        gossip_fault: None,
        seed: settings.seed,
    });
    let mut history = History {
        cluster,
        checker: Checker::default(),
        faults: FaultInjector::new(settings.tolerated_losses, settings.catch_up),
        calls: BTreeMap::new(),
        next_call: 1,
        next_generation: 1,
        open: Vec::new(),
        known: 0,
        outcome: Outcome::default(),
        last_read: None,
        calm: false,
    };
    history.advance(LEAD);
    let until = LEAD + settings.length;
    while history.cluster.now() < until {
        history.live();
    }
    history.final_fault();
    history.read_back();
    history.checker.end();
    history.outcome.violations = history.checker.violations;
    history.outcome
}

impl History {
    /// A little while: an order now and then, a fault now and then.
    fn live(&mut self) {
        if self.cluster.rng.random_bool(0.15) && self.open.len() < 3 {
            self.order();
            if self.cluster.rng.random_bool(0.25) {
                self.order();
            }
        }
        if self.cluster.rng.random_bool(0.05) {
            self.read();
        }
        if self.cluster.rng.random_bool(0.06) {
            self.faults.inject(&mut self.cluster);
        }
        let until = self.cluster.now() + LOOK_EVERY;
        self.advance(until);
    }

    fn advance(&mut self, until: Duration) {
        while self.cluster.now() < until {
            let next = (self.cluster.now() + LOOK_EVERY).min(until);
            while let Some(seen) = self.cluster.step(next) {
                self.take(seen);
            }
            self.look();
            self.faults.heal(&mut self.cluster);
            self.call_again();
        }
    }

    fn look(&mut self) {
        for machine in 0..self.cluster.len() {
            let Some(process) = self.cluster.process(machine) else { continue };
            let generation = process.gossip().configuration().map_or(0, |c| c.generation);
            if let Some(fresh_at) = self.cluster.fresh_at(machine) {
                self.checker.fresh(machine, generation, fresh_at);
            }
        }
    }

    fn order(&mut self) {
        let generation = self.next_generation;
        self.next_generation += self.cluster.rng.random_range(1..4);
        let base = self.known;
        let document = json!({ "generation": generation, "routes": [], "services": [{ "name": "s" }] });
        let order = Order { kind: OrderKind::Replace, base, body: document.to_string().into() };
        let now = self.cluster.now();
        self.checker.ordered(now, generation, base);
        self.open.push(OpenOrder { order, generation, sent_at: now, call: None, called_at: Duration::ZERO });
    }

    /// Orders without a clear answer are sent again, to any machine.
    fn call_again(&mut self) {
        let now = self.cluster.now();
        let idle = |open: &OpenOrder| {
            open.call.is_none() || now.saturating_sub(open.called_at) >= Duration::from_secs(1)
        };
        let due: Vec<(u64, Order)> =
            self.open.iter().filter(|o| idle(o)).map(|o| (o.generation, o.order.clone())).collect();
        for (generation, order) in due {
            let call = self.call(Purpose::Change { generation }, OperatorRequest::Change(order));
            // The answer may have come at once.
            if let Some(open) = self.open.iter_mut().find(|o| o.generation == generation) {
                open.call = call;
                open.called_at = now;
            }
        }
    }

    fn read(&mut self) {
        let acknowledged = self.checker.newest_acknowledged();
        self.call(Purpose::Read { acknowledged }, OperatorRequest::Read);
    }

    fn call(&mut self, purpose: Purpose, request: OperatorRequest) -> Option<CallId> {
        let machine = self.cluster.rng.random_range(0..self.cluster.len());
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        let seen = self.cluster.call(machine, call, request)?;
        self.take(seen);
        Some(call)
    }

    fn take(&mut self, seen: Vec<Seen>) {
        for one in seen {
            match one {
                Seen::Configured { machine, incarnation, configuration } => {
                    self.checker.configured(machine, incarnation, &configuration);
                }
                Seen::Answered { call, answer } => self.answered(call, &answer),
                Seen::Granted { .. } => {}
            }
        }
    }

    fn answered(&mut self, call: CallId, answer: &OperatorAnswer) {
        // Some answers are lost on their way, but none once the system is to be calm.
        if self.cluster.rng.random_bool(0.2) && !self.calm {
            return;
        }
        match self.calls.remove(&call) {
            Some(Purpose::Change { generation }) => self.order_answered(generation, answer),
            Some(Purpose::Read { acknowledged }) if matches!(answer.status, 200 | 404) => {
                let document: Value = serde_json::from_str(&answer.body).unwrap_or_default();
                let generation = document.get("generation").and_then(Value::as_u64).unwrap_or(0);
                self.checker.read(acknowledged, generation);
                self.known = self.known.max(generation);
                self.last_read = Some(generation);
            }
            _ => {}
        }
    }

    fn order_answered(&mut self, generation: u64, answer: &OperatorAnswer) {
        let clear = matches!(answer.status, 200 | 400 | 412);
        let now = self.cluster.now();
        let Some(index) = self.open.iter().position(|o| o.generation == generation) else { return };
        if !clear {
            self.open[index].call = None;
            return;
        }
        let acknowledged = answer.status == 200;
        self.checker.answered(now, generation, acknowledged);
        // An acknowledged order is now and then sent once more, all the same.
        if acknowledged && self.cluster.rng.random_bool(0.2) {
            self.open[index].call = None;
        } else {
            let open = self.open.remove(index);
            if acknowledged {
                self.outcome.acknowledged += 1;
                self.outcome.slowest = self.outcome.slowest.max(now.saturating_sub(open.sent_at));
            }
        }
        if acknowledged {
            self.known = self.known.max(generation);
        } else {
            self.read();
        }
    }

    /// Everybody loses power, or as many disks as are tolerated are lost while the others lose power.
    fn final_fault(&mut self) {
        // In half of the histories what was lost before has come back.
        if self.cluster.rng.random_bool(0.5) {
            let calm = self.faults.calm_at().max(self.cluster.now());
            self.advance(calm + Duration::from_millis(100));
        }
        self.order();
        let until = self.cluster.now() + Duration::from_millis(self.cluster.rng.random_range(1..60));
        self.advance(until);
        let mut wiped = if self.cluster.rng.random_bool(0.5) { self.faults.left() } else { 0 };
        for machine in 0..self.cluster.len() {
            if !self.cluster.runs(machine) {
                continue;
            }
            self.cluster.crash(machine);
            if wiped > 0 && self.cluster.counts(machine) && self.cluster.rng.random_bool(0.6) {
                self.cluster.wipe(machine);
                wiped -= 1;
            }
            let pause = Duration::from_millis(self.cluster.rng.random_range(500..900));
            self.cluster.start_after(machine, pause);
        }
    }

    /// After the final fault the newest acknowledged configuration has to be read, and a new order be taken.
    fn read_back(&mut self) {
        let until = self.cluster.now() + ACKNOWLEDGE_WITHIN;
        self.advance(until);
        self.last_read = None;
        self.calm = true;
        for _ in 0..40 {
            self.read();
            let until = self.cluster.now() + Duration::from_millis(100);
            self.advance(until);
        }
        if self.last_read.is_none() {
            self.checker.violations.push(Violation::Unreadable);
        }
        self.open.clear();
        self.order();
        let generation = self.open.last().map_or(0, |o| o.generation);
        let until = self.cluster.now() + ACKNOWLEDGE_WITHIN;
        self.advance(until);
        if self.checker.newest_acknowledged() < generation {
            self.checker.violations.push(Violation::Unacknowledged(generation));
        }
    }
}
