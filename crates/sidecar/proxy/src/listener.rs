//! The listening socket through which clients come in.

use mio::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;

/// Clients that may wait in the backlog before they are let in.
const BACKLOG: i32 = 512;

/// The listening socket.
pub struct Listener {
    pub socket: TcpListener,
}

/// What an accept gave.
pub enum Accepted {
    /// One client.
    Connection(TcpStream),
    /// Nothing more for now.
    Nothing,
    /// No descriptor is free.
    NoRoom,
    /// The listener itself fails.
    Broken(io::Error),
}

impl Listener {
    /// Listens. A restarted sidecar may take over the address of its forerunner at once, and a new
    /// process may listen on it while the old one serves.
    pub fn open(address: SocketAddr) -> io::Result<Listener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        // A new process listens beside the old one while that one still serves.
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(Listener { socket: TcpListener::from_std(socket.into()) })
    }

    /// Callback: lets one client in.
    pub fn on_readable(&self) -> Accepted {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => return Accepted::Connection(socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Accepted::Nothing,
                // EMFILE, ENFILE, ENOBUFS and ENOMEM: guards against an end for want of descriptors.
                Err(e) if matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12)) => return Accepted::NoRoom,
                // A client that left before it was let in is no fault of the socket.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted
                            | io::ErrorKind::ConnectionAborted
                            | io::ErrorKind::ConnectionReset
                    ) => {}
                Err(e) => return Accepted::Broken(e),
            }
        }
    }
}
