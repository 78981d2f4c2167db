//! Sockets for messages between processes. Small frames are sent as datagrams; each large frame is sent compressed
//! over a separate connection.
//!
//! Either kind may be lost without notice. A sender that needs a response must retry its request.

mod frame;

use crate::logging::{log_event, Quoted};
use crate::memory::MemoryCharge;
use crate::tasks::Spawner;
pub use frame::ReceivedMessage;
use frame::{FrameError, LENGTH_BYTES, MAX_FRAME_BYTES};
use passrelay_control_plane::Envelope;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpStream, UdpSocket};
use smol::Timer;
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Maximum length in bytes of a frame sent as a datagram. A datagram that fits into an Ethernet frame is not fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_300;
/// Size of the receive buffer in bytes; fits any datagram that UDP can carry.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes of a frame for which memory is allocated at first.
const FIRST_READ_BYTES: usize = 16 * 1024;
/// Timeout for sending or receiving a large frame, including opening the connection.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);

/// The sockets for messages between processes.
pub struct Transport {
    own_address: SocketAddrV4,
    spawner: Spawner,
    datagrams: UdpSocket,
    /// Number of received frames that were dropped.
    dropped_frames: Cell<u64>,
}

impl Transport {
    /// Opens the socket for datagrams. The port for connections is opened separately.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket cannot be bound.
    pub async fn open(own_address: SocketAddrV4, spawner: Spawner) -> std::io::Result<Self> {
        let datagrams = UdpSocket::bind(own_address).await?;
        Ok(Transport { own_address, spawner, datagrams, dropped_frames: Cell::new(0) })
    }

    /// Returns the number of received frames that were dropped because they had another protocol version or were too
    /// long, undecodable or incomplete.
    pub fn dropped_frames(&self) -> u64 {
        self.dropped_frames.get()
    }

    /// Counts a received frame that was dropped.
    pub fn count_dropped(&self) {
        self.dropped_frames.set(self.dropped_frames.get() + 1);
    }

    /// Sends a message without waiting for its delivery.
    pub fn send(&self, to: SocketAddrV4, envelope: Envelope) {
        let bytes = match frame::encode(self.own_address, envelope) {
            Ok(bytes) => bytes,
            Err(error) => {
                log_event!(error, "frame_unwritable", problem = Quoted(&error));
                return;
            }
        };
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            // A datagram that the operating system cannot accept immediately counts as lost.
            let send = self.datagrams.send_to(&bytes, to);
            let _ = smol::future::block_on(smol::future::poll_once(send));
        } else {
            self.spawner.spawn_bounded(send_compressed(to, frame::compress(&bytes)));
        }
    }

    /// Waits for the next datagram that can be decoded.
    pub async fn receive(&self) -> ReceivedMessage {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.datagrams.recv_from(&mut buffer).await {
                Ok((length, _)) => match frame::decode(&buffer[..length]) {
                    Ok(received) => return received,
                    Err(error) => {
                        self.count_dropped();
                        log_event!(warn, "frame_dropped", problem = Quoted(&error));
                    }
                },
                // Sending a datagram to a closed port makes a later receive on this socket fail.
                Err(_) => smol::future::yield_now().await,
            }
        }
    }
}

/// Receives the single frame that a connection carries, and charges it to `charge`. Returns `None` if the frame is dropped; the
/// caller counts it.
pub async fn receive_frame(mut stream: TcpStream, mut charge: MemoryCharge) -> Option<ReceivedMessage> {
    let read = async {
        let mut length = [0; LENGTH_BYTES];
        stream.read_exact(&mut length).await?;
        let declared_length = u32::from_be_bytes(length) as usize;
        if declared_length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(declared_length));
        }
        let bytes = read_exactly(&mut stream, declared_length, &mut charge).await?;
        charge.grow(frame::decompressed_length(&bytes) as u64)?;
        frame::decode(&frame::decompress(&bytes)?)
    };
    let timeout = async {
        Timer::after(FRAME_TIMEOUT).await;
        Err(FrameError::Connection(std::io::ErrorKind::TimedOut.into()))
    };
    match smol::future::or(read, timeout).await {
        Ok(received) => Some(received),
        Err(error) => {
            log_event!(debug, "frame_dropped", problem = Quoted(&error));
            None
        }
    }
}

/// Reads `length` bytes. The buffer grows with what has arrived, and its growth is charged.
async fn read_exactly(
    stream: &mut TcpStream,
    length: usize,
    charge: &mut MemoryCharge,
) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let capacity = (2 * bytes.len()).clamp(FIRST_READ_BYTES, MAX_FRAME_BYTES).min(length);
        charge.grow((capacity - bytes.len()) as u64)?;
        let received = bytes.len();
        bytes.reserve_exact(capacity - received);
        bytes.resize(capacity, 0);
        stream.read_exact(&mut bytes[received..]).await?;
    }
    Ok(bytes)
}

/// Sends a compressed frame over a new connection.
async fn send_compressed(to: SocketAddrV4, bytes: Vec<u8>) {
    let write = async {
        let mut stream = TcpStream::connect(SocketAddr::V4(to)).await?;
        stream.set_nodelay(true)?;
        let length = u32::try_from(bytes.len()).map_err(|_| std::io::ErrorKind::InvalidInput)?;
        stream.write_all(&length.to_be_bytes()).await?;
        stream.write_all(&bytes).await?;
        stream.close().await
    };
    let timeout = async {
        Timer::after(FRAME_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let sent: std::io::Result<()> = smol::future::or(write, timeout).await;
    if let Err(error) = sent {
        log_event!(debug, "frame_lost", to = to, problem = Quoted(&error));
    }
}
