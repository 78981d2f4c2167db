//! A body relay: an answer too large for one buffer goes from its node to its client while it comes.
//!
//! The node's connection and the client's are coupled through the one buffer of the node's connection:
//! what is read is passed on, and nothing more is read until it is out, so a slow client slows the node
//! down (backpressure) and the memory of a body relay is one buffer however large the answer. The client gets
//! the node's length where the node told one, and chunks otherwise. Once a body relay has begun the answer is
//! the client's: if the node breaks off, the client's connection is closed before the end, which the
//! client can tell from the length or the missing last chunk.

use crate::buffer_pool::Buffer;
use crate::http::{BodyReader, MAX_RELAYED_BYTES};
use std::io::{self, IoSlice, Read, Write};

/// Bytes that are read of one answer at one go.
const MAX_READ_PER_TURN: usize = 256 << 10;

/// How a body relay goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Waiting for one side or the other.
    Blocked,
    /// There may be more on both sides: others first, then again.
    Yield,
    /// All of it is out; the node's connection may carry another attempt if `reusable`.
    Done {
        /// Nothing stands behind the answer and the node keeps the connection.
        reusable: bool,
    },
    /// The node broke off or sent what is no answer.
    NodeFailed,
    /// The client's connection failed.
    ClientFailed,
}

/// The state of one relay.
pub struct BodyRelay {
    /// The client's connection.
    pub client: usize,
    /// Bytes to the client before the next piece of the body: the head first, then a chunk's size line.
    prefix: Vec<u8>,
    /// Bytes of the body in the piece that goes out now.
    piece: usize,
    /// Of the prefix and the piece.
    written: usize,
    chunked: bool,
    /// Chunks so far, for the line ends between them.
    chunks: u64,
    /// The node's answer has been read to its end.
    whole: bool,
    /// The last piece, the end of the chunks among them, is set out.
    last: bool,
    /// When bytes last moved either way.
    pub last_progress: f64,
    /// Bytes of the body passed on.
    pub passed: u64,
}

impl BodyRelay {
    /// A body relay to this client that begins with this head.
    pub fn new(client: usize, head: Vec<u8>, chunked: bool, now: f64) -> Self {
        let (piece, written, chunks, whole, last, passed) = (0, 0, 0, false, false, 0);
        BodyRelay {
            client,
            prefix: head,
            piece,
            written,
            chunked,
            chunks,
            whole,
            last,
            last_progress: now,
            passed,
        }
    }

    /// Moves what can be moved, until one side has to be waited for or others have their turn.
    pub fn pump(
        &mut self,
        now: f64,
        buffer: &mut Buffer,
        body: &mut BodyReader,
        node: &mut impl Read,
        client: &mut impl Write,
    ) -> Flow {
        let mut read = 0;
        loop {
            let data = &buffer.bytes()[body.start..body.start + self.piece];
            let (prefix, done) = (self.prefix.len(), self.written.saturating_sub(self.prefix.len()));
            if self.written < prefix + self.piece {
                let slices =
                    [IoSlice::new(&self.prefix[self.written.min(prefix)..]), IoSlice::new(&data[done..])];
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
            body.consume(buffer, self.piece);
            self.passed += self.piece as u64;
            if self.passed > MAX_RELAYED_BYTES as u64 {
                // Guards against an answer without end; one that tells its length is never as long.
                return Flow::NodeFailed;
            }
            self.prefix = Vec::new();
            self.piece = 0;
            self.written = 0;
            if self.last {
                return Flow::Done { reusable: body.raw == buffer.bytes().len() && !body.until_close() };
            }
            let ready = body.end - body.start;
            if ready > 0 {
                self.piece = ready;
                if self.chunked {
                    let between = if self.chunks > 0 { "\r\n" } else { "" };
                    self.prefix = format!("{between}{ready:x}\r\n").into_bytes();
                    self.chunks += 1;
                }
                continue;
            }
            if self.whole {
                self.last = true;
                if self.chunked {
                    let between = if self.chunks > 0 { "\r\n" } else { "" };
                    self.prefix = format!("{between}0\r\n\r\n").into_bytes();
                }
                continue;
            }
            if buffer.is_full() {
                // Framing that fills a whole buffer without a byte of body is no answer.
                return Flow::NodeFailed;
            }
            // Guards against a long answer between two fast sides that keeps the loop to itself.
            if read >= MAX_READ_PER_TURN {
                return Flow::Yield;
            }
            let ended = match buffer.fill_from(node) {
                Ok(n) => {
                    read += n;
                    n == 0
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Flow::Blocked,
                Err(_) => return Flow::NodeFailed,
            };
            self.last_progress = now;
            match body.read(buffer, ended) {
                Ok(true) => self.whole = true,
                Ok(false) if ended => return Flow::NodeFailed,
                Ok(false) => {}
                Err(_) => return Flow::NodeFailed,
            }
        }
    }
}

#[cfg(test)]
mod tests;
