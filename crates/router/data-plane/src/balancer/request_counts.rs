//! Counts the requests that this router sent to each version of a service, for the operators' status.

use super::endpoint::Endpoint;
use std::collections::BTreeMap;

/// Requests sent, by service and version. Versions without endpoints are removed, which bounds the size.
pub type RequestCounts = BTreeMap<String, BTreeMap<String, u64>>;

/// Counts a request that was sent to an endpoint.
pub(super) fn record(counts: &mut RequestCounts, endpoint: &Endpoint) {
    let counts_by_version = counts.entry(endpoint.service().to_owned()).or_default();
    *counts_by_version.entry(endpoint.version().to_owned()).or_default() += 1;
}

/// Removes the versions that no endpoint has.
pub(super) fn retain_known<'a>(
    counts: &mut RequestCounts,
    endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
) {
    for (service, counts_by_version) in counts.iter_mut() {
        counts_by_version.retain(|version, _| {
            endpoints.clone().any(|endpoint| endpoint.service() == service && endpoint.version() == version)
        });
    }
    counts.retain(|_, counts_by_version| !counts_by_version.is_empty());
}
