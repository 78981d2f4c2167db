//! How many requests this router has sent to each version of a service, for operators.

use super::endpoint::Endpoint;
use std::collections::BTreeMap;

/// Requests sent, by service and version. Versions without any endpoint left are forgotten, which bounds it.
pub type RequestCounts = BTreeMap<String, BTreeMap<String, u64>>;

/// Counts a request that was sent to an endpoint.
pub(super) fn record(counts: &mut RequestCounts, endpoint: &Endpoint) {
    let of_service = counts.entry(endpoint.service().to_owned()).or_default();
    *of_service.entry(endpoint.version().to_owned()).or_default() += 1;
}

/// Forgets versions that none of the endpoints has.
pub(super) fn retain_known<'a>(
    counts: &mut RequestCounts,
    endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
) {
    for (service, of_service) in counts.iter_mut() {
        of_service.retain(|version, _| {
            endpoints.clone().any(|endpoint| endpoint.service() == service && endpoint.version() == version)
        });
    }
    counts.retain(|_, of_service| !of_service.is_empty());
}
