//! Tests of membership changes.

use passrelay_lease_consensus::membership::{Membership, MembershipChange, MembershipError, VoterInfo};
use passrelay_lease_consensus::VoterId;

fn add(voter: VoterId, disk: u64) -> MembershipChange {
    MembershipChange::Add { voter, info: VoterInfo { address: "127.0.0.1:1".to_owned(), disk_id: disk } }
}

// No two disks may vote under one number, and a fleet must keep at least one voter.
#[test]
fn a_number_is_given_once_and_a_change_asked_for_twice_is_made_once() {
    let mut membership = Membership::initial(&[1, 2, 3]);
    assert_eq!(membership.apply(&add(3, 9)), Err(MembershipError::IdUsed { next_free: 4 }));
    assert_eq!(membership.apply(&MembershipChange::Remove { voter: 3 }), Ok(true));
    assert_eq!(membership.apply(&MembershipChange::Remove { voter: 3 }), Ok(false));
    assert!(membership.was_removed(3) && !membership.was_removed(4));
    assert_eq!(membership.apply(&add(3, 9)), Err(MembershipError::IdUsed { next_free: 4 }));
    assert_eq!(membership.apply(&add(4, 9)), Ok(true));
    assert_eq!(membership.apply(&add(4, 9)), Ok(false));
    assert_eq!(membership.apply(&add(4, 10)), Err(MembershipError::IdUsed { next_free: 5 }));
    assert_eq!(membership.voter_ids(), [1, 2, 4]);
    assert_eq!(membership.apply(&MembershipChange::Remove { voter: 9 }), Err(MembershipError::UnknownVoter));
    (5..9).for_each(|v| assert_eq!(membership.apply(&add(v, v)), Ok(true)));
    assert_eq!(membership.apply(&add(9, 9)), Err(MembershipError::TooManyVoters));
    let mut alone = Membership::initial(&[1]);
    assert_eq!(alone.apply(&MembershipChange::Remove { voter: 1 }), Err(MembershipError::LastVoter));
    let there = VoterInfo { address: "there".to_owned(), disk_id: 1 };
    assert_eq!(
        alone.apply(&MembershipChange::Add { voter: 2, info: there }),
        Err(MembershipError::InvalidAddress)
    );
}
