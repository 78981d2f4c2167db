//! Buffers of one size, used again.

use std::io::{self, Read, Write};

/// Room for the head of a message.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Room for what a head grows by on its way to a node.
const HEAD_GROWTH_BYTES: usize = 1024;
/// The size of every buffer.
const BUFFER_SIZE: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + HEAD_GROWTH_BYTES;
/// Unused buffers that are kept.
const MAX_FREE_BUFFERS: usize = 128;

/// One buffer: its bytes from 0 to `end` are filled.
pub struct Buffer {
    buf: Box<[u8]>,
    end: usize,
}

impl Buffer {
    /// The filled part.
    pub fn bytes(&self) -> &[u8] {
        &self.buf[..self.end]
    }

    pub fn is_full(&self) -> bool {
        self.end == self.buf.len()
    }

    /// Reads once; `Ok(0)` is the end of the stream. Must not be called when full.
    pub fn fill_from(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let n = from.read(&mut self.buf[self.end..])?;
        self.end += n;
        Ok(n)
    }

    /// Moves the bytes `from..to` down to `at`.
    pub fn shift_down(&mut self, from: usize, to: usize, at: usize) {
        self.buf.copy_within(from..to, at);
    }

    /// Cuts the gap `from..to` out.
    pub fn cut(&mut self, from: usize, to: usize) {
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

/// The pool of buffers. How many are out is bounded by the caps on connections: each holds one at most.
#[derive(Default)]
pub struct BufferPool {
    free: Vec<Box<[u8]>>,
    /// Buffers taken and not given back.
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
