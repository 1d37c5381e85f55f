//! Arithmetic of teams' limits and guarantees.
//!
//! Limits hold over all regions together: each region starts tasks only inside its own
//! share, and the shares of a team, changed by compare-and-swap, never sum to more than its
//! limit. Regions compute their shares here, admission checks a job against the limit, and
//! the leader and the status page look up which jobs are within the guarantee.

use crate::settings::Settings;
use crate::state_store::replica::{Replica, SubmissionKey};
use salttiller_records::model::JobKind;
use salttiller_records::record::QuotaRecord;
use salttiller_records::QuotaAmount;

/// A changed record of a team's shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareChange {
    /// The record to put.
    pub record: QuotaRecord,
    /// The region's share in it.
    pub share: QuotaAmount,
}

/// A region's share of a team's limit as recorded; nothing if there is no record.
#[must_use]
pub fn recorded_share(record: Option<&QuotaRecord>, region: &str) -> QuotaAmount {
    let share = record.and_then(|record| record.shares.get(region));
    share.copied().unwrap_or_default()
}

/// The record with the region's share set as near to `target` as the limit
/// allows; `None` if that changes nothing.
#[must_use]
pub fn with_share(
    record: Option<&QuotaRecord>,
    region: &str,
    limit: QuotaAmount,
    target: QuotaAmount,
) -> Option<ShareChange> {
    let mut changed = record.cloned().unwrap_or_default();
    let others = changed.shares.iter().filter(|(other, _)| *other != region);
    let others = others.fold(QuotaAmount::default(), |sum, (_, share)| sum.plus(*share));
    let share = target.min(limit.minus(others));
    if share == recorded_share(record, region) {
        return None;
    }
    if share == QuotaAmount::default() {
        changed.shares.remove(region);
    } else {
        changed.shares.insert(region.to_owned(), share);
    }
    Some(ShareChange {
        record: changed,
        share,
    })
}

/// The last of a team's open jobs, by time of submission, that fits into its
/// guarantee together with the team's earlier unfinished ones; `None` if not even
/// the first does. All up to it are within the guarantee, none after it.
#[must_use]
pub fn last_guaranteed_job(
    replica: &Replica,
    settings: &Settings,
    team: &str,
) -> Option<SubmissionKey> {
    let guarantee = settings.team(team)?.guarantee;
    let mut sum = QuotaAmount::default();
    let mut last = None;
    for (job, quota) in replica.teams.get(team)? {
        sum = sum.plus(*quota);
        if !sum.within(guarantee) {
            break;
        }
        last = Some(job);
    }
    last.cloned()
}

/// Whether a job of this size can ever run inside the team's limit, if it has one.
#[must_use]
pub fn fits_within_limit(
    kind: JobKind,
    tasks: u32,
    per_task: QuotaAmount,
    limit: Option<QuotaAmount>,
) -> bool {
    let tasks_at_once = match kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => u64::from(tasks),
    };
    limit.is_none_or(|limit| per_task.times(tasks_at_once).within(limit))
}

#[cfg(test)]
mod tests;
