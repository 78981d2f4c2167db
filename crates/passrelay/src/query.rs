//! One question to the voters of leases, and its answer.

use passrelay_lease_consensus::client::ClientEvent;
use passrelay_lease_consensus::wire::{ClientRequest, ClientResponse};
use passrelay_lease_runtime::fleet_client::FleetClient;
use passrelay_lease_runtime::fleet_config::FleetConfig;
use passrelay_lease_runtime::now;
use std::error::Error;
use std::time::Duration;

/// How long a question waits for a majority.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Nobody answered.
pub const NO_MAJORITY: u8 = 125;

/// Asks one question of the fleet; `None` where no answer came in time.
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
