//! Counters of events on a simulated day, with which a test asserts that the situation that it
//! covers has occurred.

/// Counters of the events of a day.
#[derive(Default, Debug, Clone, PartialEq)]
pub(super) struct Observations {
    /// Cancellations confirmed while the state service refused a single controller.
    pub cancels_confirmed_in_refusal: u32,
    /// Tasks that were active when the cancellation of their job was confirmed.
    pub running_tasks_cancelled: u32,
    /// Starts that followed a confirmed cancellation by more than the maximum command latency.
    pub starts_after_cancel: u32,
    /// Heartbeats accepted by a controller to which the state service was unavailable.
    pub heartbeats_accepted_without_store: u32,
    /// Starts by a controller to which the state service was unavailable.
    pub starts_without_store: u32,
    /// Commits that got no response and were executed late.
    pub delayed_commits: u32,
    /// Cancellations of jobs with all results that were answered `done`.
    pub late_cancels_answered_done: u32,
    /// Cancellations of jobs with all results that were answered `cancelled`.
    pub late_cancels_answered_cancelled: u32,
    /// Worker leases that expired with tasks on the machine.
    pub leases_expired_with_tasks: u32,
    /// Acquisitions of a region.
    pub region_acquisitions: u32,
    /// Elections of a leader, including the first of the day.
    pub leader_elections: u32,
    /// Responses that reached their worker after its timeout.
    pub late_responses: u32,
    /// Start commands in copies of responses, most of which have no effect.
    pub copied_starts: u32,
    /// Peak use of a team's quota, as a fraction of the quota.
    pub peak_quota_use: f64,
    /// Results of jobs for which the leader has changed since their first result.
    pub results_across_elections: u32,
    /// Checks that found no capacity for a waiting job.
    pub capacity_shortages: u32,
    /// Starts of tasks of jobs with dependencies.
    pub dependent_starts: u32,
    /// Jobs reported cancelled because a dependency was cancelled.
    pub cascaded_cancellations: u32,
    /// Transactions rejected because of their size.
    pub oversized_transactions: u32,
    /// Pages of records that the state service has returned.
    pub pages_read: u32,
    /// Requests that the state service has refused with 429.
    pub requests_over_limit: u32,
    /// Events held back while their controller was paused.
    pub events_delayed_by_pause: u32,
    /// Releases of a region by the controller of the same name.
    pub regions_released: u32,
    /// Machines that booted late or never.
    pub impaired_boots: u32,
    /// Status queries answered during a burst of queries.
    pub burst_queries: u32,
    /// Tasks that failed because of an error in their job.
    pub task_failures: u32,
}
