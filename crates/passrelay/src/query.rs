//! Single requests to the lease voters.

use passrelay_lease_consensus::client::ClientEvent;
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse};
use passrelay_lease_runtime::fleet_client::FleetClient;
use passrelay_lease_runtime::fleet_config::FleetConfig;
use passrelay_lease_runtime::now;
use std::error::Error;
use std::time::Duration;

/// How long to wait for a majority of voters.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Exit code if no majority of voters responded.
pub const NO_MAJORITY: u8 = 125;

/// Sends one request to the fleet. Returns `None` if no response arrives within `timeout`.
pub fn ask(
    fleet_config: &FleetConfig,
    request: ClientRequest,
    timeout: Duration,
) -> Result<Option<ClientResponse>, Box<dyn Error>> {
    let mut fleet_client = FleetClient::new(fleet_config, "question", Duration::from_secs(5))?;
    fleet_client.add_query(request);
    let end = now() + timeout;
    while now() < end {
        for event in fleet_client.poll(Duration::from_millis(20))? {
            if let ClientEvent::Response(answer) = event {
                return Ok(Some(answer));
            }
        }
    }
    Ok(None)
}
