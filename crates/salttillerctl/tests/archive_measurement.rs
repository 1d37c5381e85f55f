//! Measures an archive of a large store; long, so left out of CI:
//! `cargo test --release --profile tools -p salttillerctl --test archive_measurement -- --ignored --nocapture`

use std::process::Command;
use std::time::{Duration, Instant};

use salttiller_testkit::StateService;
use serde_json::{json, Value};

const MACHINES: usize = 4_000;
const MACHINES_PER_BATCH: usize = 50;
const JOBS: usize = 100_000;
const REQUESTS_PER_SECOND: f64 = 80.0;
const REQUEST_SHARE: f64 = 0.05;
const CHANGES_PER_SECOND: u64 = 25;

fn fill(service: &StateService) {
    for batch in 0..MACHINES / MACHINES_PER_BATCH {
        let names = (0..MACHINES_PER_BATCH).map(|n| batch * MACHINES_PER_BATCH + n);
        let names: Vec<String> = names.map(|n| format!("m-{n:06}")).collect();
        let record =
            json!({"r": "tiller-0", "f": "depot-rack", "z": "kingston", "s": false, "m": names});
        service.commit(&[(&format!("st/lot/tiller-0-4-{batch}"), Some(record))]);
    }
    for job in 0..JOBS {
        let open = json!({"st": "o", "b": [[0, 100, "tiller-1"]], "j": {"a": 1_700_000_000_000_000_u64,
            "c": "tank-forecast", "e": 18_000_000, "i": "img-07", "k": "a", "m": 6_400_000, "n": 100,
            "r": "1", "s": 1_200_000, "t": "dispatch-03", "u": 2_000_000, "f": true}});
        let record = if job % 20 == 0 {
            open
        } else {
            json!({"st": "d", "t": 1_700_000_000_000_000_u64})
        };
        service.commit(&[(&format!("st/job/req-{job:06}"), Some(record))]);
    }
}

fn timed(name: &str, command: &mut Command) -> String {
    let start = Instant::now();
    let output = command.env("LOG_LEVEL", "error").output().unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}: {errors}");
    println!("{name}: {:.1} s", start.elapsed().as_secs_f64());
    String::from_utf8(output.stdout).unwrap()
}

/// Greatest resident size of a process so far, in MiB.
fn peak_memory(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024.0)
}

#[test]
#[ignore = "takes minutes"]
fn a_store_of_4000_machines_and_100000_jobs() {
    let service = StateService::start().unwrap();
    fill(&service);
    let folder = std::env::temp_dir().join(format!("salttiller-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = folder.join("settings.json");
    let settings = json!({
        "host_name": "tiller-0", "area": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "others": [], "outside": {"cloud": "127.0.0.1:4", "state": service.address().to_string()},
        "facts": {"size": 1, "zones": ["a"], "teams": [], "objectives": [],
            "workers": {"report_s": 10.0, "lease_s": 45.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0,
                "cancel_s": 75.0},
            "state": {"rps": REQUESTS_PER_SECOND, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 12},
            "cloud": {"rps": 10.0, "list_lag_s": 10.0},
            "quota": {"cores": 0.2, "ram_mb": 200.0, "fd_limit": 3500}, "clock_off_ms": 5.0}
    });
    std::fs::write(&config, settings.to_string()).unwrap();
    let archive = folder.join("a.archive");
    let before = service.requests().len();
    let start = Instant::now();
    let ctl = env!("CARGO_BIN_EXE_salttillerctl");
    let mut recording = Command::new(ctl);
    recording
        .args(["archive", "run"])
        .arg(&archive)
        .arg("--config")
        .arg(&config);
    recording.env("LOG_LEVEL", "error");
    let mut child = recording.spawn().unwrap();
    let mut image_s = None;
    let mut peak = 0.0_f64;
    for n in 0..CHANGES_PER_SECOND * 90 {
        let key = format!("st/job/req-{:06}", (n * 7919) % JOBS as u64);
        service.commit(&[(&key, Some(json!({"st": "d", "t": n})))]);
        std::thread::sleep(Duration::from_micros(1_000_000 / CHANGES_PER_SECOND));
        peak = peak.max(peak_memory(child.id()).unwrap_or(0.0));
        if image_s.is_none() && n % CHANGES_PER_SECOND == 0 && has_image(ctl, &archive) {
            image_s = Some(start.elapsed().as_secs_f64());
        }
    }
    let requests = service.requests().len() - before;
    let seconds = start.elapsed().as_secs_f64();
    child.kill().unwrap();
    child.wait().unwrap();
    let rate = requests as f64 / seconds;
    println!("first image seen after {image_s:?} s; {requests} requests in {seconds:.0} s, {rate:.2} a second");
    println!("peak memory of the recorder {peak:.0} MiB");
    let size = std::fs::metadata(&archive).unwrap().len();
    println!("file {:.1} MiB", size as f64 / 1024.0 / 1024.0);
    assert!(image_s.is_some());
    assert!(rate <= REQUESTS_PER_SECOND * REQUEST_SHARE + 0.1, "{rate}");
    timed(
        "verify",
        Command::new(ctl).args(["archive", "verify"]).arg(&archive),
    );
    let export = timed(
        "export",
        Command::new(ctl).args(["archive", "export"]).arg(&archive),
    );
    let export: Value = serde_json::from_str(&export).unwrap();
    let records = export["records"].as_array().unwrap().len();
    assert_eq!(records, JOBS + MACHINES / MACHINES_PER_BATCH);
    std::fs::remove_dir_all(&folder).unwrap();
}

fn has_image(ctl: &str, archive: &std::path::Path) -> bool {
    let list = Command::new(ctl)
        .args(["archive", "list", "--json"])
        .arg(archive)
        .output()
        .unwrap();
    let list: Value = serde_json::from_slice(&list.stdout).unwrap_or_default();
    let segments = list["segments"].as_array();
    segments.is_some_and(|s| {
        s.iter()
            .any(|s| !s["images"].as_array().unwrap().is_empty())
    })
}
