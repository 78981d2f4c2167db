//! Accepting connections, the same way on every port.

use crate::process::Node;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Pause after the system refused a connection, for want of descriptors for instance.
const PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for ever and has each served by a task of its own. `name` is for the log.
pub async fn accept_all<F>(
    node: Rc<Node>,
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(Rc<Node>, TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => node.executor.spawn(serve(node.clone(), stream)).detach(),
            Err(e) => {
                log::warn!("event=accept_failed listener={name} problem=\"{e}\"");
                Timer::after(PAUSE).await;
            }
        }
    }
}
