//! Tests of the protocol between controllers.

use super::*;
use crate::fixtures::{self, decode_hex};
use proptest::prelude::*;

/// Returns a message with an entry in each list.
fn sample_message() -> Message {
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
            estimated_cpu_time: 1.5,
            actual_cpu_time: 0.5,
        }],
    }
}

proptest! {
    /// Guards against a panic of a controller that receives a corrupted or truncated message.
    #[test]
    fn decoding_corrupted_messages_never_panics(at in 0usize..400, bit in 0u8..8, cut in 0usize..400) {
        let mut bytes = encode(&sample_message());
        prop_assert_eq!(decode(&bytes), Some(sample_message()));
        let length = bytes.len();
        bytes[at % length] ^= 1 << bit;
        let _ = decode(&bytes);
        bytes.truncate(cut % length);
        let _ = decode(&bytes);
    }
}

/// Returns messages and their bytes as written by the version in production (36efc7c) and by the
/// version before it (d88939c). Both write the same bytes, which were captured by a test that was
/// added to `src/mesh.rs` of these versions and printed the result of `encode`.
fn messages_of_older_versions() -> Vec<(Message, &'static str)> {
    vec![
        (
            sample_message(),
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

/// Guards against a controller that cannot exchange messages with controllers of older versions:
/// both must write the same bytes.
#[test]
fn messages_of_older_versions_keep_their_bytes() {
    for (message, hex) in messages_of_older_versions() {
        let expected = decode_hex(hex);
        assert_eq!(decode(&expected), Some(message.clone()), "decoded");
        assert_eq!(encode(&message), expected, "encoded: {message:?}");
    }
}

/// Guards against invalid bytes that are decoded as a message: a kind that a later version may
/// add, a truncated message, and arbitrary bytes.
#[test]
fn unknown_or_invalid_messages_are_rejected() {
    // The discriminant of the kind is the only non-zero byte of the message without fields.
    let with_unknown_kind = |hex: &str, known: u8| {
        let mut bytes = decode_hex(hex);
        let at = bytes.iter().rposition(|b| *b == known).unwrap();
        bytes[at] = 0x3f;
        bytes
    };
    let messages = messages_of_older_versions();
    assert_eq!(decode(&with_unknown_kind(messages[4].1, 4)), None);
    for (message, hex) in &messages {
        let bytes = decode_hex(hex);
        for length in 0..bytes.len() {
            let decoded = decode(&bytes[..length]);
            assert_ne!(
                decoded.as_ref(),
                Some(message),
                "truncated to {length} bytes"
            );
        }
    }
    for invalid in [&b""[..], &[0xff; 7], &[0xff; 96], &[0x3f; 200]] {
        assert_eq!(decode(invalid), None);
    }
}

/// Returns messages of each kind, each with the name of its bytes in `fixtures/messages.hex`.
/// Fields have values other than their default, and lists have two entries. Strings are both short
/// and long, since rkyv stores short strings inline and long ones out of line.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn messages_of_every_kind() -> Vec<(&'static str, Message)> {
    let long = || "a-name-longer-than-eight-bytes".to_owned();
    let pool = |machine_type: &str, spot, available, (cpus, gpus, memory), machines| PoolCapacity {
        machine_type: machine_type.into(),
        zone: "b".into(),
        spot,
        available,
        free: FreeResources { cpus, gpus, memory },
        machines,
    };
    let pending_job = |job: String, pending_tasks, waiting_us, needs_new_attempt| PendingJob {
        job,
        pending_tasks,
        waiting_us,
        needs_new_attempt,
    };
    let running_tasks = |job: String, running| RunningTasks { job, running };
    let health = |machine_type: String, spot, overdue, arrived, overdue_us| ProvisioningHealth {
        machine_type,
        zone: "c".into(),
        spot,
        overdue,
        arrived,
        overdue_us,
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
            pending_job("req-1".into(), 5, 6, true),
            pending_job(long(), 70_000, 1 << 41, false),
        ],
        running_tasks: vec![
            running_tasks("req-1".into(), 8),
            running_tasks(long(), 80_000),
        ],
        quota_blocked_teams: vec![("red".into(), 9), (long(), 1 << 42)],
        gang_parts_ready: vec![("req-2".into(), 10), (long(), 1 << 43)],
        estimated_cpu_time: 1.5,
        actual_cpu_time: -0.25,
    };
    let empty_report = RegionReport {
        region: "t-1".into(),
        token: 11,
        reconciled: false,
        capacity: Vec::new(),
        pending_jobs: Vec::new(),
        running_tasks: Vec::new(),
        quota_blocked_teams: Vec::new(),
        gang_parts_ready: Vec::new(),
        estimated_cpu_time: 0.0,
        actual_cpu_time: 0.0,
    };
    let region_status = |region: &str, owner: Option<String>, reconciled| RegionStatus {
        region: region.into(),
        owner,
        token: 12,
        reconciled,
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
            region_status("t-0", Some("t-0".into()), true),
            region_status("t-1", None, false),
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
                incarnation: 21 | SUPPORTS_EXTENSIONS,
                reads_recent: true,
                regions: vec![report, empty_report],
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
                    health("g8".into(), true, 25, 26, 27),
                    health(long(), false, 70_000, 28, 1 << 47),
                ],
            },
        ),
    ]
}

/// Guards against a change of the wire format since 0.6.0: messages of each kind must be encoded to
/// the same bytes, and decoded from them.
#[test]
fn every_kind_of_message_keeps_its_bytes() {
    let fixtures = fixtures::read(include_str!("fixtures/messages.hex"));
    let messages = messages_of_every_kind();
    assert_eq!(fixtures.len(), messages.len());
    for (name, message) in messages {
        let bytes = &fixtures[name];
        assert_eq!(hex_of(&encode(&message)), hex_of(bytes), "encoded: {name}");
        assert_eq!(decode(bytes), Some(message), "decoded: {name}");
    }
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the outcomes of decoding corrupted forms of a message, in their order: `r` (rejected),
/// `s` (decoded as the same message) or `d` (decoded as a different message), each followed by the
/// number of consecutive outcomes of this kind.
fn decode_outcomes(message: &Message, corrupted: impl Iterator<Item = Vec<u8>>) -> String {
    let mut runs: Vec<(char, usize)> = Vec::new();
    for bytes in corrupted {
        let outcome = match decode(&bytes) {
            None => 'r',
            Some(decoded) if decoded == *message => 's',
            Some(_) => 'd',
        };
        match runs.last_mut() {
            Some((last, n)) if *last == outcome => *n += 1,
            _ => runs.push((outcome, 1)),
        }
    }
    let runs: Vec<String> = runs
        .iter()
        .map(|(outcome, n)| format!("{outcome}{n}"))
        .collect();
    runs.join(" ")
}

/// Guards against a change since 0.6.0 of how corrupted messages are decoded. Each message is
/// truncated to each length, and each of its bytes is inverted, including the discriminants of the
/// kind and of optional fields.
#[test]
fn corrupted_messages_are_decoded_as_in_0_6_0() {
    let fixtures = fixtures::read(include_str!("fixtures/messages.hex"));
    let mut outcomes = String::new();
    for (name, message) in messages_of_every_kind() {
        let valid = &fixtures[name];
        let truncated = (0..valid.len()).map(|length| valid[..length].to_vec());
        let inverted = (0..valid.len()).map(|at| {
            let mut bytes = valid.clone();
            bytes[at] ^= 0xff;
            bytes
        });
        let truncated = decode_outcomes(&message, truncated);
        let inverted = decode_outcomes(&message, inverted);
        outcomes.push_str(&format!(
            "{name}: cut: {truncated}\n{name}: inverted: {inverted}\n"
        ));
    }
    assert_eq!(outcomes, include_str!("fixtures/damaged.txt"));
}

/// Guards against messages of an unknown kind that are decoded as a known one: only the nine
/// discriminants in use are accepted.
#[test]
fn unknown_kinds_of_message_are_rejected() {
    /// Size in bytes of the root object, which is at the end of each encoded message and begins
    /// with the discriminant.
    const ROOT_SIZE: usize = 88;
    let fixtures = fixtures::read(include_str!("fixtures/messages.hex"));
    let names = [
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
    for (discriminant, name) in (0u8..).zip(names) {
        let mut bytes = fixtures[name].clone();
        let at = bytes.len() - ROOT_SIZE;
        assert_eq!(bytes[at], discriminant, "{name}");
        for unknown in 9..=u8::MAX {
            bytes[at] = unknown;
            assert_eq!(decode(&bytes), None, "{name} as {unknown}");
        }
    }
}
