//! The region's shares of the teams' quotas: usage, demand, and changes to the shares.
//!
//! [`QuotaShares`] owns this state and decides how shares change. Task transitions charge and
//! credit usage, `quota_demand` sets the demand of pending tasks, and `quota_updates` commits the
//! changes.

use std::collections::BTreeMap;
use std::rc::Rc;

use salttiller_records::record::QuotaRecord;
use salttiller_records::units::{Micros, SECOND};
use salttiller_records::QuotaAmount;

use super::reservation::{MAX_SAME_TEAM_BLOCK_TIME, SHARE_YIELD_TIME};
use super::task::Assignment;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::quota::{self, ShareChange};

/// Interval between updates of the shares.
const UPDATE_INTERVAL: Micros = SECOND / 2;

/// Time for which the peak need of a team is remembered.
const PEAK_TTL: Micros = 15 * SECOND;

/// Divisor of the region's even split of the limit. The result is the margin that a growing share
/// gets beyond the need, so that most changes of the need take no commit.
const GROWTH_DIVISOR: u64 = 4;
/// Divisor of the region's even split of the limit. A share shrinks once it exceeds the peak need
/// by more than the result.
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

    /// Adds a task that was assigned, or found on a machine, to its team's usage.
    pub(super) fn charge(&mut self, assignment: &Assignment) {
        let share = self.by_team.entry(assignment.team.clone()).or_default();
        share.used = share.used.plus(assignment.quota);
        if assignment.started_under_own_token {
            share.used_by_own_starts = share.used_by_own_starts.plus(assignment.quota);
        }
    }

    /// Subtracts a task that has left its machine from its team's usage.
    pub(super) fn credit(&mut self, assignment: &Assignment) {
        let share = self.by_team.entry(assignment.team.clone()).or_default();
        share.used = share.used.minus(assignment.quota);
        if assignment.started_under_own_token {
            share.used_by_own_starts = share.used_by_own_starts.minus(assignment.quota);
        }
    }

    /// Sets the share recorded by a former owner of the region, all of which may be in use.
    pub(super) fn set_inherited(&mut self, team: &str, amount: QuotaAmount) {
        self.team_mut(team).inherited = amount;
    }

    /// Clears the inherited shares once all machines are reconciled and usage is known.
    pub(super) fn clear_inherited(&mut self) {
        for share in self.by_team.values_mut() {
            share.inherited = QuotaAmount::default();
        }
    }

    /// Whether an update of the shares is due; if so, schedules the next one.
    pub(super) fn take_update_due(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_update_at;
        if is_due {
            self.next_update_at = now + UPDATE_INTERVAL;
        }
        is_due
    }

    /// Returns all teams with current or former usage or demand in the region.
    pub(super) fn teams(&self) -> Vec<Rc<str>> {
        self.by_team.keys().cloned().collect()
    }

    /// Clears the demand of pending tasks before it is recomputed.
    pub(super) fn clear_demand(&mut self) {
        for share in self.by_team.values_mut() {
            share.clear_demand();
        }
    }

    /// Adds the demand of a job's pending tasks.
    pub(super) fn add_demand(&mut self, team: &str, demand: JobDemand) {
        let share = self.team_mut(team);
        share.demand = share.demand.plus(demand.placeable);
        share.demand_ahead = share.demand_ahead.plus(demand.ahead);
        let first = share.first_rank.map_or(demand.rank, |r| r.min(demand.rank));
        share.first_rank = Some(first);
    }

    /// Whether the team's limit leaves less than the team needs in this region.
    pub(super) fn is_limited(&self, team: &str) -> bool {
        self.by_team.get(team).is_some_and(|s| s.is_limited)
    }

    /// Returns the teams whose limit leaves less than they need in this region, with the
    /// scheduling rank of the first job that lacks a share.
    pub(super) fn limited_teams(&self) -> impl Iterator<Item = (&Rc<str>, u64)> {
        self.by_team
            .iter()
            .filter(|(_, share)| share.is_limited)
            .filter_map(|(team, share)| Some((team, share.first_rank?)))
    }

    /// Whether a pending task lacks only its team's share to be placed.
    pub(super) fn has_unmet_demand(&self) -> bool {
        self.by_team
            .values()
            .any(|share| share.demand != QuotaAmount::default())
    }

    /// Returns the unused part of a team's recorded share.
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
                .minus(share.used_by_own_starts)
        }
    }

    /// Returns the new record if a team's share must change. The change counts as being committed
    /// until [`QuotaShares::commit_ended`] is called.
    pub(super) fn propose_change(
        &mut self,
        team: &str,
        state: &ShareState<'_>,
    ) -> Option<QuotaRecord> {
        self.by_team.get_mut(team)?.propose_change(state)
    }

    /// Marks the commit of a team's changed share as ended, successfully or not.
    pub(super) fn commit_ended(&mut self, team: &str) {
        if let Some(share) = self.by_team.get_mut(team) {
            share.committing = None;
        }
    }
}

/// Quota that pending tasks of a job need.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobDemand {
    /// Demand of tasks that could be placed at once.
    pub(super) placeable: QuotaAmount,
    /// Demand of tasks for which there is no free capacity yet.
    pub(super) ahead: QuotaAmount,
    /// Scheduling rank of the job among its team's jobs in all regions.
    pub(super) rank: u64,
}

/// Inputs to a change of a share, other than the share itself.
pub(super) struct ShareState<'a> {
    pub(super) region: &'a str,
    /// The team's quota record, with the shares of all regions.
    pub(super) record: Option<&'a QuotaRecord>,
    pub(super) limit: QuotaAmount,
    /// Scheduling rank of the first job that lacks a share in another region, if there is one.
    pub(super) blocked_elsewhere: Option<u64>,
    pub(super) is_reconciled: bool,
    /// Number of regions.
    pub(super) regions: u64,
    pub(super) now: Micros,
}

impl ShareState<'_> {
    /// Returns the region's recorded share.
    fn recorded(&self) -> QuotaAmount {
        quota::recorded_share(self.record, self.region)
    }

    /// Returns the change that sets the share to `target` as far as the limit allows; `None` if
    /// the share does not change.
    fn propose(&self, target: QuotaAmount) -> Option<ShareChange> {
        quota::with_share(self.record, self.region, self.limit, target)
    }

    /// Returns the limit split evenly among all regions, divided by `divisor`.
    fn even_split(&self, divisor: u64) -> QuotaAmount {
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
    /// The part of `used` that was started under the current fencing token.
    used_by_own_starts: QuotaAmount,
    /// The former owner's share, which counts as used until all machines are reconciled.
    inherited: QuotaAmount,
    /// Demand of pending tasks that could be placed at once.
    demand: QuotaAmount,
    /// Demand of pending tasks for which there is no free capacity yet.
    demand_ahead: QuotaAmount,
    /// Least scheduling rank of the jobs with demand.
    first_rank: Option<u64>,
    /// The share that is being committed. If it is smaller than the recorded one, it applies at
    /// once.
    committing: Option<QuotaAmount>,
    /// Whether the limit leaves less than the team needs in this region.
    is_limited: bool,
    /// Time since which a part of the share has been reserved but unused, for a job that lacks the
    /// rest.
    unused_since: Option<Micros>,
    /// Time until which the unused part of the share is left to other regions.
    yield_until: Micros,
    /// Recent peak of the need.
    peak: QuotaAmount,
    /// Time at which the peak was recorded.
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
        // The share never shrinks below what is in use, even if the limit was lowered.
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
            self.inherited.plus(self.used_by_own_starts)
        }
    }

    /// Returns the usage plus the demand of pending tasks.
    fn needed(&self, used: QuotaAmount, blocked_elsewhere: Option<u64>) -> QuotaAmount {
        // Guards against two regions that each hold a part of the limit, neither enough for its
        // gang: the region whose first job has the higher priority, or is older at the same
        // priority, gets its share first. The other regions acquire nothing and return what they
        // do not use. When only age counted, a high-priority gang stayed pending indefinitely while
        // one older job of lower priority after another ran in another region.
        let must_yield =
            blocked_elsewhere.is_some_and(|rank| self.first_rank.is_none_or(|own| rank < own));
        if must_yield {
            return used;
        }
        // Guards against keeping a share for tasks without capacity while another region has free
        // capacity and lacks the share. These tasks get the share of the tasks that currently
        // run in this region once those end.
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

    /// Returns the target of the share; `None` if it may stay as it is. A share grows by more than
    /// the current need, and shrinks only after a while or when the quota blocks jobs in other
    /// regions, since each change counts against the request rate of the state service.
    fn target(
        &mut self,
        used: QuotaAmount,
        needed: QuotaAmount,
        state: &ShareState<'_>,
    ) -> Option<QuotaAmount> {
        let recorded = state.recorded();
        if !needed.within(recorded) {
            Some(self.growth_target(used, needed, state))
        } else if !state.is_reconciled {
            None
        } else if state.blocked_elsewhere.is_some() && recorded != needed {
            Some(needed)
        } else if !recorded.within(self.peak.plus(state.even_split(EXCESS_DIVISOR))) {
            Some(self.peak.plus(state.even_split(GROWTH_DIVISOR)))
        } else {
            None
        }
    }

    /// Returns the target of a share that must grow: the need, plus a margin if the limit allows
    /// it.
    fn growth_target(
        &mut self,
        used: QuotaAmount,
        needed: QuotaAmount,
        state: &ShareState<'_>,
    ) -> QuotaAmount {
        let with_margin = needed.plus(state.even_split(GROWTH_DIVISOR));
        let grantable = state.propose(with_margin).map(|change| change.share);
        self.is_limited = grantable.is_none_or(|share| !needed.within(share));
        self.track_unused(used, state.recorded(), state.now);
        match grantable {
            Some(share) if with_margin.within(share) => with_margin,
            _ => needed,
        }
    }

    /// Tracks how long a part of the recorded share has been reserved but unused because the first
    /// job needs more. Guards against holding that part for a gang that never gets the rest,
    /// because jobs in another region use the rest without end: after
    /// [`MAX_SAME_TEAM_BLOCK_TIME`], other regions may use the reserved part for
    /// [`SHARE_YIELD_TIME`].
    fn track_unused(&mut self, used: QuotaAmount, recorded: QuotaAmount, now: Micros) {
        let is_reserved_unused = self.is_limited && used != recorded;
        if !is_reserved_unused || is_disabled(Safeguard::ShareHoldLimit) {
            self.unused_since = None;
            return;
        }
        let since = *self.unused_since.get_or_insert(now);
        if now > since + MAX_SAME_TEAM_BLOCK_TIME {
            self.unused_since = None;
            self.yield_until = now + SHARE_YIELD_TIME;
        }
    }

    /// Clears the demand while other regions may use the reserved part, so that nothing is
    /// requested beyond current usage.
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
