//! Arithmetic of teams' limits and guarantees. Limits hold over all regions
//! together: each region starts tasks only inside its own share, and the shares
//! of a team, changed by compare-and-set, never sum to more than its limit.

use crate::settings::Settings;
use crate::state_store::replica::Replica;
use salttiller_records::model::JobKind;
use salttiller_records::record::QuotaRecord;
use salttiller_records::QuotaAmount;

/// A region's share on record.
pub fn share(rec: Option<&QuotaRecord>, region: &str) -> QuotaAmount {
    rec.and_then(|q| q.0.get(region))
        .map_or(QuotaAmount::default(), |(c, g)| QuotaAmount {
            cpus: *c,
            gpus: *g,
        })
}

/// The record with the region's share set as near to `target` as the limit
/// allows; `None` if that changes nothing.
pub fn propose(
    rec: Option<&QuotaRecord>,
    region: &str,
    limit: QuotaAmount,
    target: QuotaAmount,
) -> Option<(QuotaRecord, QuotaAmount)> {
    let mut q = rec.cloned().unwrap_or_default();
    let others =
        q.0.iter()
            .filter(|(r, _)| *r != region)
            .fold(QuotaAmount::default(), |a, (_, (c, g))| {
                a.plus(QuotaAmount { cpus: *c, gpus: *g })
            });
    let new = target.min(limit.minus(others));
    if new == share(rec, region) {
        return None;
    }
    if new == QuotaAmount::default() {
        q.0.remove(region);
    } else {
        q.0.insert(region.to_owned(), (new.cpus, new.gpus));
    }
    Some((q, new))
}

/// The last of a team's open jobs, by time of submission, that fits into its
/// guarantee together with the team's earlier unfinished ones; `None` if not even
/// the first does. All up to it are within the guarantee, none after it.
pub fn last_guaranteed(
    replica: &Replica,
    settings: &Settings,
    team: &str,
) -> Option<(u64, String)> {
    let guarantee = settings.team(team)?.guarantee;
    let mut sum = QuotaAmount::default();
    let mut last = None;
    for (key, need) in replica.teams.get(team)? {
        sum = sum.plus(*need);
        if !sum.within(guarantee) {
            break;
        }
        last = Some(key);
    }
    last.cloned()
}

/// Whether a job of this size can ever run inside the team's limit, if it has one.
pub fn can_ever(kind: JobKind, tasks: u32, each: QuotaAmount, limit: Option<QuotaAmount>) -> bool {
    let n = match kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => tasks as u64,
    };
    limit.is_none_or(|limit| each.times(n).within(limit))
}

#[cfg(test)]
mod tests;
