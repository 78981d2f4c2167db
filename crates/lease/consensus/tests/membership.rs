//! The voters of a fleet, and how they change.

use passrelay_lease_consensus::membership::{Change, Membership, NoChange, Place};
use passrelay_lease_consensus::VoterId;

fn add(voter: VoterId, disk: u64) -> Change {
    Change::Add { voter, place: Place { address: "127.0.0.1:1".to_owned(), disk } }
}

// Guards against a number that two disks vote under, and a fleet without voters.
#[test]
fn a_number_is_given_once_and_a_change_asked_for_twice_is_made_once() {
    let mut membership = Membership::founded(&[1, 2, 3]);
    assert_eq!(membership.take(&add(3, 9)), Err(NoChange::Used { free: 4 }));
    assert_eq!(membership.take(&Change::Remove { voter: 3 }), Ok(true));
    assert_eq!(membership.take(&Change::Remove { voter: 3 }), Ok(false));
    assert!(membership.removed(3) && !membership.removed(4));
    assert_eq!(membership.take(&add(3, 9)), Err(NoChange::Used { free: 4 }));
    assert_eq!(membership.take(&add(4, 9)), Ok(true));
    assert_eq!(membership.take(&add(4, 9)), Ok(false));
    assert_eq!(membership.take(&add(4, 10)), Err(NoChange::Used { free: 5 }));
    assert_eq!(membership.voters(), [1, 2, 4]);
    assert_eq!(membership.take(&Change::Remove { voter: 9 }), Err(NoChange::Unknown));
    (5..9).for_each(|v| assert_eq!(membership.take(&add(v, v)), Ok(true)));
    assert_eq!(membership.take(&add(9, 9)), Err(NoChange::Full));
    let mut alone = Membership::founded(&[1]);
    assert_eq!(alone.take(&Change::Remove { voter: 1 }), Err(NoChange::Last));
    let there = Place { address: "there".to_owned(), disk: 1 };
    assert_eq!(alone.take(&Change::Add { voter: 2, place: there }), Err(NoChange::BadAddress));
}
