//! One random history: operators that change the configuration, faults, a final fault, and what the checker makes of it.

use crate::checker::{Checker, OrderId, SeenVersion, Violation};
use crate::cluster::{CallKey, Cluster, ClusterSettings, Observation};
use crate::faults::FaultInjector;
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::{OperatorAnswer, OperatorRequest};
use passrelay_dissemination::CommittedConfiguration;
use rand::seq::IndexedRandom;
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
/// Orders that are under way at one time, at most.
const OPEN_ORDERS: usize = 8;
/// Share of the answers to operators that are lost, usually and while hundreds of changes follow each other.
const LOST_ANSWERS: f64 = 0.2;
const LOST_ANSWERS_OF_MANY: f64 = 0.005;
/// What the names of services that tell an order begin with.
const ORDER_MARK: &str = "order-";

/// What a history brings about, beside faults of single machines within the tolerance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing besides.
    Mixed,
    /// Counted machines are cut off for up to 25 s, in every way, also half of them.
    LongCuts,
    /// Operators use the same number for different orders, and send what was taken again at any time later.
    Races,
    /// Machines are replaced, some of them come back, and another is lost soon after; all lose power at once.
    Repairs,
    /// Hundreds of changes, while a machine is dark, over narrow links.
    ManyChanges,
    /// Everything of the first seconds: kills, cuts and lost power before the system is founded.
    Bootstrap,
}

/// What a history is made of.
#[derive(Clone, Debug)]
pub struct HistorySettings {
    /// The machines and the network.
    pub cluster: ClusterSettings,
    /// What is brought about.
    pub scenario: Scenario,
    /// A lost machine counts as lost for this long after its return.
    pub catch_up: Duration,
    /// Length before the final fault.
    pub length: Duration,
    /// Bytes that fill the documents up.
    pub padding: usize,
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
    /// Where promises were broken: what each machine knew in the end.
    pub machines: Vec<String>,
}

#[derive(Clone, Debug)]
enum Purpose {
    Change { id: OrderId },
    Read { acknowledged: u64 },
}

struct OpenOrder {
    id: OrderId,
    order: ConfigurationChange,
    generation: u64,
    sent_at: Duration,
    call: Option<CallKey>,
    called_at: Duration,
}

struct History {
    settings: HistorySettings,
    cluster: Cluster,
    checker: Checker,
    faults: FaultInjector,
    calls: BTreeMap<CallKey, Purpose>,
    next_order: u64,
    open: Vec<OpenOrder>,
    /// Orders that were acknowledged.
    taken: Vec<(OrderId, ConfigurationChange, u64)>,
    known: u64,
    outcome: Outcome,
    last_read: Option<u64>,
    /// Where racing operators call more often than elsewhere.
    favourite: usize,
    /// The last fault is over.
    calm: bool,
    /// Share of the answers to operators that are lost.
    lost_answers: f64,
    /// Bytes that fill the documents up.
    padding: usize,
}

/// Plays a history.
pub fn play(settings: &HistorySettings) -> Outcome {
    let mut history = History {
        cluster: Cluster::new(settings.cluster.clone()),
        checker: Checker::default(),
        faults: FaultInjector::new(settings.cluster.tolerated_losses, settings.catch_up),
        calls: BTreeMap::new(),
        next_order: 1,
        open: Vec::new(),
        taken: Vec::new(),
        known: 0,
        outcome: Outcome::default(),
        last_read: None,
        favourite: settings.cluster.machines - 1,
        calm: false,
        lost_answers: LOST_ANSWERS,
        padding: settings.padding,
        settings: settings.clone(),
    };
    if settings.scenario == Scenario::Bootstrap {
        history.disturbed_founding();
    } else {
        history.advance(LEAD);
    }
    if settings.scenario == Scenario::ManyChanges {
        history.many_changes();
    }
    let until = history.cluster.now() + settings.length;
    while history.cluster.now() < until {
        history.live();
    }
    history.final_fault();
    history.read_back();
    history.checker.end();
    if !history.checker.violations.is_empty() {
        history.outcome.machines = (0..history.cluster.len()).map(|m| history.cluster.describe(m)).collect();
    }
    history.outcome.violations = history.checker.violations;
    history.outcome
}

impl History {
    /// A little while: an order now and then, a fault now and then.
    fn live(&mut self) {
        let racing = self.settings.scenario == Scenario::Races;
        if self.cluster.rng.random_bool(if racing { 0.3 } else { 0.15 }) && self.open.len() < OPEN_ORDERS {
            self.order();
            if self.cluster.rng.random_bool(if racing { 0.6 } else { 0.25 }) {
                self.order();
            }
        }
        if self.cluster.rng.random_bool(0.05) {
            self.read();
        }
        if self.cluster.rng.random_bool(if racing { 0.1 } else { 0.02 }) {
            self.send_taken_again();
        }
        self.disturb();
        let until = self.cluster.now() + LOOK_EVERY;
        self.advance(until);
    }

    fn disturb(&mut self) {
        if self.cluster.rng.random_bool(0.06) {
            self.faults.inject(&mut self.cluster);
        }
        match self.settings.scenario {
            Scenario::LongCuts if self.cluster.rng.random_bool(0.01) => {
                self.faults.inject_long_partition(&mut self.cluster);
            }
            Scenario::Repairs if self.cluster.rng.random_bool(0.02) => {
                self.faults.inject_returning_voter(&mut self.cluster);
            }
            Scenario::Repairs if self.cluster.rng.random_bool(0.006) => {
                self.faults.inject_only_replica_loss(&mut self.cluster);
            }
            Scenario::Races if self.cluster.rng.random_bool(0.04) => {
                self.faults.inject_quick_restart(&mut self.cluster, self.favourite);
            }
            Scenario::Races if self.cluster.rng.random_bool(0.02) => {
                self.favourite = self.cluster.rng.random_range(0..self.cluster.len());
            }
            Scenario::Repairs | Scenario::Races if self.cluster.rng.random_bool(0.004) => {
                let everybody = self.cluster.rng.random_bool(0.5);
                self.faults.inject_outage(&mut self.cluster, everybody);
            }
            _ => {}
        }
    }

    /// Kills, lost power, cuts and freezes until the system has been founded for a while. One disk may be lost: two of
    /// the three seeds lost for good before there is a record leave nobody who may found, and nothing to lose.
    fn disturbed_founding(&mut self) {
        self.faults.bound_disk_losses(Some(1));
        let until = Duration::from_millis(self.cluster.rng.random_range(500..9_000));
        while self.cluster.now() < until {
            if self.cluster.rng.random_bool(0.1) {
                let everybody = self.cluster.rng.random_bool(0.3);
                self.faults.inject_outage(&mut self.cluster, everybody);
            }
            if self.cluster.rng.random_bool(0.05) {
                self.faults.inject_network_split(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.15) {
                self.faults.inject(&mut self.cluster);
            }
            if self.cluster.rng.random_bool(0.2) && self.open.len() < OPEN_ORDERS {
                self.order();
            }
            let next = self.cluster.now() + LOOK_EVERY;
            self.advance(next);
        }
        // Faults of this time may overlap beyond the tolerance: everything has to come back before others begin.
        let calm = self.faults.recovered_at().max(self.cluster.now()) + LEAD;
        self.advance(calm);
        self.faults.bound_disk_losses(None);
    }

    /// Hundreds of changes in a row, a machine dark through them; when it is back it holds the newest state in time.
    fn many_changes(&mut self) {
        let changes = if self.settings.cluster.seed % 8 == 0 { 1_500 } else { 300 };
        let dark = (0..self.cluster.len()).filter(|m| self.cluster.is_voter(*m)).collect::<Vec<_>>();
        let dark = dark.choose(&mut self.cluster.rng).copied().unwrap_or(0);
        self.cluster.crash(dark);
        self.lost_answers = LOST_ANSWERS_OF_MANY;
        let give_up = self.cluster.now() + Duration::from_secs(1_200);
        while self.taken.len() < changes && self.cluster.now() < give_up {
            if self.open.is_empty() {
                self.order();
            }
            let next = self.cluster.now() + Duration::from_millis(5);
            self.advance_to(next);
        }
        if self.taken.len() < changes {
            self.checker.violations.push(Violation::Unacknowledged(OrderId(self.next_order)));
        }
        self.lost_answers = LOST_ANSWERS;
        self.cluster.start_after(dark, Duration::ZERO);
        let back = self.cluster.now() + self.settings.catch_up;
        self.advance(back);
        let index = |m: usize| {
            let held = self.cluster.process(m).and_then(|p| p.replica()).map(|r| r.state().version.index);
            held.unwrap_or(0)
        };
        let newest = (0..self.cluster.len()).map(index).max().unwrap_or(0);
        if index(dark) < newest {
            self.checker.violations.push(Violation::NotCaughtUp(dark));
        }
    }

    fn advance(&mut self, until: Duration) {
        while self.cluster.now() < until {
            let next = (self.cluster.now() + LOOK_EVERY).min(until);
            self.advance_to(next);
        }
    }

    fn advance_to(&mut self, until: Duration) {
        while let Some(seen) = self.cluster.step(until) {
            self.take(seen);
        }
        self.look();
        self.faults.heal(&mut self.cluster);
        self.call_again();
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

    /// An order on the version that this operator knows. Racing operators choose the same number more often than not.
    fn order(&mut self) {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let base = self.known;
        let most = if self.settings.scenario == Scenario::Races { 2 } else { 5 };
        let generation = base + self.cluster.rng.random_range(1..=most);
        let document = json!({
            "generation": generation,
            "routes": [],
            "services": [{ "name": "s" }, { "name": format!("{ORDER_MARK}{}", id.0) }],
            "note": "x".repeat(self.padding),
        });
        let order =
            ConfigurationChange { kind: ChangeKind::Replace, base, body: document.to_string().into() };
        let now = self.cluster.now();
        self.checker.ordered(now, id, generation, base);
        self.open.push(OpenOrder {
            id,
            order,
            generation,
            sent_at: now,
            call: None,
            called_at: Duration::ZERO,
        });
    }

    /// An order that was acknowledged some time ago goes out once more, as after a lost answer.
    fn send_taken_again(&mut self) {
        let Some((id, order, generation)) = self.taken.choose(&mut self.cluster.rng).cloned() else { return };
        if self.open.iter().all(|open| open.id != id) && self.open.len() < OPEN_ORDERS {
            let sent_at = self.cluster.now();
            self.open.push(OpenOrder {
                id,
                order,
                generation,
                sent_at,
                call: None,
                called_at: Duration::ZERO,
            });
        }
    }

    /// Orders without a clear answer are sent again, to any machine.
    fn call_again(&mut self) {
        let now = self.cluster.now();
        let idle = |open: &OpenOrder| {
            open.call.is_none() || now.saturating_sub(open.called_at) >= Duration::from_secs(1)
        };
        let due: Vec<(OrderId, ConfigurationChange)> =
            self.open.iter().filter(|o| idle(o)).map(|o| (o.id, o.order.clone())).collect();
        for (id, order) in due {
            let call = self.call(Purpose::Change { id }, OperatorRequest::Change(order));
            // The answer may have come at once.
            if let Some(open) = self.open.iter_mut().find(|o| o.id == id) {
                open.call = call;
                open.called_at = now;
            }
        }
    }

    fn read(&mut self) {
        let acknowledged = self.checker.newest_acknowledged();
        self.call(Purpose::Read { acknowledged }, OperatorRequest::Read);
    }

    fn call(&mut self, purpose: Purpose, request: OperatorRequest) -> Option<CallKey> {
        let racing = self.settings.scenario == Scenario::Races;
        let machine = match self.cluster.rng.random_bool(0.5) && racing {
            true => self.favourite,
            false => self.cluster.rng.random_range(0..self.cluster.len()),
        };
        let (call, seen) = self.cluster.call(machine, request)?;
        self.calls.insert(call, purpose);
        self.take(seen);
        Some(call)
    }

    fn take(&mut self, seen: Vec<Observation>) {
        for one in seen {
            match one {
                Observation::Configured { machine, incarnation, configuration } => {
                    let order = version_of(&configuration).order;
                    self.checker.configured(machine, incarnation, &configuration, order);
                }
                Observation::Answered { call, answer } => self.answered(call, &answer),
                Observation::Granted { .. } | Observation::Confirmed { .. } => {}
            }
        }
    }

    fn answered(&mut self, call: CallKey, answer: &OperatorAnswer) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        // Some answers are lost on their way, but none once the system is to be calm.
        if self.cluster.rng.random_bool(self.lost_answers) && !self.calm {
            return;
        }
        match purpose {
            Purpose::Change { id } => self.order_answered(id, answer),
            Purpose::Read { acknowledged } if matches!(answer.status, 200 | 404) => {
                let read = version_in(&answer.body);
                self.checker.read(acknowledged, read);
                self.known = self.known.max(read.generation);
                self.last_read = Some(read.generation);
            }
            Purpose::Read { .. } => {}
        }
    }

    fn order_answered(&mut self, id: OrderId, answer: &OperatorAnswer) {
        let clear = matches!(answer.status, 200 | 400 | 412);
        let now = self.cluster.now();
        let Some(index) = self.open.iter().position(|o| o.id == id) else { return };
        if !clear {
            self.open[index].call = None;
            // Nobody waits for ever for an order that is too old to be judged.
            if self.checker.is_acknowledged(id) && self.cluster.rng.random_bool(0.1) {
                self.open.remove(index);
            }
            return;
        }
        let acknowledged = answer.status == 200;
        let first = acknowledged && !self.checker.is_acknowledged(id);
        self.checker.answered(now, id, acknowledged);
        // An acknowledged order is now and then sent once more, all the same.
        if acknowledged && self.cluster.rng.random_bool(0.2) {
            self.open[index].call = None;
        } else {
            let open = self.open.remove(index);
            if first {
                self.outcome.slowest = self.outcome.slowest.max(now.saturating_sub(open.sent_at));
            }
            if acknowledged && !self.taken.iter().any(|(taken, ..)| *taken == id) {
                self.known = self.known.max(open.generation);
                self.taken.push((id, open.order, open.generation));
                self.outcome.acknowledged += 1;
            }
        }
        if !acknowledged {
            self.read();
        }
    }

    /// Everybody loses power, or as many disks as are tolerated are lost while the others lose power.
    fn final_fault(&mut self) {
        // In half of the histories what was lost before has come back.
        if self.cluster.rng.random_bool(0.5) {
            let calm = self.faults.recovered_at().max(self.cluster.now());
            self.advance(calm + Duration::from_millis(100));
        }
        self.order();
        let until = self.cluster.now() + Duration::from_millis(self.cluster.rng.random_range(1..60));
        self.advance(until);
        let mut wiped = if self.cluster.rng.random_bool(0.5) { self.faults.losses_left() } else { 0 };
        for machine in 0..self.cluster.len() {
            if !self.cluster.runs(machine) {
                continue;
            }
            self.cluster.crash(machine);
            if wiped > 0 && self.cluster.is_voter(machine) && self.cluster.rng.random_bool(0.6) {
                self.cluster.wipe(machine);
                wiped -= 1;
            }
            let pause = Duration::from_millis(self.cluster.rng.random_range(500..900));
            self.cluster.start_after(machine, pause);
        }
    }

    /// After the final fault the newest acknowledged configuration has to be read, and a new order be taken.
    fn read_back(&mut self) {
        // What overlaps beyond the tolerance may keep the service resting until all are back.
        let until = self.faults.recovered_at().max(self.cluster.now() + ACKNOWLEDGE_WITHIN);
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
        let id = OrderId(self.next_order);
        self.order();
        let until = self.cluster.now() + ACKNOWLEDGE_WITHIN;
        self.advance(until);
        if !self.checker.is_acknowledged(id) {
            self.checker.violations.push(Violation::Unacknowledged(id));
        }
    }
}

fn version_of(configuration: &CommittedConfiguration) -> SeenVersion {
    version_in(&configuration.document)
}

/// The number of a document and the order that its services tell.
fn version_in(document: &str) -> SeenVersion {
    let document: Value = serde_json::from_str(document).unwrap_or_default();
    let services = document.get("services").and_then(Value::as_array);
    let names = services.into_iter().flatten().filter_map(|s| s.get("name").and_then(Value::as_str));
    let order = names.filter_map(|name| name.strip_prefix(ORDER_MARK)?.parse().ok()).next().map(OrderId);
    SeenVersion { generation: document.get("generation").and_then(Value::as_u64).unwrap_or(0), order }
}
