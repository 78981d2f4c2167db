//! Signal handling: SIGHUP reloads the settings; SIGTERM and SIGINT begin the graceful shutdown.

use crate::coordinator_driver::CoordinatorDriver;
use crate::graceful_shutdown::ShutdownSchedule;
use crate::logging::{log_event, Quoted};
use crate::request_context::RequestContext;
use crate::settings::{CurrentSettings, NodeSettings};
use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use smol::Timer;
use std::time::Duration;

/// Idle client connections stay open for this long after SIGTERM, because the platform needs some time to
/// redirect clients.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(2_600);
/// Interval of the check whether all client connections are closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Registers the signal handlers. Must be the first action of a process, because until then SIGHUP terminates it by default.
/// Signals that arrive before [`run_until_shutdown`] are handled there.
///
/// # Errors
///
/// Returns the operating system's error if the handlers cannot be registered.
pub fn register() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals; returns when the graceful shutdown is complete.
///
/// # Errors
///
/// Returns the operating system's error if signals cannot be received.
pub async fn run_until_shutdown(
    mut signals: Signals,
    requests: &RequestContext,
    settings: &CurrentSettings,
    driver: &CoordinatorDriver,
) -> std::io::Result<()> {
    while let Some(signal) = signals.next().await {
        if signal? == Signal::Hup {
            reload(settings, driver);
        } else {
            break;
        }
    }
    let grace_period = settings.borrow().grace_period;
    shut_down(requests, grace_period).await;
    Ok(())
}

/// Reloads the settings. Seeds, bounds and grace period take effect immediately, all other settings only at the next
/// start.
fn reload(settings: &CurrentSettings, driver: &CoordinatorDriver) {
    match NodeSettings::from_environment() {
        Ok(reloaded) => {
            driver.set_seeds(reloaded.internal_seeds());
            settings.replace(reloaded);
            log_event!(info, "reloaded");
        }
        Err(error) => log_event!(error, "reload_failed", problem = Quoted(&error)),
    }
}

async fn shut_down(requests: &RequestContext, grace_period: Duration) {
    log_event!(info, "draining", clients = requests.resources.clients.len());
    let schedule = ShutdownSchedule::new(requests.now(), grace_period);
    requests.shutdown.begin(schedule);
    Timer::after(KEEP_ALIVE_PERIOD.min(grace_period / 2)).await;
    requests.resources.clients.finish_all();
    while requests.now() < schedule.ends_at() && !requests.resources.clients.is_empty() {
        Timer::after(SHUTDOWN_POLL_INTERVAL).await;
    }
    log_event!(info, "ended", clients = requests.resources.clients.len());
}
