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
            reconciled: true,
            capacity: vec![PoolCapacity {
                machine_type: "g8".into(),
                zone: "a".into(),
                spot: false,
                available: true,
                free: (1, 2, 3),
                machines: 4,
            }],
            pending_jobs: vec![PendingJob {
                job: "req-1".into(),
                pending_tasks: 5,
                since_us: 6,
                needs_new_attempt: false,
            }],
            running_tasks: vec![RunningTasks {
                job: "req-1".into(),
                running: 2,
            }],
            quota_blocked_teams: vec![("red".into(), 5)],
            gang_parts_ready: vec![("req-2".into(), 7)],
            estimated: 1.5,
            actual: 0.5,
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

/// The bytes of each kind of message as production (36efc7c) and the version before it
/// (d88939c) write them, both alike: captured by a test that was added to their own
/// `src/mesh.rs` and printed `encode` of these values.
fn fixtures() -> Vec<(Message, &'static str)> {
    vec![
        (
            sample(),
            "6738ffffffffffff61ffffffffffffff00010000000000000100000000000000020000000000000003000000\
         0000000004000000000000007265712d31ffffff050000000000000006000000000000000000000000000000\
         7265712d31ffffff0200000000000000726564ffffffffff05000000000000007265712d32ffffff07000000\
         00000000742d30ffffffffff09000000000000000100000064ffffff0100000094ffffff01000000acffffff\
         01000000b4ffffff01000000bcffffff0100000000000000000000000000f83f000000000000e03f00000000\
         742d30ffffffffff0000000003000000000000000100000094ffffff01000000000000000000000000000000\
         00000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::Move { job: "req-1".into(), from: "t-0".into(), to: "t-1".into(), count: 8 },
            "010000007265712d31ffffff742d30ffffffffff742d31ffffffffff08000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::Close { region: "t-0".into(), machine_type: "g8".into(), zone: "a".into(), spot: true, count: 2 },
            "02000000742d30ffffffffff6738ffffffffffff61ffffffffffffff01000000020000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::Go { job: "req-1".into(), attempt: 9, region: "t-2".into() },
            "030000007265712d31ffffff000000000900000000000000742d32ffffffffff000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::AskStatus,
            "0400000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::Cancelled { jobs: vec!["req-1".into(), "req-22".into()] },
            "7265712d31ffffff7265712d3232ffff06000000ecffffff0200000000000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
         00000000000000000000000000000000",
        ),
    ]
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digit).collect()
}

/// Controllers of production and of this version understand each other: what each writes
/// is the same to the byte.
#[test]
fn messages_of_older_versions() {
    for (message, hex) in fixtures() {
        let theirs = bytes_of(hex);
        assert_eq!(decode(&theirs), Some(message.clone()), "read");
        assert_eq!(encode(&message), theirs, "written: {message:?}");
    }
}

/// A kind that this version doesn't know, a message cut short at any point, and nonsense
/// are refused.
#[test]
fn messages_of_later_versions() {
    // Where the kind stands: in the fixtures with the fewest contents it is the one byte
    // that differs from none.
    let unknown_kind = |hex: &str, known: u8| {
        let mut bytes = bytes_of(hex);
        let at = bytes.iter().rposition(|b| *b == known).unwrap();
        bytes[at] = 0x3f;
        bytes
    };
    let all = fixtures();
    assert_eq!(decode(&unknown_kind(all[4].1, 4)), None);
    for (message, hex) in &all {
        let whole = bytes_of(hex);
        for length in 0..whole.len() {
            let read = decode(&whole[..length]);
            assert_ne!(read.as_ref(), Some(message), "cut to {length}");
        }
    }
    for nonsense in [&b""[..], &[0xff; 7], &[0xff; 96], &[0x3f; 200]] {
        assert_eq!(decode(nonsense), None);
    }
}
