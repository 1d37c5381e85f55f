//! Simulated cloud provider: machine types, rentals, releases and the list of machines.

use std::collections::BTreeMap;

use salttiller_protocol::http::Response;
use salttiller_records::units::{Micros, SECOND};
use serde_json::{json, Value};

use super::events::Event;
use super::network::response;
use super::workers::Worker;
use super::world::World;
use super::CONTROLLERS;

/// Period during which a machine is rented.
struct RentalPeriod {
    began_at: Micros,
    ended_at: Option<Micros>,
}

impl RentalPeriod {
    fn includes(&self, at: Micros) -> bool {
        self.began_at <= at && self.ended_at.is_none_or(|end| end > at)
    }
}

/// State of the simulated cloud: its rentals, capacity and faults.
pub(super) struct CloudProvider {
    /// Rented machines, by the idempotency key of the call that rented them.
    rentals: BTreeMap<String, Vec<String>>,
    /// Rental periods of all machines ever rented, by machine name.
    machines: BTreeMap<String, RentalPeriod>,
    outage_until: Micros,
    slow_provisioning_until: Micros,
    /// Maximum number of machines rented at a time.
    capacity: usize,
}

impl Default for CloudProvider {
    fn default() -> Self {
        CloudProvider {
            rentals: BTreeMap::new(),
            machines: BTreeMap::new(),
            outage_until: 0,
            slow_provisioning_until: 0,
            capacity: 8,
        }
    }
}

impl CloudProvider {
    /// Returns the number of machines ever rented.
    pub(super) fn machines_rented(&self) -> usize {
        self.machines.len()
    }

    /// Sets the maximum number of machines rented at a time.
    pub(super) fn set_capacity(&mut self, machines: usize) {
        self.capacity = machines;
    }

    /// Begins an outage: the cloud refuses all calls until `until`.
    pub(super) fn begin_outage(&mut self, until: Micros) {
        self.outage_until = until;
    }

    /// Slows provisioning: machines rented before `until` boot late, and a third of them never
    /// boots.
    pub(super) fn slow_provisioning(&mut self, until: Micros) {
        self.slow_provisioning_until = until;
    }

    fn machine_types() -> Response {
        response(
            200,
            json!({"plots": [
                {"label": "box", "cores": 4, "cards": 0, "memoryGb": 16, "pullGbPerS": 1.0, "price": 0.3,
                 "lowPrice": 0.1, "startupS": 5, "fields": ["a"]},
                {"label": "rack", "cores": 8, "cards": 0, "memoryGb": 64, "pullGbPerS": 1.0, "price": 0.7,
                 "lowPrice": 0.3, "startupS": 8, "fields": ["a"]}]}),
        )
    }
}

impl World {
    /// Handles a call to the cloud and returns the response.
    pub(super) fn serve_cloud(&mut self, path: &str, body: &Value) -> Response {
        if self.now < self.cloud.outage_until {
            return response(503, json!({"error": "trouble"}));
        }
        match path {
            "/flavors" => CloudProvider::machine_types(),
            "/machines/release" => self.release_machines(body),
            _ if body.is_object() => self.rent_machines(body),
            _ => self.list_machines(),
        }
    }

    fn release_machines(&mut self, body: &Value) -> Response {
        for machine in body["tillers"].as_array().unwrap() {
            let machine = machine.as_str().unwrap();
            self.workers.remove(machine);
            if let Some(rental) = self.cloud.machines.get_mut(machine) {
                rental.ended_at.get_or_insert(self.now);
            }
        }
        response(200, json!({}))
    }

    /// Rents up to the requested number of machines, limited by the free capacity. A repeated call
    /// with the same idempotency key returns the machines of the first call.
    fn rent_machines(&mut self, body: &Value) -> Response {
        let idempotency_key = body["tenancy"].as_str().unwrap().to_owned();
        if let Some(machines) = self.cloud.rentals.get(&idempotency_key) {
            return response(200, json!({ "tillers": machines }));
        }
        let available = self.cloud.capacity.saturating_sub(self.workers.len());
        if available == 0 {
            return response(503, json!({"error": "no capacity"}));
        }
        let count = body["count"].as_u64().unwrap().min(available as u64);
        let machines: Vec<String> = (0..count).map(|_| self.rent_machine(body)).collect();
        let rented = json!({ "tillers": machines });
        self.cloud.rentals.insert(idempotency_key, machines);
        response(200, rented)
    }

    fn rent_machine(&mut self, body: &Value) -> String {
        let machine = format!("m-{:06}", self.cloud.machines.len());
        let machine_type = body["plot"].as_str().unwrap();
        let spot = body["fallow"].as_bool().unwrap();
        let worker = Worker::new(machine_type, spot, self.rng.usize(0..CONTROLLERS));
        self.workers.insert(machine.clone(), worker);
        let rental = RentalPeriod {
            began_at: self.now,
            ended_at: None,
        };
        self.cloud.machines.insert(machine.clone(), rental);
        let mut ready_at = self.now + self.rng.u64(1..10) * SECOND;
        let mut will_boot = true;
        if self.now < self.cloud.slow_provisioning_until {
            self.observations.impaired_boots += 1;
            ready_at += self.rng.u64(60..140) * SECOND;
            will_boot = self.rng.u32(0..3) != 0;
        }
        if will_boot {
            self.schedule(ready_at, Event::MachineReady(machine.clone()));
        }
        machine
    }

    /// Lists the machines that were rented at a time 8 to 15 seconds ago and have not been released
    /// since: the cloud's list lags behind the rentals.
    fn list_machines(&mut self) -> Response {
        let at = self.now.saturating_sub(self.rng.u64(8..16) * SECOND);
        let rented = self.cloud.machines.iter();
        let rented = rented.filter(|(_, rental)| rental.includes(at));
        let machines: Vec<Value> = rented
            .filter_map(|(name, rental)| {
                let worker = self.workers.get(name)?;
                Some(worker.cloud_listing(name, at - rental.began_at))
            })
            .collect();
        response(200, json!({"tillers": machines, "more": false}))
    }
}
