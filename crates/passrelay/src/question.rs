//! One question to the voters of leases, and its answer.

use passrelay_lease_consensus::client::News;
use passrelay_lease_consensus::wire::{Answer, Say};
use passrelay_lease_runtime::member::Member;
use passrelay_lease_runtime::now;
use passrelay_lease_runtime::plan::Plan;
use std::error::Error;
use std::time::Duration;

/// How long a question waits for a majority.
pub const UNANSWERED: Duration = Duration::from_secs(10);
/// Nobody answered.
pub const NO_MAJORITY: u8 = 125;

/// Asks one question of the fleet; `None` where no answer came in time.
pub fn ask(plan: &Plan, say: Say, longest: Duration) -> Result<Option<Answer>, Box<dyn Error>> {
    let mut member = Member::new(plan, "question", Duration::from_secs(5))?;
    member.question(say);
    let end = now() + longest;
    while now() < end {
        for news in member.step(Duration::from_millis(20))? {
            if let News::Told(answer) = news {
                return Ok(Some(answer));
            }
        }
    }
    Ok(None)
}
