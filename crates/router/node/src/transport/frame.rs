//! Codec of the frames between processes. This module uses no sockets.
//!
//! A frame is the CBOR encoding of protocol version, sender and envelope. A small frame is sent uncompressed in a
//! datagram. A large frame is compressed in LZ4 block format, prefixed with its uncompressed length (four bytes,
//! little endian), and sent over a connection after its compressed length (four bytes, big endian).

use passrelay_control_plane::Envelope;
use passrelay_data_plane::memory_budget::MemoryExhausted;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use thiserror::Error;

/// Version of the internal protocol. Frames of other versions are dropped.
const PROTOCOL_VERSION: u16 = 2;
/// Maximum length of a frame in bytes, both compressed and uncompressed.
pub const MAX_FRAME_BYTES: usize = 24 << 20;
/// Size of a length prefix in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Reason for dropping a received frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame has another protocol version.
    #[error("the frame has protocol version {0}, expected {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// The bytes are not a valid frame.
    #[error("the frame cannot be decoded: {0}")]
    Undecodable(#[source] ciborium::de::Error<std::io::Error>),
    /// The bytes cannot be decompressed.
    #[error("the frame cannot be decompressed: {0}")]
    Undecompressable(#[source] lz4_flex::block::DecompressError),
    /// The declared length, compressed or uncompressed, exceeds [`MAX_FRAME_BYTES`].
    #[error("the frame has {0} bytes, the limit is {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The memory budget has no room for the frame.
    #[error("{0}")]
    MemoryExhausted(#[from] MemoryExhausted),
    /// The connection broke, or the frame did not arrive in time.
    #[error("{0}")]
    Connection(#[from] std::io::Error),
}

/// A decoded message from another process.
pub struct ReceivedMessage {
    /// Internal address of the sender.
    pub from: SocketAddrV4,
    /// The message with the incarnations of sender and addressee.
    pub envelope: Envelope,
}

#[derive(Serialize, Deserialize)]
struct Frame {
    version: u16,
    from: SocketAddrV4,
    envelope: Envelope,
}

/// Encodes a frame without compressing it.
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

/// Returns the length that a compressed frame declares for its uncompressed form, in bytes.
pub fn decompressed_length(bytes: &[u8]) -> usize {
    let length_prefix = bytes.first_chunk::<LENGTH_BYTES>();
    length_prefix.map_or(0, |prefix| u32::from_le_bytes(*prefix) as usize)
}

/// Decompresses a frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the declared length exceeds the limit, before allocating memory for it, and
/// [`FrameError::Undecompressable`] if decompression fails.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let declared_length = decompressed_length(bytes);
    if declared_length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(declared_length));
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(FrameError::Undecompressable)
}

/// Decodes an uncompressed frame.
///
/// # Errors
///
/// Returns [`FrameError::Undecodable`] if the bytes are not a valid frame, and [`FrameError::VersionMismatch`] if its
/// protocol version is not [`PROTOCOL_VERSION`].
pub fn decode(bytes: &[u8]) -> Result<ReceivedMessage, FrameError> {
    let frame: Frame = ciborium::from_reader(bytes).map_err(FrameError::Undecodable)?;
    if frame.version != PROTOCOL_VERSION {
        return Err(FrameError::VersionMismatch(frame.version));
    }
    Ok(ReceivedMessage { from: frame.from, envelope: frame.envelope })
}

#[cfg(test)]
mod tests;
