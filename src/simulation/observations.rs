//! Counts of what happened on a simulated day, so that a test can assert that its day
//! brought about what it is there for.

/// What was seen on a day.
#[derive(Default, Debug, Clone, PartialEq)]
pub(super) struct Observations {
    /// Cancellations confirmed while the state service refused a controller alone.
    pub cancels_confirmed_in_refusal: u32,
    /// Running tasks of jobs at the moment at which their cancellation was confirmed.
    pub running_tasks_cancelled: u32,
    /// Starts later after a confirmed cancellation than the way of a command explains.
    pub starts_after_cancel: u32,
    /// Heartbeats accepted by a controller that the state service refused, or in an outage.
    pub heartbeats_accepted_without_store: u32,
    /// Starts by such a controller.
    pub starts_without_store: u32,
    /// Commits executed after their caller had given up.
    pub delayed_commits: u32,
    /// Cancellations of jobs with all results that were answered with `done`.
    pub late_cancels_answered_done: u32,
    /// Cancellations of jobs with all results that were answered with `cancelled`.
    pub late_cancels_answered_cancelled: u32,
    /// Worker leases that expired with tasks on the machine.
    pub leases_expired_with_tasks: u32,
    /// Acquisitions of a region.
    pub region_acquisitions: u32,
    /// Changes of leader.
    pub leader_elections: u32,
    /// Responses that came too late for their worker.
    pub late_responses: u32,
    /// Highest use of a team's limit, as a fraction of it.
    pub peak_quota_use: f64,
    /// Results of a job that came after a change of leader since its first result.
    pub results_across_elections: u32,
    /// Times at which the machines had no capacity for a waiting job.
    pub capacity_shortages: u32,
    /// Starts of tasks of jobs with dependencies.
    pub dependent_starts: u32,
    /// Jobs reported as cancelled because a dependency was.
    pub cascaded_cancellations: u32,
    /// Transactions refused for their size.
    pub oversized_transactions: u32,
    /// Events that a paused controller saw late.
    pub events_delayed_by_pause: u32,
    /// Regions released by the controller that they belong to.
    pub regions_released: u32,
    /// Machines that came up late or never.
    pub impaired_boots: u32,
    /// Status queries answered in a burst of them.
    pub burst_queries: u32,
    /// Tasks that failed by a mistake of their job.
    pub task_failures: u32,
}
