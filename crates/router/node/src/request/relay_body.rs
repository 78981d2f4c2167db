//! The body of an endpoint's answer on its way to the client, piece by piece as it comes.
//!
//! A stream that may be resumed is passed on in whole events; when its endpoint breaks off, another one goes on after
//! the last event that was passed on, inside the same answer.

use crate::request::{end_to_end, Answered, Attempts, Call};
use crate::responses::{Body, BodyError};
use crate::upstream::Connection;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use passrelay_data_plane::balancer::CallEnd;
use smol::stream;
use smol::Timer;
use std::rc::Rc;

/// Makes the client's answer of an endpoint's.
pub fn respond(answered: Answered, attempts: Attempts, resumable: bool) -> Response<Body> {
    let Answered { response, connection, call } = answered;
    let (parts, incoming) = response.into_parts();
    let whole_events =
        resumable && parts.status == StatusCode::OK && !parts.headers.contains_key(CONTENT_LENGTH);
    let wait = attempts.deadline().saturating_sub(attempts.node().now());
    let ended = incoming.is_end_stream();
    let mut relay = Relay {
        incoming,
        connection: Some(connection),
        call,
        events: whole_events.then(EventBuffer::default),
        timer: Timer::after(wait),
        attempts,
        over: false,
    };
    if ended {
        relay.finish();
    }
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece.map(Frame::data), relay))
    });
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    if ended {
        return response.map(|()| crate::responses::full(Bytes::new()));
    }
    response.map(|()| -> Body { Box::pin(StreamBody::new(pieces)) })
}

struct Relay {
    incoming: Incoming,
    connection: Option<Connection>,
    call: Call,
    events: Option<EventBuffer>,
    timer: Timer,
    attempts: Attempts,
    over: bool,
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.over {
            let frame = async { Some(self.incoming.frame().await) };
            let late = async {
                (&mut self.timer).await;
                None
            };
            match smol::future::or(frame, late).await {
                None => {
                    self.over = true;
                    return Some(Err(BodyError::TimedOut));
                }
                Some(Some(Ok(frame))) => {
                    // Whoever writes an answer of known length doesn't ask for what comes after its last byte.
                    if self.events.is_none() && self.incoming.is_end_stream() {
                        self.finish();
                    }
                    if let Some(piece) = frame.into_data().ok().and_then(|data| self.take(data)) {
                        return Some(Ok(piece));
                    }
                }
                Some(Some(Err(_))) => {
                    self.call.end(CallEnd::Failed);
                    if !self.resume().await {
                        self.over = true;
                        return Some(Err(BodyError::BrokeOff));
                    }
                }
                Some(None) => {
                    self.finish();
                    return self.events.as_mut().and_then(EventBuffer::rest).map(Ok);
                }
            }
        }
        None
    }

    /// What can be passed on after a piece has come.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        self.call.heard();
        match &mut self.events {
            Some(events) => events.push(&data),
            None => Some(data),
        }
    }

    /// The answer is whole.
    fn finish(&mut self) {
        self.over = true;
        self.call.end(CallEnd::Answered);
        if let Some(connection) = self.connection.take() {
            let node = self.attempts.node();
            node.pool.put(node.now(), connection);
        }
    }

    /// Has another endpoint go on with the stream.
    async fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else { return false };
        events.drop_partial();
        let after = events.last_id().map(str::to_owned);
        self.attempts.broke_off();
        let Ok(answered) = self.attempts.next(after.as_deref()).await else { return false };
        if answered.response.status() != StatusCode::OK {
            return false;
        }
        log::debug!("event=resumed after={}", after.as_deref().unwrap_or("start"));
        self.incoming = answered.response.into_body();
        self.connection = Some(answered.connection);
        self.call = answered.call;
        true
    }
}

/// Bytes of a stream of events, given out in whole events.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<Rc<str>>,
}

impl EventBuffer {
    /// Takes bytes in; returns all whole events that have not been given out.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = end_of_last_event(&self.partial)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// What is left when the stream has ended as it should.
    pub fn rest(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// The stream broke off in the middle of an event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Id of the last event given out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns)
}

fn last_id(events: &[u8]) -> Option<Rc<str>> {
    let text = std::str::from_utf8(events).ok()?;
    let value = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().into())
}
