//! Codec of the frames between processes; no sockets.
//!
//! A frame is CBOR of protocol version, sender and envelope. A small one is sent as it is in a datagram. A
//! large one is compressed by LZ4 in its block format, with the uncompressed length in front (four bytes,
//! little endian), and sent over a connection after its compressed length (four bytes, big endian).

use passrelay_control_plane::Envelope;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Version of the internal protocol; frames of another one are dropped.
const PROTOCOL_VERSION: u16 = 2;
/// Maximum length of a frame, compressed or not.
pub const MAX_FRAME_BYTES: usize = 24 << 20;
/// Length of a length prefix.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame was dropped.
#[derive(Debug, Error)]
pub enum FrameError {
    /// It is of another version of the protocol.
    #[error("it is of protocol version {0}")]
    VersionMismatch(u16),
    /// Its bytes are no frame.
    #[error("it can't be read: {0}")]
    Undecodable(#[source] ciborium::de::Error<std::io::Error>),
    /// Its bytes can't be decompressed.
    #[error("it can't be read: {0}")]
    Undecompressable(#[source] lz4_flex::block::DecompressError),
    /// Its declared length, compressed or not, is over [`MAX_FRAME_BYTES`].
    #[error("it has {0} bytes")]
    TooLong(usize),
    /// Its connection broke, or it did not arrive in time.
    #[error("{0}")]
    Connection(#[from] std::io::Error),
}

/// A message from another process.
pub struct ReceivedMessage {
    /// Internal address of the process that sent it.
    pub from: SocketAddrV4,
    /// The message.
    pub envelope: Envelope,
}

#[derive(Serialize, Deserialize)]
struct Frame {
    version: u16,
    from: SocketAddrV4,
    envelope: Envelope,
}

/// Encodes a frame, uncompressed.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn encode(
    from: SocketAddrV4,
    envelope: Envelope,
) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let frame = Frame { version: PROTOCOL_VERSION, from, envelope };
    let mut bytes = Vec::new();
    ciborium::into_writer(&frame, &mut bytes)?;
    Ok(bytes)
}

/// Compresses an encoded frame.
pub fn compress(frame: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(frame)
}

/// Decompresses a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] by the declared length, before anything is allocated for it, and
/// [`FrameError::Undecompressable`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let length_prefix = bytes.first_chunk::<LENGTH_BYTES>();
    let declared_length = length_prefix.map_or(0, |prefix| u32::from_le_bytes(*prefix) as usize);
    if declared_length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(declared_length));
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(FrameError::Undecompressable)
}

/// Decodes an uncompressed frame.
///
/// # Errors
///
/// Returns [`FrameError::Undecodable`] or [`FrameError::VersionMismatch`].
pub fn decode(bytes: &[u8]) -> Result<ReceivedMessage, FrameError> {
    let frame: Frame = ciborium::from_reader(bytes).map_err(FrameError::Undecodable)?;
    if frame.version != PROTOCOL_VERSION {
        return Err(FrameError::VersionMismatch(frame.version));
    }
    Ok(ReceivedMessage { from: frame.from, envelope: frame.envelope })
}

#[cfg(test)]
mod tests;
