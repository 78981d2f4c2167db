//! Accept loop shared by all ports that serve HTTP.

use crate::logging::{log_event, Quoted};
use crate::tasks::Spawner;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::future::Future;
use std::time::Duration;

/// Delay after a failed accept, for example because file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections indefinitely and serves each in its own task, which ends with the connection. `name`
/// identifies the listener in the log.
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
