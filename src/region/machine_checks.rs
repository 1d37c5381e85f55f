//! Periodic checks that find machines without heartbeats, late to boot, idle, or surplus.
//!
//! The inventory schedules the next check of each machine. For each machine state, one function
//! decides whether the machine is released or checked again later.

use std::cell::OnceCell;
use std::rc::Rc;

use salttiller_records::units::{add_drift, Micros, SECOND};

use super::machine::{CordonReason, Machine, MachineState};
use super::machine_pool::MachinePool;
use super::{Region, SchedulingContext};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::settings::Settings;

/// Minimum age at which an idle machine is released. Machines are billed for at least a minute.
pub(super) const MIN_BILLED_AGE: Micros = 50 * SECOND;
/// Margin after the end of a lease before the lease counts as expired.
const LEASE_MARGIN: Micros = SECOND;
/// Time after the expiry of its lease during which a machine may still send a heartbeat before it
/// is released.
const EXPIRED_LEASE_GRACE: Micros = 5 * SECOND;
/// Minimum time between two checks of a machine.
const MIN_CHECK_INTERVAL: Micros = SECOND / 2;
/// Time between checks of an idle machine that pending jobs may need.
const PENDING_DEMAND_CHECK_INTERVAL: Micros = 2 * SECOND;
/// Time between checks of an overdue machine.
const OVERDUE_CHECK_INTERVAL: Micros = 10 * SECOND;
/// Idle timeout in a reserved pool while it has more idle machines than its largest gang needs.
const SURPLUS_IDLE_TIMEOUT: Micros = 5 * SECOND;
/// Minimum idle timeout in a reserved pool while the pool's provisioning is degraded.
const DEGRADED_POOL_IDLE_TIMEOUT: Micros = 300 * SECOND;
/// Number of pending jobs, in queue order, that are considered for an idle machine.
const PENDING_JOBS_CONSIDERED: usize = 20;
/// Maximum factor by which a price advantage extends the idle timeout beyond the boot time.
const MAX_PRICE_ADVANTAGE: f64 = 10.0;

/// Time without a heartbeat after which a machine counts as lost: three and a half heartbeat
/// intervals and some delay.
fn heartbeat_timeout(settings: &Settings) -> Micros {
    settings.heartbeat_interval * 18 / 5
}

/// Heartbeat timeout of an unreconciled machine: the longest heartbeat interval, one heartbeat
/// to a controller that no longer runs, a second until the next one, and a margin. The timeout
/// is short because all tasks bound before the change of ownership wait for these machines.
fn unreconciled_heartbeat_timeout(settings: &Settings) -> Micros {
    (settings.heartbeat_interval * 5 / 4 + 8 * SECOND).min(heartbeat_timeout(settings))
}

/// Heartbeat timeout of a machine whose interruption time has passed: one and a half heartbeat
/// intervals.
fn interrupted_heartbeat_timeout(settings: &Settings) -> Micros {
    settings.heartbeat_interval * 3 / 2
}

/// Maximum time for which a worker keeps tasks after an answer, including its clock drift.
fn lease_time(settings: &Settings) -> Micros {
    if is_disabled(Safeguard::LeaseWait) {
        settings.heartbeat_interval
    } else {
        add_drift(settings.worker_lease)
    }
}

/// Time at which a booting machine becomes overdue. The leader no longer counts on an overdue
/// machine, although it may still boot.
fn overdue_at(machine: &Machine) -> Micros {
    machine.assigned_at + machine.boot_time * 8 / 5 + 4 * SECOND
}

/// Decision of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckOutcome {
    /// Check the machine again at this time.
    CheckAt(Micros),
    /// Release the machine.
    Release(CordonReason),
    /// Stop checking the machine, which is gone or whose release is in flight.
    Stop,
}

/// Liveness of a machine as shown by its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// The machine sends heartbeats, or may still do so.
    Alive,
    /// The lease expired, so the machine runs no task.
    LeaseExpired,
    /// The machine is gone or disconnected. The cloud's confirmation of its release proves that
    /// it runs no task, long before its lease expires.
    Lost(CordonReason),
}

/// State shared by the checks of one pass.
struct CheckPass<'a> {
    context: &'a SchedulingContext<'a>,
    /// Whether most machines send heartbeats. If they do not, this controller is probably at
    /// fault. The value is computed on first use, since most passes find every machine alive.
    most_report: OnceCell<bool>,
}

impl Region {
    /// Checks the machines whose next check is due, and requests releases from the cloud.
    pub(super) fn check_due_machines(&mut self, context: &SchedulingContext<'_>) {
        let pass = CheckPass {
            context,
            most_report: OnceCell::new(),
        };
        let mut to_release = Vec::new();
        while let Some(name) = self.inventory.take_due_check(context.now) {
            match self.check_machine(&name, &pass) {
                CheckOutcome::CheckAt(at) => {
                    let at = at.max(context.now + MIN_CHECK_INTERVAL);
                    self.inventory.schedule_check(&name, at);
                }
                CheckOutcome::Release(reason) => {
                    self.begin_release(&name, reason);
                    to_release.push(name.to_string());
                }
                CheckOutcome::Stop => {}
            }
        }
        if !to_release.is_empty() {
            self.commits.release(to_release);
        }
    }

    /// Whether at least half of the activated machines sent a heartbeat within the last three
    /// heartbeat intervals.
    fn most_machines_report(&self, context: &SchedulingContext<'_>) -> bool {
        let since = context
            .now
            .saturating_sub(3 * context.settings.heartbeat_interval);
        let reported = self.inventory.count_reported_since(since);
        reported * 2 >= self.inventory.activated_count()
    }

    fn check_machine(&mut self, name: &Rc<str>, pass: &CheckPass<'_>) -> CheckOutcome {
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        if machine.is_gone || machine.releasing {
            return CheckOutcome::Stop;
        }
        match self.liveness(name, machine, pass) {
            Liveness::Alive => {}
            Liveness::Lost(reason) => return CheckOutcome::Release(reason),
            Liveness::LeaseExpired => {
                log::info!("region={} machine={name}: lease expired", self.name);
                self.on_machine_empty(name, pass.context);
                self.try_complete_reconciliation(pass.context);
            }
        }
        let state = self.inventory.machine(name).map(|machine| machine.state);
        match state {
            Some(MachineState::LeaseExpired) => self.check_expired(name, pass.context),
            Some(MachineState::Provisioning) => self.check_provisioning(name, pass.context),
            Some(MachineState::Ready) => self.check_ready(name, pass.context),
            None => CheckOutcome::Stop,
        }
    }

    /// Liveness of a machine. A machine that is not expected to send heartbeats counts as alive.
    fn liveness(&self, name: &str, machine: &Machine, pass: &CheckPass<'_>) -> Liveness {
        let heartbeat_expected = match machine.state {
            MachineState::LeaseExpired => false,
            MachineState::Ready => true,
            MachineState::Provisioning => {
                machine.record.activated
                    && !machine.is_booting_since(self.reconciliation.acquired_at())
            }
        };
        if !heartbeat_expected {
            return Liveness::Alive;
        }
        let (now, settings) = (pass.context.now, pass.context.settings);
        let no_heartbeat_for = |timeout: Micros| now > machine.last_heartbeat_at + timeout;
        let was_interrupted = machine
            .interruption_at
            .is_some_and(|interruption_at| now > interruption_at + SECOND);
        if now > Self::lease_expires_at(machine, settings) {
            Liveness::LeaseExpired
        } else if was_interrupted && no_heartbeat_for(interrupted_heartbeat_timeout(settings)) {
            Liveness::Lost(CordonReason::Interrupted)
        } else if no_heartbeat_for(self.heartbeat_timeout_of(name, settings))
            && machine.record.activated
            && *pass
                .most_report
                .get_or_init(|| self.most_machines_report(pass.context))
        {
            Liveness::Lost(CordonReason::NoHeartbeat)
        } else {
            Liveness::Alive
        }
    }

    fn heartbeat_timeout_of(&self, name: &str, settings: &Settings) -> Micros {
        if self.reconciliation.is_unreconciled(name) {
            unreconciled_heartbeat_timeout(settings)
        } else {
            heartbeat_timeout(settings)
        }
    }

    /// Time from which a machine without heartbeats is certain to run no task. No other
    /// controller can have answered it since the region was acquired, and all earlier answers
    /// are older than `last_answered_at`.
    fn lease_expires_at(machine: &Machine, settings: &Settings) -> Micros {
        machine.last_answered_at + lease_time(settings) + LEASE_MARGIN
    }

    /// Checks a machine whose lease expired. It is released unless it sends a heartbeat again.
    fn check_expired(&self, name: &str, context: &SchedulingContext<'_>) -> CheckOutcome {
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        // A machine that was inherited with the region and has never sent a heartbeat may still
        // be booting.
        let boot_time = if machine.has_never_reported() {
            3 * machine.boot_time
        } else {
            0
        };
        let release_at = machine.last_heartbeat_at
            + boot_time
            + lease_time(context.settings)
            + EXPIRED_LEASE_GRACE;
        if context.now > release_at {
            CheckOutcome::Release(CordonReason::NoHeartbeat)
        } else {
            CheckOutcome::CheckAt(release_at)
        }
    }

    /// Checks a machine without a heartbeat yet. A booting machine first becomes overdue, and is
    /// released after the provisioning timeout.
    fn check_provisioning(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> CheckOutcome {
        let now = context.now;
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        let is_booting = machine.is_booting_since(self.reconciliation.acquired_at());
        if machine.record.activated && !is_booting {
            let heartbeat_timeout_at =
                machine.last_heartbeat_at + self.heartbeat_timeout_of(name, context.settings);
            let expires_at = Self::lease_expires_at(machine, context.settings);
            return CheckOutcome::CheckAt((now + SECOND).max(heartbeat_timeout_at.min(expires_at)));
        }
        let overdue_at = overdue_at(machine);
        let (pool, boot_time) = (machine.pool.clone(), machine.boot_time);
        let assigned_at = machine.assigned_at;
        let is_overdue = now > overdue_at;
        if is_overdue {
            self.on_overdue(name, &pool, now);
        } else {
            self.inventory.set_overdue(name, false);
        }
        let release_at = assigned_at + self.inventory.provisioning().timeout(&pool, boot_time);
        if now > release_at {
            CheckOutcome::Release(CordonReason::ProvisioningTimeout)
        } else if is_overdue {
            CheckOutcome::CheckAt(release_at.min(now + OVERDUE_CHECK_INTERVAL))
        } else {
            CheckOutcome::CheckAt(overdue_at)
        }
    }

    fn on_overdue(&mut self, name: &Rc<str>, pool: &MachinePool, now: Micros) {
        if let Some(overdue) = self.inventory.machine_overdue(name, now) {
            log::info!(
                "region={}: provisioning degraded: {overdue} machines of type {} in zone {} \
                 overdue",
                self.name,
                pool.machine_type,
                pool.zone
            );
        }
    }

    /// Checks a machine that sends heartbeats. It is released or drained after its idle timeout.
    fn check_ready(&mut self, name: &Rc<str>, context: &SchedulingContext<'_>) -> CheckOutcome {
        let now = context.now;
        self.inventory.set_overdue(name, false);
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        let regular = next_regular_check(machine, context);
        if machine.justifies_its_cost(self.inventory.is_reserved(machine)) {
            return CheckOutcome::CheckAt(regular);
        }
        let idle_since = machine.idle_since.max(machine.assigned_at);
        let surplus_at = (machine.assigned_at + MIN_BILLED_AGE)
            .max(idle_since + self.idle_timeout(machine, context));
        let is_surplus = now > surplus_at && !self.is_needed_by_pending_jobs(machine);
        if machine.cordoned.is_some() || is_surplus {
            if machine.tasks.is_empty() {
                return CheckOutcome::Release(CordonReason::Idle);
            }
            // Guards against keeping a large machine of a reserved pool only for small flexible
            // tasks that used the capacity left free by a large task. Draining prevents further
            // flexible tasks from being assigned to the machine.
            if machine.cordoned.is_none() {
                log::debug!(
                    "region={} machine={name}: draining, only flexible tasks left",
                    self.name
                );
                self.inventory.drain(name);
            }
            return CheckOutcome::CheckAt(regular);
        }
        let again = if surplus_at > now {
            surplus_at
        } else {
            now + PENDING_DEMAND_CHECK_INTERVAL
        };
        CheckOutcome::CheckAt(regular.min(again))
    }

    /// Time for which a machine may idle before it is released. Idling for one boot time costs
    /// as much as booting a new machine, so beyond that a release is expected to be cheaper.
    /// Idle machines of a reserved pool beyond the size of its largest gang are released early,
    /// because a new machine would boot before they are needed.
    fn idle_timeout(&self, machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
        let usual = context.settings.operator.idle_timeout.unwrap_or_else(|| {
            // Idling a cheap machine costs less than running its work on an expensive machine,
            // so expensive machines are released first.
            let price_advantage = self.price_advantage(&machine.pool, context);
            (machine.boot_time as f64 * price_advantage) as Micros
        });
        let pool = self.inventory.index().pool(&machine.pool);
        let Some(pool) = pool.filter(|pool| pool.reserved.is_some()) else {
            return usual;
        };
        if self.inventory.provisioning().is_degraded(&machine.pool) {
            // Running machines cannot be replaced while provisioning is degraded.
            return usual.max(DEGRADED_POOL_IDLE_TIMEOUT);
        }
        let constrained_types = self.inventory.constrained_types();
        let largest_gang = constrained_types.largest_gang(&machine.record.machine_type);
        if pool.idle_count() > largest_gang as usize {
            usual.min(SURPLUS_IDLE_TIMEOUT)
        } else {
            usual
        }
    }

    /// Ratio of the highest price per processor among unreserved pools to the price of this
    /// pool, clamped to between 1 and `MAX_PRICE_ADVANTAGE`.
    fn price_advantage(&self, pool: &MachinePool, context: &SchedulingContext<'_>) -> f64 {
        let price = |pool: &MachinePool| {
            let machine_type = context.replica.machine_types.get(&*pool.machine_type)?;
            Some(machine_type.value.price_per_cpu(pool.spot))
        };
        let pools = self.inventory.index().pools();
        let highest = pools
            .filter(|(_, index)| index.available_count > 0 && index.reserved.is_none())
            .filter_map(|(unreserved, _)| price(unreserved))
            .fold(0.0, f64::max);
        price(pool)
            .filter(|own| *own > 0.0)
            .map_or(1.0, |own| (highest / own).clamp(1.0, MAX_PRICE_ADVANTAGE))
    }

    /// Whether one of the next pending jobs could run on a machine.
    fn is_needed_by_pending_jobs(&self, machine: &Machine) -> bool {
        let reserved = self.inventory.is_reserved(machine);
        self.queue
            .first(PENDING_JOBS_CONSIDERED)
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| !reserved || job.only_type.is_some())
            .any(|job| job.spec.task_fits_in(machine.capacity) && machine.pool.permits(&job.spec))
    }
}

/// Time of the next check of a machine that sends heartbeats, if no event requests an earlier
/// one.
fn next_regular_check(machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
    let heartbeat_timeout_at = machine.last_heartbeat_at + heartbeat_timeout(context.settings);
    let next = heartbeat_timeout_at.max(context.now + context.settings.heartbeat_interval);
    match machine.interruption_at {
        Some(interruption_at) => next.min(interruption_at + 2 * SECOND),
        None => next,
    }
}
