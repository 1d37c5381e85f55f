//! `salttillerctl archive` as a process, against a stand-in state service on loopback.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use salttiller_testkit::state_service::{Contents, Records};
use salttiller_testkit::StateService;
use serde_json::{json, Value};

use crate::common::{ctl, good, output, text, Folder, REQUESTS_PER_SECOND};

const CTL: &str = env!("CARGO_BIN_EXE_salttillerctl");

const FAST: &str = "[archive]\nrequest_share = 0.25\nwatch_s = 0.05\nimage_every_s = 1\n";

fn exported(archive: &Path, revision: Option<u64>, segment: Option<u64>) -> Value {
    let mut command = ctl(&["archive", "export", text(archive)]);
    for (flag, value) in [("--revision", revision), ("--segment", segment)] {
        if let Some(value) = value {
            command.args([flag, &value.to_string()]);
        }
    }
    serde_json::from_str(&good(&mut command)).unwrap()
}

fn listed(archive: &Path) -> Value {
    let list = good(&mut ctl(&["archive", "list", text(archive), "--json"]));
    serde_json::from_str(&list).unwrap()
}

fn records_of(export: &Value) -> Records {
    let records = export["records"].as_array().unwrap().iter();
    records
        .map(|r| {
            let key = r["key"].as_str().unwrap().to_owned();
            (key, (r["version"].as_u64().unwrap(), r["value"].clone()))
        })
        .collect()
}

/// Commits small changes until told to stop.
fn write_steadily(service: &StateService, stop: &AtomicBool, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !stop.load(Ordering::Relaxed) {
        let key = format!("st/job/req-{}", random.u32(0..400));
        let value = (random.u8(0..4) > 0).then(|| json!({"n": random.u32(..)}));
        service.commit(&[(&key, value), ("st/token", Some(json!(random.u32(..))))]);
        std::thread::sleep(Duration::from_millis(random.u64(0..6)));
    }
}

fn fill(service: &StateService, jobs: u32) {
    for n in 0..jobs {
        let key = format!("st/job/req-{n}");
        service.commit(&[(&key, Some(json!({"n": n})))]);
    }
}

fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn recording(folder: &Folder, archive: &Path, service: &StateService) -> Child {
    let config = folder.settings(service.address());
    let ini = folder.ini(FAST);
    let mut command = ctl(&["archive", "run", text(archive), "--config", text(&config)]);
    command.args(["--ini", text(&ini)]);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().unwrap()
}

fn images(archive: &Path) -> Vec<(u64, u64)> {
    let list = listed(archive);
    let mut found = Vec::new();
    for segment in list["segments"].as_array().unwrap() {
        for image in segment["images"].as_array().unwrap() {
            let id = segment["segment"].as_u64().unwrap();
            found.push((id, image["revision"].as_u64().unwrap()));
        }
    }
    found
}

/// Killed again and again in the midst of its work, the recorder goes on without a gap, and
/// the records can be had as they were at each revision.
#[test]
fn killed_at_any_moment_it_goes_on_without_a_gap() {
    let folder = Folder::new("kills");
    let archive = folder.file("a.archive");
    let service = StateService::start().unwrap();
    fill(&service, 300);
    service.keep_truth();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| write_steadily(&service, &stop, 1));
        let mut random = fastrand::Rng::with_seed(2);
        for _ in 0..12 {
            let mut child = recording(&folder, &archive, &service);
            std::thread::sleep(Duration::from_millis(random.u64(50..700)));
            child.kill().unwrap();
            child.wait().unwrap();
        }
        let mut child = recording(&folder, &archive, &service);
        std::thread::sleep(Duration::from_millis(2500));
        child.kill().unwrap();
        child.wait().unwrap();
        stop.store(true, Ordering::Relaxed);
    });
    good(&mut ctl(&["archive", "verify", text(&archive)]));
    let list = listed(&archive);
    assert_eq!(list["segments"].as_array().unwrap().len(), 1, "{list}");
    let images = images(&archive);
    assert!(images.len() >= 2, "{list}");
    let last = exported(&archive, None, None)["revision"].as_u64().unwrap();
    let first = images[0].1;
    assert!(last > first + 100, "{first} to {last}");
    for revision in (first..=last).step_by(((last - first) / 20) as usize) {
        let kept = records_of(&exported(&archive, Some(revision), None));
        let truth = service.truth(revision).unwrap();
        assert!(kept == truth, "revision {revision} differs");
    }
}

/// A wiped store and one set back to an older copy that has grown past the archive since: a
/// new segment with the cause, and the lost history stays readable to its end.
#[test]
fn a_lost_history_is_marked_and_kept() {
    let folder = Folder::new("lost");
    let archive = folder.file("a.archive");
    let service = StateService::start().unwrap();
    fill(&service, 200);
    let mut child = recording(&folder, &archive, &service);
    wait_for("the first image", Duration::from_secs(20), || {
        archive.exists() && !images(&archive).is_empty()
    });
    let backup = service.contents();
    fill(&service, 50);
    let lost = service.contents();
    let reached = |segments: usize, revision: u64| {
        let list = listed(&archive);
        let all = list["segments"].as_array().unwrap();
        all.len() == segments
            && all[segments - 1]["until_revision"].as_u64() >= Some(revision)
            && !all[segments - 1]["images"].as_array().unwrap().is_empty()
    };
    wait_for("all changes", Duration::from_secs(20), || {
        reached(1, lost.revision)
    });
    service.set_trouble(Some(0));
    service.replace(backup);
    for n in 0..120 {
        service.commit(&[("st/job/req-7", Some(json!({"other": n})))]);
    }
    let other = service.contents();
    assert!(other.revision > lost.revision);
    service.set_trouble(None);
    wait_for("the older copy noticed", Duration::from_secs(30), || {
        reached(2, other.revision)
    });
    service.set_trouble(Some(0));
    service.replace(Contents::default());
    service.set_trouble(None);
    wait_for("the wipe noticed", Duration::from_secs(30), || {
        reached(3, 0)
    });
    child.kill().unwrap();
    child.wait().unwrap();
    good(&mut ctl(&["archive", "verify", text(&archive)]));
    let list = listed(&archive);
    let causes: Vec<&str> = list["segments"]
        .as_array()
        .unwrap()
        .iter()
        .map(|s| s["gap"]["cause"].as_str().unwrap())
        .collect();
    let expected = [
        "first recording",
        "the state service shows another history",
        "the revision went back to 0",
    ];
    assert_eq!(causes, expected);
    for (segment, contents) in [(1, lost), (2, other)] {
        let export = exported(&archive, None, Some(segment));
        assert!(
            records_of(&export) == contents.records,
            "segment {segment} differs"
        );
    }
}

/// A watch that is asked too late gives a gap; refusals and silence for a while don't.
#[test]
fn changes_no_longer_kept_are_a_gap_and_an_outage_is_none() {
    let folder = Folder::new("outage");
    let archive = folder.file("a.archive");
    let service = StateService::start().unwrap();
    fill(&service, 100);
    let mut child = recording(&folder, &archive, &service);
    wait_for("the first image", Duration::from_secs(20), || {
        archive.exists() && !images(&archive).is_empty()
    });
    for trouble in [503, 429, 0] {
        service.set_trouble(Some(trouble));
        std::thread::sleep(Duration::from_millis(1500));
        fill(&service, 30);
        service.set_trouble(None);
        let revision = service.revision();
        wait_for("going on", Duration::from_secs(30), || {
            listed(&archive)["segments"][0]["until_revision"].as_u64() >= Some(revision)
        });
    }
    assert_eq!(listed(&archive)["segments"].as_array().unwrap().len(), 1);
    service.set_trouble(Some(503));
    std::thread::sleep(Duration::from_millis(300));
    service.keep_changes(10);
    fill(&service, 30);
    service.set_trouble(None);
    wait_for("the gap", Duration::from_secs(30), || {
        listed(&archive)["segments"].as_array().unwrap().len() == 2
    });
    child.kill().unwrap();
    child.wait().unwrap();
    let list = listed(&archive);
    let gap = &list["segments"][1]["gap"];
    let cause = "the state service no longer kept the changes";
    assert_eq!(gap["cause"].as_str(), Some(cause), "{list}");
    good(&mut ctl(&["archive", "verify", text(&archive)]));
}

/// What can't be used is one clear line and an exit code of its own, and nothing is written.
#[test]
fn bad_input_has_one_line_and_a_code_of_its_own() {
    let folder = Folder::new("bad");
    let service = StateService::start().unwrap();
    fill(&service, 200);
    let config = folder.settings(service.address());
    let whole = folder.file("whole.archive");
    let snapshot = |archive: &Path| {
        let mut command = ctl(&["archive", "snapshot", text(archive)]);
        command.args(["--config", text(&config), "--patience-s", "1"]);
        command
    };
    good(&mut snapshot(&whole));
    let bytes = std::fs::read(&whole).unwrap();
    let file = |name: &str, bytes: &[u8]| {
        let path = folder.file(name);
        std::fs::write(&path, bytes).unwrap();
        path
    };
    let mut damaged = bytes.clone();
    damaged[4200..9000].fill(0xa5);
    let missing = folder.file("missing.archive");
    let empty = file("empty.archive", b"");
    let foreign = file("foreign.archive", b"some other file, and a long one");
    let cut = file("cut.archive", &bytes[..bytes.len() / 3]);
    let damaged = file("damaged.archive", &damaged);
    let there = file("there.json", b"keep me");
    let export = |archive: &Path, rest: &[&str]| {
        let mut command = ctl(&["archive", "export", text(archive)]);
        command.args(rest);
        command
    };
    let verify = |archive: &Path| ctl(&["archive", "verify", text(archive)]);
    let mut other = snapshot(&whole);
    other.args(["--deployment", "another"]);
    let mut no_settings = ctl(&["archive", "snapshot", text(&whole), "--config"]);
    no_settings.arg(text(&missing));
    let limited = format!(
        "trap '' XFSZ; ulimit -f 64; exec {CTL} archive snapshot {} --config {}",
        text(&folder.file("limited.archive")),
        text(&config)
    );
    let mut limited_disk = Command::new("sh");
    limited_disk
        .args(["-c", &limited])
        .env("LOG_LEVEL", "error");
    let cases: Vec<(&str, Command, i32)> = vec![
        ("missing", verify(&missing), 10),
        ("empty", verify(&empty), 11),
        ("empty, to write", snapshot(&empty), 11),
        ("foreign", verify(&foreign), 11),
        ("foreign, to write", snapshot(&foreign), 11),
        ("another deployment's", other, 13),
        ("cut off", verify(&cut), 14),
        ("cut off, to write", snapshot(&cut), 14),
        ("damaged", verify(&damaged), 14),
        ("no space", limited_disk, 16),
        (
            "a revision to come",
            export(&whole, &["--revision", "99999"]),
            17,
        ),
        ("no such segment", export(&whole, &["--segment", "9"]), 17),
        ("settings", no_settings, 3),
        (
            "overwriting",
            export(&whole, &["--output", text(&there)]),
            4,
        ),
        ("usage", ctl(&["archive", "frobnicate"]), 2),
    ];
    for (name, mut command, code) in cases {
        let before = contents(&folder);
        let done = output(&mut command);
        let errors = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(code), "{name}: {errors}");
        if code != 2 {
            assert_eq!(errors.lines().count(), 1, "{name}: {errors}");
            assert!(errors.starts_with("salttillerctl: "), "{name}: {errors}");
        }
        assert!(contents(&folder) == before, "{name}: something was written");
    }
    service.set_trouble(Some(503));
    let refused = output(&mut snapshot(&whole));
    assert_eq!(refused.status.code(), Some(18));
    service.set_trouble(None);
    good(&mut export(&whole, &["--output", text(&there), "--yes"]));
    assert!(std::fs::read(&there).unwrap().starts_with(b"{"));
}

/// All files of a folder but the archive that a limited disk may hold the beginning of.
fn contents(folder: &Folder) -> Vec<(PathBuf, Vec<u8>)> {
    let mut all: Vec<(PathBuf, Vec<u8>)> = std::fs::read_dir(&folder.0)
        .unwrap()
        .map(|e| e.unwrap().path())
        .map(|p| (p.clone(), std::fs::read(p).unwrap()))
        .collect();
    all.sort();
    all
}

/// The tool keeps to its share of the state service's requests.
#[test]
fn requests_keep_to_their_share() {
    let folder = Folder::new("share");
    let archive = folder.file("a.archive");
    let service = StateService::start().unwrap();
    fill(&service, 8000);
    let config = folder.settings(service.address());
    let ini = folder.ini("[archive]\nrequest_share = 0.02\nwatch_s = 0.05\n");
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| write_steadily(&service, &stop, 3));
        let mut command = ctl(&["archive", "run", text(&archive), "--config", text(&config)]);
        good(command.args(["--ini", text(&ini), "--max-s", "6"]));
        stop.store(true, Ordering::Relaxed);
    });
    let times = service.requests();
    let share = REQUESTS_PER_SECOND * 0.02;
    assert!(times.len() > 8, "{}", times.len());
    for (n, start) in times.iter().enumerate() {
        let within = times[n..]
            .iter()
            .take_while(|t| **t < *start + Duration::from_secs(2));
        let most = 2.0 * share + 1.0;
        assert!(within.count() as f64 <= most, "more than {most} in 2 s");
    }
}

/// Documents have the forms that are published.
#[test]
fn documents_have_their_published_schemas() {
    let folder = Folder::new("schemas");
    let archive = folder.file("a.archive");
    let service = StateService::start().unwrap();
    fill(&service, 20);
    let config = folder.settings(service.address());
    good(ctl(&["archive", "snapshot", text(&archive)]).args(["--config", text(&config)]));
    let published = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/schemas");
    for (name, document) in [
        ("archive-export", exported(&archive, None, None)),
        ("archive-list", listed(&archive)),
    ] {
        let schema = good(&mut ctl(&["schema", name]));
        let schema: Value = serde_json::from_str(&schema).unwrap();
        let file = published.join(format!("{name}.schema.json"));
        let file: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
        assert_eq!(
            schema, file,
            "{name}: `salttillerctl schema {name}` differs"
        );
        let schema = jsonschema::validator_for(&schema).unwrap();
        assert!(schema.is_valid(&document), "{name}");
        let mut wrong = document.clone();
        wrong["version"] = json!("one");
        assert!(!schema.is_valid(&wrong), "{name}");
    }
}
