//! Health of the other controllers, as their state messages show it.
//!
//! Nothing here carries authority: messages may be lost, late or wrong.

use std::collections::BTreeMap;

use salttiller_records::units::{Micros, MILLISECOND, SECOND};

use crate::peer_protocol::UNDERSTANDS_EXTENSIONS;
use crate::settings::Peer as PeerSettings;

/// A peer without a state message for so long is unreachable.
const PEER_TIMEOUT: Micros = 3 * SECOND;
/// A healthy peer has sent a state message within this time.
const HEALTH_TIMEOUT: Micros = 2 * SECOND;
/// How much later than this controller's the reads of the others may have begun to fail for it
/// to be one outage: cancellations that they committed in between were announced here.
const OUTAGE_ONSET_TOLERANCE: Micros = 1500 * MILLISECOND;

/// Another controller.
#[derive(Debug, Default)]
struct Peer {
    last_state_at: Option<Micros>,
    /// Its replica was up to date at its last state message.
    is_fresh: bool,
    /// Since when it has reported without a break that its reads fail.
    stale_since: Option<Micros>,
    /// Since when it has been reachable and fresh without a break.
    healthy_since: Option<Micros>,
    /// It reads the kinds of messages that were added in 0.5.
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

/// The other controllers by name.
#[derive(Debug)]
pub(super) struct Peers {
    peers: BTreeMap<String, Peer>,
}

impl Peers {
    /// The peers of the settings, without a state message yet.
    pub(super) fn new(settings: &[PeerSettings]) -> Self {
        let peers = settings.iter();
        Peers {
            peers: peers.map(|p| (p.name.clone(), Peer::default())).collect(),
        }
    }

    /// Records a state message; `false` if its sender is not in the settings. `run` is the
    /// sender's incarnation with its protocol flags.
    #[must_use]
    pub(super) fn on_state(&mut self, from: &str, run: u64, is_fresh: bool, now: Micros) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.supports_extensions = run & UNDERSTANDS_EXTENSIONS != 0;
        peer.on_state(is_fresh, now);
        true
    }

    /// Whether a peer understands the messages that were added in 0.5.
    pub(super) fn supports_extensions(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.supports_extensions)
    }

    /// Whether a peer has just sent a state message and reaches the state service.
    pub(super) fn is_healthy(&self, name: &str, now: Micros) -> bool {
        self.peers.get(name).is_some_and(|p| p.is_healthy(now))
    }

    /// Whether a peer is healthy and has been for longer than `span` without a break.
    pub(super) fn is_healthy_for(&self, name: &str, span: Micros, now: Micros) -> bool {
        self.peers.get(name).is_some_and(|p| {
            p.is_healthy(now) && p.healthy_since.is_some_and(|since| now > since + span)
        })
    }

    /// Whether every peer is reachable and lost the state service no later than shortly after
    /// `since`, when this controller did.
    pub(super) fn all_lost_state_store_at(&self, since: Micros, now: Micros) -> bool {
        self.peers.values().all(|p| {
            p.has_sent_state_within(OUTAGE_ONSET_TOLERANCE, now)
                && p.stale_since
                    .is_some_and(|stale| stale < since + OUTAGE_ONSET_TOLERANCE)
        })
    }

    /// Whether every peer is reachable and none of them reaches the state service. `false` if
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
