//! What the content of a response's body tells while it is relayed: which bytes can be relayed, whether its end is a regular
//! one, and where another endpoint can resume it.

use super::headers::{ends_with_connection, is_event_stream};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use passrelay_data_plane::event_stream::{EventBuffer, EventScanner, ResumePosition};

/// Error of a response whose continuation would repeat a part that the client has.
pub struct UnknownPosition;

/// The content of a body that is being relayed.
pub struct BodyContent {
    relaying: Relaying,
    /// Whether the response is an event stream, which its continuation has to be as well.
    is_event_stream: bool,
    /// Whether the body ends with its connection.
    ends_with_connection: bool,
    /// Whether any part of the body has been relayed.
    has_relayed: bool,
}

/// How a body is relayed.
enum Relaying {
    /// As it arrives.
    Direct(EventScanner),
    /// In complete events, because it can be resumed.
    Resumable(EventBuffer),
}

impl BodyContent {
    /// Creates the content of the body of a response with these headers. `can_resume` tells whether another endpoint may
    /// resume it.
    pub fn new(headers: &HeaderMap, can_resume: bool) -> Self {
        let relaying = if can_resume {
            Relaying::Resumable(EventBuffer::default())
        } else {
            Relaying::Direct(EventScanner::default())
        };
        BodyContent {
            relaying,
            is_event_stream: is_event_stream(headers),
            ends_with_connection: ends_with_connection(headers),
            has_relayed: false,
        }
    }

    /// Returns whether the body is relayed in complete events, because it can be resumed.
    pub fn is_resumable(&self) -> bool {
        matches!(self.relaying, Relaying::Resumable(_))
    }

    /// Processes a chunk and returns the bytes that can now be relayed.
    pub fn relayable(&mut self, data: Bytes) -> Option<Bytes> {
        let chunk = match &mut self.relaying {
            Relaying::Resumable(events) => events.push(&data),
            Relaying::Direct(scanner) => {
                if self.is_event_stream {
                    scanner.scan(&data);
                }
                Some(data)
            }
        };
        self.has_relayed |= chunk.is_some();
        chunk
    }

    /// Returns whether a body that has ended regularly shows by its content that it is incomplete.
    pub fn is_truncated(&self) -> bool {
        self.ends_with_connection && self.is_inside_event()
    }

    /// Returns whether the body is an event stream that ends within an event so far.
    pub fn is_inside_event(&self) -> bool {
        let is_inside_event = match &self.relaying {
            Relaying::Resumable(events) => events.is_inside_event(),
            Relaying::Direct(scanner) => scanner.is_inside_event(),
        };
        self.is_event_stream && is_inside_event
    }

    /// Returns the bytes that are still to be relayed at the end of a complete body.
    pub fn take_remaining(&mut self) -> Option<Bytes> {
        match &mut self.relaying {
            Relaying::Resumable(events) => events.take_remaining(),
            Relaying::Direct(_) => None,
        }
    }

    /// Returns the identifier of the last relayed event, or `None` if the response can begin anew.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint can be told after which event to continue.
    pub fn last_event_id(&self) -> Result<Option<HeaderValue>, UnknownPosition> {
        let position = match &self.relaying {
            Relaying::Resumable(events) if self.is_event_stream => events.position(),
            _ if self.has_relayed => &ResumePosition::Unknown,
            _ => &ResumePosition::Start,
        };
        match position {
            ResumePosition::Start => Ok(None),
            ResumePosition::After(id) => HeaderValue::from_bytes(id).map(Some).map_err(|_| UnknownPosition),
            ResumePosition::Unknown => Err(UnknownPosition),
        }
    }

    /// Continues with the body of another response, after the last relayed event. Returns whether a response with these
    /// headers has a body of the same kind.
    pub fn continue_with(&mut self, headers: &HeaderMap) -> bool {
        if is_event_stream(headers) != self.is_event_stream {
            return false;
        }
        if let Relaying::Resumable(events) = &mut self.relaying {
            events.restart();
        }
        self.ends_with_connection = ends_with_connection(headers);
        true
    }
}
