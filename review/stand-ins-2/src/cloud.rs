//! The cloud: machine types, the list of machines, releases. All its capacity is up already, so it
//! has no machine to rent out.

use std::sync::Arc;
use std::time::Duration;

use salttiller_protocol::http::{query_value, Request, Response};
use salttiller_protocol::state_service::{decode, encode};
use salttiller_testkit::server::Handler;
use serde_json::{json, Value};

use crate::world::{Power, World, PLOTS};

/// Time for which a machine that stopped stays listed as running.
const LISTED_AFTER_END: Duration = Duration::from_secs(30);

pub struct Cloud {
    pub world: Arc<World>,
    pub zones: Vec<String>,
}

impl Handler for Cloud {
    fn handle(&self, request: &Request) -> Option<Response> {
        let ok = |body: &Value| Some(Response::new(200, encode(body)));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => ok(&self.flavors()),
            ("GET", "/machines") => ok(&self.list(&request.query)),
            ("POST", "/machines") => {
                Some(Response::new(503, encode(&json!({"error": "no capacity"}))))
            }
            ("POST", "/machines/release") => {
                let body: Value = decode(&request.body).ok()?;
                for name in body["tillers"].as_array().into_iter().flatten() {
                    self.world.release_machine(name.as_str().unwrap_or(""));
                }
                ok(&json!({}))
            }
            _ => Some(Response::new(400, Vec::new())),
        }
    }
}

impl Cloud {
    fn flavors(&self) -> Value {
        let plots: Vec<Value> = PLOTS
            .iter()
            .map(|p| {
                json!({"label": p.label, "cores": p.cores, "cards": 0.0, "memoryGb": p.memory,
                    "localGb": 80.0, "pullGbPerS": p.pull, "price": p.price,
                    "lowPrice": p.low_price, "startupS": p.startup, "fields": self.zones})
            })
            .collect();
        json!({"plots": plots})
    }

    fn list(&self, query: &str) -> Value {
        let from = query_value(query, "from").unwrap_or("");
        let page = query_value(query, "page").and_then(|n| n.parse().ok());
        let page: usize = page.unwrap_or(500).min(500);
        let state = self.world.lock();
        let listed = state
            .machines
            .iter()
            .filter(|(name, machine)| name.as_str() > from && machine.power != Power::Gone);
        let mut tillers: Vec<Value> = listed
            .map(|(name, machine)| {
                let failed = matches!(machine.power,
                    Power::Dead { since } if since.elapsed() > LISTED_AFTER_END);
                json!({"nameId": name, "address": "127.0.0.1:9", "plot": machine.plot.label,
                    "field": machine.zone, "fallow": machine.spot,
                    "stage": if failed { "failed" } else { "running" },
                    "heldS": 600.0 + machine.began.elapsed().as_secs_f64()})
            })
            .collect();
        let more = tillers.len() > page;
        tillers.truncate(page);
        json!({"tillers": tillers, "more": more})
    }
}
