//! Simulated workers: heartbeats, leases and the handling of responses. [`commands`] executes the
//! commands in responses, and [`tasks`] ends tasks.

mod commands;
mod tasks;

pub(super) use tasks::{task_id, TaskStage, WorkerTask};

use std::collections::BTreeMap;

use salttiller_protocol::http::Response;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};
use serde_json::{json, Value};

use super::events::{Event, Requester};
use super::network::{decode, request};
use super::world::World;
use super::CONTROLLERS;

/// Duration of a worker's lease: a worker kills its tasks this long after it sent its last accepted
/// heartbeat.
const WORKER_LEASE: Micros = 16 * SECOND;
/// Delay of the next heartbeat after an accepted one.
const HEARTBEAT_INTERVAL: Micros = 3 * SECOND;
/// Delay of the next heartbeat after a response with commands or a new fencing token.
const HEARTBEAT_INTERVAL_AFTER_COMMANDS: Micros = SECOND / 2;
/// Time without a response after which a worker sends its next heartbeat.
const RESPONSE_TIMEOUT: Micros = 4 * SECOND;
/// Delay of the heartbeat to the next controller after a refusal or a failed connection.
const RETRY_INTERVAL: Micros = SECOND;
/// Delay of the heartbeat to the controller that a refusal names.
const REDIRECT_DELAY: Micros = 100 * MILLISECOND;

/// A partition that isolates one controller together with the machines whose heartbeats go to it.
#[derive(Clone, Copy, Default)]
pub(super) struct ZonePartition {
    pub controller: usize,
    pub until: Micros,
}

/// The worker on a machine.
pub(super) struct Worker {
    pub machine_type: String,
    pub spot: bool,
    /// Incarnation number, incremented with each expired lease and reset by a reboot.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat; only a reboot resets the number.
    pub sequence: u64,
    /// Highest fencing token received.
    pub token: u64,
    /// Tasks by their id, `JOB/NUMBER`.
    pub tasks: BTreeMap<String, WorkerTask>,
    /// Time at which the last accepted heartbeat was sent.
    pub lease_renewed_at: Micros,
    /// Controller that receives the next heartbeat.
    pub controller: usize,
    /// Number of the timer set last; earlier timers are ignored.
    timer: u64,
    failed: bool,
    /// Time of the last reboot; 0 if there was none.
    pub rebooted_at: Micros,
    /// Time until which the worker and its tasks are paused.
    pub paused_until: Micros,
    /// Time until which responses do not reach the worker.
    pub responses_lost_until: Micros,
    /// Time until which the worker cannot reach any controller.
    pub unreachable_until: Micros,
    /// Partition during which the worker reaches only one controller.
    pub zone_partition: ZonePartition,
}

impl Worker {
    /// Creates a worker that has not sent a heartbeat yet; the first one goes to `controller`.
    pub(super) fn new(machine_type: &str, spot: bool, controller: usize) -> Self {
        Worker {
            machine_type: machine_type.into(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_renewed_at: 0,
            controller,
            timer: 0,
            failed: false,
            rebooted_at: 0,
            paused_until: 0,
            responses_lost_until: 0,
            unreachable_until: 0,
            zone_partition: ZonePartition::default(),
        }
    }

    /// Whether the worker has lost its tasks because the machine failed or the lease expired.
    pub(super) fn has_lost_tasks(&self, now: Micros) -> bool {
        self.failed || self.is_lease_expired(now)
    }

    /// Returns the machine's entry in the cloud's list.
    pub(super) fn cloud_listing(&self, name: &str, rented_for: Micros) -> Value {
        json!({"nameId": name, "address": "x", "plot": self.machine_type, "field": "a",
            "fallow": self.spot, "stage": "running", "heldS": rented_for as f64 / 1e6})
    }

    /// Fails the machine permanently.
    pub(super) fn fail(&mut self) {
        self.failed = true;
        self.tasks.clear();
    }

    /// Reboots the machine immediately; incarnations and heartbeats are numbered from the start
    /// again.
    pub(super) fn reboot(&mut self, now: Micros) {
        (self.incarnation, self.sequence, self.token) = (1, 0, 0);
        self.tasks.clear();
        self.lease_renewed_at = now;
        self.rebooted_at = now;
    }

    /// Returns the tasks that have not ended.
    pub(super) fn active_tasks(&self) -> impl Iterator<Item = (&String, &WorkerTask)> {
        self.tasks.iter().filter(|(_, task)| !task.has_ended())
    }

    fn is_lease_expired(&self, now: Micros) -> bool {
        now > self.lease_renewed_at + WORKER_LEASE
    }

    fn restart_timer(&mut self) -> u64 {
        self.timer += 1;
        self.timer
    }

    fn switch_to_next_controller(&mut self) {
        self.controller = (self.controller + 1) % CONTROLLERS;
    }

    /// Creates the body of the next heartbeat.
    fn next_heartbeat(&mut self, name: &str) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self.tasks.iter().map(|(id, t)| t.report(id)).collect();
        json!({"tiller": name, "address": "x", "plot": self.machine_type, "field": "a", "fallow": self.spot,
            "season": self.incarnation, "tally": self.sequence, "brand": self.token, "reclaimS": null, "sheaves": tasks})
    }

    /// Whether the response to a heartbeat is accepted: no newer heartbeat was sent, the response
    /// arrived before the timeout, and the worker can receive responses.
    fn accepts_response(&self, heartbeat: &Heartbeat, now: Micros) -> bool {
        self.sequence == heartbeat.sequence && self.accepts_copy(heartbeat, now)
    }

    /// Whether a copy of the response to a heartbeat may be executed, also after newer heartbeats
    /// were sent.
    fn accepts_copy(&self, heartbeat: &Heartbeat, now: Micros) -> bool {
        !self.failed
            && self.incarnation == heartbeat.incarnation
            && !heartbeat.has_timed_out(now)
            && now >= self.paused_until
            && now >= self.responses_lost_until
    }

    /// Switches to the controller that a refusal names, or else to the next one. Returns the delay
    /// of the next heartbeat.
    fn redirect(&mut self, status: u16, owner: Option<usize>) -> Micros {
        match owner {
            Some(owner) if status == 421 && owner != self.controller => {
                self.controller = owner;
                REDIRECT_DELAY
            }
            _ => {
                self.switch_to_next_controller();
                RETRY_INTERVAL
            }
        }
    }
}

/// A heartbeat sent by a worker.
#[derive(Clone)]
pub(super) struct Heartbeat {
    pub machine: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub sent_at: Micros,
}

impl Heartbeat {
    fn has_timed_out(&self, now: Micros) -> bool {
        now > self.sent_at + RESPONSE_TIMEOUT
    }
}

impl World {
    /// Starts the worker of a machine that has booted.
    pub(super) fn start_worker(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.lease_renewed_at = self.now;
            let timer = worker.restart_timer();
            self.schedule_heartbeat(name, self.now, timer);
        }
    }

    fn schedule_heartbeat(&mut self, name: &str, at: Micros, timer: u64) {
        let machine = name.to_owned();
        self.schedule(at, Event::HeartbeatDue { machine, timer });
    }

    /// Handles the expiry of a worker's timer: ends an expired lease and sends a heartbeat.
    pub(super) fn on_heartbeat_due(&mut self, name: &str, timer: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.timer != timer || worker.failed {
            return;
        }
        if now < worker.paused_until {
            let resumed_at = worker.paused_until;
            return self.schedule_heartbeat(name, resumed_at, timer);
        }
        if worker.is_lease_expired(now) {
            worker.incarnation += 1;
            let had_tasks = !worker.tasks.is_empty();
            self.observations.leases_expired_with_tasks += u32::from(had_tasks);
            worker.tasks.clear();
            worker.lease_renewed_at = now;
        }
        if now < worker.zone_partition.until {
            worker.controller = worker.zone_partition.controller;
        }
        self.send_heartbeat(name);
    }

    fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let body = worker.next_heartbeat(name);
        let requester = Requester::Worker(Heartbeat {
            machine: name.into(),
            incarnation: worker.incarnation,
            sequence: worker.sequence,
            sent_at: now,
        });
        let controller = worker.controller;
        let timer = worker.restart_timer();
        let request = request("POST", "/v1/report", rmp_serde::to_vec(&body).unwrap());
        if now < self.network.heartbeats_duplicated_until {
            let late = now + SECOND * self.rng.u64(1..48);
            let duplicate = Event::Request {
                controller: self.rng.usize(0..CONTROLLERS),
                request: request.clone(),
                requester: Requester::Nobody,
            };
            self.schedule(late, duplicate);
        }
        self.schedule_heartbeat(name, now + RESPONSE_TIMEOUT, timer);
        let event = Event::Request {
            controller,
            request,
            requester,
        };
        self.transmit_heartbeat(name, controller, event);
    }

    /// Sends a heartbeat over the network, subject to the current partitions.
    fn transmit_heartbeat(&mut self, name: &str, controller: usize, event: Event) {
        let now = self.now;
        let latency = self.draw_latency();
        let partitioned_until = self.controllers[controller].partitions.workers_until;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if now < worker.unreachable_until {
            worker.switch_to_next_controller();
            let timer = worker.restart_timer();
            self.schedule_heartbeat(name, now + RETRY_INTERVAL, timer);
        } else if now < partitioned_until {
            worker.switch_to_next_controller();
            // Half of the heartbeats sent during a partition arrive when it ends; the rest are
            // lost.
            if self.rng.bool() {
                self.schedule(partitioned_until + latency, event);
            }
        } else {
            self.schedule(now + latency, event);
        }
    }

    /// Handles a response that reaches a worker.
    pub(super) fn on_heartbeat_response(&mut self, heartbeat: &Heartbeat, response: &Response) {
        let now = self.now;
        let name = heartbeat.machine.as_str();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.observations.late_responses += u32::from(heartbeat.has_timed_out(now));
        if !worker.accepts_response(heartbeat, now) {
            return;
        }
        let timer = worker.restart_timer();
        let body = decode(&response.body);
        if response.status != 200 {
            let owner = body["steward"].as_str();
            let owner = owner.and_then(|o| self.settings.iter().position(|s| s.name == o));
            let wait = worker.redirect(response.status, owner);
            return self.schedule_heartbeat(name, now + wait, timer);
        }
        let token = body["brand"].as_u64().unwrap_or(0);
        if token < worker.token {
            return self.schedule_heartbeat(name, now + HEARTBEAT_INTERVAL, timer);
        }
        let commands = body["calls"].as_array().cloned().unwrap_or_default();
        let report_soon = token > worker.token || !commands.is_empty();
        worker.token = token;
        worker.lease_renewed_at = heartbeat.sent_at;
        let store_unavailable = self.is_store_unavailable_to(self.workers[name].controller);
        self.observations.heartbeats_accepted_without_store += u32::from(store_unavailable);
        for command in &commands {
            self.execute_command(name, command);
        }
        if now < self.network.worker_responses_duplicated_until && !commands.is_empty() {
            let copied_at = self.rng.u64(now..=heartbeat.sent_at + RESPONSE_TIMEOUT);
            let copy = Event::ResponseCopy(heartbeat.clone(), response.clone());
            self.schedule(copied_at, copy);
        }
        let wait = match report_soon {
            true => HEARTBEAT_INTERVAL_AFTER_COMMANDS,
            false => HEARTBEAT_INTERVAL,
        };
        self.schedule_heartbeat(name, now + wait, timer);
    }

    /// Handles a copy of a response that a worker has accepted before. The worker executes its
    /// commands again if the response could still be accepted: it belongs to the current incarnation,
    /// carries no outdated token and is not too old.
    pub(super) fn on_response_copy(&mut self, heartbeat: &Heartbeat, response: &Response) {
        let now = self.now;
        let name = heartbeat.machine.as_str();
        let body = decode(&response.body);
        let token = body["brand"].as_u64().unwrap_or(0);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.accepts_copy(heartbeat, now) || token < worker.token {
            return;
        }
        worker.token = token;
        let commands = body["calls"].as_array().cloned().unwrap_or_default();
        for command in &commands {
            self.observations.copied_starts += u32::from(command["call"] == "start");
            self.execute_command(name, command);
        }
    }
}
