//! Tests of the detection of lost records from heartbeats.

use super::*;

/// Time at which the heartbeat of a case arrives.
const HEARTBEAT_AT: Micros = 10;

fn heartbeat(token: u64, recorded_token: u64, unknown_job: Option<&str>) -> HeartbeatEvidence<'_> {
    HeartbeatEvidence {
        machine: "m-1",
        token,
        recorded_token,
        unknown_job,
    }
}

/// A read that completes after the heartbeat arrived.
struct Read {
    sent: Micros,
    recorded_token: u64,
    job_known: bool,
}

fn read(sent: Micros, recorded_token: u64, job_known: bool) -> Read {
    Read {
        sent,
        recorded_token,
        job_known,
    }
}

struct EvidenceCase {
    name: &'static str,
    evidence: HeartbeatEvidence<'static>,
    reads: Vec<Read>,
    /// Whether a read confirms the finding.
    found: bool,
}

fn case(
    name: &'static str,
    evidence: HeartbeatEvidence<'static>,
    reads: Vec<Read>,
    found: bool,
) -> EvidenceCase {
    EvidenceCase {
        name,
        evidence,
        reads,
        found,
    }
}

fn evidence_cases() -> Vec<EvidenceCase> {
    let unchanged = || vec![read(20, 4, true)];
    let unrecorded_token = heartbeat(9, 4, None);
    let wiped_store = heartbeat(9, 0, None);
    let unrecorded_job = heartbeat(4, 4, Some("req-1"));
    let early_and_late_read = vec![read(10, 4, false), read(20, 4, false)];
    vec![
        case(
            "heartbeat agrees with the records",
            heartbeat(4, 4, None),
            unchanged(),
            false,
        ),
        case(
            "first start of a deployment",
            heartbeat(0, 0, None),
            vec![read(20, 0, true)],
            false,
        ),
        case(
            "token was issued a moment ago",
            heartbeat(5, 4, None),
            vec![read(20, 5, true)],
            false,
        ),
        case(
            "token was never issued",
            unrecorded_token,
            unchanged(),
            true,
        ),
        case(
            "store was wiped",
            wiped_store,
            vec![read(20, 0, false)],
            true,
        ),
        case(
            "read was sent when the heartbeat arrived",
            unrecorded_token,
            vec![read(10, 4, true)],
            false,
        ),
        case(
            "job was accepted a moment ago",
            unrecorded_job,
            unchanged(),
            false,
        ),
        case(
            "job has no record",
            unrecorded_job,
            early_and_late_read,
            true,
        ),
    ]
}

/// Guards against a finding that is reported before a read that was sent after the heartbeat's
/// arrival confirms it, and against lost records that such a read does not reveal.
#[test]
fn evidence_is_confirmed_by_a_later_read() {
    for case in evidence_cases() {
        let (name, evidence) = (case.name, case.evidence);
        let mut detector = LossDetector::new(0, SECOND);
        let contradicts = detector.check_heartbeat(evidence, HEARTBEAT_AT);
        assert_eq!(
            contradicts,
            evidence.token > evidence.recorded_token || evidence.unknown_job.is_some(),
            "{name}"
        );
        let mut finding = None;
        for read in case.reads {
            let result = detector.check_read(read.sent, read.recorded_token, |_| read.job_known);
            finding = finding.or(result);
        }
        assert_eq!(finding.is_some(), case.found, "{name}: {finding:?}");
    }
}

/// Guards against records that count as verified after a start before every worker has had time to
/// send a heartbeat.
#[test]
fn records_are_verified_after_two_heartbeat_intervals() {
    let detector = LossDetector::new(100, 3 * SECOND);
    assert!(!detector.is_verified(100 + 7 * SECOND));
    assert!(detector.is_verified(100 + 8 * SECOND));
}
