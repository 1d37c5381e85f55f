//! Text form of the status page, as `salttiller status` prints it. The JSON form follows from the
//! serde attributes of [`Status`]. Scripts parse both forms, so neither may change.

use std::fmt;

use crate::peer_protocol::{ObjectiveStatus, RegionStatus, Status};
use salttiller_records::units::to_seconds;

/// Renders the status page as text.
#[must_use]
pub fn render_text(status: &Status) -> String {
    Page(status).to_string()
}

struct Page<'a>(&'a Status);

impl fmt::Display for Page<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.0;
        write_controller(f, status)?;
        for region in &status.regions {
            write_region(f, region)?;
        }
        for (class, tasks) in &status.pending_tasks {
            writeln!(f, "  waiting, {class}: {tasks}")?;
        }
        for objective in &status.objectives {
            write_objective(f, objective)?;
        }
        for alert in &status.alerts {
            writeln!(f, "  signal: {alert}")?;
        }
        Ok(())
    }
}

fn write_controller(f: &mut fmt::Formatter<'_>, status: &Status) -> fmt::Result {
    writeln!(f, "{} (run {})", status.name, status.incarnation)?;
    let leader = status.leader.as_deref().unwrap_or("none known");
    writeln!(f, "  leader: {leader}")?;
    writeln!(
        f,
        "  authority for {:.1} s, reads recent: {}",
        to_seconds(status.authority_remaining_us),
        yes_or_no(status.reads_recent)
    )
}

fn write_region(f: &mut fmt::Formatter<'_>, region: &RegionStatus) -> fmt::Result {
    writeln!(
        f,
        "  region {}: owner {}, token {}, settled: {}, machines {} ({} open), waiting tasks {}",
        region.region,
        region.owner.as_deref().unwrap_or("none"),
        region.token,
        yes_or_no(region.reconciled),
        region.machines,
        region.ready_machines,
        region.pending_tasks
    )
}

fn write_objective(f: &mut fmt::Formatter<'_>, objective: &ObjectiveStatus) -> fmt::Result {
    let state = if objective.breached { "BEHIND" } else { "ok" };
    writeln!(
        f,
        "  aim {}: {} of {} (aim {:.0}%) {state}",
        objective.objective,
        objective.met,
        objective.total,
        objective.target * 100.0
    )
}

fn yes_or_no(value: bool) -> &'static str {
    if value {
        "yes"
    } else {
        "no"
    }
}

#[cfg(test)]
mod tests;
