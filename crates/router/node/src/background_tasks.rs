//! The loops that drive the coordinator: messages, timers, storage events and periodic reports.

use crate::coordinator_driver::CoordinatorDriver;
use crate::endpoint_persistence::ENDPOINT_PERSISTENCE_INTERVAL;
use crate::inbound_connections::OpenedConnection;
use crate::listener::Port;
use crate::logging::log_event;
use crate::memory::{Memory, MemoryCharge};
use crate::peer_persistence::PEER_PERSISTENCE_INTERVAL;
use crate::settings::CurrentSettings;
use crate::storage::{StorageEvent, StoreContents};
use crate::tasks::BackgroundTasks;
use crate::transport::{receive_frame, ReceivedMessage, Transport};
use passrelay_control_plane::replication::{Member, Mutations, ReplicaSettings};
use passrelay_data_plane::memory_budget::MemoryUse;
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Minimum time without contact to the primary after which another is elected.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(320);
/// Minimum delay between ticks of the coordinator, so that a timer that stays due cannot monopolize the
/// processor.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of quota requests, which are sent ahead of demand.
const QUOTA_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of reports to the rollout controller. Traffic shares are valid for about three times as long.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which the status is logged.
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Starts the loop that processes the events of the storage thread.
pub fn start_storage_events(
    tasks: &BackgroundTasks,
    driver: &Rc<CoordinatorDriver>,
    settings: &Rc<CurrentSettings>,
    events: Receiver<StorageEvent>,
) {
    let driver = driver.clone();
    let settings = settings.clone();
    tasks.spawn("storage_events", async move {
        while let Ok(event) = events.recv().await {
            match event {
                StorageEvent::Opened(opened) => attach_replica(&driver, &settings, *opened),
                StorageEvent::Written { write_id, succeeded } => {
                    driver.step(|coordinator, now, actions| {
                        coordinator.write_completed(now, write_id, succeeded, actions);
                    });
                }
            }
        }
    });
}

/// Starts all loops that drive the coordinator, except the one for storage events.
pub fn start(tasks: &BackgroundTasks, driver: &Rc<CoordinatorDriver>, transport: &Rc<Transport>) {
    start_receivers(tasks, driver, transport);
    let ticking = driver.clone();
    tasks.spawn("coordinator_timers", async move {
        loop {
            Timer::after(ticking.tick().max(MIN_TICK_INTERVAL)).await;
        }
    });
    let quota = driver.clone();
    tasks.spawn_periodic("quota_requests", || QUOTA_REQUEST_INTERVAL, move || quota.request_quota());
    let rollouts = driver.clone();
    tasks.spawn_periodic("rollout_reports", || ROLLOUT_REPORT_INTERVAL, move || rollouts.report_rollouts());
    let interval = driver.clone();
    let reporting = driver.clone();
    tasks.spawn_periodic(
        "load_reports",
        move || interval.load_report_interval(),
        move || reporting.report_load(),
    );
    let persisting = driver.clone();
    tasks.spawn_periodic(
        "endpoint_persistence",
        || ENDPOINT_PERSISTENCE_INTERVAL,
        move || persisting.persist_endpoints(),
    );
    let persisting = driver.clone();
    tasks.spawn_periodic(
        "peer_persistence",
        || PEER_PERSISTENCE_INTERVAL,
        move || persisting.persist_peers(),
    );
    let status = driver.clone();
    tasks.spawn_periodic(
        "status_log",
        || STATUS_LOG_INTERVAL,
        // The status follows the event name as JSON rather than as key-value fields.
        move || log::info!("event=status {}", status.status()),
    );
}

fn start_receivers(tasks: &BackgroundTasks, driver: &Rc<CoordinatorDriver>, transport: &Rc<Transport>) {
    let receiver = driver.clone();
    let datagrams = transport.clone();
    tasks.spawn("datagram_receiver", async move {
        loop {
            receiver.receive(datagrams.receive().await);
        }
    });
}

/// Accepts connections that each carry one large frame, which is charged to `memory`.
pub fn start_frame_listener(
    tasks: &BackgroundTasks,
    driver: &Rc<CoordinatorDriver>,
    transport: &Rc<Transport>,
    port: Port,
    memory: Memory,
) {
    let (driver, transport) = (driver.clone(), transport.clone());
    let serve = move |stream, opened| {
        let (driver, transport) = (driver.clone(), transport.clone());
        let charge = memory.charge(MemoryUse::PeerMessages);
        async move {
            match receive_unless_evicted(stream, opened, charge).await {
                Some(message) => driver.receive(message),
                None => transport.count_dropped(),
            }
        }
    };
    tasks.spawn("frame_listener", port.accept_all(tasks.spawner(), serve));
}

/// Receives the frame of a connection, unless the connection has to make room for another one.
async fn receive_unless_evicted(
    stream: TcpStream,
    opened: OpenedConnection,
    charge: MemoryCharge,
) -> Option<ReceivedMessage> {
    let evicted = async {
        let _ = opened.commands.recv().await;
        None
    };
    smol::future::or(receive_frame(stream, charge), evicted).await
}

/// Attaches the replica once the store is open; from then on this machine takes part in replication.
fn attach_replica(driver: &CoordinatorDriver, settings: &CurrentSettings, opened: StoreContents) {
    let StoreContents { identity: id, bootstrapping, bootstrap_seeds, durable, endpoints, peers } = opened;
    let replica = {
        let settings = settings.borrow();
        ReplicaSettings {
            own: Member { id, address: settings.internal_address() },
            tolerated_losses: settings.tolerated_losses,
            bootstrapping,
            seeds: settings.internal_seeds(),
            bootstrap_seeds: bootstrap_seeds.unwrap_or_else(|| settings.internal_seeds()),
            election_timeout: ELECTION_TIMEOUT,
            accepts_deltas: true,
            random_seed: rand::random(),
            mutation: Mutations::NONE,
        }
    };
    log_event!(
        info,
        "disk_open",
        member = format_args!("{:016x}", id.0),
        index = durable.state.version.index
    );
    driver.step(|coordinator, now, _| {
        coordinator.restore_endpoints(now, endpoints);
        coordinator.restore_peers(now, peers);
        coordinator.attach_replica(now, replica, durable);
    });
}
