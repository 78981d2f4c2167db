//! One process: what its tasks share, and the loops that drive the deciders.

use crate::client_connections::ClientConnections;
use crate::graceful_shutdown::PlannedEnd;
use crate::settings::{NodeSettings, SettingsError};
use crate::storage::{DiskEvent, Opened, Storage};
use crate::transport::{read_frame, Transport};
use crate::upstream::Pool;
use crate::{client_listener, control_api, signals};
use event_listener::Event;
use passrelay_configuration::{parse_document, Configuration};
use passrelay_control_plane::load::LoadMessage;
use passrelay_control_plane::quota::{QuotaMessage, TenantGrant, TenantKey, GRANT_LIFETIME};
use passrelay_control_plane::replication::{Member, ReplicaSettings};
use passrelay_control_plane::{
    Action, CallId, Coordinator, CoordinatorSettings, OperatorAnswer, OperatorRequest,
};
use passrelay_data_plane::balancer::Balancer;
use passrelay_data_plane::quota::{Grant, Question, QuotaShares};
use passrelay_data_plane::retry_budget::RetryBudget;
use passrelay_data_plane::routing::RoutingTable;
use passrelay_data_plane::traffic_split::TrafficSplits;
use passrelay_dissemination::{
    Announcement, CommittedConfiguration, EndpointLoad, EndpointState, GossipSettings, Heartbeat, Incarnation,
};
use smol::channel::Sender;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time without the primary after which another is elected, at least.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(320);
/// Pause between questions for quota ahead of demand.
const QUOTA_EVERY: Duration = Duration::from_millis(100);
/// Margin of the freshness check under the bound: a request needs time to reach its endpoint.
const REVOKE_MARGIN: Duration = Duration::from_millis(600);
/// A sidecar calls itself not ready this much before its requests would be refused.
const READY_MARGIN: Duration = Duration::from_millis(700);
/// Pause between accounts of the load to the primary, and what each sidecar adds to it.
const LOAD_EVERY: Duration = Duration::from_millis(50);
const LOAD_EVERY_PER_SIDECAR: Duration = Duration::from_millis(2);
/// Pause between looks whether the endpoints on disk are those that are known.
const KEEP_EVERY: Duration = Duration::from_millis(1_000);
/// An endpoint that says that it leaves is told to ask another sidecar after this; it waits for a second itself.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(800);
/// Pause between lines with the status in the log.
const STATUS_EVERY: Duration = Duration::from_secs(10);

/// Why a process ends with an error.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are faulty.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The system refuses a socket, a thread or a signal.
    #[error("{what}: {source}")]
    System {
        /// What was asked for.
        what: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
}

fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> NodeError {
    move |source| NodeError::System { what, source }
}

/// A configuration as the request path reads it.
pub struct Snapshot {
    /// Routes, services, keys.
    pub table: RoutingTable,
    /// Position among all committed changes.
    pub index: u64,
}

/// What the tasks of one process share.
pub struct Node {
    /// The executor of all tasks.
    pub executor: &'static LocalExecutor<'static>,
    /// What the process was told.
    pub settings: RefCell<NodeSettings>,
    /// Endpoints as seen here.
    pub balancer: RefCell<Balancer>,
    /// Repeats that may still be sent.
    pub budget: RefCell<RetryBudget>,
    /// Whose turn it is on routes that are split.
    pub splits: RefCell<TrafficSplits>,
    /// Tokens held of tenants' quotas.
    pub quota: RefCell<QuotaShares>,
    /// Tells requests that wait for tokens that some may have come.
    pub quota_granted: Event,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Connections of clients.
    pub clients: ClientConnections,
    started: Instant,
    coordinator: RefCell<Coordinator>,
    transport: Transport,
    storage: RefCell<Option<Storage>>,
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    registry_revision: Cell<u64>,
    /// Revision of the registry that is on disk.
    kept_revision: Cell<u64>,
    calls: RefCell<HashMap<CallId, Sender<OperatorAnswer>>>,
    next_call: Cell<u64>,
    /// Announcements that wait for the core's word.
    announcements: RefCell<HashMap<Announcement, Sender<()>>>,
    planned_end: Cell<Option<PlannedEnd>>,
    /// Tells requests under way that the end is planned.
    end_planned: Event,
    /// The account of the load that was sent last, and its number.
    told_load: RefCell<(u64, Vec<EndpointLoad>)>,
    /// Sidecars that tell the primary their loads.
    sidecars: Cell<u32>,
}

impl Node {
    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Whether SIGTERM has come.
    pub fn is_draining(&self) -> bool {
        self.planned_end.get().is_some()
    }

    /// From now on this process only finishes what it has.
    pub fn begin_draining(&self, end: PlannedEnd) {
        self.planned_end.set(Some(end));
        self.end_planned.notify(usize::MAX);
    }

    /// Whether a request whose time is over at `deadline` may be sent on now: always, unless the process is to end
    /// before that.
    pub fn may_begin(&self, deadline: Duration) -> bool {
        self.planned_end.get().is_none_or(|end| end.takes(self.now(), deadline))
    }

    /// Waits until a request whose time is over at `deadline` has to have an answer: its deadline, or the end of this
    /// process where that comes first.
    pub async fn until_answer_due(&self, deadline: Duration) {
        loop {
            let end_planned = self.end_planned.listen();
            let due = self.planned_end.get().map_or(deadline, |end| deadline.min(end.last_answers_at()));
            let left = due.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            let over = async {
                Timer::after(left).await;
            };
            smol::future::or(over, end_planned).await;
        }
    }

    /// Whether requests with keys may be sent: the configuration is known to be current lately enough.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh_within(REVOKE_MARGIN)
    }

    fn is_fresh_within(&self, margin: Duration) -> bool {
        let settings = self.settings.borrow();
        if !settings.strict_revocation {
            return true;
        }
        let most = settings.revoke.saturating_sub(margin);
        let now = self.now();
        self.coordinator.borrow().gossip().fresh_at().is_some_and(|at| now.saturating_sub(at) < most)
    }

    /// Whether clients may come.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.can_serve() && self.is_fresh_within(REVOKE_MARGIN + READY_MARGIN)
    }

    /// Whether requests can be sent on: a current configuration and endpoints are known.
    pub fn can_serve(&self) -> bool {
        self.snapshot.borrow().is_some() && self.balancer.borrow().has_ready() && self.is_fresh()
    }

    /// A short account as JSON.
    pub fn status(&self) -> String {
        let status = self.coordinator.borrow().status(self.now());
        let mut account = serde_json::to_value(&status).unwrap_or_default();
        account["frames_dropped"] = self.transport.dropped().into();
        account.to_string()
    }

    /// Takes other seeds after the settings have changed.
    pub fn reload(&self) {
        match NodeSettings::from_environment() {
            Ok(settings) => {
                self.coordinator.borrow_mut().set_seeds(settings.internal_seeds());
                *self.settings.borrow_mut() = settings;
                log::info!("event=reloaded");
            }
            Err(e) => log::error!("event=reload_failed problem=\"{e}\""),
        }
    }

    /// An operator's call; the answer comes through the channel.
    pub fn operator_call(
        self: &Rc<Self>,
        request: OperatorRequest,
    ) -> smol::channel::Receiver<OperatorAnswer> {
        let (answer, receiver) = smol::channel::bounded(1);
        let call = CallId(self.next_call.get());
        self.next_call.set(call.0 + 1);
        self.calls.borrow_mut().insert(call, answer);
        self.drive(|c, now, actions| c.operator_call(now, call, request, actions));
        receiver
    }

    /// A heartbeat of an endpoint. Whether it may be acknowledged: that an endpoint drains binds all sidecars once it is,
    /// so the core has to know of it first.
    pub async fn heartbeat(self: &Rc<Self>, beat: &Heartbeat) -> bool {
        self.drive(|c, now, actions| c.heartbeat(now, beat, actions));
        beat.record.state != EndpointState::Draining || self.is_known_to_core(&beat.record.id).await
    }

    /// An endpoint has ended as planned, or is about to. Whether that may be acknowledged; of an endpoint that is not
    /// known here nobody could be told.
    pub async fn leave(self: &Rc<Self>, id: &str) -> bool {
        self.drive(|c, now, actions| c.leave(now, id, actions));
        let known = self.coordinator.borrow().gossip().registry().knows(id);
        known && self.is_known_to_core(id).await
    }

    /// Waits until the core knows what is known here of an endpoint; false if it doesn't say so soon.
    async fn is_known_to_core(self: &Rc<Self>, id: &str) -> bool {
        let (confirmed, confirmation) = smol::channel::bounded(1);
        let announcement = self.drive(|c, now, _| {
            let announcement = c.announce(now, id);
            self.announcements.borrow_mut().insert(announcement, confirmed);
            announcement
        });
        let late = async {
            Timer::after(CONFIRM_PATIENCE).await;
            false
        };
        let known = smol::future::or(async { confirmation.recv().await.is_ok() }, late).await;
        self.announcements.borrow_mut().remove(&announcement);
        known
    }

    /// Asks the grantor for the tokens that are wanted now.
    pub fn ask_for_quota(self: &Rc<Self>) {
        let question = self.quota.borrow_mut().question(self.now());
        let Some(Question { request_id, wanted, overdrawn }) = question else { return };
        let keyed = |all: Vec<(u64, u64)>| all.into_iter().map(|(key, n)| (TenantKey(key), n)).collect();
        let message =
            QuotaMessage::Request { request_id, wanted: keyed(wanted), overdrawn: keyed(overdrawn) };
        self.drive(|c, now, actions| c.request_tokens(now, message, actions));
    }

    /// Has the coordinator do something and carries its actions out.
    fn drive<T>(self: &Rc<Self>, act: impl FnOnce(&mut Coordinator, Duration, &mut Vec<Action>) -> T) -> T {
        let mut actions = Vec::new();
        let now = self.now();
        let result = {
            let mut coordinator = self.coordinator.borrow_mut();
            let result = act(&mut coordinator, now, &mut actions);
            coordinator.tick(now, &mut actions);
            result
        };
        for action in actions {
            self.carry_out(action);
        }
        self.follow_registry();
        result
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, envelope } => self.transport.send(self.executor, to, envelope),
            Action::Write { write_id, write } => {
                if let Some(storage) = &*self.storage.borrow() {
                    storage.write(write_id, write);
                }
            }
            Action::Configured(configuration) => self.configure(&configuration),
            Action::Answer { call, answer } => {
                if let Some(waiting) = self.calls.borrow_mut().remove(&call) {
                    let _ = waiting.try_send(answer);
                }
            }
            Action::AnnouncementConfirmed(announcement) => {
                if let Some(waiting) = self.announcements.borrow_mut().remove(&announcement) {
                    let _ = waiting.try_send(());
                }
            }
            Action::QuotaGranted(grant) => self.take_grant(grant),
            Action::LoadTotals(sums) => self.take_sums(sums),
        }
    }

    fn configure(&self, committed: &CommittedConfiguration) {
        let document = parse_document(committed.document.as_bytes());
        match document.and_then(|document| Configuration::read(&document)) {
            Ok(configuration) => {
                let tenants: Vec<u64> =
                    configuration.tenants.iter().map(|t| TenantKey::of(&t.name).0).collect();
                self.quota.borrow_mut().retain(|key| tenants.contains(&key));
                let services: Vec<String> = configuration.services.iter().map(|s| s.name.clone()).collect();
                self.budget.borrow_mut().retain(|name| services.iter().any(|s| s == name));
                self.splits.borrow_mut().retain(&configuration);
                let table = RoutingTable::new(configuration);
                *self.snapshot.borrow_mut() = Some(Rc::new(Snapshot { table, index: committed.index }));
                log::info!("event=configured generation={} index={}", committed.generation, committed.index);
            }
            Err(faults) => log::error!("event=configuration_unreadable problem=\"{faults}\""),
        }
    }

    fn take_grant(&self, grant: QuotaMessage) {
        let QuotaMessage::Grant { request_id, granted, .. } = grant else { return };
        let grant = |a: TenantGrant| Grant { tenant: a.tenant.0, tokens: a.tokens, reserve: a.reserve };
        let grants: Vec<Grant> = granted.into_iter().map(grant).collect();
        self.quota.borrow_mut().answered(self.now(), request_id, &grants);
        self.quota_granted.notify(usize::MAX);
    }

    fn report_load(self: &Rc<Self>) {
        let loads = self.balancer.borrow_mut().account();
        let request_id = self.told_load.borrow().0 + 1;
        *self.told_load.borrow_mut() = (request_id, loads.clone());
        self.drive(|c, now, actions| c.report_load(now, request_id, loads, actions));
    }

    fn take_sums(&self, sums: LoadMessage) {
        let LoadMessage::Totals { request_id, sidecars, loads } = sums else { return };
        let told = self.told_load.borrow();
        if told.0 != request_id {
            return;
        }
        self.sidecars.set(sidecars.max(1));
        let sums: HashMap<u64, EndpointLoad> = loads.into_iter().map(|l| (l.endpoint, l)).collect();
        self.balancer.borrow_mut().learn_sums(self.now(), &told.1, &sums);
    }

    fn follow_registry(&self) {
        let coordinator = self.coordinator.borrow();
        let registry = coordinator.gossip().registry();
        if registry.revision() != self.registry_revision.get() {
            self.registry_revision.set(registry.revision());
            self.balancer.borrow_mut().update(registry.records());
        }
    }

    fn disk_event(self: &Rc<Self>, event: DiskEvent) {
        match event {
            DiskEvent::Opened(opened) => self.attach_replica(*opened),
            DiskEvent::Written(write_id, succeeded) => {
                self.drive(|c, now, actions| c.written(now, write_id, succeeded, actions));
            }
        }
    }

    fn attach_replica(self: &Rc<Self>, opened: Opened) {
        let Opened { identity: id, founding, durable, endpoints } = opened;
        let settings = self.settings.borrow();
        let replica = ReplicaSettings {
            own: Member { id, address: settings.internal_address() },
            tolerated_losses: settings.tolerated_losses,
            founding,
            seeds: settings.internal_seeds(),
            election_timeout: ELECTION_TIMEOUT,
            random_seed: rand::random(),
            fault: None,
        };
        drop(settings);
        log::info!("event=disk_open member={:016x} index={}", id.0, durable.state.version.index);
        self.drive(|c, now, _| {
            c.restore_endpoints(now, endpoints);
            c.attach_replica(now, replica, durable);
        });
    }

    /// Keeps the endpoints on disk, if they have changed since the last time.
    fn keep_endpoints(&self) {
        let storage = self.storage.borrow();
        let Some(storage) =
            storage.as_ref().filter(|_| self.kept_revision.get() != self.registry_revision.get())
        else {
            return;
        };
        self.kept_revision.set(self.registry_revision.get());
        let coordinator = self.coordinator.borrow();
        let alive = coordinator.gossip().registry().records().filter(|r| r.state < EndpointState::Expired);
        storage.keep_endpoints(alive.cloned().collect());
    }
}

/// Runs one process until it has ended as planned.
///
/// # Errors
///
/// Returns why it couldn't start.
pub fn run() -> Result<(), NodeError> {
    let settings = NodeSettings::from_environment()?;
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    smol::block_on(executor.run(serve(settings, executor)))
}

async fn serve(settings: NodeSettings, executor: &'static LocalExecutor<'static>) -> Result<(), NodeError> {
    let started = Instant::now();
    let transport = Transport::open(settings.internal_address()).await.map_err(system("internal port"))?;
    let coordinator = Coordinator::new(
        Duration::ZERO,
        CoordinatorSettings {
            gossip: GossipSettings {
                own: settings.internal_address(),
                seeds: settings.internal_seeds(),
                heartbeat: settings.heartbeat,
                random_seed: rand::random(),
                fault: None,
            },
            replica: None,
            incarnation: Incarnation(rand::random()),
            counts: settings.counts_for_quorum && settings.data_dir.is_some(),
            tolerated_losses: settings.tolerated_losses,
            quota_bounds: settings.quota_bounds,
        },
    );
    let node = Rc::new(Node {
        executor,
        balancer: RefCell::new(Balancer::new(&settings.zone)),
        budget: RefCell::new(RetryBudget::new(settings.retry_budget_ratio)),
        splits: RefCell::new(TrafficSplits::new(rand::random())),
        quota: RefCell::new(QuotaShares::new(GRANT_LIFETIME)),
        quota_granted: Event::new(),
        pool: Pool::default(),
        clients: ClientConnections::default(),
        started,
        coordinator: RefCell::new(coordinator),
        transport,
        storage: RefCell::new(None),
        snapshot: RefCell::new(None),
        registry_revision: Cell::new(0),
        kept_revision: Cell::new(0),
        calls: RefCell::default(),
        next_call: Cell::new(1),
        announcements: RefCell::default(),
        planned_end: Cell::new(None),
        end_planned: Event::new(),
        told_load: RefCell::default(),
        sidecars: Cell::new(1),
        settings: RefCell::new(settings),
    });
    open_disk(&node)?;
    start_loops(&node);
    control_api::start(&node).await.map_err(system("control port"))?;
    client_listener::start(&node).await.map_err(system("clients' port"))?;
    {
        let settings = node.settings.borrow();
        log::info!(
            "event=started name={} address={} counts={} seeds={:?}",
            settings.node_name,
            settings.internal_address(),
            settings.counts_for_quorum,
            settings.internal_seeds()
        );
    }
    signals::until_ended(&node).await.map_err(system("signals"))
}

fn open_disk(node: &Rc<Node>) -> Result<(), NodeError> {
    let settings = node.settings.borrow();
    let folder = settings.data_dir.clone().filter(|_| settings.counts_for_quorum);
    let Some(folder) = folder else { return Ok(()) };
    let (events, received) = smol::channel::unbounded();
    let storage = Storage::start(folder, settings.bootstrap, events).map_err(system("thread of the disk"))?;
    *node.storage.borrow_mut() = Some(storage);
    let node = node.clone();
    node.executor
        .spawn({
            let node = node.clone();
            async move {
                while let Ok(event) = received.recv().await {
                    node.disk_event(event);
                }
            }
        })
        .detach();
    Ok(())
}

fn start_loops(node: &Rc<Node>) {
    let spawn = |future: std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>| {
        node.executor.spawn(future).detach();
    };
    let n = node.clone();
    spawn(Box::pin(async move {
        loop {
            let (from, envelope) = n.transport.receive().await;
            n.drive(|c, now, actions| c.receive(now, from, envelope, actions));
        }
    }));
    let n = node.clone();
    spawn(Box::pin(async move {
        loop {
            let stream = n.transport.accept().await;
            let node = n.clone();
            let read = async move {
                match read_frame(stream).await {
                    Some((from, envelope)) => {
                        node.drive(|c, now, actions| c.receive(now, from, envelope, actions));
                    }
                    None => node.transport.count_dropped(),
                }
            };
            n.executor.spawn(read).detach();
        }
    }));
    let n = node.clone();
    spawn(Box::pin(async move {
        loop {
            let now = n.now();
            let due = n.drive(|c, now, actions| c.tick(now, actions));
            Timer::after(due.saturating_sub(now).max(Duration::from_millis(5))).await;
        }
    }));
    every(node, |_| QUOTA_EVERY, Node::ask_for_quota);
    every(node, |n| LOAD_EVERY + LOAD_EVERY_PER_SIDECAR * n.sidecars.get(), Node::report_load);
    every(node, |_| KEEP_EVERY, |n| n.keep_endpoints());
    every(node, |_| STATUS_EVERY, |n| log::info!("event=status {}", n.status()));
}

/// Has something done again and again, after a pause that may change.
fn every(node: &Rc<Node>, pause: impl Fn(&Node) -> Duration + 'static, act: impl Fn(&Rc<Node>) + 'static) {
    let n = node.clone();
    node.executor
        .spawn(async move {
            loop {
                Timer::after(pause(&n)).await;
                act(&n);
            }
        })
        .detach();
}
