//! Places kept for the gang whose turn it is.

use super::machine_index::PoolIndex;
use super::*;

/// Places kept for the gang whose turn it is, so that they fill up under steady
/// small work.
#[derive(Debug)]
pub(super) struct GangReservation {
    pub job: JobId,
    pub priority: salttiller_records::model::Priority,
    pub team: String,
    /// It has room, but its team's share here is too small.
    pub quota_blocked: bool,
    /// Work of higher priority waits: what falls free goes to that first.
    pub outranked: bool,
    /// Only machines of this zone are held, if the gang must be in one.
    pub zone: Option<Rc<str>>,
    /// When the last of the places is expected to be free.
    pub filled_at: Micros,
    pub updated_at: Micros,
}

/// For how long a gang that lacks a share of its team's limit keeps a job of the same team
/// from starting a task. Half of the 90 s for which no job may wait beside free machines,
/// since a job may have waited in another region before.
pub(super) const SHARE_HOLD_LIMIT: Micros = 45 * SECOND;

/// For how long other regions may use what is kept for such a gang: time for them to hear
/// of it, for two changes of shares and a report.
pub(super) const SHARE_REST: Micros = 10 * SECOND;

/// What a task that runs in the meantime takes beside its run time.
const BACKFILL_SLACK: Micros = 10 * SECOND;

/// What a job may not use because of a hold.
pub(super) fn is_reserved_for_another(
    hold: Option<&GangReservation>,
    id: &JobId,
    job: &Job,
    key: &MachinePool,
    g: &PoolIndex,
    context: &SchedulingContext<'_>,
) -> bool {
    // Guards against work of higher priority that waits behind a hold while all that it
    // has stopped for its sake is started again.
    let Some(h) = hold.filter(|h| h.job != *id && h.priority >= job.spec.priority) else {
        return false;
    };
    if h.zone.as_ref().is_some_and(|z| **z != *key.zone) {
        return false;
    }
    // Guards against machines that stand idle for a gang whose team's limit is used up
    // elsewhere: others take them, those of its own team leave it the share.
    if h.quota_blocked && h.team != job.spec.team {
        return false;
    }
    // Guards against a job that waits without end beside free machines while the gang
    // gathers its team's share from other regions: one task at a time may pass.
    let waited = context.now.saturating_sub(job.last_assigned);
    if h.quota_blocked && waited > SHARE_HOLD_LIMIT && !is_disabled(Safeguard::ShareHoldLimit) {
        return false;
    }
    // Nor for one that work of higher priority goes before again and again.
    if h.outranked {
        return false;
    }
    // What is kept clear for narrow tasks is out of the others' reach anyway.
    if g.reserved.is_some() && job.only_type.is_none() {
        return false;
    }
    // Work that ends in time may run in the meantime.
    context.now + job.spec.estimated_run_time * 3 / 2 + BACKFILL_SLACK > h.filled_at
}
