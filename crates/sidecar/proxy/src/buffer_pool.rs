//! Fixed-size I/O buffers and the pool that reuses them.

use std::io::{self, Read, Write};

/// Maximum size of a message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a message body that is buffered in full.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Space for headers that the sidecar adds to a request head before forwarding it to a node.
const HEAD_GROWTH_BYTES: usize = 1024;
/// Size of every buffer: one complete message of the maximum size.
const BUFFER_SIZE: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + HEAD_GROWTH_BYTES;
/// Maximum number of free buffers that the pool retains; the others are deallocated on release.
const MAX_FREE_BUFFERS: usize = 128;

/// A fixed-size buffer; the bytes `0..end` are filled.
pub struct Buffer {
    buf: Box<[u8]>,
    end: usize,
}

impl Buffer {
    /// Returns the filled part.
    pub fn bytes(&self) -> &[u8] {
        &self.buf[..self.end]
    }

    pub fn is_full(&self) -> bool {
        self.end == self.buf.len()
    }

    /// Reads once from `from` and appends the bytes. Returns `Ok(0)` at the end of the stream. Must not be
    /// called on a full buffer, which would look like the end of the stream.
    pub fn fill_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let n = from.read(&mut self.buf[self.end..])?;
        self.end += n;
        Ok(n)
    }

    /// Moves the bytes `from..to` to the lower offset `at`; the filled length does not change.
    pub fn shift_down(&mut self, from: usize, to: usize, at: usize) {
        self.buf.copy_within(from..to, at);
    }

    /// Removes the bytes `from..to` and moves the bytes after them down.
    pub fn remove_range(&mut self, from: usize, to: usize) {
        self.buf.copy_within(to..self.end, from);
        self.end -= to - from;
    }

    pub fn clear(&mut self) {
        self.end = 0;
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let n = bytes.len().min(self.buf.len() - self.end);
        self.buf[self.end..self.end + n].copy_from_slice(&bytes[..n]);
        self.end += n;
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A pool of equally sized buffers. The connection limits bound the number in use: a connection holds at most
/// one buffer for what it receives, and a client's connection one more while a buffered response is written
/// to it.
#[derive(Default)]
pub struct BufferPool {
    free: Vec<Box<[u8]>>,
    /// Buffers acquired and not yet released; shown as `buffers` in `/status`.
    pub in_use: usize,
}

impl BufferPool {
    pub fn acquire(&mut self) -> Buffer {
        let buf = self.free.pop().unwrap_or_else(|| vec![0; BUFFER_SIZE].into_boxed_slice());
        self.in_use += 1;
        Buffer { buf, end: 0 }
    }

    pub fn release(&mut self, buffer: Buffer) {
        self.in_use = self.in_use.saturating_sub(1);
        if self.free.len() < MAX_FREE_BUFFERS {
            self.free.push(buffer.buf);
        }
    }
}
