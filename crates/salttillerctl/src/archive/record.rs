//! The commands `archive run` and `archive snapshot`.

use std::sync::atomic::AtomicBool;
use std::time::Duration;

use salttiller::settings::Settings;
use salttiller_archive::recorder::Pacing;
use salttiller_archive::retention::RetentionPolicy;
use salttiller_archive::session::{Session, SessionLimits, SessionSummary};
use salttiller_archive::Archive;
use salttiller_records::units::Micros;

use super::Source;
use crate::archive_settings::{read_archive_settings, ArchiveSettings};
use crate::failure::Failure;

/// Records into an archive until a limit is reached.
pub(super) fn record(source: &Source, limits: SessionLimits) -> Result<(), Failure> {
    let platform = Settings::load(&source.config, None)?;
    let settings = read_archive_settings(source.ini.as_deref())?;
    let deployment = match &source.deployment {
        Some(name) => name.clone(),
        None => platform.regions().join(","),
    };
    let archive = Archive::open_or_create(&source.archive, &deployment)?;
    let mut pacing = pacing(&settings, platform.store_request_rate);
    if limits.snapshots.is_some() {
        // `archive snapshot` takes a snapshot at once, whatever the age of the last one.
        pacing.snapshot_interval = 0;
    }
    let session = Session {
        state_service: platform.state_store_addr,
        archive: &archive,
        pacing,
        retention: retention(&settings),
        stop: &AtomicBool::new(false),
    };
    let summary = session.run(limits)?;
    print_summary(summary, &archive);
    Ok(())
}

fn pacing(settings: &ArchiveSettings, requests_per_second: f64) -> Pacing {
    Pacing {
        request_interval: micros(1.0 / (requests_per_second * settings.request_share)),
        watch_interval: micros(settings.watch_s),
        snapshot_interval: micros(settings.snapshot_every_s),
    }
}

fn retention(settings: &ArchiveSettings) -> RetentionPolicy {
    RetentionPolicy {
        max_snapshots: settings.keep_snapshots,
        max_age: micros(settings.keep_s),
    }
}

fn micros(seconds: f64) -> Micros {
    Duration::from_secs_f64(seconds).as_micros() as Micros
}

fn print_summary(summary: SessionSummary, archive: &Archive) {
    println!(
        "{}: {} snapshots, {} requests to the state service",
        archive.path().display(),
        summary.snapshots,
        summary.requests
    );
}
