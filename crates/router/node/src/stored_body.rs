//! Bodies of requests that are read completely and charged to the memory budget.
//!
//! A chunk as received may be a small part of a large read buffer, which it keeps allocated. Bodies are therefore copied into
//! segments, whose whole capacity is charged before they are allocated.

use crate::memory::MemoryCharge;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use passrelay_data_plane::memory_budget::MemoryExhausted;
use smol::Timer;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use std::vec;
use thiserror::Error;

/// Maximum size of a segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;
/// Size of the first segment of a body of unknown length, in bytes. Each further one is twice as large.
const FIRST_SEGMENT_BYTES: usize = 512;
/// Overhead of a segment, in bytes.
const SEGMENT_OVERHEAD_BYTES: usize = 96;

/// Limits on a body while it is read.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length, in bytes.
    pub max_length: usize,
    /// Maximum time without any part of the body.
    pub chunk_timeout: Duration,
    /// Maximum time for the whole body.
    pub total_timeout: Duration,
}

/// Reason for which a body was not read to its end. Nothing of it is held any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyReadError {
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
    /// The body, or a part of it, did not arrive in time.
    #[error("the body came too slowly")]
    TimedOut,
    /// The connection ended, or the framing is malformed.
    #[error("the body was cut off")]
    Disconnected,
    /// The memory budget has no room for the body.
    #[error("{0}")]
    MemoryExhausted(#[from] MemoryExhausted),
}

/// A complete body, charged to the memory budget as long as it or any of its copies for sending exists.
#[derive(Clone, Default)]
pub struct StoredBody {
    segments: Vec<Bytes>,
    length: usize,
    charge: Option<Rc<MemoryCharge>>,
}

impl StoredBody {
    /// Reads a body to its end. Its bytes are charged to `charge`.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyReadError`] if a limit is exceeded or the client disconnects.
    pub async fn read(
        limits: BodyLimits,
        charge: MemoryCharge,
        body: Incoming,
    ) -> Result<StoredBody, BodyReadError> {
        if body.size_hint().lower() > limits.max_length as u64 {
            return Err(BodyReadError::TooLong);
        }
        if body.is_end_stream() {
            return Ok(StoredBody::default());
        }
        let timeout = async {
            Timer::after(limits.total_timeout).await;
            Err(BodyReadError::TimedOut)
        };
        smol::future::or(read_chunks(limits, charge, body), timeout).await
    }

    /// Returns the body as it is sent. It shares the segments with this one.
    pub fn to_outbound(&self) -> OutboundBody {
        OutboundBody {
            segments: self.segments.clone().into_iter(),
            remaining: self.length,
            _charge: self.charge.clone(),
        }
    }

    /// Returns the body in one piece, with a charge for it.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the budget has no room for the copy that this takes.
    pub fn into_contiguous(
        self,
        mut copy_charge: MemoryCharge,
    ) -> Result<(Vec<u8>, MemoryCharge), MemoryExhausted> {
        copy_charge.grow(self.length as u64)?;
        Ok((self.segments.concat(), copy_charge))
    }
}

async fn read_chunks(
    limits: BodyLimits,
    charge: MemoryCharge,
    mut body: Incoming,
) -> Result<StoredBody, BodyReadError> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut segments = SegmentWriter::new(expected, charge);
    loop {
        let timeout = async {
            Timer::after(limits.chunk_timeout).await;
            Err(BodyReadError::TimedOut)
        };
        let frame = smol::future::or(async { Ok(body.frame().await) }, timeout).await?;
        let Some(frame) = frame else { break };
        let Ok(part) = frame.map_err(|_| BodyReadError::Disconnected)?.into_data() else { continue };
        if segments.length + part.len() > limits.max_length {
            return Err(BodyReadError::TooLong);
        }
        segments.append(&part)?;
    }
    Ok(segments.finish())
}

/// Copies the parts of a body into segments.
pub struct SegmentWriter {
    complete: Vec<Bytes>,
    current: Vec<u8>,
    next_capacity: usize,
    /// Length of the body that has been announced; 0 if it is unknown.
    expected: usize,
    length: usize,
    charge: MemoryCharge,
}

impl SegmentWriter {
    /// Creates a writer without segments. `expected` is the announced length, or 0.
    pub fn new(expected: usize, charge: MemoryCharge) -> Self {
        SegmentWriter {
            complete: Vec::new(),
            current: Vec::new(),
            next_capacity: FIRST_SEGMENT_BYTES,
            expected,
            length: 0,
            charge,
        }
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the budget has no room for a further segment.
    pub fn append(&mut self, mut part: &[u8]) -> Result<(), MemoryExhausted> {
        while !part.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.begin_segment()?;
            }
            let free = self.current.capacity() - self.current.len();
            let (fitting, rest) = part.split_at(free.min(part.len()));
            self.current.extend_from_slice(fitting);
            self.length += fitting.len();
            part = rest;
        }
        Ok(())
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> StoredBody {
        self.complete_segment();
        StoredBody { segments: self.complete, length: self.length, charge: Some(Rc::new(self.charge)) }
    }

    fn begin_segment(&mut self) -> Result<(), MemoryExhausted> {
        let announced = self.expected.saturating_sub(self.length);
        let capacity = if announced > 0 { announced.min(MAX_SEGMENT_BYTES) } else { self.next_capacity };
        self.charge.grow((capacity + SEGMENT_OVERHEAD_BYTES) as u64)?;
        self.next_capacity = (self.next_capacity * 2).min(MAX_SEGMENT_BYTES);
        self.complete_segment();
        self.current = Vec::with_capacity(capacity);
        Ok(())
    }

    fn complete_segment(&mut self) {
        if !self.current.is_empty() {
            self.complete.push(std::mem::take(&mut self.current).into());
        }
    }
}

/// A stored body while it is sent, segment by segment.
pub struct OutboundBody {
    segments: vec::IntoIter<Bytes>,
    remaining: usize,
    /// Keeps the segments charged.
    _charge: Option<Rc<MemoryCharge>>,
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.next();
        self.remaining -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}

#[cfg(test)]
#[path = "stored_body/tests.rs"]
mod tests;
