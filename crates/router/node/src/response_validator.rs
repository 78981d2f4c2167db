//! Validates the heads of responses between a connection to a server and the HTTP library.
//!
//! The library reads some damaged heads as something else, for example as a body that ends with its connection, and does not tell
//! what it was given. The validator sees the bytes before the library does. It holds the head of each response back until it is
//! complete, has [`HeadParser`] decide whether it is well-formed, and passes the bytes on unchanged. After a malformed head reading
//! fails, so that the library gets no byte of the response and the connection cannot carry another request.

use passrelay_response_head::{HeadParser, MalformedHead, RequestKind};
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Maximum size of the head of a response, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// Handle of the validation of one connection: announces responses, and tells what became of them.
#[derive(Clone, Default)]
pub struct ResponseValidator {
    state: Rc<RefCell<ValidatorState>>,
}

/// What the validator does with the bytes that it reads.
#[derive(Default)]
enum ValidatorState {
    /// Passes them on: they belong to a body, or to no response.
    #[default]
    PassThrough,
    /// Holds them back, because the head of a response is not complete.
    Buffering(BufferedHead),
    /// Passes these bytes on first, which it has held back.
    Releasing { bytes: Vec<u8>, passed: usize },
    /// Passes nothing on, because of this fault.
    Rejected(MalformedHead),
}

impl ResponseValidator {
    /// Returns the connection whose responses are validated.
    pub fn validate<S>(&self, stream: S) -> ValidatedStream<S> {
        ValidatedStream { stream, validator: self.clone() }
    }

    /// Expects the response to a request that is about to be sent.
    pub fn expect_response(&self, request: RequestKind) {
        let mut state = self.state.borrow_mut();
        match *state {
            ValidatorState::Rejected(_) => {}
            // What has not been read after the previous response belongs to no request.
            ValidatorState::Releasing { .. } => *state = ValidatorState::Rejected(MalformedHead::StatusLine),
            ValidatorState::PassThrough | ValidatorState::Buffering(_) => {
                *state = ValidatorState::Buffering(BufferedHead::new(request))
            }
        }
    }

    /// Returns whether the head of the expected response has been passed on.
    pub fn has_passed_head(&self) -> bool {
        matches!(*self.state.borrow(), ValidatorState::PassThrough | ValidatorState::Releasing { .. })
    }

    /// Returns the fault of a response that was not passed on.
    pub fn fault(&self) -> Option<MalformedHead> {
        match *self.state.borrow() {
            ValidatorState::Rejected(fault) => Some(fault),
            _ => None,
        }
    }
}

/// The head of a response, as far as it has been received.
struct BufferedHead {
    request: RequestKind,
    parser: HeadParser,
    /// All bytes that are held back: interim responses and the beginning of the head.
    bytes: Vec<u8>,
    /// End of the interim responses.
    head_start: usize,
}

impl BufferedHead {
    fn new(request: RequestKind) -> Self {
        let parser = HeadParser::new(request, MAX_RESPONSE_HEAD_BYTES);
        BufferedHead { request, parser, bytes: Vec::new(), head_start: 0 }
    }

    /// Reads `bytes`, all those received so far. Returns whether the final head is complete.
    fn read(&mut self, bytes: &[u8]) -> Result<bool, MalformedHead> {
        while let Some(head) = self.parser.read(&bytes[self.head_start..])? {
            if !head.is_interim() {
                return Ok(true);
            }
            self.head_start += head.length;
            self.parser = HeadParser::new(self.request, MAX_RESPONSE_HEAD_BYTES);
            if self.head_start > MAX_RESPONSE_HEAD_BYTES {
                return Err(MalformedHead::TooLong);
            }
        }
        Ok(false)
    }
}

impl ValidatorState {
    /// Takes the bytes that have just been read. Returns whether they can be passed on at once.
    fn receive(&mut self, received: &[u8]) -> bool {
        let ValidatorState::Buffering(head) = self else { return true };
        let result = if head.bytes.is_empty() {
            head.read(received)
        } else {
            let mut bytes = std::mem::take(&mut head.bytes);
            bytes.extend_from_slice(received);
            let result = head.read(&bytes);
            head.bytes = bytes;
            result
        };
        match result {
            Ok(true) if head.bytes.is_empty() => *self = ValidatorState::PassThrough,
            Ok(true) => {
                *self = ValidatorState::Releasing { bytes: std::mem::take(&mut head.bytes), passed: 0 }
            }
            Ok(false) if head.bytes.is_empty() => head.bytes.extend_from_slice(received),
            Ok(false) => {}
            Err(fault) => *self = ValidatorState::Rejected(fault),
        }
        matches!(self, ValidatorState::PassThrough)
    }

    /// Passes on what fits `buffer` of the bytes that were held back. Returns `None` if there are none.
    fn pass_buffered(&mut self, buffer: &mut [u8]) -> Option<usize> {
        let ValidatorState::Releasing { bytes, passed } = self else { return None };
        let length = buffer.len().min(bytes.len() - *passed);
        buffer[..length].copy_from_slice(&bytes[*passed..*passed + length]);
        *passed += length;
        if *passed == bytes.len() {
            *self = ValidatorState::PassThrough;
        }
        Some(length)
    }
}

/// A connection behind a [`ResponseValidator`].
pub struct ValidatedStream<S> {
    stream: S,
    validator: ResponseValidator,
}

impl<S: AsyncRead + Unpin> AsyncRead for ValidatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let validated = &mut *self;
        loop {
            let mut state = validated.validator.state.borrow_mut();
            if let ValidatorState::Rejected(fault) = *state {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
            }
            if let Some(length) = state.pass_buffered(buffer) {
                return Poll::Ready(Ok(length));
            }
            let length = ready!(Pin::new(&mut validated.stream).poll_read(context, buffer))?;
            if length == 0 || state.receive(&buffer[..length]) {
                return Poll::Ready(Ok(length));
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ValidatedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, buffer: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

#[cfg(test)]
mod tests;
