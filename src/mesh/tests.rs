//! Tests of mesh.

use super::*;
use proptest::prelude::*;

fn sample() -> Message {
    Message::State {
        from: "t-0".into(),
        run: 3,
        fresh: true,
        regions: vec![RegionReport {
            region: "t-0".into(),
            token: 9,
            settled: true,
            rooms: vec![RoomLine {
                flavor: "g8".into(),
                zone: "a".into(),
                spot: false,
                live: true,
                free: (1, 2, 3),
                machines: 4,
            }],
            waits: vec![WaitLine {
                job: "req-1".into(),
                waiting: 5,
                since_us: 6,
                stuck: false,
            }],
            counts: vec![CountLine {
                job: "req-1".into(),
                running: 2,
            }],
            short: vec![("red".into(), 5)],
            ready: vec![("req-2".into(), 7)],
            said: 1.5,
            took: 0.5,
        }],
    }
}

proptest! {
    /// A broken message is refused or read as something harmless, never a crash.
    #[test]
    fn damage_never_panics(at in 0usize..400, bit in 0u8..8, cut in 0usize..400) {
        let mut b = encode(&sample());
        prop_assert_eq!(decode(&b), Some(sample()));
        let n = b.len();
        b[at % n] ^= 1 << bit;
        let _ = decode(&b);
        b.truncate(cut % n);
        let _ = decode(&b);
    }
}
