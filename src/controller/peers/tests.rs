//! Tests of the health of peers.

use std::net::{Ipv4Addr, SocketAddr};

use super::*;

fn peers(names: &[&str]) -> Peers {
    let settings: Vec<PeerSettings> = names
        .iter()
        .map(|name| PeerSettings {
            name: (*name).to_owned(),
            zone: String::new(),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        })
        .collect();
    Peers::new(&settings)
}

/// A peer's healthy time counts only while state messages arrive without a gap and report an
/// up-to-date replica. Otherwise a region could be released to an unstable home.
#[test]
fn healthy_time_restarts_after_a_gap_or_failed_reads() {
    let mut peers = peers(&["c-1"]);
    // Time of a message in seconds, whether the sender's replica is up to date, and the start of
    // the peer's healthy time after the message.
    let messages = [
        (10, true, Some(10)),
        (12, true, Some(10)),
        (13, false, None),
        (14, true, Some(14)),
        (17, true, Some(14)),
        (21, true, Some(21)),
    ];
    for (at, is_fresh, healthy_since) in messages {
        let now = at * SECOND;
        assert!(peers.on_state("c-1", 7, is_fresh, now));
        assert_eq!(peers.is_healthy("c-1", now), is_fresh, "health at {at} s");
        if let Some(since) = healthy_since {
            let span = now - since * SECOND;
            assert!(
                !peers.is_healthy_for("c-1", span, now),
                "healthy time at {at} s"
            );
            assert!(span == 0 || peers.is_healthy_for("c-1", span - 1, now));
        }
    }
    assert!(!peers.is_healthy("c-1", 23 * SECOND));
    assert!(
        !peers.on_state("c-2", 7, true, 0),
        "a sender that is not in the settings is rejected"
    );
    assert!(!peers.supports_extensions("c-1"));
    assert!(peers.on_state("c-1", 7 | SUPPORTS_EXTENSIONS, true, 0));
    assert!(peers.supports_extensions("c-1"));
}

/// An outage is cluster-wide only if every peer is reachable and lost the state service at about
/// the same time as this controller.
#[test]
fn an_outage_is_cluster_wide_only_if_every_peer_reports_it() {
    let mut peers = peers(&["c-1", "c-2"]);
    let outage = 100 * SECOND;
    let onset = outage + OUTAGE_ONSET_TOLERANCE - 1;
    let reported = |peers: &mut Peers, name: &str, is_fresh: bool, at: Micros| {
        assert!(peers.on_state(name, 7, is_fresh, at));
    };
    reported(&mut peers, "c-1", false, onset);
    assert!(!peers.all_lost_state_store_at(outage, onset));
    assert!(!peers.none_reaches_state_store(onset));
    reported(&mut peers, "c-2", true, onset);
    assert!(!peers.all_lost_state_store_at(outage, onset));
    assert!(!peers.none_reaches_state_store(onset));
    reported(&mut peers, "c-2", false, onset);
    assert!(peers.all_lost_state_store_at(outage, onset));
    assert!(peers.none_reaches_state_store(onset));
    // The reads of c-2 began to fail too late.
    reported(&mut peers, "c-2", true, onset + 1);
    reported(&mut peers, "c-2", false, onset + 1);
    assert!(!peers.all_lost_state_store_at(outage, onset + 1));
    assert!(peers.none_reaches_state_store(onset + 1));
    // An unreachable peer may reach the state service.
    assert!(!peers.none_reaches_state_store(onset + PEER_TIMEOUT));
}

/// Without peers, every outage is cluster-wide, because no other controller can confirm a
/// cancellation. A single controller is not ready during an outage: `none_reaches_state_store` is
/// false without peers.
#[test]
fn every_outage_of_a_single_controller_is_cluster_wide() {
    let peers = peers(&[]);
    assert!(peers.all_lost_state_store_at(0, SECOND));
    assert!(!peers.none_reaches_state_store(SECOND));
}
