//! What tests of the command line share.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::json;

const CTL: &str = env!("CARGO_BIN_EXE_salttillerctl");
/// Requests a second of the state service in the settings.
pub const REQUESTS_PER_SECOND: f64 = 200.0;

/// A folder of a test, gone when the test ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("salttillerctl-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Settings of a deployment whose state service is the given one.
    pub fn settings(&self, state_service: std::net::SocketAddr) -> PathBuf {
        let settings = json!({
            "host_name": "t-0", "area": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "others": [{"host_name": "t-1", "area": "a", "addr": "127.0.0.1:3"}],
            "outside": {"cloud": "127.0.0.1:4", "state": state_service.to_string()},
            "facts": {"size": 2, "zones": ["a"], "teams": [], "objectives": [],
                "workers": {"report_s": 3.0, "lease_s": 15.0, "gang_wait_s": 9.0,
                    "gang_peer_s": 3.0, "cancel_s": 40.0},
                "state": {"rps": REQUESTS_PER_SECOND, "write_rps": 50.0, "value_kb": 4.0,
                    "txn_ops": 12},
                "cloud": {"rps": 3.0, "list_lag_s": 8.0},
                "quota": {"cores": 0.2, "ram_mb": 200.0, "fd_limit": 500},
                "clock_off_ms": 5.0}
        });
        let path = self.file("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    pub fn ini(&self, text: &str) -> PathBuf {
        let path = self.file("archive.ini");
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn ctl(args: &[&str]) -> Command {
    let mut command = Command::new(CTL);
    command.args(args).env("LOG_LEVEL", "error");
    command
}

pub fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

pub fn output(command: &mut Command) -> Output {
    command.output().unwrap()
}

/// Runs a command that must succeed; its standard output.
pub fn good(command: &mut Command) -> String {
    let done = output(command);
    let errors = String::from_utf8_lossy(&done.stderr);
    assert!(
        done.status.success(),
        "{command:?}: {}: {errors}",
        done.status
    );
    String::from_utf8(done.stdout).unwrap()
}
