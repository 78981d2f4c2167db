//! Relays the body of an endpoint's response to the client, chunk by chunk as it arrives.
//!
//! A resumable stream is relayed in complete events. If the connection to its endpoint breaks, another endpoint
//! resumes the stream after the last relayed event, within the same response.

use super::attempts::{Attempts, EndpointResponse};
use super::endpoint_call::EndpointCall;
use super::event_buffer::EventBuffer;
use super::headers::end_to_end;
use crate::logging::log_event;
use crate::responses::{full, Body, BodyError};
use crate::upstream::Connection;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use passrelay_data_plane::balancer::RequestOutcome;
use passrelay_data_plane::stream_origin::StreamOrigin;
use smol::stream;
use smol::Timer;

/// Returns the response to the client, which relays the endpoint's response.
pub fn respond(endpoint_response: EndpointResponse, attempts: Attempts) -> Response<Body> {
    let EndpointResponse { response, connection, call, origin } = endpoint_response;
    let (parts, incoming) = response.into_parts();
    let can_resume = origin.is_resumable()
        && parts.status == StatusCode::OK
        && !parts.headers.contains_key(CONTENT_LENGTH);
    let time_remaining = attempts.deadline().saturating_sub(attempts.context().now());
    let is_empty = incoming.is_end_stream();
    let mut relay = BodyRelay {
        incoming,
        connection: Some(connection),
        call,
        events: can_resume.then(EventBuffer::default),
        origin,
        deadline: Timer::after(time_remaining),
        attempts,
        ended: false,
    };
    if is_empty {
        relay.finish();
    }
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk.map(Frame::data), relay))
    });
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    if is_empty {
        return response.map(|()| full(Bytes::new()));
    }
    response.map(|()| -> Body { Box::pin(StreamBody::new(chunks)) })
}

struct BodyRelay {
    incoming: Incoming,
    /// The connection of `incoming`, until its body has been read completely.
    connection: Option<Connection>,
    call: EndpointCall,
    /// Buffer for complete events, if the stream can be resumed.
    events: Option<EventBuffer>,
    /// The conditions under which the response began, which hold for its continuation too.
    origin: StreamOrigin,
    deadline: Timer,
    attempts: Attempts,
    ended: bool,
}

/// The first event while waiting for the endpoint.
enum Received {
    Frame(Frame<Bytes>),
    EndOfBody,
    ConnectionBroken,
    DeadlinePassed,
}

impl BodyRelay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.ended {
            match self.receive().await {
                Received::DeadlinePassed => {
                    self.ended = true;
                    return Some(Err(BodyError::TimedOut));
                }
                Received::Frame(frame) => {
                    // The client's connection does not poll a body of known length again after its last byte.
                    if self.events.is_none() && self.incoming.is_end_stream() {
                        self.finish();
                    }
                    if let Some(chunk) = frame.into_data().ok().and_then(|data| self.relayable(data)) {
                        return Some(Ok(chunk));
                    }
                }
                Received::ConnectionBroken => {
                    self.call.end(RequestOutcome::Failed);
                    if !self.resume().await {
                        self.ended = true;
                        return Some(Err(BodyError::EndpointDisconnected));
                    }
                }
                Received::EndOfBody => {
                    self.finish();
                    return self.events.as_mut().and_then(EventBuffer::take_remaining).map(Ok);
                }
            }
        }
        None
    }

    /// Waits for the next frame, at most until the deadline.
    async fn receive(&mut self) -> Received {
        let frame = async {
            match self.incoming.frame().await {
                Some(Ok(frame)) => Received::Frame(frame),
                Some(Err(_)) => Received::ConnectionBroken,
                None => Received::EndOfBody,
            }
        };
        let deadline = async {
            (&mut self.deadline).await;
            Received::DeadlinePassed
        };
        smol::future::or(frame, deadline).await
    }

    /// Processes a chunk and returns the bytes that can now be relayed.
    fn relayable(&mut self, data: Bytes) -> Option<Bytes> {
        self.call.record_progress();
        match &mut self.events {
            Some(events) => events.push(&data),
            None => Some(data),
        }
    }

    /// Ends a complete response and returns its connection to the pool.
    fn finish(&mut self) {
        self.ended = true;
        self.call.end(RequestOutcome::Completed);
        if let Some(connection) = self.connection.take() {
            let context = self.attempts.context();
            context.upstream.put(context.now(), connection);
        }
    }

    /// Resumes the stream at another endpoint. Returns whether one responded with status 200.
    async fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else { return false };
        events.discard_partial();
        let last_event_id = events.last_id().map(str::to_owned);
        self.attempts.record_broken_response(self.origin.clone());
        let Ok(resumed) = self.attempts.next(last_event_id.as_deref()).await else { return false };
        if resumed.response.status() != StatusCode::OK {
            return false;
        }
        log_event!(debug, "resumed", after = last_event_id.as_deref().unwrap_or("start"));
        self.incoming = resumed.response.into_body();
        self.connection = Some(resumed.connection);
        self.call = resumed.call;
        true
    }
}
