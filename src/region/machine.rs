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
    pub(super) rec: MachineRecord,
    pub(super) group: GroupKey,
    pub(super) cap: Room,
    pub(super) used: Room,
    /// Of these, by tasks that fit on other types too.
    pub(super) wide: Room,
    pub(super) listed: IndexEntry,
    pub(super) standing: MachineState,
    pub(super) order: (u64, u64),
    /// Our last 200 to it, or the last time a former owner may have sent one.
    pub(super) last_ok: Micros,
    /// The last newer report under our token, or when we came to know of it.
    pub(super) heard_at: Micros,
    /// Since when its reports come and are answered without a break.
    pub(super) answered_since: Micros,
    /// Answers to reports that didn't carry our token, since one did.
    pub(super) greeted: u32,
    pub(super) reachability: Reachability,
    pub(super) dealt_at: Micros,
    pub(super) boot: Micros,
    pub(super) notice: Option<Micros>,
    pub(super) tasks: BTreeMap<(JobId, u32), Assignment>,
    pub(super) idle_since: Micros,
    pub(super) failures: MachineFailures,
    pub(super) images: BTreeSet<String>,
    pub(super) closed: Option<&'static str>,
    pub(super) releasing: bool,
    pub(super) gone: bool,
    /// Should have been up by now.
    pub(super) late: bool,
    /// When it is looked at next.
    pub(super) due: Micros,
}

impl Machine {
    pub(super) fn free(&self) -> Room {
        machine_index::less(self.cap, self.used)
    }

    /// Whether the level-two list may name it, now or once it is up.
    pub(super) fn usable(&self) -> bool {
        self.closed.is_none() && self.notice.is_none() && !self.gone && self.cap != (0, 0, 0)
    }

    /// Whether it holds work of the kind that it is there for: on a type that is kept
    /// for some jobs, theirs.
    pub(super) fn serves(&self, kept: bool) -> bool {
        self.tasks.values().any(|h| h.narrow || !kept)
    }

    pub(super) fn open(&self) -> bool {
        self.standing == MachineState::Ready && self.rec.opened && self.usable()
    }
}
