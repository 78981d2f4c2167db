//! Counts the responses of endpoints that were not used because their head is malformed, by the reason.

use crate::logging::{log_event, Quoted};
use passrelay_response_head::MalformedHead;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Malformed responses since the start of the process.
#[derive(Debug, Default)]
pub struct MalformedResponses {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    /// Those that have not been logged.
    unlogged: RefCell<Option<Unlogged>>,
}

/// Responses since the last line of the log.
#[derive(Debug)]
struct Unlogged {
    responses: u64,
    /// The endpoint of the last one.
    endpoint: String,
    /// The fault of the last one.
    fault: MalformedHead,
}

impl MalformedResponses {
    /// Counts a response of this endpoint.
    pub fn record(&self, endpoint: &str, fault: MalformedHead) {
        *self.counts.borrow_mut().entry(fault.label()).or_default() += 1;
        let mut unlogged = self.unlogged.borrow_mut();
        let responses = unlogged.as_ref().map_or(0, |unlogged| unlogged.responses) + 1;
        *unlogged = Some(Unlogged { responses, endpoint: endpoint.to_owned(), fault });
    }

    /// Returns the number of responses by reason.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.borrow().clone()
    }

    /// Logs the responses since the last call, if there were any, with the endpoint and the fault of the last one.
    pub fn log_new(&self) {
        if let Some(Unlogged { responses, endpoint, fault }) = self.unlogged.take() {
            log_event!(
                warn,
                "malformed_response",
                responses = responses,
                endpoint = endpoint,
                problem = Quoted(fault),
            );
        }
    }
}
