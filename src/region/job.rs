//! A job with tasks bound to the region.

use super::*;

#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Rc<JobSpec>,
    /// Tasks bound here.
    pub(super) mine: RangeSet,
    pub(super) waiting: RangeSet,
    pub(super) unsettled: RangeSet,
    pub(super) moving: RangeSet,
    pub(super) done: RangeSet,
    /// Done, but not yet on record.
    pub(super) pending: RangeSet,
    pub(super) out: BTreeMap<u32, Rc<str>>,
    pub(super) over: bool,
    pub(super) wait_since: Micros,
    /// When a task of it was last assigned to a machine, or when it was bound here.
    pub(super) last_assigned: Micros,
    pub(super) not_before: Micros,
    pub(super) failures: JobFailures,
    pub(super) writing: bool,
    pub(super) last_write: Micros,
    pub(super) breaking: bool,
    pub(super) narrow_to: Option<String>,
    /// Its place in the order of waiting jobs.
    pub(super) key: Option<OrderKey>,
    /// Its team's share was too small last time.
    pub(super) short: bool,
    /// Of a gang over several regions: what its parts have in common.
    pub(super) joint: Option<MultiRegionAttempt>,
    pub(super) given_up: bool,
    /// The joint attempt that was started last, and since when room is held for
    /// one that was not.
    pub(super) tried: u64,
    pub(super) held_since: Option<Micros>,
}

impl Job {
    pub(super) fn new(spec: &Rc<JobSpec>, narrow_to: Option<String>, now: Micros) -> Self {
        Job {
            spec: spec.clone(),
            mine: RangeSet::default(),
            waiting: RangeSet::default(),
            unsettled: RangeSet::default(),
            moving: RangeSet::default(),
            done: RangeSet::default(),
            pending: RangeSet::default(),
            out: BTreeMap::new(),
            over: false,
            wait_since: now,
            last_assigned: now,
            not_before: 0,
            failures: JobFailures::default(),
            writing: false,
            last_write: 0,
            breaking: false,
            narrow_to,
            key: None,
            short: false,
            joint: None,
            given_up: false,
            tried: 0,
            held_since: None,
        }
    }

    /// Whether so many results are all there will be. A gang's tasks complete
    /// together: one is enough. Guards against a gang over several regions of which
    /// one part's result is known and the other's machine is gone: that part would
    /// wait for ever for mates that are done.
    pub(super) fn complete(&self, results: u32) -> bool {
        let any = is_disabled(Safeguard::CompleteResults) && results > 0;
        any || results >= self.spec.tasks || (self.spec.kind == JobKind::Gang && results > 0)
    }

    /// How many of its tasks are to be started or moved now: of a suspect array one at a
    /// time, so that it takes neither machines nor shares from others; one more after a
    /// while, since a try may take long.
    pub(super) fn wanted(&self, now: Micros) -> u32 {
        let waiting = self.waiting.len();
        if !self.failures.is_suspect() || self.spec.kind == JobKind::Gang {
            waiting
        } else if self.out.is_empty()
            || now > self.last_assigned + failure_attribution::TRY_AGAIN_AFTER
        {
            waiting.min(1)
        } else {
            0
        }
    }

    /// All of a gang's tasks here wait, and under a joint attempt that was tried:
    /// only another attempt lets it start.
    pub(super) fn stuck(&self) -> bool {
        self.joint.as_ref().is_some_and(|j| j.0 == self.tried)
            && self.out.is_empty()
            && self.waiting.len() == self.mine.len()
    }
}
