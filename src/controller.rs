//! The controller: one process of the scheduler, composed of the parts listed below.
//!
//! [`Controller::serve`] is the event loop. It passes network events to [`Controller::handle`];
//! after each round, [`Controller::step`] performs all due work and returns the time of the next
//! step.
//!
//! | part | owns |
//! | --- | --- |
//! | `cluster_state` | settings, replica of the records, peers' health and reports, the time |
//! | `region_ownership`, `regions` | the regions that this controller owns or acquires |
//! | `leadership` | the [`Leader`](crate::leader::Leader), while this controller is the leader |
//! | `commits`, `outstanding_calls` | transactions and calls without an outcome yet |
//! | `client_requests`, `pending_requests` | users' requests |
//! | `heartbeats` | responses to workers |
//! | `peer_messages`, `broadcasts` | messages from and to the other controllers |
//! | `owner_reachability` | regions whose machines don't reach their owner |
//! | `data_loss_hold` | restricted operation after the state service lost records |
//! | `monitoring`, `status_page` | alerts and the status page for operators |
//!
//! Each part owns its state. Work that involves several parts is a method of [`Controller`] in
//! the most closely related module.

mod broadcasts;
mod client_requests;
mod cluster_state;
mod commits;
mod data_loss_hold;
mod heartbeats;
mod http_status;
mod leadership;
mod monitoring;
mod outstanding_calls;
mod owner_reachability;
mod peer_messages;
mod peers;
mod pending_requests;
mod region_ownership;
mod region_reports;
mod regions;
mod reported_cancellations;
mod state_store_events;
mod status_page;

use std::io;

use salttiller_protocol::http::Response;
use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::cloud::CloudClient;
use crate::reactor::{ConnectionId, Limits, Net, NetEvent, Reactor};
use crate::settings::Settings;
use crate::state_store::{LeaseRole, StateStore};
use broadcasts::Broadcasts;
use client_requests::ClientRequests;
use cluster_state::ClusterState;
use commits::PendingCommits;
use data_loss_hold::DataLossProtection;
use leadership::Leadership;
use monitoring::Monitoring;
use outstanding_calls::OutstandingCalls;
use owner_reachability::OwnerReachability;
use peer_messages::PeerMessages;
use region_ownership::RegionOwnership;

/// Maximum time between steps.
const MAX_STEP_INTERVAL: Micros = SECOND;

/// Maximum number of connections to the state service.
const STATE_STORE_CONNECTIONS: usize = 10;
/// Maximum number of connections to the cloud.
const CLOUD_CONNECTIONS: usize = 2;
/// Sockets reserved for connections to and from one peer.
const SOCKETS_PER_PEER: usize = 4;
/// File descriptors reserved for listeners, the poller and other files that the process keeps open.
const RESERVED_SOCKETS: usize = 16;
/// Lower bound of the connection limit for users and workers, even if the settings leave fewer
/// sockets.
const MIN_SERVED_CONNECTIONS: usize = 16;
/// Maximum number of bytes queued for one peer.
const PEER_BACKLOG_BYTES: usize = 512 * 1024;
/// Sockets per submission in progress: submissions may use one in this many of all sockets.
const SOCKETS_PER_SUBMISSION: usize = 4;

/// One controller of the cluster. `N` is the network layer.
pub struct Controller<N: Net> {
    net: N,
    cluster: ClusterState,
    cloud_client: CloudClient,
    outstanding_calls: OutstandingCalls,
    pending_commits: PendingCommits,
    ownership: RegionOwnership,
    leadership: Leadership,
    client_requests: ClientRequests,
    peer_messages: PeerMessages,
    broadcasts: Broadcasts,
    reachability: OwnerReachability,
    data_loss: DataLossProtection,
    monitoring: Monitoring,
}

impl Controller<Reactor> {
    /// Opens the listeners and creates a controller that uses them.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't listen on an address of the settings.
    pub fn open(settings: Settings) -> io::Result<Self> {
        let peers: Vec<_> = settings.peers.iter().map(|p| p.addr).collect();
        let limits = Limits {
            max_served_connections: max_served_connections(&settings),
            max_peer_backlog_bytes: PEER_BACKLOG_BYTES,
        };
        let destinations = [
            (settings.state_store_addr, STATE_STORE_CONNECTIONS),
            (settings.cloud_addr, CLOUD_CONNECTIONS),
        ];
        let reactor = Reactor::new(
            settings.http_addr,
            settings.peer_addr,
            &destinations,
            &peers,
            limits,
        )?;
        Ok(Controller::new(settings, reactor))
    }

    /// Runs the event loop until the process is killed.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller fails.
    pub fn serve(&mut self) -> io::Result<()> {
        self.begin();
        loop {
            let next = self.step();
            for event in self.net.wait(next)? {
                self.handle(event);
            }
        }
    }
}

/// Returns the maximum number of connections of users and workers: the sockets that the settings
/// allow, less those reserved for the controller's own connections.
fn max_served_connections(settings: &Settings) -> usize {
    let calls = STATE_STORE_CONNECTIONS + CLOUD_CONNECTIONS;
    let reserved = RESERVED_SOCKETS + calls + SOCKETS_PER_PEER * settings.region_count();
    let left = settings.max_sockets.saturating_sub(reserved);
    left.max(MIN_SERVED_CONNECTIONS)
}

impl<N: Net> Controller<N> {
    /// Creates a controller that communicates through `net`.
    pub fn new(settings: Settings, net: N) -> Self {
        let state_store = StateStore::new(&settings);
        let max_submissions = settings.max_sockets / SOCKETS_PER_SUBMISSION;
        Controller {
            net,
            cloud_client: CloudClient::new(&settings),
            outstanding_calls: OutstandingCalls::default(),
            pending_commits: PendingCommits::default(),
            ownership: RegionOwnership::default(),
            leadership: Leadership::default(),
            client_requests: ClientRequests::new(max_submissions),
            peer_messages: PeerMessages::default(),
            broadcasts: Broadcasts::default(),
            reachability: OwnerReachability::default(),
            data_loss: DataLossProtection::default(),
            monitoring: Monitoring::new(&settings),
            cluster: ClusterState::new(settings, state_store),
        }
    }

    /// Logs the most important settings, requests the owner lease (the basis of all authority) and
    /// starts the detection of lost records if it is enabled.
    pub fn begin(&mut self) {
        let settings = &self.cluster.settings;
        log::info!(
            "controller {} started: incarnation {}, zone {}, {} peers, owner lease {} ms",
            settings.name,
            self.cluster.incarnation(),
            settings.zone,
            settings.peers.len(),
            settings.owner_lease_duration() / MILLISECOND
        );
        self.cluster.now = self.net.monotonic_now();
        self.cluster.state_store.request_lease(LeaseRole::Owner);
        if self.cluster.settings.operator.detect_lost_records {
            let heartbeat_interval = self.cluster.settings.heartbeat_interval;
            self.cluster.records_verified_at = self
                .data_loss
                .start_detection(self.cluster.now, heartbeat_interval);
        }
    }

    /// Handles a network event.
    pub fn handle(&mut self, event: NetEvent) {
        self.cluster.now = self.net.monotonic_now();
        match event {
            NetEvent::Request(conn, request) => self.on_request(conn, &request),
            NetEvent::Response(call, result) => self.on_response(call, result),
            NetEvent::Frame(conn, bytes) => self.on_frame(conn, &bytes),
        }
    }

    /// Performs all due work. Returns the time of the next step.
    pub fn step(&mut self) -> Micros {
        self.cluster.now = self.net.monotonic_now();
        self.apply_hold_record();
        let mut next = if self.is_hold_active() {
            self.manage_hold()
        } else {
            self.manage_regions();
            self.manage_leadership();
            self.run_regions().min(self.run_leader())
        };
        next = next.min(self.broadcast_state());
        self.notify_unreachable_owners();
        self.monitor();
        self.announce_cancellations();
        if self.continue_propagation() {
            next = self.cluster.now;
        }
        next = next.min(self.expire_pending_requests());
        let (events, state_store_next) = self.call_state_store();
        next = next.min(state_store_next);
        if !events.is_empty() {
            self.on_state_store_events(events);
            next = self.cluster.now;
        }
        next.min(self.call_cloud())
    }

    /// Whether this controller is in a data-loss hold.
    pub fn is_hold_active(&self) -> bool {
        self.data_loss.is_hold_active()
    }

    /// Sends the response to a request.
    fn respond(&mut self, conn: ConnectionId, status: u16, body: Vec<u8>) {
        self.net.respond(conn, Response::new(status, body));
    }

    /// Refuses a request with a Retry-After header of `retry_after_s` seconds.
    fn refuse(&mut self, conn: ConnectionId, status: u16, retry_after_s: u32) {
        self.net
            .respond(conn, Response::refusal(status, retry_after_s));
    }

    /// Refuses a request that can't be handled at present; the client may retry.
    fn refuse_unavailable(&mut self, conn: ConnectionId) {
        self.refuse(conn, http_status::UNAVAILABLE, http_status::RETRY_AFTER_S);
    }
}
