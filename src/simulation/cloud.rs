//! The stand-in for the cloud.

use super::*;

impl World {
    pub(super) fn cloud(&mut self, path: &str, body: &Value) -> Response {
        if self.now < self.cloud_down {
            return reply(503, json!({"error": "trouble"}));
        }
        match path {
            "/flavors" => reply(
                200,
                json!({"plots": [
                    {"label": "box", "cores": 4, "cards": 0, "memoryGb": 16, "pullGbPerS": 1.0, "price": 0.3,
                     "lowPrice": 0.1, "startupS": 5, "fields": ["a"]},
                    {"label": "rack", "cores": 8, "cards": 0, "memoryGb": 64, "pullGbPerS": 1.0, "price": 0.7,
                     "lowPrice": 0.3, "startupS": 8, "fields": ["a"]}]}),
            ),
            "/machines/release" => {
                for n in body["tillers"].as_array().unwrap() {
                    let n = n.as_str().unwrap();
                    self.workers.remove(n);
                    if let Some(h) = self.history.get_mut(n) {
                        h.1.get_or_insert(self.now);
                    }
                }
                reply(200, json!({}))
            }
            _ if body.is_object() => {
                let tenancy = body["tenancy"].as_str().unwrap().to_owned();
                if let Some(names) = self.tenancies.get(&tenancy) {
                    return reply(200, json!({ "tillers": names }));
                }
                if self.workers.len() >= self.capacity {
                    return reply(503, json!({"error": "no capacity"}));
                }
                let n = body["count"]
                    .as_u64()
                    .unwrap()
                    .min((self.capacity - self.workers.len()) as u64);
                let mut names = Vec::new();
                for _ in 0..n {
                    let name = format!("m-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let w = Worker::new(
                        body["plot"].as_str().unwrap(),
                        body["fallow"].as_bool().unwrap(),
                        self.rng.usize(0..3),
                    );
                    self.workers.insert(name.clone(), w);
                    self.history.insert(name.clone(), (self.now, None));
                    let mut up = self.now + self.rng.u64(1..10) * SECOND;
                    let mut never = false;
                    if self.now < self.bad_boots {
                        self.seen.bad_boots += 1;
                        up += self.rng.u64(60..140) * SECOND;
                        never = self.rng.u32(0..3) == 0;
                    }
                    if !never {
                        self.at(up, Event::MachineUp(name.clone()));
                    }
                    names.push(name);
                }
                self.tenancies.insert(tenancy, names.clone());
                reply(200, json!({ "tillers": names }))
            }
            _ => {
                // As it was a while ago.
                let at = self.now.saturating_sub(self.rng.u64(8..16) * SECOND);
                let tillers: Vec<Value> = self
                    .history
                    .iter()
                    .filter(|(_, (born, gone))| *born <= at && gone.is_none_or(|g| g > at))
                    .filter_map(|(n, (born, _))| {
                        let w = self.workers.get(n)?;
                        Some(json!({"nameId": n, "address": "x", "plot": w.machine_type, "field": "a",
                            "fallow": w.spot, "stage": "running", "heldS": (at - born) as f64 / 1e6}))
                    })
                    .collect();
                reply(200, json!({"tillers": tillers, "more": false}))
            }
        }
    }
}
