//! Tests of the replicated table of sessions and leases.

use passrelay_lease_consensus::lease_table::{Entry, Grant, Holder, LeaseTable, Op, Reply};
use passrelay_lease_consensus::SessionId;

fn open(table: &mut LeaseTable, name: &str) -> SessionId {
    let entry = Entry::OpenSession { name: name.to_owned(), nonce: 1, ttl_ms: 1000 };
    match table.apply(&entry).0 {
        Some(Reply::Opened { session }) => session,
        reply => panic!("{reply:?}"),
    }
}

fn ask(table: &mut LeaseTable, session: SessionId, seq: u64, op: Op) -> Option<Reply> {
    table.apply(&Entry::Operation { session, seq, op }).0
}

fn acquire() -> Op {
    Op::Acquire { lease: "l".to_owned(), ttl_ms: 1000, wait: true }
}

// An expiration proposed before a renewal must not end the session or lease after it, since the holder relies
// on that renewal. Random histories hit this case too rarely to reveal it.
#[test]
fn a_proposal_that_a_renewal_overtook_ends_nothing() {
    let mut table = LeaseTable::default();
    let (a, b) = (open(&mut table, "a"), open(&mut table, "b"));
    assert!(matches!(ask(&mut table, a, 1, acquire()), Some(Reply::Granted(Grant { token: 1, .. }))));
    assert_eq!(ask(&mut table, b, 1, acquire()), Some(Reply::Waiting));
    table.apply(&Entry::RenewSession { session: a, count: 1 });
    table.apply(&Entry::ExpireSession { session: a, renewals: 0 });
    table.apply(&Entry::ExpireLease { lease: "l".to_owned(), token: 1, renewals: 0 });
    assert_eq!(table.held_by(a).len(), 1);
    table.apply(&Entry::ExpireSession { session: a, renewals: 1 });
    assert!(table.sessions().get(&a).is_none());
    assert_eq!(table.leases()["l"].holder, Holder::Locked { token: 1 });
    table.apply(&Entry::Unlock { lease: "l".to_owned(), token: 1 });
    assert_eq!(table.held_by(b)[0].token, 2);
}

// The last requests of a killed command could reach a target together with those of the next holder. Only a
// clean release passes the lease on at once.
#[test]
fn an_abandoned_lease_is_locked_and_a_released_one_goes_on_at_once() {
    let mut table = LeaseTable::default();
    let (a, b) = (open(&mut table, "a"), open(&mut table, "b"));
    let lease = || "l".to_owned();
    for (seq, op) in [(1, acquire()), (2, Op::Abandon { lease: lease() })] {
        ask(&mut table, a, seq, op);
    }
    assert_eq!(table.leases()["l"].holder, Holder::Locked { token: 1 });
    assert_eq!(ask(&mut table, b, 1, acquire()), Some(Reply::Waiting));
    table.apply(&Entry::Unlock { lease: lease(), token: 1 });
    assert_eq!(ask(&mut table, a, 3, acquire()), Some(Reply::Waiting));
    assert_eq!(ask(&mut table, b, 2, Op::Release { lease: lease() }), Some(Reply::Done));
    assert_eq!(table.held_by(a)[0].token, 3);
}
