//! The gate: the listener through which callers come in.

use mio::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;

/// Callers that may wait at the gate before they are let in.
const BACKLOG: i32 = 512;

/// The listener.
pub struct Gate {
    pub listener: TcpListener,
}

/// Who came to the gate.
pub enum Comer {
    /// One caller.
    In(TcpStream),
    /// Nobody more for now.
    Nobody,
    /// No descriptor is free.
    NoRoom,
    /// The listener itself fails.
    Broken(io::Error),
}

impl Gate {
    /// Opens the gate. A restarted sidecar may take over the address of its forerunner at once, and a new
    /// process may listen on it while the old one serves.
    pub fn open(address: SocketAddr) -> io::Result<Gate> {
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
        Ok(Gate { listener: TcpListener::from_std(socket.into()) })
    }

    /// Callback: lets one caller in.
    pub fn on_readable(&self) -> Comer {
        loop {
            match self.listener.accept() {
                Ok((sock, _)) => return Comer::In(sock),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Comer::Nobody,
                // EMFILE, ENFILE, ENOBUFS and ENOMEM: guards against an end for want of descriptors.
                Err(e) if matches!(e.raw_os_error(), Some(24 | 23 | 105 | 12)) => return Comer::NoRoom,
                // A caller that left before it was let in is no fault of the gate.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted
                            | io::ErrorKind::ConnectionAborted
                            | io::ErrorKind::ConnectionReset
                    ) => {}
                Err(e) => return Comer::Broken(e),
            }
        }
    }
}
