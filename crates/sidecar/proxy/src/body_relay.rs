//! Streams a response body that is larger than one buffer from its node to its client while it is received.
//!
//! The relay couples the two connections through the single buffer of the node's connection. Bytes read from
//! the node are written to the client, and nothing more is read until they are out. A slow client therefore
//! slows the node down (backpressure), and a relay needs one buffer of memory however large the response is.
//! The client gets the node's `Content-Length` if the node declared one, and a chunked body otherwise.
//!
//! Once a relay has begun, the response is committed: if the node fails, the client's connection is closed
//! early, which the client can tell from the length or the missing last chunk.

use crate::body_reader::BodyReader;
use crate::buffer_pool::Buffer;
use crate::http::MAX_RELAYED_BYTES;
use std::io::{self, IoSlice, Read, Write};

/// Maximum number of bytes read from a node before other connections get their turn.
const MAX_READ_BYTES_PER_TURN: usize = 256 << 10;

/// The state of a relay after a call of [`BodyRelay::pump`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Waiting until the node's connection is readable or the client's writable.
    Blocked,
    /// Both sides may be ready, but other connections get their turn before the next call.
    Yield,
    /// The complete response has been written to the client.
    Done {
        /// Whether the node's connection can carry another attempt: no bytes follow the response and the node
        /// keeps the connection open.
        reusable: bool,
    },
    /// The node's connection failed, or the node sent an invalid response.
    NodeFailed,
    /// The client's connection failed.
    ClientFailed,
}

/// The state of one relay.
pub struct BodyRelay {
    /// Key of the client's connection.
    pub client: usize,
    /// Bytes written before the current piece of the body: the response head, or a chunk's size line.
    prefix: Vec<u8>,
    /// Length of the body piece that is being written.
    piece_len: usize,
    /// Bytes written of the prefix and the piece together.
    written: usize,
    chunked: bool,
    /// Chunks so far, for the line ends between them.
    chunk_count: u64,
    /// The node's response has been read completely.
    body_complete: bool,
    /// Everything up to the end of the response is queued, the last chunk included.
    final_piece_queued: bool,
    /// When bytes were last read or written, in seconds on the loop's clock.
    pub last_progress: f64,
    /// Body bytes written to the client.
    pub relayed_bytes: u64,
}

impl BodyRelay {
    /// Creates a relay to the client with this key; `head` is the serialized response head.
    pub fn new(client: usize, head: Vec<u8>, chunked: bool, now: f64) -> Self {
        BodyRelay {
            client,
            prefix: head,
            piece_len: 0,
            written: 0,
            chunked,
            chunk_count: 0,
            body_complete: false,
            final_piece_queued: false,
            last_progress: now,
            relayed_bytes: 0,
        }
    }

    /// Reads and writes until one side blocks, the response is complete, or [`MAX_READ_BYTES_PER_TURN`] is
    /// reached.
    pub fn pump(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        body: &mut BodyReader,
        node: &mut impl Read,
        client: &mut impl Write,
    ) -> Flow {
        let mut read_bytes = 0;
        loop {
            let data = &buffer.bytes()[body.start..body.start + self.piece_len];
            let (prefix_len, piece_written) =
                (self.prefix.len(), self.written.saturating_sub(self.prefix.len()));
            if self.written < prefix_len + self.piece_len {
                let slices = [
                    IoSlice::new(&self.prefix[self.written.min(prefix_len)..]),
                    IoSlice::new(&data[piece_written..]),
                ];
                match client.write_vectored(&slices) {
                    Ok(0) => return Flow::ClientFailed,
                    Ok(n) => {
                        self.written += n;
                        self.last_progress = now;
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Flow::Blocked,
                    Err(_) => return Flow::ClientFailed,
                }
                continue;
            }
            body.consume(buffer, self.piece_len);
            self.relayed_bytes += self.piece_len as u64;
            if self.relayed_bytes > MAX_RELAYED_BYTES as u64 {
                // Bounds responses of undeclared length; declared lengths are checked with the head.
                return Flow::NodeFailed;
            }
            self.prefix = Vec::new();
            self.piece_len = 0;
            self.written = 0;
            if self.final_piece_queued {
                return Flow::Done {
                    reusable: body.parsed_end == buffer.bytes().len() && !body.until_close(),
                };
            }
            let available = body.end - body.start;
            if available > 0 {
                self.piece_len = available;
                if self.chunked {
                    let separator = if self.chunk_count > 0 { "\r\n" } else { "" };
                    self.prefix = format!("{separator}{available:x}\r\n").into_bytes();
                    self.chunk_count += 1;
                }
                continue;
            }
            if self.body_complete {
                self.final_piece_queued = true;
                if self.chunked {
                    let separator = if self.chunk_count > 0 { "\r\n" } else { "" };
                    self.prefix = format!("{separator}0\r\n\r\n").into_bytes();
                }
                continue;
            }
            if buffer.is_full() {
                // Framing that fills the whole buffer without any body byte is invalid.
                return Flow::NodeFailed;
            }
            // Without this limit, a long response between a fast node and a fast client would monopolize the
            // event loop.
            if read_bytes >= MAX_READ_BYTES_PER_TURN {
                return Flow::Yield;
            }
            let ended = match buffer.fill_from(node) {
                Ok(n) => {
                    read_bytes += n;
                    n == 0
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Flow::Blocked,
                Err(_) => return Flow::NodeFailed,
            };
            self.last_progress = now;
            match body.read(buffer, ended) {
                Ok(true) => self.body_complete = true,
                Ok(false) if ended => return Flow::NodeFailed,
                Ok(false) => {}
                Err(_) => return Flow::NodeFailed,
            }
        }
    }
}

#[cfg(test)]
mod tests;
