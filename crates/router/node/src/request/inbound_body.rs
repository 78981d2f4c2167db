//! Reads a request's body completely, because a retry has to be able to send it again.

use crate::inbound_connections::InboundConnection;
use crate::request_context::RequestContext;
use crate::responses::Failure;
use crate::stored_body::{BodyLimits, BodyReadError, StoredBody};
use hyper::body::{Body as _, Incoming};
use passrelay_configuration::Limits;
use passrelay_data_plane::memory_budget::MemoryUse;
use std::time::Duration;

/// Maximum time for a whole body, also if the deadline of its request is later.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);

/// Reads a body to its end, which has to arrive before `deadline`.
///
/// # Errors
///
/// Returns [`Failure::BodyTooLong`] if the body exceeds the limit, [`Failure::BodyTimeout`] if no part of it arrives
/// within the header timeout or the whole does not in time, [`Failure::MemoryExhausted`] if there is no room for it, and
/// [`Failure::BadRequest`] if the client disconnects.
pub async fn read(
    context: &RequestContext,
    connection: &InboundConnection,
    limits: &Limits,
    deadline: Duration,
    body: Incoming,
) -> Result<StoredBody, Failure> {
    let limits = BodyLimits {
        max_length: limits.max_body_bytes,
        chunk_timeout: Duration::from_millis(limits.header_timeout_ms.max(1)),
        total_timeout: deadline.saturating_sub(context.now()).min(MAX_BODY_TIME),
    };
    if body.is_end_stream() {
        return Ok(StoredBody::default());
    }
    let charge = context.resources.memory.charge(MemoryUse::RequestBodies);
    connection.body_started(context.now());
    let read = StoredBody::read(limits, charge, body).await;
    connection.body_finished();
    read.map_err(failure)
}

fn failure(problem: BodyReadError) -> Failure {
    match problem {
        BodyReadError::TooLong => Failure::BodyTooLong,
        BodyReadError::TimedOut => Failure::BodyTimeout,
        BodyReadError::Disconnected => Failure::BadRequest,
        BodyReadError::MemoryExhausted(_) => Failure::MemoryExhausted,
    }
}
