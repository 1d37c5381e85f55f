//! Demand forecast: how many processors flexible jobs need, as thresholds for scale-out and
//! scale-in.
//!
//! Inputs are the jobs as they are bound, the regions' reports and the pending work. The forecast
//! is recomputed with each plan and makes no decisions itself. The paper has no counterpart,
//! because its number of processors is fixed.

use crate::peer_protocol::RegionReport;
use crate::region::SchedulingContext;
use salttiller_records::model::JobSpec;
use salttiller_records::units::{Micros, SECOND};

use super::arrival_rate::ArrivalRate;
use super::horizon::start_horizon;
use super::planned_capacity::PlannedCapacity;
use super::reports::Reports;
use super::unplaced_job::UnplacedJob;

/// Weight of the latest measurement in the smoothed utilisation. With a plan every 0.4 s, the
/// average follows a change within about 10 s.
const UTILISATION_WEIGHT: f64 = 0.04;
/// Weight of the latest job in the smoothed job size.
const JOB_SIZE_WEIGHT: f64 = 0.1;
/// Lower and upper bound of the estimate accuracy. Users' run-time estimates are often off by half
/// and sometimes by more; a measurement outside the bounds reflects a few outliers rather than all
/// jobs.
const ACCURACY_BOUNDS: (f64, f64) = (0.3, 3.0);
/// Minimum amount of finished work for a measurement of the estimate accuracy, as run time of a
/// job of average size. A smaller sample is not representative.
const MIN_MEASURED_RUN_TIME: Micros = 20 * SECOND;

/// Forecast of the processors that flexible jobs need, in millionths.
#[derive(Debug)]
pub(super) struct DemandForecast {
    arrivals: ArrivalRate,
    /// Processors in use by flexible work, smoothed over time.
    smoothed_utilisation: f64,
    /// Processors that all tasks of a flexible job use together, smoothed over jobs.
    smoothed_job_size: f64,
    /// Actual divided by estimated run time of recently finished tasks.
    estimate_accuracy: f64,
    scale_out_threshold: f64,
    scale_in_threshold: f64,
}

impl DemandForecast {
    pub(super) fn new(now: Micros) -> Self {
        DemandForecast {
            arrivals: ArrivalRate::new(now),
            smoothed_utilisation: 0.0,
            smoothed_job_size: 0.0,
            estimate_accuracy: 1.0,
            scale_out_threshold: 0.0,
            scale_in_threshold: 0.0,
        }
    }

    /// Counts a flexible job that is being bound.
    pub(super) fn on_job_bound(&mut self, spec: &JobSpec, context: &SchedulingContext<'_>) {
        let size = spec.cpus as f64 * f64::from(spec.task_count);
        let age = context.wall.saturating_sub(spec.submitted_at);
        self.arrivals.add(
            size * spec.estimated_run_time as f64,
            context.now.saturating_sub(age),
        );
        self.smoothed_job_size += (size - self.smoothed_job_size) * JOB_SIZE_WEIGHT;
    }

    /// Recomputes the thresholds: the processors that the arriving work keeps busy, plus those
    /// needed to start the backlog within its start horizon.
    pub(super) fn update(
        &mut self,
        unplaced: &[UnplacedJob],
        capacity: &[PlannedCapacity],
        reports: &Reports,
        context: &SchedulingContext<'_>,
    ) {
        self.measure_accuracy(reports);
        self.measure_utilisation(capacity);
        let backlog = self.backlog_cpus(unplaced, context);
        // The recent arrival rate serves as the forecast of future demand.
        let arriving = self
            .arrivals
            .rate(context.now)
            .map_or(self.smoothed_utilisation, |rate| {
                rate * self.estimate_accuracy
            });
        let headroom = context.settings.operator.headroom;
        self.scale_out_threshold = arriving + backlog;
        // Hysteresis: the scale-in threshold is above the scale-out threshold, so that machines
        // are not rented and returned with every burst. Each rental is billed for at least one
        // minute.
        self.scale_in_threshold = arriving * (1.0 + headroom) + self.smoothed_job_size + backlog;
    }

    /// Number of processors below which machines are rented for pending flexible work.
    pub(super) fn scale_out_threshold(&self) -> f64 {
        self.scale_out_threshold
    }

    /// Number of processors above which machines are drained.
    pub(super) fn scale_in_threshold(&self) -> f64 {
        self.scale_in_threshold
    }

    /// Processors that the arriving work keeps busy according to users' run-time estimates, or
    /// `None` while the measurement is too short.
    pub(super) fn arrival_rate(&mut self, now: Micros) -> Option<f64> {
        self.arrivals.rate(now)
    }

    /// Processors in use by flexible work, smoothed over time.
    pub(super) fn smoothed_utilisation(&self) -> f64 {
        self.smoothed_utilisation
    }

    /// Actual divided by estimated run time of recently finished tasks.
    pub(super) fn estimate_accuracy(&self) -> f64 {
        self.estimate_accuracy
    }

    /// Measures the estimate accuracy on recently finished tasks, because users' run-time estimates
    /// may all be off by half in the same direction.
    fn measure_accuracy(&mut self, reports: &Reports) {
        let total = |work: fn(&RegionReport) -> f64| {
            let all = reports.values().map(|received| work(&received.report));
            all.sum::<f64>()
        };
        let estimated = total(|report| report.estimated_cpu_time);
        let actual = total(|report| report.actual_cpu_time);
        if estimated > MIN_MEASURED_RUN_TIME as f64 * self.smoothed_job_size {
            let (min, max) = ACCURACY_BOUNDS;
            self.estimate_accuracy = (actual / estimated).clamp(min, max);
        }
    }

    fn measure_utilisation(&mut self, capacity: &[PlannedCapacity]) {
        let used: f64 = capacity
            .iter()
            .filter(|c| c.is_available && c.is_unreserved())
            .map(|c| c.total.minus(c.free).cpus as f64 * c.machines)
            .sum();
        if self.smoothed_utilisation == 0.0 {
            self.smoothed_utilisation = used;
        }
        self.smoothed_utilisation += (used - self.smoothed_utilisation) * UTILISATION_WEIGHT;
    }

    /// Returns the processors needed to start the pending flexible work within its start horizon,
    /// at most as many as run all of this work at the same time.
    fn backlog_cpus(&self, unplaced: &[UnplacedJob], context: &SchedulingContext<'_>) -> f64 {
        let is_counted =
            |job: &&UnplacedJob| job.is_flexible() && !job.is_indivisible() && !job.is_suspect;
        let mut backlog = 0.0;
        for job in unplaced.iter().filter(is_counted) {
            let estimated = job.spec.estimated_run_time.max(SECOND) as f64;
            let run_time = self.estimate_accuracy * estimated;
            let horizons = run_time / start_horizon(&job.spec, context) as f64;
            backlog += (job.unplaced_tasks * job.spec.cpus) as f64 * horizons.min(1.0);
        }
        backlog
    }
}
