//! What the region uses and needs of a team's limit.

use super::*;

#[derive(Debug, Default)]
pub(super) struct QuotaShare {
    pub(super) used: QuotaAmount,
    /// Of these, started under our own token.
    pub(super) fresh: QuotaAmount,
    /// Counted as used until all machines are accounted for.
    pub(super) inherited: QuotaAmount,
    pub(super) want: QuotaAmount,
    /// The same for tasks that there is no room for yet.
    pub(super) ahead: QuotaAmount,
    /// The [`turn`] of the first of the jobs that want it.
    pub(super) turn: Option<u64>,
    /// A smaller share that is being committed binds at once.
    pub(super) pending: Option<QuotaAmount>,
    /// The limit leaves less than waiting tasks need.
    pub(super) starved: bool,
    /// Since when a part of the share is kept unused for a job that lacks the rest.
    pub(super) hoarded_since: Option<Micros>,
    /// Until when such a part is left to other regions.
    pub(super) rest_until: Micros,
    /// The most that was needed lately, and when that was.
    pub(super) peak: QuotaAmount,
    pub(super) peak_at: Micros,
}

impl QuotaShare {
    /// Follows how long a part of the share `have` is kept unused since its first job needs
    /// more. Guards against a gang that never gets the rest, since work without end uses it
    /// in another region: from time to time others may use what is kept.
    pub(super) fn note_hoarding(&mut self, used: QuotaAmount, have: QuotaAmount, now: Micros) {
        let hoards = self.starved && used != have;
        if !hoards || is_disabled(Safeguard::ShareHoldLimit) {
            self.hoarded_since = None;
            return;
        }
        let since = *self.hoarded_since.get_or_insert(now);
        if now > since + reservation::SHARE_HOLD_LIMIT {
            self.hoarded_since = None;
            self.rest_until = now + reservation::SHARE_REST;
        }
    }

    /// While others may use what is kept, nothing is asked for beyond what runs.
    pub(super) fn rest(&mut self, now: Micros) {
        if now < self.rest_until {
            self.want = QuotaAmount::default();
            self.ahead = QuotaAmount::default();
            self.turn = None;
        }
    }
}
