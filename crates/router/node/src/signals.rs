//! SIGTERM, SIGINT and SIGHUP; the planned end.

use crate::graceful_shutdown::PlannedEnd;
use crate::process::Node;
use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// After SIGTERM clients still come for this long: it takes a while until they are sent elsewhere.
const STILL_COMING: Duration = Duration::from_millis(2_600);
/// Pause between looks whether everything is finished.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits for signals; returns when the process has ended as planned.
pub async fn until_ended(node: &Rc<Node>) -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    while let Some(signal) = signals.next().await {
        if signal? == Signal::Hup {
            node.reload();
        } else {
            break;
        }
    }
    log::info!("event=draining clients={}", node.clients.len());
    let grace = node.settings.borrow().grace;
    let end = PlannedEnd::new(node.now(), grace);
    node.begin_draining(end);
    Timer::after(STILL_COMING.min(grace / 2)).await;
    node.clients.finish_all();
    while node.now() < end.ends_at() && !node.clients.is_empty() {
        Timer::after(LOOK_EVERY).await;
    }
    log::info!("event=ended clients={}", node.clients.len());
    Ok(())
}
