//! What the region uses and needs of a team's limit.

use super::*;

/// The region's shares of all teams' quotas.
#[derive(Debug, Default)]
pub(super) struct QuotaShares {
    pub(super) by_team: BTreeMap<Rc<str>, QuotaShare>,
    pub(super) next_update_at: Micros,
}

#[derive(Debug, Default)]
pub(super) struct QuotaShare {
    pub(super) used: QuotaAmount,
    /// Of these, started under our own token.
    pub(super) used_by_our_starts: QuotaAmount,
    /// Counted as used until all machines are accounted for.
    pub(super) inherited: QuotaAmount,
    pub(super) demand: QuotaAmount,
    /// The same for tasks that there is no room for yet.
    pub(super) demand_ahead: QuotaAmount,
    /// The [`turn`] of the first of the jobs that want it.
    pub(super) first_rank: Option<u64>,
    /// A smaller share that is being committed binds at once.
    pub(super) committing: Option<QuotaAmount>,
    /// The limit leaves less than waiting tasks need.
    pub(super) is_limited: bool,
    /// Since when a part of the share is kept unused for a job that lacks the rest.
    pub(super) unused_since: Option<Micros>,
    /// Until when such a part is left to other regions.
    pub(super) yield_until: Micros,
    /// The most that was needed lately, and when that was.
    pub(super) peak: QuotaAmount,
    pub(super) peak_at: Micros,
}

impl QuotaShare {
    /// Follows how long a part of the share `have` is kept unused since its first job needs
    /// more. Guards against a gang that never gets the rest, since work without end uses it
    /// in another region: from time to time others may use what is kept.
    pub(super) fn track_unused(&mut self, used: QuotaAmount, have: QuotaAmount, now: Micros) {
        let hoards = self.is_limited && used != have;
        if !hoards || is_disabled(Safeguard::ShareHoldLimit) {
            self.unused_since = None;
            return;
        }
        let since = *self.unused_since.get_or_insert(now);
        if now > since + reservation::SHARE_HOLD_LIMIT {
            self.unused_since = None;
            self.yield_until = now + reservation::SHARE_REST;
        }
    }

    /// While others may use what is kept, nothing is asked for beyond what runs.
    pub(super) fn yield_if_due(&mut self, now: Micros) {
        if now < self.yield_until {
            self.demand = QuotaAmount::default();
            self.demand_ahead = QuotaAmount::default();
            self.first_rank = None;
        }
    }
}
