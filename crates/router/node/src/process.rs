//! Composition and startup of the process: builds all components, opens the ports, starts the background loops
//! and waits for the shutdown.
//!
//! This module contains no logic for requests, endpoints or replication.

use crate::background_tasks;
use crate::client_listener;
use crate::clock::Clock;
use crate::control_api::{self, ControlApi};
use crate::coordinator_driver::{ActionTargets, CoordinatorDriver};
use crate::data_plane::DataPlane;
use crate::endpoint_registration::EndpointRegistration;
use crate::freshness::Freshness;
use crate::graceful_shutdown::GracefulShutdown;
use crate::listener::Port;
use crate::logging::log_event;
use crate::readiness::Readiness;
use crate::request_context::RequestContext;
use crate::resources::Resources;
use crate::settings::{CurrentSettings, NodeSettings, SettingsError};
use crate::signals;
use crate::storage::{StartKind, Storage, StorageEvent};
use crate::tasks::{BackgroundTasks, Spawner};
use crate::transport::Transport;
use async_signal::Signals;
use passrelay_control_plane::{Coordinator, CoordinatorSettings};
use passrelay_dissemination::{GossipSettings, Incarnation};
use smol::channel::Receiver;
use smol::LocalExecutor;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Error that prevents the process from starting or ends it.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The operating system refused a socket, a thread or a signal handler.
    #[error("{resource}: {source}")]
    System {
        /// The requested resource, such as `control port`.
        resource: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
}

fn system_error(resource: &'static str) -> impl FnOnce(std::io::Error) -> NodeError {
    move |source| NodeError::System { resource, source }
}

/// Runs the process until its graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or if the operating system refuses a socket, a thread or signal
/// handling.
pub fn run() -> Result<(), NodeError> {
    let signals = signals::register().map_err(system_error("signal handlers"))?;
    let settings = NodeSettings::from_environment()?;
    // Leaked on purpose: tasks hold references to the executor for the lifetime of the process.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    smol::block_on(executor.run(serve(settings, signals, Spawner::new(executor))))
}

/// The components that are started once all of them have been built.
struct Process {
    settings: Rc<CurrentSettings>,
    transport: Rc<Transport>,
    driver: Rc<CoordinatorDriver>,
    storage_events: Option<Receiver<StorageEvent>>,
    requests: Rc<RequestContext>,
    control: Rc<ControlApi>,
}

async fn serve(settings: NodeSettings, signals: Signals, spawner: Spawner) -> Result<(), NodeError> {
    let mut process = build(settings, spawner).await?;
    let tasks = BackgroundTasks::new(spawner);
    if let Some(events) = process.storage_events.take() {
        background_tasks::start_storage_events(&tasks, &process.driver, &process.settings, events);
    }
    background_tasks::start(&tasks, &process.driver, &process.transport);
    start_frame_listener(&tasks, &process).await.map_err(system_error("internal port"))?;
    control_api::start(&tasks, &process.control, &process.settings)
        .await
        .map_err(system_error("control port"))?;
    let client_address = process.settings.borrow().listen_front;
    client_listener::start(&tasks, &process.requests, client_address)
        .await
        .map_err(system_error("client port"))?;
    log_started(&process.settings);
    signals::run_until_shutdown(signals, &process.requests, &process.settings, &process.driver)
        .await
        .map_err(system_error("signal handlers"))
}

/// Opens the port on which other processes send large frames, and starts serving it.
async fn start_frame_listener(tasks: &BackgroundTasks, process: &Process) -> std::io::Result<()> {
    let address = process.settings.borrow().internal_address();
    let resources = &process.requests.resources;
    let port = Port::open("internal", address, resources.peers.clone(), process.requests.clock).await?;
    background_tasks::start_frame_listener(
        tasks,
        &process.driver,
        &process.transport,
        port,
        resources.memory.clone(),
    );
    Ok(())
}

/// Builds all components, including the sockets for internal messages and the storage thread.
async fn build(settings: NodeSettings, spawner: Spawner) -> Result<Process, NodeError> {
    let clock = Clock::start();
    let transport =
        Transport::open(settings.internal_address(), spawner).await.map_err(system_error("internal port"))?;
    let transport = Rc::new(transport);
    let coordinator = Coordinator::new(Duration::ZERO, coordinator_settings(&settings));
    let data_plane = Rc::new(DataPlane::new(&settings.zone, settings.retry_budget_ratio, rand::random()));
    let (storage, storage_events) = start_storage(&settings)?.unzip();
    let resources = Rc::new(Resources::new(settings.memory_bytes, settings.max_descriptors));
    let settings = Rc::new(CurrentSettings::new(settings));
    let freshness = Rc::new(Freshness::new(clock, settings.clone()));
    let shutdown = Rc::new(GracefulShutdown::new(clock));
    let readiness = Rc::new(Readiness::new(data_plane.clone(), freshness.clone(), shutdown.clone()));
    let targets = ActionTargets {
        transport: transport.clone(),
        storage,
        data_plane: data_plane.clone(),
        freshness: freshness.clone(),
        resources: resources.clone(),
    };
    let driver = Rc::new(CoordinatorDriver::new(clock, coordinator, targets));
    let control = Rc::new(ControlApi {
        registration: EndpointRegistration::new(driver.clone()),
        readiness: readiness.clone(),
        driver: driver.clone(),
        control_connections: resources.control.clone(),
        readiness_connections: resources.readiness.clone(),
        memory: resources.memory.clone(),
        clock,
    });
    let requests = RequestContext {
        clock,
        spawner,
        data_plane,
        freshness,
        readiness,
        shutdown,
        resources,
        driver: driver.clone(),
    };
    Ok(Process { settings, transport, driver, storage_events, requests: Rc::new(requests), control })
}

fn coordinator_settings(settings: &NodeSettings) -> CoordinatorSettings {
    CoordinatorSettings {
        gossip: GossipSettings {
            own_address: settings.internal_address(),
            seeds: settings.internal_seeds(),
            heartbeat_interval: settings.heartbeat_interval,
            accepts_deltas: true,
            random_seed: rand::random(),
            mutation: Default::default(),
        },
        replica: None,
        incarnation: Incarnation(rand::random()),
        is_voter: settings.counts_for_quorum && settings.data_dir.is_some(),
        tolerated_losses: settings.tolerated_losses,
        quota_bounds: settings.quota_bounds,
        records_versions: settings.rollouts_enabled,
        exposure_bound: settings.exposure_bound,
    }
}

/// Starts the storage thread if this machine has a vote and a data directory.
fn start_storage(settings: &NodeSettings) -> Result<Option<(Storage, Receiver<StorageEvent>)>, NodeError> {
    let data_dir = settings.data_dir.clone().filter(|_| settings.counts_for_quorum);
    let Some(data_dir) = data_dir else { return Ok(None) };
    let (events, received) = smol::channel::unbounded();
    let start = if settings.bootstrap {
        StartKind::Bootstrap { seeds: settings.internal_seeds() }
    } else {
        StartKind::Join
    };
    let storage = Storage::start(data_dir, start, events).map_err(system_error("storage thread"))?;
    Ok(Some((storage, received)))
}

fn log_started(settings: &CurrentSettings) {
    let settings = settings.borrow();
    log_event!(
        info,
        "started",
        name = settings.node_name,
        address = settings.internal_address(),
        counts = settings.counts_for_quorum,
        seeds = format_args!("{:?}", settings.internal_seeds()),
    );
}
