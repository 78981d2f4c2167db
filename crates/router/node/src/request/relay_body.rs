//! Relays the body of an endpoint's response to the client, chunk by chunk as it arrives.
//!
//! A resumable stream is relayed in complete events. If it is interrupted, another endpoint resumes it after the last
//! relayed event, within the same response. A response that cannot be resumed is broken off, so that the client sees that
//! it is incomplete.
//!
//! A response is interrupted if its connection breaks or ends before the declared length or the last chunk. A response
//! that declares neither ends with its connection, which does not tell whether the endpoint has finished or has crashed.
//! An event stream does: it is interrupted if it ends within an event. Other bodies count as complete.

use super::attempts::{Attempts, EndpointResponse};
use super::body_content::BodyContent;
use super::endpoint_call::EndpointCall;
use super::headers::{end_to_end, unify_content_length};
use crate::interrupted_responses::InterruptedResponses;
use crate::logging::{log_event, Quoted};
use crate::responses::{full, Body, BodyError};
use crate::upstream::Connection;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
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
    if !can_resume {
        attempts.release_body();
    }
    let is_empty = incoming.is_end_stream();
    let mut relay = BodyRelay {
        incoming,
        connection: Some(connection),
        call,
        content: BodyContent::new(&parts.headers, can_resume),
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
    unify_content_length(response.headers_mut());
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
    content: BodyContent,
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
                    if !self.content.is_resumable() && self.incoming.is_end_stream() {
                        self.finish();
                    }
                    if let Some(chunk) = frame.into_data().ok().and_then(|data| self.relayable(data)) {
                        return Some(Ok(chunk));
                    }
                }
                Received::ConnectionBroken => {
                    self.interruptions().record_connection_broken();
                    if !self.continue_elsewhere().await {
                        return Some(Err(BodyError::EndpointDisconnected));
                    }
                }
                Received::EndOfBody if self.content.is_truncated() => {
                    self.interruptions().record_ended_inside_event();
                    if !self.continue_elsewhere().await {
                        return Some(Err(BodyError::EndedInsideEvent));
                    }
                }
                Received::EndOfBody => {
                    self.finish();
                    return self.content.take_remaining().map(Ok);
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

    fn interruptions(&self) -> &InterruptedResponses {
        &self.attempts.context().data_plane.interrupted_responses
    }

    /// Processes a chunk and returns the bytes that can now be relayed.
    fn relayable(&mut self, data: Bytes) -> Option<Bytes> {
        self.call.record_progress();
        self.content.relayable(data)
    }

    /// Ends a complete response and returns its connection to the pool.
    fn finish(&mut self) {
        self.ended = true;
        self.call.end(RequestOutcome::Completed);
        if let Some(connection) = self.connection.take() {
            let context = self.attempts.context();
            context.resources.upstream.put(context.now(), connection);
        }
    }

    /// Ends the call of an interrupted response, and resumes it at another endpoint. Returns whether one continues it;
    /// otherwise the response has ended.
    async fn continue_elsewhere(&mut self) -> bool {
        log_event!(
            debug,
            "response_interrupted",
            endpoint = self.call.endpoint(),
            inside_event = self.content.is_inside_event(),
        );
        self.call.end(RequestOutcome::Failed);
        self.connection = None;
        let is_resumed = self.resume().await;
        self.interruptions().record_result(is_resumed);
        self.ended = !is_resumed;
        is_resumed
    }

    /// Resumes the stream at another endpoint. Returns whether one responded with a continuation.
    async fn resume(&mut self) -> bool {
        if !self.content.is_resumable() {
            return false;
        }
        let Ok(last_event_id) = self.content.last_event_id() else { return false };
        self.attempts.record_broken_response(self.origin.clone());
        let Ok(resumed) = self.attempts.next(last_event_id.as_ref()).await else { return false };
        let has_continuation = resumed.response.status() == StatusCode::OK
            && self.content.continue_with(resumed.response.headers());
        if !has_continuation {
            return false;
        }
        let after = last_event_id.as_ref().map_or(Ok("start"), HeaderValue::to_str).unwrap_or("not ASCII");
        log_event!(debug, "resumed", after = Quoted(after), endpoint = resumed.call.endpoint());
        self.incoming = resumed.response.into_body();
        self.connection = Some(resumed.connection);
        self.call = resumed.call;
        true
    }
}
