//! A job with tasks bound to the region.

use super::*;

#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Rc<JobSpec>,
    /// Tasks bound here.
    pub(super) bound: RangeSet,
    pub(super) pending: RangeSet,
    pub(super) unreconciled: RangeSet,
    pub(super) rebinding: RangeSet,
    pub(super) done: RangeSet,
    /// Done, but not yet on record.
    pub(super) unrecorded_done: RangeSet,
    pub(super) on_machines: BTreeMap<u32, Rc<str>>,
    pub(super) is_over: bool,
    pub(super) pending_since: Micros,
    /// When a task of it was last assigned to a machine, or when it was bound here.
    pub(super) last_assigned: Micros,
    pub(super) not_before: Micros,
    pub(super) failures: JobFailures,
    pub(super) commit_in_flight: bool,
    pub(super) last_progress_commit_at: Micros,
    pub(super) restarting_gang: bool,
    pub(super) only_type: Option<String>,
    /// Its place in the order of waiting jobs.
    pub(super) queue_key: Option<OrderKey>,
    /// Its team's share was too small last time.
    pub(super) quota_blocked: bool,
    /// Of a gang over several regions: what its parts have in common.
    pub(super) multi_region: Option<MultiRegionAttempt>,
    pub(super) has_unbound_part: bool,
    /// The joint attempt that was started last, and since when room is held for
    /// one that was not.
    pub(super) last_multi_region_attempt: u64,
    pub(super) barrier_since: Option<Micros>,
}

impl Job {
    pub(super) fn new(spec: &Rc<JobSpec>, narrow_to: Option<String>, now: Micros) -> Self {
        Job {
            spec: spec.clone(),
            bound: RangeSet::default(),
            pending: RangeSet::default(),
            unreconciled: RangeSet::default(),
            rebinding: RangeSet::default(),
            done: RangeSet::default(),
            unrecorded_done: RangeSet::default(),
            on_machines: BTreeMap::new(),
            is_over: false,
            pending_since: now,
            last_assigned: now,
            not_before: 0,
            failures: JobFailures::default(),
            commit_in_flight: false,
            last_progress_commit_at: 0,
            restarting_gang: false,
            only_type: narrow_to,
            queue_key: None,
            quota_blocked: false,
            multi_region: None,
            has_unbound_part: false,
            last_multi_region_attempt: 0,
            barrier_since: None,
        }
    }

    /// Whether so many results are all there will be. A gang's tasks complete
    /// together: one is enough. Guards against a gang over several regions of which
    /// one part's result is known and the other's machine is gone: that part would
    /// wait for ever for mates that are done.
    pub(super) fn is_complete_with(&self, results: u32) -> bool {
        let any = is_disabled(Safeguard::CompleteResults) && results > 0;
        any || results >= self.spec.task_count || (self.spec.kind == JobKind::Gang && results > 0)
    }

    /// How many of its tasks are to be started or moved now: of a suspect array one at a
    /// time, so that it takes neither machines nor shares from others; one more after a
    /// while, since a try may take long.
    pub(super) fn tasks_to_schedule(&self, now: Micros) -> u32 {
        let waiting = self.pending.len();
        if !self.failures.is_suspect() || self.spec.kind == JobKind::Gang {
            waiting
        } else if self.on_machines.is_empty()
            || now > self.last_assigned + failure_attribution::TRY_AGAIN_AFTER
        {
            waiting.min(1)
        } else {
            0
        }
    }

    /// All of a gang's tasks here wait, and under a joint attempt that was tried:
    /// only another attempt lets it start.
    pub(super) fn needs_new_attempt(&self) -> bool {
        self.multi_region
            .as_ref()
            .is_some_and(|j| j.attempt == self.last_multi_region_attempt)
            && self.on_machines.is_empty()
            && self.pending.len() == self.bound.len()
    }
}
