//! Messages from the other controllers. No message carries authority: each is checked against the
//! records and the owned regions before the controller acts on it.

use salttiller_records::model::is_job_id;
use salttiller_records::record::JobStage;
use salttiller_records::units::{Micros, SECOND};

use super::Controller;
use crate::fault_injection::{is_disabled, Safeguard};
use crate::peer_protocol::{self, Message, ProvisioningHealth, RegionReport};
use crate::reactor::{ConnectionId, Net};
use crate::region::MachinePool;

/// Minimum interval between log lines about messages that can't be decoded.
const DECODE_FAILURE_LOG_INTERVAL: Micros = 60 * SECOND;

/// State of the receiving side of peer messages.
#[derive(Debug, Default)]
pub(super) struct PeerMessages {
    /// Time from which the next message that can't be decoded is logged.
    next_decode_failure_log_at: Micros,
}

impl PeerMessages {
    /// Logs that a message couldn't be decoded. The rate limit avoids one line per message of a
    /// peer with another version.
    fn on_decode_failure(&mut self, now: Micros) {
        if now >= self.next_decode_failure_log_at {
            self.next_decode_failure_log_at = now + DECODE_FAILURE_LOG_INTERVAL;
            log::warn!("ignoring peer protocol messages that can't be decoded");
        }
    }
}

impl<N: Net> Controller<N> {
    /// Handles a frame from a peer or from an operator's tool.
    pub(super) fn on_frame(&mut self, conn: ConnectionId, bytes: &[u8]) {
        match peer_protocol::decode(bytes) {
            Some(Message::StatusRequest) => {
                let page = Message::StatusResponse(self.status_page());
                self.net.reply(conn, &peer_protocol::encode(&page));
            }
            Some(message) => self.on_message(message),
            None => self.peer_messages.on_decode_failure(self.cluster.now),
        }
    }

    /// Handles a message from a peer or from this controller itself.
    pub(super) fn on_message(&mut self, message: Message) {
        match message {
            Message::ControllerState {
                from,
                incarnation,
                reads_recent,
                regions,
            } => self.on_peer_state(&from, incarnation, reads_recent, regions),
            Message::RebindTasks {
                job,
                from,
                to,
                count,
            } => self.on_rebind(&job, &from, &to, count),
            Message::OwnerUnreachable {
                region,
                token,
                machines,
            } => self.on_owner_unreachable(region, token, machines),
            Message::ProvisioningHealth { region, pools } => {
                self.on_provisioning_health(region, pools);
            }
            Message::JobsCancelled { jobs } => self.on_cancellations_announced(&jobs),
            Message::CordonMachines {
                region,
                machine_type,
                zone,
                spot,
                count,
            } => {
                let pool = MachinePool::new(&machine_type, &zone, spot);
                self.on_cordon_request(&region, &pool, count);
            }
            Message::StartGang {
                job,
                attempt,
                region,
            } => self.on_gang_start(&job, attempt, &region),
            Message::StatusRequest | Message::StatusResponse(_) => {}
        }
    }

    /// Handles a peer's state message: records the peer's health and the reports of its regions.
    fn on_peer_state(
        &mut self,
        from: &str,
        incarnation: u64,
        reads_recent: bool,
        reports: Vec<RegionReport>,
    ) {
        let now = self.cluster.now;
        if !self
            .cluster
            .peers
            .on_state(from, incarnation, reads_recent, now)
        {
            log::info!("ignoring a state message from unknown controller {from}");
            return;
        }
        // A peer with different settings may report regions that this controller doesn't know.
        let known = self.cluster.settings.regions();
        let reports = reports.into_iter();
        for report in reports.filter(|report| known.contains(&report.region)) {
            if !self.ownership.owns(&report.region) {
                self.cluster.region_reports.record_from_peer(report, now);
            }
        }
    }

    /// Handles the leader's request to rebind pending tasks of a job from an owned region to
    /// another region, or to unbind them if `to` is empty.
    fn on_rebind(&mut self, job: &str, from: &str, to: &str, count: u32) {
        let is_known = to.is_empty() || self.cluster.settings.regions().iter().any(|r| r == to);
        if !self.cluster.has_authority() || !is_known {
            return;
        }
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        if let Some(region) = self.ownership.get_mut(from) {
            region.hand_over_tasks(job, to, count, &context);
        }
    }

    /// Handles a peer's announcement that it committed the cancellation of jobs.
    fn on_cancellations_announced(&mut self, jobs: &[String]) {
        if is_disabled(Safeguard::StartDeadline) || is_disabled(Safeguard::AuthorityDeadline) {
            return;
        }
        if self.record_cancellations_in_hold(jobs) {
            return;
        }
        for job in jobs {
            let record = self.cluster.state_store.replica.jobs.get(job);
            let is_recorded = record.is_some_and(|r| r.value.stage != JobStage::Open);
            if is_recorded || !is_job_id(job) || !self.cluster.cancellations.record(job) {
                continue;
            }
            let context = self.cluster.scheduling_context(self.net.wall_clock_now());
            for region in self.ownership.regions_mut() {
                region.on_reported_cancelled(job, &context);
            }
        }
    }

    /// Handles an owner's report on the provisioning health of its region's machine pools.
    fn on_provisioning_health(&mut self, region: String, pools: Vec<ProvisioningHealth>) {
        if let Some(leader) = self.leadership.leader_mut() {
            leader.on_provisioning_report(region, pools, self.cluster.now);
        }
    }

    /// Handles the leader's request to cordon at most `count` surplus machines of a pool in an
    /// owned region.
    fn on_cordon_request(&mut self, region: &str, pool: &MachinePool, count: u32) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        if let Some(region) = self.ownership.get_mut(region) {
            region.cordon_surplus(pool, count, &context);
        }
    }

    /// Handles the leader's message that every part of a multi-region gang has its places
    /// reserved: starts the part of an owned region.
    fn on_gang_start(&mut self, job: &str, attempt: u64, region: &str) {
        let context = self.cluster.scheduling_context(self.net.wall_clock_now());
        if let Some(region) = self.ownership.get_mut(region) {
            region.start_gang_part(job, attempt, &context);
        }
    }
}
