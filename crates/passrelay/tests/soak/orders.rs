//! Orders that operators and endpoints gave, and whether each was acknowledged in time: within a bound of calm, whatever came before it.

use crate::bounds::ACK;
use crate::records::Time;
use std::time::Duration;

/// Interval at which the calm of the core is looked at.
const STEP: Duration = Duration::from_millis(50);

/// A proper order, from its first attempt to its answer or until it was given up.
#[derive(Clone, Debug)]
pub struct Order {
    pub what: String,
    pub sent_at: Time,
    pub ended_at: Time,
    /// Whether it ended with a clear answer.
    pub is_answered: bool,
}

/// The orders that had no clear answer within the bound of one calm stretch, a line each.
pub fn unacknowledged(orders: &[Order], is_calm: impl Fn(Time) -> bool) -> Vec<String> {
    let late = orders.iter().filter_map(|order| {
        let calm = longest_calm(order.sent_at, order.ended_at, &is_calm);
        let Order { what, sent_at, ended_at, is_answered } = order;
        (calm > ACK).then(|| {
            format!(
                "SHORT: {what}, sent at {sent_at:?}, had no answer in {calm:?} of calm; answered {is_answered} by {ended_at:?}"
            )
        })
    });
    late.collect()
}

fn longest_calm(from: Time, to: Time, is_calm: &impl Fn(Time) -> bool) -> Duration {
    let (mut longest, mut current) = (Duration::ZERO, Duration::ZERO);
    let mut at = from;
    while at + STEP <= to {
        current = if is_calm(at) { current + STEP } else { Duration::ZERO };
        longest = longest.max(current);
        at += STEP;
    }
    longest
}

#[test]
fn only_calm_counts_towards_the_bound() {
    let seconds = Duration::from_secs;
    let order = |from, to| Order {
        what: "x".to_owned(),
        sent_at: seconds(from),
        ended_at: seconds(to),
        is_answered: true,
    };
    let is_calm = |at: Time| at >= seconds(10);
    assert_eq!(unacknowledged(&[order(0, 15), order(11, 16)], is_calm), Vec::<String>::new());
    assert_eq!(unacknowledged(&[order(0, 16)], is_calm).len(), 1);
}
