//! Headroom of the region in its recorded quota shares, and commits that change the shares.

use salttiller_records::key::Key;
use salttiller_records::record::value;
use salttiller_records::QuotaAmount;

use super::action::CommitKind;
use super::quota_share::ShareState;
use super::{Region, SchedulingContext};
use crate::quota;
use crate::state_store::CommitPriority;

impl Region {
    /// Returns how much more quota the region may currently use for a team.
    pub(super) fn quota_headroom(
        &self,
        team: &str,
        context: &SchedulingContext<'_>,
    ) -> QuotaAmount {
        let settings = context.settings.team(team);
        if settings.is_some_and(|team| team.limit.is_none()) {
            return QuotaAmount::UNBOUNDED;
        }
        let record = context.replica.quotas.get(team).map(|record| &record.value);
        let recorded = quota::recorded_share(record, &self.name);
        self.quotas
            .headroom(team, recorded, self.reconciliation.is_complete())
    }

    /// Acquires the quota that pending tasks need, and returns quota that is not needed.
    pub(super) fn update_quota_shares(&mut self, context: &SchedulingContext<'_>) {
        self.update_quota_demand(context);
        for team in self.quotas.teams() {
            // A team without a limit needs no shares.
            if let Some(limit) = context.settings.team(&team).and_then(|team| team.limit) {
                self.update_quota_share(&team, limit, context);
            }
        }
    }

    fn update_quota_share(
        &mut self,
        team: &str,
        limit: QuotaAmount,
        context: &SchedulingContext<'_>,
    ) {
        let record = context.replica.quotas.get(team);
        let state = ShareState {
            region: &self.name,
            record: record.map(|record| &record.value),
            limit,
            blocked_elsewhere: context.quota_blocked_teams.get(team).copied(),
            is_reconciled: self.reconciliation.is_complete(),
            regions: context.settings.region_count() as u64,
            now: context.now,
        };
        let Some(changed) = self.quotas.propose_change(team, &state) else {
            return;
        };
        let key = Key::Quota(team.to_owned());
        let mut conditions = self.ownership_condition();
        conditions.push((key.clone(), record.map_or(0, |record| record.version)));
        self.commit(
            conditions,
            vec![(key, Some(value(&changed)))],
            CommitPriority::Normal,
            CommitKind::QuotaShare(team.to_owned()),
        );
    }
}
