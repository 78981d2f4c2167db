//! Messages between sidecars: small ones as datagrams, large ones packed (LZ4) over a connection of their own. Either
//! may be lost; whoever needs an answer asks again.

use passrelay_control_plane::Envelope;
use serde::{Deserialize, Serialize};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::{LocalExecutor, Timer};
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use thiserror::Error;

/// Version of the internal protocol; frames of another are dropped.
const VERSION: u16 = 2;
/// Frames up to this size go as datagrams.
const DATAGRAM_BYTES: usize = 1_300;
/// Frames over this size, packed or not, are refused.
const FRAME_BYTES: usize = 24 << 20;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// A large frame that isn't handed over within this time is given up.
const HAND_OVER: Duration = Duration::from_secs(3);

/// Why a frame was dropped.
#[derive(Debug, Error)]
enum FrameError {
    #[error("it is of protocol version {0}")]
    VersionMismatch(u16),
    #[error("it can't be read: {0}")]
    Unreadable(String),
    #[error("it has {0} bytes")]
    TooLong(usize),
    #[error("{0}")]
    Connection(#[from] std::io::Error),
}

#[derive(Serialize, Deserialize)]
struct Frame {
    version: u16,
    from: SocketAddrV4,
    envelope: Envelope,
}

/// The sockets for messages between sidecars.
pub struct Transport {
    own: SocketAddrV4,
    datagrams: UdpSocket,
    listener: TcpListener,
    dropped: Cell<u64>,
}

impl Transport {
    /// Opens the sockets.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    pub async fn open(own: SocketAddrV4) -> std::io::Result<Self> {
        let datagrams = UdpSocket::bind(own).await?;
        let listener = TcpListener::bind(own).await?;
        Ok(Transport { own, datagrams, listener, dropped: Cell::new(0) })
    }

    /// Frames that were dropped: of another version, too long, unreadable, or not handed over whole.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// A frame was dropped.
    pub fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }

    /// Sends a message on its way.
    pub fn send(&self, executor: &LocalExecutor<'static>, to: SocketAddrV4, envelope: Envelope) {
        let frame = Frame { version: VERSION, from: self.own, envelope };
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&frame, &mut bytes) {
            log::error!("event=frame_unwritable problem=\"{e}\"");
            return;
        }
        if bytes.len() <= DATAGRAM_BYTES {
            // A datagram that the system can't take just now counts as lost.
            let send = self.datagrams.send_to(&bytes, to);
            let _ = smol::future::block_on(smol::future::poll_once(send));
        } else {
            executor.spawn(hand_over(to, lz4_flex::compress_prepend_size(&bytes))).detach();
        }
    }

    /// Waits for the next datagram that can be read.
    pub async fn receive(&self) -> (SocketAddrV4, Envelope) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            match self.datagrams.recv_from(&mut buffer).await {
                Ok((length, _)) => match decode(&buffer[..length]) {
                    Ok(received) => return received,
                    Err(e) => {
                        self.count_dropped();
                        log::warn!("event=frame_dropped problem=\"{e}\"");
                    }
                },
                // A datagram to a dead port comes back as an error of this socket.
                Err(_) => smol::future::yield_now().await,
            }
        }
    }

    /// Waits for the next connection that brings a large frame.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(e) => {
                    log::warn!("event=accept_failed listener=internal problem=\"{e}\"");
                    Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
    }
}

/// Reads the one frame that a connection brings.
pub async fn read_frame(mut stream: TcpStream) -> Option<(SocketAddrV4, Envelope)> {
    let read = async {
        let mut length = [0; LENGTH_BYTES];
        stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let mut bytes = Vec::new();
        (&mut stream).take(length as u64).read_to_end(&mut bytes).await?;
        decode(&unpack(&bytes)?)
    };
    let timeout = async {
        Timer::after(HAND_OVER).await;
        Err(FrameError::Connection(std::io::ErrorKind::TimedOut.into()))
    };
    match smol::future::or(read, timeout).await {
        Ok(received) => Some(received),
        Err(e) => {
            log::debug!("event=frame_dropped problem=\"{e}\"");
            None
        }
    }
}

fn unpack(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let told = bytes.first_chunk::<LENGTH_BYTES>().map_or(0, |l| u32::from_le_bytes(*l) as usize);
    if told > FRAME_BYTES {
        return Err(FrameError::TooLong(told));
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(|e| FrameError::Unreadable(e.to_string()))
}

fn decode(bytes: &[u8]) -> Result<(SocketAddrV4, Envelope), FrameError> {
    let frame: Frame = ciborium::from_reader(bytes).map_err(|e| FrameError::Unreadable(e.to_string()))?;
    if frame.version != VERSION {
        return Err(FrameError::VersionMismatch(frame.version));
    }
    Ok((frame.from, frame.envelope))
}

async fn hand_over(to: SocketAddrV4, bytes: Vec<u8>) {
    let write = async {
        let mut stream = TcpStream::connect(SocketAddr::V4(to)).await?;
        stream.set_nodelay(true)?;
        let length = u32::try_from(bytes.len()).map_err(|_| std::io::ErrorKind::InvalidInput)?;
        stream.write_all(&length.to_be_bytes()).await?;
        stream.write_all(&bytes).await?;
        stream.close().await
    };
    let timeout = async {
        Timer::after(HAND_OVER).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let done: std::io::Result<()> = smol::future::or(write, timeout).await;
    if let Err(e) = done {
        log::debug!("event=frame_lost to={to} problem=\"{e}\"");
    }
}
