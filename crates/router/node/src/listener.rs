//! Accepting connections, the same way on every port that serves HTTP.

use crate::logging::{log_event, Quoted};
use crate::tasks::Spawner;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::future::Future;
use std::time::Duration;

/// Pause after the operating system refused a connection, for want of descriptors for instance.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections for ever and serves each in a task of its own, which ends with the connection. `name`
/// is for the log.
pub async fn accept_all<F>(
    spawner: Spawner,
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawner.spawn_bounded(serve(stream)),
            Err(error) => {
                log_event!(warn, "accept_failed", listener = name, problem = Quoted(&error));
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
