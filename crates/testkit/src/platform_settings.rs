//! The platform's settings file of a controller, in the form that the platform's specification
//! describes.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Settings of a controller in a deployment of two controllers in one zone, without teams.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    state_service: SocketAddr,
    requests_per_second: f64,
}

impl PlatformSettings {
    /// Default limit of requests per second to the state service.
    pub const REQUESTS_PER_SECOND: f64 = 200.0;

    /// Returns the settings of a deployment that uses this state service.
    #[must_use]
    pub fn new(state_service: SocketAddr) -> Self {
        PlatformSettings {
            state_service,
            requests_per_second: Self::REQUESTS_PER_SECOND,
        }
    }

    /// Sets the limit of requests per second to the state service.
    #[must_use]
    pub fn requests_per_second(mut self, requests: f64) -> Self {
        self.requests_per_second = requests;
        self
    }

    /// Returns the content of the settings file.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({
            "host_name": "t-0", "area": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "others": [{"host_name": "t-1", "area": "a", "addr": "127.0.0.1:3"}],
            "outside": {"cloud": "127.0.0.1:4", "state": self.state_service.to_string()},
            "facts": {"size": 2, "zones": ["a"], "teams": [], "objectives": [],
                "workers": {"report_s": 3.0, "lease_s": 15.0, "gang_wait_s": 9.0,
                    "gang_peer_s": 3.0, "cancel_s": 40.0},
                "state": {"rps": self.requests_per_second, "write_rps": 50.0, "value_kb": 4.0,
                    "txn_ops": 12},
                "cloud": {"rps": 3.0, "list_lag_s": 8.0},
                "quota": {"cores": 0.2, "ram_mb": 200.0, "fd_limit": 500},
                "clock_off_ms": 5.0}
        })
    }
}
