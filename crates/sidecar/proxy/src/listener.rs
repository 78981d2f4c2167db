//! The listening socket for clients.

use mio::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;

/// Maximum number of connections that the kernel queues before they are accepted.
const MAX_BACKLOG: i32 = 512;

/// The listening socket for clients.
pub struct Listener {
    pub socket: TcpListener,
}

/// Result of accepting a connection.
pub enum AcceptResult {
    /// An accepted connection.
    Connection(TcpStream),
    /// No connection is waiting.
    WouldBlock,
    /// The process or the system is out of descriptors or socket memory.
    OutOfDescriptors,
    /// The listening socket failed.
    Failed(io::Error),
}

impl Listener {
    /// Binds the socket and listens. Address reuse lets a restarted sidecar bind the address of its
    /// predecessor at once. At most `max_waiting` connections wait to be accepted.
    pub fn open(address: SocketAddr, max_waiting: usize) -> io::Result<Listener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        // Port reuse lets a new process listen on the address while the old one still serves.
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let backlog = i32::try_from(max_waiting).unwrap_or(MAX_BACKLOG).min(MAX_BACKLOG);
        socket.listen(backlog)?;
        Ok(Listener { socket: TcpListener::from_std(socket.into()) })
    }

    /// Accepts one connection.
    pub fn accept(&self) -> AcceptResult {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => return AcceptResult::Connection(socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return AcceptResult::WouldBlock,
                // EMFILE, ENFILE, ENOBUFS and ENOMEM. The caller makes room, so that a lack of descriptors
                // does not stop the sidecar.
                Err(e) if matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12)) => {
                    return AcceptResult::OutOfDescriptors
                }
                // A client that disconnected before it was accepted is not a failure of the socket.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted
                            | io::ErrorKind::ConnectionAborted
                            | io::ErrorKind::ConnectionReset
                    ) => {}
                Err(e) => return AcceptResult::Failed(e),
            }
        }
    }
}
