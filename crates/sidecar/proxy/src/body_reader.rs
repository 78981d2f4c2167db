//! Incremental reading of message bodies framed by length, in chunks or by the end of the connection.

use crate::buffer_pool::{Buffer, MAX_BODY_BYTES};
use crate::http::{Framing, Head, MessageError};
use passrelay_response_head::check_field_line;

/// Maximum length of a chunk-size line, extensions included, and of a trailer line.
const MAX_FRAMING_LINE_BYTES: usize = 1024;

/// Maximum number of framing bytes in one chunked body, beside the body itself. Without a limit, a message
/// with endless trailers would be read for as long as they come.
const MAX_FRAMING_BYTES: usize = 512 * 1024;

#[derive(Clone, Copy, Debug)]
enum ChunkStep {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Reads one message body in place in its buffer. Chunked bodies are joined: the framing between chunks is
/// removed.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    step: ChunkStep,
    /// Framing bytes read since the last call of `consume`.
    framing_bytes: usize,
    /// Start of the body in the buffer.
    pub start: usize,
    pub end: usize,
    /// End of the parsed bytes in the buffer, framing included; equal to `end` unless framing follows the
    /// body.
    pub parsed_end: usize,
    /// Whether the body is consumed while it is received. Its size is then not limited by the buffer.
    pub streaming: bool,
    /// Body bytes already consumed and removed from the buffer.
    consumed: usize,
}

impl BodyReader {
    pub fn new(head: &Head) -> Self {
        let start = head.len;
        let (streaming, consumed) = (false, 0);
        BodyReader {
            framing: head.framing,
            step: ChunkStep::Size,
            framing_bytes: 0,
            start,
            end: start,
            parsed_end: start,
            streaming,
            consumed,
        }
    }

    /// Returns the declared length of the body, which is declared to the client as well; `None` if the
    /// message has none.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(n) => Some(n),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Returns whether the end of the connection marks the end of the body.
    pub fn until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Removes the first `n` bytes of the body from the buffer after they have been forwarded.
    pub fn consume(&mut self, buffer: &mut Buffer, n: usize) {
        let n = n.min(self.end - self.start);
        buffer.remove_range(self.start, self.start + n);
        self.end -= n;
        self.parsed_end -= n;
        self.consumed += n;
        self.framing_bytes = 0;
    }

    /// Removes the bytes before the body from the buffer.
    pub fn drop_head(&mut self, buffer: &mut Buffer) {
        buffer.remove_range(0, self.start);
        self.end -= self.start;
        self.parsed_end -= self.start;
        self.start = 0;
    }

    /// Parses the bytes that the buffer holds by now; `ended` is set once the connection has ended. Returns
    /// whether the body is complete.
    pub fn read(&mut self, buffer: &mut Buffer, ended: bool) -> Result<bool, MessageError> {
        let filled = buffer.bytes().len();
        match self.framing {
            Framing::Length(n) => {
                self.end = filled.min(self.start + n - self.consumed);
                self.parsed_end = self.end;
                Ok(self.consumed + self.end - self.start == n)
            }
            Framing::UntilClose => {
                self.end = filled;
                self.parsed_end = filled;
                if self.end - self.start > MAX_BODY_BYTES && !self.streaming {
                    Err(MessageError(413))
                } else {
                    Ok(ended)
                }
            }
            Framing::Chunked => {
                let done = self.read_chunks(buffer)?;
                if !done && self.parsed_end > self.end {
                    buffer.remove_range(self.end, self.parsed_end);
                    self.parsed_end = self.end;
                }
                Ok(done)
            }
        }
    }

    /// Skips framing bytes and checks their limit.
    fn skip_framing(&mut self, bytes: usize) -> Result<(), MessageError> {
        self.parsed_end += bytes;
        self.framing_bytes += bytes;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(MessageError(400));
        }
        Ok(())
    }

    fn read_chunks(&mut self, buffer: &mut Buffer) -> Result<bool, MessageError> {
        loop {
            let filled = buffer.bytes().len();
            let unread = &buffer.bytes()[self.parsed_end..];
            match self.step {
                ChunkStep::Size => match parse_chunk_size(unread) {
                    Ok(httparse::Status::Complete((line_len, size))) => {
                        if !self.streaming && size > (MAX_BODY_BYTES - (self.end - self.start)) as u64 {
                            return Err(MessageError(413));
                        }
                        self.skip_framing(line_len)?;
                        self.step =
                            if size == 0 { ChunkStep::Trailer } else { ChunkStep::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if unread.len() <= MAX_FRAMING_LINE_BYTES => {
                        return Ok(false)
                    }
                    _ => return Err(MessageError(400)),
                },
                ChunkStep::Data(remaining) => {
                    let n = remaining.min(filled - self.parsed_end);
                    buffer.shift_down(self.parsed_end, self.parsed_end + n, self.end);
                    self.end += n;
                    self.parsed_end += n;
                    self.step =
                        if n == remaining { ChunkStep::DataEnd } else { ChunkStep::Data(remaining - n) };
                    if n < remaining {
                        return Ok(false);
                    }
                }
                ChunkStep::DataEnd => {
                    if unread.len() < 2 {
                        return Ok(false);
                    }
                    if &unread[..2] != b"\r\n" {
                        return Err(MessageError(400));
                    }
                    self.skip_framing(2)?;
                    self.step = ChunkStep::Size;
                }
                ChunkStep::Trailer => {
                    let Some(line_end) = unread.windows(2).position(|w| w == b"\r\n") else {
                        return if unread.len() > MAX_FRAMING_LINE_BYTES {
                            Err(MessageError(400))
                        } else {
                            Ok(false)
                        };
                    };
                    if line_end > 0 && check_field_line(&unread[..line_end]).is_err() {
                        return Err(MessageError(400));
                    }
                    self.skip_framing(line_end + 2)?;
                    if line_end == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// Parses the line before a chunk. Returns its length and the size of the chunk.
fn parse_chunk_size(bytes: &[u8]) -> Result<httparse::Status<(usize, u64)>, httparse::InvalidChunkSize> {
    // The library takes a line without a digit for the size 0, which would end the body.
    if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(httparse::InvalidChunkSize);
    }
    httparse::parse_chunk_size(bytes)
}
