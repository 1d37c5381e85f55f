//! Tests of messages between controllers.

use super::*;
use crate::fixtures::{self as files, decode_hex};
use proptest::prelude::*;

fn sample() -> Message {
    Message::ControllerState {
        from: "t-0".into(),
        incarnation: 3,
        reads_recent: true,
        regions: vec![RegionReport {
            region: "t-0".into(),
            token: 9,
            reconciled: true,
            capacity: vec![PoolCapacity {
                machine_type: "g8".into(),
                zone: "a".into(),
                spot: false,
                available: true,
                free: FreeResources {
                    cpus: 1,
                    gpus: 2,
                    memory: 3,
                },
                machines: 4,
            }],
            pending_jobs: vec![PendingJob {
                job: "req-1".into(),
                pending_tasks: 5,
                waiting_us: 6,
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
            Message::RebindTasks { job: "req-1".into(), from: "t-0".into(), to: "t-1".into(), count: 8 },
            "010000007265712d31ffffff742d30ffffffffff742d31ffffffffff08000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::CordonMachines { region: "t-0".into(), machine_type: "g8".into(), zone: "a".into(), spot: true, count: 2 },
            "02000000742d30ffffffffff6738ffffffffffff61ffffffffffffff01000000020000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::StartGang { job: "req-1".into(), attempt: 9, region: "t-2".into() },
            "030000007265712d31ffffff000000000900000000000000742d32ffffffffff000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::StatusRequest,
            "0400000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
        ),
        (
            Message::JobsCancelled { jobs: vec!["req-1".into(), "req-22".into()] },
            "7265712d31ffffff7265712d3232ffff06000000ecffffff0200000000000000000000000000000000000000\
         0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
         00000000000000000000000000000000",
        ),
    ]
}

/// Controllers of production and of this version understand each other: what each writes
/// is the same to the byte.
#[test]
fn messages_of_older_versions() {
    for (message, hex) in fixtures() {
        let theirs = decode_hex(hex);
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
        let mut bytes = decode_hex(hex);
        let at = bytes.iter().rposition(|b| *b == known).unwrap();
        bytes[at] = 0x3f;
        bytes
    };
    let all = fixtures();
    assert_eq!(decode(&unknown_kind(all[4].1, 4)), None);
    for (message, hex) in &all {
        let whole = decode_hex(hex);
        for length in 0..whole.len() {
            let read = decode(&whole[..length]);
            assert_ne!(read.as_ref(), Some(message), "cut to {length}");
        }
    }
    for nonsense in [&b""[..], &[0xff; 7], &[0xff; 96], &[0x3f; 200]] {
        assert_eq!(decode(nonsense), None);
    }
}

/// A message of each kind under the name of its bytes in `fixtures/messages.hex`: no field
/// has its default, lists have two entries, and texts are both short and long, which are
/// kept in different places.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn every_kind() -> Vec<(&'static str, Message)> {
    let long = || "a-name-longer-than-eight-bytes".to_owned();
    let pool = |machine_type: &str, spot, available, (cpus, gpus, memory), machines| PoolCapacity {
        machine_type: machine_type.into(),
        zone: "b".into(),
        spot,
        available,
        free: FreeResources { cpus, gpus, memory },
        machines,
    };
    let wait = |job: String, waiting, since_us, stuck| PendingJob {
        job,
        pending_tasks: waiting,
        waiting_us: since_us,
        needs_new_attempt: stuck,
    };
    let count = |job: String, running| RunningTasks { job, running };
    let boot = |machine_type: String, spot, overdue, arrived, since_us| ProvisioningHealth {
        machine_type,
        zone: "c".into(),
        spot,
        overdue,
        arrived,
        overdue_us: since_us,
    };
    let report = RegionReport {
        region: long(),
        token: 1 << 40,
        reconciled: true,
        capacity: vec![
            pool("g8", true, false, (1, 2, 3), 4),
            pool("h4", false, true, (5 << 33, 6 << 33, 7 << 33), 70_000),
        ],
        pending_jobs: vec![
            wait("req-1".into(), 5, 6, true),
            wait(long(), 70_000, 1 << 41, false),
        ],
        running_tasks: vec![count("req-1".into(), 8), count(long(), 80_000)],
        quota_blocked_teams: vec![("red".into(), 9), (long(), 1 << 42)],
        gang_parts_ready: vec![("req-2".into(), 10), (long(), 1 << 43)],
        estimated: 1.5,
        actual: -0.25,
    };
    let bare = RegionReport {
        region: "t-1".into(),
        token: 11,
        reconciled: false,
        capacity: Vec::new(),
        pending_jobs: Vec::new(),
        running_tasks: Vec::new(),
        quota_blocked_teams: Vec::new(),
        gang_parts_ready: Vec::new(),
        estimated: 0.0,
        actual: 0.0,
    };
    let status_region = |region: &str, owner: Option<String>, settled| RegionStatus {
        region: region.into(),
        owner,
        token: 12,
        reconciled: settled,
        machines: 13,
        ready_machines: 14,
        pending_tasks: 15,
    };
    let objective = |objective: String, breached| ObjectiveStatus {
        objective,
        met: 16,
        total: 17,
        target: 0.75,
        breached,
    };
    let status = Status {
        name: "t-0".into(),
        incarnation: 1 << 44,
        leader: Some(long()),
        authority_remaining_us: 18,
        reads_recent: true,
        regions: vec![
            status_region("t-0", Some("t-0".into()), true),
            status_region("t-1", None, false),
        ],
        pending_tasks: vec![("x".into(), 19), (long(), 20)],
        objectives: vec![objective("wait".into(), true), objective(long(), false)],
        alerts: vec!["aim".into(), long()],
    };
    vec![
        (
            "state",
            Message::ControllerState {
                from: "t-0".into(),
                incarnation: 21 | UNDERSTANDS_EXTENSIONS,
                reads_recent: true,
                regions: vec![report, bare],
            },
        ),
        (
            "state without regions",
            Message::ControllerState {
                from: long(),
                incarnation: 22,
                reads_recent: false,
                regions: Vec::new(),
            },
        ),
        (
            "move",
            Message::RebindTasks {
                job: long(),
                from: "t-0".into(),
                to: "t-1".into(),
                count: 70_000,
            },
        ),
        (
            "close",
            Message::CordonMachines {
                region: "t-0".into(),
                machine_type: long(),
                zone: "a".into(),
                spot: true,
                count: 23,
            },
        ),
        (
            "go",
            Message::StartGang {
                job: "req-1".into(),
                attempt: 1 << 45,
                region: long(),
            },
        ),
        ("ask status", Message::StatusRequest),
        ("status", Message::StatusResponse(status)),
        ("bare status", Message::StatusResponse(Status::default())),
        (
            "cancelled",
            Message::JobsCancelled {
                jobs: vec!["req-1".into(), long()],
            },
        ),
        (
            "unreached",
            Message::OwnerUnreachable {
                region: "t-2".into(),
                token: 1 << 46,
                machines: 24,
            },
        ),
        (
            "boots",
            Message::ProvisioningHealth {
                region: "t-2".into(),
                pools: vec![
                    boot("g8".into(), true, 25, 26, 27),
                    boot(long(), false, 70_000, 28, 1 << 47),
                ],
            },
        ),
    ]
}

/// Each kind of message is written to the same bytes as by 0.6.0, and they are read as it.
#[test]
fn every_kind_of_message_keeps_its_bytes() {
    let files = files::read(include_str!("fixtures/messages.hex"));
    let pools = every_kind();
    assert_eq!(files.len(), pools.len());
    for (name, message) in pools {
        let bytes = &files[name];
        assert_eq!(hex_of(&encode(&message)), hex_of(bytes), "written: {name}");
        assert_eq!(decode(bytes), Some(message), "read: {name}");
    }
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// How damaged forms of a message are read, in their order: `r` refused, `s` as the same
/// message, `d` as a different one, each with how many in a row.
fn readings(message: &Message, damaged: impl Iterator<Item = Vec<u8>>) -> String {
    let mut runs: Vec<(char, usize)> = Vec::new();
    for bytes in damaged {
        let reading = match decode(&bytes) {
            None => 'r',
            Some(read) if read == *message => 's',
            Some(_) => 'd',
        };
        match runs.last_mut() {
            Some((last, n)) if *last == reading => *n += 1,
            _ => runs.push((reading, 1)),
        }
    }
    let runs: Vec<String> = runs.iter().map(|(r, n)| format!("{r}{n}")).collect();
    runs.join(" ")
}

/// Messages cut at each length, and with each byte inverted, the discriminants of the kind
/// and of optional fields among them, are refused or read as by 0.6.0.
#[test]
fn damaged_messages_are_refused_as_before() {
    let files = files::read(include_str!("fixtures/messages.hex"));
    let mut found = String::new();
    for (name, message) in every_kind() {
        let whole = &files[name];
        let cut = (0..whole.len()).map(|n| whole[..n].to_vec());
        let inverted = (0..whole.len()).map(|at| {
            let mut bytes = whole.clone();
            bytes[at] ^= 0xff;
            bytes
        });
        let cut = readings(&message, cut);
        let inverted = readings(&message, inverted);
        found.push_str(&format!(
            "{name}: cut: {cut}\n{name}: inverted: {inverted}\n"
        ));
    }
    assert_eq!(found, include_str!("fixtures/damaged.txt"));
}

/// Of the values that the discriminant of the kind can have only the nine in use are read.
#[test]
fn unknown_kinds_of_message_are_refused() {
    /// Length of what stands at the end of each message and begins with the discriminant.
    const LAST_PART: usize = 88;
    let files = files::read(include_str!("fixtures/messages.hex"));
    let pools = [
        "state",
        "move",
        "close",
        "go",
        "ask status",
        "status",
        "cancelled",
        "unreached",
        "boots",
    ];
    for (discriminant, name) in (0u8..).zip(pools) {
        let mut bytes = files[name].clone();
        let at = bytes.len() - LAST_PART;
        assert_eq!(bytes[at], discriminant, "{name}");
        for unknown in 9..=u8::MAX {
            bytes[at] = unknown;
            assert_eq!(decode(&bytes), None, "{name} as {unknown}");
        }
    }
}
