//! A machine of the region as its owner knows it.

use super::*;

/// How a machine stands with us.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Not heard from under our token.
    Provisioning,
    /// Heard from under our token.
    Ready,
    /// Silent for longer than its lease: nothing is on it.
    LeaseExpired,
}

#[derive(Debug)]
pub(super) struct Machine {
    pub(super) record: MachineRecord,
    pub(super) pool: MachinePool,
    pub(super) capacity: Resources,
    pub(super) used: Resources,
    /// Of these, by tasks that fit on other types too.
    pub(super) used_by_flexible: Resources,
    pub(super) index_entry: IndexEntry,
    pub(super) state: MachineState,
    pub(super) last_heartbeat: HeartbeatId,
    /// Our last 200 to it, or the last time a former owner may have sent one.
    pub(super) last_answered_at: Micros,
    /// The last newer report under our token, or when we came to know of it.
    pub(super) last_heartbeat_at: Micros,
    /// Since when its reports come and are answered without a break.
    pub(super) answered_without_gap_since: Micros,
    /// Answers to reports that didn't carry our token, since one did.
    pub(super) unconfirmed_answers: u32,
    pub(super) reachability: Reachability,
    pub(super) assigned_at: Micros,
    pub(super) boot_time: Micros,
    pub(super) interruption_at: Option<Micros>,
    pub(super) tasks: BTreeMap<(JobId, u32), Assignment>,
    pub(super) idle_since: Micros,
    pub(super) failures: MachineFailures,
    pub(super) images: BTreeSet<String>,
    pub(super) cordoned: Option<&'static str>,
    pub(super) releasing: bool,
    pub(super) is_gone: bool,
    /// Should have been up by now.
    pub(super) is_overdue: bool,
    /// When it is looked at next.
    pub(super) next_check_at: Micros,
}

impl Machine {
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// Whether the level-two list may name it, now or once it is up.
    pub(super) fn is_usable(&self) -> bool {
        self.cordoned.is_none()
            && self.interruption_at.is_none()
            && !self.is_gone
            && self.capacity != Resources::ZERO
    }

    /// Whether it holds work of the kind that it is there for: on a type that is kept
    /// for some jobs, theirs.
    pub(super) fn serves_its_purpose(&self, kept: bool) -> bool {
        self.tasks.values().any(|h| h.constrained || !kept)
    }

    pub(super) fn accepts_tasks(&self) -> bool {
        self.state == MachineState::Ready && self.record.activated && self.is_usable()
    }
}
