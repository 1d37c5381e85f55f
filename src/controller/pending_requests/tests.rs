//! Tests of the queue of pending requests.

use super::*;

fn request(slot: usize, received_at: Micros, deadline: Micros) -> PendingRequest {
    PendingRequest {
        conn: ConnectionId {
            slot,
            generation: 1,
        },
        request: ClientRequest::Cancel { job: String::new() },
        received_at,
        deadline,
    }
}

/// Each request is taken exactly once, in the order of receipt: with the first read that was sent
/// after its receipt, or when it expires. A request taken twice would be answered twice.
#[test]
fn each_request_is_taken_once() {
    let mut pending = PendingRequests::default();
    for (slot, received_at, deadline) in [(0, 10, 100), (1, 20, 40), (2, 30, 90), (3, 40, 60)] {
        pending.push(request(slot, received_at, deadline));
    }
    assert_eq!(pending.next_expiry(), Some(40));
    assert!(pending.take_expired(39).is_empty());
    let slots = |list: Vec<ConnectionId>| list.iter().map(|c| c.slot).collect::<Vec<_>>();
    assert_eq!(slots(pending.take_expired(60)), [1, 3]);
    assert_eq!(pending.next_expiry(), Some(90));
    let taken = pending.take_until(10);
    assert_eq!(taken.iter().map(|r| r.conn.slot).collect::<Vec<_>>(), [0]);
    assert!(pending.take_until(29).is_empty());
    assert_eq!(pending.take_until(30).len(), 1);
    assert_eq!((pending.len(), pending.next_expiry()), (0, None));
}
