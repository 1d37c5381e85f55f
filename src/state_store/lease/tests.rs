//! Tests of the lease's state machine.

use super::*;

const TTL: Micros = 10_000 * MILLISECOND;

fn held(role: LeaseRole) -> Lease {
    let mut lease = Lease::new(role, TTL);
    lease.request();
    assert_eq!(lease.next_step(MILLISECOND), LeaseStep::Acquire);
    lease.granted(7);
    lease
}

/// A renewal is due after a fifth of the time to live and counts from when it was sent.
#[test]
fn a_lease_is_renewed_from_the_send_time() {
    let mut lease = held(LeaseRole::Owner);
    assert_eq!(
        (lease.id(), lease.renewed_at()),
        (Some(7), Some(MILLISECOND))
    );
    let due = MILLISECOND + TTL / 5;
    assert_eq!(lease.next_step(due - 1), LeaseStep::WaitUntil(due));
    assert_eq!(lease.next_step(due), LeaseStep::Renew(7));
    assert_eq!(lease.next_step(due + 1), LeaseStep::Idle);
    assert_eq!(lease.renewed_at(), Some(MILLISECOND));
    lease.renewed();
    assert_eq!(lease.renewed_at(), Some(due));
}

/// Failures are retried, and prolong nothing.
#[test]
fn failed_calls_are_retried() {
    let mut lease = Lease::new(LeaseRole::Owner, TTL);
    assert_eq!(lease.next_step(0), LeaseStep::Idle);
    lease.request();
    assert_eq!(lease.next_step(0), LeaseStep::Acquire);
    lease.acquisition_failed(5);
    let retry = 5 + ACQUIRE_RETRY;
    assert_eq!(lease.next_step(retry - 1), LeaseStep::WaitUntil(retry));
    assert_eq!(lease.next_step(retry), LeaseStep::Acquire);
    lease.granted(7);
    let due = retry + TTL / 5;
    assert_eq!(lease.next_step(due), LeaseStep::Renew(7));
    lease.renewal_failed(due + 5);
    assert_eq!(lease.renewed_at(), Some(retry));
    let retry = due + 5 + RENEWAL_RETRY;
    assert_eq!(lease.next_step(due + 6), LeaseStep::WaitUntil(retry));
}

/// The owner asks for a new lease when its own expired, the leader doesn't.
#[test]
fn an_expired_lease() {
    for (role, step) in [
        (LeaseRole::Owner, LeaseStep::Acquire),
        (LeaseRole::Leader, LeaseStep::Idle),
    ] {
        let mut lease = held(role);
        assert_eq!(lease.next_step(TTL), LeaseStep::Renew(7));
        assert_eq!(lease.expired(TTL + 1), Some(7));
        assert_eq!(lease.id(), None, "{role:?}");
        assert_eq!(lease.next_step(TTL + 1), step, "{role:?}");
    }
}

/// An answer that the lease doesn't wait for any more changes nothing.
#[test]
fn late_answers_change_nothing() {
    let mut lease = held(LeaseRole::Owner);
    lease.release();
    lease.granted(8);
    lease.renewed();
    lease.renewal_failed(TTL);
    lease.acquisition_failed(TTL);
    assert_eq!(lease.expired(TTL), None);
    assert_eq!((lease.id(), lease.next_step(TTL)), (None, LeaseStep::Idle));
}
