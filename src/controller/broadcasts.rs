//! Periodic messages to the other controllers: this controller's state, the reports of its
//! regions, and the cancellations committed since the last step.

use salttiller_records::units::{Micros, MILLISECOND};

use super::Controller;
use crate::peer_protocol::{self, Message, RegionReport, SUPPORTS_EXTENSIONS};
use crate::reactor::Net;

/// Interval between state messages.
const STATE_INTERVAL: Micros = 400 * MILLISECOND;
/// Number of state rounds per full round. In a full round, all controllers receive the region
/// reports; in the other rounds, only the leader does.
const ROUNDS_PER_FULL_STATE: u32 = 4;

/// Pending broadcasts and the time of the next state message.
#[derive(Debug, Default)]
pub(super) struct Broadcasts {
    next_state_at: Micros,
    /// Number of rounds of state messages so far.
    state_rounds: u32,
    /// Jobs whose cancellation this controller committed and has not announced to the peers yet.
    cancelled_jobs: Vec<String>,
}

impl Broadcasts {
    /// Queues the announcement of a cancellation that this controller committed. The next step
    /// sends the announcement.
    pub(super) fn announce_cancellation(&mut self, job: String) {
        self.cancelled_jobs.push(job);
    }
}

impl<N: Net> Controller<N> {
    /// Sends this controller's state if that is due. Returns the time of the next state message.
    pub(super) fn broadcast_state(&mut self) -> Micros {
        let now = self.cluster.now;
        if now >= self.broadcasts.next_state_at {
            self.broadcasts.next_state_at = now + STATE_INTERVAL;
            let reports = self.report_owned_regions();
            self.update_region_reports(&reports);
            self.send_provisioning_health();
            self.send_state(reports);
        }
        self.broadcasts.next_state_at
    }

    /// Returns the reports of the owned regions, or none if this controller has no authority.
    fn report_owned_regions(&self) -> Vec<RegionReport> {
        if !self.cluster.has_authority() {
            return Vec::new();
        }
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        let regions = self.ownership.regions();
        regions.map(|region| region.report(&context)).collect()
    }

    fn update_region_reports(&mut self, own: &[RegionReport]) {
        let now = self.cluster.now;
        let reports = &mut self.cluster.region_reports;
        for report in own {
            reports.record_own(report.clone(), now);
        }
        reports.expire(now);
        let ownership = &self.ownership;
        reports.update_quota_blocked_teams(|region| ownership.owns(region));
    }

    /// Sends the leader the reports of the owned regions in each round, because its plans are based
    /// on them. The other peers receive the reports in every few rounds; the messages in between
    /// only show that this controller is up.
    fn send_state(&mut self, reports: Vec<RegionReport>) {
        self.broadcasts.state_rounds += 1;
        let is_full_round = self
            .broadcasts
            .state_rounds
            .is_multiple_of(ROUNDS_PER_FULL_STATE);
        let brief = self.encode_state(Vec::new());
        let full = self.encode_state(reports);
        let leader = self.cluster.recorded_leader();
        for (index, peer) in self.cluster.settings.peers.iter().enumerate() {
            let is_leader = leader == Some(peer.name.as_str());
            let state = if is_full_round || is_leader {
                &full
            } else {
                &brief
            };
            self.net.send(index, state);
        }
    }

    fn encode_state(&self, regions: Vec<RegionReport>) -> Vec<u8> {
        peer_protocol::encode(&Message::ControllerState {
            from: self.cluster.settings.name.clone(),
            incarnation: self.cluster.incarnation() | SUPPORTS_EXTENSIONS,
            reads_recent: self.cluster.is_fresh(),
            regions,
        })
    }

    /// Sends the leader the provisioning health of the owned regions in which machines are overdue.
    fn send_provisioning_health(&mut self) {
        if !self.cluster.has_authority() {
            return;
        }
        let now = self.cluster.now;
        let mut messages = Vec::new();
        for region in self.ownership.regions_mut() {
            let pools = region.provisioning_health(now);
            if !pools.is_empty() {
                let region = region.name.clone();
                messages.push(Message::ProvisioningHealth { region, pools });
            }
        }
        let leader = self.cluster.recorded_leader().unwrap_or_default();
        let leader_peer = self.cluster.peer_with_extensions(leader);
        for message in messages {
            match leader_peer {
                Some(peer) => self.net.send(peer, &peer_protocol::encode(&message)),
                None if self.leadership.is_leading() => self.on_message(message),
                None => {}
            }
        }
    }

    /// Announces to all peers the cancellations that this controller committed since the last step.
    pub(super) fn announce_cancellations(&mut self) {
        if self.broadcasts.cancelled_jobs.is_empty() {
            return;
        }
        let jobs = std::mem::take(&mut self.broadcasts.cancelled_jobs);
        let message = peer_protocol::encode(&Message::JobsCancelled { jobs });
        for peer in 0..self.cluster.settings.peers.len() {
            self.net.send(peer, &message);
        }
    }
}
