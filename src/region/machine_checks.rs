//! Periodic checks of single machines: silent, late to boot, idle, or surplus.
//!
//! Each machine has a time of its next check in the inventory. A check depends on the
//! machine's state: one function for each state decides what is to be done.

use std::cell::OnceCell;
use std::rc::Rc;

use salttiller_records::units::{add_drift, Micros, SECOND};

use super::machine::{CordonReason, Machine, MachineState};
use super::machine_pool::MachinePool;
use super::{Region, SchedulingContext};
use crate::fault_injection::{is_disabled, Safeguard};
use crate::settings::Settings;

/// Machines are billed for a minute at least: none is released before that is nearly over.
pub(super) const MIN_BILLED_AGE: Micros = 50 * SECOND;
/// Added to a lease before it counts as expired.
const LEASE_MARGIN: Micros = SECOND;
/// Time past its lease for which a machine whose lease expired may still report.
const EXPIRED_LEASE_GRACE: Micros = 5 * SECOND;
/// Least time between two checks of a machine.
const MIN_CHECK_INTERVAL: Micros = SECOND / 2;
/// Time between checks of an idle machine that pending jobs may use.
const WANTED_CHECK_INTERVAL: Micros = 2 * SECOND;
/// Time between checks of an overdue machine.
const OVERDUE_CHECK_INTERVAL: Micros = 10 * SECOND;
/// Idle timeout of machines of a reserved pool beyond what is likely to be needed next.
const SPARE_IDLE_TIMEOUT: Micros = 5 * SECOND;
/// Least idle timeout of machines of a reserved pool while the pool's provisioning is in trouble.
const TROUBLED_IDLE_TIMEOUT: Micros = 300 * SECOND;
/// How many of the next pending jobs are considered for an idle machine.
const PENDING_JOBS_CONSIDERED: usize = 20;
/// How many times the boot time a machine idles at the most, by its price advantage.
const MAX_PRICE_ADVANTAGE: f64 = 10.0;

/// How long no heartbeat may come from a machine before it counts as silent: three and a
/// half report intervals and some delay.
fn silence_timeout(settings: &Settings) -> Micros {
    settings.heartbeat_interval * 18 / 5
}

/// The same for an unreconciled machine: the longest report interval, one heartbeat to a
/// controller that is gone, a second to the next, and a margin. Work that was bound before
/// the change of ownership waits for all of these machines.
fn unreconciled_silence_timeout(settings: &Settings) -> Micros {
    (settings.heartbeat_interval * 5 / 4 + 8 * SECOND).min(silence_timeout(settings))
}

/// When a machine whose interruption time has passed counts as taken by the cloud: after a
/// report interval and a half without a heartbeat.
fn interrupted_silence_timeout(settings: &Settings) -> Micros {
    settings.heartbeat_interval * 3 / 2
}

/// The longest time for which a worker keeps tasks after an answer, its clock's drift included.
fn lease_time(settings: &Settings) -> Micros {
    if is_disabled(Safeguard::LeaseWait) {
        settings.heartbeat_interval
    } else {
        add_drift(settings.worker_lease)
    }
}

/// When a machine that is still booting is overdue: the leader stops counting on it, though
/// it may yet boot.
fn overdue_at(machine: &Machine) -> Micros {
    machine.assigned_at + machine.boot_time * 8 / 5 + 4 * SECOND
}

/// What a check decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckOutcome {
    /// Check the machine again at this time.
    CheckAt(Micros),
    /// Release the machine.
    Release(CordonReason),
    /// No further checks: the machine is gone, or its release is under way.
    Stop,
}

/// What the lack of heartbeats shows of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// It reports, or may still do.
    NotSilent,
    /// It runs no task any more.
    LeaseExpired,
    /// It is gone or cut off: the cloud's answer to its release proves it empty long before
    /// its lease would.
    Lost(CordonReason),
}

/// What the checks of one pass have in common.
struct CheckPass<'a> {
    context: &'a SchedulingContext<'a>,
    /// Whether most machines report. If not, the fault is on this side. Counted when a check
    /// first asks for it: most passes have no silent machine.
    most_report: OnceCell<bool>,
}

impl Region {
    /// Checks the machines whose next check is due, and requests releases.
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

    /// Whether at least half of the activated machines reported lately.
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
        match self.silence(name, machine, pass) {
            Silence::NotSilent => {}
            Silence::Lost(reason) => return CheckOutcome::Release(reason),
            Silence::LeaseExpired => {
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

    /// What a machine's last heartbeat shows, if it is to send any.
    fn silence(&self, name: &str, machine: &Machine, pass: &CheckPass<'_>) -> Silence {
        let must_report = match machine.state {
            MachineState::LeaseExpired => false,
            MachineState::Ready => true,
            MachineState::Provisioning => {
                machine.record.activated
                    && !machine.is_booting_for(self.reconciliation.acquired_at())
            }
        };
        if !must_report {
            return Silence::NotSilent;
        }
        let (now, settings) = (pass.context.now, pass.context.settings);
        let silent_for = |timeout: Micros| now > machine.last_heartbeat_at + timeout;
        let was_interrupted = machine
            .interruption_at
            .is_some_and(|interruption_at| now > interruption_at + SECOND);
        if now > Self::lease_expires_at(machine, settings) {
            Silence::LeaseExpired
        } else if was_interrupted && silent_for(interrupted_silence_timeout(settings)) {
            Silence::Lost(CordonReason::Interrupted)
        } else if silent_for(self.silence_timeout_of(name, settings))
            && machine.record.activated
            && *pass
                .most_report
                .get_or_init(|| self.most_machines_report(pass.context))
        {
            Silence::Lost(CordonReason::Silent)
        } else {
            Silence::NotSilent
        }
    }

    fn silence_timeout_of(&self, name: &str, settings: &Settings) -> Micros {
        if self.reconciliation.is_unreconciled(name) {
            unreconciled_silence_timeout(settings)
        } else {
            silence_timeout(settings)
        }
    }

    /// When a machine that stays silent is certain to run no task. Nobody else can have
    /// answered it since the region was acquired, and any answer before is older than that.
    fn lease_expires_at(machine: &Machine, settings: &Settings) -> Micros {
        machine.last_answered_at + lease_time(settings) + LEASE_MARGIN
    }

    /// A machine whose lease expired is released unless it reports again.
    fn check_expired(&self, name: &str, context: &SchedulingContext<'_>) -> CheckOutcome {
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        // Known since the region was acquired and never seen to report: it may be booting.
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
            CheckOutcome::Release(CordonReason::Silent)
        } else {
            CheckOutcome::CheckAt(release_at)
        }
    }

    /// A machine that boots is first overdue, then released.
    fn check_provisioning(
        &mut self,
        name: &Rc<str>,
        context: &SchedulingContext<'_>,
    ) -> CheckOutcome {
        let now = context.now;
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        let is_booting = machine.is_booting_for(self.reconciliation.acquired_at());
        if machine.record.activated && !is_booting {
            let silent_at =
                machine.last_heartbeat_at + self.silence_timeout_of(name, context.settings);
            let expires_at = Self::lease_expires_at(machine, context.settings);
            return CheckOutcome::CheckAt((now + SECOND).max(silent_at.min(expires_at)));
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
                "region={}: provisioning in trouble: {overdue} machines of type {} in zone {} \
                 overdue",
                self.name,
                pool.machine_type,
                pool.zone
            );
        }
    }

    /// A machine that reports is released, or drained, once it idles for too long.
    fn check_ready(&mut self, name: &Rc<str>, context: &SchedulingContext<'_>) -> CheckOutcome {
        let now = context.now;
        self.inventory.set_overdue(name, false);
        let Some(machine) = self.inventory.machine(name) else {
            return CheckOutcome::Stop;
        };
        let regular = next_regular_check(machine, context);
        if machine.serves_its_purpose(self.inventory.is_reserved(machine)) {
            return CheckOutcome::CheckAt(regular);
        }
        let idle_since = machine.idle_since.max(machine.assigned_at);
        let surplus_at = (machine.assigned_at + MIN_BILLED_AGE)
            .max(idle_since + self.idle_timeout(machine, context));
        let is_surplus = now > surplus_at && !self.is_wanted_by_pending_jobs(machine);
        if machine.cordoned.is_some() || is_surplus {
            if machine.tasks.is_empty() {
                return CheckOutcome::Release(CordonReason::Idle);
            }
            // Guards against a large machine that stays for the sake of small tasks in the
            // corner that is left beside a large one: it gets no more of them.
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
            now + WANTED_CHECK_INTERVAL
        };
        CheckOutcome::CheckAt(regular.min(again))
    }

    /// How long a machine may idle before it is released. To idle for as long as a new
    /// machine takes to boot costs as much as that boot: beyond it, releasing is the cheaper
    /// guess. Of a reserved pool no more machines wait than the largest gang takes: those
    /// beyond are needed later than a new one would be up.
    fn idle_timeout(&self, machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
        let usual = context.settings.operator.idle_timeout.unwrap_or_else(|| {
            // Idle time of a cheap machine costs less than the expensive ones that work would
            // go to instead: those are to leave first.
            let price_advantage = self.price_advantage(&machine.pool, context);
            (machine.boot_time as f64 * price_advantage) as Micros
        });
        let pool = self.inventory.index().pool(&machine.pool);
        let Some(pool) = pool.filter(|pool| pool.reserved.is_some()) else {
            return usual;
        };
        if self.inventory.provisioning().is_in_trouble(&machine.pool) {
            // Machines that are up can't be replaced at present.
            return usual.max(TROUBLED_IDLE_TIMEOUT);
        }
        let constrained_types = self.inventory.constrained_types();
        let largest_gang = constrained_types.largest_gang(&machine.record.machine_type);
        if pool.idle_count() > largest_gang as usize {
            usual.min(SPARE_IDLE_TIMEOUT)
        } else {
            usual
        }
    }

    /// The highest price of a processor open to all work, as a multiple of the pool's; between
    /// 1 and `MAX_PRICE_ADVANTAGE`.
    fn price_advantage(&self, pool: &MachinePool, context: &SchedulingContext<'_>) -> f64 {
        let price = |pool: &MachinePool| {
            let machine_type = context.replica.machine_types.get(&*pool.machine_type)?;
            Some(machine_type.value.price_per_cpu(pool.spot))
        };
        let pools = self.inventory.index().pools();
        let highest = pools
            .filter(|(_, index)| index.available_count > 0 && index.reserved.is_none())
            .filter_map(|(open, _)| price(open))
            .fold(0.0, f64::max);
        price(pool)
            .filter(|own| *own > 0.0)
            .map_or(1.0, |own| (highest / own).clamp(1.0, MAX_PRICE_ADVANTAGE))
    }

    /// Whether one of the next pending jobs may run on a machine.
    fn is_wanted_by_pending_jobs(&self, machine: &Machine) -> bool {
        let reserved = self.inventory.is_reserved(machine);
        self.queue
            .first(PENDING_JOBS_CONSIDERED)
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| !reserved || job.only_type.is_some())
            .any(|job| job.spec.task_fits_in(machine.capacity) && machine.pool.permits(&job.spec))
    }
}

/// When a machine that reports is checked if nothing else happens.
fn next_regular_check(machine: &Machine, context: &SchedulingContext<'_>) -> Micros {
    let silent_at = machine.last_heartbeat_at + silence_timeout(context.settings);
    let next = silent_at.max(context.now + context.settings.heartbeat_interval);
    match machine.interruption_at {
        Some(interruption_at) => next.min(interruption_at + 2 * SECOND),
        None => next,
    }
}
