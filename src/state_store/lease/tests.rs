//! Tests of the state machine of a lease.

use super::*;

const TTL: Micros = 10_000 * MILLISECOND;

fn held_lease(role: LeaseRole) -> Lease {
    let mut lease = Lease::new(role, TTL);
    lease.request();
    assert_eq!(lease.next_step(MILLISECOND), LeaseStep::Acquire);
    lease.granted(7);
    lease
}

/// Guards against authority that outlasts the lease: a renewal is due after a fifth of the time
/// to live and extends the lease from its send time, not from its response.
#[test]
fn a_lease_is_renewed_from_the_send_time() {
    let mut lease = held_lease(LeaseRole::Owner);
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

/// Guards against a failed call that ends the retries or extends the lease.
#[test]
fn failed_calls_are_retried() {
    let mut lease = Lease::new(LeaseRole::Owner, TTL);
    assert_eq!(lease.next_step(0), LeaseStep::Idle);
    lease.request();
    assert_eq!(lease.next_step(0), LeaseStep::Acquire);
    lease.acquisition_failed(5);
    let retry = 5 + ACQUIRE_RETRY_DELAY;
    assert_eq!(lease.next_step(retry - 1), LeaseStep::WaitUntil(retry));
    assert_eq!(lease.next_step(retry), LeaseStep::Acquire);
    lease.granted(7);
    let due = retry + TTL / 5;
    assert_eq!(lease.next_step(due), LeaseStep::Renew(7));
    lease.renewal_failed(due + 5);
    assert_eq!(lease.renewed_at(), Some(retry));
    let retry = due + 5 + RENEWAL_RETRY_DELAY;
    assert_eq!(lease.next_step(due + 6), LeaseStep::WaitUntil(retry));
}

/// Guards against a wrong reaction to an expired lease: the owner requests a new one, the
/// leader doesn't.
#[test]
fn only_the_owner_requests_a_new_lease_after_expiry() {
    for (role, step) in [
        (LeaseRole::Owner, LeaseStep::Acquire),
        (LeaseRole::Leader, LeaseStep::Idle),
    ] {
        let mut lease = held_lease(role);
        assert_eq!(lease.next_step(TTL), LeaseStep::Renew(7));
        assert_eq!(lease.expired(TTL + 1), Some(7));
        assert_eq!(lease.id(), None, "{role:?}");
        assert_eq!(lease.next_step(TTL + 1), step, "{role:?}");
    }
}

/// Guards against late responses: a response that the lease no longer waits for changes
/// nothing.
#[test]
fn late_responses_change_nothing() {
    let mut lease = held_lease(LeaseRole::Owner);
    lease.release();
    lease.granted(8);
    lease.renewed();
    lease.renewal_failed(TTL);
    lease.acquisition_failed(TTL);
    assert_eq!(lease.expired(TTL), None);
    assert_eq!((lease.id(), lease.next_step(TTL)), (None, LeaseStep::Idle));
}
