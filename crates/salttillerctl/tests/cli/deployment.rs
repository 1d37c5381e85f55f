//! A test deployment with a state service, settings and an archive.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use salttiller_archive::documents::{ExportDocument, ListDocument};
use salttiller_testkit::state_service::{Record, Records};
use salttiller_testkit::{PlatformSettings, StateService, TempFolder};
use serde_json::{json, Value};

use crate::common::{arg, ctl, succeed, wait_for};

/// Archive settings with short intervals, for a recorder that takes a snapshot every second
/// instead of every hour.
const FAST_RECORDING_INI: &str =
    "[archive]\nrequest_share = 0.25\nwatch_s = 0.05\nimage_every_s = 1\n";
/// Time within which the first snapshot must be complete.
const FIRST_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct Deployment {
    pub folder: TempFolder,
    pub service: StateService,
    pub config: PathBuf,
    pub archive: PathBuf,
}

impl Deployment {
    /// Creates a deployment whose state service has records of `jobs` jobs. `name` must be unique
    /// among the tests.
    pub(crate) fn new(name: &str, jobs: u32) -> Self {
        let folder = TempFolder::new(name).unwrap();
        let service = StateService::start().unwrap();
        let settings = PlatformSettings::new(service.address()).to_json();
        let config = folder.write("settings.json", settings.to_string()).unwrap();
        let archive = folder.file("a.archive");
        let deployment = Deployment {
            folder,
            service,
            config,
            archive,
        };
        deployment.commit_jobs(jobs);
        deployment
    }

    /// Commits one transaction per job.
    pub(crate) fn commit_jobs(&self, jobs: u32) {
        for n in 0..jobs {
            let key = format!("st/job/req-{n}");
            self.service.commit(&[(&key, Some(json!({"n": n})))]);
        }
    }

    /// Commits small changes at random intervals until `stop` is set.
    pub(crate) fn commit_changes_until(&self, stop: &AtomicBool, seed: u64) {
        let mut random = fastrand::Rng::with_seed(seed);
        while !stop.load(Ordering::Relaxed) {
            let key = format!("st/job/req-{}", random.u32(0..400));
            let value = (random.u8(0..4) > 0).then(|| json!({"n": random.u32(..)}));
            let token = Some(json!(random.u32(..)));
            self.service.commit(&[(&key, value), ("st/token", token)]);
            thread::sleep(Duration::from_millis(random.u64(0..6)));
        }
    }

    /// Returns the command `salttillerctl archive SUBCOMMAND ARCHIVE`.
    pub(crate) fn archive_command(&self, subcommand: &str) -> Command {
        ctl(&["archive", subcommand, arg(&self.archive)])
    }

    pub(crate) fn snapshot_command(&self) -> Command {
        self.with_config(self.archive_command("snapshot"))
    }

    /// Returns the command `archive run` with the given archive settings.
    pub(crate) fn run_command(&self, ini: &str) -> Command {
        let ini = self.folder.write("archive.ini", ini).unwrap();
        let mut command = self.with_config(self.archive_command("run"));
        command.args(["--ini", arg(&ini)]);
        command
    }

    /// Adds the `--config` option with the platform's settings to a command.
    pub(crate) fn with_config(&self, mut command: Command) -> Command {
        command.args(["--config", arg(&self.config)]);
        command
    }

    /// Starts a recording process with short intervals.
    pub(crate) fn start_recording(&self) -> RecordingProcess {
        let mut command = self.run_command(FAST_RECORDING_INI);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        RecordingProcess(command.spawn().unwrap())
    }

    pub(crate) fn wait_for_snapshot(&self) {
        wait_for("the first snapshot", FIRST_SNAPSHOT_TIMEOUT, || {
            self.archive.exists() && !self.snapshot_revisions().is_empty()
        });
    }

    pub(crate) fn verify(&self) {
        succeed(&mut self.archive_command("verify"));
    }

    pub(crate) fn list(&self) -> ListDocument {
        serde_json::from_value(self.list_json()).unwrap()
    }

    pub(crate) fn list_json(&self) -> Value {
        let list = succeed(self.archive_command("list").arg("--json"));
        serde_json::from_str(&list).unwrap()
    }

    pub(crate) fn export(&self, revision: Option<u64>, segment: Option<u64>) -> ExportDocument {
        serde_json::from_value(self.export_json(revision, segment)).unwrap()
    }

    pub(crate) fn export_json(&self, revision: Option<u64>, segment: Option<u64>) -> Value {
        let mut command = self.archive_command("export");
        for (flag, value) in [("--revision", revision), ("--segment", segment)] {
            if let Some(value) = value {
                command.args([flag, &value.to_string()]);
            }
        }
        serde_json::from_str(&succeed(&mut command)).unwrap()
    }

    /// Returns the revisions of all snapshots, oldest first.
    pub(crate) fn snapshot_revisions(&self) -> Vec<u64> {
        let segments = self.list().segments.into_iter();
        let snapshots = segments.flat_map(|segment| segment.snapshots);
        snapshots.map(|snapshot| snapshot.revision).collect()
    }
}

/// Returns the records of an export in the form of the fake state service.
pub(crate) fn records_of(export: ExportDocument) -> Records {
    let records = export.records.into_iter();
    records
        .map(|record| {
            let (version, value) = (record.version, record.value);
            (record.key, Record { version, value })
        })
        .collect()
}

/// A recording process, which is killed when the value is dropped.
pub(crate) struct RecordingProcess(Child);

impl RecordingProcess {
    pub(crate) fn kill(mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

impl Drop for RecordingProcess {
    fn drop(&mut self) {
        // Both calls may fail if the process has already been killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
