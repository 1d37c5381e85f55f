//! The controllers under test: their processes, clocks, restarts and pauses, and the network
//! partitions around a single controller.

use std::collections::BTreeMap;

use crate::controller::Controller;
use crate::reactor::{ConnectionId, NetEvent};
use crate::settings::Settings;
use salttiller_protocol::http::Request;
use salttiller_records::units::{Micros, MILLISECOND};

use super::events::{Event, Requester};
use super::network::SimNet;
use super::runner::set_log_position;
use super::trace_digest;
use super::world::World;

/// Wall-clock time at the start of every simulated day.
pub(super) const WALL_CLOCK_EPOCH: Micros = 1_000_000_000_000;

/// Interval between the first call numbers of successive runs of a process.
const CALLS_PER_RUN: u64 = 1_000_000;

/// Inverse of the drift rate of the monotonic clocks: a controller's clock gains
/// `index / CLOCK_DRIFT` of the elapsed time.
const CLOCK_DRIFT: u64 = 4000;

/// How calls fail during a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ConnectionFailure {
    /// Calls get no response, and some are executed after the partition.
    #[default]
    Hang,
    /// Connections are reset immediately.
    Reset,
}

/// Times until which a controller is partitioned from the state service, workers, peers and users.
#[derive(Default)]
pub(super) struct Partitions {
    pub store_until: Micros,
    pub store_failure: ConnectionFailure,
    pub workers_until: Micros,
    pub peers_until: Micros,
    pub users_until: Micros,
}

/// A simulated controller with the faults that affect it.
#[derive(Default)]
pub(super) struct SimulatedController {
    process: Option<Controller<SimNet>>,
    net: SimNet,
    started_at: Micros,
    /// Number of times that the process was started.
    run: u64,
    /// Number of the timer set last; earlier timers are ignored.
    timer: u64,
    /// Requesters that wait for a response, by connection.
    requesters: BTreeMap<u32, Requester>,
    last_connection: u32,
    pub partitions: Partitions,
    /// Time until which the state service refuses this controller only.
    pub refused_until: Micros,
    /// Earliest time of a restart.
    pub down_until: Micros,
    /// Time until which the process is paused while its clocks advance.
    pub paused_until: Micros,
}

impl SimulatedController {
    /// Returns the process if it is running.
    pub(super) fn process(&self) -> Option<&Controller<SimNet>> {
        self.process.as_ref()
    }

    /// Returns the number of the current run of the process.
    pub(super) fn run(&self) -> u64 {
        self.run
    }

    /// Removes the requester of a connection and returns it.
    pub(super) fn take_requester(&mut self, id: ConnectionId) -> Option<Requester> {
        self.requesters.remove(&id.generation)
    }

    /// Kills the process if it is running, and returns the requesters whose connections break.
    pub(super) fn kill(&mut self) -> Option<Vec<Requester>> {
        self.process.take()?;
        let requesters = std::mem::take(&mut self.requesters);
        Some(requesters.into_values().collect())
    }

    fn start(&mut self, now: Micros, settings: Settings) {
        self.run += 1;
        self.started_at = now;
        self.requesters.clear();
        self.net = SimNet::new(self.run * CALLS_PER_RUN);
        self.process = Some(Controller::new(settings, self.net.clone()));
    }

    fn set_clocks(&mut self, now: Micros, index: usize) {
        let uptime = now - self.started_at;
        let drift = uptime * index as u64 / CLOCK_DRIFT;
        self.net
            .set_clocks(uptime + drift + 1, WALL_CLOCK_EPOCH + now);
    }

    fn accept(&mut self, requester: Requester) -> ConnectionId {
        self.last_connection += 1;
        self.requesters.insert(self.last_connection, requester);
        ConnectionId {
            slot: 0,
            generation: self.last_connection,
        }
    }

    fn next_timer(&mut self) -> u64 {
        self.timer += 1;
        self.timer
    }
}

impl World {
    /// Starts a controller's process.
    pub(super) fn start_controller(&mut self, index: usize) {
        let settings = self.settings[index].clone();
        let controller = &mut self.controllers[index];
        controller.start(self.now, settings);
        controller.set_clocks(self.now, index);
        if let Some(process) = &mut controller.process {
            process.begin();
        }
        self.step_controller(index, None);
    }

    /// Delivers a request to a controller, or fails the request if the process is not running.
    pub(super) fn receive_request(&mut self, index: usize, request: Request, requester: Requester) {
        if self.controllers[index].process.is_none() {
            return self.fail_request(requester);
        }
        let id = self.controllers[index].accept(requester);
        self.step_controller(index, Some(NetEvent::Request(id, request)));
    }

    /// Delivers a peer message to a controller.
    pub(super) fn receive_peer_message(&mut self, index: usize, payload: Vec<u8>) {
        let id = ConnectionId {
            slot: 0,
            generation: 0,
        };
        self.step_controller(index, Some(NetEvent::Frame(id, payload)));
    }

    /// Handles the expiry of a controller's timer.
    pub(super) fn on_controller_timer(&mut self, index: usize, timer: u64) {
        if self.controllers[index].timer == timer {
            self.step_controller(index, None);
        }
    }

    /// Passes an event to a controller, delivers what the controller sends, and sets its next
    /// timer. Does nothing if the process is not running.
    pub(super) fn step_controller(&mut self, index: usize, event: Option<NetEvent>) {
        set_log_position(self.now, index);
        let now = self.now;
        let controller = &mut self.controllers[index];
        if controller.process.is_some() {
            controller.set_clocks(now, index);
        }
        let Some(process) = &mut controller.process else {
            return;
        };
        if let Some(event) = event {
            process.handle(event);
        }
        let next_step = process.step();
        let clock = controller.net.monotonic_clock();
        let outgoing = controller.net.take_outgoing();
        trace_digest::record(now, index, &outgoing);
        for item in outgoing {
            self.deliver(index, item);
        }
        let timer = self.controllers[index].next_timer();
        let wait = next_step.saturating_sub(clock).max(MILLISECOND);
        let event = Event::ControllerTimer {
            controller: index,
            timer,
        };
        self.schedule(now + wait, event);
    }
}
