//! SIGHUP reloads the settings; SIGTERM and SIGINT begin the graceful shutdown.

use crate::coordinator_driver::CoordinatorDriver;
use crate::graceful_shutdown::ShutdownSchedule;
use crate::logging::{log_event, Quoted};
use crate::request_context::RequestContext;
use crate::settings::{CurrentSettings, NodeSettings};
use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use smol::Timer;
use std::time::Duration;

/// Idle client connections stay open for this long after SIGTERM: it takes a while until the platform sends
/// clients elsewhere.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(2_600);
/// Interval of the check whether all client connections have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Takes signals over. The first thing that a process does: until then SIGHUP ends it, as the system's default is. What arrives before
/// [`run_until_shutdown`] is handled there.
///
/// # Errors
///
/// Returns the operating system's error where signals can't be handled.
pub fn register() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals; returns when the graceful shutdown is complete.
///
/// # Errors
///
/// Returns the operating system's error where signals can't be received.
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
    let grace = settings.borrow().grace;
    shut_down(requests, grace).await;
    Ok(())
}

/// Reads the settings again. Seeds, bounds and grace period take effect at once, all else only at a start.
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

async fn shut_down(requests: &RequestContext, grace: Duration) {
    log_event!(info, "draining", clients = requests.clients.len());
    let schedule = ShutdownSchedule::new(requests.now(), grace);
    requests.shutdown.begin(schedule);
    Timer::after(KEEP_ALIVE_PERIOD.min(grace / 2)).await;
    requests.clients.finish_all();
    while requests.now() < schedule.ends_at() && !requests.clients.is_empty() {
        Timer::after(SHUTDOWN_POLL_INTERVAL).await;
    }
    log_event!(info, "ended", clients = requests.clients.len());
}
