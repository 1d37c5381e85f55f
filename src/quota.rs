//! Quota arithmetic: teams' limits, the regions' shares of them, and guarantees.
//!
//! A limit applies to all regions together. Each region starts tasks only within its own share
//! of the limit. Shares are changed by compare-and-swap, so that the shares of a team never sum
//! to more than its limit. Regions compute their shares here, admission checks jobs against the
//! limit, and monitoring and the job queue determine which jobs are within the guarantee.

use crate::settings::Settings;
use crate::state_store::replica::{Replica, SubmissionKey};
use salttiller_records::model::JobKind;
use salttiller_records::record::QuotaRecord;
use salttiller_records::QuotaAmount;

/// A change to the quota record of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareChange {
    /// The new record.
    pub record: QuotaRecord,
    /// The region's share in the new record.
    pub share: QuotaAmount,
}

/// Returns a region's recorded share of a team's limit; zero if there is no record.
#[must_use]
pub fn recorded_share(record: Option<&QuotaRecord>, region: &str) -> QuotaAmount {
    let share = record.and_then(|record| record.shares.get(region));
    share.copied().unwrap_or_default()
}

/// Returns the change that sets the region's share to `target`, or to the part of `target` that the
/// limit leaves after the shares of the other regions. Returns `None` if the share does not change.
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

/// Returns the last of a team's unfinished jobs, by submission time, that fits into the team's
/// guarantee together with all unfinished jobs before it; `None` if the first job does not fit.
/// The jobs up to this one are within the guarantee, the later ones are not.
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

/// Whether a job of this size can ever run within the team's limit; `true` if the team has no
/// limit. An array can run one task at a time, gangs and services run all tasks at once.
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
