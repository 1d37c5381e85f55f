//! The controllers under test: the processes, their clocks, restarts and pauses, and the
//! partitions between one of them and the rest of the world.

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

/// Wall-clock time at the beginning of every simulated day.
pub(super) const WALL_CLOCK_EPOCH: Micros = 1_000_000_000_000;

/// Calls of each run of a process are numbered from a multiple of this.
const CALLS_PER_RUN: u64 = 1_000_000;

/// Each controller's steady clock gains one part in this many, times its index.
const CLOCK_DRIFT: u64 = 4000;

/// How calls over a partitioned connection fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ConnectionFailure {
    /// They get no answer, and some are executed after the partition.
    #[default]
    Hang,
    /// Connections are reset at once.
    Reset,
}

/// Until when one controller is partitioned from each kind of other party.
#[derive(Default)]
pub(super) struct Partitions {
    pub store_until: Micros,
    pub store_failure: ConnectionFailure,
    pub workers_until: Micros,
    pub peers_until: Micros,
    pub users_until: Micros,
}

/// One controller and what its surroundings do to it.
#[derive(Default)]
pub(super) struct SimulatedController {
    process: Option<Controller<SimNet>>,
    net: SimNet,
    started_at: Micros,
    /// How many times the process was started.
    run: u64,
    /// The number of the timer that was set last; earlier ones are outdated.
    timer: u64,
    /// Requests without a response yet, by connection.
    requesters: BTreeMap<u32, Requester>,
    last_connection: u32,
    pub partitions: Partitions,
    /// Until when the state service refuses this controller alone.
    pub refused_until: Micros,
    /// Until when a restart is held back.
    pub down_until: Micros,
    /// Until when the process is paused while its clocks go on.
    pub paused_until: Micros,
}

impl SimulatedController {
    /// The process, if it runs.
    pub(super) fn process(&self) -> Option<&Controller<SimNet>> {
        self.process.as_ref()
    }

    /// The number of the current run of the process.
    pub(super) fn run(&self) -> u64 {
        self.run
    }

    /// Forgets the requester on a connection and returns it.
    pub(super) fn take_requester(&mut self, id: ConnectionId) -> Option<Requester> {
        self.requesters.remove(&id.generation)
    }

    /// Ends the process, if it runs, and returns the requesters whose connections break.
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

    /// Hands a request to a controller, or fails it if the process doesn't run.
    pub(super) fn receive_request(&mut self, index: usize, request: Request, requester: Requester) {
        if self.controllers[index].process.is_none() {
            return self.fail_request(requester);
        }
        let id = self.controllers[index].accept(requester);
        self.step_controller(index, Some(NetEvent::Request(id, request)));
    }

    /// Hands a message to a controller.
    pub(super) fn receive_peer_message(&mut self, index: usize, payload: Vec<u8>) {
        let id = ConnectionId {
            slot: 0,
            generation: 0,
        };
        self.step_controller(index, Some(NetEvent::Frame(id, payload)));
    }

    /// A controller's timer has run out.
    pub(super) fn on_controller_timer(&mut self, index: usize, timer: u64) {
        if self.controllers[index].timer == timer {
            self.step_controller(index, None);
        }
    }

    /// Lets a controller handle an event, delivers what it sends and sets its next timer.
    /// Does nothing while the process doesn't run.
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
        let clock = controller.net.steady_clock();
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
