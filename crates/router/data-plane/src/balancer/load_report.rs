//! The load that an endpoint reports in a response header.
//!
//! Not to be confused with the load reports between routers (`EndpointLoad`), which contain the requests that
//! one router has in flight.

/// Load of an endpoint, as its server reports it with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of requests running, from all routers.
    pub running: f64,
    /// Number of requests queued at the endpoint, from all routers.
    pub waiting: f64,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: f64,
}

impl LoadReport {
    /// Parses `RUNNING,WAITING,SLOTS` and ignores further fields. Returns `None` if a field is missing or is
    /// not a finite number.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        let slots = numbers.next()??;
        Some(LoadReport { running, waiting, slots })
    }
}
