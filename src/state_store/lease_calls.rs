//! Calls that acquire and renew leases, and the handling of their responses. [`Lease`] holds
//! the state.

use salttiller_protocol::http::Response;
use salttiller_protocol::state_service::GrantedLease;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::json;

use super::answer::read_answer;
use super::calls::{Operation, WakeTime};
use super::lease::{Lease, LeaseRole, LeaseStep};
use super::{StateStore, StateStoreEvent};
use crate::reactor::CallError;

/// Maximum timeout of an acquisition or renewal.
const LEASE_CALL_TIMEOUT: Micros = 2 * SECOND;
/// Number of renewal timeouts within the time to live, so that several attempts fit into it.
const RENEWAL_TIMEOUTS_PER_TTL: u64 = 4;

impl StateStore {
    fn lease(&self, role: LeaseRole) -> &Lease {
        match role {
            LeaseRole::Owner => &self.owner_lease,
            LeaseRole::Leader => &self.leader_lease,
        }
    }

    fn lease_mut(&mut self, role: LeaseRole) -> &mut Lease {
        match role {
            LeaseRole::Owner => &mut self.owner_lease,
            LeaseRole::Leader => &mut self.leader_lease,
        }
    }

    /// Id of the lease, if it is held.
    pub fn lease_id(&self, role: LeaseRole) -> Option<u64> {
        self.lease(role).id()
    }

    /// Requests a lease and keeps it renewed from then on.
    pub fn request_lease(&mut self, role: LeaseRole) {
        self.lease_mut(role).request();
    }

    /// Stops renewals of a lease and lets it expire.
    pub fn release_lease(&mut self, role: LeaseRole) {
        self.lease_mut(role).release();
    }

    /// Makes the call that is due for a lease, if any.
    pub(super) fn pump_lease(&mut self, role: LeaseRole, now: Micros, wake: &mut WakeTime) {
        let time_to_live = self.lease(role).time_to_live();
        match self.lease_mut(role).next_step(now) {
            LeaseStep::Idle => {}
            LeaseStep::WaitUntil(at) => wake.no_later_than(at),
            LeaseStep::Acquire => self.calls.post(
                Operation::AcquireLease(role),
                "/grants".into(),
                &json!({"lifeMs": time_to_live / MILLISECOND}),
                LEASE_CALL_TIMEOUT,
            ),
            LeaseStep::Renew(id) => self.calls.post(
                Operation::RenewLease(role),
                format!("/grants/{id}/renew"),
                &json!({}),
                (time_to_live / RENEWAL_TIMEOUTS_PER_TTL).min(LEASE_CALL_TIMEOUT),
            ),
        }
    }

    pub(super) fn on_lease_acquired(
        &mut self,
        role: LeaseRole,
        result: Result<Response, CallError>,
        now: Micros,
    ) {
        match read_answer::<GrantedLease>(result) {
            Ok(granted) => self.lease_mut(role).granted(granted.lease),
            Err(error) => {
                error.log("acquire lease");
                self.lease_mut(role).acquisition_failed(now);
            }
        }
    }

    pub(super) fn on_lease_renewed(
        &mut self,
        role: LeaseRole,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        match result {
            Ok(response) if response.status == 200 => self.lease_mut(role).renewed(),
            Ok(response) if response.status == 404 => self.on_lease_expired(role, now, events),
            _ => self.lease_mut(role).renewal_failed(now),
        }
    }

    fn on_lease_expired(
        &mut self,
        role: LeaseRole,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let Some(id) = self.lease_mut(role).expired(now) else {
            return;
        };
        log::info!("{role:?} lease {id} expired");
        self.history.verify_at_next_barrier();
        events.push(match role {
            LeaseRole::Owner => StateStoreEvent::OwnerLeaseLost,
            LeaseRole::Leader => StateStoreEvent::LeaderLeaseLost,
        });
    }
}
