//! The load that an endpoint reports of itself in a response header.
//!
//! Not to be confused with the load reports between routers (`EndpointLoad`), which hold what one router has in flight.

/// Load of an endpoint as its server reports it with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests running, from all routers.
    pub running: f64,
    /// Requests queued at the endpoint.
    pub waiting: f64,
    /// Requests that the endpoint runs concurrently at most.
    pub slots: f64,
}

impl LoadReport {
    /// Parses `RUNNING,WAITING,SLOTS`; further fields are ignored. `None` where a field is missing or no finite number.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<f64>().ok().filter(|n| n.is_finite()));
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        let slots = numbers.next()??;
        Some(LoadReport { running, waiting, slots })
    }
}
