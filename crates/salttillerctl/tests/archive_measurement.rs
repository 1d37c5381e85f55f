//! Measures the archive of a large store. The test takes minutes and is not part of CI:
//! `cargo test --release --profile tools -p salttillerctl --test archive_measurement -- --ignored --nocapture`

// clippy.toml permits these lints in test functions only, not in their helpers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing)]

use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use salttiller_archive::documents::{ExportDocument, ListDocument};
use salttiller_testkit::{PlatformSettings, StateService, TempFolder};
use serde_json::{json, Value};

const CTL: &str = env!("CARGO_BIN_EXE_salttillerctl");

const MACHINES: usize = 4_000;
const MACHINES_PER_BATCH: usize = 50;
const JOBS: usize = 100_000;
/// One in this number of jobs is open; the others are done.
const OPEN_JOB_INTERVAL: usize = 20;
const REQUESTS_PER_SECOND: f64 = 80.0;
const REQUEST_SHARE: f64 = 0.05;
/// Tolerated requests per second above the share, because the first request is sent at once.
const RATE_TOLERANCE: f64 = 0.1;
const CHANGES_PER_SECOND: u64 = 25;
const RECORDING_SECONDS: u64 = 90;
/// Step between the job numbers of successive changes. The step is a prime, so that changes cover
/// all jobs in an irregular order.
const JOB_STRIDE: u64 = 7919;
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;

fn machine_batch(batch: usize) -> Value {
    let names = (0..MACHINES_PER_BATCH).map(|n| batch * MACHINES_PER_BATCH + n);
    let names: Vec<String> = names.map(|n| format!("m-{n:06}")).collect();
    json!({"r": "tiller-0", "f": "depot-rack", "z": "kingston", "s": false, "m": names})
}

fn job(number: usize) -> Value {
    if !number.is_multiple_of(OPEN_JOB_INTERVAL) {
        return json!({"st": "d", "t": 1_700_000_000_000_000_u64});
    }
    json!({"st": "o", "b": [[0, 100, "tiller-1"]], "j": {"a": 1_700_000_000_000_000_u64,
        "c": "tank-forecast", "e": 18_000_000, "i": "img-07", "k": "a", "m": 6_400_000, "n": 100,
        "r": "1", "s": 1_200_000, "t": "dispatch-03", "u": 2_000_000, "f": true}})
}

fn fill_store(service: &StateService) {
    for batch in 0..MACHINES / MACHINES_PER_BATCH {
        let key = format!("st/lot/tiller-0-4-{batch}");
        service.commit(&[(&key, Some(machine_batch(batch)))]);
    }
    for number in 0..JOBS {
        let key = format!("st/job/req-{number:06}");
        service.commit(&[(&key, Some(job(number)))]);
    }
}

fn archive_command(subcommand: &str, archive: &Path) -> Command {
    let mut command = Command::new(CTL);
    command.args(["archive", subcommand]).arg(archive);
    command.env("LOG_LEVEL", "error");
    command
}

/// Runs a command that must succeed, prints its duration and returns its standard output.
fn run_timed(subcommand: &str, archive: &Path) -> String {
    let start = Instant::now();
    let output = archive_command(subcommand, archive).output().unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{subcommand}: {errors}");
    println!("{subcommand}: {:.1} s", start.elapsed().as_secs_f64());
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the peak resident memory of a process in MiB.
fn peak_memory_mib(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024.0)
}

fn has_snapshot(archive: &Path) -> bool {
    let mut command = archive_command("list", archive);
    let list = command.arg("--json").output().unwrap();
    serde_json::from_slice::<ListDocument>(&list.stdout)
        .is_ok_and(|list| list.segments.iter().any(|s| !s.snapshots.is_empty()))
}

/// Measurements of a recording process.
struct RecordingMeasurement {
    first_snapshot_s: Option<f64>,
    requests_per_second: f64,
    peak_memory_mib: f64,
}

/// Runs a recording process while the store changes, and measures it.
fn measure_recording(
    service: &StateService,
    mut command: Command,
    archive: &Path,
) -> RecordingMeasurement {
    let requests_before = service.request_times().len();
    let start = Instant::now();
    let mut recorder = command.spawn().unwrap();
    let mut first_snapshot_s = None;
    let mut peak_mib = 0.0_f64;
    for n in 0..CHANGES_PER_SECOND * RECORDING_SECONDS {
        let key = format!("st/job/req-{:06}", (n * JOB_STRIDE) % JOBS as u64);
        service.commit(&[(&key, Some(json!({"st": "d", "t": n})))]);
        thread::sleep(Duration::from_micros(1_000_000 / CHANGES_PER_SECOND));
        peak_mib = peak_mib.max(peak_memory_mib(recorder.id()).unwrap_or(0.0));
        if first_snapshot_s.is_none() && n % CHANGES_PER_SECOND == 0 && has_snapshot(archive) {
            first_snapshot_s = Some(start.elapsed().as_secs_f64());
        }
    }
    let requests = service.request_times().len() - requests_before;
    let requests_per_second = requests as f64 / start.elapsed().as_secs_f64();
    recorder.kill().unwrap();
    recorder.wait().unwrap();
    RecordingMeasurement {
        first_snapshot_s,
        requests_per_second,
        peak_memory_mib: peak_mib,
    }
}

#[test]
#[ignore = "takes minutes"]
fn a_store_of_4000_machines_and_100000_jobs() {
    let service = StateService::start().unwrap();
    fill_store(&service);
    let folder = TempFolder::new("measure").unwrap();
    let settings = PlatformSettings::new(service.address());
    let settings = settings.requests_per_second(REQUESTS_PER_SECOND).to_json();
    let config = folder.write("settings.json", settings.to_string()).unwrap();
    let archive = folder.file("a.archive");
    let mut command = archive_command("run", &archive);
    command.arg("--config").arg(&config);
    let measured = measure_recording(&service, command, &archive);
    let rate = measured.requests_per_second;
    println!(
        "first snapshot seen after {:?} s",
        measured.first_snapshot_s
    );
    println!("{rate:.2} requests a second");
    println!(
        "peak memory of the recorder {:.0} MiB",
        measured.peak_memory_mib
    );
    let bytes = std::fs::metadata(&archive).unwrap().len();
    println!("file {:.1} MiB", bytes as f64 / BYTES_PER_MIB);
    assert!(measured.first_snapshot_s.is_some());
    let max_rate = REQUESTS_PER_SECOND * REQUEST_SHARE + RATE_TOLERANCE;
    assert!(
        rate <= max_rate,
        "{rate} requests per second, expected at most {max_rate}"
    );
    run_timed("verify", &archive);
    let export: ExportDocument = serde_json::from_str(&run_timed("export", &archive)).unwrap();
    assert_eq!(export.records.len(), JOBS + MACHINES / MACHINES_PER_BATCH);
}
