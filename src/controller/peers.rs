//! Health of the other controllers according to their state messages.
//!
//! The health carries no authority, because messages may be lost, late or wrong.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::peer_protocol::SUPPORTS_EXTENSIONS;
use crate::settings::Peer as PeerSettings;

/// Time without a state message after which a peer is considered unreachable.
const PEER_TIMEOUT: Micros = 3 * SECOND;
/// Time without a state message after which a peer is no longer considered healthy.
const HEALTH_TIMEOUT: Micros = 2 * SECOND;
/// Maximum time between the first failed reads of this controller and of its peers in one
/// cluster-wide outage. Cancellations that a peer committed in between were announced to this
/// controller.
const OUTAGE_ONSET_TOLERANCE: Micros = 1500 * MILLISECOND;

/// Another controller.
#[derive(Debug, Default)]
struct Peer {
    last_state_at: Option<Micros>,
    /// Whether the peer's replica was up to date at its last state message.
    is_fresh: bool,
    /// Start of the uninterrupted time in which the peer reported that its replica is stale.
    stale_since: Option<Micros>,
    /// Start of the uninterrupted time in which the peer was reachable and its replica up to date.
    healthy_since: Option<Micros>,
    /// Whether the peer supports the messages that were added in 0.5.
    supports_extensions: bool,
}

impl Peer {
    fn has_sent_state_within(&self, span: Micros, now: Micros) -> bool {
        self.last_state_at.is_some_and(|at| now < at + span)
    }

    fn is_healthy(&self, now: Micros) -> bool {
        self.is_fresh && self.has_sent_state_within(HEALTH_TIMEOUT, now)
    }

    fn on_state(&mut self, is_fresh: bool, now: Micros) {
        let was_unreachable = self.last_state_at.is_none_or(|at| now > at + PEER_TIMEOUT);
        self.last_state_at = Some(now);
        self.is_fresh = is_fresh;
        self.stale_since = (!is_fresh).then(|| self.stale_since.unwrap_or(now));
        if !is_fresh || was_unreachable {
            self.healthy_since = None;
        }
        if is_fresh {
            self.healthy_since.get_or_insert(now);
        }
    }
}

/// Health of the other controllers by name.
#[derive(Debug)]
pub(super) struct Peers {
    peers: BTreeMap<String, Peer>,
}

impl Peers {
    /// Creates the peers of the settings, before their first state messages.
    pub(super) fn new(settings: &[PeerSettings]) -> Self {
        let peers = settings.iter();
        Peers {
            peers: peers.map(|p| (p.name.clone(), Peer::default())).collect(),
        }
    }

    /// Records a state message. Returns `false` if its sender is not in the settings. `incarnation`
    /// includes the bit [`SUPPORTS_EXTENSIONS`], and `reads_recent` is whether the sender's replica
    /// was recently up to date.
    #[must_use]
    pub(super) fn on_state(
        &mut self,
        from: &str,
        incarnation: u64,
        reads_recent: bool,
        now: Micros,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.supports_extensions = incarnation & SUPPORTS_EXTENSIONS != 0;
        peer.on_state(reads_recent, now);
        true
    }

    /// Whether a peer supports the messages that were added in 0.5.
    pub(super) fn supports_extensions(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.supports_extensions)
    }

    /// Whether a peer has recently sent a state message and reaches the state service.
    pub(super) fn is_healthy(&self, name: &str, now: Micros) -> bool {
        self.peers.get(name).is_some_and(|p| p.is_healthy(now))
    }

    /// Whether a peer has been healthy for longer than `span` without interruption.
    pub(super) fn is_healthy_for(&self, name: &str, span: Micros, now: Micros) -> bool {
        self.peers.get(name).is_some_and(|p| {
            p.is_healthy(now) && p.healthy_since.is_some_and(|since| now > since + span)
        })
    }

    /// Whether every peer is reachable and lost the state service no later than
    /// [`OUTAGE_ONSET_TOLERANCE`] after `since`, the time at which this controller lost it.
    pub(super) fn all_lost_state_store_at(&self, since: Micros, now: Micros) -> bool {
        self.peers.values().all(|p| {
            p.has_sent_state_within(OUTAGE_ONSET_TOLERANCE, now)
                && p.stale_since
                    .is_some_and(|stale| stale < since + OUTAGE_ONSET_TOLERANCE)
        })
    }

    /// Whether every peer is reachable and no peer reaches the state service. Returns `false` if
    /// there are no peers.
    pub(super) fn none_reaches_state_store(&self, now: Micros) -> bool {
        !self.peers.is_empty()
            && self
                .peers
                .values()
                .all(|p| p.has_sent_state_within(PEER_TIMEOUT, now) && !p.is_fresh)
    }
}

#[cfg(test)]
mod tests;
