//! The ports of the process and the accept loop that they share.

use crate::clock::Clock;
use crate::inbound_connections::{InboundConnections, OpenedConnection};
use crate::logging::{log_event, Quoted};
use crate::tasks::Spawner;
use passrelay_data_plane::memory_budget::RECEIVE_BUFFER_BYTES;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of other connections that are asked to make room for a new one.
const MAX_EVICTIONS: usize = 4;
/// Delay after a failed accept, for example because file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A port on which connections are accepted.
pub struct Port {
    /// Name in the log.
    name: &'static str,
    listener: TcpListener,
    connections: Rc<InboundConnections>,
    clock: Clock,
}

impl Port {
    /// Opens a port. `connections` limits the number of its connections.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the port cannot be opened.
    pub async fn open(
        name: &'static str,
        address: SocketAddrV4,
        connections: Rc<InboundConnections>,
        clock: Clock,
    ) -> io::Result<Port> {
        let listener = TcpListener::bind(SocketAddr::V4(address)).await?;
        limit_receive_buffer(&listener);
        Ok(Port { name, listener, connections, clock })
    }

    /// Registers a new connection, for which another one may have to make room. Returns `None` if none does; the new connection
    /// is then to be closed unread, which tells its client that nothing has run.
    async fn admit(&self) -> Option<OpenedConnection> {
        for _ in 0..MAX_EVICTIONS {
            let now = self.clock.now();
            if let Some(opened) = self.connections.open(now) {
                return Some(opened);
            }
            if !self.connections.evict(now) {
                break;
            }
            // The connection that makes room is closed by its own task.
            smol::future::yield_now().await;
        }
        self.connections.record_refusal();
        None
    }

    /// Accepts connections indefinitely and serves each in its own task, which ends with the connection. A connection for which
    /// there is no room is closed unread.
    pub async fn accept_all<F>(self, spawner: Spawner, serve: impl Fn(TcpStream, OpenedConnection) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(opened) = self.admit().await {
                        spawner.spawn_bounded(serve(stream, opened));
                    }
                }
                Err(error) => {
                    log_event!(warn, "accept_failed", listener = self.name, problem = Quoted(&error));
                    Timer::after(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Limits the unread bytes of a socket, or of the connections that a listener accepts. They count as memory of the machine.
pub fn limit_receive_buffer(socket: &impl AsFd) {
    // Where the operating system refuses this, its own limit applies.
    let _ = SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize);
}
