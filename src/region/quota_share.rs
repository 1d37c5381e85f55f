//! The region's shares of the teams' quotas: what is used, what is needed, and by how much a
//! share is to change.
//!
//! [`QuotaShares`] owns the figures. Task transitions charge and credit them, `quota_demand`
//! sets what pending tasks need, `quota_updates` commits the changes that [`QuotaShares`]
//! decides on.

use std::collections::BTreeMap;
use std::rc::Rc;

use salttiller_records::record::QuotaRecord;
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::QuotaAmount;

use super::reservation::{MAX_TEAM_BLOCK, SHARE_YIELD_TIME};
use super::task::Assignment;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::quota::{self, ShareChange};

/// How often the shares are updated.
const UPDATE_INTERVAL: Micros = SECOND / 2;

/// How long the most that a team needed is remembered.
const PEAK_TTL: Micros = 15 * SECOND;

/// A region's even part of the limit, divided by this, is what a growing share gets beyond what
/// is needed, so that most changes of need take no commit.
const GROWTH_DIVISOR: u64 = 4;
/// The same, divided by this, is what a share may exceed the peak by before it shrinks.
const EXCESS_DIVISOR: u64 = 2;

/// The region's shares of all teams' quotas.
#[derive(Debug, Default)]
pub(super) struct QuotaShares {
    by_team: BTreeMap<Rc<str>, QuotaShare>,
    next_update_at: Micros,
}

impl QuotaShares {
    fn team_mut(&mut self, team: &str) -> &mut QuotaShare {
        self.by_team.entry(Rc::from(team)).or_default()
    }

    /// A task was assigned, or found on a machine.
    pub(super) fn charge(&mut self, assignment: &Assignment) {
        let share = self.by_team.entry(assignment.team.clone()).or_default();
        share.used = share.used.plus(assignment.quota);
        if assignment.started_by_us {
            share.used_by_our_starts = share.used_by_our_starts.plus(assignment.quota);
        }
    }

    /// A task has left its machine.
    pub(super) fn credit(&mut self, assignment: &Assignment) {
        let share = self.by_team.entry(assignment.team.clone()).or_default();
        share.used = share.used.minus(assignment.quota);
        if assignment.started_by_us {
            share.used_by_our_starts = share.used_by_our_starts.minus(assignment.quota);
        }
    }

    /// A former owner left the region with this share: as much may be in use.
    pub(super) fn set_inherited(&mut self, team: &str, amount: QuotaAmount) {
        self.team_mut(team).inherited = amount;
    }

    /// All machines are reconciled: what is in use is known.
    pub(super) fn clear_inherited(&mut self) {
        for share in self.by_team.values_mut() {
            share.inherited = QuotaAmount::default();
        }
    }

    /// Whether the shares are to be updated; if so, the time of the next update is set.
    pub(super) fn take_update_due(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_update_at;
        if is_due {
            self.next_update_at = now + UPDATE_INTERVAL;
        }
        is_due
    }

    /// All teams that use or need something, or did.
    pub(super) fn teams(&self) -> Vec<Rc<str>> {
        self.by_team.keys().cloned().collect()
    }

    /// Forgets what pending tasks need, before it is determined anew.
    pub(super) fn clear_demand(&mut self) {
        for share in self.by_team.values_mut() {
            share.clear_demand();
        }
    }

    /// Pending tasks of a job need this.
    pub(super) fn add_demand(&mut self, team: &str, demand: JobDemand) {
        let share = self.team_mut(team);
        share.demand = share.demand.plus(demand.placeable);
        share.demand_ahead = share.demand_ahead.plus(demand.ahead);
        let first = share.first_rank.map_or(demand.rank, |r| r.min(demand.rank));
        share.first_rank = Some(first);
    }

    /// Whether the team's limit leaves less than its pending tasks here need.
    pub(super) fn is_limited(&self, team: &str) -> bool {
        self.by_team.get(team).is_some_and(|s| s.is_limited)
    }

    /// The teams whose limit leaves less than their pending tasks here need, with the
    /// scheduling rank of the first job that lacks some.
    pub(super) fn limited_teams(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        self.by_team
            .iter()
            .filter(|(_, share)| share.is_limited)
            .filter_map(|(team, share)| Some((team, share.first_rank?)))
    }

    /// Whether some pending task that could be placed lacks its team's share.
    pub(super) fn has_unmet_demand(&self) -> bool {
        self.by_team
            .values()
            .any(|share| share.demand != QuotaAmount::default())
    }

    /// What is left of a team's recorded share.
    pub(super) fn headroom(
        &self,
        team: &str,
        recorded: QuotaAmount,
        is_reconciled: bool,
    ) -> QuotaAmount {
        let Some(share) = self.by_team.get(team) else {
            return recorded;
        };
        let available = share
            .committing
            .map_or(recorded, |amount| recorded.min(amount));
        if is_reconciled || is_disabled(Safeguard::InheritedShares) {
            available.minus(share.used)
        } else {
            available
                .minus(share.inherited)
                .minus(share.used_by_our_starts)
        }
    }

    /// Decides whether a team's share is to change. A change counts as being committed until
    /// [`QuotaShares::commit_ended`].
    pub(super) fn propose_change(
        &mut self,
        team: &str,
        state: &ShareState<'_>,
    ) -> Option<QuotaRecord> {
        self.by_team.get_mut(team)?.propose_change(state)
    }

    /// The commit of a change of a team's share has ended.
    pub(super) fn commit_ended(&mut self, team: &str) {
        if let Some(share) = self.by_team.get_mut(team) {
            share.committing = None;
        }
    }
}

/// What pending tasks of a job need of their team's quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobDemand {
    /// For tasks that could be placed at once.
    pub(super) placeable: QuotaAmount,
    /// For tasks that there is no free capacity for yet.
    pub(super) ahead: QuotaAmount,
    /// The job's scheduling rank over all regions.
    pub(super) rank: u64,
}

/// What a change of a share depends on beside the share itself.
pub(super) struct ShareState<'a> {
    pub(super) region: &'a str,
    /// The team's record: the shares of all regions.
    pub(super) record: Option<&'a QuotaRecord>,
    pub(super) limit: QuotaAmount,
    /// The scheduling rank of the first job that lacks some of the limit in another region.
    pub(super) blocked_elsewhere: Option<u64>,
    pub(super) is_reconciled: bool,
    /// How many regions there are.
    pub(super) regions: u64,
    pub(super) now: Micros,
}

impl ShareState<'_> {
    /// The region's share on record.
    fn recorded(&self) -> QuotaAmount {
        quota::recorded_share(self.record, self.region)
    }

    /// The record with the share as near to `target` as the limit allows, and that share;
    /// `None` if nothing changes.
    fn propose(&self, target: QuotaAmount) -> Option<ShareChange> {
        quota::with_share(self.record, self.region, self.limit, target)
    }

    /// The region's even part of the limit, divided by `divisor`.
    fn even_part(&self, divisor: u64) -> QuotaAmount {
        QuotaAmount {
            cpus: self.limit.cpus / divisor / self.regions,
            gpus: self.limit.gpus / divisor / self.regions,
        }
    }
}

/// The region's share of one team's quota.
#[derive(Debug, Default)]
struct QuotaShare {
    used: QuotaAmount,
    /// Of these, started under our own token.
    used_by_our_starts: QuotaAmount,
    /// Counted as used until all machines are reconciled.
    inherited: QuotaAmount,
    /// What pending tasks need that could be placed at once.
    demand: QuotaAmount,
    /// What pending tasks need that there is no free capacity for yet.
    demand_ahead: QuotaAmount,
    /// The scheduling rank of the first of the jobs that need it.
    first_rank: Option<u64>,
    /// The share that is being committed; a smaller one binds at once.
    committing: Option<QuotaAmount>,
    /// The limit leaves less than pending tasks need.
    is_limited: bool,
    /// Since when a part of the share is reserved unused for a job that lacks the rest.
    unused_since: Option<Micros>,
    /// Until when such a part is left to other regions.
    yield_until: Micros,
    /// The most that was needed lately, and when that was.
    peak: QuotaAmount,
    peak_at: Micros,
}

impl QuotaShare {
    fn propose_change(&mut self, state: &ShareState<'_>) -> Option<QuotaRecord> {
        self.yield_if_due(state.now);
        let used = self.used(state.is_reconciled);
        let needed = self.needed(used, state.blocked_elsewhere);
        self.track_peak(needed, state.now);
        self.is_limited = false;
        if self.committing.is_some() {
            return None;
        }
        let target = self.target(used, needed, state)?;
        let change = state.propose(target)?;
        // Never below what is in use, whatever the limit is now.
        if !used.within(change.share) {
            return None;
        }
        self.committing = Some(change.share);
        Some(change.record)
    }

    fn used(&self, is_reconciled: bool) -> QuotaAmount {
        if is_reconciled {
            self.used
        } else {
            self.inherited.plus(self.used_by_our_starts)
        }
    }

    /// What is in use and what pending tasks need.
    fn needed(&self, used: QuotaAmount, blocked_elsewhere: Option<u64>) -> QuotaAmount {
        // Guards against two regions that each hold a part of what their gangs
        // need, and neither enough: the job of higher priority, then the older one goes
        // first, and the others take nothing and give back what they don't use.
        // By age alone a gang of high priority was pending for ever while another region's
        // older, lesser jobs followed each other.
        let yields =
            blocked_elsewhere.is_some_and(|rank| self.first_rank.is_none_or(|own| rank < own));
        if yields {
            return used;
        }
        // Guards against a share that is kept for tasks to come while another region
        // has free capacity and lacks it: what runs here will leave its share to them.
        let ahead = match blocked_elsewhere {
            Some(_) => self.demand_ahead.minus(used),
            None => self.demand_ahead,
        };
        used.plus(self.demand).plus(ahead)
    }

    fn track_peak(&mut self, needed: QuotaAmount, now: Micros) {
        if !needed.within(self.peak) || now > self.peak_at + PEAK_TTL {
            self.peak = needed;
            self.peak_at = now;
        }
    }

    /// What the share should be; `None` if it may stay as it is. A share goes up by more than
    /// is needed just now and down only after a while, or when other regions find the limit
    /// used up: each change counts against the state service's rate.
    fn target(
        &mut self,
        used: QuotaAmount,
        needed: QuotaAmount,
        state: &ShareState<'_>,
    ) -> Option<QuotaAmount> {
        let recorded = state.recorded();
        if !needed.within(recorded) {
            Some(self.larger_target(used, needed, state))
        } else if !state.is_reconciled {
            None
        } else if state.blocked_elsewhere.is_some() && recorded != needed {
            Some(needed)
        } else if !recorded.within(self.peak.plus(state.even_part(EXCESS_DIVISOR))) {
            Some(self.peak.plus(state.even_part(GROWTH_DIVISOR)))
        } else {
            None
        }
    }

    /// At the least what is needed, and somewhat more if the limit leaves it.
    fn larger_target(
        &mut self,
        used: QuotaAmount,
        needed: QuotaAmount,
        state: &ShareState<'_>,
    ) -> QuotaAmount {
        let generous = needed.plus(state.even_part(GROWTH_DIVISOR));
        let possible = state.propose(generous).map(|change| change.share);
        self.is_limited = possible.is_none_or(|share| !needed.within(share));
        self.track_unused(used, state.recorded(), state.now);
        match possible {
            Some(share) if generous.within(share) => generous,
            _ => needed,
        }
    }

    /// Follows how long a part of the recorded share is reserved unused since its first job
    /// needs more. Guards against a gang that never gets the rest, since work without end uses
    /// it in another region: from time to time others may use what is reserved.
    fn track_unused(&mut self, used: QuotaAmount, recorded: QuotaAmount, now: Micros) {
        let is_reserved_unused = self.is_limited && used != recorded;
        if !is_reserved_unused || is_disabled(Safeguard::ShareHoldLimit) {
            self.unused_since = None;
            return;
        }
        let since = *self.unused_since.get_or_insert(now);
        if now > since + MAX_TEAM_BLOCK {
            self.unused_since = None;
            self.yield_until = now + SHARE_YIELD_TIME;
        }
    }

    /// While others may use what is reserved, nothing is asked for beyond what runs.
    fn yield_if_due(&mut self, now: Micros) {
        if now < self.yield_until {
            self.clear_demand();
        }
    }

    fn clear_demand(&mut self) {
        self.demand = QuotaAmount::default();
        self.demand_ahead = QuotaAmount::default();
        self.first_rank = None;
    }
}
