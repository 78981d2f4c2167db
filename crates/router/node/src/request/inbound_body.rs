//! Reads a request's body completely, because a retry has to be able to send it again.

use crate::responses::Failure;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use passrelay_configuration::Limits;
use smol::Timer;
use std::time::Duration;

/// Reads a body to its end.
///
/// # Errors
///
/// Returns [`Failure::BodyTooLong`] if the body exceeds the limit, [`Failure::BodyTimeout`] if no part of it arrives
/// within the header timeout, and [`Failure::BadRequest`] if the client disconnects.
pub async fn read(limits: &Limits, mut body: Incoming) -> Result<Bytes, Failure> {
    let max_length = limits.max_body_bytes;
    let frame_timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
    if body.size_hint().lower() > max_length as u64 {
        return Err(Failure::BodyTooLong);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut length = 0;
    loop {
        let timeout = async {
            Timer::after(frame_timeout).await;
            Err(Failure::BodyTimeout)
        };
        let frame = smol::future::or(async { Ok(body.frame().await) }, timeout).await?;
        let Some(frame) = frame else { break };
        let Ok(chunk) = frame.map_err(|_| Failure::BadRequest)?.into_data() else { continue };
        length += chunk.len();
        if length > max_length {
            return Err(Failure::BodyTooLong);
        }
        chunks.push(chunk);
    }
    // A body usually is a single chunk, which is used without copying.
    Ok(if chunks.len() == 1 { chunks.remove(0) } else { chunks.concat().into() })
}
