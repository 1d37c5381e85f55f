//! Tests of failing `archive` commands: each kind of failure is one line of error text and its own
//! exit code.

use std::path::{Path, PathBuf};
use std::process::Command;

use salttiller_testkit::state_service::RequestFault;
use salttiller_testkit::TempFolder;

use crate::common::{arg, ctl, fail, succeed, CTL};
use crate::deployment::Deployment;

/// Exit code of a usage error. Its message has several lines.
const USAGE: i32 = 2;

/// A command that must fail, and the expected exit code.
struct FailureCase {
    name: &'static str,
    command: Command,
    exit_code: i32,
}

fn case(name: &'static str, command: Command, exit_code: i32) -> FailureCase {
    FailureCase {
        name,
        command,
        exit_code,
    }
}

fn verify(archive: &Path) -> Command {
    ctl(&["archive", "verify", arg(archive)])
}

fn snapshot(deployment: &Deployment, archive: &Path) -> Command {
    let command = ctl(&["archive", "snapshot", arg(archive)]);
    let mut command = deployment.with_config(command);
    command.args(["--patience-s", "1"]);
    command
}

fn export(deployment: &Deployment, rest: &[&str]) -> Command {
    let mut command = deployment.archive_command("export");
    command.args(rest);
    command
}

/// Returns a snapshot command whose process can write files of at most 64 blocks.
fn snapshot_with_file_size_limit(deployment: &Deployment) -> Command {
    let script = format!(
        "trap '' XFSZ; ulimit -f 64; exec {CTL} archive snapshot {} --config {}",
        arg(&deployment.folder.file("limited.archive")),
        arg(&deployment.config)
    );
    let mut command = Command::new("sh");
    command.args(["-c", &script]).env("LOG_LEVEL", "error");
    command
}

/// Returns commands on files that are not usable archives.
fn unusable_archives(deployment: &Deployment) -> Vec<FailureCase> {
    let folder = &deployment.folder;
    let whole = std::fs::read(&deployment.archive).unwrap();
    let mut bytes = whole.clone();
    bytes[4200..9000].fill(0xa5);
    let missing = folder.file("missing.archive");
    let empty = folder.write("empty.archive", b"").unwrap();
    let foreign = folder.write("foreign.archive", b"some other file, and a long one");
    let foreign = foreign.unwrap();
    let truncated = folder.write("truncated.archive", &whole[..whole.len() / 3]);
    let truncated = truncated.unwrap();
    let damaged = folder.write("damaged.archive", bytes).unwrap();
    let mut other = snapshot(deployment, &deployment.archive);
    other.args(["--deployment", "another"]);
    vec![
        case("missing", verify(&missing), 10),
        case("empty", verify(&empty), 11),
        case("empty, to write", snapshot(deployment, &empty), 11),
        case("foreign", verify(&foreign), 11),
        case("foreign, to write", snapshot(deployment, &foreign), 11),
        case("another deployment", other, 13),
        case("truncated", verify(&truncated), 14),
        case("truncated, to write", snapshot(deployment, &truncated), 14),
        case("damaged", verify(&damaged), 14),
    ]
}

/// Returns commands that can't be carried out although the archive is valid.
fn invalid_requests(deployment: &Deployment, existing: &Path) -> Vec<FailureCase> {
    let mut no_settings = deployment.archive_command("snapshot");
    no_settings.args(["--config", arg(&deployment.folder.file("missing.json"))]);
    let future_revision = export(deployment, &["--revision", "99999"]);
    let no_segment = export(deployment, &["--segment", "9"]);
    let overwriting = export(deployment, &["--output", arg(existing)]);
    vec![
        case("no space", snapshot_with_file_size_limit(deployment), 16),
        case("future revision", future_revision, 17),
        case("no such segment", no_segment, 17),
        case("missing settings", no_settings, 3),
        case("overwriting", overwriting, 4),
        case("usage", ctl(&["archive", "frobnicate"]), USAGE),
    ]
}

/// Returns all files of a folder with their contents.
fn files_of(folder: &TempFolder) -> Vec<(PathBuf, Vec<u8>)> {
    let entries = std::fs::read_dir(folder.path()).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let mut files: Vec<_> = paths
        .map(|path| (path.clone(), std::fs::read(path).unwrap()))
        .collect();
    files.sort();
    files
}

/// Guards against failures without a clear error line or exit code, and against failing commands
/// that write files.
#[test]
fn each_failure_prints_one_line_and_has_its_exit_code() {
    let deployment = Deployment::new("bad", 200);
    succeed(&mut snapshot(&deployment, &deployment.archive));
    let existing = deployment.folder.write("there.json", b"keep me").unwrap();
    let mut cases = unusable_archives(&deployment);
    cases.extend(invalid_requests(&deployment, &existing));
    assert_eq!(cases.len(), 15);
    for case in cases {
        let FailureCase {
            name,
            mut command,
            exit_code,
        } = case;
        let before = files_of(&deployment.folder);
        let errors = fail(name, &mut command, exit_code);
        if exit_code != USAGE {
            assert_eq!(errors.lines().count(), 1, "{name}: {errors}");
            assert!(errors.starts_with("salttillerctl: "), "{name}: {errors}");
        }
        let unchanged = files_of(&deployment.folder) == before;
        assert!(unchanged, "{name}: a failing command must not write files");
    }
    let mut confirmed_export = export(&deployment, &["--output", arg(&existing), "--yes"]);
    succeed(&mut confirmed_export);
    assert!(std::fs::read(&existing).unwrap().starts_with(b"{"));
}

/// Guards against a wrong exit code, or an error text without the HTTP status, when the state
/// service refuses all requests.
#[test]
fn refusal_by_the_state_service_has_its_exit_code() {
    let deployment = Deployment::new("refusing", 1);
    let fault = Some(RequestFault::Status(503));
    deployment.service.inject_fault(fault);
    let mut command = snapshot(&deployment, &deployment.archive);
    let errors = fail("refused", &mut command, 18);
    assert!(errors.contains("status 503"), "{errors}");
}
